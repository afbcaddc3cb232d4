"""Checks the rules on what passed on the sockets, as callers and stand-in desks saw it; pure logic over events.

Times are seconds. It knows nothing of the agent: what it can't see from outside, like a set-up that the agent has
written and its desk not yet read, gets the allowance `SLACK`.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

BAR = 0.3  # after a time-out, a reset or a cancel
DRAIN = 0.5
SLACK = 0.05  # what sockets and this process may delay
COLD_SPAN = 1.5  # over which a cold desk's set-ups are counted
COLD_TIMES = 3.0


@dataclass(slots=True)
class CallSeen:
    """One call as its caller and the desks saw it."""

    kind: str
    at: float
    patience: float
    finals: list[tuple[float, int]] = field(default_factory=list)
    out: dict[str, float] = field(default_factory=dict)  # attempts that are out, by desk
    barred: float = -1e9  # end of the last attempt that was cancelled or reset
    attempts: int = 0


class Audit:
    """Takes what is seen, in order; `broken` holds a line for each rule that did not hold."""

    def __init__(self) -> None:
        self.calls: dict[str, CallSeen] = {}
        self.broken: list[str] = []
        self.told: dict[str, float] = {}  # desk: when the agent was told that it drains
        self.cold: dict[str, tuple[float, float]] = {}  # desk: since when, set-ups a second it can do then
        self.cold_sent: dict[str, deque[float]] = {}
        self.counts: Counter[str] = Counter()

    def _break(self, rule: str, call: str, facts: str) -> None:
        self.counts[rule] += 1
        if len(self.broken) < 1000:
            self.broken.append(f"{rule}: {call}: {facts}")

    def asked(self, now: float, call: str, kind: str, patience: float) -> None:
        """A caller asks for a call, and waits for so long."""
        self.calls[call] = CallSeen(kind, now, patience)

    def answered(self, now: float, call: str, status: int) -> None:
        """A caller got a final answer."""
        if (one := self.calls.get(call)) is None:
            return self._break("unknown answer", call, str(status))
        one.finals.append((now, status))
        if len(one.finals) > 1:
            self._break("two final answers", call, str([s for _, s in one.finals]))
        if now > one.at + one.patience + SLACK:
            self._break("late answer", call, f"{now - one.at:.3f} s of {one.patience:.3f}")

    def attempt(self, now: float, call: str, desk: str) -> None:
        """A desk got a set-up."""
        if (one := self.calls.get(call)) is None:
            return self._break("unknown set-up", call, desk)
        one.attempts += 1
        if one.out:
            self._break("two attempts out", call, f"{', '.join(one.out)} and {desk}")
        if now < one.barred + BAR - SLACK:
            self._break("300 ms bar", call, f"{now - one.barred:.3f} s after")
        if one.attempts > 6:
            self._break("more than six attempts", call, desk)
        if one.finals:
            self._break("set-up after the answer", call, desk)
        if desk in self.told and now > self.told[desk] + DRAIN + SLACK:
            self._break("drain", call, f"{desk}, {now - self.told[desk]:.3f} s after")
        if desk in self.cold:
            sent = self.cold_sent.setdefault(desk, deque())
            sent.append(now)
            while sent and sent[0] < now - COLD_SPAN:
                sent.popleft()
            if len(sent) > max(4.0, COLD_TIMES * self.cold[desk][1] * COLD_SPAN):
                self._break("cold desk", call, f"{len(sent)} set-ups at {desk} in {COLD_SPAN} s")
        one.out[desk] = now

    def ended(self, now: float, call: str, desk: str, how: str) -> None:
        """An attempt is over: answered by the desk, or cancelled or reset, which bars the call."""
        if one := self.calls.get(call):
            one.out.pop(desk, None)
            if how != "answered":
                one.barred = now

    def drains(self, now: float, desk: str) -> None:
        """The list says that a server drains."""
        self.told[desk] = now

    def starts_cold(self, now: float, desk: str, rate: float) -> None:
        """A server starts, and bears so many set-ups a second at first."""
        self.told.pop(desk, None)
        self.cold[desk] = now, rate

    def finish(self) -> None:
        """All is over: whoever has no answer now never got one."""
        for name, one in self.calls.items():
            if not one.finals:
                self._break("no final answer", name, one.kind)
