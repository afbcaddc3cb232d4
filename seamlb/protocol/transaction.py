"""SIP transactions (RFC 3261 section 17, RFC 6026) as state machines; the clock is passed in, in seconds.

Every input returns the effects that the owner carries out in order: what to send, what to deliver to the
transaction user, and what went wrong. `due` is when `poll` wants to be called next.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from seamlb.protocol.sip import Message, parameter

T1, T2, T4 = 0.5, 4.0, 5.0
MAGIC_COOKIE = "z9hG4bK"
NEVER = float("inf")


class State(Enum):
    """State of a SIP transaction (RFC 3261, 17)."""

    TRYING = auto()  # CALLING for INVITE clients
    PROCEEDING = auto()
    COMPLETED = auto()
    CONFIRMED = auto()
    ACCEPTED = auto()  # RFC 6026
    TERMINATED = auto()


@dataclass(slots=True, frozen=True)
class Send:
    """Put this message on the wire."""

    message: Message


@dataclass(slots=True, frozen=True)
class Deliver:
    """Give this message to the transaction user."""

    message: Message


@dataclass(slots=True, frozen=True)
class Failed:
    """No answer, or no ACK, in time (`timeout`), or the transport broke."""

    timeout: bool


Effects = list[Send | Deliver | Failed]
Key = tuple[str, ...]


def server_key(request: Message) -> Key:
    """What tells requests of one transaction (17.2.3); an ACK has the key of its INVITE."""
    via = (request.get_all("via") or [""])[0]
    method = "INVITE" if request.method == "ACK" else request.method
    branch = parameter(via, "branch")
    if branch.startswith(MAGIC_COOKIE):
        return branch.lower(), sent_by(via).lower(), method
    # A caller of RFC 2543: the branch tells nothing.
    from_tag = parameter(request.get("from"), "tag")
    return "2543", request.uri, from_tag, request.get("call-id"), str(request.cseq()[0]), via, method


def client_key(message: Message) -> Key:
    """What tells a response's transaction (17.1.3)."""
    via = (message.get_all("via") or [""])[0]
    return parameter(via, "branch").lower(), message.cseq()[1]


def sent_by(via: str) -> str:
    """host[:port] of a Via."""
    return via.partition(";")[0].strip().rpartition(" ")[2]


class Transaction:
    """What all four kinds share: a state, and timers by name."""

    def __init__(self, request: Message, reliable: bool) -> None:
        self.request = request
        self.reliable = reliable
        self.state = State.TRYING
        self.timers: dict[str, float] = {}

    @property
    def terminated(self) -> bool:
        """Has it ended?"""
        return self.state is State.TERMINATED

    @property
    def due(self) -> float:
        """When the next timer ends."""
        return min(self.timers.values(), default=NEVER)

    def poll(self, now: float) -> Effects:
        """Fire the timers that are due."""
        effects: Effects = []
        for name in sorted(name for name, at in self.timers.items() if at <= now):
            if self.timers.pop(name, None) is not None:
                effects += self.timer_fired(name, now)
        return effects

    def timer_fired(self, name: str, now: float) -> Effects:
        """A timer has ended."""
        raise NotImplementedError

    def fail(self) -> Effects:
        """The transport could not send (17.1.4, 17.2.4)."""
        if self.terminated:
            return []
        self._end()
        return [Failed(timeout=False)]

    def _end(self) -> None:
        self.state = State.TERMINATED
        self.timers.clear()

    def _linger(self, name: str, now: float, span: float) -> None:
        """Absorb retransmissions for a while: on an unreliable transport only."""
        if span <= 0.0:
            self._end()
        else:
            self.timers = {name: now + span}


class InviteClient(Transaction):
    """17.1.1: timers A, B and D; RFC 6026: M."""

    def __init__(self, request: Message, reliable: bool) -> None:
        super().__init__(request, reliable)
        self.wait = T1
        self.ack: Message | None = None

    def start(self, now: float) -> Effects:
        """Send the request and start timers A and B."""
        self.timers["B"] = now + 64 * T1
        if not self.reliable:
            self.timers["A"] = now + self.wait
        return [Send(self.request)]

    def cancel_sent(self, now: float) -> None:
        """A CANCEL went out: without a final answer this ends by itself (9.1)."""
        if self.state in (State.TRYING, State.PROCEEDING):
            self.timers["B"] = now + 64 * T1

    def receive(self, message: Message, now: float) -> Effects:
        """Take a response."""
        if self.terminated:
            return []
        if message.status < 200:
            if self.state is State.TRYING:
                self.state = State.PROCEEDING
                self.timers.clear()
            return [Deliver(message)] if self.state is State.PROCEEDING else []
        if message.status < 300:
            if self.state in (State.TRYING, State.PROCEEDING):
                self.state = State.ACCEPTED
                self.timers = {"M": now + 64 * T1}
            # Each 2xx goes up: the user sends its ACK again.
            return [Deliver(message)] if self.state is State.ACCEPTED else []
        if self.state in (State.TRYING, State.PROCEEDING):
            self.state = State.COMPLETED
            self.ack = self._ack(message)
            self._linger("D", now, 0.0 if self.reliable else 32.0)
            return [Send(self.ack), Deliver(message)]
        return [Send(self.ack)] if self.state is State.COMPLETED and self.ack else []

    def timer_fired(self, name: str, now: float) -> Effects:
        """Timer A repeats the request; all others end the transaction."""
        if name == "A":
            self.wait *= 2
            self.timers["A"] = now + self.wait
            return [Send(self.request)]
        self._end()
        return [Failed(timeout=True)] if name == "B" else []

    def _ack(self, answer: Message) -> Message:
        """17.1.1.3: the ACK of a refusal is part of the transaction."""
        headers = [("Via", self.request.get_all("via")[0])]
        copied = ("route", "max-forwards", "from", "call-id")
        headers += [(name, value) for name, value in self.request.headers if name.lower() in copied]
        headers += [("To", answer.get("to")), ("CSeq", f"{self.request.cseq()[0]} ACK")]
        return Message("ACK", self.request.uri, headers=headers)


class NonInviteClient(Transaction):
    """17.1.2: timers E, F and K."""

    def __init__(self, request: Message, reliable: bool) -> None:
        super().__init__(request, reliable)
        self.wait = T1

    def start(self, now: float) -> Effects:
        """Send the request and start timers E and F."""
        self.timers["F"] = now + 64 * T1
        if not self.reliable:
            self.timers["E"] = now + self.wait
        return [Send(self.request)]

    def receive(self, message: Message, now: float) -> Effects:
        """Take a response."""
        if self.state not in (State.TRYING, State.PROCEEDING):
            return []
        if message.status < 200:
            self.state = State.PROCEEDING
        else:
            self.state = State.COMPLETED
            self._linger("K", now, 0.0 if self.reliable else T4)
        return [Deliver(message)]

    def timer_fired(self, name: str, now: float) -> Effects:
        """Timer E repeats the request; all others end the transaction."""
        if name == "E":
            self.wait = T2 if self.state is State.PROCEEDING else min(2 * self.wait, T2)
            self.timers["E"] = now + self.wait
            return [Send(self.request)]
        self._end()
        return [Failed(timeout=True)] if name == "F" else []


class InviteServer(Transaction):
    """17.2.1: timers G, H and I; RFC 6026: L."""

    def __init__(self, request: Message, reliable: bool) -> None:
        super().__init__(request, reliable)
        self.state = State.PROCEEDING
        self.wait = T1
        self.last: Message | None = None

    def respond(self, message: Message, now: float) -> Effects:
        """Answer; after a final answer only further copies of a 2xx get through."""
        if self.state is State.PROCEEDING:
            self.last = message
            if 200 <= message.status < 300:
                self.state = State.ACCEPTED
                self.timers = {"L": now + 64 * T1}
            elif message.status >= 300:
                self.state = State.COMPLETED
                self.timers = {"H": now + 64 * T1}
                if not self.reliable:
                    self.timers["G"] = now + self.wait
            return [Send(message)]
        return [Send(message)] if self.state is State.ACCEPTED and 200 <= message.status < 300 else []

    def receive(self, message: Message, now: float) -> Effects:
        """The INVITE again, or the ACK of a refusal; neither reaches the user a second time."""
        if message.method == "ACK":
            if self.state is State.COMPLETED:
                self.state = State.CONFIRMED
                self._linger("I", now, 0.0 if self.reliable else T4)
            return [Deliver(message)] if self.state is State.ACCEPTED else []
        if self.state in (State.PROCEEDING, State.COMPLETED) and self.last:
            return [Send(self.last)]
        return []

    def timer_fired(self, name: str, now: float) -> Effects:
        """Timer G repeats the response; all others end the transaction."""
        if name == "G" and self.last:
            self.wait = min(2 * self.wait, T2)
            self.timers["G"] = now + self.wait
            return [Send(self.last)]
        self._end()
        return [Failed(timeout=True)] if name == "H" else []


class NonInviteServer(Transaction):
    """17.2.2: timer J."""

    def __init__(self, request: Message, reliable: bool) -> None:
        super().__init__(request, reliable)
        self.last: Message | None = None

    def respond(self, message: Message, now: float) -> Effects:
        """Send a response."""
        if self.state not in (State.TRYING, State.PROCEEDING):
            return []
        self.last = message
        if message.status < 200:
            self.state = State.PROCEEDING
        else:
            self.state = State.COMPLETED
            self._linger("J", now, 0.0 if self.reliable else 64 * T1)
        return [Send(message)]

    def receive(self, message: Message, now: float) -> Effects:
        """Take a repeated request: the last response is sent again."""
        return [Send(self.last)] if self.last else []

    def timer_fired(self, name: str, now: float) -> Effects:
        """Timer J ends the transaction."""
        self._end()
        return []
