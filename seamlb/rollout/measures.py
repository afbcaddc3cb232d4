"""What an agent tells of itself to whoever compares two versions: ends and times by class, its own lateness."""

from __future__ import annotations

import asyncio
import uuid
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from seamlb import __version__, log

LONGEST = 120_000  # ms; what takes longer counts as this
DIGITS = 2  # of a time that are kept
BEAT = 0.05  # seconds between two looks at the event loop's lateness
FAULTS = ("fault", "drain_late")  # log lines that no healthy version writes


class CanaryMetrics:
    """Counts since the start of the process."""

    def __init__(self) -> None:
        self.process = uuid.uuid4().hex
        self.counts: dict[str, Counter[str]] = {}
        self.answers: dict[str, HdrHistogram] = {}
        self.lag = HdrHistogram(1, LONGEST, DIGITS)

    def record_outcome(self, kind: str, how: str, ms: float) -> None:
        """A request of a class got its final answer, or its caller left."""
        self.counts.setdefault(kind, Counter())[how] += 1
        if how == "fulfilled":
            self._of(kind).record_value(min(LONGEST, max(1, round(ms))))

    def _of(self, kind: str) -> HdrHistogram:
        if kind not in self.answers:
            self.answers[kind] = HdrHistogram(1, LONGEST, DIGITS)
        return self.answers[kind]

    async def run(self) -> None:
        """Look at the event loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + BEAT
            await asyncio.sleep(BEAT)
            self.lag.record_value(min(LONGEST, max(1, round((loop.time() - due) * 1000.0))))

    def snapshot(self) -> dict[str, Any]:
        """What `/admin/measures` shows: times as {milliseconds: how many}."""
        return {
            "process": self.process,
            "version": __version__,
            "counts": self.counts,
            "answer_ms": {kind: _sparse(one) for kind, one in self.answers.items()},
            "lag_ms": _sparse(self.lag),
            "faults": sum(log.counts[one] for one in FAULTS),
        }


def _sparse(histogram: HdrHistogram) -> dict[str, int]:
    return {
        str(step.value_iterated_to): step.count_added_in_this_iter_step for step in histogram.get_recorded_iterator()
    }
