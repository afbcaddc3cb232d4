"""State machines of SIP transactions (RFC 3261 section 17, RFC 6026); the caller passes the time in seconds.

Each input returns the effects that the caller must apply in order: messages to send, messages to deliver to the
transaction user (TU), and failures. `due` is the time of the next call of `poll`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from seamlb.protocol.sip import Message, parameter

T1, T2, T4 = 0.5, 4.0, 5.0  # seconds: RTT estimate, longest retransmission interval, message lifetime
MAGIC_COOKIE = "z9hG4bK"  # start of a branch that is unique to its transaction (8.1.1.7)
NEVER = float("inf")


class State(Enum):
    """States of a SIP transaction (RFC 3261, 17)."""

    TRYING = auto()  # called Calling for INVITE client transactions
    PROCEEDING = auto()
    COMPLETED = auto()
    CONFIRMED = auto()
    ACCEPTED = auto()  # RFC 6026
    TERMINATED = auto()


@dataclass(slots=True, frozen=True)
class Send:
    """Send this message to the peer."""

    message: Message


@dataclass(slots=True, frozen=True)
class Deliver:
    """Deliver this message to the transaction user."""

    message: Message


@dataclass(slots=True, frozen=True)
class Failed:
    """No response or ACK arrived in time (`timeout`), or the transport failed."""

    timeout: bool


Effects = list[Send | Deliver | Failed]
Key = tuple[str, ...]


def server_key(request: Message) -> Key:
    """Returns the key that matches a request to its transaction (17.2.3); an ACK has the key of its INVITE."""
    via = (request.get_all("via") or [""])[0]
    method = "INVITE" if request.method == "ACK" else request.method
    branch = parameter(via, "branch")
    if branch.startswith(MAGIC_COOKIE):
        return branch.lower(), sent_by(via).lower(), method
    # An RFC 2543 client: the branch does not identify the transaction.
    from_tag = parameter(request.get("from"), "tag")
    return "2543", request.uri, from_tag, request.get("call-id"), str(request.cseq()[0]), via, method


def client_key(message: Message) -> Key:
    """Returns the key that matches a response to its transaction (17.1.3)."""
    via = (message.get_all("via") or [""])[0]
    return parameter(via, "branch").lower(), message.cseq()[1]


def sent_by(via: str) -> str:
    """Returns the sent-by part of a Via header: host[:port]."""
    return via.partition(";")[0].strip().rpartition(" ")[2]


class Transaction:
    """Base of the four transaction types: the state, and the expiry times of the timers by name."""

    def __init__(self, request: Message, reliable: bool) -> None:
        self.request = request
        self.reliable = reliable
        self.state = State.TRYING
        self.timers: dict[str, float] = {}

    @property
    def terminated(self) -> bool:
        """Whether the transaction has ended."""
        return self.state is State.TERMINATED

    @property
    def due(self) -> float:
        """The time at which the next timer fires."""
        return min(self.timers.values(), default=NEVER)

    def poll(self, now: float) -> Effects:
        """Fires the timers that are due."""
        effects: Effects = []
        for name in sorted(name for name, expiry in self.timers.items() if expiry <= now):
            if self.timers.pop(name, None) is not None:
                effects += self.timer_fired(name, now)
        return effects

    def timer_fired(self, name: str, now: float) -> Effects:
        """Handles the expiry of a timer."""
        raise NotImplementedError

    def fail(self) -> Effects:
        """Ends the transaction after a transport error (17.1.4, 17.2.4)."""
        if self.terminated:
            return []
        self._terminate()
        return [Failed(timeout=False)]

    def _terminate(self) -> None:
        self.state = State.TERMINATED
        self.timers.clear()

    def _absorb(self, name: str, now: float, duration: float) -> None:
        """Absorbs retransmissions for `duration` seconds; 0, as on a reliable transport, ends the transaction."""
        if duration <= 0.0:
            self._terminate()
        else:
            self.timers = {name: now + duration}


class InviteClient(Transaction):
    """INVITE client transaction (17.1.1) with timers A, B and D, and M of RFC 6026."""

    def __init__(self, request: Message, reliable: bool) -> None:
        super().__init__(request, reliable)
        self.interval = T1
        self.ack: Message | None = None

    def start(self, now: float) -> Effects:
        """Sends the request and starts timers A and B."""
        self.timers["B"] = now + 64 * T1
        if not self.reliable:
            self.timers["A"] = now + self.interval
        return [Send(self.request)]

    def cancel_sent(self, now: float) -> None:
        """Starts timer B anew after a CANCEL: without a final response, it ends the transaction (9.1)."""
        if self.state in (State.TRYING, State.PROCEEDING):
            self.timers["B"] = now + 64 * T1

    def receive(self, message: Message, now: float) -> Effects:
        """Handles a response."""
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
            # Every copy of the 2xx is delivered, because the transaction user must repeat its ACK.
            return [Deliver(message)] if self.state is State.ACCEPTED else []
        if self.state in (State.TRYING, State.PROCEEDING):
            self.state = State.COMPLETED
            self.ack = self._ack(message)
            self._absorb("D", now, 0.0 if self.reliable else 32.0)
            return [Send(self.ack), Deliver(message)]
        return [Send(self.ack)] if self.state is State.COMPLETED and self.ack else []

    def timer_fired(self, name: str, now: float) -> Effects:
        """Timer A retransmits the request; all others end the transaction."""
        if name == "A":
            self.interval *= 2
            self.timers["A"] = now + self.interval
            return [Send(self.request)]
        self._terminate()
        return [Failed(timeout=True)] if name == "B" else []

    def _ack(self, answer: Message) -> Message:
        """Builds the ACK of a 3xx to 6xx response, which belongs to the transaction (17.1.1.3)."""
        headers = [("Via", self.request.get_all("via")[0])]
        copied = ("route", "max-forwards", "from", "call-id")
        headers += [(name, value) for name, value in self.request.headers if name.lower() in copied]
        headers += [("To", answer.get("to")), ("CSeq", f"{self.request.cseq()[0]} ACK")]
        return Message("ACK", self.request.uri, headers=headers)


class NonInviteClient(Transaction):
    """Client transaction of other requests (17.1.2) with timers E, F and K."""

    def __init__(self, request: Message, reliable: bool) -> None:
        super().__init__(request, reliable)
        self.interval = T1

    def start(self, now: float) -> Effects:
        """Sends the request and starts timers E and F."""
        self.timers["F"] = now + 64 * T1
        if not self.reliable:
            self.timers["E"] = now + self.interval
        return [Send(self.request)]

    def receive(self, message: Message, now: float) -> Effects:
        """Handles a response."""
        if self.state not in (State.TRYING, State.PROCEEDING):
            return []
        if message.status < 200:
            self.state = State.PROCEEDING
        else:
            self.state = State.COMPLETED
            self._absorb("K", now, 0.0 if self.reliable else T4)
        return [Deliver(message)]

    def timer_fired(self, name: str, now: float) -> Effects:
        """Timer E retransmits the request; all others end the transaction."""
        if name == "E":
            self.interval = T2 if self.state is State.PROCEEDING else min(2 * self.interval, T2)
            self.timers["E"] = now + self.interval
            return [Send(self.request)]
        self._terminate()
        return [Failed(timeout=True)] if name == "F" else []


class InviteServer(Transaction):
    """INVITE server transaction (17.2.1) with timers G, H and I, and L of RFC 6026."""

    def __init__(self, request: Message, reliable: bool) -> None:
        super().__init__(request, reliable)
        self.state = State.PROCEEDING
        self.interval = T1
        self.last_response: Message | None = None

    def respond(self, message: Message, now: float) -> Effects:
        """Sends a response; after a final one only retransmissions of a 2xx are sent."""
        if self.state is State.PROCEEDING:
            self.last_response = message
            if 200 <= message.status < 300:
                self.state = State.ACCEPTED
                self.timers = {"L": now + 64 * T1}
            elif message.status >= 300:
                self.state = State.COMPLETED
                self.timers = {"H": now + 64 * T1}
                if not self.reliable:
                    self.timers["G"] = now + self.interval
            return [Send(message)]
        return [Send(message)] if self.state is State.ACCEPTED and 200 <= message.status < 300 else []

    def receive(self, message: Message, now: float) -> Effects:
        """Handles a retransmitted INVITE or an ACK; of these, only the ACK of a 2xx is delivered."""
        if message.method == "ACK":
            if self.state is State.COMPLETED:
                self.state = State.CONFIRMED
                self._absorb("I", now, 0.0 if self.reliable else T4)
            return [Deliver(message)] if self.state is State.ACCEPTED else []
        if self.state in (State.PROCEEDING, State.COMPLETED) and self.last_response:
            return [Send(self.last_response)]
        return []

    def timer_fired(self, name: str, now: float) -> Effects:
        """Timer G retransmits the response; all others end the transaction."""
        if name == "G" and self.last_response:
            self.interval = min(2 * self.interval, T2)
            self.timers["G"] = now + self.interval
            return [Send(self.last_response)]
        self._terminate()
        return [Failed(timeout=True)] if name == "H" else []


class NonInviteServer(Transaction):
    """Server transaction of other requests (17.2.2) with timer J."""

    def __init__(self, request: Message, reliable: bool) -> None:
        super().__init__(request, reliable)
        self.last_response: Message | None = None

    def respond(self, message: Message, now: float) -> Effects:
        """Sends a response."""
        if self.state not in (State.TRYING, State.PROCEEDING):
            return []
        self.last_response = message
        if message.status < 200:
            self.state = State.PROCEEDING
        else:
            self.state = State.COMPLETED
            self._absorb("J", now, 0.0 if self.reliable else 64 * T1)
        return [Send(message)]

    def receive(self, message: Message, now: float) -> Effects:
        """Answers a retransmitted request with the last response."""
        return [Send(self.last_response)] if self.last_response else []

    def timer_fired(self, name: str, now: float) -> Effects:
        """Ends the transaction on timer J."""
        self._terminate()
        return []
