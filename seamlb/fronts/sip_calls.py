"""A call of a SIP caller: its INVITE transaction, then its dialog (RFC 3261, sections 13 and 15)."""

from __future__ import annotations

import asyncio
import contextlib
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from seamlb import log
from seamlb.protocol.dialog import AnswerRetransmitter, Dialog
from seamlb.protocol.sip import Message, response
from seamlb.routing.agent import CallSession
from seamlb.sip.addresses import Flow, Target, uri_target
from seamlb.sip.transactions import TransactionEntry

if TYPE_CHECKING:
    from seamlb.fronts.sip import SipFront

ALLOWED = ("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS")
ALLOW = ("Allow", ", ".join(ALLOWED))
DIALOG_HEADERS = ("record-route", "contact", "content-type")  # of an INVITE, beside those that a response copies
CAUSE_NORMAL = 16  # Q.850: normal call clearing


@dataclass(slots=True, eq=False)
class Call:
    """One INVITE, then its dialog: the caller of a request as the core sees it."""

    front: SipFront
    invite: Message
    entry: TransactionEntry
    flow: Flow
    tag: str
    session: CallSession | None = None
    dialog: Dialog | None = None
    resender: AnswerRetransmitter | None = None
    timer: asyncio.TimerHandle | None = None
    answered: bool = False
    pending_cause: int | None = None  # Q.850 cause of a release that waits for the ACK

    def respond(self, status: int, *extra: tuple[str, str], body: bytes = b"") -> None:
        """Send a response; after a final one the set-up is no longer pending."""
        self.answered = status >= 200
        if self.answered:
            self.front.pending.pop(self.entry.key, None)
        answer = response(self.invite, status, *extra, body=body, tag=self.tag if status > 100 else "")
        self.front.endpoint.respond(self.entry, answer)

    def established(self, description: bytes) -> bool:
        """Answer 200 with the desk's session description, unchanged, and resend it until the ACK arrives."""
        if self.answered:
            return False
        now = asyncio.get_running_loop().time()
        extra = [("Record-Route", one) for one in self.invite.get_all("record-route")]
        extra += [("Contact", self.front.endpoint.contact(self.flow.transport)), ALLOW]
        if description:
            extra.append(("Content-Type", self.invite.get("content-type", "application/sdp")))
        answer = response(self.invite, 200, *extra, body=description, tag=self.tag)
        self.dialog = Dialog.for_uas(self.invite, self.tag)
        self.front.dialogs[self.dialog.key] = self
        self.resender = AnswerRetransmitter(answer, now)
        self.answered = True
        self.front.pending.pop(self.entry.key, None)
        self.front.endpoint.respond(self.entry, answer)
        self.timer = asyncio.get_running_loop().call_at(self.resender.due, self._resend)
        return True

    def _resend(self) -> None:
        loop = asyncio.get_running_loop()
        assert self.resender is not None
        if again := self.resender.poll(loop.time() + 0.001):
            self.front.endpoint.respond(self.entry, again)
        elif self.resender.expired(loop.time() + 0.001):
            # The ACK never arrived: the call is released (13.3.1.4).
            log.event("no_ack", kind="sip", call=self.invite.get("call-id"), how="timeout")
            self.timer = None
            self.front.caller_left(self, CAUSE_NORMAL)
            return self._bye(self.pending_cause if self.pending_cause is not None else CAUSE_NORMAL)
        self.timer = loop.call_at(self.resender.due, self._resend)

    def on_ack(self) -> None:
        """Handle the ACK of the 200: stop resending it, and send a release that waited for the ACK."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
            if self.pending_cause is not None:
                self._bye(self.pending_cause)

    def refused(self, back_off_ms: float) -> None:
        """Answer 503, with Retry-After if `back_off_ms` is not 0."""
        extra = [("Retry-After", str(math.ceil(back_off_ms / 1000.0)))] if back_off_ms > 0 else []
        self._final(503, *extra)

    def failed(self) -> None:
        """Answer 500."""
        self._final(500)

    def _final(self, status: int, *extra: tuple[str, str]) -> None:
        if not self.answered:  # a CANCEL may have been answered with 487 already
            self.respond(status, *extra)

    def released(self, cause: int) -> None:
        """Send the BYE once the ACK has arrived or its timeout is over."""
        if self.timer:
            self.pending_cause = cause  # no BYE may be sent before the ACK (15)
        else:
            self._bye(cause)

    def _bye(self, cause: int) -> None:
        dialog, self.dialog = self.dialog, None
        if dialog is None:
            return
        self.front.dialogs.pop(dialog.key, None)
        endpoint, ident = self.front.endpoint, self.invite.get("call-id")
        target = origin = Target(self.flow.transport, self.flow.source)
        with contextlib.suppress(ValueError):  # a host name or no usable URI: send it to where the call came from
            target = uri_target(dialog.next_hop(), self.flow.transport)
        target = target if target.transport in endpoint.addresses else origin
        bye = dialog.build_request("BYE", endpoint.via(target.transport), ("Reason", f"Q.850;cause={cause}"))
        if self.flow.connection and self.flow.connection.closed is False and target.transport == "TCP":
            # Reuse the caller's connection: the caller may not be reachable any other way.
            endpoint.tcp.use(target.address, self.flow.connection)
        endpoint.request(bye, target, lambda answer: None, lambda how: log.event("no_bye", call=ident, how=how))

    def end_dialog(self) -> None:
        """End the dialog after the caller has released the call, or cannot be reached."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.dialog:
            self.front.dialogs.pop(self.dialog.key, None)
            self.dialog = None
