"""A fleet of controllers on a virtual clock, one of whose servers has just started; counts what reaches it."""

import math
import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass

from seamlb import api
from seamlb.policy.controller import Controller
from tests.support import cold_allowance, demand, entry, listed, sent_to, settings

SERVERS = 8
COLD = 1  # the server that has just started, and the first choice of every call
STARTED = 1.0  # clock time of its start, milliseconds
LASTS = 9000.0  # milliseconds that are played
SHARES = (0.3, 0.5, 1.0, 1.0, 1.0, 3.0)  # of the mean, where traffic is uneven
STEP = 700.0  # milliseconds between two steps of a restart or an upgrade, each of a tenth of the fleet
OVERLAP = 1500.0  # milliseconds for which a replaced process still gets calls, on connections that stay open


@dataclass(slots=True, frozen=True)
class Case:
    """What is played; `capacity` is the server's set-ups a second once warm, `demand` a multiple of it by time."""

    nodes: int
    capacity: float
    demand: Callable[[float], float]
    uneven: bool = False
    restarts: bool = False
    upgrades: bool = False


class ColdFleet:
    """One play of a case."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        fleet_rate = case.capacity * SERVERS
        self.settings = settings(
            Instances=case.nodes, Tenants=[{"Name": "office", "AllowancePerS": fleet_rate}], OverShareWorth=1.0
        )
        self.started = api.ListChange(api.Scope.DELTA, (entry(COLD, since=STARTED),))
        self.shares = [self.rng.choice(SHARES) if case.uneven else 1.0 for _ in range(case.nodes)]
        self.processes = [self._running(fleet_rate * share / sum(self.shares)) for share in self.shares]
        self.leaving: dict[int, tuple[Controller, float]] = {}  # node: the process it had, and until when
        self.replaced = 0
        self.sends: list[float] = []

    def _running(self, rate: float) -> Controller:
        """A process that has run for long and takes `rate` calls a second."""
        process = Controller(self.settings, self.rng.randrange(1 << 30))
        listed(process, 0.0, *range(1, SERVERS + 1))
        process.node.began = -math.inf
        process.node.answers.put(0.0, rate / 1000.0 / process.node.fleet.lines)
        process.handle(STARTED, self.started)
        return process

    def _started(self, now: float) -> Controller:
        """A process that has just started and remembers nothing."""
        process = Controller(self.settings, self.rng.randrange(1 << 30))
        listed(process, now, *range(2, SERVERS + 1))
        process.handle(now, self.started)
        return process

    def _replace_due(self, now: float) -> None:
        step = max(1, self.case.nodes // 10)
        due = min(self.case.nodes, step * int(now / STEP))
        while self.replaced < due:
            if self.case.upgrades:
                self.leaving[self.replaced] = self.processes[self.replaced], now + OVERLAP
            self.processes[self.replaced] = self._started(now)
            self.replaced += 1

    def _process(self, now: float, node: int) -> Controller:
        """Who gets a call of this node: the process that leaves still gets half of them for a while."""
        if node in self.leaving:
            process, until = self.leaving[node]
            if now < until and self.rng.random() < 0.5:
                return process
        return self.processes[node]

    def play(self) -> "ColdFleet":
        """Play the case to its end."""
        now, call = STARTED, 0
        while now < LASTS:
            now += self.rng.expovariate(self.case.capacity * self.case.demand(now) / 1000.0)
            if self.case.restarts or self.case.upgrades:
                self._replace_due(now)
            call += 1
            node = self.rng.choices(range(self.case.nodes), self.shares)[0]
            process = self._process(now, node)
            for server in sent_to(process.handle(now, demand(call, dest=COLD))):
                self.sends += [now] * (server == COLD)
                process.handle(now, api.Answered(call, 0, server, 5.0))
        return self

    def overrun(self) -> float:
        """The most that any window went over N + 2, in roots of N; above 2 the server falls."""
        most = -math.inf
        for place, start in enumerate(self.sends):
            count = bisect_right(self.sends, start + self.settings.contract.fall) - place
            allowed = cold_allowance(self.settings, self.case.capacity / 1000.0, start - STARTED)
            most = max(most, (count - allowed - 2.0) / math.sqrt(allowed))
        return most
