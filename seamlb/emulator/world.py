"""Simulated peers of an agent: desks behind the DeskClient protocol, and callers who redial and give up.

A desk's processor is a single queue that serves `rate` set-ups per second; answers and releases take priority over
set-ups. A set-up that would wait too long is rejected, which costs work too. A desk that has just started is cold,
and crashes when it gets more than `fall_multiple` times its current rate for `fall` ms. Each part of the simulation
has a numpy generator of its own, so a change in one part does not alter the random numbers of the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy

from seamlb.emulator.standin import Job, SimulatedDesk
from seamlb.routing.agent import Agent, CallSession
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Desk, Outcome, Request

REPORT_INTERVAL_S = (0.11, 0.59)  # between a desk's unsolicited reports, uniform


class EmulatedDesks:
    """One agent's connections to the desks (DeskClient)."""

    def __init__(self, one_way_delay: Callable[[str], float], holding: Callable[[Request, str], float]) -> None:
        self.one_way_delay, self.holding = one_way_delay, holding
        self.desks: dict[str, SimulatedDesk] = {}
        self.jobs: dict[tuple[str, int], tuple[Job, SimulatedDesk]] = {}
        self.attempts = 0
        self.open_requests: set[str] = set()  # ids of requests with an open attempt
        self.violations: list[str] = []

    def desk_changed(self, desk: Desk) -> None:
        """Nothing to do: each attempt names its desk."""

    def set_up(self, attempt: Attempt, callback: AttemptCallback) -> None:
        """Start an attempt; it arrives after the one-way delay to its desk."""
        desk, one_way_delay = self.desks[attempt.desk], self.one_way_delay(attempt.desk)
        key = attempt.request.ident, attempt.leg
        if attempt.request.ident in self.open_requests:
            self.violations.append(f"{attempt.request.ident}: two attempts at once")
        self.open_requests.add(attempt.request.ident)
        job = Job(attempt, callback, one_way_delay)
        self.jobs[key] = job, desk
        self.attempts += 1

        def attempt_event(leg: int, event: Answer | Outcome) -> None:
            if isinstance(event, Outcome):
                self.jobs.pop(key, None)
                self.open_requests.discard(attempt.request.ident)
            callback(leg, event)

        job.callback = attempt_event
        holding = self.holding(attempt.request, attempt.desk)
        asyncio.get_running_loop().call_later(one_way_delay, desk.receive_setup, job, holding)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        if found := self.jobs.pop((attempt.request.ident, attempt.leg), None):
            job, desk = found
            self.open_requests.discard(attempt.request.ident)
            asyncio.get_running_loop().call_later(job.delay_s, desk.abandon, job)

    def release(self, attempt: Attempt, cause: int) -> None:
        """Release an established call."""
        self.cancel(attempt)

    def close_idle(self, desk: str) -> None:
        """Nothing to do: there are no connections."""


@dataclass(slots=True)
class SimulatedCaller:
    """A person who calls, redials and gives up; the Caller of each of its tries."""

    world: Any
    agent: Agent
    request: Request
    first_try_at: float  # loop time in seconds
    rng: numpy.random.Generator
    tries: int = 1
    session: CallSession | None = None
    timer: asyncio.TimerHandle | None = None
    setup_s: float | None = None  # from the first try to the established call
    cut_off: bool = False
    answers: list[str] = field(default_factory=list)  # final answers of this try: at most one is allowed

    def place_call(self) -> None:
        """Request the call from the agent."""
        self.answers.clear()
        self.session = self.agent.accept(self.request, self)
        if self.session is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(self.request.patience_ms / 1000.0, self._give_up)

    def _give_up(self) -> None:
        self.timer = None
        if self.session and not self.session.answered:
            self.world.late += 1
            self.agent.caller_hung_up(self.session)
            self._retry(0.0)

    def _final_answer(self, answer: str) -> None:
        self.answers.append(answer)
        if len(self.answers) > 1:
            self.world.violations.append(f"{self.request.ident}: two final answers {self.answers}")
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def established(self, description: bytes) -> bool:
        """The call is established."""
        self._final_answer("established")
        self.setup_s = asyncio.get_running_loop().time() - self.first_try_at
        return True

    def refused(self, back_off_ms: float) -> None:
        """The call was refused; the caller may try again after `back_off_ms`."""
        self._final_answer("refused")
        self._retry(back_off_ms / 1000.0)

    def failed(self) -> None:
        """The call failed; the caller may try again."""
        self._final_answer("failed")
        self._retry(0.0)

    def released(self, cause: int) -> None:
        """The established call ended; any cause but 16 (normal clearing) means that it was cut off."""
        self.cut_off = cause != 16

    def _retry(self, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        wait_s += float(self.rng.uniform(0.5, 2.0))
        if self.tries <= self.world.max_redials and loop.time() < self.world.arrivals_end:
            self.tries += 1
            loop.call_later(wait_s, self.place_call)
