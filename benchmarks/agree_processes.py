"""Agreed versions of real processes on loopback, and all schedules of faults on a virtual clock, counted.

    .venv/bin/python -m benchmarks.agree_processes processes --times 20    # five agents, three of them the council
    .venv/bin/python -m benchmarks.agree_processes schedules --depth 4     # four agents on the virtual clock

Of processes: from the call that proposes to the moment at which the last agent acts on the charter as in force, as
agents' logs have it, in leases of half of `within`; one member killed; one agent that nobody hears (the others').
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from multiprocessing import Pool
from pathlib import Path

from seamlb.planning.words import table
from tests.agreed import WITHIN, Site, boottime
from tests.schedules import run_schedule, schedules


async def proposals(times: int, fault: str) -> tuple[list[float], float]:
    """Seconds to in force everywhere, and seconds of contradiction."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder))
        found: list[float] = []
        try:
            await site.start()
            await site.wait_for_all(1)
            but = ["a4"] if fault == "cut off" else ["a1"] if fault == "killed" else []
            if fault == "killed":
                await site.kill("a1")
            if fault == "cut off":
                site.isolate({"a4"})
            for number in range(2, times + 2):
                began = boottime()
                await site.propose("a0", open=10 + number % 90)
                await site.wait_for_all(number, *but)
                acts = [
                    one["since"]
                    for name in site.names
                    if name not in but
                    for one in site.lines(name, "agree_acts")
                    if one["charter"] == number and one["stance"] == "in force"
                ]
                found.append(max(acts) - began)
            return found, site.audit()
        finally:
            await site.stop()


def one(schedule: tuple[str, ...]) -> tuple[bool, set[tuple[object, ...]]]:
    seen: set[tuple[object, ...]] = set()
    return bool(run_schedule(schedule, seen).violations), seen


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["processes", "schedules"])
    parser.add_argument("--times", type=int, default=20)
    parser.add_argument("--depth", type=int, default=4)
    parser.add_argument("--procs", type=int, default=3)
    args = parser.parse_args()
    if args.what == "schedules":
        seen: set[tuple[object, ...]] = set()
        broken = count = 0
        with Pool(args.procs) as pool:
            for bad, states in pool.imap_unordered(one, schedules(args.depth), chunksize=20):
                seen |= states
                broken, count = broken + bad, count + 1
        rows = [[str(args.depth), str(count), str(len(seen)), str(broken)]]
        print(*table(["steps", "schedules", "states", "with a contradiction"], rows), sep="\n")
        return
    rows = []
    for fault in ("none", "killed", "cut off"):
        times, contradiction = asyncio.run(proposals(args.times, fault))
        times.sort()
        rows.append(
            [
                fault,
                str(len(times)),
                f"{times[len(times) // 2] / (WITHIN / 2):.2f}",
                f"{times[-1] / (WITHIN / 2):.2f}",
                f"{contradiction:.1f}",
            ]
        )
    head = ["fault", "proposals", "in force after: p50 leases", "most leases", "contradiction s"]
    print(*table(head, rows), sep="\n")


if __name__ == "__main__":
    main()
