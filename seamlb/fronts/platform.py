"""The platform's front: callers' SIP dialect over TCP (PROTOCOL), turned into requests for the core."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from seamlb import log
from seamlb.net.connection import Connection, Listener
from seamlb.net.lag import Lag
from seamlb.net.reason import CloseReason
from seamlb.protocol.report import parse_figures
from seamlb.protocol.sip import Framer, Message, SipError, digits, parameter, response
from seamlb.routing.agent import Agent, Life
from seamlb.routing.model import Request

ALLOW = ("Allow", "INVITE, ACK, CANCEL, BYE, OPTIONS")
NORMAL = 16
PENDING_RELEASES = 4096


class BadCall(Exception):
    """A set-up that can't be taken; its text tells the caller why."""


@dataclass(slots=True, eq=False)
class Client:
    """A connection from callers."""

    connection: Connection
    framer: Framer = field(default_factory=Framer)
    open: dict[str, Call] = field(default_factory=dict)  # set-ups not answered yet


@dataclass(slots=True, eq=False)
class Call:
    """The caller of one request, as the core sees it."""

    front: PlatformFront
    client: Client
    invite: Message
    ident: str
    life: Life | None = None

    def _final(self, message: Message) -> bool:
        self.client.open.pop(self.ident, None)
        return self.client.connection.send(message.encode())

    def stands(self, description: bytes) -> bool:
        return self._final(response(self.invite, 200, body=description))

    def refused(self, back_off_ms: float) -> None:
        extra = [("Retry-After", str(math.ceil(back_off_ms / 1000.0)))] if back_off_ms > 0 else []
        self._final(response(self.invite, 503, *extra))

    def failed(self) -> None:
        self._final(response(self.invite, 500))

    def released(self, cause: int) -> None:
        self.front.release(self.ident, cause, self.client)


class PlatformFront:
    """Listens where the platform says."""

    def __init__(self, agent: Agent, address: str, limit: int, tenants: Sequence[str]) -> None:
        self.agent = agent
        self.address = address
        self.listener = Listener("client", limit, self._serve)
        self.clients: set[Client] = set()
        self.calls: dict[str, Call] = {}
        self.releases: deque[bytes] = deque(maxlen=PENDING_RELEASES)  # for the next connection
        self.classes = {kind.name: place for place, kind in enumerate(agent.settings.classes)}
        self.tenants = {name: place for place, name in enumerate(tenants)}
        self.lag: Lag | None = None
        self.ready = False
        self.draining = False

    def start(self) -> None:
        self.listener.start_at(self.address)
        self.lag = Lag()

    def drain(self) -> None:
        """Tests fail from now on; what comes is still taken until `stop_listening`."""
        self.draining = True

    def stop_listening(self) -> None:
        self.listener.stop()
        if self.lag:
            self.lag.stop()

    def close(self) -> None:
        for client in list(self.clients):
            client.connection.finish(CloseReason.SHUTDOWN)

    def release(self, ident: str, cause: int, first: Client | None = None) -> None:
        """Tell callers that a call is over: on its connection, another one, or the next that comes."""
        message = Message("BYE", f"sip:{ident}@net", headers=[
            ("Via", f"SIP/2.0/TCP seamlb;branch=z9hG4bK{ident}-b"), ("Call-ID", ident), ("CSeq", "1 BYE"),
            ("Reason", f"Q.850;cause={cause}"),
        ])
        data = message.encode()
        for client in ([first] if first else []) + list(self.clients):
            if client.connection.send(data):
                return
        self.releases.append(data)

    async def _serve(self, connection: Connection) -> None:
        client = Client(connection)
        self.clients.add(client)
        connection.in_use = lambda: bool(client.open)

        def received(data: bytes) -> None:
            whole = client.framer.take(
                data, lambda message: self._request(client, message), lambda error: self._malformed(client, error)
            )
            connection.took(whole, bool(client.framer.data))
            if whole:
                self.listener.used(connection)

        try:
            while self.releases:
                connection.send(self.releases.popleft())
            await connection.run(received)
        finally:
            self._gone(client)

    def _gone(self, client: Client) -> None:
        """Nobody can be told any more on this connection."""
        self.clients.discard(client)
        for call in list(client.open.values()):
            self._left(call, NORMAL)
        client.open.clear()

    def _malformed(self, client: Client, error: SipError) -> None:
        log.event("malformed", kind="client", peer=client.connection.peer, error=str(error))
        if request := error.answerable():
            client.connection.send(response(request, error.status).encode())
        if error.lost:
            client.connection.refuse(CloseReason.MALFORMED)
            self._gone(client)

    def _request(self, client: Client, message: Message) -> None:
        ident = message.get("call-id")
        call = self.calls.get(ident)
        match message.method:
            case "INVITE":
                self._invite(client, message, ident, call)
            case "ACK" | "":
                pass  # nor are responses (the 200 to a release) of any use
            case "CANCEL":
                if call and ident in call.client.open:
                    call.client.open.pop(ident)  # no answer is owed to a caller that gave up
                    self._left(call, NORMAL)
            case "BYE":
                client.connection.send(response(message, 200 if call else 481).encode())
                if call:
                    cause = parameter(message.get("reason"), "cause")
                    self._left(call, int(cause) if digits(cause) else NORMAL)
            case "OPTIONS":
                up = self.ready and not self.draining
                client.connection.send(response(message, 200 if up else 503).encode())
            case _:
                client.connection.send(response(message, 405, ALLOW).encode())

    def _left(self, call: Call, cause: int) -> None:
        if call.life:
            self.agent.caller_left(call.life, cause)

    def _invite(self, client: Client, message: Message, ident: str, known: Call | None) -> None:
        if known is not None:  # the same set-up again: never a second attempt
            client.connection.send(response(message, 482).encode())
            return
        call = Call(self, client, message, ident)
        try:
            request = self._read(message, ident)
        except BadCall as bad:
            client.connection.send(response(message, 400, ("Warning", f'399 seamlb "{bad}"')).encode())
            return
        client.open[ident] = call
        call.life = self.agent.take(request, call)
        if call.life:
            self.calls[ident] = call
            call.life.closed = lambda: self.calls.pop(ident, None)

    def _read(self, message: Message, ident: str) -> Request:
        name = message.get("x-cos")
        if name not in self.classes:
            raise BadCall("unknown class")
        tenant = message.get("x-operator")
        if tenant and self.tenants and tenant not in self.tenants:
            raise BadCall("unknown tenant")
        timer = message.get("x-timer-ms")
        if not digits(timer):
            raise BadCall("X-Timer-Ms is no number of milliseconds")
        scheme, _, rest = message.uri.partition(":")
        if scheme.lower() not in ("sip", "sips") or not rest:
            raise BadCall("not a SIP address")
        figures = parse_figures(message.get("x-legs"))
        return Request(
            ident=ident, call_class=self.classes[name], class_name=name, tenant=self.tenants.get(tenant, 0),
            tenant_name=tenant,
            number=rest.partition("@")[0], patience_ms=float(timer),
            destination=int(figures.get("dest", -1)), slots=figures.get("width", 1.0),
            via=int(figures.get("via", -1)), cut_before=figures.get("again", 0) > 0, description=message.body,
            # The caller's time runs from when it sent: a stall of this process must not stretch it.
            sent_ms_ago=self.lag.ms() if self.lag else 0.0,
        )


