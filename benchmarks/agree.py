"""Charters on a virtual fleet: how long they take to come in force, and how long agents contradict each other.

    .venv/bin/python -m benchmarks.agree times --out docs/results/agree.md      # about ten minutes on three cores
    .venv/bin/python -m benchmarks.agree runs --seeds 1000                      # random faults, counted only

Members and agents are the program's own (`tests/council.py` carries them: a message takes 0.05 s on average, all
look at what came every 0.1 s). Beside them: today's way, each agent reading a changed file at its own time (READ is
assumed: within how long people tell agents to read it), and gossip in which the last writer wins (each agent
tells one other five times a second, same loss). Contradiction is counted from the first agent that acts on the
new rules to the last that acts on the old; of an agent cut off, as long as it was watched.
"""

from __future__ import annotations

import argparse
import random
import statistics
from multiprocessing import Pool
from pathlib import Path

from seamlb.agree.holder import LeaseState
from seamlb.planning.words import table
from tests.council import LEASE, TICK, World
from tests.faults import inject_faults, newest_version, recover

READ = 60.0  # seconds within which all agents have been told to read a file of settings
MOST = 60.0  # seconds that are watched


def charter(job: tuple[int, float, bool, int]) -> tuple[list[float], float, float]:
    """Seconds to in force by agent, seconds of contradiction, bytes a second an agent while nothing changes."""
    agents, loss, cut, seed = job
    world = World(seed, agents, min(5, agents), loss)
    world.run(3 * LEASE)
    world.bytes, began = 0, world.now
    world.run(10.0)
    rate = world.bytes / agents / (world.now - began)
    last = f"a{agents - 1:03}"
    if cut:
        world.is_cut = lambda a, b: (last in (a, b)) and a != b
    began, number = world.now, newest_version(world).number + 1
    times: dict[str, float] = {}
    world.propose("a000", newest_version(world).with_values(limit=20))
    while len(times) < agents - cut and world.now - began < MOST:
        world.step()
        for name, node in world.nodes.items():
            if (
                name not in times
                and node.holder.newest.number == number
                and (node.holder.lease_state(world.now * node.clock_rate) is LeaseState.IN_FORCE)
            ):
                times[name] = world.now - began
    contradict = len({line.split(":")[0] for line in world.violations}) * TICK
    found = sorted(times.values()) + [MOST] * (agents - cut - len(times))
    return found, contradict, rate


def files(job: tuple[int, float, bool, int]) -> float:
    """Today's way: from the first agent that has read the new file to the last."""
    agents, _, cut, seed = job
    rng = random.Random(seed)
    times = [rng.uniform(0.0, READ) for _ in range(agents)]
    return MOST if cut else max(times) - min(times)


def gossip(job: tuple[int, float, bool, int]) -> float:
    """The last writer wins: from the first that knows the new rules to the last."""
    agents, loss, cut, seed = job
    rng, knows, now = random.Random(seed), {0}, 0.0
    while len(knows) < agents - cut and now < MOST:
        now += 0.2
        told = {rng.randrange(agents - cut) for _ in knows if rng.random() >= loss}
        knows |= told
    return MOST if cut else now


def run(job: tuple[int, int]) -> tuple[int, int, bool]:
    """Random faults for 30 s, then rest: contradictions, charters, is all in force again?"""
    agents, seed = job
    world = World(seed, agents, 5 if agents > 5 else 3, loss=0.1)
    inject_faults(world, random.Random(seed), 30.0)
    recover(world)
    return (
        len(world.violations),
        newest_version(world).number - 1,
        world.count_in_force(newest_version(world).number) == agents,
    )


def quantile(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * part))]


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
            rows.append(["agents", "runs", "contradictions or two charters", "charters in force", "not at rest"])
            for agents in args.agents:
                ends = pool.map(run, [(agents, seed) for seed in range(args.seeds)], chunksize=1)
                rows.append(
                    [
                        str(agents),
                        str(len(ends)),
                        str(sum(end[0] for end in ends)),
                        str(sum(end[1] for end in ends)),
                        str(sum(not end[2] for end in ends)),
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
                    "contradiction: charters s",
                    "file s",
                    "gossip s",
                    "bytes/s an agent",
                ]
            )
            for agents in args.agents:
                for loss, cut in ((0.0, False), (0.3, False), (0.0, True)):
                    jobs = [(agents, loss, cut, seed) for seed in range(args.seeds)]
                    ends3 = pool.map(charter, jobs, chunksize=1)
                    times = [at for end in ends3 for at in end[0]]
                    rows.append(
                        [
                            str(agents),
                            f"{loss:.0%}",
                            "yes" if cut else "no",
                            f"{quantile(times, 0.5):.1f}",
                            f"{quantile(times, 0.99):.1f}",
                            f"{max(end[1] for end in ends3):.1f}",
                            f"{statistics.median(map(files, jobs)):.1f}",
                            f"{statistics.median(map(gossip, jobs)):.1f}",
                            f"{statistics.mean(end[2] for end in ends3):.0f}",
                        ]
                    )
    lines = table(rows[0], rows[1:])
    print(*lines, sep="\n")
    if args.out:
        args.out.write_text(
            "\n".join(
                [
                    "# Charters on a virtual fleet",
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
