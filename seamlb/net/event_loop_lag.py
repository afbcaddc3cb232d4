"""Measures how far the event loop is behind, because the process was busy or got no CPU."""

from __future__ import annotations

import asyncio

TICK = 0.02  # seconds


class EventLoopLag:
    """A periodic timer on the event loop; data read while a tick is overdue has waited at most since it came due."""

    def __init__(self) -> None:
        self.longest = 0.0  # seconds by which a tick was late at most, and so any timer of this loop
        self.loop = asyncio.get_running_loop()
        self.due = self.loop.time() + TICK
        self.timer = self.loop.call_at(self.due, self._tick)

    def _tick(self) -> None:
        self.longest = max(self.longest, self.loop.time() - self.due)
        self.due = self.loop.time() + TICK
        self.timer = self.loop.call_at(self.due, self._tick)

    def ms(self) -> float:
        """Return the longest time in ms that a message read now may have waited, beyond one tick."""
        return max(0.0, self.loop.time() - self.due) * 1000.0

    def stop(self) -> None:
        """Stop measuring."""
        self.timer.cancel()
