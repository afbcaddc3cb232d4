"""What one node has observed: its open calls, and servers with their reports, delays and faults; decides nothing.

Times are milliseconds: clock times, or awake times, which leave out this process's own stalls.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from seamlb import api
from seamlb.estimators import DecayingValue

QUANTILE = 0.75  # of recent delays a set-up: the paper's x, configuration 1
RECENT = 16  # set-up delays of this node kept for a server
RECOVER_MS = 5000.0  # ms in which evidence of a server fades; older than this it tells nothing
FAULT_PART = 0.1  # weight of the latest answer in a server's share of faults

Caller = tuple[int, int, int]  # number called, class, tenant: a retry has them all from the first try


class Pending(NamedTuple):
    """A set-up without an answer."""

    due: float  # clock time
    sent: float  # awake time
    outstanding: int  # set-ups out at that server then, with it


@dataclass(slots=True)
class Server:
    """One server. Awake times, but `filled`, `cold_from`, `stepped`, `opens` and `told`, which are clock times."""

    entry: api.ListEntry
    filled: float  # when the cold budget was last filled up
    cold_from: float  # its cold start; -inf: warm
    verdicts: deque[int]  # levels that the latest detections found
    tokens: float = 0.0  # budget while it is cold, and of spill
    pending: dict[int, Pending] = field(default_factory=dict)  # by call
    ratios: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=RECENT))  # when, delay a set-up
    level: int = 0
    depth: int = 0  # how many ranks are gapped, from the lowest up
    stepped: float = -math.inf  # when `depth` last changed
    opens: dict[int, float] = field(default_factory=dict)  # gapped rank: when its next interval starts
    wait: DecayingValue = field(default_factory=lambda: DecayingValue(RECOVER_MS))
    idle: float = math.inf  # free lines
    circuits: float = math.inf  # all lines
    reported_at: float = -math.inf  # when its lines were last heard of
    heard: float = -math.inf  # last answer of any kind
    passed: float = -math.inf  # when the latest set-up that was answered had been sent
    lost: float = -math.inf  # when a set-up last ran out of time with nothing heard since
    sent: float = -math.inf  # latest set-up
    faults: float = 0.0  # share of its latest answers that were errors

    def delay(self, awake: float) -> float:
        """Paper's x: a high quantile of delay per own set-up outstanding; nought without evidence.

        The oldest that none overtook counts by age: a stopped server sends no delays; harms in an idle time.
        """
        ages = [(awake - one.sent) / one.outstanding for one in self.pending.values() if one.sent >= self.passed]
        ratios = sorted(ratio for at, ratio in self.ratios if awake - at < RECOVER_MS)
        return max(ages[:1] + ratios[int(len(ratios) * QUANTILE) :][:1], default=0.0)

    def size(self) -> float:
        """Its lines; 1 where they are not known."""
        return self.circuits if 0 < self.circuits < math.inf else 1.0

    def answered(self, fault: bool) -> None:
        """Count an answer in the share of faults."""
        self.faults += FAULT_PART * (fault - self.faults)


@dataclass(slots=True)
class Call:
    """A call that still needs its final answer; clock times."""

    ident: int
    kind: api.CallClass
    rank: int
    over_by: float  # when the caller gives up
    destination: int
    in_transit: bool
    width: float
    caller: Caller
    since: float  # when the first try came
    over: int  # 1 if the first try went beyond its tenant's share
    cap: int  # attempts it may have, as it was when it came
    attempts: int = 0
    overtaken: int = 0  # later set-ups there that were answered before it
    server: Server | None = None  # where an attempt is out
    not_before: float = 0.0
    tried: list[int] = field(default_factory=list)
    faulted: int = -1  # the server that failed it last
    ran: tuple[api.ListEntry, float] | None = None  # first attempt that may have run, and its send


class Fleet:
    """The servers of the list, with their lines; `memory` is how many verdicts are kept of each."""

    def __init__(self, memory: int) -> None:
        self.memory = memory
        self.servers: dict[int, Server] = {}
        self.listed = False  # has there been a list?
        self.lines = 1.0  # sum of the servers' sizes

    def update(self, now: float, event: api.ListChange, cold: float) -> list[Server]:
        """Take news of the list; returns the servers that have just started. `cold`: time until one is warm."""
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
                    entry, now, entry.since or (now if self.listed else -math.inf), deque(maxlen=self.memory)
                )
                if server:
                    new.idle, new.circuits = server.idle, server.circuits
                self.servers[entry.server] = new
                started.append(new)
            else:
                server.entry = entry
        self.count_lines(now, cold)
        self.listed = True
        return started

    def report(self, now: float, ident: int, seen: dict[str, float], cold: float) -> None:
        """Take a server's load report by field."""
        if (server := self.servers.get(ident)) is None:
            return
        if "idle" in seen:
            server.idle, server.reported_at = seen["idle"], now
            server.circuits = seen.get("circuits", server.circuits)
            self.count_lines(now, cold)
        if 0.0 <= seen.get("avg_ms", -1.0) < math.inf:
            server.wait.put(now, seen["avg_ms"])

    def count_lines(self, now: float, cold: float) -> None:
        """Lines of the servers; of one that drains and its cold successor one counts."""
        servers = self.servers.values()
        ready = sum(one.size() for one in servers if one.entry.availability == api.Availability.READY)
        warm = sum(one.size() for one in servers if now - one.cold_from >= cold)
        self.lines = max(ready, warm, 1.0)
