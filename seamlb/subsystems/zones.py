"""Zone failover as a fleet: exchanges votes on zones with the other members and filters the module's desks."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from seamlb import __version__, log
from seamlb.config import Config
from seamlb.extras import ZonesConfig
from seamlb.members.service import MembershipService
from seamlb.routing.agent import Agent
from seamlb.subsystems import Command, Subsystem, View
from seamlb.zones.failover import Vote
from seamlb.zones.zone_filter import ZoneFilter

STEP_INTERVAL_S = 0.1  # between two evaluations of the zones


class ZonesSubsystem(Subsystem):
    """`[zones]`; `membership` exchanges votes with other members, if there are any."""

    def __init__(self, config: Config, table: ZonesConfig, agent: Agent, members: MembershipService | None) -> None:
        self.agent, self.members, self.zone_names = agent, members, config.zones
        regions = [frozenset(config.zones.index(name) for name in region.split("+")) for region in table.regions]
        stall_s = min(kind.on_time for kind in config.settings.classes) / 1000.0
        self.zone_filter = ZoneFilter(
            config.zones, config.settings.instances, table.bears, stall_s, regions, table.out, table.ramp
        )
        agent.filter_chain.filters.append(self.zone_filter)

    def views(self) -> Mapping[str, View]:
        """The state of the zones."""
        return {"/admin/zones": lambda: self.zone_filter.table(self.agent.clock() / 1000.0)}

    def commands(self) -> Mapping[str, Command]:
        """Forcing a zone out or in."""
        return {"/admin/zones/force": self.force}

    def periodic_tasks(self) -> list[tuple[float, str, Callable[[], None]]]:
        """The evaluation of the votes on zones."""
        return [(STEP_INTERVAL_S, "zones", self.step)]

    def force(self, argument: str) -> str:
        """Run `NAME out`, `NAME in` or `NAME auto`; returns the reason of a refusal, or an empty text."""
        name, _, state = argument.partition(" ")
        return "" if self.zone_filter.force(name, state) else "no such zone or state"

    def step(self) -> None:
        """Exchange votes and apply the resulting zone states."""
        now = self.agent.clock() / 1000.0
        votes: dict[str, Vote] = {}
        divisor, rank = 1, 0.0
        if self.members:
            divisor, rank = self.members.divisor, self.members.relative_rank()
            votes = {
                name: Vote.decode(meta.rpartition(" ")[2]) for name, meta in self.members.peer_metadata().items()
            }
        self.zone_filter.step(now, votes, divisor, rank)
        if self.members:
            self.members.set_metadata(f"{__version__} {self.zone_filter.vote(now).encode()}".encode()[:32])
        for name, fields in self.zone_filter.zones.pending_events:
            log.event(name, **fields | {"zone": self.zone_names[int(str(fields["zone"]))]})
        self.zone_filter.zones.pending_events.clear()
        self.agent.push_desk_changes()
