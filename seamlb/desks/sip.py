"""Desk client for SIP over UDP or TCP: the desk's side of the B2BUA (RFC 3261 sections 9, 13 and 15)."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from seamlb import log
from seamlb.desks.address_owner import address_owner
from seamlb.desks.sip_requests import build_cancel, build_invite
from seamlb.net.address import split_address
from seamlb.protocol.dialog import Dialog
from seamlb.protocol.report import DIAGNOSES, parse_load_report
from seamlb.protocol.sip import Message, is_decimal, parameter, response
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Availability, Desk, Outcome, Status
from seamlb.sip.addresses import Flow, Target, uri_target
from seamlb.sip.endpoint import SipEndpoint
from seamlb.sip.transactions import TransactionEntry

STATUSES = {
    408: Status.TIMEOUT,
    480: Status.NOT_RUN,
    486: Status.ERROR,
    500: Status.ERROR,
    503: Status.FULL,
    504: Status.RESET,
}
FAILURE_STATUSES = {"connect": Status.CONNECT_FAILED, "lost": Status.RESET, "timeout": Status.TIMEOUT}
ALLOWED = ("ACK", "BYE", "OPTIONS")
CAUSE_CUT, CAUSE_NORMAL = 41, 16  # Q.850: temporary failure, normal call clearing
MS_PER_SECOND = 1000.0
MAX_UDP_REQUEST = 1300  # bytes; larger requests are sent over TCP (18.1.1)


@dataclass(slots=True, eq=False)
class Leg:
    """An INVITE sent to a desk, then its dialog."""

    attempt: Attempt
    notify: AttemptCallback
    invite: Message
    target: Target
    entry: TransactionEntry | None = None
    provisional: bool = False  # a provisional response was received: a CANCEL may be sent (9.1)
    wanted: bool = True  # False: cancelled, released or reported as ended
    dialog: Dialog | None = None
    reached_at: float = field(default_factory=time.time)  # Unix seconds: the set-up was sent, then answered


class SipDesks:
    """Sends attempts to desks that speak SIP."""

    def __init__(
        self,
        endpoint: SipEndpoint,
        transport: str,
        fields: Sequence[str],
        on_relayed: Callable[[], None] = lambda: None,
    ) -> None:
        self.endpoint = endpoint
        self.on_relayed = on_relayed  # called when the last byte of a set-up is written
        self.transport = transport
        self.fields = fields
        self.desks: dict[str, Desk] = {}
        self.legs: dict[tuple[str, str], Leg] = {}
        self.dialogs: dict[tuple[str, str, str], Leg] = {}
        endpoint.on_request = self._request

    # -- called by the core -------------------------------------------------------------------

    def desk_changed(self, desk: Desk) -> None:
        """Update a desk of the list, and cut the calls of one that was removed, restarted or has moved.

        The list may be seconds late: what has reached a desk after its restart is at the new process, and stays.
        """
        old = self.desks.get(desk.ident)
        if desk.availability != Availability.GONE:
            self.desks[desk.ident] = desk  # keeps its place, which tells who is at an address that several have
        else:
            self.desks.pop(desk.ident, None)
        displaced = {ident for ident in self.desks if self._is_displaced(ident)}
        for leg in [leg for (ident, _), leg in self.legs.items() if ident in displaced]:
            self._cut(leg)
        if old is None or old == desk:
            return
        is_replaced = desk.availability == Availability.GONE or old.address != desk.address
        is_restarted = old.since_ms != desk.since_ms
        for leg in [leg for key, leg in self.legs.items() if key[0] == desk.ident]:
            if is_replaced or (is_restarted and leg.reached_at * MS_PER_SECOND < desk.since_ms):
                self._cut(leg)

    def _is_displaced(self, ident: str) -> bool:
        """Whether another desk of the list is at the address of this one: the list is late to tell that it left."""
        desk = self.desks.get(ident)
        return desk is not None and address_owner(desk.address, self.desks.values()) is not desk

    def _cut(self, leg: Leg) -> None:
        """End a call whose desk was removed, restarted or has moved, and release or cancel it there."""
        self._remove(leg)
        if leg.dialog:
            self._bye(leg, leg.dialog, CAUSE_CUT)
        else:
            self._give_up(leg)
        leg.notify(leg.attempt.leg, Outcome(Status.RESET, cause=CAUSE_CUT))

    def set_up(self, attempt: Attempt, notify: AttemptCallback) -> None:
        """Start an attempt; `notify` gets at most one Answer and then exactly one Outcome."""
        desk = self.desks.get(attempt.desk)
        if desk is None or self._is_displaced(attempt.desk):
            return notify(attempt.leg, Outcome(Status.CONNECT_FAILED))
        request = attempt.request
        target = Target(self.transport, split_address(desk.address))
        message = build_invite(self.endpoint, attempt, target, desk)
        if len(message.encode()) > MAX_UDP_REQUEST and "TCP" in self.endpoint.addresses and target.transport == "UDP":
            target = Target("TCP", target.address)
            message = build_invite(self.endpoint, attempt, target, desk)
        leg = Leg(attempt, notify, message, target)
        self.legs[attempt.desk, request.ident] = leg
        leg.entry = self.endpoint.request(
            message,
            target,
            lambda answer: self._handle_response(leg, answer),
            lambda how: self._transaction_failed(leg, how),
            self.on_relayed,
        )

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt, without further notification."""
        leg = self.legs.pop((attempt.desk, attempt.request.ident), None)
        if leg:
            leg.wanted = False
            self._give_up(leg)

    def _give_up(self, leg: Leg) -> None:
        """Cancel the INVITE of an ended attempt, or send no further copy of it where 9.1 allows no CANCEL yet."""
        if leg.provisional:
            self._cancel(leg)
        elif leg.entry:
            self.endpoint.abandon(leg.entry)

    def release(self, attempt: Attempt, cause: int) -> None:
        """Release an established call, without further notification."""
        leg = self.legs.get((attempt.desk, attempt.request.ident))
        if leg:
            self._remove(leg)
            if leg.dialog:
                self._bye(leg, leg.dialog, cause)

    def close_idle(self, desk: str) -> None:
        """Do nothing: the endpoint closes idle connections by itself."""

    def close(self) -> None:
        """Close the sockets."""
        self.endpoint.close()

    # -- messages -----------------------------------------------------------------------------

    def _cancel(self, leg: Leg) -> None:
        self.endpoint.request(build_cancel(leg.invite), leg.target, lambda answer: None, lambda how: None)
        if leg.entry:
            self.endpoint.cancel_sent(leg.entry)

    def _handle_response(self, leg: Leg, message: Message) -> None:
        if message.status < 200:
            if not leg.provisional and not leg.wanted:
                self._cancel(leg)
            leg.provisional = True
        elif message.status < 300:
            self._established(leg, message)
        elif leg.wanted and leg.dialog is None:
            self._remove(leg)
            leg.notify(
                leg.attempt.leg,
                Outcome(
                    STATUSES.get(message.status, Status.ERROR),
                    DIAGNOSES.get(message.get("x-diagnosis"), 0),
                    parse_load_report(message.get("x-occupancy"), self.fields),
                ),
            )

    def _established(self, leg: Leg, message: Message) -> None:
        """Acknowledge a 2xx; only the first one of a leg that is still wanted establishes the call."""
        dialog = Dialog.for_uac(leg.invite, message)
        target = self._target(leg, dialog)
        ack = dialog.build_request("ACK", self.endpoint.via(target.transport), seq=leg.invite.cseq()[0])
        self.endpoint.transmit(ack, target)
        if leg.dialog is not None and leg.dialog.key == dialog.key:
            return  # a retransmission: the ACK was lost
        if not leg.wanted or leg.dialog is not None:
            # The answer crossed the CANCEL, or a second phone answered: it is released and never passed on.
            self._bye(leg, dialog, CAUSE_NORMAL)
            return
        leg.dialog, leg.reached_at = dialog, time.time()
        self.dialogs[dialog.key] = leg
        leg.notify(leg.attempt.leg, Answer(message.body))

    def _transaction_failed(self, leg: Leg, how: str) -> None:
        if leg.wanted and leg.dialog is None:
            self._remove(leg)
            leg.notify(leg.attempt.leg, Outcome(FAILURE_STATUSES[how]))

    def _remove(self, leg: Leg) -> None:
        leg.wanted = False
        self.legs.pop((leg.attempt.desk, leg.attempt.request.ident), None)
        if leg.dialog:
            self.dialogs.pop(leg.dialog.key, None)

    def _target(self, leg: Leg, dialog: Dialog) -> Target:
        try:
            target = uri_target(dialog.next_hop(), leg.target.transport)
        except ValueError:  # a host name or no usable URI: send it to where the set-up went
            return leg.target
        return target if target.transport in self.endpoint.addresses else leg.target

    def _bye(self, leg: Leg, dialog: Dialog, cause: int) -> None:
        target, call = self._target(leg, dialog), dialog.call_id
        bye = dialog.build_request("BYE", self.endpoint.via(target.transport), ("Reason", f"Q.850;cause={cause}"))
        self.endpoint.request(bye, target, lambda answer: None, lambda how: log.event("no_bye", call=call, how=how))

    def _request(self, message: Message, entry: TransactionEntry, flow: Flow) -> None:
        """Handle a request from a desk, mostly the release of a call."""
        to, sender = parameter(message.get("to"), "tag"), parameter(message.get("from"), "tag")
        leg = self.dialogs.get((message.get("call-id"), to, sender))
        if message.method not in ALLOWED:
            extra = (("Allow", ", ".join(ALLOWED)),)
            return self.endpoint.respond(entry, response(message, 405, *extra, tag=secrets.token_hex(4)))
        if message.method == "OPTIONS" and not to:
            return self.endpoint.respond(entry, response(message, 200, tag=secrets.token_hex(4)))
        if leg is None or leg.dialog is None:
            return self.endpoint.respond(entry, response(message, 481, tag=secrets.token_hex(4)))
        if not leg.dialog.accept_cseq(message):
            return self.endpoint.respond(entry, response(message, 500))
        self.endpoint.respond(entry, response(message, 200))
        if message.method == "BYE":
            value = parameter(message.get("reason"), "cause")
            cause = int(value) if is_decimal(value) else CAUSE_NORMAL
            self._remove(leg)
            leg.notify(
                leg.attempt.leg,
                Outcome(
                    Status.RESET if cause == CAUSE_CUT else Status.OK,
                    0,
                    parse_load_report(message.get("x-occupancy"), self.fields),
                    cause,
                ),
            )
