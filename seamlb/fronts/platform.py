"""The platform front: the callers' SIP dialect over TCP (PROTOCOL), translated into requests for the core."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator

from seamlb import log
from seamlb.fronts.call_parameters import InvalidCallError
from seamlb.fronts.calls import Call, Client
from seamlb.fronts.releases import Release, ReleaseQueue, ReleaseSender
from seamlb.fronts.set_ups import parse_set_up
from seamlb.fronts.used_ids import UsedIds
from seamlb.lifecycle import Lifecycle, Phase
from seamlb.memory import MemoryBudget
from seamlb.net.close_reason import CloseReason
from seamlb.net.connection import MAX_UNSENT_CLIENT, Connection
from seamlb.net.event_loop_lag import EventLoopLag
from seamlb.net.listener import Listener
from seamlb.net.turns import MESSAGES_PER_TURN
from seamlb.protocol.sip import Message, SipError, answerable_part, is_decimal, parameter, response
from seamlb.routing.agent import Agent

ALLOW = ("Allow", "INVITE, ACK, CANCEL, BYE, OPTIONS")
CAUSE_NORMAL = 16  # Q.850: normal call clearing


class PlatformFront:
    """Accepts callers on the address given by the platform."""

    def __init__(
        self, agent: Agent, lifecycle: Lifecycle, address: str, limit: int, memory: MemoryBudget | None = None
    ) -> None:
        self.agent = agent
        self.lifecycle = lifecycle
        self.address = address
        self.listener = Listener("client", limit, self._serve, MAX_UNSENT_CLIENT, memory)
        self.clients: set[Client] = set()
        self.calls: dict[str, Call] = {}
        self.used_ids = UsedIds()
        self.releases = ReleaseQueue(self._senders, self._is_ending)
        self.release_senders: dict[Connection, ReleaseSender] = {}
        self.lag: EventLoopLag | None = None
        self.on_disconnect: Callable[[], None] = lambda: None  # called when a caller connection has ended

    def start(self, descriptor: int | None = None) -> None:
        """Listen on the configured address, or on an inherited socket."""
        if descriptor is None:
            self.listener.bind_and_listen(self.address)
        else:
            self.listener.listen_on_descriptor(descriptor)
        self.lag = EventLoopLag()

    def apply_lifecycle(self, now: float) -> None:
        """Stop listening and close connections without an unanswered set-up, as the lifecycle requires."""
        if not self.lifecycle.accepts_connections(now):
            self.listener.stop()
        min_idle = self.lifecycle.quiet_limit(now)
        if min_idle == math.inf:
            return
        self.releases.flush()
        kept = {call.client for call in self.calls.values()} if self.lifecycle.keeps_established_calls else set()
        for client in self.clients - kept:
            # A partly received message has its own timeout, so its caller is not cut off in the middle of it.
            if not client.framer.data and client.connection.is_idle(min_idle):
                client.connection.close(CloseReason.QUIESCED)

    def reachable_connections(self) -> int:
        """Count the caller connections that are open and whose caller is not suspected of having stopped reading."""
        return sum(not client.connection.closed and client.release_sender.acked for client in self.clients)

    def stats(self) -> dict[str, float]:
        """By how many milliseconds a timer of this process was late at most."""
        return {"longest_lateness_ms": round(self.lag.longest * 1000.0, 1) if self.lag else 0.0}

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.listener.stop()
        if self.lag:
            self.lag.stop()
        self.releases.close()
        for client in list(self.clients):
            client.connection.flush_and_close(CloseReason.SHUTDOWN)

    def release(self, ident: str, cause: int, preferred: Client | None = None) -> None:
        """Send a release to callers: on the preferred connection, another one, or the next that becomes usable."""
        self.releases.add(Release.of(ident, cause), preferred.release_sender if preferred else None)

    def release_unknown_call(self, ident: str, cause: int, on_sent: Callable[[], object]) -> None:
        """Send the release of a call of an earlier process; `on_sent` is called after it was sent to a caller."""
        self.releases.add(Release.of(ident, cause, on_sent))

    def _senders(self) -> Iterator[ReleaseSender]:
        """Yield the open connections, the latest used first."""
        senders = (self.release_senders.get(one) for one in reversed(self.listener.connections))
        return (one for one in senders if one is not None)

    def _is_ending(self) -> bool:
        return self.lifecycle.phase in (Phase.DRAINING, Phase.ENDED)

    async def _serve(self, connection: Connection) -> None:
        client = Client(connection, ReleaseSender(connection))
        self.clients.add(client)
        self.release_senders[connection] = client.release_sender
        connection.in_use = lambda: bool(client.unanswered) or client.framer.has_more

        def received(data: bytes) -> bool:
            messages = client.framer.feed_and_dispatch(
                data,
                lambda message: self._request(client, message),
                lambda error: self._malformed(client, error),
                MESSAGES_PER_TURN,
            )
            connection.messages_read(messages, len(client.framer.data))
            if messages and not connection.closed:
                self.listener.mark_used(connection)
                self.releases.flush()
            return client.framer.has_more

        try:
            await connection.run(received)
        finally:
            self._disconnected(client)

    def _disconnected(self, client: Client) -> None:
        """End the unanswered calls of a connection that is no longer usable, and requeue its last releases."""
        self.clients.discard(client)
        for call in list(client.unanswered.values()):
            self._caller_left(call, CAUSE_NORMAL)
        client.unanswered.clear()
        self.release_senders.pop(client.connection, None)
        self.releases.connection_ended(client.release_sender)
        self.on_disconnect()

    def _malformed(self, client: Client, error: SipError) -> None:
        log.event("malformed", kind="client", peer=client.connection.peer, error=str(error))
        request = error.request_to_answer()
        if request:
            client.connection.send(response(request, error.status).encode())
        if error.fatal or not request:  # without a response, closing the connection tells the caller
            client.connection.input_ended = True
            self.end_if_answered(client)

    def end_if_answered(self, client: Client) -> None:
        """End a connection whose input can no longer be parsed, unless a set-up on it waits for its answer."""
        if client.connection.input_ended and not client.connection.closed and not client.unanswered:
            client.connection.lingering_close(CloseReason.MALFORMED)
            self._disconnected(client)

    def _request(self, client: Client, message: Message) -> None:
        if client.connection.closed or client.connection.input_ended:
            return  # arrived together with a message that ended the connection
        ident = message.get("call-id")
        call = self.calls.get(ident)
        # An unanswered set-up belongs to its connection; an established call belongs to none.
        own_call = call if call and (call.client is client or ident not in call.client.unanswered) else None
        match message.method:
            case "INVITE":
                self._invite(client, message, ident, call)
            case "ACK":
                client.release_sender.acked = True
                self.releases.flush()
            case "":
                self.releases.confirm(ident, client.release_sender)
            case "CANCEL":
                if own_call and client.unanswered.pop(ident, None):  # a caller that cancels expects no answer
                    self._caller_left(own_call, CAUSE_NORMAL)
            case "BYE":
                client.connection.send(response(message, 200 if own_call else 481).encode())
                if own_call:
                    client.unanswered.pop(ident, None)
                    cause = parameter(message.get("reason"), "cause")
                    self._caller_left(own_call, int(cause) if is_decimal(cause) else CAUSE_NORMAL)
            case "OPTIONS":
                client.connection.send(response(message, 200 if self.lifecycle.ready else 503).encode())
            case _:
                client.connection.send(response(message, 405, ALLOW).encode())

    def _caller_left(self, call: Call, cause: int) -> None:
        if call.session:
            self.agent.caller_hung_up(call.session, cause)

    def _invite(self, client: Client, message: Message, ident: str, known: Call | None) -> None:
        if client.connection.has_ended():
            return  # its caller has left, and what it sent before is read only now: nothing is owed
        if known is not None:  # a reused Call-ID must never start a second attempt
            if client.unanswered.pop(ident, None):
                # This connection sent both set-ups and could not tell two answers apart: the 482 answers both.
                self._forbid(ident)
                self._caller_left(known, CAUSE_NORMAL)
            client.connection.send(response(message, 482).encode())
            return
        call = Call(self, client, answerable_part(message), ident)
        try:
            lag_ms = self.lag.ms() if self.lag else 0.0
            request = parse_set_up(message, self.agent.settings, lag_ms, client.connection.ident)
        except InvalidCallError as error:
            client.connection.send(response(message, 400, ("Warning", f'399 seamlb "{error}"')).encode())
            return
        if self.used_ids.is_used(ident, asyncio.get_running_loop().time()):
            client.connection.send(response(message, 482).encode())
            return
        client.unanswered[ident] = call
        call.session = self.agent.accept(request, call)
        if call.session:
            self.used_ids.taken(ident)
            self.calls[ident] = call
            call.session.has_left = client.connection.has_ended
            call.session.on_closed = lambda: self._call_ended(call)

    def _call_ended(self, call: Call) -> None:
        """Forget a call; it and its session would otherwise keep each other in memory."""
        if call.session and call.session.attempts:
            self._forbid(call.ident)
        call.session = None
        self.calls.pop(call.ident, None)

    def _forbid(self, ident: str) -> None:
        """Refuse a Call-ID from now on: it has run, or it was used twice and its answers would be ambiguous."""
        longest_deadline = self.agent.settings.longest_deadline / 1000.0
        self.used_ids.add(ident, asyncio.get_running_loop().time(), longest_deadline)
