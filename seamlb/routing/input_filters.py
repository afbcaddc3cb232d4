"""Filters by which subsystems change the inputs of the decision module; its decisions are not filtered.

Filters form a chain in which each sees the desks as the previous ones return them. The agent calls every filter:
`refresh` before each event and request, `filter_settings` when settings go to the module, `attempt_started` when the
module has decided on an attempt, `attempt_ended` when that was answered or has ended, `filter_desks` on updates of
the list, and `changed_desks` when the result for some desks may have changed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from seamlb.api import Settings, Status
from seamlb.routing.model import Desk


class InputFilter:
    """A subsystem's filter; this base class changes nothing. `now` is in seconds, `unix_ms` in milliseconds."""

    @property
    def max_open(self) -> float:
        """The maximum number of open calls."""
        return math.inf

    def refresh(self) -> bool:
        """Whether its result has changed since the last call; called for every event, so it must be cheap."""
        return False

    def filter_settings(self, settings: Settings) -> Settings:
        """The settings to pass to the module."""
        return settings

    def attempt_started(self, now: float, call: int, desk: str) -> None:
        """The module has decided on an attempt for a call."""

    def attempt_ended(self, now: float, call: int, status: Status) -> None:
        """A call's attempt was answered or has ended; also called if it never began."""

    def filter_desks(self, now: float, unix_ms: float, desks: Iterable[Desk], whole: bool) -> list[Desk]:
        """An update of the list, as passed on to the next filter; `whole` if it is the complete list."""
        return list(desks)

    def changed_desks(self, now: float, unix_ms: float) -> list[Desk]:
        """Desks whose state as passed on has changed without an update of the list."""
        return []


class InputFilterChain:
    """The filters of one agent, in order."""

    def __init__(self) -> None:
        self.filters: list[InputFilter] = []

    def refresh(self) -> bool:
        """Whether the result of any filter has changed."""
        # All are called, as each records the state that it has reported.
        changes = [input_filter.refresh() for input_filter in self.filters]
        return True in changes

    @property
    def max_open(self) -> float:
        """The maximum number of open calls: the smallest of all filters."""
        return min((input_filter.max_open for input_filter in self.filters), default=math.inf)

    def filter_settings(self, settings: Settings) -> Settings:
        """The settings after all filters."""
        for input_filter in self.filters:
            settings = input_filter.filter_settings(settings)
        return settings

    def attempt_started(self, now: float, call: int, desk: str) -> None:
        """Notify all filters of an attempt that the module has decided on."""
        for input_filter in self.filters:
            input_filter.attempt_started(now, call, desk)

    def attempt_ended(self, now: float, call: int, status: Status) -> None:
        """Notify all filters of an attempt that was answered or has ended."""
        for input_filter in self.filters:
            input_filter.attempt_ended(now, call, status)

    def filter_desks(self, now: float, unix_ms: float, desks: Sequence[Desk], whole: bool) -> Sequence[Desk]:
        """An update of the list after all filters."""
        for input_filter in self.filters:
            desks = input_filter.filter_desks(now, unix_ms, desks, whole)
        return desks

    def changed_desks(self, now: float, unix_ms: float) -> list[Desk]:
        """Desks whose state for the module has changed; each filter's changes pass through those behind it."""
        changed: dict[str, Desk] = {}
        for input_filter in self.filters:
            filtered = input_filter.filter_desks(now, unix_ms, list(changed.values()), False) if changed else []
            changed = {desk.ident: desk for desk in (*input_filter.changed_desks(now, unix_ms), *filtered)}
        return list(changed.values())
