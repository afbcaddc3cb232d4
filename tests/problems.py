"""Small planning problems for tests."""

from pathlib import Path
from typing import Any

from seamlb.planning.model import Kind, Office, PlanDesk, Problem
from seamlb.planning.problem_check import check_problem

ROOT = Path(__file__).resolve().parent.parent


def desk(name: str, agents: int = 4, **change: Any) -> PlanDesk:
    return PlanDesk(
        **(
            {
                "name": name,
                "district": "d0",
                "agents": agents,
                "rate_milli": 10_000,
                "skills": frozenset(("a", "b")),
                "fixed_cost": 10,
            }
            | change
        )
    )


def problem(*desks: PlanDesk, load: int = 2, **change: Any) -> Problem:
    """Two loss classes with a target of 50 % lost calls; loads in whole erlangs."""
    kinds = (Kind("a", 2, 10_000, "loss", target_ppm=500_000), Kind("b", 1, 10_000, "loss", target_ppm=500_000))
    fields: dict[str, Any] = {
        "districts": ("d0", "d1"),
        "latencies_us": {("d0", "d0"): 0, ("d1", "d1"): 0, ("d0", "d1"): 9, ("d1", "d0"): 9},
        "offices": (Office("o", 1000),),
        "kinds": kinds,
        "desks": desks,
        "demand": {("a", "d0", "o"): load},
        "grain": 1000,
    }
    result = Problem(**(fields | change))
    check_problem(result)
    return result
