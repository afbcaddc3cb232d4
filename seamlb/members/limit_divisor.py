"""The number of instances by which fleet-wide limits are divided: those alive, and more while that is uncertain.

Does no I/O.
"""

from __future__ import annotations

from collections import deque

HOLD_S = 10.0  # for which an earlier, larger number of alive instances still counts


class LimitDivisor:
    """Tracks how many instances are alive; `configured` is the number of instances in the settings.

    Each instance takes 1/divisor of a limit. While all instances have the same view, the parts add up to at most the
    whole limit, also during joins: a new instance counts as soon as it is discovered, one that has gone counts for
    HOLD_S longer. An instance that sees half of the configured number or fewer can't tell failures from a partition
    and uses the configured number, as does one that has just started and has not discovered the others. So in a
    partition the parts of the larger side add up to one limit, those of the smaller side to less than half of it.
    """

    def __init__(self, configured: int) -> None:
        self.configured = max(1, configured)
        self.peaks: deque[tuple[float, int]] = deque()  # (time in s, alive), sliding-window maximum: counts fall

    def update(self, now: float, alive: int) -> int:
        """Take the number of alive instances, including this one, at `now` (s); returns the divisor."""
        if not self.peaks:
            self.peaks.append((now, max(alive, self.configured)))
        while self.peaks and self.peaks[0][0] < now - HOLD_S:
            self.peaks.popleft()
        while self.peaks and self.peaks[-1][1] <= alive:
            self.peaks.pop()  # an earlier and smaller count can't be the maximum again
        self.peaks.append((now, alive))
        largest = self.peaks[0][1]
        if 2 * largest <= self.configured:
            return self.configured
        return largest
