"""Client transactions of SIP (RFC 3261 section 17.1, RFC 6026), without I/O."""

from __future__ import annotations

from seamlb.protocol.sip import Message
from seamlb.protocol.transaction import T1, T2, T4, Deliver, Effects, Failed, Send, State, Transaction


class InviteClient(Transaction):
    """INVITE client transaction (17.1.1) with timers A, B and D, and M of RFC 6026."""

    def __init__(self, request: Message, reliable: bool) -> None:
        super().__init__(reliable)
        self.request = request
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

    def stop_retransmitting(self) -> None:
        """Sends no further copy of the request, whose late responses are still handled."""
        self.timers.pop("A", None)

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
        self.terminate()
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
        super().__init__(reliable)
        self.request = request
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
        self.terminate()
        return [Failed(timeout=True)] if name == "F" else []
