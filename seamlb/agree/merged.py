"""One list for an agent that follows several sources: each whole list is its source's alone. Pure.

Without it a whole list of one source takes the desks of the others off. A desk is as free as the strictest source
that names it says, and is where the first of them, in their order, says.
"""

from __future__ import annotations

from collections.abc import Sequence

from seamlb.agree.lists import Listed, Lists
from seamlb.api import Availability, Scope
from seamlb.routing.model import Desk, DeskListCallback

LISTED = {Availability.READY: Listed.READY, Availability.DRAINING: Listed.DRAINING, Availability.GONE: Listed.GONE}
AVAILABLE = {listed: availability for availability, listed in LISTED.items()}


class Merged:
    """Gives `changed` one list; nothing until all that are `awaited` have told theirs, or `begin` is called."""

    def __init__(self, names: tuple[str, ...], awaited: tuple[str, ...], changed: DeskListCallback) -> None:
        self.awaited = awaited
        self.lists, self.changed = Lists(names), changed
        self.desks: dict[str, dict[str, Desk]] = {name: {} for name in names}  # as each source has them
        self.counts = dict.fromkeys(names, 0)  # lists heard of each: our own revisions, which no other agent hears
        self.told: dict[str, Desk] = {}
        self.begun = False

    def source(self, name: str) -> DeskListCallback:
        """What a source tells."""
        return lambda scope, desks: self.heard(name, scope, desks)

    def heard(self, name: str, scope: Scope, desks: Sequence[Desk]) -> None:
        """A source's news."""
        if scope == Scope.FAILED:
            return
        known, whole = self.desks[name], scope != Scope.DELTA
        if whole:
            known.clear()
        for desk in desks:
            known[desk.ident] = desk
            if desk.availability == Availability.GONE:
                del known[desk.ident]
        self.counts[name] += 1
        self.lists.heard(
            name, self.counts[name], {desk.ident: LISTED[Availability(desk.availability)] for desk in desks}, whole
        )
        self.lists.forget([])
        if self.begun:
            self._tell()
        elif all(self.counts[one] for one in self.awaited):
            self.begin()

    def begin(self) -> None:
        """Tell what is known, though a source may still be silent; once."""
        if not self.begun and any(self.counts.values()):
            self.begun = True
            self.told = self._now()
            self.changed(Scope.CACHED, list(self.told.values()))

    def _now(self) -> dict[str, Desk]:
        found = {}
        for ident, listed in self.lists.desks().items():
            desk = next(one[ident] for one in self.desks.values() if ident in one)
            found[ident] = Desk(
                ident,
                desk.address,
                desk.zone,
                desk.cell,
                AVAILABLE[listed],
                max(one[ident].since_ms for one in self.desks.values() if ident in one),
            )
        return found

    def _tell(self) -> None:
        now = self._now()
        gone = [
            Desk(one.ident, one.address, one.zone, one.cell, Availability.GONE, one.since_ms)
            for ident, one in self.told.items()
            if ident not in now
        ]
        news = [one for ident, one in now.items() if self.told.get(ident) != one]
        self.told = now
        if gone or news:
            self.changed(Scope.DELTA, gone + news)
