"""Discards what a peer still sends after a refusal that ends its connection.

Closing a socket with unread data resets the connection, and the peer may lose the refusal.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream

from seamlb.net.close_reason import CloseReason

LINGER_TIME = 1.0  # seconds
LINGER_BYTES = 64 * 1024 * 1024
LINGER_PAUSE = 0.002  # seconds between discarded chunks: a flood must not take the CPU from other callers

Close = Callable[[CloseReason], None]


class Lingering:
    """The end of one connection, once `start` was called."""

    def __init__(self) -> None:
        self.reason: CloseReason | None = None  # why the connection ends; None: it does not
        self.time = LINGER_TIME
        self._discarded = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self, stream: IOStream, reason: CloseReason, close: Close) -> None:
        """Write the queued bytes, shut down our direction, and call `close` after the time or at an error."""
        self.reason = reason
        if stream.writing():
            stream.write(b"").add_done_callback(lambda _: self._shut_down_write(stream, close))
        else:
            self._shut_down_write(stream, close)

    def _shut_down_write(self, stream: IOStream, close: Close) -> None:
        if self.reason is None or stream.closed():
            return
        try:
            stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            close(self.reason)
        else:
            self._timer = asyncio.get_running_loop().call_later(self.time, close, self.reason)

    async def discard(self, size: int, close: Close) -> None:
        """Count discarded bytes, pause, or call `close` at the limit."""
        self._discarded += size
        if self._discarded > LINGER_BYTES and self.reason:
            close(self.reason)
        else:
            await asyncio.sleep(LINGER_PAUSE)

    def end(self) -> None:
        """Stop the timer, as the connection has ended."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
