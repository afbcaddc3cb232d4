"""Stand-ins: duty desks behind the DeskClient protocol, callers who redial and give up, a list that lags.

A desk's processor is one line that works at `rate` set-ups a second; answers and releases go ahead of set-ups. A
set-up that would wait too long is turned away, which costs work too. A desk that comes up is cold, and falls over
when more than `fall_multiple` times what it can do is sent to it for `fall` ms. All randomness comes from numpy
generators, one stream a part, so that a change in one part leaves the others' draws alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy

from seamlb.emulator.standin import Job, StandinDesk
from seamlb.routing.agent import Agent, CallSession
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Desk, Outcome, Request

REPORT_EVERY = (0.11, 0.59)  # seconds between a desk's unasked reports


class EmulatedDesks:
    """One agent's way to the desks (DeskClient)."""

    def __init__(self, far: Callable[[str], float], holding: Callable[[Request, str], float]) -> None:
        self.far, self.holding = far, holding
        self.desks: dict[str, StandinDesk] = {}
        self.jobs: dict[tuple[str, int], tuple[Job, StandinDesk]] = {}
        self.sent = 0
        self.out: set[str] = set()  # requests with an attempt out
        self.broken: list[str] = []

    def desk_changed(self, desk: Desk) -> None:
        """Nothing is kept of the list: an attempt names its desk."""

    def set_up(self, attempt: Attempt, heard: AttemptCallback) -> None:
        """Start an attempt; it arrives after the way to its server."""
        desk, far = self.desks[attempt.desk], self.far(attempt.desk)
        key = attempt.request.ident, attempt.leg
        if attempt.request.ident in self.out:
            self.broken.append(f"{attempt.request.ident}: two attempts out")
        self.out.add(attempt.request.ident)
        job = Job(attempt, heard, far)
        self.jobs[key] = job, desk
        self.sent += 1

        def ended(leg: int, what: Answer | Outcome) -> None:
            if isinstance(what, Outcome):
                self.jobs.pop(key, None)
                self.out.discard(attempt.request.ident)
            heard(leg, what)

        job.heard = ended
        holding = self.holding(attempt.request, attempt.desk)
        asyncio.get_running_loop().call_later(far, desk.arrive, job, holding)

    def cancel(self, attempt: Attempt) -> None:
        """Call an attempt off."""
        if found := self.jobs.pop((attempt.request.ident, attempt.leg), None):
            job, desk = found
            self.out.discard(attempt.request.ident)
            asyncio.get_running_loop().call_later(job.far, desk.leave, job)

    def release(self, attempt: Attempt, cause: int) -> None:
        """End a call that stands."""
        self.cancel(attempt)

    def close_idle(self, desk: str) -> None:
        """There are no connections."""


@dataclass(slots=True)
class Person:
    """One who calls, redials and gives up; the Caller of each of its tries."""

    world: Any
    agent: Agent
    request: Request
    first: float  # when it first tried
    rng: numpy.random.Generator
    tries: int = 1
    life: CallSession | None = None
    timer: asyncio.TimerHandle | None = None
    stood: float | None = None  # seconds from the first try
    cut: bool = False
    answers: list[str] = field(default_factory=list)  # of this try: never more than one

    def call(self) -> None:
        """Ask the agent for the call."""
        self.answers.clear()
        self.life = self.agent.accept(self.request, self)
        if self.life is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(self.request.patience_ms / 1000.0, self._left)

    def _left(self) -> None:
        self.timer = None
        if self.life and not self.life.answered:
            self.world.late += 1
            self.agent.caller_hung_up(self.life)
            self._again(0.0)

    def _over(self, answer: str) -> None:
        self.answers.append(answer)
        if len(self.answers) > 1:
            self.world.broken.append(f"{self.request.ident}: two final answers {self.answers}")
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def established(self, description: bytes) -> bool:
        """The call stands."""
        self._over("stands")
        self.stood = asyncio.get_running_loop().time() - self.first
        return True

    def refused(self, back_off_ms: float) -> None:
        """The call was refused; the person may try again later."""
        self._over("refused")
        self._again(back_off_ms / 1000.0)

    def failed(self) -> None:
        """The call failed; the person may try again."""
        self._over("failed")
        self._again(0.0)

    def released(self, cause: int) -> None:
        """The call that stood is over."""
        self.cut = cause != 16

    def _again(self, wait: float) -> None:
        loop = asyncio.get_running_loop()
        wait += float(self.rng.uniform(0.5, 2.0))
        if self.tries <= self.world.redials and loop.time() < self.world.until:
            self.tries += 1
            loop.call_later(wait, self.call)
