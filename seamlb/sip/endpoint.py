"""A SIP endpoint: UDP and TCP transports and the transactions on them (RFC 3261, sections 17 and 18)."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

from seamlb import log
from seamlb.memory import MemoryBudget
from seamlb.net.connection import Connection
from seamlb.net.datagram import DatagramEndpoint
from seamlb.protocol.client_transaction import InviteClient, NonInviteClient
from seamlb.protocol.server_transaction import InviteServer, NonInviteServer
from seamlb.protocol.sip import Message, SipError, parse_datagram, response
from seamlb.protocol.transaction import MAGIC_COOKIE, client_key
from seamlb.sip.addresses import Address, Flow, Target, add_source_to_via, response_target
from seamlb.sip.connections import TcpConnections, Unsent
from seamlb.sip.incoming import IncomingRequests
from seamlb.sip.transaction_table import TransactionTable, now
from seamlb.sip.transactions import TransactionEntry

RESEND_AFTER_S = 0.4  # without a response, a BYE over TCP is repeated on a new connection; 1 s is promised
MAX_TRANSACTIONS = 16384  # incoming; each is kept for up to 32 s, and further INVITEs are answered with 503


def _ignore_error(cause: str) -> None:
    """Report no failure to send."""


def _ignore_connection(connection: Connection) -> None:
    """Remember no connection."""


class SipEndpoint:
    """Sends requests, and passes received requests to `on_request` and the ACKs of 2xx responses to `on_ack`."""

    def __init__(self, kind: str, max_connections: int = 256, memory: MemoryBudget | None = None) -> None:
        self.kind = kind
        self.memory = memory or MemoryBudget()
        self.on_request: Callable[[Message, TransactionEntry, Flow], None] | None = None
        self.on_ack: Callable[[Message], None] = lambda ack: None
        self.tcp = TcpConnections(self, max_connections, self.memory)
        self.table = TransactionTable(self.tcp.end_if_unused, self.memory)
        self.incoming, self.outgoing = self.table.incoming, self.table.outgoing
        self.requests = IncomingRequests(self)
        self.udp: DatagramEndpoint | None = None
        self.addresses: dict[str, str] = {}
        self.closing = False

    async def listen(self, udp: str = "", tcp: str = "") -> None:
        """Binds the addresses that are given; port 0 selects a free port."""
        if udp:
            self.udp = await DatagramEndpoint.bind(udp, self.kind, self._datagram_received)
            self.addresses["UDP"] = "{}:{}".format(*self.udp.address)
        if tcp:
            self.addresses["TCP"] = self.tcp.listen(tcp)

    def stop_listening(self) -> None:
        """Stops accepting TCP connections."""
        self.tcp.stop_listening()

    def close(self) -> None:
        """Cancels timers and tasks, and closes all sockets."""
        self.closing = True
        self.table.close()
        self.tcp.close()
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
                self.table.update(entry)
                on_failure(cause)

        def on_connection(connection: Connection) -> None:
            if entry.connection is None:  # not for the ACK of a refusal
                on_sent()
            self.table.carry(entry, connection)

        def is_wanted() -> bool:
            return not machine.terminated

        entry.send = lambda outbound: self.transmit(outbound, target, on_error, on_connection, is_wanted)
        self.outgoing[entry.key] = entry
        self.table.apply(entry, machine.start(now()))
        if not reliable:
            on_sent()
        elif message.method == "BYE":
            entry.resend = lambda: self._send_on_new_connection(entry, target.address, message.encode())
            asyncio.get_running_loop().call_later(RESEND_AFTER_S, self._resend, entry)
        return entry

    def _resend(self, entry: TransactionEntry) -> None:
        """Repeat a BYE without a response on a new connection, but only once: its own may be quiet yet open."""
        resend, entry.resend = entry.resend, None
        if resend and entry.is_unanswered and not self.closing:
            resend()

    def _send_on_new_connection(self, entry: TransactionEntry, address: Address, data: bytes) -> None:
        def on_error(cause: str) -> None:
            if entry.connection is None or entry.connection.closed:
                self.table.apply(entry, entry.machine.fail())

        self.tcp.send_on_new(address, Unsent(data, on_error, lambda connection: self.table.carry(entry, connection)))

    def respond(self, entry: TransactionEntry, message: Message) -> None:
        """Sends a response in the transaction of its request."""
        if isinstance(entry.machine, (InviteServer, NonInviteServer)):
            self.table.apply(entry, entry.machine.respond(message, now()))

    def abandon(self, entry: TransactionEntry) -> None:
        """Sends no further copy of an INVITE that was given up before any response, nor the first one if it waits.

        Its server may have been replaced meanwhile: a copy would be new work for the process there now.
        """
        if isinstance(entry.machine, InviteClient):
            entry.machine.stop_retransmitting()
            if entry.machine.reliable and entry.connection is None:
                entry.machine.terminate()
            self.table.update(entry)

    def cancel_sent(self, entry: TransactionEntry) -> None:
        """Limits the wait for a final response after a CANCEL was sent for this INVITE."""
        if isinstance(entry.machine, InviteClient):
            entry.machine.cancel_sent(now())
            self.table.update(entry)

    def transmit(
        self,
        message: Message,
        target: Target,
        on_error: Callable[[str], None] = _ignore_error,
        on_connection: Callable[[Connection], None] = _ignore_connection,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        """Sends a message; also used outside of transactions, for the ACK of a 2xx response."""
        self._transmit(message.encode(), target, on_error, on_connection, is_wanted)

    def _transmit(
        self,
        data: bytes,
        target: Target,
        on_error: Callable[[str], None] = _ignore_error,
        on_connection: Callable[[Connection], None] = _ignore_connection,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        if target.transport == "TCP":
            self.tcp.send(target.address, Unsent(data, on_error, on_connection, is_wanted))
        elif self.udp:
            self.udp.send(data, target.address)

    # -- called by the connections (ConnectionOwner) ------------------------------------------

    def is_in_use(self, connection: Connection) -> bool:
        """Whether a transaction on the connection has no final response."""
        return connection in self.table.unanswered

    def connection_lost(self, connection: Connection) -> None:
        """Fails our requests that wait for a response on this connection (18.4), or repeats a BYE on another one."""
        for entry in list(self.table.unanswered.pop(connection, ())):
            if entry.key not in self.outgoing:
                continue
            if entry.resend:
                self._resend(entry)
            else:
                self.table.apply(entry, entry.machine.fail())

    def malformed(self, error: SipError, flow: Flow) -> None:
        """Logs a malformed message, and answers it if it is a request with the headers that a response needs."""
        log.event("malformed", kind=self.kind, peer="{}:{}".format(*flow.source), error=str(error))
        if request := error.request_to_answer():
            add_source_to_via(request, flow.source)
            answer = response(request, error.status, tag=secrets.token_hex(4))
            self.send_response(answer.encode(), flow, response_target(request, flow))

    def message_received(self, message: Message, flow: Flow) -> None:
        """Passes a message to its transaction, or starts one for a new request."""
        if message.status:
            entry = self.outgoing.get(client_key(message))
            if entry and isinstance(entry.machine, (InviteClient, NonInviteClient)):
                self.table.apply(entry, entry.machine.receive(message, now()))
            return
        if all(message.get(name) for name in ("via", "from", "to")):
            self.requests.receive(message, flow)
        else:
            self.malformed(SipError("Via, From or To missing", message), flow)

    def _datagram_received(self, data: bytes, source: Address) -> None:
        if not data.strip(b"\r\n\0 "):
            return  # keep-alive
        flow = Flow("UDP", source)
        try:
            self.message_received(parse_datagram(data), flow)
        except SipError as error:
            self.malformed(error, flow)

    def send_response(
        self, answer: bytes, flow: Flow, target: Target, on_error: Callable[[str], None] = _ignore_error
    ) -> None:
        """Sends a response as 18.2.2 requires."""
        if not (flow.connection and flow.connection.send(answer)):
            self._transmit(answer, target, on_error)
