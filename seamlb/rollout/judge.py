"""Does the new revision do worse than the old one beside it? Pure, and may be asked as often as wished.

Every question is put as one of events: refusals, failures, answers slower than most, crashes. If the two revisions
are alike, an event that happens falls on a new agent with the chance that its share of the exposure says, whatever
the rate of such events is just then. The evidence that it does so more often is a likelihood ratio, averaged over how
much more often (`RATIOS`). Such an average stays below 1/a for ever with a chance of 1-a (Ville's inequality), so
looking after every sample costs nothing, and it counts events: few requests give little evidence and never a wrong
variance.

Agents differ, as some see several times the mean of traffic or trouble. How much more the old ones differ among each
other than chance allows (Pearson's dispersion) divides the evidence.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from seamlb.rollout.figures import Evidence, Stratum, Tally

RATIOS = (1.25, 1.6, 2.0, 3.0, 6.0, 12.0, 30.0, 100.0)  # how many times as often, each as likely
SLOW = {"p50": 0.5, "p90": 0.9, "p99": 0.99}  # an answer slower than so many of both sides' together is an event
SLOWER_BY = {"p50": 0.10, "p90": 0.03, "p99": 0.01}  # a share of slow answers that is higher by no more is borne
LAG_BY = 0.05  # the same for the event loop's delay, whose samples hang together
LEAST_TIMES = 100  # answers on the old side below which a stratum's times say nothing of the slowest in a hundred
PRIOR = 4.0  # how many agents' worth of "they differ by chance only" the dispersion starts from


@dataclass(slots=True, frozen=True)
class Count:
    """Events of one question in one stratum, and the exposure they came from, on each side."""

    new: float
    here: float
    old: float
    there: float
    square: float = 0.0  # how far the old agents are from each other, in units of chance
    free: int = 0  # what chance alone would make of that

    @classmethod
    def of(cls, new: Iterable[tuple[float, float]], old: Iterable[tuple[float, float]]) -> Count:
        """From (events, exposure) of each agent."""
        ours, theirs = list(new), [(k, n) for k, n in old if n > 0]
        events, there = sum(k for k, _ in theirs), sum(n for _, n in theirs)
        rate = events / there if there > 0 else 0.0
        square = sum((k - n * rate) ** 2 / (n * rate) for k, n in theirs) if rate > 0 else 0.0
        free = len(theirs) - 1 if rate > 0 else 0
        return cls(sum(k for k, _ in ours), sum(n for _, n in ours), events, there, square, free)


@dataclass(slots=True, frozen=True)
class Worse:
    """What the new revision does worse."""

    what: str
    new: float  # share, or rate a second
    old: float
    evidence: float  # the likelihood ratio
    needed: float

    def __str__(self) -> str:
        weighed = f"evidence {self.evidence:.3g}, {self.needed:.3g} needed"
        return f"{self.what}: {self.new:.4g} against {self.old:.4g} ({weighed})"


def dispersion(counts: Iterable[Count]) -> float:
    """How many times more old agents differ than chance allows; at least 1."""
    square, free = PRIOR, PRIOR
    for count in counts:
        square += count.square
        free += count.free
    return max(1.0, square / free)


def evidence(counts: list[Count]) -> float:
    """The likelihood ratio of "more often at new agents" against "alike"; above 1 it speaks for worse."""
    logs = [0.0] * len(RATIOS)
    for count in counts:
        if count.here <= 0 or count.there <= 0:
            continue
        part, all_ = count.here / (count.here + count.there), count.new + count.old
        for place, ratio in enumerate(RATIOS):
            logs[place] += count.new * math.log(ratio) - all_ * math.log1p((ratio - 1.0) * part)
    scale = dispersion(counts)
    return sum(math.exp(min(700.0, one / scale)) for one in logs) / len(logs)


def _sides(stratum: Stratum, of: Callable[[Tally], tuple[float, float]]) -> Count:
    return Count.of(map(of, stratum.new.values()), map(of, stratum.old.values()))


def _slow(stratum: Stratum, of: Callable[[Tally], Counter[int]], part: float) -> Count | None:
    """Times above the value that `part` of both sides' together don't pass; None where there are too few.

    Both together: if they are alike, which of them the slow ones came from is pure chance then.
    """
    old = sum((of(one) for one in stratum.old.values()), Counter[int]())
    both = sum((of(one) for one in stratum.new.values()), old.copy())
    if old.total() < LEAST_TIMES or both.total() == old.total():
        return None
    need, mark = part * both.total(), 0
    for mark in sorted(both):
        need -= both[mark]
        if need <= 0:
            break

    def count(tally: Tally) -> tuple[float, float]:
        times = of(tally)
        return float(sum(k for value, k in times.items() if value > mark)), float(times.total())

    return _sides(stratum, count)


ENDINGS = {
    "refused": ("throttled",),
    "failed": ("faulted",),
    "given up by callers": ("left",),
    "not fulfilled": ("throttled", "faulted", "left"),
}


def _ask(stratum: Stratum) -> dict[str, Count]:
    """All that is asked of one stratum, by name."""
    asked: dict[str, Count | None] = {}
    for kind in stratum.kinds():
        for what, ends in ENDINGS.items():
            asked[f"{kind} {what}"] = _sides(
                stratum,
                lambda t, k=kind, e=ends: (  # type: ignore[misc]
                    float(sum(t.counts[k, how] for how in e)),
                    float(t.ended(k)),
                ),
            )
        for name, part in SLOW.items():
            asked[f"{kind} slower than the {name}"] = _slow(
                stratum,
                lambda t, k=kind: t.answer_ms.get(k, Counter()),  # type: ignore[misc]
                part,
            )
    asked["event loop later than the p99"] = _slow(stratum, lambda t: t.lag_ms, SLOW["p99"])
    asked["crashes a second"] = _sides(stratum, lambda t: (float(t.crashes), t.seconds + t.crashes))
    asked["faults a second"] = _sides(stratum, lambda t: (float(t.faults), t.seconds))
    return {name: count for name, count in asked.items() if count}


def questions(heard: Evidence) -> dict[str, list[Count]]:
    """All that is asked, by name, stratum by stratum. What is over is counted once."""
    asked: dict[str, list[Count]] = {}
    for stratum in heard.strata:
        if stratum.asked is None or stratum is heard.strata[-1]:
            stratum.asked = _ask(stratum)
        for name, count in stratum.asked.items():
            asked.setdefault(name, []).append(count)
    return asked


def _borne(what: str, bearable: float) -> float:
    """The difference that is no reason to stop."""
    if what.endswith("a second"):
        return 0.0
    if what.startswith("event loop"):
        return LAG_BY
    return next((least for name, least in SLOWER_BY.items() if what.endswith(f"slower than the {name}")), bearable)


def worse(heard: Evidence, bearable: float, false_stop: float) -> Worse | None:
    """The worst that is shown; None while nothing is.

    `bearable`: a share of refused, failed or left requests higher by no more is no reason to stop. `false_stop`: the
    chance that two equal revisions are told apart in this stage, however often this is asked.
    """
    asked = questions(heard)
    needed = len(asked) / false_stop
    found = []
    for what, counts in asked.items():
        here, there = sum(one.here for one in counts), sum(one.there for one in counts)
        new = sum(one.new for one in counts) / here if here > 0 else 0.0
        old = sum(one.old for one in counts) / there if there > 0 else 0.0
        if new - old <= _borne(what, bearable):
            continue
        weight = evidence(counts)
        if weight >= needed:
            found.append(Worse(what, new, old, weight, needed))
    return max(found, key=lambda one: one.evidence, default=None)
