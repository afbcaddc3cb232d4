"""Detects failing zones from the outcomes of one agent's own attempts. Does no I/O; callers pass in times (s)."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

RECENT_S = 3.0  # maximum age of outcomes where there are MIN_OUTCOMES of them
MAX_AGE_S = 15.0  # otherwise the maximum age of the latest MIN_OUTCOMES: an agent may have little traffic
MIN_OUTCOMES = 3  # without so many outcomes a zone counts as not observed
FAILURE_SHARE = 0.8  # of the outcomes, from which a zone fails
MIN_FAILING_DESKS = 2  # in a zone, or all of its desks if it has fewer
HEALTHY_SHARE = 0.5  # of the outcomes in other zones that must be successful; below, the local link is at fault


class ZoneObservations:
    """Latest outcomes by zone; a refusal shows that a desk is alive, a reset or timeout that it fails."""

    def __init__(self) -> None:
        self.outcomes: dict[int, deque[tuple[float, str, bool]]] = {}  # by zone: time (s), desk, failed

    def record(self, now: float, desk: str, zone: int, failed: bool) -> None:
        """Add the outcome of an attempt to reach a desk."""
        self.outcomes.setdefault(zone, deque(maxlen=256)).append((now, desk, failed))

    def forget(self, zone: int) -> None:
        """Drop all outcomes of a zone."""
        self.outcomes.pop(zone, None)

    def evaluate(self, now: float, desks: Mapping[int, int]) -> tuple[int, int]:
        """Bit masks of the observed zones and of the failing ones; `desks` is the number of desks by zone.

        No zone fails unless others are observed and healthy: otherwise this agent may be at fault.
        """
        evidence: dict[int, list[tuple[float, str, bool]]] = {}
        for zone, history in list(self.outcomes.items()):
            while history and history[0][0] < now - MAX_AGE_S:
                history.popleft()
            recent = [one for one in history if one[0] >= now - RECENT_S]
            outcomes = recent if len(recent) >= MIN_OUTCOMES else list(history)[-MIN_OUTCOMES:]
            if len(outcomes) >= MIN_OUTCOMES:
                evidence[zone] = outcomes
        observed = failing = 0
        for zone, outcomes in evidence.items():
            observed |= 1 << zone
            failing_desks = {desk for _, desk, failed in outcomes if failed}
            share = sum(failed for *_, failed in outcomes) / len(outcomes)
            if share < FAILURE_SHARE or len(failing_desks) < min(
                MIN_FAILING_DESKS, desks.get(zone, MIN_FAILING_DESKS)
            ):
                continue
            elsewhere = [failed for other, history in evidence.items() if other != zone for *_, failed in history]
            if elsewhere and sum(not one for one in elsewhere) >= HEALTHY_SHARE * len(elsewhere):
                failing |= 1 << zone
        return observed, failing
