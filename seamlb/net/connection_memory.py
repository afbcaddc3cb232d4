"""What one connection holds of the memory budget: itself, a partly received message, and bytes that are not sent."""

from __future__ import annotations

import asyncio

from seamlb.memory import CONNECTION_BYTES, MemoryBudget

GUARANTEED_UNSENT = 8 * 1024  # bytes that a connection may hold where the budget has no room


class ConnectionMemory:
    """Charges the budget for a connection from its start to its end."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.received = self.unsent = 0
        self.budget.charge(CONNECTION_BYTES)
        self.ended = False

    def set_received(self, size: int) -> bool:
        """Record the size of the buffered data; False if the budget has no room for a partial message."""
        self.budget.charge(size - self.received)
        self.received = size
        return size == 0 or self.budget.has_room()

    def may_queue(self, size: int) -> bool:
        """Whether this many bytes more may wait to be sent."""
        return self.unsent + size <= GUARANTEED_UNSENT or self.budget.has_room(size)

    def queue(self, written: asyncio.Future[None], size: int) -> None:
        """Count bytes as unsent until their write has ended."""
        self._change_unsent(size)
        written.add_done_callback(lambda _: self._change_unsent(-size))

    def _change_unsent(self, size: int) -> None:
        if not self.ended:
            self.unsent += size
            self.budget.charge(size)

    def end(self) -> None:
        """Give everything back."""
        if not self.ended:
            self.ended = True
            self.budget.charge(-CONNECTION_BYTES - self.received - self.unsent)
