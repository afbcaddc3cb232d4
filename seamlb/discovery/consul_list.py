"""What Consul's catalogue and health API say of one service, as a list of desks. Pure but for its log lines."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any, Generic, TypeVar

from seamlb import log
from seamlb.discovery.consul_config import ConsulConfig
from seamlb.net.address import split_address
from seamlb.routing.model import Availability, Desk

T = TypeVar("T")

# What parsing raises for JSON of another form than the API's.
MALFORMED = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError)


class EntryParser(Generic[T]):
    """Parses the entries of one path; one that is malformed keeps what was known of its instance."""

    def __init__(self, path: str, parse: Callable[[str, Mapping[str, Any]], T]) -> None:
        self.path = path
        self.parse_entry = parse
        self.malformed: dict[str, str] = {}  # the error by instance, in the latest list

    def parse(self, entries: Mapping[str, Mapping[str, Any]], known: Mapping[str, T]) -> dict[str, T]:
        """Return what the entries say, by instance; errors are logged as they appear."""
        parsed, malformed = {}, {}
        for ident, entry in entries.items():
            try:
                parsed[ident] = self.parse_entry(ident, entry)
            except MALFORMED as error:
                malformed[ident] = repr(error)
                if ident in known:
                    parsed[ident] = known[ident]
        for ident, text in malformed.items():
            if self.malformed.get(ident) != text:
                log.event("malformed", kind="consul", path=self.path, desk=ident, error=text)
        self.malformed = malformed
        return parsed


def _parse_state(ident: str, raw: Mapping[str, Any]) -> Availability:
    passes = all(check["Status"] in ("passing", "warning") for check in raw["Checks"])
    return Availability.READY if passes else Availability.DRAINING


class ServiceList:
    """The instances of one service; one missing from the catalogue is gone, one whose checks fail is draining."""

    def __init__(self, config: ConsulConfig, zones: Sequence[str]) -> None:
        self.config = config
        self.zones = {name: index for index, name in enumerate(zones)}
        self.catalogue_parser = EntryParser("catalog", self._parse_desk)
        self.health_parser = EntryParser("health", _parse_state)
        self.instances: dict[str, Desk] | None = None
        self.states: dict[str, Availability] | None = None

    def apply_catalogue(self, raw: Any) -> None:
        """Take a body of the catalogue; raises MALFORMED if it is unusable as a whole."""
        entries = {f"{entry['Node']}/{entry['ServiceID']}": entry for entry in raw}
        self.instances = self.catalogue_parser.parse(entries, self.instances or {})

    def apply_health(self, raw: Any) -> None:
        """Take a body of the health API; raises MALFORMED if it is unusable as a whole."""
        entries = {f"{entry['Node']['Node']}/{entry['Service']['ID']}": entry for entry in raw}
        self.states = self.health_parser.parse(entries, self.states or {})

    def desks(self) -> tuple[Desk, ...] | None:
        """The whole list; None until catalogue and health are both known."""
        if self.instances is None or self.states is None:
            return None
        return tuple(
            replace(desk, availability=self.states.get(ident, Availability.DRAINING))
            for ident, desk in sorted(self.instances.items())
        )

    def _parse_desk(self, ident: str, raw: Mapping[str, Any]) -> Desk:
        meta = raw.get("ServiceMeta") or {}
        host = raw.get("ServiceAddress") or raw["Address"]
        port = int(raw["ServicePort"])
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        split_address(address)  # ValueError for a port out of range
        since_ms = float(meta.get(self.config.since_key, 0) or 0)
        if not math.isfinite(since_ms):
            raise ValueError(f"{self.config.since_key}: not finite")
        return Desk(
            ident,
            address,
            self.zones.get(str(meta.get(self.config.zone_key, "")), 0),
            int(meta.get(self.config.cell_key, 0)),
            Availability.DRAINING,
            since_ms,
        )
