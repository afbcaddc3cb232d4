"""An asyncio event loop on a virtual clock that jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualSelector(selectors.DefaultSelector):
    """A selector that advances the virtual clock instead of waiting; there is no outside I/O."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock: the emulator waits for an event, and no timer is pending")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is the seconds since the start of the emulation; its runs are deterministic."""

    def __init__(self) -> None:
        self._selector = _VirtualSelector()
        super().__init__(self._selector)

    def time(self) -> float:
        """The virtual time in seconds."""
        return self._selector.now


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion on a virtual clock of its own."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
