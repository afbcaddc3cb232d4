"""Which plug-ins may run now: pure logic over faults, time and what they cost.

A plug-in that faults too often is put in quarantine, longer each time; afterwards it is tried on a sample of calls
and is back once that went well (a circuit breaker with a half-open state, Nygard 2007). When all plug-ins together
take more than their part of the core, a breaker pauses them all.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

FAULTS = 5  # within FAULT_MS: quarantine
FAULT_MS = 10_000.0
FIRST_MS, MOST_MS = 5_000.0, 600_000.0  # of quarantine, doubled each time
SAMPLE = 8  # on trial it sees one call in so many
TRIALS = 20  # that go well before it is back
CALM_MS = 600_000.0  # without a fault: its quarantines are forgotten
COST_MS = 5_000.0  # over which the plug-ins' cost is summed


class Health(Enum):
    """What a plug-in may do."""

    ON = "on"
    OFF = "off"  # disabled by the operator
    QUARANTINE = "quarantine"
    TRIAL = "trial"


@dataclass(slots=True)
class Record:
    """One plug-in's health."""

    health: Health = Health.ON
    faults: deque[float] = field(default_factory=lambda: deque(maxlen=FAULTS))
    until: float = -math.inf  # end of quarantine
    times: int = 0  # quarantines since it was last calm
    asked: int = 0
    passed: int = 0
    last: float = -math.inf  # fault
    total: int = 0


class Supervisor:
    """Health of all plug-ins; `tell` gets one line for every change."""

    def __init__(self, part: float, tell: Callable[[str, dict[str, object]], None]) -> None:
        self.part = part  # of the core that plug-ins may use together
        self.tell = tell
        self.records: dict[str, Record] = {}
        self.costs: deque[tuple[float, float]] = deque()
        self.cost = 0.0
        self.paused_until, self.pauses = -math.inf, 0

    def record(self, name: str) -> Record:
        """What is known of a plug-in's health."""
        return self.records.setdefault(name, Record())

    def _change(self, name: str, health: Health, **facts: object) -> None:
        one = self.record(name)
        if one.health is not health:
            self.tell("plugin_health", {"plugin": name, "was": one.health.value, "now": health.value, **facts})
            one.health = health

    def may_run(self, now: float, name: str) -> bool:
        """May it see this call? Asked once a call: a plug-in on trial sees a sample."""
        if now < self.paused_until:
            return False
        one = self.record(name)
        if one.health is Health.ON:
            if one.times and now - one.last >= CALM_MS:
                one.times = 0
            return True
        if one.health is Health.QUARANTINE and now >= one.until:
            one.asked = one.passed = 0
            self._change(name, Health.TRIAL)
        if one.health is Health.TRIAL:
            one.asked += 1
            return one.asked % SAMPLE == 1
        return False

    def passed(self, now: float, name: str) -> None:
        """It answered as it must."""
        one = self.record(name)
        if one.health is Health.TRIAL:
            one.passed += 1
            if one.passed >= TRIALS:
                one.faults.clear()
                self._change(name, Health.ON)

    def fault(self, now: float, name: str, kind: str) -> bool:
        """It did not; True if it is in quarantine from now on."""
        one = self.record(name)
        one.total, one.last = one.total + 1, now
        one.faults.append(now)
        often = len(one.faults) == FAULTS and now - one.faults[0] <= FAULT_MS
        if one.health is Health.TRIAL or (one.health is Health.ON and often):
            one.until = now + min(MOST_MS, FIRST_MS * 2.0 ** min(one.times, 30))
            one.times += 1
            one.faults.clear()
            self._change(name, Health.QUARANTINE, kind=kind, seconds=(one.until - now) / 1000.0)
            return True
        return False

    def enable(self, name: str, on: bool) -> None:
        """The operator's word; a plug-in that is switched on begins afresh."""
        if on:
            was = self.record(name).health
            self.records[name] = Record(was)
        self._change(name, Health.ON if on else Health.OFF)

    def spent(self, now: float, ms: float) -> None:
        """What plug-ins took of the core."""
        self.costs.append((now, ms))
        self.cost += ms
        while self.costs and self.costs[0][0] <= now - COST_MS:
            self.cost -= self.costs.popleft()[1]
        if self.cost > self.part * COST_MS and now >= self.paused_until:
            length = min(MOST_MS, FIRST_MS * 2.0 ** min(self.pauses, 30))
            self.pauses = self.pauses + 1 if now - self.paused_until < CALM_MS else 1
            self.paused_until = now + length
            self.costs.clear()
            self.tell("plugins_paused", {"ms_in_window": round(self.cost, 3), "seconds": length / 1000.0})
            self.cost = 0.0
