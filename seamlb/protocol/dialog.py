"""SIP dialogs (RFC 3261 section 12) and the answer that is resent until its ACK (13.3.1.4)."""

from __future__ import annotations

from dataclasses import dataclass, field

from seamlb.protocol.sip import Message, parameter
from seamlb.protocol.transaction import NEVER, T1, T2


def address_of(value: str) -> str:
    """The URI in a Contact, From, To, Route or Record-Route."""
    start, end = value.find("<"), value.find(">")
    return value[start + 1 : end] if 0 <= start < end else value.partition(";")[0].strip()


def is_strict(route: str) -> bool:
    """A router of RFC 2543: it has no ;lr."""
    return not any(part.partition("=")[0].strip().lower() == "lr" for part in route.split(";")[1:])


@dataclass(slots=True)
class Dialog:
    """One side's view of a dialog."""

    call_id: str
    local: str  # From of our requests, with our tag
    remote: str  # To of our requests, with their tag
    target: str  # where our requests go
    routes: list[str] = field(default_factory=list)
    local_seq: int = 0
    remote_seq: int = -1

    @property
    def key(self) -> tuple[str, str, str]:
        """Call-ID, local tag and remote tag."""
        return self.call_id, parameter(self.local, "tag"), parameter(self.remote, "tag")

    @classmethod
    def for_uas(cls, invite: Message, tag: str) -> Dialog:
        """The dialog that our answer to an INVITE makes (12.1.1)."""
        contact = next(iter(invite.get_all("contact")), invite.get("from"))
        return cls(
            invite.get("call-id"),
            f"{invite.get('to')};tag={tag}",
            invite.get("from"),
            address_of(contact),
            [address_of(one) for one in invite.get_all("record-route")],
            0,
            invite.cseq()[0],
        )

    @classmethod
    def for_uac(cls, invite: Message, answer: Message) -> Dialog:
        """The dialog that an answer to our INVITE makes (12.1.2)."""
        contact = next(iter(answer.get_all("contact")), "")
        routes = [address_of(one) for one in reversed(answer.get_all("record-route"))]
        target = address_of(contact) or invite.uri
        return cls(invite.get("call-id"), invite.get("from"), answer.get("to"), target, routes, invite.cseq()[0])

    def accept_cseq(self, request: Message) -> bool:
        """Is this request in order (12.2.2)? One out of order gets a 500."""
        number = request.cseq()[0]
        if number < self.remote_seq:
            return False
        self.remote_seq = number
        return True

    def build_request(self, method: str, via: str, *extra: tuple[str, str], seq: int | None = None) -> Message:
        """A request inside the dialog (12.2.1.1); an ACK is given its INVITE's number."""
        if seq is None:
            self.local_seq += 1
            seq = self.local_seq
        uri, routes = self.target, list(self.routes)
        if routes and is_strict(routes[0]):
            uri, routes = routes[0], [*routes[1:], self.target]
        headers = [("Via", via), ("Max-Forwards", "70"), *(("Route", f"<{route}>") for route in routes)]
        headers += [("From", self.local), ("To", self.remote), ("Call-ID", self.call_id), ("CSeq", f"{seq} {method}")]
        return Message(method, uri, headers=[*headers, *extra])

    def next_hop(self) -> str:
        """The URI that our requests are sent to first."""
        return self.routes[0] if self.routes else self.target


class AnswerRetransmitter:
    """Our 2xx, sent again until the ACK comes, on every transport; given up after 64 T1."""

    def __init__(self, answer: Message, now: float) -> None:
        self.answer = answer
        self.wait = T1
        self.end = now + 64 * T1
        self.due = now + T1

    def ack_received(self) -> None:
        """The ACK has come: send no more."""
        self.due = NEVER

    def poll(self, now: float) -> Message | None:
        """The answer to send again now, if one is due; `expired` tells that no ACK came."""
        if now < self.due or now >= self.end:
            return None
        self.wait = min(2 * self.wait, T2)
        self.due = min(now + self.wait, self.end)
        return self.answer

    def expired(self, now: float) -> bool:
        """Has no ACK come in time?"""
        return self.due is not NEVER and now >= self.end
