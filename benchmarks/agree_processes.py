"""Agreed configuration versions among real processes on loopback, and under all fault schedules of a given depth.

    .venv/bin/python -m benchmarks.agree_processes processes --times 20    # five agents, three of them voting
    .venv/bin/python -m benchmarks.agree_processes schedules --depth 4     # four agents on the virtual clock

`processes` measures, from the agents' logs, the time from the proposal until the last agent applies the version as in
force, in leases of half of `within`: without a fault, with one voting member killed, and with one agent cut off (then
for the other agents). `schedules` counts the schedules that lead to a contradiction.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from multiprocessing import Pool
from pathlib import Path

from seamlb.planning.reports import table
from tests.agree_site import WITHIN, Site, boottime
from tests.schedules import run_schedule, schedules


async def proposals(times: int, fault: str) -> tuple[list[float], float]:
    """Seconds until each version is in force everywhere, and seconds of contradiction."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder))
        delays: list[float] = []
        try:
            await site.start()
            await site.wait_for_all(1)
            excluded = ["a4"] if fault == "cut off" else ["a1"] if fault == "killed" else []
            if fault == "killed":
                await site.kill("a1")
            if fault == "cut off":
                site.isolate({"a4"})
            for number in range(2, times + 2):
                started_at = boottime()
                await site.propose("a0", open=10 + number % 90)
                await site.wait_for_all(number, *excluded)
                applied_at = [
                    entry["since"]
                    for name in site.names
                    if name not in excluded
                    for entry in site.lines(name, "agree_acts")
                    if entry["charter"] == number and entry["stance"] == "in force"
                ]
                delays.append(max(applied_at) - started_at)
            return delays, site.audit()
        finally:
            await site.stop()


def run_one(schedule: tuple[str, ...]) -> tuple[bool, set[tuple[object, ...]]]:
    states: set[tuple[object, ...]] = set()
    return bool(run_schedule(schedule, states).violations), states


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["processes", "schedules"])
    parser.add_argument("--times", type=int, default=20)
    parser.add_argument("--depth", type=int, default=4)
    parser.add_argument("--procs", type=int, default=3)
    args = parser.parse_args()
    if args.what == "schedules":
        seen: set[tuple[object, ...]] = set()
        violating = count = 0
        with Pool(args.procs) as pool:
            for violated, states in pool.imap_unordered(run_one, schedules(args.depth), chunksize=20):
                seen |= states
                violating, count = violating + violated, count + 1
        rows = [[str(args.depth), str(count), str(len(seen)), str(violating)]]
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
    columns = ["fault", "proposals", "in force after: p50 leases", "max leases", "contradiction s"]
    print(*table(columns, rows), sep="\n")


if __name__ == "__main__":
    main()
