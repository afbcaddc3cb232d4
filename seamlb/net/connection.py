"""A TCP connection on Tornado's IOStream with bounded buffers, a write timeout and one log event when it ends."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from seamlb import log
from seamlb.memory import MemoryBudget
from seamlb.net.close_reason import CloseReason
from seamlb.net.connection_memory import ConnectionMemory
from seamlb.net.lingering import Lingering
from seamlb.net.message_timer import MessageTimer
from seamlb.net.socket_state import SocketState
from seamlb.net.turns import Turns
from seamlb.net.write_timer import WriteTimer

READ_PER_TURN = 16 * 1024  # bytes read from a connection before others are served, so that a flood starves none
READ_PER_TURN_CLIENT = 4 * 1024  # bytes: of a crowd, each connection holds what it has read
MAX_UNREAD = 4 * READ_PER_TURN  # bytes that a stream may hold before `run` takes them
MAX_UNSENT = 1024 * 1024  # bytes
MAX_UNSENT_CLIENT = 128 * 1024  # bytes per caller: hundreds of callers may all stop reading
WRITE_TIMEOUT = 5.0  # seconds
# Seconds from accept to the first complete message, and from the first byte of a later message to its last: a caller
# that sends nothing or never completes a message must be gone within 3 s. Between messages it may stay idle, and a
# connection that is in use ends later, so that what is open on it gets its answer.
MESSAGE_TIMEOUT = 2.0
_numbers = itertools.count(1)


def _is_never_in_use() -> bool:
    return False


def _ignore_data(data: bytes) -> None:
    """Discard data received while lingering."""


def next_ident() -> str:
    """Return the id of a new connection in the log: unique in this process."""
    return f"c{next(_numbers)}"


class Connection:
    """One connection; `run` passes the received bytes to its caller until the connection ends."""

    def __init__(
        self,
        stream: IOStream,
        kind: str,
        peer: str,
        write_timeout: float = WRITE_TIMEOUT,
        ident: str = "",
        memory: MemoryBudget | None = None,
    ) -> None:
        self.ident = ident or next_ident()
        self.stream, self._socket = stream, SocketState(stream.socket)
        self.kind = kind
        self.peer = peer
        self.write_timeout = write_timeout
        self.message_timeout = MESSAGE_TIMEOUT
        self.reason: CloseReason | None = None
        self.opened_at = self.last_read = asyncio.get_running_loop().time()
        self.trust = 0  # 1: a complete message was received; 2: raised by the user of the connection
        self.lingering = Lingering()
        self.input_ended = False  # incoming data is discarded, and only what is open is still answered
        self.in_use: Callable[[], bool] = _is_never_in_use  # whether closing now would interrupt something
        self.on_message_timeout: Callable[[], object] | None = None  # instead of closing the connection
        self.on_residual_data: Callable[[bytes], object] = _ignore_data  # data received while lingering
        self.read_per_turn = READ_PER_TURN
        self.turns = Turns()
        self.memory = ConnectionMemory(memory or MemoryBudget())
        self._message_timer = MessageTimer(self._message_expired)
        self._pending_read: asyncio.Future[bytes] | None = None  # the read that `run` waits for
        self._turn: asyncio.Future[None] | None = None  # the turn that `run` waits for
        self._write_timer = WriteTimer(lambda: self.close(CloseReason.WRITE_TIMEOUT))
        stream.set_nodelay(True)

    @property
    def closed(self) -> bool:
        """Whether the connection has ended or is only lingering."""
        return self.reason is not None or self.lingering.reason is not None or self.stream.closed()

    def has_ended(self) -> bool:
        """Whether the connection is closed, or the peer has closed it and `run` has not seen that yet.

        Checked before data that must not be sent twice: if it were written now, nobody could tell whether the peer
        had read it. Also checked before work for the peer begins: it may have gone with much of its data unread.
        """
        try:
            return self.closed or self._socket.peer_has_closed()
        except OSError:
            return True

    def _has_unprocessed_data(self) -> bool:
        """Whether the stream has read bytes that `run` processes in a later turn of the event loop."""
        read = self._pending_read
        is_read = read is not None and read.done() and not read.cancelled() and read.exception() is None
        return is_read or self._turn is not None

    def has_unread_data(self) -> bool:
        """Whether bytes have arrived that `run` has not processed; they are newer than `last_read`."""
        try:
            return not self.closed and (self._has_unprocessed_data() or bool(self._socket.peek()))
        except OSError:
            return False

    def is_idle(self, min_idle: float) -> bool:
        """Whether nothing was received for `min_idle` seconds and closing now would interrupt nothing.

        The socket is checked as well: a close must not discard data that has arrived and was not read.
        """
        if self.closed or self.in_use() or asyncio.get_running_loop().time() - self.last_read < min_idle:
            return False
        try:
            return not self.stream.writing() and not self._has_unprocessed_data() and not self._socket.peek()
        except OSError:
            return False  # the reader gets the same error

    def start_message_timer(self) -> None:
        """Call `on_message_timeout` unless a complete message arrives within `message_timeout` seconds."""
        if not self.closed:
            self._message_timer.start(self.message_timeout)

    def _message_expired(self) -> None:
        if self.on_message_timeout:
            self.on_message_timeout()
        elif self.in_use():
            self.start_message_timer()
        else:
            self.close(CloseReason.SLOW)

    def messages_read(self, messages: int, partial: int) -> None:
        """Record that this many messages were just completed; `partial` is the size of an incomplete one in bytes."""
        if messages:
            self.trust = max(self.trust, 1)
            self._message_timer.cancel()
        if self.closed:
            return
        if partial:
            self.start_message_timer()
        if not self.memory.set_received(partial) and not self.in_use():
            self.close(CloseReason.OVERFLOW)

    async def run(self, received: Callable[[bytes], object]) -> CloseReason:
        """Pass received bytes on until the connection ends, and return why it ended.

        `received` returns true if it has not processed all messages: it is called again, without data, in a later
        turn. A peer that floods a connection waits for its turns, as others are to be served beside it.
        """
        try:
            while True:
                self._pending_read = asyncio.ensure_future(self.stream.read_bytes(self.read_per_turn, partial=True))
                is_flooded = self._pending_read.done()  # there was more data than the last turn has read
                data = await self._pending_read
                self._pending_read = None
                if self.lingering.reason or self.input_ended:
                    self.on_residual_data(data)
                    await self.lingering.discard(len(data), self.close)
                    continue
                self.last_read = asyncio.get_running_loop().time()
                if is_flooded:
                    await self._next_turn()
                more = not self.closed and received(data)
                while more and not self.closed:
                    await self._next_turn()
                    more = not self.closed and received(b"")
        except StreamClosedError as error:
            broken = isinstance(error.real_error, OSError) and error.real_error.errno != 0
            self.close(self.lingering.reason or (CloseReason.PEER_RESET if broken else CloseReason.PEER_CLOSED))
        except StreamBufferFullError:
            self.close(CloseReason.OVERFLOW)
        except asyncio.CancelledError:
            self.close(CloseReason.SHUTDOWN)
            raise
        except Exception as error:  # an exception in a handler ends this connection, never the process
            log.event("fault", where=self.kind, error=repr(error), trace=log.trace(error))
            self.close(CloseReason.ERROR)
        finally:
            self._break_reference_cycles()
        return self.reason or CloseReason.ERROR

    async def _next_turn(self) -> None:
        """Wait for a further turn, or for the end of the connection."""
        self._turn = self.turns.request()
        await asyncio.wait((self._turn,))
        self._turn = None

    def _break_reference_cycles(self) -> None:
        """Let an ended connection be freed at once: garbage collections come by number of objects, not by bytes."""
        self.in_use, self.on_message_timeout, self.on_residual_data = _is_never_in_use, None, _ignore_data
        self._pending_read = None
        self._write_timer.end()
        if self.stream.error:
            self.stream.error.__traceback__ = None  # its frames refer to the stream

    def send(self, data: bytes, on_written: Callable[[], None] | None = None) -> bool:
        """Queue bytes and return False if the connection has ended; `on_written` is called after the last byte."""
        if self.closed:
            return False
        if self.stream.writing() and not self.memory.may_queue(len(data)):
            self.close(CloseReason.OVERFLOW)
            return False
        try:
            written = self.stream.write(data)
        except StreamClosedError:
            return False  # the reader gets the same error and logs it
        except StreamBufferFullError:
            self.close(CloseReason.OVERFLOW)
            return False
        if on_written is not None:
            if written.done():
                on_written()
            else:
                written.add_done_callback(lambda done: None if done.cancelled() or done.exception() else on_written())
        if not written.done():
            self.memory.queue(written, len(data))
            self._write_timer.watch(written, self.write_timeout)
        return True

    def flush_and_close(self, reason: CloseReason) -> None:
        """Close once the queued bytes are written, at the latest after the write timeout."""
        if not self.closed and self.stream.writing():
            flushed = self.stream.write(b"")
            flushed.add_done_callback(lambda _: self.close(reason))
        else:
            self.close(reason)

    def lingering_close(self, reason: CloseReason) -> None:
        """Write the queued bytes, shut down our direction, and discard incoming data within limits before closing."""
        if not self.closed:
            self._message_timer.cancel()
            self.memory.set_received(0)
            self.lingering.start(self.stream, reason, self.close)

    def close(self, reason: CloseReason) -> None:
        """End the connection; the first reason given is the one that is logged."""
        if self.reason is None:
            self.reason = reason
            if self._turn:
                self._turn.cancel()
            self._message_timer.end()
            self._write_timer.end()
            self.lingering.end()
            self.stream.close()
            self.memory.end()
            log.event("connection_end", id=self.ident, kind=self.kind, peer=self.peer, reason=reason.value)
