"""The seam by which subsystems change what the decision module is told, and nothing that it decides.

Parts stand in an order, and each sees desks as those before it have them. The agent calls all of them: `look` before
whatever it does, `settings` when the module gets settings, `sent` when it has decided on an attempt, `ended` when
that was answered or is over, `listed` on news of the list, `changed` when a part may have changed its mind.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from seamlb.api import Settings, Status
from seamlb.routing.model import Desk


class InputFilter:
    """A subsystem's part of one agent; as it stands it changes nothing. `now` is seconds, `unix_ms` milliseconds."""

    @property
    def max_open(self) -> float:
        """Calls that may be open at most."""
        return math.inf

    def refresh(self) -> bool:
        """Is something else to be acted on than when this was last asked? Asked for every event: it must be cheap."""
        return False

    def filter_settings(self, settings: Settings) -> Settings:
        """The settings that the module is to have."""
        return settings

    def attempt_started(self, now: float, attempt: int, desk: str) -> None:
        """The module has decided on an attempt."""

    def attempt_ended(self, now: float, attempt: int, status: Status) -> None:
        """An attempt was answered or is over; also told of one that never began."""

    def filter_desks(self, now: float, unix_ms: float, desks: Iterable[Desk], whole: bool) -> list[Desk]:
        """News of the list, as whoever stands behind is to have them."""
        return list(desks)

    def changed_desks(self, now: float, unix_ms: float) -> list[Desk]:
        """Desks of which those behind have to be told something else now."""
        return []


class InputFilterChain:
    """The parts of one agent, in their order."""

    def __init__(self) -> None:
        self.filters: list[InputFilter] = []

    def refresh(self) -> bool:
        """Has any part something else to act on?"""
        news = [part.refresh() for part in self.filters]  # all of them, as each remembers what it has told
        return True in news

    @property
    def max_open(self) -> float:
        """Calls that may be open: the least that a part allows."""
        return min((part.max_open for part in self.filters), default=math.inf)

    def filter_settings(self, settings: Settings) -> Settings:
        """The settings as all parts change them, in order."""
        for part in self.filters:
            settings = part.filter_settings(settings)
        return settings

    def attempt_started(self, now: float, attempt: int, desk: str) -> None:
        """An attempt goes to a server."""
        for part in self.filters:
            part.attempt_started(now, attempt, desk)

    def attempt_ended(self, now: float, attempt: int, status: Status) -> None:
        """An attempt has ended."""
        for part in self.filters:
            part.attempt_ended(now, attempt, status)

    def filter_desks(self, now: float, unix_ms: float, desks: Sequence[Desk], whole: bool) -> Sequence[Desk]:
        """News of the list as all parts change it, in order."""
        for part in self.filters:
            desks = part.filter_desks(now, unix_ms, desks, whole)
        return desks

    def changed_desks(self, now: float, unix_ms: float) -> list[Desk]:
        """Desks of which the module has to be told something else; what a part changes goes through those behind."""
        found: dict[str, Desk] = {}
        for part in self.filters:
            earlier = part.filter_desks(now, unix_ms, list(found.values()), False) if found else []
            found = {one.ident: one for one in (*part.changed_desks(now, unix_ms), *earlier)}
        return list(found.values())
