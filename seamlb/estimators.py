"""General estimators of rates and levels; they decide nothing and know nothing of calls."""

from __future__ import annotations

import math
from dataclasses import dataclass

NEWTON_STEPS = 6  # within 1e-4 for bounds up to 1,000; they come from below, so fewer never give too much


@dataclass(slots=True)
class TokenBucket:
    """Tokens that come at a rate up to a depth; both may differ from one call to the next."""

    level: float
    at: float

    def take(self, now: float, rate: float, depth: float) -> bool:
        """Take one token; False, and none is taken, where less than one is there."""
        self.level = min(depth, self.level + (now - self.at) * rate)
        self.at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@dataclass(slots=True)
class DecayingValue:
    """A value that decays exponentially with the time constant `span`; times are of the caller's clock and unit."""

    span: float
    value: float = 0.0
    at: float = 0.0

    def get(self, now: float) -> float:
        """What is left of the value."""
        return self.value * math.exp((self.at - now) / self.span) if self.value else 0.0

    def put(self, now: float, value: float) -> None:
        """Set the value."""
        self.value, self.at = value, now

    def add(self, now: float, amount: float) -> None:
        """Add to what is left; events counted by `1 / span` each make it their rate."""
        self.put(now, self.get(now) + amount)


@dataclass(slots=True)
class AwakeClock:
    """Time in which this process ran: a gap between two readings of more than `stall` is left out."""

    stall: float
    awake: float = 0.0
    last: float = 0.0
    stalled_at: float = -1.0  # the reading that ended the latest stall

    def advance(self, now: float) -> None:
        """Take a reading of the clock."""
        if now - self.last > self.stall:
            self.stalled_at = now
        else:
            self.awake += now - self.last
        self.last = now


def poisson_mean(bound: float, chance: float) -> float:
    """The highest mean of a Poisson count that exceeds `bound` with at most `chance`, by Chernoff's bound."""
    rarity = 1.0 - math.log(chance) / bound
    part = math.exp(-rarity)  # of `bound`; Newton's steps solve part - log(part) = rarity
    for _ in range(NEWTON_STEPS):
        part -= (part - math.log(part) - rarity) / (1.0 - 1.0 / part)
    return part * bound
