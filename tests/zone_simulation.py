"""Simulated fleet of agents with zone failover, on the virtual network of `tests/virtual_network.py`.

Simulates the agents' calls, desks in several zones, and faults of zones and links.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque

from seamlb.members.limit_divisor import LimitDivisor
from seamlb.routing.model import Availability, Desk, Status
from seamlb.zones.failover import Vote, ZoneState
from seamlb.zones.zone_filter import ZoneFilter
from tests.virtual_network import VirtualNetwork

DESK_CAPACITY = 10.0  # calls/s
STALL_S = 1.5
STEP_S = 0.1
WINDOW_S = 1.5


class SimulatedFleet:
    """Agents that call a random ready desk; there is no decision module."""

    def __init__(
        self,
        agents: int,
        rate: float = 6.0,
        zones: int = 3,
        desks: int = 4,
        seed: int = 1,
        loss: float = 0.0,
        independent: bool = False,
        regions: tuple[frozenset[int], ...] = (),
    ) -> None:
        self.rng = random.Random(seed)
        self.names = [f"i{n}" for n in range(agents)]
        self.net = VirtualNetwork(agents, seed=seed, loss=loss, wire=False)
        self.independent = independent  # baseline: each agent acts on its own observations only
        self.rate = rate  # calls/s of each agent
        self.desks = [
            Desk(f"d{z}.{n}", "", z, z, Availability.READY, 0.0) for z in range(zones) for n in range(desks)
        ]
        labels = [f"z{n}" for n in range(zones)]
        self.filters = {
            name: ZoneFilter(labels, 1 if independent else agents, DESK_CAPACITY, STALL_S, regions)
            for name in self.names
        }
        self.limit_divisors = {name: LimitDivisor(agents) for name in self.names}
        self.ready: dict[str, dict[str, Desk]] = {}
        for name, one in self.filters.items():
            self.ready[name] = {desk.ident: desk for desk in one.filter_desks(0.0, 0.0, self.desks, True)}
        self.zone_faults: dict[int, str] = {}  # by zone: "dead" (connects fail) or "hangs" (no response)
        self.stalled_links: set[tuple[str, int]] = set()  # (agent, zone)
        self.outcomes: list[tuple[float, int, str, int, Status]] = []
        self.order = itertools.count()
        self.arrivals: dict[str, deque[float]] = {desk.ident: deque() for desk in self.desks}
        self.peak_load = 0.0  # a desk's highest calls per WINDOW_S over its capacity, in peak_zones
        self.peak_zones: set[int] = set()
        self.lost_calls: Counter[int] = Counter()  # by zone
        self.logged: list[tuple[float, str, str, int]] = []  # time (s), agent, event, zone

    @property
    def now(self) -> float:
        return self.net.now

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.net.run(STEP_S)
            while self.outcomes and self.outcomes[0][0] <= self.now:
                _, number, name, _, status = heapq.heappop(self.outcomes)
                self.filters[name].attempt_ended(self.now, number, status)
            for name in self.names:
                if self.net.address(name) in self.net.swims:
                    self._agent(name)

    def _agent(self, name: str) -> None:
        zone_filter, swim, now = self.filters[name], self.net.instance(name), self.now
        others = (
            {}
            if self.independent
            else {
                other: Vote.decode(one.record.meta.decode())
                for other, one in swim.members.items()
                if other in swim.alive_names()
            }
        )
        alive = swim.alive_names()
        relative_rank = 0.0 if self.independent else alive.index(name) / len(alive)
        zone_filter.step(
            now, others, 1 if self.independent else self.limit_divisors[name].update(now, len(alive)), relative_rank
        )
        if not self.independent:
            swim.set_metadata(zone_filter.vote(now).encode().encode())
        self.logged += [
            (now, name, event, int(str(fields["zone"]))) for event, fields in zone_filter.zones.pending_events
        ]
        zone_filter.zones.pending_events.clear()
        self._update_ready(name)
        for _ in range(self._poisson(self.rate * STEP_S)):
            ready = [one for one in self.ready[name].values() if one.availability == Availability.READY]
            if ready:
                self._call(name, self.rng.choice(ready))

    def _update_ready(self, name: str) -> None:
        for desk in self.filters[name].changed_desks(self.now, 1e6 + self.now * 1000.0):
            self.ready[name][desk.ident] = desk

    def _poisson(self, mean: float) -> int:
        count, left = 0, self.rng.expovariate(1.0)
        while left < mean:
            count, left = count + 1, left + self.rng.expovariate(1.0)
        return count

    def _call(self, name: str, desk: Desk) -> None:
        number = next(self.order)
        self.filters[name].attempt_started(self.now, number, desk.ident)
        self._update_ready(name)
        fault = "hangs" if (name, desk.zone) in self.stalled_links else self.zone_faults.get(desk.zone, "")
        duration, status = {
            "": (0.05, Status.OK),
            "dead": (0.5, Status.CONNECT_FAILED),
            "hangs": (6.0, Status.TIMEOUT),
        }[fault]
        heapq.heappush(self.outcomes, (self.now + duration, number, name, desk.zone, status))
        self.lost_calls[desk.zone] += fault != ""
        arrivals = self.arrivals[desk.ident]
        arrivals.append(self.now)
        while arrivals[0] < self.now - WINDOW_S:
            arrivals.popleft()
        if desk.zone in self.peak_zones:
            self.peak_load = max(self.peak_load, len(arrivals) / (DESK_CAPACITY * WINDOW_S))

    def states(self, zone: int) -> set[ZoneState]:
        """The states that the running agents have for a zone."""
        return {
            self.filters[name].zones.zones[zone].state
            for name in self.names
            if self.net.address(name) in self.net.swims
        }

    def run_until_state(self, zone: int, state: ZoneState, timeout: float) -> float:
        """Run until all running agents have the state, or for `timeout` s; returns the virtual seconds passed."""
        began = self.now
        while self.states(zone) != {state} and self.now - began < timeout:
            self.run(STEP_S)
        return self.now - began
