"""Redialling callers, the tenants' shares, and called numbers whose lines are all busy."""

import math

from seamlb import api
from seamlb.estimators import TokenBucket
from seamlb.observations import EVIDENCE_MAX_AGE_MS, Call, CallerKey

BUSY_NUMBER_MS = 5000.0  # ms during which calls to a number whose lines are all busy are refused here
MAX_REMEMBERED = 4096  # bounds the memory that a flood of different numbers can take


class CallerHistory:
    """Remembers callers refused lately, what tenants have used of their shares, and busy numbers."""

    def __init__(self) -> None:
        self.turned_away: dict[CallerKey, tuple[float, float, int]] = {}  # first try, latest try, over share
        self.busy_until: dict[int, float] = {}  # by number called
        self.share_buckets: dict[int, TokenBucket] = {}  # by tenant

    def forget_reassigned(self, classes: set[int], tenants: set[int]) -> None:
        """Drop what was recorded under class and tenant ids that now mean another class or tenant."""
        known = self.turned_away.items()
        self.turned_away = {c: seen for c, seen in known if c[1] not in classes and c[2] not in tenants}
        for tenant in tenants:
            self.share_buckets.pop(tenant, None)

    def first_try(self, now: float, caller: CallerKey, settings: api.Settings) -> tuple[float, int]:
        """Return the time of the caller's first try, and 1 if that try exceeded its tenant's share."""
        first_at, latest_at, over_share = self.turned_away.pop(caller, (now, -math.inf, 0))
        if now - latest_at > settings.longest_deadline:  # not a redial: it counts in its tenant's share
            return now, self._over_share(now, caller[2], settings)
        return first_at, over_share

    def _over_share(self, now: float, tenant: int, settings: api.Settings) -> int:
        """Return 1 for a call beyond this node's part of the tenant's fleet-wide allowance."""
        if tenant >= len(settings.allowances):
            return 0
        rate = settings.allowances[tenant] / settings.instances / 1000.0
        depth = 1.0 + rate * EVIDENCE_MAX_AGE_MS
        return int(not self.share_buckets.setdefault(tenant, TokenBucket(depth, now)).take(now, rate, depth))

    def record_refusal(self, now: float, call: Call, max_age: float) -> None:
        """Remember a caller that leaves without its call, so that the same number soon again is a redial."""
        while self.turned_away:
            oldest = next(iter(self.turned_away))
            if self.turned_away[oldest][1] >= now - max_age and len(self.turned_away) < MAX_REMEMBERED:
                break
            del self.turned_away[oldest]
        if call.caller[0] and call.caller[0] not in self.busy_until:
            self.turned_away[call.caller] = call.first_try_at, now, call.over_share

    def mark_busy(self, now: float, number: int) -> None:
        """All lines of a number are busy: refuse calls to it for a while without asking a server."""
        self.busy_until = {known: until for known, until in self.busy_until.items() if until > now}
        if number:
            self.busy_until[number] = now + BUSY_NUMBER_MS
