"""One list for an agent that follows several sources: each whole list is its source's alone. Pure.

Without it a whole list of one source takes the desks of the others off. A desk is as free as the strictest source
that names it says, and is where the first of them, in their order, says.
"""

from __future__ import annotations

from collections.abc import Sequence

from seamlb.agree.lists import DeskLists, DeskStatus
from seamlb.api import Availability, Scope
from seamlb.routing.model import Desk, DeskListCallback

TO_STATUS = {
    Availability.READY: DeskStatus.READY,
    Availability.DRAINING: DeskStatus.DRAINING,
    Availability.GONE: DeskStatus.GONE,
}
TO_AVAILABILITY = {status: availability for availability, status in TO_STATUS.items()}


class DeskListMerger:
    """Gives `changed` one list; nothing until all that are `awaited` have told theirs, or `begin` is called."""

    def __init__(self, names: tuple[str, ...], required: tuple[str, ...], changed: DeskListCallback) -> None:
        self.required = required
        self.desk_lists, self.changed = DeskLists(names), changed
        self.desks: dict[str, dict[str, Desk]] = {name: {} for name in names}  # as each source has them
        self.revisions = dict.fromkeys(names, 0)  # lists heard of each: our own revisions, which no other agent hears
        self.published: dict[str, Desk] = {}
        self.started = False

    def callback(self, name: str) -> DeskListCallback:
        """What a source tells."""
        return lambda scope, desks: self.on_list(name, scope, desks)

    def on_list(self, name: str, scope: Scope, desks: Sequence[Desk]) -> None:
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
        self.revisions[name] += 1
        self.desk_lists.apply_revision(
            name,
            self.revisions[name],
            {desk.ident: TO_STATUS[Availability(desk.availability)] for desk in desks},
            whole,
        )
        self.desk_lists.discard_gone([])
        if self.started:
            self._publish_changes()
        elif all(self.revisions[one] for one in self.required):
            self.publish_first()

    def publish_first(self) -> None:
        """Tell what is known, though a source may still be silent; once."""
        if not self.started and any(self.revisions.values()):
            self.started = True
            self.published = self._merge()
            self.changed(Scope.CACHED, list(self.published.values()))

    def _merge(self) -> dict[str, Desk]:
        found = {}
        for ident, status in self.desk_lists.desks().items():
            desk = next(one[ident] for one in self.desks.values() if ident in one)
            found[ident] = Desk(
                ident,
                desk.address,
                desk.zone,
                desk.cell,
                TO_AVAILABILITY[status],
                max(one[ident].since_ms for one in self.desks.values() if ident in one),
            )
        return found

    def _publish_changes(self) -> None:
        now = self._merge()
        gone = [
            Desk(one.ident, one.address, one.zone, one.cell, Availability.GONE, one.since_ms)
            for ident, one in self.published.items()
            if ident not in now
        ]
        news = [one for ident, one in now.items() if self.published.get(ident) != one]
        self.published = now
        if gone or news:
            self.changed(Scope.DELTA, gone + news)
