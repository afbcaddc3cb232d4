"""Call-IDs that may not start another attempt: an id runs once, also if it comes again after its caller has left."""

from __future__ import annotations

from typing import Protocol

MIN_REMEMBERED_S = 60.0  # or the longest deadline, if that is longer
MAX_REMEMBERED = 16 * 1024  # the oldest is forgotten first


class SharedIds(Protocol):
    """The ids taken by other processes that accept from the same socket."""

    def add(self, ident: str) -> None:
        """Tell the other processes of an id."""

    def is_taken_elsewhere(self, ident: str) -> bool:
        """Whether another process has taken this id a short while ago."""


class UsedIds:
    """Remembers ids for a while."""

    def __init__(self, shared: SharedIds | None = None) -> None:
        self.shared = shared
        self._until: dict[str, float] = {}  # loop time in seconds, the id added longest ago first

    def taken(self, ident: str) -> None:
        """Record that a request is taken, which tells other processes of its id."""
        if self.shared:
            self.shared.add(ident)

    def add(self, ident: str, now: float, longest_deadline: float) -> None:
        """Refuse this id from now on."""
        self._until.pop(ident, None)
        self._until[ident] = now + max(MIN_REMEMBERED_S, longest_deadline)
        while len(self._until) > MAX_REMEMBERED or next(iter(self._until.values())) <= now:
            del self._until[next(iter(self._until))]

    def is_used(self, ident: str, now: float) -> bool:
        """Whether this id may not start an attempt."""
        if self._until.get(ident, 0.0) > now:
            return True
        return self.shared is not None and self.shared.is_taken_elsewhere(ident)
