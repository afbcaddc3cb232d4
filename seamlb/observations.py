"""What one node has observed: open calls, and servers with their reports, delays and errors. No decisions.

Times are ms, of the caller's clock or of the awake clock, which leaves out stalls of this process.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from seamlb import api
from seamlb.estimators import DecayingValue

DELAY_QUANTILE = 0.75  # of recent delays per set-up: the paper's x, configuration 1
RECENT_DELAYS = 16  # delays of this node's set-ups kept per server
EVIDENCE_MAX_AGE_MS = 5000.0  # ms, time constant and greatest age of evidence about a server
ERROR_WEIGHT = 0.1  # weight of the latest answer in a server's share of errors

CallerKey = tuple[int, int, int]  # number called, class, tenant: a redial has the same as the first try


class PendingSetUp(NamedTuple):
    """A set-up without an answer."""

    due: float  # clock time
    sent_at: float  # awake time
    outstanding: int  # set-ups outstanding at the server when this one was sent, including it


@dataclass(slots=True)
class Server:
    """One server. Awake times, except `refilled_at`, `cold_from`, `gapping_changed_at`, `next_admission` and
    `reported_at`, which are clock times.
    """

    entry: api.ListEntry
    refilled_at: float  # when `tokens` was last refilled
    cold_from: float  # its cold start; -inf: warm
    recent_levels: deque[int]  # results of the latest detections
    tokens: float = 0.0  # budget of set-ups while it is cold, and of spilled calls
    pending: dict[int, PendingSetUp] = field(default_factory=dict)  # by call
    recent_delays: deque[tuple[float, float]] = field(  # time, delay per outstanding set-up
        default_factory=lambda: deque(maxlen=RECENT_DELAYS)
    )
    level: int = 0
    gapped_ranks: int = 0  # how many ranks are gapped, from the lowest up
    gapping_changed_at: float = -math.inf
    next_admission: dict[int, float] = field(default_factory=dict)  # by gapped rank, start of its next interval
    queue_delay: DecayingValue = field(default_factory=lambda: DecayingValue(EVIDENCE_MAX_AGE_MS))
    free_lines: float = math.inf  # as last reported
    circuits: float = math.inf  # all lines
    reported_at: float = -math.inf  # when its free lines were last reported
    last_answer_at: float = -math.inf  # of any kind
    newest_answered_sent_at: float = -math.inf  # send time of the newest set-up that was answered
    timed_out_at: float = -math.inf  # when a set-up last timed out with no answer since it was sent
    last_sent_at: float = -math.inf  # newest set-up
    error_share: float = 0.0  # share of its latest answers that were errors

    def delay_per_set_up(self, awake: float) -> float:
        """Return the paper's x: a high quantile of the delay per own set-up outstanding; 0 without evidence.

        The age of the oldest set-up that was not overtaken counts too, as a stopped server yields no delays; when
        traffic is low this overestimates x.
        """
        ages = [
            (awake - set_up.sent_at) / set_up.outstanding
            for set_up in self.pending.values()
            if set_up.sent_at >= self.newest_answered_sent_at
        ]
        delays = sorted(delay for at, delay in self.recent_delays if awake - at < EVIDENCE_MAX_AGE_MS)
        return max(ages[:1] + delays[int(len(delays) * DELAY_QUANTILE) :][:1], default=0.0)

    def lines(self) -> float:
        """Return the number of lines; 1 if it is unknown."""
        return self.circuits if 0 < self.circuits < math.inf else 1.0

    def record_result(self, error: bool) -> None:
        """Update the share of errors by one answer."""
        self.error_share += ERROR_WEIGHT * (error - self.error_share)


@dataclass(slots=True)
class Call:
    """A call without a final answer; clock times."""

    ident: int
    call_class: api.CallClass
    rank: int
    gives_up_at: float  # when the caller gives up
    destination: int
    in_transit: bool
    width: float
    caller: CallerKey
    first_try_at: float
    over_share: int  # 1 if the first try exceeded its tenant's share
    max_attempts: int  # by the settings in force when the call came
    attempts: int = 0
    overtaken: int = 0  # answers at its server to set-ups sent later
    server: Server | None = None  # where an attempt is outstanding
    not_before: float = 0.0  # earliest time of the next attempt
    excluded_servers: list[int] = field(default_factory=list)
    last_failed_server: int = -1
    first_run: tuple[api.ListEntry, float] | None = None  # first attempt that may have run, and when it was sent


class Fleet:
    """The listed servers and their lines; `streak` is how many detection results are kept per server."""

    def __init__(self, streak: int) -> None:
        self.streak = streak
        self.servers: dict[int, Server] = {}
        self.listed = False  # whether a list has been received
        self.lines = 1.0  # sum over the servers

    def update(self, now: float, event: api.ListChange, cold_ms: float) -> list[Server]:
        """Apply a change of the list; returns the servers that have just started. `cold_ms`: time to warm up."""
        if event.scope != api.Scope.DELTA:
            named = {entry.server for entry in event.entries}
            self.servers = {ident: server for ident, server in self.servers.items() if ident in named}
        started = []
        for entry in event.entries:
            server = self.servers.get(entry.server)
            if entry.availability == api.Availability.GONE:
                self.servers.pop(entry.server, None)
            elif server is None or (entry.since and entry.since != server.entry.since):
                new = Server(
                    entry, now, entry.since or (now if self.listed else -math.inf), deque(maxlen=self.streak)
                )
                if server:
                    new.free_lines, new.circuits = server.free_lines, server.circuits
                self.servers[entry.server] = new
                started.append(new)
            else:
                server.entry = entry
        self.count_lines(now, cold_ms)
        self.listed = True
        return started

    def record_report(self, now: float, ident: int, values: dict[str, float], cold_ms: float) -> None:
        """Record a server's load report, given as values by field."""
        if (server := self.servers.get(ident)) is None:
            return
        if "idle" in values:
            server.free_lines, server.reported_at = values["idle"], now
            server.circuits = values.get("circuits", server.circuits)
            self.count_lines(now, cold_ms)
        if 0.0 <= values.get("avg_ms", -1.0) < math.inf:
            server.queue_delay.set(now, values["avg_ms"])

    def count_lines(self, now: float, cold_ms: float) -> None:
        """Sum the lines; a draining server and its cold successor count once, as the larger sum is taken."""
        servers = self.servers.values()
        ready = sum(server.lines() for server in servers if server.entry.availability == api.Availability.READY)
        warm = sum(server.lines() for server in servers if now - server.cold_from >= cold_ms)
        self.lines = max(ready, warm, 1.0)
