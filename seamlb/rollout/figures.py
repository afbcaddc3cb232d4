"""What agents tell of themselves, and what of it belongs to a stage. Pure: times are seconds given in."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

K = TypeVar("K")
ENDS = ("fulfilled", "throttled", "faulted", "left")  # how a request may end for its caller


@dataclass(slots=True, frozen=True)
class Sample:
    """What one process told at one moment; its counts run from its start."""

    process: str  # another name for each process
    revision: str  # what it runs
    at: float  # when it was asked
    counts: Mapping[tuple[str, str], int]  # by class and one of ENDS
    answer_ms: Mapping[str, Mapping[int, int]]  # by class: how many answers took so long
    lag_ms: Mapping[int, int] = field(default_factory=dict)  # how late the event loop was
    faults: int = 0  # faults of the program itself, and callers a drain could not answer


@dataclass(slots=True)
class Tally:
    """What one agent did in one stratum: all of it with the same revision."""

    counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    answer_ms: dict[str, Counter[int]] = field(default_factory=dict)
    lag_ms: Counter[int] = field(default_factory=Counter)
    faults: int = 0
    crashes: int = 0
    seconds: float = 0.0  # for how long it was listened to

    def add(self, new: Sample, old: Sample | None) -> None:
        """What was told since `old`; None: all that the process did."""
        self.counts += _since(new.counts, old.counts if old else {})
        for kind, times in new.answer_ms.items():
            self.answer_ms.setdefault(kind, Counter()).update(
                _since(times, old.answer_ms.get(kind, {}) if old else {})
            )
        self.lag_ms += _since(new.lag_ms, old.lag_ms if old else {})
        self.faults += new.faults - (old.faults if old else 0)

    def ended(self, kind: str) -> int:
        """Requests of a class that came to an end."""
        return sum(self.counts[kind, how] for how in ENDS)


def _since(new: Mapping[K, int], old: Mapping[K, int]) -> Counter[K]:
    return Counter({key: more for key, count in new.items() if (more := count - old.get(key, 0)) > 0})


@dataclass(slots=True)
class Stratum:
    """A span of time in which no agent went over: old and new ones met the same load, which is what is compared."""

    changed: frozenset[str]
    new: dict[str, Tally] = field(default_factory=dict)
    old: dict[str, Tally] = field(default_factory=dict)
    asked: Any = None  # what the judge has made of it, once it is over

    def kinds(self) -> list[str]:
        """All classes that were heard of."""
        return sorted({kind for side in (self.new, self.old) for tally in side.values() for kind, _ in tally.counts})

    def of(self, agent: str) -> Tally:
        """An agent's tally on its side."""
        return (self.new if agent in self.changed else self.old).setdefault(agent, Tally())


class Evidence:
    """All that was heard in a stage, stratum by stratum. In memory only: a conductor that starts again asks anew."""

    def __init__(self) -> None:
        self.strata: list[Stratum] = [Stratum(frozenset())]
        self.last: dict[str, Sample] = {}
        self.crashes: dict[str, int] = {}  # as the keepers last told

    def begin(self) -> None:
        """A new stage: what was heard before is not asked of it."""
        self.strata = [Stratum(self.strata[-1].changed)]

    def move(self, changed: frozenset[str]) -> None:
        """From now on these agents run the new revision."""
        if changed != self.strata[-1].changed:
            self.strata[-1].asked = None
            self.strata.append(Stratum(changed))

    def hear(self, agent: str, sample: Sample, crashes: int, revision: str, counts: bool = True) -> None:
        """One agent's figures; `revision` is what its side should run. Others' news belong to no side.

        Without `counts` it is only where counting may start: the agent is not to be judged yet.

        The first sample of a process is where its counting starts, unless its predecessor crashed: what a process
        did before it was first heard, while it warmed up or beside the one before it, is asked of nobody.
        """
        tally, last = self.strata[-1].of(agent), self.last.get(agent)
        more = crashes - self.crashes.get(agent, crashes)
        self.crashes[agent] = crashes
        tally.crashes += max(0, more)
        if sample.revision != revision:
            self.last.pop(agent, None)
            return
        self.last[agent] = sample
        if not counts or last is None or (last.process != sample.process and not more):
            return
        tally.add(sample, last if last.process == sample.process else None)
        tally.seconds += max(0.0, sample.at - last.at)

    def ended(self, kind: str) -> tuple[int, int]:
        """Requests of a class that came to an end, at new and at old agents."""
        return (
            sum(one.ended(kind) for stratum in self.strata for one in stratum.new.values()),
            sum(one.ended(kind) for stratum in self.strata for one in stratum.old.values()),
        )
