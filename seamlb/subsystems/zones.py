"""Leaving zones as a fleet: tells the others what we see, takes what they do, and gives the module what follows."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from seamlb import __version__, log
from seamlb.config import Config
from seamlb.extras import ZonesConfig
from seamlb.members.link import MembershipService
from seamlb.routing.agent import Agent
from seamlb.subsystems import Order, Subsystem, Table
from seamlb.zones.fleet import Vote
from seamlb.zones.overlay import ZoneFilter

EVERY = 0.1  # seconds between two looks at what zones do


class ZonesPart(Subsystem):
    """`[zones]`; `fleet` brings the others' word, where there are others."""

    def __init__(self, config: Config, table: ZonesConfig, agent: Agent, fleet: MembershipService | None) -> None:
        self.agent, self.fleet, self.names = agent, fleet, config.zones
        regions = [frozenset(config.zones.index(name) for name in one.split("+")) for one in table.regions]
        stall = min(kind.on_time for kind in config.settings.classes) / 1000.0
        self.overlay = ZoneFilter(
            config.zones, config.settings.instances, table.bears, stall, regions, table.out, table.ramp
        )
        agent.filter_chain.filters.append(self.overlay)

    def tables(self) -> Mapping[str, Table]:
        """The zones, for operators."""
        return {"/admin/zones": lambda: self.overlay.table(self.agent.clock() / 1000.0)}

    def orders(self) -> Mapping[str, Order]:
        """Zones that operators force out or back."""
        return {"/admin/zones/force": self.force}

    def steps(self) -> list[tuple[float, str, Callable[[], None]]]:
        """The votes on zones, taken every now and then."""
        return [(EVERY, "zones", self.step)]

    def force(self, asked: str) -> str:
        """`NAME out`, `NAME in` or `NAME auto`; why not, or empty."""
        name, _, state = asked.partition(" ")
        return "" if self.overlay.force(name, state) else "no such zone or state"

    def step(self) -> None:
        """Time has passed."""
        now = self.agent.clock() / 1000.0
        others: dict[str, Vote] = {}
        divisor, place = 1, 0.0
        if self.fleet:
            divisor, place = self.fleet.divisor, self.fleet.relative_rank()
            others = {name: Vote.decode(meta.rpartition(" ")[2]) for name, meta in self.fleet.peer_metadata().items()}
        self.overlay.step(now, others, divisor, place)
        if self.fleet:
            self.fleet.set_metadata(f"{__version__} {self.overlay.vote(now).encode()}".encode()[:32])
        for name, facts in self.overlay.zones.pending_events:
            log.event(name, **facts | {"zone": self.names[int(str(facts["zone"]))]})
        self.overlay.zones.pending_events.clear()
        self.agent.push_desk_changes()
