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

    def __init__(self, reliable: bool) -> None:
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
        self.terminate()
        return [Failed(timeout=False)]

    def terminate(self) -> None:
        """Ends the transaction at once."""
        self.state = State.TERMINATED
        self.timers.clear()

    def _absorb(self, name: str, now: float, duration: float) -> None:
        """Absorbs retransmissions for `duration` seconds; 0, as on a reliable transport, ends the transaction."""
        if duration <= 0.0:
            self.terminate()
        else:
            self.timers = {name: now + duration}
