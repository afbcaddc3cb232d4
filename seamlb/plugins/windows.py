"""Counts over sliding windows and stored numbers, by key, in bounded memory.

Each key has a ring of slices of the window; its count is a running sum over the ring, so counting and reading cost
the same whatever the number of calls. The oldest slice is dropped as a whole: a count covers the window less at most
one slice (Datar, Gionis, Indyk and Motwani 2002 bound the error further at more cost). Beyond the maximum number of
keys, the least recently used key is evicted.
"""

from __future__ import annotations

from collections import OrderedDict

SLICES = 20
MAX_KEYS = 4096


class _Ring:
    """Slices of one key; slice number n is stored at index n modulo SLICES."""

    __slots__ = ("newest", "slices", "total")

    def __init__(self, newest: int) -> None:
        self.newest, self.total, self.slices = newest, 0, [0] * SLICES

    def advance(self, newest: int) -> None:
        """Move on to a later slice; clears the slices that have left the window."""
        for number in range(max(self.newest + 1, newest - SLICES + 1), newest + 1):
            self.total -= self.slices[number % SLICES]
            self.slices[number % SLICES] = 0
        self.newest = newest


class Window:
    """Counts by key over the last `span_ms` milliseconds."""

    __slots__ = ("evicted", "max_keys", "rings", "slice_ms", "span_ms")

    def __init__(self, span_ms: float, max_keys: int = MAX_KEYS) -> None:
        self.span_ms, self.slice_ms, self.max_keys = span_ms, span_ms / SLICES, max_keys
        self.rings: OrderedDict[str, _Ring] = OrderedDict()
        self.evicted = 0

    def add(self, now: float, key: str = "", amount: int = 1) -> None:
        """Add an amount to the count of a key."""
        newest = int(now // self.slice_ms)
        ring = self.rings.get(key)
        if ring is None:
            ring = self.rings[key] = _Ring(newest)
            if len(self.rings) > self.max_keys:
                self.rings.popitem(last=False)
                self.evicted += 1
        else:
            self.rings.move_to_end(key)
            if newest > ring.newest:
                ring.advance(newest)
        ring.slices[ring.newest % SLICES] += amount
        ring.total += amount

    def count(self, now: float, key: str = "") -> int:
        """The count of a key within the window."""
        ring = self.rings.get(key)
        if ring is None:
            return 0
        newest = int(now // self.slice_ms)
        if newest > ring.newest:
            ring.advance(newest)
        return ring.total

    def rate(self, now: float, key: str = "") -> float:
        """Counts per second over the window."""
        return self.count(now, key) * 1000.0 / self.span_ms


class VariableStore:
    """Numbers by key in bounded memory; the least recently used key is evicted."""

    __slots__ = ("default", "evicted", "max_keys", "values")

    def __init__(self, default: float, max_keys: int = MAX_KEYS) -> None:
        self.default, self.max_keys, self.evicted = default, max_keys, 0
        self.values: OrderedDict[str, float] = OrderedDict()

    def get(self, key: str = "") -> float:
        """The value of a key, or the default."""
        if key not in self.values:
            return self.default
        self.values.move_to_end(key)
        return self.values[key]

    def put(self, key: str, value: float) -> None:
        """Set the value of a key; evicts the least recently used key if there are too many."""
        self.values[key] = value
        self.values.move_to_end(key)
        if len(self.values) > self.max_keys:
            self.values.popitem(last=False)
            self.evicted += 1
