"""Decides which plug-ins may run, from their faults and their cost in time; pure logic, times are passed in.

A plug-in with too many faults is quarantined, for twice as long each time; afterwards it runs on a sample of calls
and returns to service once enough of these have succeeded (a circuit breaker with a half-open state, Nygard 2007).
When all plug-ins together use more than their share of the core, a circuit breaker pauses them all.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

QUARANTINE_FAULTS = 5  # this many within FAULT_WINDOW_MS lead to quarantine
FAULT_WINDOW_MS = 10_000.0
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 5_000.0, 600_000.0  # length of a quarantine or pause, doubled each time
TRIAL_SAMPLE = 8  # on trial it runs on one call in this many
TRIAL_SUCCESSES = 20  # successful calls that end a trial
RESET_MS = 600_000.0  # time without a fault after which earlier quarantines no longer count
COST_WINDOW_MS = 5_000.0  # window over which the plug-ins' cost is summed


class Health(Enum):
    """Whether a plug-in may run."""

    ON = "on"
    OFF = "off"  # disabled by the operator
    QUARANTINE = "quarantine"
    TRIAL = "trial"


@dataclass(slots=True)
class HealthRecord:
    """One plug-in's health; times in ms."""

    health: Health = Health.ON
    faults: deque[float] = field(default_factory=lambda: deque(maxlen=QUARANTINE_FAULTS))
    quarantined_until: float = -math.inf
    quarantines: int = 0  # since it last ran for RESET_MS without a fault
    trial_calls: int = 0
    trial_successes: int = 0
    last_fault: float = -math.inf
    total_faults: int = 0


class Supervisor:
    """Health of all plug-ins; `log` is called with an event name and its fields for every change."""

    def __init__(self, cpu_share: float, log: Callable[[str, dict[str, object]], None]) -> None:
        self.cpu_share = cpu_share  # share of the core that all plug-ins together may use
        self.log = log
        self.records: dict[str, HealthRecord] = {}
        self.costs: deque[tuple[float, float]] = deque()
        self.cost = 0.0
        self.paused_until, self.pauses = -math.inf, 0

    def record(self, name: str) -> HealthRecord:
        """A plug-in's health record, created on first use."""
        return self.records.setdefault(name, HealthRecord())

    def _set_health(self, name: str, health: Health, **facts: object) -> None:
        record = self.record(name)
        if record.health is not health:
            self.log("plugin_health", {"plugin": name, "was": record.health.value, "now": health.value, **facts})
            record.health = health

    def may_run(self, now: float, name: str) -> bool:
        """Whether a plug-in runs on this call; to be called once per call, as trials sample by counting."""
        if now < self.paused_until:
            return False
        record = self.record(name)
        if record.health is Health.ON:
            if record.quarantines and now - record.last_fault >= RESET_MS:
                record.quarantines = 0
            return True
        if record.health is Health.QUARANTINE and now >= record.quarantined_until:
            record.trial_calls = record.trial_successes = 0
            self._set_health(name, Health.TRIAL)
        if record.health is Health.TRIAL:
            record.trial_calls += 1
            return record.trial_calls % TRIAL_SAMPLE == 1
        return False

    def add_success(self, now: float, name: str) -> None:
        """The plug-in has handled a call without a fault."""
        record = self.record(name)
        if record.health is Health.TRIAL:
            record.trial_successes += 1
            if record.trial_successes >= TRIAL_SUCCESSES:
                record.faults.clear()
                self._set_health(name, Health.ON)

    def add_fault(self, now: float, name: str, kind: str) -> bool:
        """The plug-in has failed; returns whether this puts it in quarantine."""
        record = self.record(name)
        record.total_faults, record.last_fault = record.total_faults + 1, now
        record.faults.append(now)
        too_many = len(record.faults) == QUARANTINE_FAULTS and now - record.faults[0] <= FAULT_WINDOW_MS
        if record.health is Health.TRIAL or (record.health is Health.ON and too_many):
            record.quarantined_until = now + min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2.0 ** min(record.quarantines, 30))
            record.quarantines += 1
            record.faults.clear()
            self._set_health(name, Health.QUARANTINE, kind=kind, seconds=(record.quarantined_until - now) / 1000.0)
            return True
        return False

    def enable(self, name: str, on: bool) -> None:
        """Enable or disable a plug-in for the operator; enabling clears its history of faults."""
        if on:
            was = self.record(name).health
            self.records[name] = HealthRecord(was)
        self._set_health(name, Health.ON if on else Health.OFF)

    def add_cost(self, now: float, ms: float) -> None:
        """Add time that plug-ins have run, in ms; pauses all of them if they use too much of the core."""
        self.costs.append((now, ms))
        self.cost += ms
        while self.costs and self.costs[0][0] <= now - COST_WINDOW_MS:
            self.cost -= self.costs.popleft()[1]
        if self.cost > self.cpu_share * COST_WINDOW_MS and now >= self.paused_until:
            length = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2.0 ** min(self.pauses, 30))
            self.pauses = self.pauses + 1 if now - self.paused_until < RESET_MS else 1
            self.paused_until = now + length
            self.costs.clear()
            self.log("plugins_paused", {"ms_in_window": round(self.cost, 3), "seconds": length / 1000.0})
            self.cost = 0.0
