"""Checks the rules on what passed on the sockets, as callers and stand-in desks saw it; pure logic over events.

Times are seconds. It knows nothing of the agent: what it can't see from outside, like a set-up that the agent has
written and its desk not yet read, gets the allowance `SLACK`.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass, field

BAR = 0.3  # after a time-out, a reset or a cancel
DRAIN = 0.5
SLACK = 0.05  # what sockets and this process may delay
COLD_SPAN = 1.5  # over which a cold desk's set-ups are counted
COLD_TIMES = 3.0
ATTEMPTS_CAP = 6  # attempts of one call, where the settings say nothing else
LEFT_WITHIN = 0.1  # after a caller has left, in which an attempt may still begin
TELL_WITHIN = 1.0  # from a call's release to its caller being told
CUT_WITHIN = 8.0  # the same where no release could be sent
VIOLATIONS_KEPT = 1000


@dataclass(slots=True, frozen=True)
class Violation:
    """A rule that did not hold."""

    rule: str
    call: str
    at: float
    facts: str
    timed: bool = True  # whether it is a matter of a bound on time, which a late observer may see broken

    def __str__(self) -> str:
        return f"{self.rule}: {self.call}: {self.facts}"


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
    left: float = math.inf  # when the caller gave it up
    due: float = math.inf  # when the caller must have been told that the call that stood is over
    released: bool = False


class Audit:
    """Takes what is seen, in order; `violations` holds each rule that did not hold."""

    def __init__(self, attempts_cap: int = ATTEMPTS_CAP) -> None:
        self.attempts_cap = attempts_cap
        self.calls: dict[str, CallSeen] = {}
        self.violations: list[Violation] = []
        self.told: dict[str, float] = {}  # desk: when the agent was told that it drains
        self.cold: dict[str, tuple[float, float]] = {}  # desk: since when, set-ups a second it can do then
        self.cold_sent: dict[str, deque[float]] = {}
        self.counts: Counter[str] = Counter()

    @property
    def broken(self) -> list[str]:
        """A line for each violation."""
        return [str(one) for one in self.violations]

    def _break(self, now: float, rule: str, call: str, facts: str, timed: bool = False) -> None:
        self.counts[rule] += 1
        if len(self.violations) < VIOLATIONS_KEPT:
            self.violations.append(Violation(rule, call, now, facts, timed))

    def report(self, now: float, rule: str, who: str, facts: str) -> None:
        """A rule that is no call's did not hold, as the observer found."""
        self._break(now, rule, who, facts)

    def asked(self, now: float, call: str, kind: str, patience: float) -> None:
        """A caller asks for a call, and waits for so long."""
        self.calls[call] = CallSeen(kind, now, patience)

    def answered(self, now: float, call: str, status: int) -> None:
        """A caller got a final answer."""
        if (one := self.calls.get(call)) is None:
            return self._break(now, "unknown answer", call, str(status))
        one.finals.append((now, status))
        if len(one.finals) > 1:
            self._break(now, "two final answers", call, str([s for _, s in one.finals]))
        if now > one.at + one.patience + SLACK and one.left == math.inf:
            self._break(now, "late answer", call, f"{now - one.at:.3f} s of {one.patience:.3f}", True)

    def attempt(self, now: float, call: str, desk: str) -> None:
        """A desk got a set-up."""
        if (one := self.calls.get(call)) is None:
            return self._break(now, "unknown set-up", call, desk)
        one.attempts += 1
        if one.out:
            self._break(now, "two attempts out", call, f"{', '.join(one.out)} and {desk}", True)
        if now < one.barred + BAR - SLACK:
            self._break(now, "300 ms bar", call, f"{now - one.barred:.3f} s after", True)
        if one.attempts > self.attempts_cap:
            self._break(now, "too many attempts", call, f"{one.attempts}, the last at {desk}")
        if now > one.left + LEFT_WITHIN + SLACK:
            self._break(now, "attempt after the caller left", call, f"{now - one.left:.3f} s after", True)
        if one.finals:
            self._break(now, "set-up after the answer", call, desk)
        if desk in self.told and now > self.told[desk] + DRAIN + SLACK:
            self._break(now, "drain", call, f"{desk}, {now - self.told[desk]:.3f} s after", True)
        if desk in self.cold:
            sent = self.cold_sent.setdefault(desk, deque())
            sent.append(now)
            while sent and sent[0] < now - COLD_SPAN:
                sent.popleft()
            if len(sent) > max(4.0, COLD_TIMES * self.cold[desk][1] * COLD_SPAN):
                self._break(now, "cold desk", call, f"{len(sent)} set-ups at {desk} in {COLD_SPAN} s")
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

    def gave_up(self, now: float, call: str) -> None:
        """A caller has left without its answer: none is owed from now on."""
        if one := self.calls.get(call):
            one.left = min(one.left, now)

    def over(self, now: float, call: str, within: float = TELL_WITHIN) -> None:
        """A call that stands is over: its caller has to be told."""
        if (one := self.calls.get(call)) and any(status == 200 for _, status in one.finals):
            one.due = min(one.due, now + within)

    def postpone(self, call: str, due: float) -> None:
        """The release could not be sent after all: it is owed by then."""
        if one := self.calls.get(call):
            one.due = max(one.due, due)

    def released(self, now: float, call: str, by_caller: bool = False) -> None:
        """The caller was told that its call is over, or released it."""
        if one := self.calls.get(call):
            if now > one.due + SLACK and not one.released and not by_caller:
                self._break(now, "late release", call, f"{now - one.due:.3f} s after it was due", True)
            one.released = True

    def finish(self, now: float = 0.0, without: Collection[str] = ()) -> None:
        """All is over: who has no answer, or was not told of the end of its call by now, never is.

        `without`: calls of which no release is owed.
        """
        for name, one in self.calls.items():
            if not one.finals and one.left == math.inf:
                self._break(now, "no final answer", name, one.kind)
            if one.due < now and not one.released and name not in without:
                self._break(now, "no release", name, f"due {now - one.due:.3f} s ago")
