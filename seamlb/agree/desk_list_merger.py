"""Merges the desk lists of several sources into one for the agent. Pure.

Without it, a complete list of one source would remove the desks of the others. A desk has the strictest status of all
sources that list it, and the address of the first of them, in the order of `names`.
"""

from __future__ import annotations

from collections.abc import Sequence

from seamlb.agree.desk_lists import DeskLists, DeskStatus
from seamlb.api import Availability, Scope
from seamlb.routing.model import Desk, DeskListCallback

TO_STATUS = {
    Availability.READY: DeskStatus.READY,
    Availability.DRAINING: DeskStatus.DRAINING,
    Availability.GONE: DeskStatus.GONE,
}
TO_AVAILABILITY = {status: availability for availability, status in TO_STATUS.items()}


class DeskListMerger:
    """Passes one list to `publish`, once all `required` sources have sent theirs or `publish_first` was called."""

    def __init__(self, names: tuple[str, ...], required: tuple[str, ...], publish: DeskListCallback) -> None:
        self.required = required
        self.desk_lists, self.publish = DeskLists(names), publish
        self.desks: dict[str, dict[str, Desk]] = {name: {} for name in names}  # as each source has them
        self.revisions = dict.fromkeys(names, 0)  # lists received from each source, counted for this agent only
        self.published: dict[str, Desk] = {}
        self.started = False

    def callback(self, name: str) -> DeskListCallback:
        """The callback for a source's lists."""
        return lambda scope, desks: self.on_list(name, scope, desks)

    def on_list(self, name: str, scope: Scope, desks: Sequence[Desk]) -> None:
        """Processes a list, or changes, of a source."""
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
        elif all(self.revisions[source] for source in self.required):
            self.publish_first()

    def publish_first(self) -> None:
        """Publishes what is known, although some sources may not have answered yet; once."""
        if not self.started and any(self.revisions.values()):
            self.started = True
            self.published = self._merge()
            self.publish(Scope.CACHED, list(self.published.values()))

    def _merge(self) -> dict[str, Desk]:
        merged = {}
        for ident, status in self.desk_lists.desks().items():
            desk = next(desks[ident] for desks in self.desks.values() if ident in desks)
            merged[ident] = Desk(
                ident,
                desk.address,
                desk.zone,
                desk.cell,
                TO_AVAILABILITY[status],
                max(desks[ident].since_ms for desks in self.desks.values() if ident in desks),
            )
        return merged

    def _publish_changes(self) -> None:
        merged = self._merge()
        gone = [
            Desk(desk.ident, desk.address, desk.zone, desk.cell, Availability.GONE, desk.since_ms)
            for ident, desk in self.published.items()
            if ident not in merged
        ]
        changed = [desk for ident, desk in merged.items() if self.published.get(ident) != desk]
        self.published = merged
        if gone or changed:
            self.publish(Scope.DELTA, gone + changed)
