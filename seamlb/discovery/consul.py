"""Discovery with Consul: blocking queries to the catalogue for instances and to the health API for their state."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import quote

import orjson

from seamlb import log
from seamlb.discovery.consul_config import ConsulConfig
from seamlb.discovery.consul_list import MALFORMED, ServiceList
from seamlb.discovery.polls import MAX_POLLS, Poll, PollRequest, Polls
from seamlb.discovery.watch import ResponseError, Watch
from seamlb.protocol.http import Response
from seamlb.routing.model import Desk, DeskListCallback, Scope

HOLD_FACTOR = 17 / 16  # Consul adds up to a sixteenth of the wait time (API documentation, "Blocking Queries")
# Seconds between an error and the next query; what is missed in an outage must be known soon after it.
RETRY_MIN, RETRY_MAX = 0.5, 1.0
MIN_JITTER = 0.5  # of the pause after an error
MIN_INDEX = 1  # a query from index 0 is not held
MAX_INDEX_DIGITS = 20  # of a 64-bit number
MAX_CONNECTIONS = 2 * MAX_POLLS  # queries of the catalogue and of the health API


class BlockingQuery:
    """One path of Consul's API, followed by blocking queries.

    `parse` takes the content of each response and may raise MALFORMED; `on_parsed` is called after it.
    """

    def __init__(
        self,
        config: ConsulConfig,
        path: str,
        parse: Callable[[Any], None],
        on_parsed: Callable[[], None],
        jitter: Callable[[], float],
    ) -> None:
        self.path = path
        self.wait = config.query_wait
        self.parse = parse
        self.on_parsed = on_parsed
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
            self.parse(orjson.loads(response.body))
        except MALFORMED as error:
            raise ResponseError(repr(error)) from None
        self.newest_sent_at = poll.started
        # An index that went back means a new state store: query again at once from index 0.
        self.index = max(MIN_INDEX, int(digits)) if int(digits) >= poll.request.watch else 0
        self.on_parsed()

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


class Consul:
    """Follows one service and passes its whole list on whenever it has changed."""

    def __init__(self, config: ConsulConfig, zones: Sequence[str], on_change: DeskListCallback, seed: int) -> None:
        self.config = config
        self.list = ServiceList(config, zones)
        self.on_change = on_change
        self.rng = random.Random(seed)
        self.published: tuple[Desk, ...] | None = None

    async def run(self) -> None:
        """Follow the catalogue and the health API until cancelled."""
        name = quote(self.config.service, safe="")
        async with asyncio.TaskGroup() as group:
            for path, parse in (("catalog", self.list.apply_catalogue), ("health", self.list.apply_health)):
                query = BlockingQuery(
                    self.config, f"/v1/{path}/service/{name}", parse, self._publish_changes, self._jitter
                )
                group.create_task(query.watch.run())

    def _jitter(self) -> float:
        return self.rng.uniform(MIN_JITTER, 1.0)

    def _publish_changes(self) -> None:
        desks = self.list.desks()
        if desks is None or desks == self.published:
            return
        first, self.published = self.published is None, desks
        self.on_change(Scope.CACHED if first else Scope.FULL, desks)
        log.event("list", source="consul", desks=len(desks))
