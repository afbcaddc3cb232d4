"""Accepts TCP connections up to a limit, so that the process does not run out of descriptors."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from seamlb.memory import MemoryBudget
from seamlb.net.address import address_family, split_address
from seamlb.net.close_reason import CloseReason
from seamlb.net.connection import MAX_UNREAD, MAX_UNSENT, READ_PER_TURN_CLIENT, Connection
from seamlb.net.turns import Turns


class Listener(TCPServer):
    """Accepts connections on one address; at `limit` open connections a new one replaces an idle one."""

    def __init__(
        self,
        kind: str,
        limit: int,
        handler: Callable[[Connection], Any],
        max_unsent: int = MAX_UNSENT,
        memory: MemoryBudget | None = None,
    ) -> None:
        super().__init__(max_buffer_size=MAX_UNREAD, read_chunk_size=READ_PER_TURN_CLIENT)
        self.memory = memory or MemoryBudget()
        self.turns = Turns()
        self.kind = kind
        self.limit = limit
        self.handler = handler
        self.max_unsent = max_unsent
        self.connections: dict[Connection, None] = {}  # ordered by latest message, the oldest first
        self.port = 0
        self._tasks: set[asyncio.Future[None]] = set()  # of connections that were accepted by `stop`
        self._exclusive_socket: socket.socket | None = None  # a socket that no other process accepts from

    def bind_and_listen(self, address: str) -> None:
        """Listen on this address."""
        host, port = split_address(address)
        sock = socket.socket(address_family(host))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(512)
        self._start(sock)
        self._exclusive_socket = sock

    def listen_on_descriptor(self, descriptor: int) -> None:
        """Listen on an inherited socket, which other processes may accept from too.

        At the end it is closed but never shut down, because a shutdown would stop the other processes as well.
        """
        self._start(socket.socket(fileno=descriptor))

    def _start(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.port = sock.getsockname()[1]
        self.add_socket(sock)

    def stop(self) -> None:
        """Stop listening, and take the connections that wait in the backlog, which the close would reset."""
        exclusive, self._exclusive_socket = self._exclusive_socket, None
        while exclusive is not None:
            try:
                connection, address = exclusive.accept()
            except OSError:  # the backlog is empty, or no descriptor is left
                break
            self._take(connection, address)
        super().stop()

    def _take(self, connection: socket.socket, address: Any) -> None:
        connection.setblocking(False)
        handling = self.handle_stream(
            IOStream(connection, max_buffer_size=MAX_UNREAD, read_chunk_size=READ_PER_TURN_CLIENT), address
        )
        if handling is not None:
            task = asyncio.ensure_future(handling)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def handle_stream(self, stream: IOStream, address: Any) -> Awaitable[None] | None:
        """Handle an accepted connection (Tornado callback).

        The limit is applied here, not in the coroutine: many connections are accepted in one turn of the event loop
        and coroutines run after it, when the descriptors reserved for servers and discovery would already be used up.
        """
        stream.max_write_buffer_size = self.max_unsent
        connection = Connection(stream, self.kind, f"{address[0]}:{address[1]}", memory=self.memory)
        connection.turns, connection.read_per_turn = self.turns, READ_PER_TURN_CLIENT
        is_full = len(self.connections) >= self.limit or not self.memory.has_room()
        if is_full and not self._evict_idle():
            connection.close(CloseReason.LIMIT)
            return None
        self.connections[connection] = None
        connection.start_message_timer()
        return self._handle(connection)

    async def _handle(self, connection: Connection) -> None:
        try:
            await self.handler(connection)
        finally:
            self.connections.pop(connection, None)

    def set_limit(self, limit: int) -> None:
        """Change the limit of open connections and close idle ones above it."""
        self.limit = limit
        while len(self.connections) > limit and self._evict_idle():
            pass

    def mark_used(self, connection: Connection) -> None:
        """Record that a message was received, which makes this connection the last to be evicted at its trust."""
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def _evict_idle(self) -> bool:
        """Close the idle connection with the least trust, among equals the one idle for longest; False if none is.

        Protects callers from hundreds of connections that send nothing, or send one request and stay open: callers
        that were served are evicted last.
        """
        idle = [connection for connection in self.connections if not connection.in_use()]
        if not idle:
            return False
        # `min` returns the first of equals, which is the oldest.
        connection = min(idle, key=lambda one: -1 if one.lingering.reason else one.trust)
        del self.connections[connection]
        connection.close(connection.lingering.reason or CloseReason.EVICTED)
        return True
