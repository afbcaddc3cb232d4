"""How late this process is: what waited in a socket's buffer while it did something else, or got no CPU."""

from __future__ import annotations

import asyncio

BEAT = 0.02  # seconds between beats


class Lag:
    """A beat on the event loop; what is read after a beat came due was waiting no longer than since then."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.due = self.loop.time() + BEAT
        self.timer = self.loop.call_at(self.due, self._beat)

    def _beat(self) -> None:
        self.due = self.loop.time() + BEAT
        self.timer = self.loop.call_at(self.due, self._beat)

    def ms(self) -> float:
        """The longest that a message read now may have waited, beyond one beat."""
        return max(0.0, self.loop.time() - self.due) * 1000.0

    def stop(self) -> None:
        """Measure no more."""
        self.timer.cancel()
