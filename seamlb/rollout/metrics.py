"""Metrics that an agent exports to compare two revisions: outcomes and answer times by class, event loop delay."""

from __future__ import annotations

import asyncio
import uuid
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from seamlb import __version__, log

MAX_RECORDED_MS = 120_000  # longer times are recorded as this
SIGNIFICANT_DIGITS = 2
LAG_INTERVAL_S = 0.05  # between two samples of the event loop delay
FAULT_EVENTS = ("fault", "drain_late")  # log events that a correct revision never writes


class CanaryMetrics:
    """Counts since the start of the process."""

    def __init__(self) -> None:
        self.process_id = uuid.uuid4().hex
        self.counts: dict[str, Counter[str]] = {}
        self.answer_times: dict[str, HdrHistogram] = {}
        self.lag = HdrHistogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)

    def record_outcome(self, class_name: str, outcome: str, ms: float) -> None:
        """Count a request of a class that got its final answer, or whose caller abandoned it."""
        self.counts.setdefault(class_name, Counter())[outcome] += 1
        if outcome == "fulfilled":
            self._histogram(class_name).record_value(min(MAX_RECORDED_MS, max(1, round(ms))))

    def _histogram(self, class_name: str) -> HdrHistogram:
        if class_name not in self.answer_times:
            self.answer_times[class_name] = HdrHistogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
        return self.answer_times[class_name]

    async def run(self) -> None:
        """Sample the event loop delay until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.lag.record_value(min(MAX_RECORDED_MS, max(1, round((loop.time() - due) * 1000.0))))

    def snapshot(self) -> dict[str, Any]:
        """The body of `/admin/measures`; histograms are {milliseconds: count}."""
        return {
            "process": self.process_id,
            "version": __version__,
            "counts": self.counts,
            "answer_ms": {class_name: _sparse(one) for class_name, one in self.answer_times.items()},
            "lag_ms": _sparse(self.lag),
            "faults": sum(log.counts[one] for one in FAULT_EVENTS),
        }


def _sparse(histogram: HdrHistogram) -> dict[str, int]:
    return {
        str(step.value_iterated_to): step.count_added_in_this_iter_step for step in histogram.get_recorded_iterator()
    }
