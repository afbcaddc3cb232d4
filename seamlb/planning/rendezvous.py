"""Weighted rendezvous hashing: calls to the same number go to the same desk as long as the weights allow it.

Thaler and Ravishankar 1998; logarithmic weights by Schindelhauer and Schomaker 2005. A hash of the called number and
the desk's name gives an exponential variate per desk, divided by the desk's weight; the desk with the least wins.
The selection is stateless, so all agents agree, also after a restart. When weights change, a number moves only to a
desk whose weight grew or away from one whose weight shrank. `benchmarks/draws.py` compares it with a cumulative table
and an alias table.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import xxhash

HASH_RANGE = float(1 << 64)


class RendezvousHash:
    """Selects desks in proportion to their weights; desks with weight 0 are never selected."""

    __slots__ = ("desks", "weights")

    def __init__(self, weights: Mapping[str, int]) -> None:
        self.weights = {name: weight for name, weight in sorted(weights.items()) if weight > 0}
        self.desks = [
            (xxhash.xxh3_64_intdigest(name.encode()), 1.0 / weight, name) for name, weight in self.weights.items()
        ]

    def pick(self, number: bytes) -> str | None:
        """The desk for a called number; None if there are no desks."""
        selected, least_score = None, math.inf
        for seed, scale, name in self.desks:
            uniform = (xxhash.xxh3_64_intdigest(number, seed) + 0.5) / HASH_RANGE
            score = -math.log(uniform) * scale
            if score < least_score:
                selected, least_score = name, score
        return selected
