"""General estimators of rates and levels, independent of calls and of any decision."""

from __future__ import annotations

import math
from dataclasses import dataclass

NEWTON_STEPS = (
    6  # error below 1e-4 for bounds up to 1,000; iterates rise to the root, so the result is never too high
)


@dataclass(slots=True)
class TokenBucket:
    """Token bucket whose rate and depth are passed with each request, so that both may change."""

    level: float
    updated_at: float

    def take(self, now: float, rate: float, depth: float) -> bool:
        """Take one token and return True, or return False and take nothing if less than one is there."""
        self.level = min(depth, self.level + (now - self.updated_at) * rate)
        self.updated_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@dataclass(slots=True)
class DecayingValue:
    """A value that decays exponentially; all times have the unit of the caller's clock."""

    time_constant: float
    value: float = 0.0
    updated_at: float = 0.0

    def get(self, now: float) -> float:
        """Return the value after its decay until `now`."""
        return self.value * math.exp((self.updated_at - now) / self.time_constant) if self.value else 0.0

    def set(self, now: float, value: float) -> None:
        """Replace the value."""
        self.value, self.updated_at = value, now

    def add(self, now: float, amount: float) -> None:
        """Add to the decayed value; adding `1 / time_constant` per event estimates the event rate."""
        self.set(now, self.get(now) + amount)


@dataclass(slots=True)
class AwakeClock:
    """Time during which this process ran: gaps of more than `max_gap` between two readings don't count."""

    max_gap: float
    awake: float = 0.0
    last_reading: float = 0.0
    stalled_at: float = -1.0  # the reading that ended the latest stall

    def advance(self, now: float) -> None:
        """Take a reading of the underlying clock."""
        if now - self.last_reading > self.max_gap:
            self.stalled_at = now
        else:
            self.awake += now - self.last_reading
        self.last_reading = now


def max_poisson_mean(bound: float, probability: float) -> float:
    """Return the highest mean of a Poisson count that exceeds `bound` with at most `probability` (Chernoff bound)."""
    target = 1.0 - math.log(probability) / bound
    fraction = math.exp(-target)  # mean / bound; Newton's method solves fraction - log(fraction) = target
    for _ in range(NEWTON_STEPS):
        fraction -= (fraction - math.log(fraction) - target) / (1.0 - 1.0 / fraction)
    return fraction * bound
