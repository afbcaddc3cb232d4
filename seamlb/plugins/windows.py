"""Counts over sliding windows, by key, in bounded memory.

Each key has a ring of slices of the window; a count is the ring's running sum, so that counting and asking cost the
same however many calls came. The oldest slice leaves whole: a count is of the window less at most one slice
(Datar, Gionis, Indyk and Motwani 2002 bound the error further at more cost). Keys beyond the bound leave by least
recent use.
"""

from __future__ import annotations

from collections import OrderedDict

SLICES = 20
MOST_KEYS = 4096


class _Ring:
    """One key's slices; the newest is at its number modulo their count."""

    __slots__ = ("newest", "slices", "total")

    def __init__(self, newest: int) -> None:
        self.newest, self.total, self.slices = newest, 0, [0] * SLICES

    def turn(self, newest: int) -> None:
        """Make place for later slices; those that are too old leave."""
        for at in range(max(self.newest + 1, newest - SLICES + 1), newest + 1):
            self.total -= self.slices[at % SLICES]
            self.slices[at % SLICES] = 0
        self.newest = newest


class Window:
    """Counts of the last `span` milliseconds by key."""

    __slots__ = ("evicted", "most", "rings", "slice", "span")

    def __init__(self, span: float, most: int = MOST_KEYS) -> None:
        self.span, self.slice, self.most = span, span / SLICES, most
        self.rings: OrderedDict[str, _Ring] = OrderedDict()
        self.evicted = 0

    def add(self, now: float, key: str = "", amount: int = 1) -> None:
        """Count an amount for a key."""
        newest = int(now // self.slice)
        ring = self.rings.get(key)
        if ring is None:
            ring = self.rings[key] = _Ring(newest)
            if len(self.rings) > self.most:
                self.rings.popitem(last=False)
                self.evicted += 1
        else:
            self.rings.move_to_end(key)
            if newest > ring.newest:
                ring.turn(newest)
        ring.slices[ring.newest % SLICES] += amount
        ring.total += amount

    def count(self, now: float, key: str = "") -> int:
        """What was counted for a key within the window."""
        ring = self.rings.get(key)
        if ring is None:
            return 0
        newest = int(now // self.slice)
        if newest > ring.newest:
            ring.turn(newest)
        return ring.total

    def rate(self, now: float, key: str = "") -> float:
        """Counts a second over the window."""
        return self.count(now, key) * 1000.0 / self.span


class Kept:
    """A bounded store of numbers by key; the least recently used leaves."""

    __slots__ = ("default", "evicted", "most", "values")

    def __init__(self, default: float, most: int = MOST_KEYS) -> None:
        self.default, self.most, self.evicted = default, most, 0
        self.values: OrderedDict[str, float] = OrderedDict()

    def get(self, key: str = "") -> float:
        """The value of a key, or the default."""
        if key not in self.values:
            return self.default
        self.values.move_to_end(key)
        return self.values[key]

    def put(self, key: str, value: float) -> None:
        """Set the value of a key; the key used longest ago goes if there are too many."""
        self.values[key] = value
        self.values.move_to_end(key)
        if len(self.values) > self.most:
            self.values.popitem(last=False)
            self.evicted += 1
