"""The settings of the table `[consul]`."""

from __future__ import annotations

from dataclasses import dataclass

from seamlb.discovery.polls import POLL_WAIT

MIN_WAIT = 0.1  # seconds


@dataclass(slots=True, frozen=True)
class ConsulConfig:
    """The address of Consul, and the service and metadata keys of the desks."""

    address: str
    service: str
    wait: float = POLL_WAIT  # seconds Consul may hold a blocking query; MIN_WAIT to POLL_WAIT is used
    cell_key: str = "cell"  # this and the following are keys in ServiceMeta
    zone_key: str = "zone"
    since_key: str = "up_since_ms"

    @property
    def query_wait(self) -> float:
        """Seconds for which Consul is asked to hold a query: so few that a silent one is noticed in time."""
        return min(max(self.wait, MIN_WAIT), POLL_WAIT)
