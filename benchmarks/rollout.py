"""Staged rollouts: time to stop a worse version and rate of false stops, compared with a fixed check after bake.

    .venv/bin/python -m benchmarks.rollout --seeds 50 --out docs/results/rollout.md

The rollout state machine and its analysis are the program's own. The agents are simulated streams of figures on a
virtual clock: Poisson requests by class, agents that differ in traffic, refusals and speed by `spread` (coefficient
of variation), and a load that varies by half. Exposure is the number of requests that changed agents took before the
rollout stopped. The fixed check runs once, at the end of each stage, and stops if a class's share of requests not
served is more than 2 points higher at changed agents than at the others, or its p99 is more than 1.5 times as high.
"""

from __future__ import annotations

import argparse
import math
from collections import Counter
from dataclasses import dataclass
from multiprocessing import Pool
from pathlib import Path

import numpy as np

from seamlb.planning.reports import table
from seamlb.rollout.plan import Agent, Plan, Revision, Stage
from seamlb.rollout.samples import Sample
from seamlb.rollout.state_machine import AgentStatus, RolloutState, RolloutStateMachine

CLASSES = (("level-check", 0.74, 0.05), ("subscribe-update", 0.21, 0.08), ("alert-confirm", 0.05, 0.02))
REQUESTS_PER_S = 5.0  # of the average agent
STEP_S = 2.0
BAKE_S = 60.0
FLEETS: tuple[tuple[int, tuple[int | str, ...]], ...] = ((8, (1, 4, "all")), (200, (1, "10 %", "50 %", "all")))
SPREADS = (0.0, 0.3, 0.6)
BEHAVIOURS = (
    "equal",
    "refuses one class 3 times as often",
    "refuses all 1.5 times as often",
    "3 % of answers 5 times slower",
    "a tenth fails",
)


@dataclass(slots=True)
class Outcome:
    """The outcome of one rollout, by method: `analysis` (the program's own) or `check` (the fixed check)."""

    stopped: dict[str, bool]
    exposed: dict[str, int]
    stopped_after: dict[str, float]


class RequestStreams:
    """Simulated requests and figures of a fleet's agents."""

    def __init__(self, seed: int, size: int, spread: float, behaviour: str) -> None:
        self.rng, self.size, self.behaviour = np.random.default_rng(seed), size, behaviour
        draw = (lambda: self.rng.gamma(1 / spread**2, spread**2, size)) if spread else (lambda: np.ones(size))
        self.traffic, self.trouble = draw(), draw()
        self.slowness = self.rng.lognormal(0.0, 0.1 if spread else 0.0, size)
        self.counts: list[Counter[tuple[str, str]]] = [Counter() for _ in range(size)]
        self.times: list[dict[str, Counter[int]]] = [{name: Counter() for name, *_ in CLASSES} for _ in range(size)]
        self.restarts = [0] * size

    def restart(self, agent: int) -> None:
        self.restarts[agent] += 1
        self.counts[agent] = Counter()
        self.times[agent] = {name: Counter() for name, *_ in CLASSES}

    def step(self, now: float, new: np.ndarray) -> int:
        """Simulate the requests of one step; returns the number that changed agents took."""
        load, taken_by_changed = 1.0 + 0.5 * math.sin(now / 40.0), 0
        for name, share, usual_refused in CLASSES:
            requests = self.rng.poisson(self.traffic * REQUESTS_PER_S * share * STEP_S * load)
            worse = {
                "refuses one class 3 times as often": 3.0 if name == "subscribe-update" else 1.0,
                "refuses all 1.5 times as often": 1.5,
            }.get(self.behaviour, 1.0)
            refused_share = np.clip(usual_refused * self.trouble * load * np.where(new, worse, 1.0), 0.0, 0.9)
            refused_count = self.rng.binomial(requests, refused_share)
            failed = self.rng.binomial(
                requests - refused_count, np.where(new & (self.behaviour == "a tenth fails"), 0.1, 0.0)
            )
            served = requests - refused_count - failed
            taken_by_changed += int(requests[new].sum())
            for agent in range(self.size):
                counts = self.counts[agent]
                counts[name, "throttled"] += int(refused_count[agent])
                counts[name, "faulted"] += int(failed[agent])
                counts[name, "fulfilled"] += int(served[agent])
                times = self.rng.lognormal(math.log(40.0 * self.slowness[agent] * load), 0.5, int(served[agent]))
                if new[agent] and "slower" in self.behaviour:
                    times *= np.where(self.rng.random(times.size) < 0.03, 5.0, 1.0)
                # The agent's histogram stores two significant digits.
                digits = 10.0 ** np.floor(np.log10(np.maximum(times, 1.0)) - 1.0)
                self.times[agent][name].update((np.round(times / digits) * digits).astype(int).tolist())
        return taken_by_changed


def _quantile(times: Counter[int], fraction: float) -> int:
    remaining = fraction * times.total()
    for value in sorted(times):
        remaining -= times[value]
        if remaining <= 0:
            return value
    return 0


class FixedCheck:
    """The fixed check on the same streams: compares the figures of a whole stage once, at its end."""

    def __init__(self, streams: RequestStreams) -> None:
        self.streams = streams
        self.start_stage()

    def start_stage(self) -> None:
        self.counts = [each.copy() for each in self.streams.counts]
        self.times = [{name: times.copy() for name, times in each.items()} for each in self.streams.times]

    def is_worse(self, new: np.ndarray) -> bool:
        for name, *_ in CLASSES:
            refused_shares, p99 = [], []
            for side in (np.flatnonzero(new), np.flatnonzero(~new)):
                counts, times = Counter[str](), Counter[int]()
                for agent in side:
                    for (class_name, result), count in (self.streams.counts[agent] - self.counts[agent]).items():
                        if class_name == name:
                            counts[result] += count
                    times += self.streams.times[agent][name] - self.times[agent][name]
                refused_shares.append((counts.total() - counts["fulfilled"]) / max(1, counts.total()))
                p99.append(_quantile(times, 0.99))
            if refused_shares[0] > refused_shares[1] + 0.02 or p99[0] > 1.5 * p99[1]:
                return True
        return False


def play(job: tuple[int, int, tuple[int | str, ...], float, str]) -> Outcome:
    """Run one rollout with both methods: the program's state machine, and the fixed check at each stage's end."""
    seed, size, stages, spread, behaviour = job
    old, new = Revision("old", ("x",), "", "0"), Revision("new", ("y",), "", "0")
    names = [f"a{n}" for n in range(size)]
    plan = Plan(
        old,
        new,
        tuple(Stage(each, BAKE_S) for each in stages),
        tuple(Agent(name, f"127.0.0.1:{n + 1}") for n, name in enumerate(names)),
        surge=max(1, size // 10),
        settle=10.0,
    )
    outcome = Outcome({}, {}, {})
    streams, state = RequestStreams(seed, size, spread, behaviour), RolloutState("c", plan)
    machine, now, exposed = RolloutStateMachine(state, 0.0), 0.0, 0
    running, desired = [old.ident] * size, [""] * size
    fixed_check, settled_at, check_stopped, stage = FixedCheck(streams), 0.0, False, 0
    while state.phase == "forward":
        now += STEP_S
        changed = np.array([each == new.ident for each in running])
        exposed += streams.step(now, changed)
        statuses = {
            name: AgentStatus(
                now,
                running[n],
                True,
                desired=desired[n],
                sample=Sample(
                    f"{n}.{streams.restarts[n]}",
                    running[n],
                    now,
                    dict(streams.counts[n]),
                    {class_name: dict(times) for class_name, times in streams.times[n].items()},
                ),
            )
            for n, name in enumerate(names)
        }
        orders = machine.step(now, statuses)
        if state.stage != stage or state.phase != "forward":  # the stage has ended: run the fixed check
            if (
                not check_stopped
                and 0 < changed.sum() < size
                and state.phase != "back"
                and fixed_check.is_worse(changed)
            ):
                check_stopped = True
                outcome.exposed["check"], outcome.stopped_after["check"] = exposed, now
            stage = state.stage
        for order in orders:
            n = int(order.agent[1:])
            running[n], desired[n] = order.revision, order.revision
            streams.restart(n)
            settled_at = now
        if orders or now - settled_at <= 10.0:
            fixed_check.start_stage()
    outcome.stopped["analysis"] = state.phase == "back"
    outcome.exposed["analysis"], outcome.stopped_after["analysis"] = exposed, now
    outcome.stopped["check"] = check_stopped
    if state.phase == "back" and not check_stopped:  # stopped before the fixed check: simulate the rest of its bake
        changed_count = int(changed.sum())
        while now - settled_at < BAKE_S + 10.0:
            now += STEP_S
            exposed += streams.step(now, changed)
        if 0 < changed_count < size:
            outcome.stopped["check"] = fixed_check.is_worse(changed)
        outcome.exposed["check"], outcome.stopped_after["check"] = exposed, now
    outcome.exposed.setdefault("check", exposed)
    outcome.stopped_after.setdefault("check", now)
    return outcome


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--out", type=Path)
    parser.add_argument("--processes", type=int, default=4)
    arguments = parser.parse_args()
    rows = []
    with Pool(arguments.processes) as pool:
        for size, stages in FLEETS:
            for behaviour in BEHAVIOURS:
                for spread in SPREADS:
                    seeds = arguments.seeds if behaviour == "equal" else max(1, arguments.seeds // 5)
                    outcomes = pool.map(play, [(seed, size, stages, spread, behaviour) for seed in range(seeds)], 1)
                    row = [str(size), behaviour, f"{spread:g}"]
                    for method in ("analysis", "check"):
                        stopped = [outcome for outcome in outcomes if outcome.stopped[method]]
                        row += [f"{len(stopped)} of {len(outcomes)}"]
                        for values in (
                            [outcome.exposed for outcome in stopped],
                            [outcome.stopped_after for outcome in stopped],
                        ):
                            row.append(f"{np.median([value[method] for value in values]):.0f}" if values else "-")
                    rows.append(row)
                    print(*row, sep=" | ", flush=True)
    columns = ["agents", "new version", "spread", "analysis stops", "exposed", "s", "check stops", "exposed", "s"]
    if arguments.out:
        heading = [
            "# Rollout of a worse version: the analysis compared with a fixed check after bake",
            "",
            f"`python -m benchmarks.rollout --seeds {arguments.seeds}`. Simulated figures on a virtual clock, not "
            "processes; medians over the runs that stopped. `exposed`: requests that changed agents took until "
            "then. Rows `equal`: false stops. The check finds every worse version because it stops half or more of "
            "all rollouts, equal ones too: a p99 of few answers is mostly noise.",
            "",
        ]
        arguments.out.write_text("\n".join([*heading, "```", *table(columns, rows), "```"]) + "\n")


if __name__ == "__main__":
    main()
