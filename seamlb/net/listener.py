"""Accepts TCP connections, as many as descriptors may be had for."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from seamlb.net.address import address_family, split_address
from seamlb.net.connection import MAX_UNSENT, READ_CHUNK, Connection
from seamlb.net.reason import CloseReason


class Listener(TCPServer):
    """Accepts connections on one address; at most `limit` at a time, of which idle ones give way to new ones."""

    def __init__(
        self, kind: str, limit: int, accepted: Callable[[Connection], Any], max_unsent: int = MAX_UNSENT
    ) -> None:
        super().__init__(max_buffer_size=4 * READ_CHUNK)
        self.kind = kind
        self.limit = limit
        self.accepted = accepted
        self.max_unsent = max_unsent
        self.connections: dict[Connection, None] = {}  # the longest without a message first
        self.port = 0
        self._tasks: set[asyncio.Future[None]] = set()  # of connections taken at the stop
        self._own: socket.socket | None = None  # what nobody else accepts from

    def bind_and_listen(self, address: str) -> None:
        """Listen on this address only."""
        host, port = split_address(address)
        sock = socket.socket(address_family(host))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(512)
        self._start(sock)
        self._own = sock

    def listen_on_descriptor(self, descriptor: int) -> None:
        """Listen on a socket that was handed down; other processes may accept from it too.

        It is closed at the end and never shut down, as that would end it for them as well.
        """
        self._start(socket.socket(fileno=descriptor))

    def _start(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.port = sock.getsockname()[1]
        self.add_socket(sock)

    def stop(self) -> None:
        """Accept no more. What the system has accepted for us by now is taken: a close would break it off."""
        own, self._own = self._own, None
        while own is not None:
            try:
                connection, address = own.accept()
            except OSError:  # no more are waiting, or no descriptor is left
                break
            self._take(connection, address)
        super().stop()

    def _take(self, connection: socket.socket, address: Any) -> None:
        connection.setblocking(False)
        held = self.handle_stream(IOStream(connection, max_buffer_size=self.max_buffer_size), address)
        if held is not None:
            task = asyncio.ensure_future(held)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def handle_stream(self, stream: IOStream, address: Any) -> Awaitable[None] | None:
        """Tornado's entry for an accepted connection.

        It takes its place, or is closed, at once: many are accepted in one turn of the loop, and coroutines run after
        it, so that descriptors kept for servers and discovery would be gone before the limit was looked at.
        """
        stream.max_write_buffer_size = self.max_unsent
        connection = Connection(stream, self.kind, f"{address[0]}:{address[1]}")
        if len(self.connections) >= self.limit and not self._make_room():
            connection.close(CloseReason.LIMIT)
            return None
        self.connections[connection] = None
        connection.expect()
        return self._hold(connection)

    async def _hold(self, connection: Connection) -> None:
        try:
            await self.accepted(connection)
        finally:
            self.connections.pop(connection, None)

    def set_limit(self, limit: int) -> None:
        """Hold at most so many from now on; idle ones beyond that are closed."""
        self.limit = limit
        while len(self.connections) > limit and self._make_room():
            pass

    def mark_used(self, connection: Connection) -> None:
        """A message came on it: it is the last to give way."""
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def _make_room(self) -> bool:
        """Close an idle connection: of least credit, and of these the one idle for longest.

        Guards good callers against hundreds that connect and say nothing, or ask once and stay for good: who has
        been served gives way last.
        """
        idle = [one for one in self.connections if not one.in_use()]
        if not idle:
            return False
        one = min(idle, key=lambda one: -1 if one.ending else one.credit)  # of equals the first, so the oldest
        del self.connections[one]
        one.close(one.ending or CloseReason.EVICTED)
        return True
