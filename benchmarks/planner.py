"""Solve and repair times by problem size; each size runs in a process of its own to measure its memory.

python -m benchmarks.planner [TIME_LIMIT]     # seconds per size; writes docs/results/planner.{csv,md,svg}
"""

import csv
import random
import resource
import statistics
import sys
import time
from multiprocessing import get_context
from pathlib import Path

from benchmarks.problems import problem
from seamlb.planning.model import Objective, Plan
from seamlb.planning.placement_flows import optimal_flows
from seamlb.planning.repair import Repair
from seamlb.planning.solve import OutOfTimeError, solve

SIZES = [(7, 3, 4), (15, 3, 4), (30, 5, 4), (50, 5, 8), (100, 10, 4), (100, 10, 20), (200, 10, 20)]
OUT = Path(__file__).resolve().parent.parent / "docs" / "results"


def measure(size: tuple[int, int, int], limit: float) -> dict[str, object]:
    instance = problem(*size)
    started_at = time.perf_counter()
    try:
        plan = solve(instance, limit)
        proven = f"{len(plan.proven)} of 5" if plan.status != "optimal" else "all"
    except OutOfTimeError:
        plan, proven = None, "no plan in time"
    solve_s = time.perf_counter() - started_at
    if plan is None:  # any placement serves to measure the repair time
        rng = random.Random(2)
        placement = frozenset((d.name, k) for d in instance.desks for k in rng.sample(sorted(d.skills), 2))
        plan = Plan(placement, optimal_flows(instance, placement, exact=False), Objective(0, 0, 0, 0), "stopped")
    repair = Repair(instance, plan)
    capacities = {
        desk: instance.capacity(desk, skills) for desk, skills in instance.classes_by_desk(plan.placement).items()
    }
    times, worth_shares = [], []
    full_worth = repair.reroute(capacities).worth
    for lost in sorted(capacities)[:20]:
        started_at = time.perf_counter()
        worth_shares.append(repair.reroute(capacities | {lost: 0}).worth / max(1, full_worth))
        times.append(time.perf_counter() - started_at)
    return {
        "desks": size[0],
        "classes": size[1],
        "districts": size[2],
        "solve_s": round(solve_s, 2),
        "proven": proven,
        "nodes": plan.nodes,
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
        "repair_ms": round(1000 * statistics.median(times), 2),
        "repair_worst_ms": round(1000 * max(times), 2),
        "worth_kept": round(min(worth_shares), 4),
        "solve_over_repair": round(solve_s / statistics.median(times)),
    }


def main(limit: float) -> None:
    rows = []
    for size in SIZES:
        with get_context("spawn").Pool(1) as pool:
            rows.append(pool.apply(measure, (size, limit)))
        print(rows[-1], flush=True)
    OUT.mkdir(parents=True, exist_ok=True)
    provenance = f"`python -m benchmarks.planner {limit:g}`: one process per size, time limit {limit:g} s, seed 1"
    with (OUT / "planner.csv").open("w", newline="") as file:
        file.write(f"# {provenance}\n")
        writer = csv.DictWriter(file, rows[0].keys(), lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)
    lines = [provenance, "", "| " + " | ".join(rows[0]) + " |", "|" + " --- |" * len(rows[0])]
    lines += ["| " + " | ".join(str(v) for v in row.values()) + " |" for row in rows]
    (OUT / "planner.md").write_text("\n".join(lines) + "\n")
    chart(rows, provenance)


def chart(rows: list[dict[str, object]], provenance: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "seamlb"
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(8, 4))
    names = [f"{row['desks']}x{row['classes']}x{row['districts']}" for row in rows]
    axis.plot(names, [float(str(row["solve_s"])) for row in rows], "o-", label="solve, s")
    axis.plot(names, [float(str(row["repair_ms"])) / 1000 for row in rows], "s-", label="repair, s")
    axis.set_yscale("log")
    axis.set_xlabel("desks x classes x districts")
    axis.legend()
    figure.text(0.01, 0.005, provenance, fontsize=6)
    figure.tight_layout(rect=(0, 0.03, 1, 1))
    figure.savefig(OUT / "planner.svg", metadata={"Date": None, "Creator": None})


if __name__ == "__main__":
    main(float(sys.argv[1]) if len(sys.argv) > 1 else 60.0)
