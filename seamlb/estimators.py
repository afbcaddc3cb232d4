"""General estimators of rates and levels; they decide nothing and know nothing of calls."""

from __future__ import annotations

import math
from dataclasses import dataclass


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
