"""Server transactions of SIP (RFC 3261 section 17.2, RFC 6026), without I/O."""

from __future__ import annotations

from seamlb.protocol.sip import Message
from seamlb.protocol.transaction import T1, T2, T4, Deliver, Effects, Failed, Send, State, Transaction


class InviteServer(Transaction):
    """INVITE server transaction (17.2.1) with timers G, H and I, and L of RFC 6026."""

    def __init__(self, reliable: bool) -> None:
        super().__init__(reliable)
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
        self.terminate()
        return [Failed(timeout=True)] if name == "H" else []


class NonInviteServer(Transaction):
    """Server transaction of other requests (17.2.2) with timer J."""

    def __init__(self, reliable: bool) -> None:
        super().__init__(reliable)
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
        self.terminate()
        return []
