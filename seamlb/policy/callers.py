"""Callers that come again, tenants' shares, and numbers whose lines are busy."""

import math

from seamlb import api
from seamlb.estimators import TokenBucket
from seamlb.observations import RECOVER_MS, Call, Caller

BUSY_MS = 5000.0  # ms for which a number whose lines are all busy is not asked for again
REMEMBERED = 4096  # callers turned away that are remembered, against a flood of numbers


class Callers:
    """Who was turned away lately, what tenants have used, and which numbers are busy."""

    def __init__(self) -> None:
        self.turned_away: dict[Caller, tuple[float, float, int]] = {}  # first try, latest, over its share
        self.busy: dict[int, float] = {}  # number called: until when none of its lines is worth asking for
        self.shares: dict[int, TokenBucket] = {}  # by tenant

    def forget(self, classes: set[int], tenants: set[int]) -> None:
        """What is known by a number that another class or tenant has now is not the new one's."""
        known = self.turned_away.items()
        self.turned_away = {c: one for c, one in known if c[1] not in classes and c[2] not in tenants}
        for tenant in tenants:
            self.shares.pop(tenant, None)

    def admit(self, now: float, caller: Caller, settings: api.Settings) -> tuple[float, int]:
        """When the first try came, and whether that went beyond its tenant's share."""
        since, latest, over = self.turned_away.pop(caller, (now, -math.inf, 0))
        if now - latest > settings.longest_deadline:  # nobody's retry: what it uses of the share is its own
            return now, self._over_share(now, caller[2], settings)
        return since, over

    def _over_share(self, now: float, tenant: int, settings: api.Settings) -> int:
        """1 for traffic beyond this node's part of the tenant's fleet-wide allowance."""
        if tenant >= len(settings.allowances):
            return 0
        rate = settings.allowances[tenant] / settings.instances / 1000.0
        depth = 1.0 + rate * RECOVER_MS
        return int(not self.shares.setdefault(tenant, TokenBucket(depth, now)).take(now, rate, depth))

    def turn_away(self, now: float, call: Call, patience: float) -> None:
        """Remember a caller that leaves without its call: the same number soon again is its retry."""
        while self.turned_away:
            oldest = next(iter(self.turned_away))
            if self.turned_away[oldest][1] >= now - patience and len(self.turned_away) < REMEMBERED:
                break
            del self.turned_away[oldest]
        if call.caller[0] and call.caller[0] not in self.busy:
            self.turned_away[call.caller] = call.since, now, call.over

    def all_busy(self, now: float, number: int) -> None:
        """All lines of a number are busy: who calls it now is turned away here, at no cost to a server."""
        self.busy = {known: until for known, until in self.busy.items() if until > now}
        if number:
            self.busy[number] = now + BUSY_MS
