"""Discovery with Consul: blocking queries to the catalogue for instances and to the health API for their state."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Generic, TypeVar
from urllib.parse import quote

import orjson

from seamlb import log
from seamlb.discovery.polls import MAX_POLLS, POLL_WAIT, Poll, PollRequest, Polls
from seamlb.discovery.watch import ResponseError, Watch
from seamlb.net.address import split_address
from seamlb.protocol.http import Response
from seamlb.routing.model import Availability, Desk, DeskListCallback, Scope

T = TypeVar("T")

MIN_WAIT = 0.1  # seconds
HOLD_FACTOR = 17 / 16  # Consul adds up to a sixteenth of the wait time (API documentation, "Blocking Queries")
# Seconds between an error and the next query; what is missed in an outage must be known soon after it.
RETRY_MIN, RETRY_MAX = 0.5, 1.0
MIN_JITTER = 0.5  # of the pause after an error
MIN_INDEX = 1  # a query from index 0 is not held
MAX_INDEX_DIGITS = 20  # of a 64-bit number
# What parsing raises for JSON of another form than the API's.
MALFORMED = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError)
MAX_CONNECTIONS = 2 * MAX_POLLS  # queries of the catalogue and of the health API


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


class BlockingQuery:
    """One path of Consul's API, followed by blocking queries; `on_body` may raise MALFORMED for a body."""

    def __init__(
        self, config: ConsulConfig, path: str, on_body: Callable[[Any], None], jitter: Callable[[], float]
    ) -> None:
        self.path = path
        self.wait = config.query_wait
        self.on_body = on_body
        self.index = 0  # of the newest response
        self.newest_sent_at = 0.0  # loop time at which the query of that response was sent
        self.watch = Watch(config.address, "consul", self, Polls(RETRY_MIN, RETRY_MAX, jitter))

    def next_request(self) -> PollRequest:
        """The query that is sent now; Consul answers at once to index 0, which it is asked for after a failure."""
        index = 0 if self.watch.polls.failures else self.index
        path = f"{self.path}?index={index}&wait={int(self.wait * 1000)}ms"
        return PollRequest(path, index, self.wait * HOLD_FACTOR if index else 0.0)

    def apply(self, poll: Poll, response: Response) -> None:
        """Apply a response; ResponseError if it can't be used.

        One to a query that was sent before that of the newest response is late and may be outdated.
        """
        if response.status != 200:
            raise ResponseError(f"status {response.status}")
        digits = response.headers.get("x-consul-index", "")
        if not (digits.isascii() and digits.isdigit() and len(digits) <= MAX_INDEX_DIGITS):
            raise ResponseError("no X-Consul-Index")
        if poll.started < self.newest_sent_at:
            return
        try:
            self.on_body(orjson.loads(response.body))
        except MALFORMED as error:
            raise ResponseError(repr(error)) from None
        self.newest_sent_at = poll.started
        # An index that went back means a new state store: query again at once from index 0.
        self.index = max(MIN_INDEX, int(digits)) if int(digits) >= poll.request.watch else 0

    def poll_failed(self, poll: Poll, reason: str) -> None:
        """One line for a query that failed or has become overdue."""
        polls = self.watch.polls
        log.event(
            "consul_error",
            path=self.path,
            error=reason,
            failures=polls.failures,
            unheard_s=self.watch.seconds_unanswered(),
            retry_in_s=round(max(0.0, polls.next_due - asyncio.get_running_loop().time()), 3),
        )


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


class Consul:
    """Follows one service; an instance missing from the catalogue is gone, one whose checks fail is draining."""

    def __init__(self, config: ConsulConfig, zones: Sequence[str], on_change: DeskListCallback, seed: int) -> None:
        self.config = config
        self.zones = {name: index for index, name in enumerate(zones)}
        self.on_change = on_change
        self.rng = random.Random(seed)
        self.catalogue_parser = EntryParser("catalog", self._parse_desk)
        self.health_parser = EntryParser("health", _parse_state)
        self.instances: dict[str, Desk] | None = None
        self.states: dict[str, Availability] | None = None
        self.published: tuple[Desk, ...] | None = None

    async def run(self) -> None:
        """Follow the catalogue and the health API until cancelled."""
        name = quote(self.config.service, safe="")
        async with asyncio.TaskGroup() as group:
            for path, apply in (("catalog", self._catalogue), ("health", self._health)):
                query = BlockingQuery(self.config, f"/v1/{path}/service/{name}", apply, self._jitter)
                group.create_task(query.watch.run())

    def _jitter(self) -> float:
        return self.rng.uniform(MIN_JITTER, 1.0)

    def _catalogue(self, raw: Any) -> None:
        entries = {f"{entry['Node']}/{entry['ServiceID']}": entry for entry in raw}
        self.instances = self.catalogue_parser.parse(entries, self.instances or {})
        self._publish()

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

    def _health(self, raw: Any) -> None:
        entries = {f"{entry['Node']['Node']}/{entry['Service']['ID']}": entry for entry in raw}
        self.states = self.health_parser.parse(entries, self.states or {})
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
