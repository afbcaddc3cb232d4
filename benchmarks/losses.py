"""Worth lost by repairing a plan instead of solving again without the lost desk, and the time of both.

python -m benchmarks.losses      # writes docs/results/losses.md
"""

import time
from dataclasses import replace
from pathlib import Path

from benchmarks.problems import problem
from seamlb.planning.model import Problem
from seamlb.planning.program import INFINITE, build
from seamlb.planning.repair import Repair
from seamlb.planning.solve import Search, solve

SIZES = [(7, 3, 4), (15, 3, 4), (30, 5, 4), (50, 5, 8)]
LOSSES = 4  # the desks with the largest load, each lost alone
OUT = Path(__file__).resolve().parent.parent / "docs" / "results" / "losses.md"


def best_worth(instance: Problem) -> int:
    """The proven optimum of the worth over all placements."""
    search, program = Search(instance, INFINITE, lambda line: None), build(instance, by_district=False)
    return search.solve_stage("worth", program, program.worth(), lambda placement: search.evaluate(placement).worth)


def measure(size: tuple[int, int, int]) -> list[str]:
    instance = problem(*size)
    plan = solve(instance, 20.0)
    repair = Repair(instance, plan)
    capacities = {
        desk: instance.capacity(desk, skills) for desk, skills in instance.classes_by_desk(plan.placement).items()
    }
    rows = []
    for lost in sorted(capacities, key=lambda desk: (-capacities[desk], desk))[:LOSSES]:
        started_at = time.perf_counter()
        repaired = repair.reroute(capacities | {lost: 0}).worth
        repair_s = time.perf_counter() - started_at
        started_at = time.perf_counter()
        resolved = best_worth(replace(instance, desks=tuple(other for other in instance.desks if other.name != lost)))
        solve_s = time.perf_counter() - started_at
        rows.append(
            f"| {'x'.join(map(str, size))} | {lost} | {repaired} | {resolved} "
            f"| {100 * (1 - repaired / resolved):.2f} | {1000 * repair_s:.1f} | {1000 * solve_s:.0f} |"
        )
    return rows


if __name__ == "__main__":
    lines = [
        "`python -m benchmarks.losses`: the plan's placement repaired, and the best worth of any placement without "
        "the lost desk (worth only; a complete solve takes longer).",
        "",
        "| desks, classes, districts | lost | repaired | solved again | repair loses, % | repair, ms | solve, ms |",
        "|" + " --- |" * 7,
    ]
    for size in SIZES:
        lines += measure(size)
    OUT.write_text("\n".join(lines) + "\n")
    print(OUT.read_text())
