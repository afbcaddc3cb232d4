"""Samples of the agents' metrics, and their attribution to a stage and a revision. Pure: times are in seconds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

K = TypeVar("K")
OUTCOMES = ("fulfilled", "throttled", "faulted", "left")  # of a request, as its caller sees it


@dataclass(slots=True, frozen=True)
class Sample:
    """One process's metrics at one moment; its counts start at zero when the process starts."""

    process_id: str  # differs for each process
    revision: str  # the one that the process runs
    as_of: float
    counts: Mapping[tuple[str, str], int]  # requests by class and outcome
    answer_ms: Mapping[str, Mapping[int, int]]  # histograms of answer times by class: {ms: count}
    lag_ms: Mapping[int, int] = field(default_factory=dict)  # histogram of the event loop delay: {ms: count}
    faults: int = 0  # internal errors, and callers that a drain could not answer


@dataclass(slots=True)
class Tally:
    """What one agent did in one stratum, all of it with the same revision."""

    counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    answer_ms: dict[str, Counter[int]] = field(default_factory=dict)
    lag_ms: Counter[int] = field(default_factory=Counter)
    faults: int = 0
    crashes: int = 0
    observed_s: float = 0.0  # time covered by the samples

    def add(self, new: Sample, old: Sample | None) -> None:
        """Add the increase from `old` to `new`; without `old`, all that the process did."""
        self.counts += _increase(new.counts, old.counts if old else {})
        for class_name, times in new.answer_ms.items():
            self.answer_ms.setdefault(class_name, Counter()).update(
                _increase(times, old.answer_ms.get(class_name, {}) if old else {})
            )
        self.lag_ms += _increase(new.lag_ms, old.lag_ms if old else {})
        self.faults += new.faults - (old.faults if old else 0)

    def completed(self, class_name: str) -> int:
        """The number of completed requests of a class."""
        return sum(self.counts[class_name, outcome] for outcome in OUTCOMES)


def _increase(new: Mapping[K, int], old: Mapping[K, int]) -> Counter[K]:
    return Counter({key: more for key, count in new.items() if (more := count - old.get(key, 0)) > 0})


@dataclass(slots=True)
class Stratum:
    """A period in which no agent switched revision: old and new agents had the same load, so they are comparable."""

    changed: frozenset[str]
    new: dict[str, Tally] = field(default_factory=dict)
    old: dict[str, Tally] = field(default_factory=dict)
    metrics: Any = None  # the analysis's counts for this stratum, cached once it is over

    def classes(self) -> list[str]:
        """All request classes with at least one count."""
        return sorted(
            {class_name for side in (self.new, self.old) for tally in side.values() for class_name, _ in tally.counts}
        )

    def tally(self, agent: str) -> Tally:
        """An agent's tally on the side of the revision that it runs."""
        return (self.new if agent in self.changed else self.old).setdefault(agent, Tally())


class Evidence:
    """All samples of a stage, by stratum. Held in memory only: a restarted controller collects them anew."""

    def __init__(self) -> None:
        self.strata: list[Stratum] = [Stratum(frozenset())]
        self.last_samples: dict[str, Sample] = {}
        self.crash_counts: dict[str, int] = {}  # by agent, as last reported by its supervisor

    def start_stage(self) -> None:
        """Discard the tallies of the previous stage."""
        self.strata = [Stratum(self.strata[-1].changed)]

    def set_changed(self, changed: frozenset[str]) -> None:
        """Set which agents run the new revision; a difference starts a new stratum."""
        if changed != self.strata[-1].changed:
            self.strata[-1].metrics = None
            self.strata.append(Stratum(changed))

    def add_sample(self, agent: str, sample: Sample, crashes: int, revision: str, settled: bool = True) -> None:
        """Add one agent's sample; `revision` is the one of the agent's side.

        A sample of a process with another revision is not counted and drops the baseline. While an agent is not
        `settled`, its samples only move the baseline that later ones are compared with.

        The first sample of a process is its baseline, unless the process before it crashed: what a process did before
        its first sample, while it warmed up or ran beside its predecessor, is not counted.
        """
        tally, last = self.strata[-1].tally(agent), self.last_samples.get(agent)
        more = crashes - self.crash_counts.get(agent, crashes)
        self.crash_counts[agent] = crashes
        tally.crashes += max(0, more)
        if sample.revision != revision:
            self.last_samples.pop(agent, None)
            return
        self.last_samples[agent] = sample
        if not settled or last is None or (last.process_id != sample.process_id and not more):
            return
        tally.add(sample, last if last.process_id == sample.process_id else None)
        tally.observed_s += max(0.0, sample.as_of - last.as_of)

    def completed(self, class_name: str) -> tuple[int, int]:
        """Completed requests of a class, at new and at old agents."""
        return (
            sum(one.completed(class_name) for stratum in self.strata for one in stratum.new.values()),
            sum(one.completed(class_name) for stratum in self.strata for one in stratum.old.values()),
        )
