"""Discovery with Consul: blocking queries to the catalogue for instances and to the health API for their state."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import orjson

from seamlb import log
from seamlb.discovery.poller import Poller, PollError
from seamlb.discovery.polls import POLL_WAIT
from seamlb.net.close_reason import CloseReason
from seamlb.routing.model import Availability, Desk, DeskListCallback, Scope

BACK_OFF_MIN, BACK_OFF_MAX = 0.5, 1.0  # seconds; what is missed in an outage must be known soon after it
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


class ConsulError(Exception):
    """Consul sent an unusable response."""


class Consul:
    """Follows one service; an instance missing from the catalogue is gone, one whose checks fail is draining."""

    def __init__(
        self,
        config: ConsulConfig,
        zones: Sequence[str],
        on_change: DeskListCallback,
        seed: int,
        sleep: Callable[[float], Any] = asyncio.sleep,
    ) -> None:
        self.config = config
        self.zones = {name: index for index, name in enumerate(zones)}
        self.on_change = on_change
        self.rng = random.Random(seed)
        self.sleep = sleep
        self.instances: dict[str, Desk] | None = None
        self.states: dict[str, Availability] | None = None
        self.published: tuple[Desk, ...] | None = None

    async def run(self) -> None:
        """Follow the catalogue and the health API until cancelled."""
        name = quote(self.config.service, safe="")
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch(f"/v1/catalog/service/{name}", self._catalogue))
            group.create_task(self._watch(f"/v1/health/service/{name}", self._health))

    async def _watch(self, path: str, apply: Callable[[Any], None]) -> None:
        """Repeat blocking queries on one path; after errors the delay doubles, with jitter."""
        poller = Poller(self.config.address, "consul")
        index, failures = 0, 0
        # Consul adds up to a sixteenth of the wait time; without a response after that the connection is dead.
        wait = self.config.query_wait
        timeout = wait * 17 / 16 + 2.0
        try:
            while True:
                try:
                    answer = await poller.get(f"{path}?index={index}&wait={int(wait * 1000)}ms", timeout)
                    if answer.status != 200:
                        raise ConsulError(f"status {answer.status}")
                    new_index = answer.headers.get("x-consul-index", "")
                    if not new_index.isdigit():
                        raise ConsulError("no X-Consul-Index")
                    apply(orjson.loads(answer.body))
                except (PollError, ConsulError, KeyError, TypeError, ValueError, AttributeError) as error:
                    failures += 1
                    index = 0
                    pause = min(BACK_OFF_MAX, BACK_OFF_MIN * 2 ** min(failures - 1, 10))
                    log.event("consul_error", path=path, error=repr(error), failures=failures)
                    await self.sleep(pause * self.rng.uniform(0.5, 1.0))
                    continue
                failures = 0
                # An index that went back means a new state store: query again at once from index 0.
                index = int(new_index) if int(new_index) >= index else 0
        finally:
            poller.close(CloseReason.SHUTDOWN)

    def _catalogue(self, raw: Any) -> None:
        self.instances = {desk.ident: desk for desk in map(self._parse_desk, raw)}
        self._publish()

    def _parse_desk(self, raw: Mapping[str, Any]) -> Desk:
        meta = raw.get("ServiceMeta") or {}
        address = raw.get("ServiceAddress") or raw["Address"]
        host = f"[{address}]" if ":" in address else address
        return Desk(
            f"{raw['Node']}/{raw['ServiceID']}",
            f"{host}:{int(raw['ServicePort'])}",
            self.zones.get(str(meta.get(self.config.zone_key, "")), 0),
            int(meta.get(self.config.cell_key, 0)),
            Availability.DRAINING,
            float(meta.get(self.config.since_key, 0) or 0),
        )

    def _health(self, raw: Any) -> None:
        self.states = {}
        for entry in raw:
            passes = all(check["Status"] in ("passing", "warning") for check in entry["Checks"])
            ident = f"{entry['Node']['Node']}/{entry['Service']['ID']}"
            self.states[ident] = Availability.READY if passes else Availability.DRAINING
        self._publish()

    def _publish(self) -> None:
        """Pass the whole list on once catalogue and health are both known, and whenever it has changed."""
        if self.instances is None or self.states is None:
            return
        desks = tuple(
            Desk(d.ident, d.address, d.zone, d.cell, self.states.get(ident, Availability.DRAINING), d.since_ms)
            for ident, d in sorted(self.instances.items())
        )
        if desks != self.published:
            first, self.published = self.published is None, desks
            self.on_change(Scope.CACHED if first else Scope.FULL, desks)
            log.event("list", source="consul", desks=len(desks))
