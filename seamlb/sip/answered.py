"""Requests that were answered, with the answer only: copies of them over UDP get it again (RFC 3261, timer J)."""

from __future__ import annotations

from seamlb.memory import MemoryBudget
from seamlb.protocol.transaction import T1, Key

KEPT_S = 64 * T1
ENTRY_BYTES = 1024  # of an answer, beside its bytes


class AnsweredRequests:
    """Answers by key; each is kept for KEPT_S, and none is kept where the budget has no room."""

    def __init__(self, memory: MemoryBudget) -> None:
        self.memory = memory
        self._answers: dict[Key, tuple[float, bytes]] = {}  # expiry, answer; the oldest first

    def add(self, now: float, key: Key, answer: bytes) -> None:
        """Keep an answer."""
        self._expire(now)
        size = ENTRY_BYTES + len(answer)
        if key not in self._answers and self.memory.admits(size):
            self.memory.charge(size)
            self._answers[key] = now + KEPT_S, answer

    def get(self, now: float, key: Key) -> bytes | None:
        """Return the answer to a request that was answered before."""
        self._expire(now)
        return self._answers[key][1] if key in self._answers else None

    def _expire(self, now: float) -> None:
        while self._answers:
            key, (expiry, answer) = next(iter(self._answers.items()))
            if expiry > now:
                return
            del self._answers[key]
            self.memory.charge(-ENTRY_BYTES - len(answer))
