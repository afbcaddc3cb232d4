"""Canary analysis: does the new revision do worse than the old one beside it? Pure; may be repeated at any rate.

Each metric counts events: refusals, failures, answers slower than a quantile, crashes. If the two revisions are
equal, an event falls on a new agent with a probability equal to the new agents' share of the exposure, whatever the
current rate of such events is. The evidence for a higher rate at new agents is a likelihood ratio, averaged over
several rate ratios (`RATE_RATIOS`). With probability 1-a such an average stays below 1/a for ever (Ville's
inequality), so testing after every sample does not raise the false alarm rate. As it counts events, few requests give
little evidence, and no variance has to be estimated from them.

Agents differ: some see several times the mean traffic or error rate. The evidence is divided by how much more the old
agents differ among each other than chance explains (Pearson's dispersion).
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from seamlb.rollout.samples import Evidence, Stratum, Tally

RATE_RATIOS = (1.25, 1.6, 2.0, 3.0, 6.0, 12.0, 30.0, 100.0)  # new rate / old rate, equally weighted
SLOW_QUANTILES = {"p50": 0.5, "p90": 0.9, "p99": 0.99}  # of both sides together; a slower answer is an event
TOLERATED_SLOW_SHARE = {"p50": 0.10, "p90": 0.03, "p99": 0.01}  # tolerated increase in the share of slow answers
TOLERATED_LAG_SHARE = 0.05  # the same for the event loop delay; higher, as its samples are correlated
MIN_OLD_SAMPLES = 100  # with fewer times on the old side, the p99 is not known
DISPERSION_PRIOR = 4.0  # degrees of freedom without overdispersion that the estimate starts with


@dataclass(slots=True, frozen=True)
class EventCounts:
    """Events of one metric in one stratum, and the exposure that they came from, on each side."""

    new_events: float
    new_exposure: float
    old_events: float
    old_exposure: float
    chi_square: float = 0.0  # Pearson's statistic of the differences between the old agents
    degrees_of_freedom: int = 0  # the expected value of `chi_square` if only chance makes them differ

    @classmethod
    def from_agents(cls, new: Iterable[tuple[float, float]], old: Iterable[tuple[float, float]]) -> EventCounts:
        """From (events, exposure) of each agent."""
        changed, unchanged = list(new), [(k, n) for k, n in old if n > 0]
        events, exposure = sum(k for k, _ in unchanged), sum(n for _, n in unchanged)
        rate = events / exposure if exposure > 0 else 0.0
        chi_square = sum((k - n * rate) ** 2 / (n * rate) for k, n in unchanged) if rate > 0 else 0.0
        degrees = len(unchanged) - 1 if rate > 0 else 0
        return cls(sum(k for k, _ in changed), sum(n for _, n in changed), events, exposure, chi_square, degrees)


@dataclass(slots=True, frozen=True)
class Regression:
    """A metric that is worse with the new revision."""

    metric: str
    new: float  # share, or rate per second
    old: float
    likelihood_ratio: float
    threshold: float

    def __str__(self) -> str:
        comparison = f"likelihood ratio {self.likelihood_ratio:.3g}, {self.threshold:.3g} required"
        return f"{self.metric}: {self.new:.4g} with the new revision, {self.old:.4g} with the old ({comparison})"


def dispersion(counts: Iterable[EventCounts]) -> float:
    """The ratio of the old agents' variance to the one that chance explains; at least 1."""
    chi_square, degrees = DISPERSION_PRIOR, DISPERSION_PRIOR
    for count in counts:
        chi_square += count.chi_square
        degrees += count.degrees_of_freedom
    return max(1.0, chi_square / degrees)


def likelihood_ratio(counts: list[EventCounts]) -> float:
    """The likelihood of "a higher rate at new agents" over that of "equal rates"; above 1 it speaks for worse."""
    logs = [0.0] * len(RATE_RATIOS)
    for count in counts:
        if count.new_exposure <= 0 or count.old_exposure <= 0:
            continue
        share, events = (
            count.new_exposure / (count.new_exposure + count.old_exposure),
            count.new_events + count.old_events,
        )
        for index, ratio in enumerate(RATE_RATIOS):
            logs[index] += count.new_events * math.log(ratio) - events * math.log1p((ratio - 1.0) * share)
    scale = dispersion(counts)
    return sum(math.exp(min(700.0, one / scale)) for one in logs) / len(logs)


def _count_events(stratum: Stratum, count: Callable[[Tally], tuple[float, float]]) -> EventCounts:
    return EventCounts.from_agents(map(count, stratum.new.values()), map(count, stratum.old.values()))


def _count_slow(stratum: Stratum, histogram: Callable[[Tally], Counter[int]], quantile: float) -> EventCounts | None:
    """Count times above a quantile of both sides together; None where there are too few times.

    The quantile is that of both sides together so that, if they are equal, only chance decides which side the slow
    ones came from.
    """
    old = sum((histogram(one) for one in stratum.old.values()), Counter[int]())
    both = sum((histogram(one) for one in stratum.new.values()), old.copy())
    if old.total() < MIN_OLD_SAMPLES or both.total() == old.total():
        return None
    remaining, limit = quantile * both.total(), 0
    for limit in sorted(both):
        remaining -= both[limit]
        if remaining <= 0:
            break

    def count(tally: Tally) -> tuple[float, float]:
        times = histogram(tally)
        return float(sum(k for value, k in times.items() if value > limit)), float(times.total())

    return _count_events(stratum, count)


OUTCOME_METRICS = {
    "refused": ("throttled",),
    "failed": ("faulted",),
    "abandoned by callers": ("left",),
    "not fulfilled": ("throttled", "faulted", "left"),
}


def _stratum_counts(stratum: Stratum) -> dict[str, EventCounts]:
    """All metrics of one stratum, by name."""
    metrics: dict[str, EventCounts | None] = {}
    for class_name in stratum.classes():
        for metric, outcomes in OUTCOME_METRICS.items():
            metrics[f"{class_name} {metric}"] = _count_events(
                stratum,
                lambda t, k=class_name, o=outcomes: (  # type: ignore[misc]
                    float(sum(t.counts[k, outcome] for outcome in o)),
                    float(t.completed(k)),
                ),
            )
        for name, quantile in SLOW_QUANTILES.items():
            metrics[f"{class_name} slower than the {name}"] = _count_slow(
                stratum,
                lambda t, k=class_name: t.answer_ms.get(k, Counter()),  # type: ignore[misc]
                quantile,
            )
    metrics["event loop delay above the p99"] = _count_slow(stratum, lambda t: t.lag_ms, SLOW_QUANTILES["p99"])
    metrics["crashes per second"] = _count_events(stratum, lambda t: (float(t.crashes), t.observed_s + t.crashes))
    metrics["faults per second"] = _count_events(stratum, lambda t: (float(t.faults), t.observed_s))
    return {name: count for name, count in metrics.items() if count}


def metric_counts(samples: Evidence) -> dict[str, list[EventCounts]]:
    """All metrics, by name and stratum. Those of a stratum that is over are computed once."""
    metrics: dict[str, list[EventCounts]] = {}
    for stratum in samples.strata:
        if stratum.metrics is None or stratum is samples.strata[-1]:
            stratum.metrics = _stratum_counts(stratum)
        for name, count in stratum.metrics.items():
            metrics.setdefault(name, []).append(count)
    return metrics


def _tolerated_difference(metric: str, bearable: float) -> float:
    if metric.endswith("per second"):
        return 0.0
    if metric.startswith("event loop"):
        return TOLERATED_LAG_SHARE
    return next(
        (share for name, share in TOLERATED_SLOW_SHARE.items() if metric.endswith(f"slower than the {name}")),
        bearable,
    )


def find_regression(samples: Evidence, bearable: float, false_stop: float) -> Regression | None:
    """The regression with the most evidence; None if none is significant.

    `bearable`: tolerated increase in the share of refused, failed or abandoned requests. `false_stop`: the
    probability of a false alarm in this stage between two equal revisions, however often this is called.
    """
    metrics = metric_counts(samples)
    threshold = len(metrics) / false_stop
    found = []
    for metric, counts in metrics.items():
        new_exposure, old_exposure = sum(one.new_exposure for one in counts), sum(one.old_exposure for one in counts)
        new = sum(one.new_events for one in counts) / new_exposure if new_exposure > 0 else 0.0
        old = sum(one.old_events for one in counts) / old_exposure if old_exposure > 0 else 0.0
        if new - old <= _tolerated_difference(metric, bearable):
            continue
        ratio = likelihood_ratio(counts)
        if ratio >= threshold:
            found.append(Regression(metric, new, old, ratio, threshold))
    return max(found, key=lambda one: one.likelihood_ratio, default=None)
