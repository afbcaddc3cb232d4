"""How soon a change that does worse is stopped, and how often one that doesn't: the judge beside a bake-and-look.

    .venv/bin/python -m benchmarks.rollout --seeds 50 --out docs/results/rollout.md

The course and the judge are the program's; the agents are streams of figures on a virtual clock, not processes: a
Poisson stream of requests by class for each agent, agents that differ in traffic, in refusals and in speed by
`spread` (coefficient of variation), and a load that swings by half. What is counted: requests that changed agents
took before the change stopped. The plain way looks once, at each stage's end: stop if any class's share of refusals
is 2 points higher at changed agents, or its p99 1.5 times.
"""

from __future__ import annotations

import argparse
import math
from collections import Counter
from dataclasses import dataclass
from multiprocessing import Pool
from pathlib import Path

import numpy as np

from seamlb.planning.words import table
from seamlb.rollout.change import AgentStatus, RolloutState, RolloutStateMachine
from seamlb.rollout.figures import Sample
from seamlb.rollout.plan import Agent, Plan, Revision, Stage

CLASSES = (("level-check", 0.74, 0.05), ("subscribe-update", 0.21, 0.08), ("alert-confirm", 0.05, 0.02))
RATE = 5.0  # requests a second of the mean agent
STEP = 2.0  # seconds
BAKE = 60.0
FLEETS: tuple[tuple[int, tuple[int | str, ...]], ...] = ((8, (1, 4, "all")), (200, (1, "10 %", "50 %", "all")))
SPREADS = (0.0, 0.3, 0.6)
WAYS = (
    "equal",
    "refuses one class 3 times as often",
    "refuses all 1.5 times as often",
    "3 % of answers 5 times slower",
    "a tenth fails",
)


@dataclass(slots=True)
class Outcome:
    """What one change came to, in each way of judging."""

    stopped: dict[str, bool]
    exposed: dict[str, int]
    seconds: dict[str, float]


class Streams:
    """The figures of a fleet's agents."""

    def __init__(self, seed: int, size: int, spread: float, way: str) -> None:
        self.rng, self.size, self.way = np.random.default_rng(seed), size, way
        draw = (lambda: self.rng.gamma(1 / spread**2, spread**2, size)) if spread else (lambda: np.ones(size))
        self.traffic, self.trouble = draw(), draw()
        self.slow = self.rng.lognormal(0.0, 0.1 if spread else 0.0, size)
        self.counts: list[Counter[tuple[str, str]]] = [Counter() for _ in range(size)]
        self.times: list[dict[str, Counter[int]]] = [{name: Counter() for name, *_ in CLASSES} for _ in range(size)]
        self.process = [0] * size

    def restart(self, agent: int) -> None:
        self.process[agent] += 1
        self.counts[agent] = Counter()
        self.times[agent] = {name: Counter() for name, *_ in CLASSES}

    def step(self, now: float, new: np.ndarray) -> int:
        """One step's requests; how many changed agents took."""
        load, taken = 1.0 + 0.5 * math.sin(now / 40.0), 0
        for name, part, refused in CLASSES:
            asked = self.rng.poisson(self.traffic * RATE * part * STEP * load)
            worse = {
                "refuses one class 3 times as often": 3.0 if name == "subscribe-update" else 1.0,
                "refuses all 1.5 times as often": 1.5,
            }.get(self.way, 1.0)
            share = np.clip(refused * self.trouble * load * np.where(new, worse, 1.0), 0.0, 0.9)
            turned = self.rng.binomial(asked, share)
            failed = self.rng.binomial(asked - turned, np.where(new & (self.way == "a tenth fails"), 0.1, 0.0))
            served = asked - turned - failed
            taken += int(asked[new].sum())
            for agent in range(self.size):
                counts = self.counts[agent]
                counts[name, "throttled"] += int(turned[agent])
                counts[name, "faulted"] += int(failed[agent])
                counts[name, "fulfilled"] += int(served[agent])
                times = self.rng.lognormal(math.log(40.0 * self.slow[agent] * load), 0.5, int(served[agent]))
                if new[agent] and "slower" in self.way:
                    times *= np.where(self.rng.random(times.size) < 0.03, 5.0, 1.0)
                # As the agent's histogram keeps them: two digits.
                digits = 10.0 ** np.floor(np.log10(np.maximum(times, 1.0)) - 1.0)
                self.times[agent][name].update((np.round(times / digits) * digits).astype(int).tolist())
        return taken


def _quantile(times: Counter[int], part: float) -> int:
    need = part * times.total()
    for value in sorted(times):
        need -= times[value]
        if need <= 0:
            return value
    return 0


class Look:
    """The plain way, on the same streams: figures since the stage's start, looked at once at its end."""

    def __init__(self, streams: Streams) -> None:
        self.streams = streams
        self.mark()

    def mark(self) -> None:
        self.counts = [one.copy() for one in self.streams.counts]
        self.times = [{name: times.copy() for name, times in one.items()} for one in self.streams.times]

    def worse(self, new: np.ndarray) -> bool:
        for name, *_ in CLASSES:
            share, late = [], []
            for side in (np.flatnonzero(new), np.flatnonzero(~new)):
                counts, times = Counter[str](), Counter[int]()
                for agent in side:
                    for (kind, how), count in (self.streams.counts[agent] - self.counts[agent]).items():
                        if kind == name:
                            counts[how] += count
                    times += self.streams.times[agent][name] - self.times[agent][name]
                share.append((counts.total() - counts["fulfilled"]) / max(1, counts.total()))
                late.append(_quantile(times, 0.99))
            if share[0] > share[1] + 0.02 or late[0] > 1.5 * late[1]:
                return True
        return False


def play(job: tuple[int, int, tuple[int | str, ...], float, str]) -> Outcome:
    """One change under both ways of judging: by the course as it is, and by a look at each stage's end."""
    seed, size, stages, spread, way = job
    old, new = Revision("old", ("x",), "", "0"), Revision("new", ("y",), "", "0")
    names = [f"a{n}" for n in range(size)]
    plan = Plan(
        old,
        new,
        tuple(Stage(one, BAKE) for one in stages),
        tuple(Agent(name, f"127.0.0.1:{n + 1}") for n, name in enumerate(names)),
        surge=max(1, size // 10),
        settle=10.0,
    )
    found = Outcome({}, {}, {})
    streams, place = Streams(seed, size, spread, way), RolloutState("c", plan)
    course, now, exposed = RolloutStateMachine(place, 0.0), 0.0, 0
    runs, wanted = [old.ident] * size, [""] * size
    look, settled, plain, stage = Look(streams), 0.0, False, 0
    while place.phase == "forward":
        now += STEP
        changed = np.array([one == new.ident for one in runs])
        exposed += streams.step(now, changed)
        views = {
            name: AgentStatus(
                now,
                runs[n],
                True,
                desired=wanted[n],
                sample=Sample(
                    f"{n}.{streams.process[n]}",
                    runs[n],
                    now,
                    dict(streams.counts[n]),
                    {kind: dict(times) for kind, times in streams.times[n].items()},
                ),
            )
            for n, name in enumerate(names)
        }
        orders = course.step(now, views)
        if place.stage != stage or place.phase != "forward":  # the stage has ended: the plain way looks
            if not plain and 0 < changed.sum() < size and place.phase != "back" and look.worse(changed):
                plain = True
                found.exposed["look"], found.seconds["look"] = exposed, now
            stage = place.stage
        for order in orders:
            n = int(order.agent[1:])
            runs[n], wanted[n] = order.revision, order.revision
            streams.restart(n)
            settled = now
        if orders or now - settled <= 10.0:
            look.mark()
    found.stopped["judge"] = place.phase == "back"
    found.exposed["judge"], found.seconds["judge"] = exposed, now
    found.stopped["look"] = plain
    if place.phase == "back" and not plain:  # the judge ended it before the look's time: the look's bake goes on
        stage_of = int(changed.sum())
        while now - settled < BAKE + 10.0:
            now += STEP
            exposed += streams.step(now, changed)
        if 0 < stage_of < size:
            found.stopped["look"] = look.worse(changed)
        found.exposed["look"], found.seconds["look"] = exposed, now
    found.exposed.setdefault("look", exposed)
    found.seconds.setdefault("look", now)
    return found


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--out", type=Path)
    parser.add_argument("--processes", type=int, default=4)
    told = parser.parse_args()
    rows = []
    with Pool(told.processes) as pool:
        for size, stages in FLEETS:
            for way in WAYS:
                for spread in SPREADS:
                    seeds = told.seeds if way == "equal" else max(1, told.seeds // 5)
                    got = pool.map(play, [(seed, size, stages, spread, way) for seed in range(seeds)], 1)
                    row = [str(size), way, f"{spread:g}"]
                    for judge in ("judge", "look"):
                        stopped = [one for one in got if one.stopped[judge]]
                        row += [f"{len(stopped)} of {len(got)}"]
                        for whats in ([one.exposed for one in stopped], [one.seconds for one in stopped]):
                            row.append(f"{np.median([what[judge] for what in whats]):.0f}" if whats else "-")
                    rows.append(row)
                    print(*row, sep=" | ", flush=True)
    heads = ["agents", "new version", "spread", "judge stops", "exposed", "s", "look stops", "exposed", "s"]
    if told.out:
        head = [
            "# A change that does worse: the judge beside a fixed bake-and-look",
            "",
            f"`python -m benchmarks.rollout --seeds {told.seeds}`. Streams of figures on a virtual clock, not "
            "processes; medians over the runs that stopped. `exposed`: requests that changed agents took until "
            "then. Rows `equal`: false stops. The look finds all that is worse because it stops half and more of "
            "all changes, equal ones too: its p99 of few answers is chance.",
            "",
        ]
        told.out.write_text("\n".join([*head, "```", *table(heads, rows), "```"]) + "\n")


if __name__ == "__main__":
    main()
