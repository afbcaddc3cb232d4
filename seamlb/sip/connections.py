"""The TCP connections of a SIP endpoint: accepted ones, and those opened to send a message."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from seamlb.memory import MemoryBudget
from seamlb.net.address import split_address
from seamlb.net.close_reason import CloseReason
from seamlb.net.connecting import ConnectError, connect
from seamlb.net.connection import MAX_UNSENT_CLIENT, Connection
from seamlb.net.listener import Listener
from seamlb.net.turns import MESSAGES_PER_TURN
from seamlb.protocol.framing import Framer
from seamlb.protocol.sip import Message, SipError
from seamlb.sip.addresses import Address, Flow

CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 600.0  # connections that receive no data for this long are closed


class ConnectionOwner(Protocol):
    """Receives the messages and events of the connections."""

    kind: str

    def message_received(self, message: Message, flow: Flow) -> None:
        """Handle a complete message."""

    def malformed(self, error: SipError, flow: Flow) -> None:
        """Answer a malformed message if that is possible."""

    def is_in_use(self, connection: Connection) -> bool:
        """Whether a transaction on the connection has no final response."""

    def connection_lost(self, connection: Connection) -> None:
        """Handle the end of a connection."""


@dataclass(slots=True)
class Unsent:
    """A message that waits for a connection."""

    data: bytes
    on_error: Callable[[str], None]  # gets `connect` or `lost`
    on_connection: Callable[[Connection], None]
    is_wanted: Callable[[], bool] = lambda: True  # False: it was given up while it waited


@dataclass(slots=True)
class Route:
    """The connection to an address, or the messages that wait for it to be established."""

    connection: Connection | None = None
    waiting: list[Unsent] = field(default_factory=list)


class TcpConnections:
    """All connections of one endpoint, and which of them leads to which address."""

    def __init__(self, owner: ConnectionOwner, max_connections: int, memory: MemoryBudget) -> None:
        self.owner = owner
        self.memory = memory
        self.max_connections = max_connections
        self.routes: dict[Address, Route] = {}
        self.open: set[Connection] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.listener: Listener | None = None
        self.closing = False

    def listen(self, address: str) -> str:
        """Listens on an address; returns it with the port that is bound."""
        self.listener = Listener(self.owner.kind, self.max_connections, self._serve, MAX_UNSENT_CLIENT, self.memory)
        self.listener.bind_and_listen(address)
        self._start_task(self._close_idle())
        return f"{split_address(address)[0]}:{self.listener.port}"

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self.listener:
            self.listener.stop()

    def close(self) -> None:
        """Flushes and closes all connections."""
        self.closing = True
        self.stop_listening()
        for connection in list(self.open):
            connection.flush_and_close(CloseReason.SHUTDOWN)
        for task in self.tasks:
            task.cancel()

    def use(self, address: Address, connection: Connection) -> None:
        """Uses a connection that was accepted from an address for the messages to that address."""
        self.routes.setdefault(address, Route()).connection = connection

    def send(self, address: Address, unsent: Unsent) -> None:
        """Sends a message on the connection to an address, which is opened if there is none."""
        route = self.routes.setdefault(address, Route())
        if route.connection and route.connection.send(unsent.data):
            unsent.on_connection(route.connection)
            return
        route.connection = None
        route.waiting.append(unsent)
        if len(route.waiting) == 1:
            self._start_task(self._connect(address, route))

    def send_on_new(self, address: Address, unsent: Unsent) -> None:
        """Sends a message on a new connection, beside the one that leads to the address."""
        self._start_task(self._connect(address, Route(waiting=[unsent])))

    async def _connect(self, address: Address, route: Route) -> None:
        try:
            connection = await connect("{}:{}".format(*address), self.owner.kind, CONNECT_TIMEOUT_S)
        except ConnectError:
            waiting, route.waiting = route.waiting, []
            if self.routes.get(address) is route:
                del self.routes[address]
            for unsent in waiting:
                unsent.on_error("connect")
            return
        route.connection = connection
        waiting, route.waiting = route.waiting, []
        for unsent in waiting:
            if not unsent.is_wanted():
                continue
            if connection.send(unsent.data):
                unsent.on_connection(connection)
            else:
                unsent.on_error("lost")
        await self._serve(connection)

    async def _serve(self, connection: Connection) -> None:
        flow, framer = Flow("TCP", split_address(connection.peer), connection), Framer()
        self.open.add(connection)
        connection.in_use = lambda: self.owner.is_in_use(connection) or framer.has_more

        def malformed(error: SipError) -> None:
            self.owner.malformed(error, flow)
            if error.fatal:
                connection.input_ended = True
                self.end_if_unused(connection)

        def message_received(message: Message) -> None:
            if not connection.input_ended:
                self.owner.message_received(message, flow)

        def received(data: bytes) -> bool:
            count = framer.feed_and_dispatch(data, message_received, malformed, MESSAGES_PER_TURN)
            connection.messages_read(count, len(framer.data))
            if count and self.listener:
                self.listener.mark_used(connection)
            return framer.has_more

        try:
            await connection.run(received)
        finally:
            self.open.discard(connection)
            for address in [peer for peer, route in self.routes.items() if route.connection is connection]:
                del self.routes[address]
            if not self.closing:
                self.owner.connection_lost(connection)

    def end_if_unused(self, connection: Connection) -> None:
        """Ends a connection whose input can no longer be parsed, unless a transaction on it has no final response."""
        if connection.input_ended and not self.owner.is_in_use(connection):
            connection.lingering_close(CloseReason.MALFORMED)

    async def _close_idle(self) -> None:
        while True:
            await asyncio.sleep(IDLE_TIMEOUT_S / 10)
            now = asyncio.get_running_loop().time()
            for connection in list(self.open):
                if now - connection.last_read > IDLE_TIMEOUT_S:
                    connection.close(CloseReason.IDLE)

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
