"""What staff see of the requests: each fact is counted once, where it happens. Every process starts at nought."""

from __future__ import annotations

from collections import Counter


class Counters:
    """By class, as callers name it; a class that is dropped keeps what it has."""

    def __init__(self) -> None:
        self.known: dict[str, None] = {}  # all that requests could ever name, shown with 0 before the first
        self.fulfilled: Counter[str] = Counter()  # a desk took the call
        self.throttled: Counter[str] = Counter()  # refused: trying again is harmless
        self.faulted: Counter[str] = Counter()  # failed
        self.relayed = 0  # attempts whose last byte was written to a desk

    def know(self, classes: tuple[str, ...]) -> None:
        """Classes that requests may name from now on."""
        self.known |= dict.fromkeys(classes)

    def relay(self) -> None:
        """An attempt has left whole."""
        self.relayed += 1

    def table(self) -> dict[str, dict[str, int] | int]:
        """The figures by their names on the page."""
        return {
            name: {kind: counted[kind] for kind in self.known}
            for name, counted in (
                ("fulfilled", self.fulfilled),
                ("throttled", self.throttled),
                ("faulted", self.faulted),
            )
        } | {"relayed": self.relayed}
