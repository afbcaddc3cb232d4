"""A TCP connection on Tornado's IOStream: bounded buffers, write time-out, one log line at its end."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from seamlb import log
from seamlb.net.reason import CloseReason

READ_CHUNK = 64 * 1024
TURN = 16 * 1024  # bytes read from one connection before the others have their turn, as floods come
MAX_UNSENT = 1024 * 1024
MAX_UNSENT_CLIENT = 128 * 1024  # of each of hundreds of callers, who may all never read
WRITE_TIMEOUT = 5.0
# From accept to the first whole message, and from a later message's first byte to its last: who says nothing or
# never ends must be gone within 3 s. Between messages a caller may be idle for as long as there is room.
MESSAGE_WITHIN = 2.0
READ_TURNS = 3  # turns of the event loop in which what has come by now reaches its reader
# After a refusal that ends a connection what still comes is thrown away for a while: a close with input unread
# resets the connection, and the refusal may be lost with it.
LINGER = 1.0
LINGER_BYTES = 64 * 1024 * 1024
LINGER_PAUSE = 0.002  # seconds between chunks thrown away: a flood must not take the core from good callers


class Connection:
    """One connection; whoever calls `run` gets its bytes until it ends."""

    def __init__(self, stream: IOStream, kind: str, peer: str, write_timeout: float = WRITE_TIMEOUT) -> None:
        self.stream = stream
        self.kind = kind
        self.peer = peer
        self.write_timeout = write_timeout
        self.message_within = MESSAGE_WITHIN
        self.reason: CloseReason | None = None
        self.last_read = asyncio.get_running_loop().time()
        self.credit = 0  # 1: a whole message has come on it; 2: its user found it good
        self.ending: CloseReason | None = None  # refused: only what still comes is read
        self.in_use: Callable[[], bool] = lambda: False  # would a close now break something off?
        self.late: Callable[[], object] = lambda: self.close(CloseReason.SLOW)  # a message was not whole in time
        self.residue: Callable[[bytes], object] = lambda data: None  # what still comes after `refuse`
        self.linger = LINGER
        self._discarded = 0
        self._late: asyncio.Handle | None = None
        self._incoming: asyncio.Future[bytes] | None = None  # the read that `run` waits for
        self._stuck: asyncio.TimerHandle | None = None
        self._last: asyncio.Future[None] | None = None  # the latest write not taken at once
        stream.set_nodelay(True)

    @property
    def closed(self) -> bool:
        """Has it ended, or does it only wait for what still comes?"""
        return self.reason is not None or self.ending is not None or self.stream.closed()

    def _peek(self) -> bytes | None:
        """What waits in the socket, a byte of it; empty at the other side's end, None if there is nothing."""
        try:
            return self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None

    def over(self) -> bool:
        """Has the other side ended it, though the loop has not come to that yet?

        Guards what must not be sent twice: written now, nobody could tell whether it had been read.
        """
        try:
            return self.closed or self._peek() == b""
        except OSError:
            return True

    def _taken_in(self) -> bool:
        """Has the stream read bytes in this turn of the loop, of which `run` is told in the next?"""
        read = self._incoming
        return read is not None and read.done() and not read.cancelled() and read.exception() is None

    def has_unread_data(self) -> bool:
        """Have bytes come that `run` has not been told of yet? They are younger than `last_read`."""
        try:
            return not self.closed and (self._taken_in() or bool(self._peek()))
        except OSError:
            return False

    def quiet(self, least: float) -> bool:
        """May it be closed now without breaking anything off, having been silent for `least` seconds?

        Looks into the socket too: what has come but was not read yet must not be turned back by the close.
        """
        if self.closed or self.in_use() or asyncio.get_running_loop().time() - self.last_read < least:
            return False
        try:
            return not self.stream.writing() and not self._taken_in() and not self._peek()
        except OSError:
            return False  # the reader sees it too

    def expect(self) -> None:
        """A whole message must come in time from now, or the connection is closed."""
        if self._late is None and not self.closed:
            loop = asyncio.get_running_loop()
            self._late = loop.call_later(self.message_within, self._expired, READ_TURNS)

    def _expired(self, turns: int) -> None:
        """The time for a whole message is over; after a pause of this process its rest may be there unread."""
        if turns:
            self._late = asyncio.get_running_loop().call_soon(self._expired, turns - 1)
        else:
            self.late()

    def messages_read(self, messages: int, partial: bool) -> None:
        """So many whole messages were read just now, and perhaps a part of another, whose time runs."""
        if messages:
            self.credit = max(self.credit, 1)
            self._quiet()
        if partial:
            self.expect()

    async def run(self, received: Callable[[bytes], object]) -> CloseReason:
        """Hand over bytes until the connection ends; returns why it did."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._incoming = asyncio.ensure_future(self.stream.read_bytes(TURN, partial=True))
                data = await self._incoming
                self._incoming = None
                if self.ending:
                    self.residue(data)
                    await self._discard(len(data))
                else:
                    self.last_read = loop.time()
                    received(data)
                    if len(data) == TURN:  # a read of what is buffered already would not let go of the loop
                        await asyncio.sleep(0)
        except StreamClosedError as error:
            broken = isinstance(error.real_error, OSError) and error.real_error.errno != 0
            self.close(self.ending or (CloseReason.PEER_RESET if broken else CloseReason.PEER_CLOSED))
        except StreamBufferFullError:
            self.close(CloseReason.OVERFLOW)
        except asyncio.CancelledError:
            self.close(CloseReason.SHUTDOWN)
            raise
        except Exception as error:  # a fault in a handler ends this connection, never the process
            log.event("fault", where=self.kind, error=repr(error), trace=log.trace(error))
            self.close(CloseReason.ERROR)
        return self.reason or CloseReason.ERROR

    def send(self, data: bytes, out: Callable[[], None] | None = None) -> bool:
        """Queue bytes; False if the connection has ended or ends by this. `out` is told when the last is written."""
        if self.closed:
            return False
        try:
            written = self.stream.write(data)
        except StreamClosedError:
            return False  # the reader sees the end too and logs it
        except StreamBufferFullError:
            self.close(CloseReason.OVERFLOW)
            return False
        if out is not None:
            if written.done():
                out()
            else:
                written.add_done_callback(lambda done: None if done.cancelled() or done.exception() else out())
        # A write that is not taken at once is watched: a peer that reads no more must not keep bytes
        # and a descriptor here for ever.
        if not written.done():
            self._last = written
            if self._stuck is None:
                self._watch()
        return True

    def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        self._stuck = loop.call_later(self.write_timeout, self.close, CloseReason.WRITE_TIMEOUT)
        if self._last is not None:
            self._last.add_done_callback(self._moved)

    def _moved(self, written: Any) -> None:
        if self._stuck:
            self._stuck.cancel()
            self._stuck = None
        if self.reason is None and written is not self._last:
            self._watch()  # more was queued meanwhile

    def flush_and_close(self, reason: CloseReason) -> None:
        """Close once what is queued is out, at the write time-out at the latest."""
        if not self.closed and self.stream.writing():
            flushed = self.stream.write(b"")
            flushed.add_done_callback(lambda _: self.close(reason))
        else:
            self.close(reason)

    def lingering_close(self, reason: CloseReason) -> None:
        """Let what is queued out, end our side, and throw away what still comes, within bounds."""
        if self.closed:
            return
        self.ending = reason
        self._quiet()
        flushed = self.stream.write(b"") if self.stream.writing() else None
        if flushed:
            flushed.add_done_callback(lambda _: self._end_ours())
        else:
            self._end_ours()

    def _end_ours(self) -> None:
        if self.ending is None or self.reason is not None:
            return
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(self.ending)
        else:
            self._late = asyncio.get_running_loop().call_later(self.linger, self.close, self.ending)

    async def _discard(self, size: int) -> None:
        self._discarded += size
        if self._discarded > LINGER_BYTES and self.ending:
            self.close(self.ending)
        else:
            await asyncio.sleep(LINGER_PAUSE)

    def _quiet(self) -> None:
        if self._late:
            self._late.cancel()
            self._late = None

    def close(self, reason: CloseReason) -> None:
        """End the connection; the first reason given is the one that is logged."""
        if self.reason is None:
            self.reason = reason
            self._quiet()
            self._moved(None)
            self.stream.close()
            log.event("connection_end", kind=self.kind, peer=self.peer, reason=reason.value)
