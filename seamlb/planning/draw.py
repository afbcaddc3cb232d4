"""A weighted draw that sticks: the same number called goes to the same desk while the weights allow it.

Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights by the logarithm, Schindelhauer and Schomaker 2005):
each desk draws an exponential variate from the number called and its own name, divided by its weight; the least wins.
It holds no history, so all agents and every restart agree, and when weights change a number moves only to a desk that
gained or from one that lost. `benchmarks/draws.py` measures it beside a plain cumulative table and an alias table.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import xxhash

HASH_RANGE = float(1 << 64)


class RendezvousHash:
    """Desks by weight; weights are any positive numbers, those of nought are never drawn."""

    __slots__ = ("desks", "weights")

    def __init__(self, weights: Mapping[str, int]) -> None:
        self.weights = {name: weight for name, weight in sorted(weights.items()) if weight > 0}
        self.desks = [
            (xxhash.xxh3_64_intdigest(name.encode()), 1.0 / weight, name) for name, weight in self.weights.items()
        ]

    def pick(self, number: bytes) -> str | None:
        """The desk of a number called; None without any desk."""
        best, least = None, math.inf
        for seed, scale, name in self.desks:
            uniform = (xxhash.xxh3_64_intdigest(number, seed) + 0.5) / HASH_RANGE
            score = -math.log(uniform) * scale
            if score < least:
                best, least = name, score
        return best
