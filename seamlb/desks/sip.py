"""Desk client for SIP over UDP or TCP: the desk's side of the B2BUA (RFC 3261 sections 9, 13 and 15)."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from seamlb import log
from seamlb.net.address import split_address
from seamlb.protocol.dialog import Dialog
from seamlb.protocol.report import DIAGNOSES, parse_load_report
from seamlb.protocol.sip import Message, is_decimal, parameter, response
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Availability, Desk, Outcome, Status
from seamlb.sip.endpoint import Flow, SipEndpoint, Target, TransactionEntry, uri_target

STATUSES = {
    408: Status.TIMEOUT,
    480: Status.NOT_RUN,
    486: Status.ERROR,
    500: Status.ERROR,
    503: Status.FULL,
    504: Status.RESET,
}
BROKEN = {"connect": Status.CONNECT_FAILED, "lost": Status.RESET, "timeout": Status.TIMEOUT}
ALLOWED = ("ACK", "BYE", "OPTIONS")
CUT, NORMAL = 41, 16
UDP_MOST = 1300  # bytes; a larger request goes by TCP (18.1.1)


@dataclass(slots=True, eq=False)
class Leg:
    """An INVITE of ours, then its dialog."""

    attempt: Attempt
    heard: AttemptCallback
    invite: Message
    target: Target
    entry: TransactionEntry | None = None
    rung: bool = False  # a provisional answer came: a CANCEL may go (9.1)
    wanted: bool = True
    dialog: Dialog | None = None


class SipDesks:
    """Carries attempts to desks that speak SIP."""

    def __init__(
        self,
        endpoint: SipEndpoint,
        transport: str,
        fields: Sequence[str],
        relayed: Callable[[], None] = lambda: None,
    ) -> None:
        self.endpoint = endpoint
        self.relayed = relayed  # an attempt has left whole
        self.transport = transport
        self.fields = fields
        self.desks: dict[str, Desk] = {}
        self.legs: dict[tuple[str, str], Leg] = {}
        self.dialogs: dict[tuple[str, str, str], Leg] = {}
        endpoint.on_request = self._request

    # -- asked by the core --------------------------------------------------------------------

    def desk_changed(self, desk: Desk) -> None:
        """A server is new, has changed or is gone."""
        old = self.desks.pop(desk.ident, None)
        if desk.availability != Availability.GONE:
            self.desks[desk.ident] = desk
        changed = old and (desk.availability == Availability.GONE or old.since_ms != desk.since_ms)
        if changed or (old and old.address != desk.address):
            for key, leg in list(self.legs.items()):
                if key[0] == desk.ident:  # the machine, or its process, is another one now
                    self._drop(leg)
                    leg.heard(leg.attempt.leg, Outcome(Status.RESET, cause=CUT))

    def set_up(self, attempt: Attempt, heard: AttemptCallback) -> None:
        """Start an attempt; `heard` is told at most an Answer and then exactly one Outcome."""
        desk = self.desks.get(attempt.desk)
        if desk is None:
            return heard(attempt.leg, Outcome(Status.CONNECT_FAILED))
        request = attempt.request
        target = Target(self.transport, split_address(desk.address))
        message = self._invite(attempt, target, desk)
        if len(message.encode()) > UDP_MOST and "TCP" in self.endpoint.addresses and target.transport == "UDP":
            target = Target("TCP", target.address)
            message = self._invite(attempt, target, desk)
        leg = Leg(attempt, heard, message, target)
        self.legs[attempt.desk, request.ident] = leg
        leg.entry = self.endpoint.request(
            message,
            target,
            lambda answer: self._answer(leg, answer),
            lambda how: self._broken(leg, how),
            self.relayed,
        )

    def cancel(self, attempt: Attempt) -> None:
        """Call an attempt off; nothing more is told of it."""
        leg = self.legs.pop((attempt.desk, attempt.request.ident), None)
        if leg:
            leg.wanted = False
            if leg.rung:
                self._cancel(leg)

    def release(self, attempt: Attempt, cause: int) -> None:
        """End a call that stands; nothing more is told of it."""
        leg = self.legs.get((attempt.desk, attempt.request.ident))
        if leg:
            self._drop(leg)
            if leg.dialog:
                self._bye(leg, leg.dialog, cause)

    def close_idle(self, desk: str) -> None:
        """Idle connections close by themselves here."""

    def close(self) -> None:
        """Close the sockets."""
        self.endpoint.close()

    # -- messages -----------------------------------------------------------------------------

    def _invite(self, attempt: Attempt, target: Target, desk: Desk) -> Message:
        request = attempt.request
        headers = [
            ("Via", self.endpoint.via(target.transport)),
            ("Max-Forwards", "70"),
            ("From", f"<sip:seamlb@{self.endpoint.addresses[target.transport]}>;tag={secrets.token_hex(6)}"),
            ("To", f"<sip:{request.number}@{desk.address}>"),
            ("Call-ID", secrets.token_hex(12)),
            ("CSeq", "1 INVITE"),
            ("Contact", self.endpoint.contact(target.transport)),
            ("X-Cos", request.class_name),
            ("X-Timer-Ms", str(max(1, int(attempt.timeout_ms)))),
        ]
        if request.description:
            headers.append(("Content-Type", request.description_type))
        uri = f"sip:{request.number}@{desk.address}"
        return Message("INVITE", uri, headers=headers, body=request.description)

    def _cancel(self, leg: Leg) -> None:
        """Copies what 9.1 wants of the INVITE, its one Via above all."""
        copied = [(n, v) for n, v in leg.invite.headers if n in ("Via", "Max-Forwards", "From", "To", "Call-ID")]
        message = Message("CANCEL", leg.invite.uri, headers=[*copied, ("CSeq", "1 CANCEL")])
        self.endpoint.request(message, leg.target, lambda answer: None, lambda how: None)
        if leg.entry:
            self.endpoint.cancel_sent(leg.entry)

    def _answer(self, leg: Leg, message: Message) -> None:
        if message.status < 200:
            if not leg.rung and not leg.wanted:
                self._cancel(leg)
            leg.rung = True
        elif message.status < 300:
            self._stands(leg, message)
        elif leg.wanted and leg.dialog is None:
            self._drop(leg)
            leg.heard(
                leg.attempt.leg,
                Outcome(
                    STATUSES.get(message.status, Status.ERROR),
                    DIAGNOSES.get(message.get("x-diagnosis"), 0),
                    parse_load_report(message.get("x-occupancy"), self.fields),
                ),
            )

    def _stands(self, leg: Leg, message: Message) -> None:
        """Each 2xx is acknowledged; only the first of a leg that is still wanted stands."""
        dialog = Dialog.for_uac(leg.invite, message)
        target = self._target(leg, dialog)
        ack = dialog.build_request("ACK", self.endpoint.via(target.transport), seq=leg.invite.cseq()[0])
        self.endpoint.transmit(ack, target)
        if leg.dialog is not None and leg.dialog.key == dialog.key:
            return  # the same answer again: our ACK was lost
        if not leg.wanted or leg.dialog is not None:
            # It crossed our CANCEL, or a second phone answered: taken down, never passed on.
            self._bye(leg, dialog, NORMAL)
            return
        leg.dialog = dialog
        self.dialogs[dialog.key] = leg
        leg.heard(leg.attempt.leg, Answer(message.body))

    def _broken(self, leg: Leg, how: str) -> None:
        if leg.wanted and leg.dialog is None:
            self._drop(leg)
            leg.heard(leg.attempt.leg, Outcome(BROKEN[how]))

    def _drop(self, leg: Leg) -> None:
        leg.wanted = False
        self.legs.pop((leg.attempt.desk, leg.attempt.request.ident), None)
        if leg.dialog:
            self.dialogs.pop(leg.dialog.key, None)

    def _target(self, leg: Leg, dialog: Dialog) -> Target:
        try:
            target = uri_target(dialog.next_hop(), leg.target.transport)
        except ValueError:  # a name, or nothing usable: back to where the set-up went
            return leg.target
        return target if target.transport in self.endpoint.addresses else leg.target

    def _bye(self, leg: Leg, dialog: Dialog, cause: int) -> None:
        target, call = self._target(leg, dialog), dialog.call_id
        bye = dialog.build_request("BYE", self.endpoint.via(target.transport), ("Reason", f"Q.850;cause={cause}"))
        self.endpoint.request(bye, target, lambda answer: None, lambda how: log.event("no_bye", call=call, how=how))

    def _request(self, message: Message, entry: TransactionEntry, flow: Flow) -> None:
        """Requests of desks: the release of a call above all."""
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
            told = parameter(message.get("reason"), "cause")
            cause = int(told) if is_decimal(told) else NORMAL
            self._drop(leg)
            leg.heard(
                leg.attempt.leg,
                Outcome(
                    Status.RESET if cause == CUT else Status.OK,
                    0,
                    parse_load_report(message.get("x-occupancy"), self.fields),
                    cause,
                ),
            )
