"""Limits the time that a peer may take for a message, from the accept or from its first byte."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

GRACE_TURNS = 3  # event loop turns after the timeout in which data that has already arrived reaches its reader


class MessageTimer:
    """Calls `on_expiry` unless it is cancelled by a complete message."""

    def __init__(self, on_expiry: Callable[[], object]) -> None:
        self.on_expiry: Callable[[], object] | None = on_expiry
        self._handle: asyncio.Handle | None = None

    def start(self, timeout: float) -> None:
        """Start the timer, in seconds, unless it runs."""
        if self._handle is None and self.on_expiry:
            self._handle = asyncio.get_running_loop().call_later(timeout, self._expired, GRACE_TURNS)

    def _expired(self, turns: int) -> None:
        """Wait a few turns before the timeout: after a pause of this process the rest may be there unread."""
        if turns:
            self._handle = asyncio.get_running_loop().call_soon(self._expired, turns - 1)
        else:
            self._handle = None
            if self.on_expiry:
                self.on_expiry()

    def cancel(self) -> None:
        """Stop the timer."""
        if self._handle:
            self._handle.cancel()
            self._handle = None

    def end(self) -> None:
        """Stop for good, as the connection has ended."""
        self.cancel()
        self.on_expiry = None
