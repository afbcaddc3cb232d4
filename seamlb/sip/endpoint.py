"""A SIP endpoint: UDP and TCP transports under one table of transactions (RFC 3261, 17 and 18)."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import ip_address
from typing import Any

from seamlb import log
from seamlb.net.address import split_address
from seamlb.net.connection import Connection
from seamlb.net.datagram import DatagramEndpoint
from seamlb.net.dial import ConnectError, connect
from seamlb.net.listener import Listener
from seamlb.net.reason import CloseReason
from seamlb.protocol.sip import Framer, Message, SipError, is_decimal, parameter, parse_datagram, response
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
    client_key,
    sent_by,
    server_key,
)

CONNECT_TIMEOUT = 0.5
IDLE = 600.0  # seconds without a byte after which a TCP connection is closed
MAX_TRANSACTIONS = 4096  # each is held for up to 32 s; beyond that requests are refused

Address = tuple[str, int]


@dataclass(slots=True)
class Flow:
    """Where a request came from, and so where its answers go."""

    transport: str
    source: Address
    connection: Connection | None = None

    @property
    def reliable(self) -> bool:
        """Does the transport repeat what is lost?"""
        return self.transport == "TCP"


@dataclass(slots=True)
class Target:
    """Where a request of ours goes."""

    transport: str
    address: Address


Server = InviteServer | NonInviteServer
Client = InviteClient | NonInviteClient


@dataclass(slots=True, eq=False)
class TransactionEntry:
    """A transaction, its way to the wire, and its timer."""

    key: Key
    machine: Server | Client
    send: Callable[[Message], None]
    deliver: Callable[[Message], None]
    on_failure: Callable[[str], None]
    timer: asyncio.TimerHandle | None = None
    connection: Connection | None = None


@dataclass(slots=True)
class Route:
    """The TCP connection to one address, or the messages that wait for it."""

    connection: Connection | None = None
    waiting: list[tuple[bytes, Callable[[str], None], Callable[[Connection], None]]] = field(default_factory=list)


def uri_target(uri: str, default_transport: str) -> Target:
    """Where a sip: URI points; ValueError if it holds no IP address (a name would need DNS, which may block)."""
    rest = uri.partition(":")[2].rpartition("@")[2]
    host, *params = rest.split(";")
    transport = next((p[10:].upper() for p in params if p.lower().startswith("transport=")), default_transport)
    if transport not in ("UDP", "TCP"):
        raise ValueError(f"transport {transport!r}")
    host = host.partition("?")[0]
    address = split_address(host if ":" in host.rpartition("]")[2] else f"{host}:5060")
    ip_address(address[0])
    return Target(transport, address)


class SipEndpoint:
    """Receives requests for `on_request`, ACKs of answers for `on_ack`; sends requests for anyone."""

    def __init__(self, kind: str, limit: int = 256) -> None:
        self.kind = kind
        self.limit = limit
        self.on_request: Callable[[Message, TransactionEntry, Flow], None] | None = None
        self.on_ack: Callable[[Message], None] | None = None
        self.incoming: dict[Key, TransactionEntry] = {}
        self.outgoing: dict[Key, TransactionEntry] = {}
        self.routes: dict[Address, Route] = {}
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.udp: DatagramEndpoint | None = None
        self.tcp: Listener | None = None
        self.addresses: dict[str, str] = {}
        self.closing = False

    async def listen(self, udp: str = "", tcp: str = "") -> None:
        """Bind what is named; port 0 takes a free one."""
        if udp:
            self.udp = await DatagramEndpoint.bind(udp, self.kind, self._datagram)
            self.addresses["UDP"] = "{}:{}".format(*self.udp.address)
        if tcp:
            self.tcp = Listener(self.kind, self.limit, self._serve)
            self.tcp.bind_and_listen(tcp)
            self.addresses["TCP"] = f"{split_address(tcp)[0]}:{self.tcp.port}"
        self._spawn(self._sweep())

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self.tcp:
            self.tcp.stop()

    def close(self) -> None:
        """Close all sockets."""
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
        """A Via with a new branch for a request of ours."""
        return f"SIP/2.0/{transport} {self.addresses[transport]};branch={MAGIC_COOKIE}{secrets.token_hex(8)};rport"

    def contact(self, transport: str) -> str:
        """Our address for a Contact header."""
        return f"<sip:seamlb@{self.addresses[transport]};transport={transport.lower()}>"

    # -- transactions -------------------------------------------------------------------------

    def request(
        self,
        message: Message,
        target: Target,
        deliver: Callable[[Message], None],
        failed: Callable[[str], None],
        out: Callable[[], None] = lambda: None,
    ) -> TransactionEntry:
        """Start a client transaction; `failed` is told `timeout`, `connect` or `lost`, `out` that it has left."""
        reliable = target.transport == "TCP"
        machine = (InviteClient if message.method == "INVITE" else NonInviteClient)(message, reliable)
        entry = TransactionEntry(client_key(message), machine, lambda one: None, deliver, failed)

        def broken(how: str) -> None:
            if machine.fail():
                self._settle(entry)
                failed(how)

        def carried(connection: Connection) -> None:
            if entry.connection is None:  # its ACK may go by it too
                out()
            entry.connection = connection

        entry.send = lambda one: self.transmit(one, target, broken, carried)
        self.outgoing[entry.key] = entry
        self._carry(entry, machine.start(self._now()))
        if not reliable:
            out()
        return entry

    def respond(self, entry: TransactionEntry, message: Message) -> None:
        """Answer a request by its transaction."""
        if isinstance(entry.machine, (InviteServer, NonInviteServer)):
            self._carry(entry, entry.machine.respond(message, self._now()))

    def cancel_sent(self, entry: TransactionEntry) -> None:
        """A CANCEL went out for this INVITE of ours."""
        if isinstance(entry.machine, InviteClient):
            entry.machine.cancel_sent(self._now())
            self._settle(entry)

    def transmit(
        self,
        message: Message,
        target: Target,
        broken: Callable[[str], None] = lambda how: None,
        carried: Callable[[Connection], None] = lambda connection: None,
    ) -> None:
        """Put a message on the wire, outside any transaction too (the ACK of an answer)."""
        data = message.encode()
        if target.transport == "UDP":
            if self.udp:
                self.udp.send(data, target.address)
            return
        route = self.routes.setdefault(target.address, Route())
        if route.connection and route.connection.send(data):
            carried(route.connection)
            return
        route.connection = None
        route.waiting.append((data, broken, carried))
        if len(route.waiting) == 1:
            self._spawn(self._connect(target.address, route))

    def use_connection(self, address: Address, connection: Connection) -> None:
        """Send what goes to an address by a connection that came from there."""
        self.routes.setdefault(address, Route()).connection = connection

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _carry(self, entry: TransactionEntry, effects: Effects) -> None:
        for effect in effects:
            match effect:
                case Send(message):
                    entry.send(message)
                case Deliver(message):
                    entry.deliver(message)
                case Failed(timeout):
                    entry.on_failure("timeout" if timeout else "lost")
        self._settle(entry)

    def _settle(self, entry: TransactionEntry) -> None:
        """Set the timer to what the machine wants next, or drop the transaction."""
        if entry.timer:
            entry.timer.cancel()
            entry.timer = None
        table = self.incoming if isinstance(entry.machine, (InviteServer, NonInviteServer)) else self.outgoing
        if entry.machine.terminated:
            if table.get(entry.key) is entry:
                del table[entry.key]
        elif entry.machine.timers and not self.closing:
            loop = asyncio.get_running_loop()
            entry.timer = loop.call_at(entry.machine.due, self._fire, entry)

    def _fire(self, entry: TransactionEntry) -> None:
        entry.timer = None
        self._carry(entry, entry.machine.poll(self._now() + 0.001))

    # -- what arrives -------------------------------------------------------------------------

    def _datagram(self, data: bytes, source: Address) -> None:
        if not data.strip(b"\r\n\0 "):
            return  # keep-alive
        flow = Flow("UDP", source)
        try:
            self._message(parse_datagram(data), flow)
        except SipError as error:
            self._malformed(error, flow)

    def _malformed(self, error: SipError, flow: Flow) -> None:
        log.event("malformed", kind=self.kind, peer="{}:{}".format(*flow.source), error=str(error))
        if request := error.request_to_answer():
            mark_source(request, flow.source)
            self._answer(response(request, error.status, tag=secrets.token_hex(4)), request, flow)

    async def _serve(self, connection: Connection) -> None:
        host, port = split_address(connection.peer)
        flow, framer = Flow("TCP", (host, port), connection), Framer()
        self.connections.add(connection)
        connection.in_use = lambda: any(
            entry.connection is connection and entry.machine.state.name in ("TRYING", "PROCEEDING")
            for entry in (*self.incoming.values(), *self.outgoing.values())
        )

        def malformed(error: SipError) -> None:
            self._malformed(error, flow)
            if error.fatal:
                connection.lingering_close(CloseReason.MALFORMED)

        def received(data: bytes) -> None:
            whole = framer.feed_and_dispatch(data, lambda message: self._message(message, flow), malformed)
            connection.messages_read(whole, bool(framer.data))
            if whole and self.tcp:
                self.tcp.mark_used(connection)

        try:
            await connection.run(received)
        finally:
            self.connections.discard(connection)
            for address in [one for one, route in self.routes.items() if route.connection is connection]:
                del self.routes[address]
            if not self.closing:
                self._lost(connection)

    def _lost(self, connection: Connection) -> None:
        """Requests of ours that wait for an answer on this connection get none (18.4)."""
        for entry in list(self.outgoing.values()):
            if entry.connection is connection:
                effects = entry.machine.fail() if entry.machine.state.name in ("TRYING", "PROCEEDING") else []
                self._carry(entry, effects)

    def _message(self, message: Message, flow: Flow) -> None:
        if message.status:
            entry = self.outgoing.get(client_key(message))
            if entry and isinstance(entry.machine, (InviteClient, NonInviteClient)):
                self._carry(entry, entry.machine.receive(message, self._now()))
            return
        if not all(message.get(name) for name in ("via", "from", "to")):
            return self._malformed(SipError("Via, From or To missing", message), flow)
        key = server_key(message)
        entry = self.incoming.get(key)
        if entry and isinstance(entry.machine, (InviteServer, NonInviteServer)):
            return self._carry(entry, entry.machine.receive(message, self._now()))
        if message.method == "ACK":
            if self.on_ack:
                self.on_ack(message)
            return
        mark_source(message, flow.source)
        if len(self.incoming) >= MAX_TRANSACTIONS or self.on_request is None:
            return self._answer(response(message, 503, tag=secrets.token_hex(4)), message, flow)
        machine = (InviteServer if message.method == "INVITE" else NonInviteServer)(message, flow.reliable)
        entry = TransactionEntry(
            key,
            machine,
            lambda one: self._answer(one, message, flow, broken),
            self.on_ack or (lambda one: None),
            lambda how: log.event("no_ack", kind=self.kind, call=message.get("call-id"), how=how),
        )

        def broken(how: str) -> None:
            if machine.fail():
                self._settle(entry)
                entry.on_failure(how)

        entry.connection = flow.connection
        self.incoming[key] = entry
        self.on_request(message, entry, flow)

    def _answer(
        self, answer: Message, request: Message, flow: Flow, broken: Callable[[str], None] = lambda how: None
    ) -> None:
        """Send a response where 18.2.2 has it go."""
        if flow.connection and flow.connection.send(answer.encode()):
            return
        via = request.get_all("via")[0]
        _, colon, port = sent_by(via).rpartition(":")
        place = int(port) if colon and is_decimal(port) else 5060
        rport = parameter(via, "rport")
        if flow.transport == "UDP" and is_decimal(rport):
            place = int(rport)
        # The connection is gone: the answer goes by a new one to where the caller listens.
        self.transmit(answer, Target(flow.transport, (flow.source[0], min(place, 65535))), broken)

    # -- TCP connections of ours --------------------------------------------------------------

    async def _connect(self, address: Address, route: Route) -> None:
        try:
            connection = await connect("{}:{}".format(*address), self.kind, CONNECT_TIMEOUT)
        except ConnectError:
            waiting, route.waiting = route.waiting, []
            self.routes.pop(address, None)
            for _, broken, _ in waiting:
                broken("connect")
            return
        route.connection = connection
        waiting, route.waiting = route.waiting, []
        for data, broken, carried in waiting:
            if connection.send(data):
                carried(connection)
            else:
                broken("lost")
        await self._serve(connection)

    async def _sweep(self) -> None:
        """Close TCP connections on which nothing has come for long."""
        while True:
            await asyncio.sleep(IDLE / 10)
            for connection in list(self.connections):
                if self._now() - connection.last_read > IDLE:
                    connection.close(CloseReason.IDLE)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def mark_source(request: Message, source: Address) -> None:
    """Note in the top Via where a request really came from (18.2.1, RFC 3581)."""
    for place, (name, value) in enumerate(request.headers):
        if name.lower() == "via":
            first, comma, rest = value.partition(",")
            parts = first.split(";")
            host = sent_by(first).rpartition(":")[0] or sent_by(first)
            if any(part.strip().lower() == "rport" for part in parts):
                parts = [f"rport={source[1]}" if part.strip().lower() == "rport" else part for part in parts]
                parts.append(f"received={source[0]}")
            elif host != source[0]:
                parts.append(f"received={source[0]}")
            request.headers[place] = (name, ";".join(parts) + comma + rest)
            return
