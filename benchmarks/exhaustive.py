"""The planner against an exhaustive search on random problems, in parallel processes.

    python -m benchmarks.exhaustive [CASES] [FIRST]

Prints how many problems had a plan, how many had none, and any case in which the two differ.
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
    began = time.perf_counter()
    true = best(problem)
    searched = time.perf_counter() - began
    began = time.perf_counter()
    try:
        plan = solve(problem)
    except InfeasibleError:
        plan = None
    solved = time.perf_counter() - began
    if plan is None or true is None:
        told = "none" if plan is true is None else f"seed {seed}: one found a plan, the other did not"
    elif key(problem, plan) != true[0] or check(problem, plan):
        told = f"seed {seed}: the plans differ"
    else:
        told = "plan"
    return told, len(problem.desks), searched, solved


def main(cases: int, first: int) -> int:
    with ProcessPoolExecutor() as pool:
        done = list(pool.map(case, range(first, first + cases), chunksize=20))
    told = [one[0] for one in done]
    for line in told:
        if line.startswith("seed"):
            print(line)
    same = told.count("plan") + told.count("none")
    print(f"{same} of {cases} identical: {told.count('plan')} with a plan, {told.count('none')} without")
    print("by desks: " + ", ".join(f"{n}: {[one[1] for one in done].count(n)}" for n in range(1, 9)))
    print(f"solver {sum(one[3] for one in done):.1f} s, search {sum(one[2] for one in done):.1f} s")
    return int(same != cases)


if __name__ == "__main__":
    sys.exit(main(*(int(one) for one in (sys.argv[1:] + ["4000", "10000"][len(sys.argv) - 1 :]))))
