"""The SIP front: the caller's side of a B2BUA (RFC 3261) over UDP and TCP, on the same core as the platform front."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Mapping
from typing import Any

from seamlb import log
from seamlb.fronts.call_parameters import InvalidCallError, parse_parameters, parse_timeout
from seamlb.fronts.sip_calls import ALLOW, ALLOWED, CAUSE_NORMAL, DIALOG_HEADERS, Call
from seamlb.fronts.used_ids import UsedIds
from seamlb.lifecycle import Lifecycle
from seamlb.memory import MemoryBudget
from seamlb.net.event_loop_lag import EventLoopLag
from seamlb.protocol.sip import Message, answerable_part, is_decimal, parameter, response
from seamlb.routing.agent import Agent
from seamlb.routing.model import Request
from seamlb.sip.addresses import Flow
from seamlb.sip.endpoint import SipEndpoint
from seamlb.sip.settings import SipFrontConfig
from seamlb.sip.transactions import TransactionEntry

# A hook function: takes facts about a call, the ids of known classes and of tenants; returns class and tenant.
Classify = Callable[[dict[str, Any], Mapping[str, int], Mapping[str, int]], tuple[str, str]]


class SipFront:
    """Accepts SIP calls for the core."""

    def __init__(
        self,
        agent: Agent,
        lifecycle: Lifecycle,
        config: SipFrontConfig,
        classify: Classify | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.agent = agent
        self.lifecycle = lifecycle
        self.config = config
        self.classify = classify
        self.endpoint = SipEndpoint("sip", config.connections, memory)
        self.endpoint.on_request = self._request
        self.endpoint.on_ack = self._ack
        self.pending: dict[tuple[str, ...], Call] = {}
        self.dialogs: dict[tuple[str, str, str], Call] = {}
        self.used_ids = UsedIds()
        self.lag: EventLoopLag | None = None

    async def start(self) -> None:
        """Listen on the configured transports."""
        await self.endpoint.listen(self.config.udp, self.config.tcp)
        self.lag = EventLoopLag()

    def apply_lifecycle(self, now: float) -> None:
        """Stop listening when the lifecycle requires it; caller connections stay open until the process ends."""
        if not self.lifecycle.accepts_connections(now):
            self.endpoint.stop_listening()

    def close(self) -> None:
        """Close the sockets."""
        if self.lag:
            self.lag.stop()
        self.endpoint.close()

    # -- requests -----------------------------------------------------------------------------

    def _request(self, message: Message, entry: TransactionEntry, flow: Flow) -> None:
        refusal = self._check(message)
        if refusal:
            return self._respond(message, entry, *refusal)
        match message.method:
            case "CANCEL":
                self._cancel(message, entry)
            case "OPTIONS" if not parameter(message.get("to"), "tag"):
                status = 200 if self.lifecycle.ready else 503
                self._respond(message, entry, status, ALLOW, ("Accept", "application/sdp"))
            case "INVITE" if not parameter(message.get("to"), "tag"):
                self._invite(message, entry, flow)
            case _:
                self._in_dialog(message, entry)

    def _check(self, message: Message) -> tuple[int, *tuple[tuple[str, str], ...]] | None:
        """Return the refusal that 8.2 and 16.3 require before any other processing, or None."""
        if message.method not in ALLOWED:
            return 405, ALLOW
        scheme = message.uri.partition(":")[0].lower()
        if scheme not in ("sip", "sips"):
            return (416,)
        hops = message.get("max-forwards", "70")
        if not is_decimal(hops):
            return (400,)
        if int(hops) == 0 and message.method == "INVITE":
            return (483,)
        if message.method != "CANCEL" and (needed := message.get_all("require")):
            return 420, ("Unsupported", ", ".join(needed))
        return None

    def _respond(self, message: Message, entry: TransactionEntry, status: int, *extra: tuple[str, str]) -> None:
        self.endpoint.respond(entry, response(message, status, *extra, tag=secrets.token_hex(4)))

    def _cancel(self, message: Message, entry: TransactionEntry) -> None:
        key = (*entry.key[:-1], "INVITE") if entry.key[0] != "2543" else ("",)
        known = self.endpoint.incoming.get(key)
        if known is None:
            return self._respond(message, entry, 481)
        call = self.pending.get(key)
        self.endpoint.respond(entry, response(message, 200, tag=call.tag if call else secrets.token_hex(4)))
        if call:
            call.respond(487)
            self.caller_left(call, CAUSE_NORMAL)

    def _in_dialog(self, message: Message, entry: TransactionEntry) -> None:
        """Handle a request that has a To tag, whether its dialog exists or not."""
        to, sender = parameter(message.get("to"), "tag"), parameter(message.get("from"), "tag")
        call = self.dialogs.get((message.get("call-id"), to, sender))
        if call is None or call.dialog is None:
            return self._respond(message, entry, 481)
        if not call.dialog.accept_cseq(message):
            return self._respond(message, entry, 500)
        if message.method == "INVITE":
            return self._respond(message, entry, 488)  # re-INVITE: the session description is the desk's
        self._respond(message, entry, 200)
        if message.method == "BYE":
            call.end_dialog()
            cause = parameter(message.get("reason"), "cause")
            self.caller_left(call, int(cause) if is_decimal(cause) else CAUSE_NORMAL)

    def _ack(self, message: Message) -> None:
        to, sender = parameter(message.get("to"), "tag"), parameter(message.get("from"), "tag")
        if call := self.dialogs.get((message.get("call-id"), to, sender)):
            call.on_ack()

    def _answer_undelivered(self, call: Call, how: str) -> None:
        """Release the call at once: its final answer got no ACK, or could not be sent to the caller."""
        log.event("no_ack", kind="sip", call=call.invite.get("call-id"), how=how)
        if call.dialog:
            call.end_dialog()
            self.caller_left(call, CAUSE_NORMAL)

    def caller_left(self, call: Call, cause: int) -> None:
        """Tell the core that the caller has gone or that its call cannot continue."""
        if call.session:
            self.agent.caller_hung_up(call.session, cause)

    # -- a new call ---------------------------------------------------------------------------

    def _invite(self, message: Message, entry: TransactionEntry, flow: Flow) -> None:
        from_tag = parameter(message.get("from"), "tag")
        for other in self.pending.values():  # 8.2.2.2: the same INVITE over another path
            same = other.invite.get("call-id") == message.get("call-id") and other.invite.cseq() == message.cseq()
            if same and parameter(other.invite.get("from"), "tag") == from_tag:
                return self._respond(message, entry, 482)
        ident = f"{message.get('call-id')} {from_tag} {message.cseq()[0]}"
        if self.used_ids.is_used(ident, asyncio.get_running_loop().time()):
            return self._respond(message, entry, 482)
        call = Call(self, answerable_part(message, *DIALOG_HEADERS), entry, flow, secrets.token_hex(8))
        entry.on_failure = lambda how: self._answer_undelivered(call, how)
        try:
            request = self._parse_request(message, call.tag, flow.transport)
        except InvalidCallError as error:
            return call.respond(400, ("Warning", f'399 seamlb "{error}"'))
        self.pending[entry.key] = call
        call.session = self.agent.accept(request, call)
        if call.session:
            call.session.on_closed = lambda: self._session_ended(call, ident)
            call.respond(100)

    def _session_ended(self, call: Call, ident: str) -> None:
        """Forget a session, which would otherwise keep its call in memory; a set-up that has run never runs again."""
        if call.session and call.session.attempts:
            longest_deadline = self.agent.settings.longest_deadline / 1000.0
            self.used_ids.add(ident, asyncio.get_running_loop().time(), longest_deadline)
        call.session = None

    def _parse_request(self, message: Message, ident: str, transport: str) -> Request:
        config, settings = self.config, self.agent.settings
        name = message.get(config.class_header.lower()) or config.default_class
        tenant = message.get(config.tenant_header.lower()) or config.default_tenant
        number = message.uri.partition(":")[2].partition("@")[0]
        if self.classify is not None:
            facts = {
                "class": name,
                "tenant": tenant,
                "number": number,
                "transport": transport,
                "headers": {key.lower(): value for key, value in message.headers},
            }
            name, tenant = self.classify(facts, settings.class_ids, settings.tenant_ids)
        if name not in settings.class_ids:
            raise InvalidCallError("unknown class")
        if tenant and tenant not in settings.tenant_ids:
            raise InvalidCallError("unknown tenant")
        call_class = settings.classes[settings.class_ids[name]]
        timer = message.get(config.deadline_header.lower())
        timeout = parse_timeout(timer, call_class, config.deadline_header) if timer else config.default_deadline_ms
        destination = config.destinations.get(name, min(call_class.pools) if call_class.pools else 0)
        parameters = parse_parameters(message.get(config.figures_header.lower()), call_class, destination)
        return Request(
            ident=ident,
            call_class=settings.class_ids[name],
            class_name=name,
            tenant=settings.tenant_ids.get(tenant, 0),
            tenant_name=tenant,
            number=number,
            patience_ms=timeout or call_class.deadline,
            destination=parameters.destination,
            slots=parameters.slots,
            via=parameters.via,
            cut_before=parameters.cut_before,
            description=message.body,
            description_type=message.get("content-type") or "application/sdp",
            sent_ms_ago=self.lag.ms() if self.lag else 0.0,
        )
