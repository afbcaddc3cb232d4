"""An asyncio loop whose clock jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _Jump(selectors.DefaultSelector):
    """A selector that waits by moving the clock: nothing from outside can come."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("the emulator waits for something that no timer will bring")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Seconds since the start of the emulation; the same program always takes the same steps."""

    def __init__(self) -> None:
        self._jump = _Jump()
        super().__init__(self._jump)

    def time(self) -> float:
        """The virtual time in seconds."""
        return self._jump.now


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a clock of its own."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
