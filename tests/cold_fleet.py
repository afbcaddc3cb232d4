"""Simulates a fleet of controllers, one of whose servers has just started, and counts the set-ups to it."""

import math
import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass

from seamlb import api
from seamlb.policy.controller import Controller
from tests.support import call_request, cold_allowance, entry, give_list, sent_to, settings

SERVERS = 8
COLD = 1  # the server that has just started, and the first choice of every call
STARTED_AT_MS = 1.0  # ms, clock time of its start
DURATION_MS = 9000.0  # ms of simulated time
TRAFFIC_SHARES = (0.3, 0.5, 1.0, 1.0, 1.0, 3.0)  # traffic of a node relative to the mean, if it is uneven
STEP_MS = 700.0  # ms between two steps of a restart or an upgrade, each of a tenth of the fleet
OVERLAP_MS = 1500.0  # ms in which a replaced process still gets calls, on connections that stay open


@dataclass(slots=True, frozen=True)
class Case:
    """A scenario; `capacity`: set-ups per s of the warm server, `demand`: a multiple of it, by time in ms."""

    nodes: int
    capacity: float
    demand: Callable[[float], float]
    uneven: bool = False
    restarts: bool = False
    upgrades: bool = False


class ColdFleet:
    """One simulation of a case."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        fleet_rate = case.capacity * SERVERS
        self.settings = settings(
            Instances=case.nodes, Tenants=[{"Name": "office", "AllowancePerS": fleet_rate}], OverShareWorth=1.0
        )
        self.server_started = api.ListChange(api.Scope.DELTA, (entry(COLD, since=STARTED_AT_MS),))
        self.shares = [self.rng.choice(TRAFFIC_SHARES) if case.uneven else 1.0 for _ in range(case.nodes)]
        self.processes = [self._running_process(fleet_rate * share / sum(self.shares)) for share in self.shares]
        self.old_processes: dict[int, tuple[Controller, float]] = {}  # by node: replaced process, and until when
        self.replaced_count = 0
        self.sends: list[float] = []

    def _running_process(self, rate: float) -> Controller:
        """Return a process that has run for long and gets `rate` calls per s."""
        process = Controller(self.settings, self.rng.randrange(1 << 30))
        give_list(process, 0.0, *range(1, SERVERS + 1))
        process.node.first_event_at = -math.inf
        process.node.answers_per_line.set(0.0, rate / 1000.0 / process.node.fleet.lines)
        process.handle(STARTED_AT_MS, self.server_started)
        return process

    def _new_process(self, now: float) -> Controller:
        """Return a process that has just started, without any state."""
        process = Controller(self.settings, self.rng.randrange(1 << 30))
        give_list(process, now, *range(2, SERVERS + 1))
        process.handle(now, self.server_started)
        return process

    def _replace_due(self, now: float) -> None:
        step = max(1, self.case.nodes // 10)
        due = min(self.case.nodes, step * int(now / STEP_MS))
        while self.replaced_count < due:
            if self.case.upgrades:
                self.old_processes[self.replaced_count] = self.processes[self.replaced_count], now + OVERLAP_MS
            self.processes[self.replaced_count] = self._new_process(now)
            self.replaced_count += 1

    def _process(self, now: float, node: int) -> Controller:
        """Return the process that gets a call of this node; a replaced one still gets half of them for a while."""
        if node in self.old_processes:
            process, until = self.old_processes[node]
            if now < until and self.rng.random() < 0.5:
                return process
        return self.processes[node]

    def run(self) -> "ColdFleet":
        """Simulate the whole case."""
        now, call = STARTED_AT_MS, 0
        while now < DURATION_MS:
            now += self.rng.expovariate(self.case.capacity * self.case.demand(now) / 1000.0)
            if self.case.restarts or self.case.upgrades:
                self._replace_due(now)
            call += 1
            node = self.rng.choices(range(self.case.nodes), self.shares)[0]
            process = self._process(now, node)
            for server in sent_to(process.handle(now, call_request(call, dest=COLD))):
                self.sends += [now] * (server == COLD)
                process.handle(now, api.Answered(call, 0, server, 5.0))
        return self

    def worst_excess(self) -> float:
        """Return the greatest excess of any window over N + 2, in units of sqrt(N); above 2 the server fails."""
        worst = -math.inf
        for index, start in enumerate(self.sends):
            count = bisect_right(self.sends, start + self.settings.contract.fall) - index
            allowed = cold_allowance(self.settings, self.case.capacity / 1000.0, start - STARTED_AT_MS)
            worst = max(worst, (count - allowed - 2.0) / math.sqrt(allowed))
        return worst
