"""Compares the planner with an exhaustive search on random problems, in parallel processes.

    python -m benchmarks.exhaustive [CASES] [FIRST]

Prints the number of problems with and without a plan, and each case in which the two results differ.
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor

from seamlb.planning.check import check
from seamlb.planning.solve import InfeasibleError, solve
from tests.exhaustive import best, random_problem
from tests.test_planning import key


def case(seed: int) -> tuple[str, int, float, float]:
    problem = random_problem(seed)
    started_at = time.perf_counter()
    optimum = best(problem)
    search_s = time.perf_counter() - started_at
    started_at = time.perf_counter()
    try:
        plan = solve(problem)
    except InfeasibleError:
        plan = None
    solve_s = time.perf_counter() - started_at
    if plan is None or optimum is None:
        verdict = "none" if plan is optimum is None else f"seed {seed}: only one of the two found a plan"
    elif key(problem, plan) != optimum[0] or check(problem, plan):
        verdict = f"seed {seed}: the plans differ"
    else:
        verdict = "plan"
    return verdict, len(problem.desks), search_s, solve_s


def main(cases: int, first: int) -> int:
    with ProcessPoolExecutor() as pool:
        done = list(pool.map(case, range(first, first + cases), chunksize=20))
    verdicts = [each[0] for each in done]
    for line in verdicts:
        if line.startswith("seed"):
            print(line)
    identical = verdicts.count("plan") + verdicts.count("none")
    print(f"{identical} of {cases} identical: {verdicts.count('plan')} with a plan, {verdicts.count('none')} without")
    print("by desks: " + ", ".join(f"{n}: {[each[1] for each in done].count(n)}" for n in range(1, 9)))
    print(f"solver {sum(each[3] for each in done):.1f} s, search {sum(each[2] for each in done):.1f} s")
    return int(identical != cases)


if __name__ == "__main__":
    sys.exit(main(*(int(argument) for argument in (sys.argv[1:] + ["4000", "10000"][len(sys.argv) - 1 :]))))
