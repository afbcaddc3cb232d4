"""Counters of requests for operators; each event is counted once, where it occurs. They start at 0."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts by class, as named by callers; a class that the settings drop keeps its counts."""

    def __init__(self) -> None:
        self.classes: dict[str, None] = {}  # all that requests may name, shown from 0 on
        self.fulfilled: Counter[str] = Counter()  # answered by a desk
        self.throttled: Counter[str] = Counter()  # refused; the caller may retry
        self.faulted: Counter[str] = Counter()  # failed
        self.relayed = 0  # attempts whose last byte was written to a desk

    def add_classes(self, classes: tuple[str, ...]) -> None:
        """Add classes that requests may name."""
        self.classes |= dict.fromkeys(classes)

    def count_relayed(self) -> None:
        """Count an attempt that was written completely."""
        self.relayed += 1

    def snapshot(self) -> dict[str, dict[str, int] | int]:
        """The counters, by the names under which operators see them."""
        return {
            name: {class_name: counter[class_name] for class_name in self.classes}
            for name, counter in (
                ("fulfilled", self.fulfilled),
                ("throttled", self.throttled),
                ("faulted", self.faulted),
            )
        } | {"relayed": self.relayed}
