"""SIP dialogs (RFC 3261 section 12) and retransmission of a 2xx response until its ACK (section 13.3.1.4)."""

from __future__ import annotations

from dataclasses import dataclass, field

from seamlb.protocol.sip import Message, parameter
from seamlb.protocol.transaction import NEVER, T1, T2


def extract_uri(value: str) -> str:
    """Returns the URI of a Contact, From, To, Route or Record-Route header value."""
    start, end = value.find("<"), value.find(">")
    return value[start + 1 : end] if 0 <= start < end else value.partition(";")[0].strip()


def is_strict_route(route: str) -> bool:
    """Reports whether a route belongs to a strict router (RFC 2543), which has no ;lr parameter."""
    return not any(part.partition("=")[0].strip().lower() == "lr" for part in route.split(";")[1:])


@dataclass(slots=True)
class Dialog:
    """The state of a dialog at one endpoint."""

    call_id: str
    local: str  # From header of our requests, with our tag
    remote: str  # To header of our requests, with the peer's tag
    target: str  # remote target URI of our requests
    routes: list[str] = field(default_factory=list)
    local_seq: int = 0
    remote_seq: int = -1

    @property
    def key(self) -> tuple[str, str, str]:
        """The dialog ID: Call-ID, local tag and remote tag."""
        return self.call_id, parameter(self.local, "tag"), parameter(self.remote, "tag")

    @classmethod
    def for_uas(cls, invite: Message, tag: str) -> Dialog:
        """Creates the dialog that our 2xx response to an INVITE establishes (12.1.1)."""
        contact = next(iter(invite.get_all("contact")), invite.get("from"))
        return cls(
            invite.get("call-id"),
            f"{invite.get('to')};tag={tag}",
            invite.get("from"),
            extract_uri(contact),
            [extract_uri(route) for route in invite.get_all("record-route")],
            0,
            invite.cseq()[0],
        )

    @classmethod
    def for_uac(cls, invite: Message, answer: Message) -> Dialog:
        """Creates the dialog that a response to our INVITE establishes (12.1.2)."""
        contact = next(iter(answer.get_all("contact")), "")
        routes = [extract_uri(route) for route in reversed(answer.get_all("record-route"))]
        target = extract_uri(contact) or invite.uri
        return cls(invite.get("call-id"), invite.get("from"), answer.get("to"), target, routes, invite.cseq()[0])

    def accept_cseq(self, request: Message) -> bool:
        """Records a request's CSeq number; False if it is out of order, which is answered with 500 (12.2.2)."""
        number = request.cseq()[0]
        if number < self.remote_seq:
            return False
        self.remote_seq = number
        return True

    def build_request(self, method: str, via: str, *extra: tuple[str, str], seq: int | None = None) -> Message:
        """Builds a request within the dialog (12.2.1.1); for an ACK, `seq` is the number of its INVITE."""
        if seq is None:
            self.local_seq += 1
            seq = self.local_seq
        uri, routes = self.target, list(self.routes)
        if routes and is_strict_route(routes[0]):
            uri, routes = routes[0], [*routes[1:], self.target]
        headers = [("Via", via), ("Max-Forwards", "70"), *(("Route", f"<{route}>") for route in routes)]
        headers += [("From", self.local), ("To", self.remote), ("Call-ID", self.call_id), ("CSeq", f"{seq} {method}")]
        return Message(method, uri, headers=[*headers, *extra])

    def next_hop(self) -> str:
        """The URI that our requests are sent to: the first route, or else the remote target."""
        return self.routes[0] if self.routes else self.target


class AnswerRetransmitter:
    """Retransmits our 2xx response on every transport until its ACK arrives, for at most 64 * T1 seconds."""

    def __init__(self, answer: Message, now: float) -> None:
        self.answer = answer
        self.interval = T1
        self.deadline = now + 64 * T1
        self.due = now + T1

    def ack_received(self) -> None:
        """Stops the retransmissions."""
        self.due = NEVER

    def poll(self, now: float) -> Message | None:
        """Returns the response if a retransmission is due; `expired` reports a missing ACK."""
        if now < self.due or now >= self.deadline:
            return None
        self.interval = min(2 * self.interval, T2)
        self.due = min(now + self.interval, self.deadline)
        return self.answer

    def expired(self, now: float) -> bool:
        """Reports whether the deadline has passed without an ACK."""
        return self.due is not NEVER and now >= self.deadline
