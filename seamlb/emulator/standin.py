"""A stand-in server: its processor, its people, its falls and returns."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from zlib import crc32

import numpy

from seamlb import api
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Outcome

SETUP, ANSWER, RELEASE, TURN = 0.7, 0.15, 0.15, 0.3  # parts of a set-up's whole work; turning one away costs TURN
TURN_WAIT = 2.5  # seconds of work ahead at which set-ups are turned away
FULL_NOTE, TURNED_NOTE = 1, 3
NOISE = 0.03  # part of a report's free agents, at random


def stream(seed: int, *part: object) -> numpy.random.Generator:
    """The random numbers of one part of the world."""
    return numpy.random.Generator(numpy.random.PCG64([seed, crc32(repr(part).encode())]))


@dataclass(slots=True)
class Job:
    """A set-up at a desk."""

    attempt: Attempt
    heard: AttemptCallback
    far: float  # seconds one way
    left: bool = False  # given up, or released by the caller
    standing: bool = False


class StandinDesk:
    """One duty desk."""

    def __init__(
        self, name: str, agents: int, rate: float, contract: api.Contract, rng: numpy.random.Generator
    ) -> None:
        self.name, self.agents, self.rate, self.contract, self.rng = name, agents, rate, contract, rng
        self.loop = asyncio.get_running_loop()
        self.up, self.hung, self.slow = True, False, 1.0
        self.cold_from = -1e9
        self.free = agents
        self.urgent: deque[tuple[float, Callable[[], None]]] = deque()
        self.waiting: deque[tuple[float, Callable[[], None]]] = deque()
        self.busy = False
        self.jobs: dict[int, Job] = {}
        self.epoch = 0  # work of an earlier life of the processor does nothing
        self.sent: deque[float] = deque()
        self.fallen = 0

    # -- the processor --------------------------------------------------------------------------

    def speed(self) -> float:
        """Set-ups a second that it can do now."""
        rules = self.contract
        warmed = (self.loop.time() - self.cold_from) * 1000.0 / max(1.0, rules.cold)
        grown = rules.start_capacity + (1.0 - rules.start_capacity) * min(1.0, max(0.0, warmed))
        return self.rate * grown / self.slow

    def work(self, part: float, then: Callable[[], None], urgent: bool = False) -> None:
        """Queue a part of processor work; `then` is called when it is done."""
        (self.urgent if urgent else self.waiting).append((part, then))
        self._next()

    def _next(self) -> None:
        if self.busy or self.hung or not self.up or not (self.urgent or self.waiting):
            return
        part, then = (self.urgent or self.waiting).popleft()
        self.busy, epoch = True, self.epoch

        def done() -> None:
            if epoch == self.epoch:
                self.busy = False
                then()
                self._next()

        self.loop.call_later(part / self.speed(), done)

    def ahead(self) -> float:
        """Seconds of work that wait."""
        return sum(part for queue in (self.urgent, self.waiting) for part, _ in queue) / self.speed()

    # -- calls ------------------------------------------------------------------------------------

    def arrive(self, job: Job, holding: float) -> None:
        """A set-up comes; the call will hold a person for `holding` seconds."""
        if not self.up:
            return self._tell(job, Outcome(api.Status.CONNECT_FAILED))
        self._overload()
        if not self.up:
            return self._tell(job, Outcome(api.Status.RESET))
        self.jobs[id(job)] = job
        if self.ahead() > TURN_WAIT:
            return self.work(TURN, lambda: self._end(job, Outcome(api.Status.FULL, TURNED_NOTE, self.report())))
        self.work(SETUP, lambda: self._set_up(job, holding))

    def _overload(self) -> None:
        """Rule 4: a cold processor that gets too much for too long falls over and stays down."""
        now, rules = self.loop.time(), self.contract
        self.sent.append(now)
        while self.sent and self.sent[0] < now - rules.fall / 1000.0:
            self.sent.popleft()
        cold = (now - self.cold_from) * 1000.0 < rules.cold
        if cold and len(self.sent) > max(4.0, rules.fall_multiple * self.speed() * rules.fall / 1000.0):
            self.fallen += 1
            self.crash()

    def _set_up(self, job: Job, holding: float) -> None:
        if job.left:  # worked on all the same
            self.jobs.pop(id(job), None)
        elif self.free <= 0:
            self._end(job, Outcome(api.Status.FULL, FULL_NOTE, self.report()))
        else:
            self.free -= 1
            job.standing = True
            self.work(ANSWER, lambda: self._stands(job, holding), urgent=True)

    def _stands(self, job: Job, holding: float) -> None:
        if job.left:
            return self._release(job)
        self._tell(job, Answer(b""))
        epoch = self.epoch

        def over() -> None:
            if epoch == self.epoch and job.standing:
                self._release(job)
                self._end(job, Outcome(api.Status.OK, report=self.report()))

        self.loop.call_later(float(self.rng.exponential(holding)), over)

    def leave(self, job: Job) -> None:
        """The agent gives a set-up up, or releases a call that stands."""
        job.left = True
        if job.standing and self.up:
            self._release(job)

    def _release(self, job: Job) -> None:
        if job.standing:
            job.standing = False
            self.free += 1
            self.jobs.pop(id(job), None)
            self.work(RELEASE, lambda: None, urgent=True)

    def _end(self, job: Job, outcome: Outcome) -> None:
        self.jobs.pop(id(job), None)
        self._tell(job, outcome)

    def _tell(self, job: Job, what: Answer | Outcome) -> None:
        def heard() -> None:
            if not job.left:
                job.heard(job.attempt.leg, what)

        self.loop.call_later(job.far, heard)

    def report(self) -> tuple[float, ...]:
        """Free agents (noisy), agents, milliseconds that a set-up waits."""
        free = max(0.0, min(self.agents, round(self.free + self.rng.normal(0.0, NOISE * self.agents))))
        return (float(free) if self.free else 0.0, float(self.agents), self.ahead() * 1000.0)

    # -- troubles ---------------------------------------------------------------------------------

    def crash(self) -> None:
        """End the process: all its calls are cut."""
        self.up, self.epoch, self.busy = False, self.epoch + 1, False
        jobs, self.jobs, self.free = list(self.jobs.values()), {}, self.agents
        self.urgent.clear()
        self.waiting.clear()
        for job in jobs:
            job.standing = False
            self._tell(job, Outcome(api.Status.RESET))

    def restart(self) -> None:
        """Start a new, cold process."""
        self.up, self.hung, self.cold_from = True, False, self.loop.time()
        self.sent.clear()

    def hang(self, hung: bool) -> None:
        """Stop working, or go on."""
        self.hung = hung
        self._next()
