"""A simulated desk: its processor, its agents, and its crashes and restarts."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from zlib import crc32

import numpy

from seamlb import api
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Outcome

# Shares of the processor work of a whole call; a rejected set-up costs REJECT_WORK.
SETUP_WORK, ANSWER_WORK, RELEASE_WORK, REJECT_WORK = 0.7, 0.15, 0.15, 0.3
REJECT_BACKLOG_S = 2.5  # set-ups are rejected when more work than this is queued
NO_AGENT_NOTE, OVERLOAD_NOTE = 1, 3
REPORT_NOISE = 0.03  # standard deviation of the reported free agents, as a share of all agents


def make_rng(seed: int, *parts: object) -> numpy.random.Generator:
    """A random generator of its own for each part of the simulation."""
    return numpy.random.Generator(numpy.random.PCG64([seed, crc32(repr(parts).encode())]))


@dataclass(slots=True)
class Job:
    """A set-up and its call at a desk."""

    attempt: Attempt
    callback: AttemptCallback
    delay_s: float  # one-way network delay
    abandoned: bool = False  # cancelled, or released by the caller
    established: bool = False


class SimulatedDesk:
    """A desk whose processor handles `rate` set-ups per second."""

    def __init__(
        self, name: str, agents: int, rate: float, contract: api.Contract, rng: numpy.random.Generator
    ) -> None:
        self.name, self.agents, self.rate, self.contract, self.rng = name, agents, rate, contract, rng
        self.loop = asyncio.get_running_loop()
        self.running, self.hung, self.slowdown = True, False, 1.0
        self.started_at = -1e9
        self.free = agents
        self.urgent_queue: deque[tuple[float, Callable[[], None]]] = deque()
        self.queue: deque[tuple[float, Callable[[], None]]] = deque()
        self.busy = False
        self.jobs: dict[int, Job] = {}
        self.process_number = 0  # callbacks of an earlier process are ignored
        self.recent_setups: deque[float] = deque()
        self.overload_crashes = 0

    # -- the processor --------------------------------------------------------------------------

    def current_rate(self) -> float:
        """Set-ups per second that the desk can handle now; a cold process starts at `start_capacity` of its rate."""
        contract = self.contract
        warm_share = (self.loop.time() - self.started_at) * 1000.0 / max(1.0, contract.cold)
        capacity_share = contract.start_capacity + (1.0 - contract.start_capacity) * min(1.0, max(0.0, warm_share))
        return self.rate * capacity_share / self.slowdown

    def enqueue(self, share: float, then: Callable[[], None], urgent: bool = False) -> None:
        """Queue a share of a call's processor work; `then` is called when it is done."""
        (self.urgent_queue if urgent else self.queue).append((share, then))
        self._run_next()

    def _run_next(self) -> None:
        if self.busy or self.hung or not self.running or not (self.urgent_queue or self.queue):
            return
        share, then = (self.urgent_queue or self.queue).popleft()
        self.busy, process_number = True, self.process_number

        def done() -> None:
            if process_number == self.process_number:
                self.busy = False
                then()
                self._run_next()

        self.loop.call_later(share / self.current_rate(), done)

    def backlog_s(self) -> float:
        """Seconds of queued work."""
        return sum(share for queue in (self.urgent_queue, self.queue) for share, _ in queue) / self.current_rate()

    # -- calls ------------------------------------------------------------------------------------

    def receive_setup(self, job: Job, holding: float) -> None:
        """A set-up arrives; its call will occupy an agent for `holding` seconds on average."""
        if not self.running:
            return self._deliver(job, Outcome(api.Status.CONNECT_FAILED))
        self._check_overload()
        if not self.running:
            return self._deliver(job, Outcome(api.Status.RESET))
        self.jobs[id(job)] = job
        if self.backlog_s() > REJECT_BACKLOG_S:
            return self.enqueue(
                REJECT_WORK, lambda: self._end(job, Outcome(api.Status.FULL, OVERLOAD_NOTE, self.report()))
            )
        self.enqueue(SETUP_WORK, lambda: self._finish_setup(job, holding))

    def _check_overload(self) -> None:
        """Rule 4: a cold process that receives too many set-ups within `fall` ms crashes and stays down."""
        now, contract = self.loop.time(), self.contract
        self.recent_setups.append(now)
        while self.recent_setups and self.recent_setups[0] < now - contract.fall / 1000.0:
            self.recent_setups.popleft()
        cold = (now - self.started_at) * 1000.0 < contract.cold
        if cold and len(self.recent_setups) > max(
            4.0, contract.fall_multiple * self.current_rate() * contract.fall / 1000.0
        ):
            self.overload_crashes += 1
            self.crash()

    def _finish_setup(self, job: Job, holding: float) -> None:
        if job.abandoned:  # the processor did the work in vain
            self.jobs.pop(id(job), None)
        elif self.free <= 0:
            self._end(job, Outcome(api.Status.FULL, NO_AGENT_NOTE, self.report()))
        else:
            self.free -= 1
            job.established = True
            self.enqueue(ANSWER_WORK, lambda: self._establish(job, holding), urgent=True)

    def _establish(self, job: Job, holding: float) -> None:
        if job.abandoned:
            return self._release(job)
        self._deliver(job, Answer(b""))
        process_number = self.process_number

        def end_call() -> None:
            if process_number == self.process_number and job.established:
                self._release(job)
                self._end(job, Outcome(api.Status.OK, report=self.report()))

        self.loop.call_later(float(self.rng.exponential(holding)), end_call)

    def abandon(self, job: Job) -> None:
        """The agent cancelled a set-up, or released an established call."""
        job.abandoned = True
        if job.established and self.running:
            self._release(job)

    def _release(self, job: Job) -> None:
        if job.established:
            job.established = False
            self.free += 1
            self.jobs.pop(id(job), None)
            self.enqueue(RELEASE_WORK, lambda: None, urgent=True)

    def _end(self, job: Job, outcome: Outcome) -> None:
        self.jobs.pop(id(job), None)
        self._deliver(job, outcome)

    def _deliver(self, job: Job, message: Answer | Outcome) -> None:
        def deliver() -> None:
            if not job.abandoned:
                job.callback(job.attempt.leg, message)

        self.loop.call_later(job.delay_s, deliver)

    def report(self) -> tuple[float, ...]:
        """The state report: free agents (with noise), all agents, and the queueing delay of a set-up in ms."""
        free = max(0.0, min(self.agents, round(self.free + self.rng.normal(0.0, REPORT_NOISE * self.agents))))
        return (float(free) if self.free else 0.0, float(self.agents), self.backlog_s() * 1000.0)

    # -- faults -----------------------------------------------------------------------------------

    def crash(self) -> None:
        """End the process: all its calls are reset."""
        self.running, self.process_number, self.busy = False, self.process_number + 1, False
        jobs, self.jobs, self.free = list(self.jobs.values()), {}, self.agents
        self.urgent_queue.clear()
        self.queue.clear()
        for job in jobs:
            job.established = False
            self._deliver(job, Outcome(api.Status.RESET))

    def restart(self) -> None:
        """Start a new process, which is cold."""
        self.running, self.hung, self.started_at = True, False, self.loop.time()
        self.recent_setups.clear()

    def hang(self, hung: bool) -> None:
        """Stop or resume the processor."""
        self.hung = hung
        self._run_next()
