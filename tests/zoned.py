"""A fleet of agents' zone parts on the virtual network of `tests/gossip.py`: their calls, desks in zones, faults."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque

from seamlb.members.shares import Shares
from seamlb.routing.model import Availability, Desk, Status
from seamlb.zones.fleet import Vote, ZoneState
from seamlb.zones.overlay import ZoneFilter
from tests.gossip import VirtualNetwork

BEARS = 10.0  # calls a second a desk
STALL = 1.5
STEP = 0.1
WINDOW = 1.5


class SimulatedFleet:
    """Agents that send to any desk that they are told is ready; no module decides here."""

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
        self.independent = independent  # the plain way: each agent on its own word
        self.rate = rate  # calls a second of each agent
        self.desks = [
            Desk(f"d{z}.{n}", "", z, z, Availability.READY, 0.0) for z in range(zones) for n in range(desks)
        ]
        labels = [f"z{n}" for n in range(zones)]
        self.overlays = {
            name: ZoneFilter(labels, 1 if independent else agents, BEARS, STALL, regions) for name in self.names
        }
        self.shares = {name: Shares(agents) for name in self.names}
        self.ready: dict[str, dict[str, Desk]] = {}
        for name, one in self.overlays.items():
            self.ready[name] = {desk.ident: desk for desk in one.filter_desks(0.0, 0.0, self.desks, True)}
        self.zone_faults: dict[int, str] = {}  # zone: "dead" (no connection comes up) or "hangs" (nothing comes back)
        self.stalled_links: set[tuple[str, int]] = set()  # agent's link to a zone that stalls
        self.ends: list[tuple[float, int, str, int, Status]] = []
        self.order = itertools.count()
        self.arrivals: dict[str, deque[float]] = {desk.ident: deque() for desk in self.desks}
        self.peak_load = 0.0  # of a returning desk's arrivals over what it bears, in any WINDOW
        self.peak_zones: set[int] = set()  # zones whose peaks are counted
        self.lost_calls: Counter[int] = Counter()  # calls by zone that came to nothing
        self.logged: list[tuple[float, str, str, int]] = []  # when, who, event, zone

    @property
    def now(self) -> float:
        return self.net.now

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.net.run(STEP)
            while self.ends and self.ends[0][0] <= self.now:
                _, number, name, _, status = heapq.heappop(self.ends)
                self.overlays[name].attempt_ended(self.now, number, status)
            for name in self.names:
                if self.net.address(name) in self.net.swims:
                    self._agent(name)

    def _agent(self, name: str) -> None:
        overlay, swim, now = self.overlays[name], self.net.of(name), self.now
        others = (
            {}
            if self.independent
            else {
                other: Vote.decode(one.item.meta.decode())
                for other, one in swim.members.items()
                if other in swim.living()
            }
        )
        living = swim.living()
        place = 0.0 if self.independent else living.index(name) / len(living)
        overlay.step(now, others, 1 if self.independent else self.shares[name].told(now, len(living)), place)
        if not self.independent:
            swim.set_metadata(overlay.vote(now).encode().encode())
        self.logged += [(now, name, what, int(str(facts["zone"]))) for what, facts in overlay.zones.pending_events]
        overlay.zones.pending_events.clear()
        self._tell(name)
        for _ in range(self._poisson(self.rate * STEP)):
            ready = [one for one in self.ready[name].values() if one.availability == Availability.READY]
            if ready:
                self._call(name, self.rng.choice(ready))

    def _tell(self, name: str) -> None:
        for desk in self.overlays[name].changed_desks(self.now, 1e6 + self.now * 1000.0):
            self.ready[name][desk.ident] = desk

    def _poisson(self, mean: float) -> int:
        count, left = 0, self.rng.expovariate(1.0)
        while left < mean:
            count, left = count + 1, left + self.rng.expovariate(1.0)
        return count

    def _call(self, name: str, desk: Desk) -> None:
        number = next(self.order)
        self.overlays[name].attempt_started(self.now, number, desk.ident)
        self._tell(name)
        how = "hangs" if (name, desk.zone) in self.stalled_links else self.zone_faults.get(desk.zone, "")
        after, status = {"": (0.05, Status.OK), "dead": (0.5, Status.CONNECT_FAILED), "hangs": (6.0, Status.TIMEOUT)}[
            how
        ]
        heapq.heappush(self.ends, (self.now + after, number, name, desk.zone, status))
        self.lost_calls[desk.zone] += how != ""
        came = self.arrivals[desk.ident]
        came.append(self.now)
        while came[0] < self.now - WINDOW:
            came.popleft()
        if desk.zone in self.peak_zones:
            self.peak_load = max(self.peak_load, len(came) / (BEARS * WINDOW))

    def states(self, zone: int) -> set[ZoneState]:
        """In which the agents that live have it."""
        return {
            self.overlays[name].zones.zones[zone].state
            for name in self.names
            if self.net.address(name) in self.net.swims
        }

    def run_until_state(self, zone: int, state: ZoneState, most: float) -> float:
        """Seconds until all have it so; most if not."""
        began = self.now
        while self.states(zone) != {state} and self.now - began < most:
            self.run(STEP)
        return self.now - began
