"""Agreed configuration versions on a virtual fleet: time until in force, and duration of contradictions.

    .venv/bin/python -m benchmarks.agree times --out docs/results/agree.md      # about ten minutes on three cores
    .venv/bin/python -m benchmarks.agree runs --seeds 1000                      # random faults, counted only

Voting members and agents are the program's own, on the simulated network of `tests/agree_simulation.py`: a message
takes 0.05 s on average, and each node processes its messages every 0.1 s. They are compared with two alternatives:
each agent reads a changed file at a time of its own (`READ_WITHIN_S` is an assumption about how soon operators reload
all agents), and last-writer-wins gossip (each agent sends to one other agent five times per second, with the same
loss).
A contradiction lasts from the first agent that applies the new version to the last one that applies the old; for an
agent that is cut off, it is counted for as long as the run is watched.
"""

from __future__ import annotations

import argparse
import random
import statistics
from multiprocessing import Pool
from pathlib import Path

from seamlb.agree.lease import LeaseState
from seamlb.planning.reports import table
from tests.agree_faults import inject_faults, newest_version, recover
from tests.agree_simulation import LEASE, TICK, World

READ_WITHIN_S = 60.0  # within which all agents reload a changed settings file
MAX_WATCH_S = 60.0  # how long a run is watched


def agreed_version(job: tuple[int, float, bool, int]) -> tuple[list[float], float, float]:
    """Seconds to in force by agent, seconds of contradiction, and idle traffic in bytes per second and agent."""
    agents, loss, cut_off, seed = job
    world = World(seed, agents, min(5, agents), loss)
    world.run(3 * LEASE)
    world.bytes, started_at = 0, world.now
    world.run(10.0)
    rate = world.bytes / agents / (world.now - started_at)
    isolated = f"a{agents - 1:03}"
    if cut_off:
        world.is_cut = lambda a, b: (isolated in (a, b)) and a != b
    started_at, number = world.now, newest_version(world).number + 1
    times: dict[str, float] = {}
    world.propose("a000", newest_version(world).with_values(limit=20))
    while len(times) < agents - cut_off and world.now - started_at < MAX_WATCH_S:
        world.step()
        for name, node in world.nodes.items():
            if (
                name not in times
                and node.holder.newest.number == number
                and (node.holder.lease_state(world.now * node.clock_rate) is LeaseState.IN_FORCE)
            ):
                times[name] = world.now - started_at
    contradiction = len({line.split(":")[0] for line in world.violations}) * TICK
    delays = sorted(times.values()) + [MAX_WATCH_S] * (agents - cut_off - len(times))
    return delays, contradiction, rate


def file_reading(job: tuple[int, float, bool, int]) -> float:
    """Files: seconds from the first agent that has read the new file to the last."""
    agents, _, cut_off, seed = job
    rng = random.Random(seed)
    times = [rng.uniform(0.0, READ_WITHIN_S) for _ in range(agents)]
    return MAX_WATCH_S if cut_off else max(times) - min(times)


def gossip(job: tuple[int, float, bool, int]) -> float:
    """Last-writer-wins gossip: seconds from the first agent that knows the new version to the last."""
    agents, loss, cut_off, seed = job
    rng, informed_agents, now = random.Random(seed), {0}, 0.0
    while len(informed_agents) < agents - cut_off and now < MAX_WATCH_S:
        now += 0.2
        informed = {rng.randrange(agents - cut_off) for _ in informed_agents if rng.random() >= loss}
        informed_agents |= informed
    return MAX_WATCH_S if cut_off else now


def run(job: tuple[int, int]) -> tuple[int, int, bool]:
    """Random faults for 30 s, then recovery: contradictions, versions, whether the newest is in force everywhere."""
    agents, seed = job
    world = World(seed, agents, 5 if agents > 5 else 3, loss=0.1)
    inject_faults(world, random.Random(seed), 30.0)
    recover(world)
    return (
        len(world.violations),
        newest_version(world).number - 1,
        world.count_in_force(newest_version(world).number) == agents,
    )


def quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["times", "runs"])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--agents", type=int, nargs="+", default=[5, 50, 200])
    parser.add_argument("--out", type=Path)
    parser.add_argument("--procs", type=int, default=3)
    args = parser.parse_args()
    rows: list[list[str]] = []
    with Pool(args.procs) as pool:
        if args.what == "runs":
            rows.append(["agents", "runs", "contradictions or two versions", "versions in force", "not recovered"])
            for agents in args.agents:
                results = pool.map(run, [(agents, seed) for seed in range(args.seeds)], chunksize=1)
                rows.append(
                    [
                        str(agents),
                        str(len(results)),
                        str(sum(result[0] for result in results)),
                        str(sum(result[1] for result in results)),
                        str(sum(not result[2] for result in results)),
                    ]
                )
        else:
            rows.append(
                [
                    "agents",
                    "loss",
                    "one cut off",
                    "in force: p50 s",
                    "p99 s",
                    "contradiction: agreed s",
                    "file s",
                    "gossip s",
                    "bytes/s an agent",
                ]
            )
            for agents in args.agents:
                for loss, cut_off in ((0.0, False), (0.3, False), (0.0, True)):
                    jobs = [(agents, loss, cut_off, seed) for seed in range(args.seeds)]
                    times_results = pool.map(agreed_version, jobs, chunksize=1)
                    times = [at for result in times_results for at in result[0]]
                    rows.append(
                        [
                            str(agents),
                            f"{loss:.0%}",
                            "yes" if cut_off else "no",
                            f"{quantile(times, 0.5):.1f}",
                            f"{quantile(times, 0.99):.1f}",
                            f"{max(result[1] for result in times_results):.1f}",
                            f"{statistics.median(map(file_reading, jobs)):.1f}",
                            f"{statistics.median(map(gossip, jobs)):.1f}",
                            f"{statistics.mean(result[2] for result in times_results):.0f}",
                        ]
                    )
    lines = table(rows[0], rows[1:])
    print(*lines, sep="\n")
    if args.out:
        args.out.write_text(
            "\n".join(
                [
                    "# Agreed configuration versions on a virtual fleet",
                    "",
                    (__doc__ or "").strip(),
                    "",
                    f"Leases of {LEASE:g} s, {args.seeds} seeds.",
                    "",
                    "```",
                    *lines,
                    "```",
                ]
            )
            + "\n"
        )


if __name__ == "__main__":
    main()
