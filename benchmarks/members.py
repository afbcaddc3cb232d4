"""Membership by gossip beside a plain all-to-all heartbeat, on a virtual network.

    .venv/bin/python -m benchmarks.members --seeds 5 --out docs/results/members.md

Gossip is the program's own protocol with the wire's bytes (`tests/gossip.py` carries them: 20 ms mean delay, loss as
told). The heartbeat: each instance sends 60 bytes to each other one every second; who was not heard for 5 s is dead.
"""

from __future__ import annotations

import argparse
import random
import statistics
from multiprocessing import Pool
from pathlib import Path

from seamlb.planning.words import table
from tests.gossip import VirtualNetwork

CASES = ((5, 0.0), (5, 0.1), (5, 0.3), (50, 0.0), (50, 0.1), (50, 0.3), (200, 0.0), (200, 0.1))
WATCH = 60.0  # seconds in which nobody dies: every accusation is false
HEARTBEAT, BEATS = 60, 5


def gossip(job: tuple[int, float, int]) -> tuple[float, float, int, int, float]:
    """First to know, last to know, false suspicions, false deaths, bytes a second an instance."""
    size, loss, seed = job
    names = {f"i{n}" for n in range(size)}
    net = VirtualNetwork(size, seed=seed, loss=loss)
    net.run_until_converged(names)
    net.run(10.0)
    net.logged.clear()
    net.bytes_sent.clear()
    net.run(WATCH)
    rate = net.bytes_sent.total() / size / WATCH
    suspected, dead = (
        len(net.events("member_suspect")),
        {facts["name"] for *_, what, facts in net.logged if what == "member_dead"},
    )
    net.run_until_converged(names)
    net.logged.clear()
    began = net.now
    net.kill("i3")
    net.run_until_converged(names - {"i3"})
    told = [at - began for at, _ in net.events("member_dead", "i3")]
    return min(told), max(told), suspected, len(dead), rate


def heartbeat(job: tuple[int, float, int]) -> tuple[float, float, int, int, float]:
    """The same of the plain way, beat by beat."""
    size, loss, seed = job
    rng = random.Random(seed)
    false = set()
    for who in range(size):
        for _ in range(size - 1):
            missed = 0
            for _ in range(int(WATCH)):
                missed = missed + 1 if rng.random() < loss else 0
                if missed == BEATS:
                    false.add(who)
    told = [BEATS - rng.random() for _ in range(size - 1)]  # since the last beat that was due
    return min(told), max(told), 0, len(false), float(HEARTBEAT * (size - 1))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--out", type=Path)
    told = parser.parse_args()
    rows = []
    with Pool(told.processes) as pool:
        for size, loss in CASES:
            for name, way in (("gossip", gossip), ("heartbeat", heartbeat)):
                got = pool.map(way, [(size, loss, seed) for seed in range(told.seeds)], 1)
                columns = list(zip(*got, strict=True))
                rows.append(
                    [
                        str(size),
                        f"{100 * loss:.0f}",
                        name,
                        f"{statistics.median(columns[0]):.1f}",
                        f"{statistics.median(columns[1]):.1f}",
                        str(sum(columns[2])) if name == "gossip" else "-",
                        str(sum(columns[3])),
                        f"{statistics.median(columns[4]):.0f}",
                    ]
                )
                print(*rows[-1], sep=" | ", flush=True)
    heads = [
        "instances",
        "loss %",
        "way",
        "first knows s",
        "all know s",
        "false suspicions",
        "false deaths",
        "bytes/s each",
    ]
    if told.out:
        lines = [
            "# Membership: gossip beside an all-to-all heartbeat",
            "",
            f"`python -m benchmarks.members --seeds {told.seeds}`, a virtual network. Times: medians over the "
            "seeds after one instance is killed; false: sums over all seeds, each of "
            f"{WATCH:g} s in which nobody died.",
            "",
            "```",
            *table(heads, rows),
            "```",
        ]
        told.out.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
