"""Membership by gossip compared with an all-to-all heartbeat, on a virtual network.

    .venv/bin/python -m benchmarks.members --seeds 5 --out docs/results/members.md

Gossip is the program's own protocol in its wire format, on the simulated network of `tests/virtual_network.py` (20 ms
mean delay, loss as given). With the heartbeat, each instance sends 60 bytes to every other one each second, and is
considered dead by an instance that has not received any for 5 s.
"""

from __future__ import annotations

import argparse
import random
import statistics
from multiprocessing import Pool
from pathlib import Path

from seamlb.planning.reports import table
from tests.virtual_network import VirtualNetwork

CASES = ((5, 0.0), (5, 0.1), (5, 0.3), (50, 0.0), (50, 0.1), (50, 0.3), (200, 0.0), (200, 0.1))
WATCH_S = 60.0  # in which no instance dies: every suspicion is false
HEARTBEAT_BYTES, MISSED_BEATS = 60, 5


def gossip(job: tuple[int, float, int]) -> tuple[float, float, int, int, float]:
    """Seconds until the first and the last instance know, false suspicions, false deaths, bytes/s per instance."""
    size, loss, seed = job
    names = {f"i{n}" for n in range(size)}
    net = VirtualNetwork(size, seed=seed, loss=loss)
    net.run_until_converged(names)
    net.run(10.0)
    net.logged.clear()
    net.bytes_sent.clear()
    net.run(WATCH_S)
    rate = net.bytes_sent.total() / size / WATCH_S
    suspected, dead = (
        len(net.events("member_suspect")),
        {facts["name"] for *_, event, facts in net.logged if event == "member_dead"},
    )
    net.run_until_converged(names)
    net.logged.clear()
    started_at = net.now
    net.kill("i3")
    net.run_until_converged(names - {"i3"})
    delays = [at - started_at for at, _ in net.events("member_dead", "i3")]
    return min(delays), max(delays), suspected, len(dead), rate


def heartbeat(job: tuple[int, float, int]) -> tuple[float, float, int, int, float]:
    """The same figures for the heartbeat, simulated beat by beat."""
    size, loss, seed = job
    rng = random.Random(seed)
    accused = set()
    for instance in range(size):
        for _ in range(size - 1):
            missed = 0
            for _ in range(int(WATCH_S)):
                missed = missed + 1 if rng.random() < loss else 0
                if missed == MISSED_BEATS:
                    accused.add(instance)
    delays = [MISSED_BEATS - rng.random() for _ in range(size - 1)]  # after the last beat that was due
    return min(delays), max(delays), 0, len(accused), float(HEARTBEAT_BYTES * (size - 1))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--out", type=Path)
    arguments = parser.parse_args()
    rows = []
    with Pool(arguments.processes) as pool:
        for size, loss in CASES:
            for name, protocol in (("gossip", gossip), ("heartbeat", heartbeat)):
                got = pool.map(protocol, [(size, loss, seed) for seed in range(arguments.seeds)], 1)
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
        "protocol",
        "first knows s",
        "all know s",
        "false suspicions",
        "false deaths",
        "bytes/s each",
    ]
    if arguments.out:
        lines = [
            "# Membership: gossip compared with an all-to-all heartbeat",
            "",
            f"`python -m benchmarks.members --seeds {arguments.seeds}`, a virtual network. Times: medians over the "
            "seeds after one instance is killed; false: sums over all seeds, each of "
            f"{WATCH_S:g} s in which no instance died.",
            "",
            "```",
            *table(heads, rows),
            "```",
        ]
        arguments.out.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
