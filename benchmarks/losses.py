"""What mending a plan loses beside solving anew without the lost desk, and the time of both.

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
LOSSES = 4  # desks of the largest load, each lost alone
OUT = Path(__file__).resolve().parent.parent / "docs" / "results" / "losses.md"


def best_worth(made: Problem) -> int:
    """The best worth that any placement has, proven."""
    search, program = Search(made, INFINITE, lambda line: None), build(made, by_district=False)
    return search.solve_stage("worth", program, program.worth(), lambda placement: search.evaluate(placement).worth)


def measure(size: tuple[int, int, int]) -> list[str]:
    made = problem(*size)
    plan = solve(made, 20.0)
    mender = Repair(made, plan)
    whole = {desk: made.capacity(desk, given) for desk, given in made.classes_by_desk(plan.placement).items()}
    rows = []
    for lost in sorted(whole, key=lambda desk: (-whole[desk], desk))[:LOSSES]:
        began = time.perf_counter()
        mended = mender.reroute(whole | {lost: 0}).worth
        first = time.perf_counter() - began
        began = time.perf_counter()
        anew = best_worth(replace(made, desks=tuple(one for one in made.desks if one.name != lost)))
        second = time.perf_counter() - began
        rows.append(
            f"| {'x'.join(map(str, size))} | {lost} | {mended} | {anew} | {100 * (1 - mended / anew):.2f} "
            f"| {1000 * first:.1f} | {1000 * second:.0f} |"
        )
    return rows


if __name__ == "__main__":
    lines = [
        "`python -m benchmarks.losses`: the plan's placement mended, and the best worth of any without "
        "the lost desk (worth alone; a whole solve takes longer).",
        "",
        "| desks, classes, districts | lost | mended | solved anew | mending loses, % | mend, ms | solve, ms |",
        "|" + " --- |" * 7,
    ]
    for one in SIZES:
        lines += measure(one)
    OUT.write_text("\n".join(lines) + "\n")
    print(OUT.read_text())
