"""A TCP connection on Tornado's IOStream: bounded buffers, write time-out, one log line at its end."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Any

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpserver import TCPServer

from seamlb import log
from seamlb.net.reason import CloseReason

READ_CHUNK = 64 * 1024
MAX_UNSENT = 1024 * 1024
WRITE_TIMEOUT = 5.0


class ConnectFailed(Exception):
    """A connection that never came up."""

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


def split_address(address: str) -> tuple[str, int]:
    """`host:port`, the port a number; ValueError otherwise."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not host:port: {address!r}")
    return host.strip("[]"), int(port)


class Connection:
    """One connection; whoever calls `run` gets its bytes until it ends."""

    def __init__(self, stream: IOStream, kind: str, peer: str, write_timeout: float = WRITE_TIMEOUT) -> None:
        self.stream = stream
        self.kind = kind
        self.peer = peer
        self.write_timeout = write_timeout
        self.reason: CloseReason | None = None
        self.last_read = asyncio.get_running_loop().time()
        self._stuck: asyncio.TimerHandle | None = None
        self._last: asyncio.Future[None] | None = None  # the latest write not taken at once
        stream.set_nodelay(True)

    @property
    def closed(self) -> bool:
        return self.reason is not None or self.stream.closed()

    async def run(self, received: Callable[[bytes], None]) -> CloseReason:
        """Hand over bytes until the connection ends; returns why it did."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                data = await self.stream.read_bytes(READ_CHUNK, partial=True)
                self.last_read = loop.time()
                received(data)
        except StreamClosedError as error:
            broken = isinstance(error.real_error, OSError) and error.real_error.errno != 0
            self.close(CloseReason.PEER_RESET if broken else CloseReason.PEER_CLOSED)
        except StreamBufferFullError:
            self.close(CloseReason.OVERFLOW)
        except asyncio.CancelledError:
            self.close(CloseReason.SHUTDOWN)
            raise
        except Exception as error:  # a fault in a handler ends this connection, never the process
            log.event("fault", where=self.kind, error=repr(error), trace=log.trace(error))
            self.close(CloseReason.ERROR)
        return self.reason or CloseReason.ERROR

    def send(self, data: bytes) -> bool:
        """Queue bytes; False if the connection has ended or ends by this."""
        if self.closed:
            return False
        try:
            written = self.stream.write(data)
        except StreamClosedError:
            return False  # the reader sees the end too and logs it
        except StreamBufferFullError:
            self.close(CloseReason.OVERFLOW)
            return False
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

    def finish(self, reason: CloseReason) -> None:
        """Close once what is queued is out, at the write time-out at the latest."""
        if not self.closed and self.stream.writing():
            flushed = self.stream.write(b"")
            flushed.add_done_callback(lambda _: self.close(reason))
        else:
            self.close(reason)

    def close(self, reason: CloseReason) -> None:
        """End the connection; the first reason given is the one that is logged."""
        if self.reason is None:
            self.reason = reason
            self._moved(None)
            self.stream.close()
            log.event("connection_end", kind=self.kind, peer=self.peer, reason=reason.value)


async def connect(address: str, kind: str, timeout: float) -> Connection:
    """Open a connection; ConnectFailed says why there is none, and its log line is written."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    stream = IOStream(socket.socket(family), max_buffer_size=4 * READ_CHUNK, max_write_buffer_size=MAX_UNSENT)
    try:
        await asyncio.wait_for(stream.connect((host, port)), timeout)
    except TimeoutError:
        reason = CloseReason.CONNECT_TIMEOUT
    except StreamClosedError as error:
        refused = isinstance(error.real_error, OSError) and error.real_error.errno == errno.ECONNREFUSED
        reason = CloseReason.REFUSED if refused else CloseReason.PEER_RESET
    except asyncio.CancelledError:
        stream.close()
        log.event("connection_end", kind=kind, peer=address, reason=CloseReason.SHUTDOWN.value)
        raise
    except OSError:
        reason = CloseReason.ERROR
    else:
        return Connection(stream, kind, address)
    stream.close()
    log.event("connection_end", kind=kind, peer=address, reason=reason.value)
    raise ConnectFailed(reason)


class Listener(TCPServer):
    """Accepts connections on one address; at most `limit` at a time."""

    def __init__(self, kind: str, limit: int, accepted: Callable[[Connection], Any]) -> None:
        super().__init__(max_buffer_size=4 * READ_CHUNK)
        self.kind = kind
        self.limit = limit
        self.accepted = accepted
        self.open = 0
        self.port = 0

    def start_at(self, address: str) -> None:
        """Listen on this address only."""
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(512)
        sock.setblocking(False)
        self.port = sock.getsockname()[1]
        self.add_socket(sock)

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Tornado's entry for an accepted connection."""
        stream.max_write_buffer_size = MAX_UNSENT
        connection = Connection(stream, self.kind, f"{address[0]}:{address[1]}")
        if self.open >= self.limit:
            return connection.close(CloseReason.LIMIT)  # descriptors are kept for desks and the board
        self.open += 1
        try:
            await self.accepted(connection)
        finally:
            self.open -= 1
