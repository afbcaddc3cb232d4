"""Ends a connection whose peer stops reading: it must not hold memory and a descriptor forever."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any


class WriteTimer:
    """Calls `on_timeout` if writes do not complete in time."""

    def __init__(self, on_timeout: Callable[[], object]) -> None:
        self.timeout = 0.0  # seconds
        self.on_timeout: Callable[[], object] | None = on_timeout
        self._timer: asyncio.TimerHandle | None = None
        self._last_write: asyncio.Future[None] | None = None  # the latest write that did not complete at once

    def watch(self, written: asyncio.Future[None], timeout: float) -> None:
        """Watch a write that did not complete at once, and must do so within `timeout` seconds."""
        self.timeout = timeout
        self._last_write = written
        if self._timer is None:
            self._start()

    def _start(self) -> None:
        assert self.on_timeout and self._last_write
        self._timer = asyncio.get_running_loop().call_later(self.timeout, self.on_timeout)
        self._last_write.add_done_callback(self._write_done)

    def _write_done(self, written: Any) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self.on_timeout and written is not self._last_write:
            self._start()  # more data was queued meanwhile

    def end(self) -> None:
        """Stop for good, as the connection has ended."""
        self.on_timeout = None
        self._write_done(None)
        self._last_write = None
