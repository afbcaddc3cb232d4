"""Checks the agent's rules against the events that callers and stub desks observe on their sockets.

All times are in seconds. The audit sees nothing inside the agent: what is invisible from outside, such as a set-up
that the agent has written but its desk has not yet read, is covered by the tolerance `SLACK_S`.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass, field

REATTEMPT_DELAY_S = 0.3  # after a time-out, a reset or a cancel, before the call's next attempt
DRAIN_GRACE_S = 0.5  # in which a draining desk may still get set-ups
SLACK_S = 0.05  # delay that sockets and this process may add
COLD_WINDOW_S = 1.5  # window in which a cold desk's set-ups are counted
COLD_MULTIPLE = 3.0  # of the rate that a cold desk can handle
ATTEMPTS_CAP = 6  # attempts of one call, unless the settings give another limit
LATE_ATTEMPT_S = 0.1  # in which an attempt may still begin after its caller has left
RELEASE_WITHIN_S = 1.0  # from the end of a call to the release that its caller gets
CUT_RELEASE_WITHIN_S = 8.0  # the same if the desk could not send a release
MAX_VIOLATIONS = 1000


@dataclass(slots=True, frozen=True)
class Violation:
    """One observed breach of a rule."""

    rule: str
    call: str
    at: float
    detail: str
    is_timing: bool = True  # a time limit is exceeded: a delayed observer can cause this too

    def __str__(self) -> str:
        return f"{self.rule}: {self.call}: {self.detail}"


@dataclass(slots=True)
class ObservedCall:
    """One call as observed by its caller and the desks."""

    call_class: str
    requested_at: float
    patience: float  # from the request; the caller waits no longer
    final_answers: list[tuple[float, int]] = field(default_factory=list)  # time, status
    open_attempts: dict[str, float] = field(default_factory=dict)  # start of each open attempt, by desk
    last_aborted: float = -1e9  # end of the last attempt that was cancelled or reset
    attempts: int = 0
    left_at: float = math.inf  # when the caller gave up
    release_due: float = math.inf  # deadline for releasing the caller of an ended call
    released: bool = False


class Audit:
    """Consumes events in order of time and collects `violations`."""

    def __init__(self, attempts_cap: int = ATTEMPTS_CAP) -> None:
        self.attempts_cap = attempts_cap
        self.calls: dict[str, ObservedCall] = {}
        self.violations: list[Violation] = []
        self.drain_notified: dict[str, float] = {}  # by desk: when the agent learned that it drains
        self.cold_desks: dict[str, tuple[float, float]] = {}  # by desk: start, set-ups/s while cold
        self.cold_setups: dict[str, deque[float]] = {}
        self.counts: Counter[str] = Counter()

    @property
    def violation_lines(self) -> list[str]:
        """A line for each violation."""
        return [str(violation) for violation in self.violations]

    def _violate(self, now: float, rule: str, call: str, detail: str, is_timing: bool = False) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, call, now, detail, is_timing))

    def report(self, now: float, rule: str, subject: str, detail: str) -> None:
        """Add a violation that the observer found and that belongs to no call."""
        self._violate(now, rule, subject, detail)

    def call_requested(self, now: float, call: str, call_class: str, patience: float) -> None:
        """A caller sent a request; it waits for `patience` seconds."""
        self.calls[call] = ObservedCall(call_class, now, patience)

    def call_answered(self, now: float, call: str, status: int) -> None:
        """A caller received a final answer."""
        if (observed := self.calls.get(call)) is None:
            return self._violate(now, "unknown answer", call, str(status))
        observed.final_answers.append((now, status))
        if len(observed.final_answers) > 1:
            self._violate(now, "two final answers", call, str([s for _, s in observed.final_answers]))
        if now > observed.requested_at + observed.patience + SLACK_S and observed.left_at == math.inf:
            self._violate(
                now, "late answer", call, f"{now - observed.requested_at:.3f} s of {observed.patience:.3f}", True
            )

    def attempt_started(self, now: float, call: str, desk: str) -> None:
        """A desk received a set-up."""
        if (observed := self.calls.get(call)) is None:
            return self._violate(now, "unknown set-up", call, desk)
        observed.attempts += 1
        if observed.open_attempts:
            self._violate(now, "two attempts at once", call, f"{', '.join(observed.open_attempts)} and {desk}", True)
        if now < observed.last_aborted + REATTEMPT_DELAY_S - SLACK_S:
            self._violate(now, "attempt within 300 ms", call, f"{now - observed.last_aborted:.3f} s after", True)
        if observed.attempts > self.attempts_cap:
            self._violate(now, "too many attempts", call, f"{observed.attempts}, the last at {desk}")
        if now > observed.left_at + LATE_ATTEMPT_S + SLACK_S:
            self._violate(now, "attempt after the caller left", call, f"{now - observed.left_at:.3f} s after", True)
        if observed.final_answers:
            self._violate(now, "set-up after the answer", call, desk)
        if desk in self.drain_notified and now > self.drain_notified[desk] + DRAIN_GRACE_S + SLACK_S:
            self._violate(now, "drain", call, f"{desk}, {now - self.drain_notified[desk]:.3f} s after", True)
        if desk in self.cold_desks:
            setups = self.cold_setups.setdefault(desk, deque())
            setups.append(now)
            while setups and setups[0] < now - COLD_WINDOW_S:
                setups.popleft()
            if len(setups) > max(4.0, COLD_MULTIPLE * self.cold_desks[desk][1] * COLD_WINDOW_S):
                self._violate(now, "cold desk", call, f"{len(setups)} set-ups at {desk} in {COLD_WINDOW_S} s")
        observed.open_attempts[desk] = now

    def attempt_ended(self, now: float, call: str, desk: str, outcome: str) -> None:
        """An attempt was answered, cancelled or reset; the last two delay the call's next attempt."""
        if observed := self.calls.get(call):
            observed.open_attempts.pop(desk, None)
            if outcome != "answered":
                observed.last_aborted = now

    def drain_announced(self, now: float, desk: str) -> None:
        """The agent learned from the server list that a desk drains."""
        self.drain_notified[desk] = now

    def desk_started_cold(self, now: float, desk: str, setups_per_s: float) -> None:
        """A desk started cold and handles `setups_per_s` at first."""
        self.drain_notified.pop(desk, None)
        self.cold_desks[desk] = now, setups_per_s

    def caller_left(self, now: float, call: str) -> None:
        """A caller left before its final answer; from now on no answer is required."""
        if observed := self.calls.get(call):
            observed.left_at = min(observed.left_at, now)

    def call_ended(self, now: float, call: str, within_s: float = RELEASE_WITHIN_S) -> None:
        """An established call ended: its caller must be released within `within_s`."""
        if (observed := self.calls.get(call)) and any(status == 200 for _, status in observed.final_answers):
            observed.release_due = min(observed.release_due, now + within_s)

    def postpone_release(self, call: str, due: float) -> None:
        """The release could not be sent: move its deadline to `due`."""
        if observed := self.calls.get(call):
            observed.release_due = max(observed.release_due, due)

    def call_released(self, now: float, call: str, by_caller: bool = False) -> None:
        """The caller received the release of its call, or released it itself."""
        if observed := self.calls.get(call):
            if now > observed.release_due + SLACK_S and not observed.released and not by_caller:
                self._violate(now, "late release", call, f"{now - observed.release_due:.3f} s after it was due", True)
            observed.released = True

    def finish(self, now: float = 0.0, exempt: Collection[str] = ()) -> None:
        """End of the run: report calls without a final answer and callers without a due release.

        `exempt`: calls that need no release.
        """
        for call, observed in self.calls.items():
            if not observed.final_answers and observed.left_at == math.inf:
                self._violate(now, "no final answer", call, observed.call_class)
            if observed.release_due < now and not observed.released and call not in exempt:
                self._violate(now, "no release", call, f"due {now - observed.release_due:.3f} s ago")
