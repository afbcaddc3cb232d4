"""The platform's front: callers' SIP dialect over TCP (PROTOCOL), turned into requests for the core."""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Callable

from seamlb import log
from seamlb.fronts.calls import Call, Client
from seamlb.fronts.figures import ManagementCallError, figures, patience
from seamlb.fronts.releases import UNTOLD, Receiver, Release, ReleaseQueue
from seamlb.lifecycle import Lifecycle, Phase
from seamlb.net.connection import MAX_UNSENT_CLIENT, Connection
from seamlb.net.lag import Lag
from seamlb.net.listener import Listener
from seamlb.net.reason import CloseReason
from seamlb.protocol.sip import MAX_MESSAGE_BYTES, Message, SipError, is_decimal, parameter, response
from seamlb.routing.agent import Agent
from seamlb.routing.model import Request

ALLOW = ("Allow", "INVITE, ACK, CANCEL, BYE, OPTIONS")
NORMAL = 16
IDENT = re.compile(r"[0-9A-Fa-f]{16}")  # PROTOCOL: a message names its call by 16 hex digits
NUMBER = re.compile(r"[0-9A-Za-z+*#._-]{1,64}")  # what goes on to desks as it is
MOST_BODY = MAX_MESSAGE_BYTES - 1024  # the rest is for the headers that we write
SPOILT = 1024  # ids used twice that are remembered


class PlatformFront:
    """Listens where the platform says."""

    def __init__(self, agent: Agent, lifecycle: Lifecycle, address: str, limit: int) -> None:
        self.agent = agent
        self.lifecycle = lifecycle
        self.address = address
        self.listener = Listener("client", limit, self._serve, MAX_UNSENT_CLIENT)
        self.clients: set[Client] = set()
        self.calls: dict[str, Call] = {}
        self.spoilt: dict[str, None] = {}
        self.releases = ReleaseQueue()
        self.receivers: dict[Connection, Receiver] = {}
        self.lag: Lag | None = None
        self.on_disconnect: Callable[[], None] = lambda: None  # told when a caller's connection has ended

    def start(self, descriptor: int | None = None) -> None:
        """Listen on our address, or on the socket that was handed down."""
        if descriptor is None:
            self.listener.bind_and_listen(self.address)
        else:
            self.listener.listen_on_descriptor(descriptor)
        self.lag = Lag()

    def apply_lifecycle(self, now: float) -> None:
        """Do what the lifecycle says of the listener and of connections without an open set-up."""
        if not self.lifecycle.accepts_connections(now):
            self.listener.stop()
        least = self.lifecycle.quiet_limit(now)
        if least == math.inf:
            return
        self.flush()
        standing = {call.client for call in self.calls.values()} if self.lifecycle.keeps_established_calls else set()
        for client in self.clients - standing:
            # Half a message has its own time to become whole: its caller is not cut off in the middle.
            if not client.framer.data and client.connection.quiet(least):
                client.connection.close(CloseReason.QUIESCED)

    def reachable_connections(self) -> int:
        """Callers' connections that can still be told something, whose callers are not known to leave it unread."""
        return sum(not client.connection.closed and client.receiver.confirmed for client in self.clients)

    def close(self) -> None:
        """Stop listening and end what is open."""
        self.listener.stop()
        if self.lag:
            self.lag.stop()
        for client in list(self.clients):
            client.connection.flush_and_close(CloseReason.SHUTDOWN)

    def release(self, ident: str, cause: int, first: Client | None = None) -> None:
        """Tell callers that a call is over: on its connection, another one, or the next that asks."""
        release = Release.of(ident, cause)
        if first is None or not first.receiver.tell(release):
            self._queue(release)

    def release_unknown_call(self, ident: str, cause: int, told: Callable[[], object]) -> None:
        """Tell callers that a call of an earlier process is over; `told` is called once they are."""
        self._queue(Release.of(ident, cause, told))

    def _queue(self, release: Release) -> None:
        """Tell it on another connection of callers, now or when there is one."""
        self.releases.pending.append(release)
        self.flush()
        if self.releases.pending:
            asyncio.get_running_loop().call_later(UNTOLD, self.flush)

    def flush(self) -> None:
        """Tell the releases that wait on the connections there are, the latest used first among equals.

        A process that ends has no better ones to wait for.
        """
        receivers = (self.receivers.get(one) for one in reversed(self.listener.connections))
        ends = self.lifecycle.phase in (Phase.DRAINING, Phase.ENDED)
        self.releases.flush((one for one in receivers if one is not None), at_once=ends)

    async def _serve(self, connection: Connection) -> None:
        client = Client(connection, Receiver(connection))
        self.clients.add(client)
        self.receivers[connection] = client.receiver
        connection.in_use = lambda: bool(client.open)

        def received(data: bytes) -> None:
            whole = client.framer.feed_and_dispatch(
                data, lambda message: self._request(client, message), lambda error: self._malformed(client, error)
            )
            connection.messages_read(whole, bool(client.framer.data))
            if whole and not connection.closed:
                self.listener.mark_used(connection)
                self.flush()

        try:
            await connection.run(received)
        finally:
            self._gone(client)

    def _gone(self, client: Client) -> None:
        """Nobody can be told any more on this connection."""
        self.clients.discard(client)
        for call in list(client.open.values()):
            self._left(call, NORMAL)
        client.open.clear()
        self.receivers.pop(client.connection, None)
        for release in client.receiver.crossed():
            self._queue(release)
        self.on_disconnect()

    def _malformed(self, client: Client, error: SipError) -> None:
        log.event("malformed", kind="client", peer=client.connection.peer, error=str(error))
        request = error.request_to_answer()
        if request:
            client.connection.send(response(request, error.status).encode())
        if error.fatal or not request:  # who can't be told anything else is told by the end
            client.connection.lingering_close(CloseReason.MALFORMED)
            self._gone(client)

    def _request(self, client: Client, message: Message) -> None:
        if client.connection.closed:
            return  # the rest of what came with a message that ended it
        ident = message.get("call-id")
        call = self.calls.get(ident)
        # A set-up that is open is its own caller's; one that stands belongs to no connection.
        theirs = call if call and (call.client is client or ident not in call.client.open) else None
        match message.method:
            case "INVITE":
                self._invite(client, message, ident, call)
            case "ACK":
                client.receiver.confirmed = True
                self.flush()
            case "":
                client.receiver.heard(ident)
            case "CANCEL":
                if theirs and client.open.pop(ident, None):  # no answer is owed to a caller that gave up
                    self._left(theirs, NORMAL)
            case "BYE":
                client.connection.send(response(message, 200 if theirs else 481).encode())
                if theirs:
                    client.open.pop(ident, None)
                    cause = parameter(message.get("reason"), "cause")
                    self._left(theirs, int(cause) if is_decimal(cause) else NORMAL)
            case "OPTIONS":
                client.connection.send(response(message, 200 if self.lifecycle.ready else 503).encode())
            case _:
                client.connection.send(response(message, 405, ALLOW).encode())

    def _left(self, call: Call, cause: int) -> None:
        if call.life:
            self.agent.caller_hung_up(call.life, cause)

    def _invite(self, client: Client, message: Message, ident: str, known: Call | None) -> None:
        if known is not None or ident in self.spoilt:  # the same id again: never a second attempt
            if known and client.open.pop(ident, None):
                # Its own caller could not tell the two answers apart: this one is for both.
                self._spoil(ident)
                self._left(known, NORMAL)
            client.connection.send(response(message, 482).encode())
            return
        call = Call(self, client, message, ident)
        try:
            request = self._read(message, ident)
        except ManagementCallError as bad:
            client.connection.send(response(message, 400, ("Warning", f'399 seamlb "{bad}"')).encode())
            return
        client.open[ident] = call
        call.life = self.agent.accept(request, call)
        if call.life:
            self.calls[ident] = call
            call.life.on_closed = lambda: self.calls.pop(ident, None)

    def _spoil(self, ident: str) -> None:
        """An id that was used twice is never taken again: rule 5 would bar it, and no answer could be told."""
        self.spoilt[ident] = None
        while len(self.spoilt) > SPOILT:
            del self.spoilt[next(iter(self.spoilt))]

    def _read(self, message: Message, ident: str) -> Request:
        settings = self.agent.settings
        name = message.get("x-cos")
        if name not in settings.class_ids:
            raise ManagementCallError("unknown class")
        if not IDENT.fullmatch(ident):
            raise ManagementCallError("Call-ID is not 16 hex digits")
        tenant = message.get("x-operator")
        if tenant and settings.tenant_ids and tenant not in settings.tenant_ids:
            raise ManagementCallError("unknown tenant")
        scheme, _, rest = message.uri.partition(":")
        number = rest.partition("@")[0]
        if scheme.lower() not in ("sip", "sips") or not NUMBER.fullmatch(number):
            raise ManagementCallError("not a SIP address")
        if len(message.body) > MOST_BODY:
            raise ManagementCallError("the description is too long")
        kind = settings.classes[settings.class_ids[name]]
        told = figures(message.get("x-legs"), kind)
        return Request(
            ident=ident,
            call_class=settings.class_ids[name],
            class_name=name,
            tenant=settings.tenant_ids.get(tenant, 0),
            tenant_name=tenant,
            number=number,
            patience_ms=patience(message.get("x-timer-ms"), kind, "X-Timer-Ms"),
            destination=told.destination,
            slots=told.slots,
            via=told.via,
            cut_before=told.cut_before,
            description=message.body,
            # The caller's time runs from when it sent: a stall of this process must not stretch it.
            sent_ms_ago=self.lag.ms() if self.lag else 0.0,
        )
