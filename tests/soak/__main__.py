"""`python -m tests.soak --first 1 --seeds 50` runs seeds and prints their verdicts; exit code 1 if one failed."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from tests.soak.dense_run import make_dense_run
from tests.soak.run import make_run, play
from tests.soak.verdict import Verdict, summarize


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--at-once", type=int, default=2, help="number of parallel runs")
    parser.add_argument("--keep", default="", help="a folder for the logs, which are deleted otherwise")
    parser.add_argument("--dense", action="store_true", help="faults of the network, of discovery and of callers too")
    arguments = parser.parse_args()
    verdicts: list[Verdict] = []
    with ProcessPoolExecutor(arguments.at_once, max_tasks_per_child=1) as pool:
        for verdict in pool.map(
            partial(play, keep=arguments.keep, make_run=make_dense_run if arguments.dense else make_run),
            range(arguments.first, arguments.first + arguments.seeds),
        ):
            verdicts.append(verdict)
            print("\n".join(verdict.lines()), flush=True)
    print(summarize(verdicts))
    return 1 if any(verdict.status == "failed" for verdict in verdicts) else 0


if __name__ == "__main__":
    sys.exit(main())
