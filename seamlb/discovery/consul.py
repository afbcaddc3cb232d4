"""Discovery from Consul: instances by the catalogue, their state by the health API, both by blocking queries."""

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
from seamlb.net.reason import CloseReason
from seamlb.routing.model import Availability, Desk, DeskListCallback, Scope

BACK_OFF_FIRST, BACK_OFF_MOST = 0.5, 30.0


@dataclass(slots=True, frozen=True)
class ConsulConfig:
    """Where Consul is, and how desks are named there."""

    address: str
    service: str
    wait: float = 30.0  # seconds that Consul may hold a query
    cell_key: str = "cell"  # keys of the service's Meta
    zone_key: str = "zone"
    since_key: str = "up_since_ms"


class ConsulError(Exception):
    """An answer of Consul's that can't be used."""


class Consul:
    """Follows one service; an instance missing from the catalogue is gone, one not passing drains."""

    def __init__(
        self,
        config: ConsulConfig,
        zones: Sequence[str],
        changed: DeskListCallback,
        seed: int,
        sleep: Callable[[float], Any] = asyncio.sleep,
    ) -> None:
        self.config = config
        self.zones = {name: place for place, name in enumerate(zones)}
        self.changed = changed
        self.rng = random.Random(seed)
        self.sleep = sleep
        self.instances: dict[str, Desk] | None = None
        self.states: dict[str, Availability] | None = None
        self.told: tuple[Desk, ...] | None = None

    async def run(self) -> None:
        """Follow both until cancelled."""
        name = quote(self.config.service, safe="")
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch(f"/v1/catalog/service/{name}", self._catalogue))
            group.create_task(self._watch(f"/v1/health/service/{name}", self._health))

    async def _watch(self, path: str, take: Callable[[Any], None]) -> None:
        """Blocking queries on one path; errors back off, doubling, with jitter."""
        poller = Poller(self.config.address, "consul")
        index, failures = 0, 0
        # Consul adds up to a sixteenth of the wait; what is silent beyond that is dead.
        patience = self.config.wait * 17 / 16 + 2.0
        try:
            while True:
                try:
                    answer = await poller.get(f"{path}?index={index}&wait={int(self.config.wait * 1000)}ms", patience)
                    if answer.status != 200:
                        raise ConsulError(f"status {answer.status}")
                    told = answer.headers.get("x-consul-index", "")
                    if not told.isdigit():
                        raise ConsulError("no X-Consul-Index")
                    take(orjson.loads(answer.body))
                except (PollError, ConsulError, KeyError, TypeError, ValueError, AttributeError) as error:
                    failures += 1
                    index = 0
                    pause = min(BACK_OFF_MOST, BACK_OFF_FIRST * 2 ** min(failures - 1, 10))
                    log.event("consul_error", path=path, error=repr(error), failures=failures)
                    await self.sleep(pause * self.rng.uniform(0.5, 1.0))
                    continue
                failures = 0
                # An index that went back, or none, means a new state store: ask anew at once.
                index = int(told) if int(told) >= index else 0
        finally:
            poller.close(CloseReason.SHUTDOWN)

    def _catalogue(self, raw: Any) -> None:
        self.instances = {desk.ident: desk for desk in map(self._desk, raw)}
        self._tell()

    def _desk(self, raw: Mapping[str, Any]) -> Desk:
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
        for one in raw:
            passes = all(check["Status"] in ("passing", "warning") for check in one["Checks"])
            ident = f"{one['Node']['Node']}/{one['Service']['ID']}"
            self.states[ident] = Availability.READY if passes else Availability.DRAINING
        self._tell()

    def _tell(self) -> None:
        """Give the whole list once both halves are known, and whenever it has changed."""
        if self.instances is None or self.states is None:
            return
        desks = tuple(
            Desk(d.ident, d.address, d.zone, d.cell, self.states.get(ident, Availability.DRAINING), d.since_ms)
            for ident, d in sorted(self.instances.items())
        )
        if desks != self.told:
            first, self.told = self.told is None, desks
            self.changed(Scope.CACHED if first else Scope.FULL, desks)
            log.event("list", source="consul", desks=len(desks))
