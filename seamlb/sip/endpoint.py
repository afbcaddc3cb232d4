"""A SIP endpoint: UDP and TCP transports and the transactions on them (RFC 3261, sections 17 and 18)."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import ip_address
from typing import Any

from seamlb import log
from seamlb.net.address import split_address
from seamlb.net.close_reason import CloseReason
from seamlb.net.connecting import ConnectError, connect
from seamlb.net.connection import Connection
from seamlb.net.datagram import DatagramEndpoint
from seamlb.net.listener import Listener
from seamlb.protocol.framing import Framer
from seamlb.protocol.sip import Message, SipError, is_decimal, parameter, parse_datagram, response
from seamlb.protocol.transaction import (
    MAGIC_COOKIE,
    Deliver,
    Effects,
    Failed,
    InviteClient,
    InviteServer,
    Key,
    NonInviteClient,
    NonInviteServer,
    Send,
    State,
    client_key,
    sent_by,
    server_key,
)

CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 600.0  # TCP connections that receive no data for this long are closed
RESEND_AFTER_S = 0.4  # without a response, a BYE over TCP is repeated on a new connection; 1 s is promised
MAX_TRANSACTIONS = 4096  # incoming; each is kept for up to 32 s, and further requests are answered with 503

Address = tuple[str, int]


@dataclass(slots=True)
class Flow:
    """The transport, address and connection that a request came from, to which its responses are sent."""

    transport: str
    source: Address
    connection: Connection | None = None

    @property
    def reliable(self) -> bool:
        """Whether the transport retransmits lost data."""
        return self.transport == "TCP"


@dataclass(slots=True)
class Target:
    """The transport and address that a request of ours is sent to."""

    transport: str
    address: Address


ServerTransaction = InviteServer | NonInviteServer
ClientTransaction = InviteClient | NonInviteClient


@dataclass(slots=True, eq=False)
class TransactionEntry:
    """A transaction with its callbacks, its timer and the TCP connection that carries it."""

    key: Key
    machine: ServerTransaction | ClientTransaction
    send: Callable[[Message], None]
    on_message: Callable[[Message], None]
    on_failure: Callable[[str], None]
    timer: asyncio.TimerHandle | None = None
    connection: Connection | None = None
    resend: Callable[[], None] | None = None  # sends a BYE over TCP on a new connection, once

    @property
    def is_unanswered(self) -> bool:
        """Whether no final response was sent or received."""
        return self.machine.state in (State.TRYING, State.PROCEEDING)

    def break_reference_cycles(self) -> None:
        """Let an ended transaction be freed at once: its callbacks refer to it and to the call that it is part of."""
        self.send = self.on_message = _ignore_message
        self.on_failure, self.resend = _ignore_failure, None


def _ignore_message(message: Message) -> None:
    """Neither send nor deliver a message of a transaction that has ended."""


def _ignore_failure(cause: str) -> None:
    """Report no failure of a transaction that has ended."""


@dataclass(slots=True)
class TcpRoute:
    """The TCP connection to an address, or the messages that wait for it to be established."""

    connection: Connection | None = None
    waiting: list[tuple[bytes, Callable[[str], None], Callable[[Connection], None]]] = field(default_factory=list)


def uri_target(uri: str, default_transport: str) -> Target:
    """Returns the target of a SIP URI; ValueError for another transport, or a host name (DNS may block)."""
    rest = uri.partition(":")[2].rpartition("@")[2]
    host, *params = rest.split(";")
    transport = next((p[10:].upper() for p in params if p.lower().startswith("transport=")), default_transport)
    if transport not in ("UDP", "TCP"):
        raise ValueError(f"unsupported transport {transport!r}")
    host = host.partition("?")[0]
    address = split_address(host if ":" in host.rpartition("]")[2] else f"{host}:5060")
    ip_address(address[0])
    return Target(transport, address)


class SipEndpoint:
    """Sends requests, and passes received requests to `on_request` and the ACKs of 2xx responses to `on_ack`."""

    def __init__(self, kind: str, max_connections: int = 256) -> None:
        self.kind = kind
        self.max_connections = max_connections
        self.on_request: Callable[[Message, TransactionEntry, Flow], None] | None = None
        self.on_ack: Callable[[Message], None] | None = None
        self.incoming: dict[Key, TransactionEntry] = {}
        self.outgoing: dict[Key, TransactionEntry] = {}
        self.tcp_routes: dict[Address, TcpRoute] = {}
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.udp: DatagramEndpoint | None = None
        self.tcp: Listener | None = None
        self.addresses: dict[str, str] = {}
        self.closing = False

    async def listen(self, udp: str = "", tcp: str = "") -> None:
        """Binds the addresses that are given; port 0 selects a free port."""
        if udp:
            self.udp = await DatagramEndpoint.bind(udp, self.kind, self._datagram_received)
            self.addresses["UDP"] = "{}:{}".format(*self.udp.address)
        if tcp:
            self.tcp = Listener(self.kind, self.max_connections, self._serve)
            self.tcp.bind_and_listen(tcp)
            self.addresses["TCP"] = f"{split_address(tcp)[0]}:{self.tcp.port}"
        self._start_task(self._close_idle_connections())

    def stop_listening(self) -> None:
        """Stops accepting TCP connections."""
        if self.tcp:
            self.tcp.stop()

    def close(self) -> None:
        """Cancels timers and tasks, and closes all sockets."""
        self.closing = True
        self.stop_listening()
        for entry in (*self.incoming.values(), *self.outgoing.values()):
            if entry.timer:
                entry.timer.cancel()
        for connection in list(self.connections):
            connection.flush_and_close(CloseReason.SHUTDOWN)
        for task in self.tasks:
            task.cancel()
        if self.udp:
            self.udp.close()

    def via(self, transport: str) -> str:
        """Builds a Via header with a new branch for one of our requests."""
        return f"SIP/2.0/{transport} {self.addresses[transport]};branch={MAGIC_COOKIE}{secrets.token_hex(8)};rport"

    def contact(self, transport: str) -> str:
        """Builds the value of our Contact header."""
        return f"<sip:seamlb@{self.addresses[transport]};transport={transport.lower()}>"

    # -- transactions -------------------------------------------------------------------------

    def request(
        self,
        message: Message,
        target: Target,
        on_response: Callable[[Message], None],
        on_failure: Callable[[str], None],
        on_sent: Callable[[], None] = lambda: None,
    ) -> TransactionEntry:
        """Starts a client transaction; `on_failure` gets `timeout`, `connect` or `lost`, `on_sent` runs once sent."""
        reliable = target.transport == "TCP"
        machine = (InviteClient if message.method == "INVITE" else NonInviteClient)(message, reliable)
        entry = TransactionEntry(client_key(message), machine, lambda unsent: None, on_response, on_failure)

        def on_error(cause: str) -> None:
            if machine.fail():
                self._update_timer(entry)
                on_failure(cause)

        def on_connection(connection: Connection) -> None:
            if entry.connection is None:  # not for the ACK of a refusal
                on_sent()
            entry.connection = connection

        entry.send = lambda outbound: self.transmit(outbound, target, on_error, on_connection)
        self.outgoing[entry.key] = entry
        self._apply(entry, machine.start(self._now()))
        if not reliable:
            on_sent()
        elif message.method == "BYE":
            entry.resend = lambda: self._send_on_new_connection(entry, target, message.encode())
            asyncio.get_running_loop().call_later(RESEND_AFTER_S, self._resend, entry)
        return entry

    def _resend(self, entry: TransactionEntry) -> None:
        """Repeat a BYE without a response on a new connection, but only once: its own may be quiet yet open."""
        resend, entry.resend = entry.resend, None
        if resend and entry.is_unanswered and not self.closing:
            resend()

    def _send_on_new_connection(self, entry: TransactionEntry, target: Target, data: bytes) -> None:
        def on_error(cause: str) -> None:
            if entry.connection is None or entry.connection.closed:
                self._apply(entry, entry.machine.fail())

        def on_connection(connection: Connection) -> None:
            entry.connection = connection

        self._start_task(self._connect(target.address, TcpRoute(waiting=[(data, on_error, on_connection)])))

    def respond(self, entry: TransactionEntry, message: Message) -> None:
        """Sends a response in the transaction of its request."""
        if isinstance(entry.machine, (InviteServer, NonInviteServer)):
            self._apply(entry, entry.machine.respond(message, self._now()))

    def cancel_sent(self, entry: TransactionEntry) -> None:
        """Limits the wait for a final response after a CANCEL was sent for this INVITE."""
        if isinstance(entry.machine, InviteClient):
            entry.machine.cancel_sent(self._now())
            self._update_timer(entry)

    def transmit(
        self,
        message: Message,
        target: Target,
        on_error: Callable[[str], None] = lambda cause: None,
        on_connection: Callable[[Connection], None] = lambda connection: None,
    ) -> None:
        """Sends a message; also used outside of transactions, for the ACK of a 2xx response."""
        data = message.encode()
        if target.transport == "UDP":
            if self.udp:
                self.udp.send(data, target.address)
            return
        route = self.tcp_routes.setdefault(target.address, TcpRoute())
        if route.connection and route.connection.send(data):
            on_connection(route.connection)
            return
        route.connection = None
        route.waiting.append((data, on_error, on_connection))
        if len(route.waiting) == 1:
            self._start_task(self._connect(target.address, route))

    def use_connection(self, address: Address, connection: Connection) -> None:
        """Uses a connection that was accepted from an address for the messages to that address."""
        self.tcp_routes.setdefault(address, TcpRoute()).connection = connection

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _apply(self, entry: TransactionEntry, effects: Effects) -> None:
        for effect in effects:
            match effect:
                case Send(message):
                    entry.send(message)
                case Deliver(message):
                    entry.on_message(message)
                case Failed(timeout):
                    entry.on_failure("timeout" if timeout else "lost")
        self._update_timer(entry)

    def _update_timer(self, entry: TransactionEntry) -> None:
        """Schedules the next poll of the transaction, or removes it once it has ended."""
        if entry.timer:
            entry.timer.cancel()
            entry.timer = None
        table = self.incoming if isinstance(entry.machine, (InviteServer, NonInviteServer)) else self.outgoing
        if entry.machine.terminated:
            if table.get(entry.key) is entry:
                del table[entry.key]
            entry.break_reference_cycles()
        elif entry.machine.timers and not self.closing:
            loop = asyncio.get_running_loop()
            entry.timer = loop.call_at(entry.machine.due, self._timer_fired, entry)

    def _timer_fired(self, entry: TransactionEntry) -> None:
        entry.timer = None
        self._apply(entry, entry.machine.poll(self._now() + 0.001))

    # -- received messages --------------------------------------------------------------------

    def _datagram_received(self, data: bytes, source: Address) -> None:
        if not data.strip(b"\r\n\0 "):
            return  # keep-alive
        flow = Flow("UDP", source)
        try:
            self._message_received(parse_datagram(data), flow)
        except SipError as error:
            self._malformed(error, flow)

    def _malformed(self, error: SipError, flow: Flow) -> None:
        log.event("malformed", kind=self.kind, peer="{}:{}".format(*flow.source), error=str(error))
        if request := error.request_to_answer():
            add_source_to_via(request, flow.source)
            self._send_response(response(request, error.status, tag=secrets.token_hex(4)), request, flow)

    async def _serve(self, connection: Connection) -> None:
        flow, framer = Flow("TCP", split_address(connection.peer), connection), Framer()
        self.connections.add(connection)
        connection.in_use = lambda: any(
            entry.connection is connection and entry.is_unanswered
            for entry in (*self.incoming.values(), *self.outgoing.values())
        )

        def malformed(error: SipError) -> None:
            self._malformed(error, flow)
            if error.fatal:
                connection.lingering_close(CloseReason.MALFORMED)

        def received(data: bytes) -> None:
            count = framer.feed_and_dispatch(data, lambda message: self._message_received(message, flow), malformed)
            connection.messages_read(count, bool(framer.data))
            if count and self.tcp:
                self.tcp.mark_used(connection)

        try:
            await connection.run(received)
        finally:
            self.connections.discard(connection)
            for address in [peer for peer, route in self.tcp_routes.items() if route.connection is connection]:
                del self.tcp_routes[address]
            if not self.closing:
                self._connection_lost(connection)

    def _connection_lost(self, connection: Connection) -> None:
        """Fails our requests that wait for a response on this connection (18.4), or repeats a BYE on another one."""
        for entry in list(self.outgoing.values()):
            if entry.connection is not connection or not entry.is_unanswered:
                continue
            if entry.resend:
                self._resend(entry)
            else:
                self._apply(entry, entry.machine.fail())

    def _message_received(self, message: Message, flow: Flow) -> None:
        if message.status:
            entry = self.outgoing.get(client_key(message))
            if entry and isinstance(entry.machine, (InviteClient, NonInviteClient)):
                self._apply(entry, entry.machine.receive(message, self._now()))
            return
        if not all(message.get(name) for name in ("via", "from", "to")):
            return self._malformed(SipError("Via, From or To missing", message), flow)
        key = server_key(message)
        entry = self.incoming.get(key)
        if entry and isinstance(entry.machine, (InviteServer, NonInviteServer)):
            return self._apply(entry, entry.machine.receive(message, self._now()))
        if message.method == "ACK":
            if self.on_ack:
                self.on_ack(message)
            return
        add_source_to_via(message, flow.source)
        if len(self.incoming) >= MAX_TRANSACTIONS or self.on_request is None:
            return self._send_response(response(message, 503, tag=secrets.token_hex(4)), message, flow)
        machine = (InviteServer if message.method == "INVITE" else NonInviteServer)(message, flow.reliable)
        entry = TransactionEntry(
            key,
            machine,
            lambda outbound: self._send_response(outbound, message, flow, on_error),
            self.on_ack or (lambda ack: None),
            lambda cause: log.event("no_ack", kind=self.kind, call=message.get("call-id"), how=cause),
        )

        def on_error(cause: str) -> None:
            on_failure = entry.on_failure
            if machine.fail():
                self._update_timer(entry)
                on_failure(cause)

        entry.connection = flow.connection
        self.incoming[key] = entry
        self.on_request(message, entry, flow)

    def _send_response(
        self, answer: Message, request: Message, flow: Flow, on_error: Callable[[str], None] = lambda cause: None
    ) -> None:
        """Sends a response as 18.2.2 requires."""
        if flow.connection and flow.connection.send(answer.encode()):
            return
        via = request.get_all("via")[0]
        _, colon, via_port = sent_by(via).rpartition(":")
        port = int(via_port) if colon and is_decimal(via_port) else 5060
        rport = parameter(via, "rport")
        if flow.transport == "UDP" and is_decimal(rport):
            port = int(rport)
        # On TCP, the request's connection has closed; a new one is opened to the port that the caller listens on.
        self.transmit(answer, Target(flow.transport, (flow.source[0], min(port, 65535))), on_error)

    # -- outgoing TCP connections -------------------------------------------------------------

    async def _connect(self, address: Address, route: TcpRoute) -> None:
        try:
            connection = await connect("{}:{}".format(*address), self.kind, CONNECT_TIMEOUT_S)
        except ConnectError:
            waiting, route.waiting = route.waiting, []
            if self.tcp_routes.get(address) is route:
                del self.tcp_routes[address]
            for _, on_error, _ in waiting:
                on_error("connect")
            return
        route.connection = connection
        waiting, route.waiting = route.waiting, []
        for data, on_error, on_connection in waiting:
            if connection.send(data):
                on_connection(connection)
            else:
                on_error("lost")
        await self._serve(connection)

    async def _close_idle_connections(self) -> None:
        """Closes TCP connections that have received no data for `IDLE_TIMEOUT_S`."""
        while True:
            await asyncio.sleep(IDLE_TIMEOUT_S / 10)
            for connection in list(self.connections):
                if self._now() - connection.last_read > IDLE_TIMEOUT_S:
                    connection.close(CloseReason.IDLE)

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def add_source_to_via(request: Message, source: Address) -> None:
    """Adds a request's source address to its top Via header as received and rport (18.2.1, RFC 3581)."""
    for index, (name, value) in enumerate(request.headers):
        if name.lower() == "via":
            first, comma, rest = value.partition(",")
            parts = first.split(";")
            host = sent_by(first).rpartition(":")[0] or sent_by(first)
            if any(part.strip().lower() == "rport" for part in parts):
                parts = [f"rport={source[1]}" if part.strip().lower() == "rport" else part for part in parts]
                parts.append(f"received={source[0]}")
            elif host != source[0]:
                parts.append(f"received={source[0]}")
            request.headers[index] = (name, ";".join(parts) + comma + rest)
            return
