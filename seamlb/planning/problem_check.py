"""Consistency check of a planning problem; reports the first error found."""

from __future__ import annotations

from seamlb.planning.model import PERMILLE, PlanningError, Problem

MAX_EXACT_SUM = 1 << 50  # larger sums could leave the integers that a float represents exactly


def check_problem(problem: Problem) -> None:
    """Raise PlanningError for values that contradict each other; single values are checked when a file is decoded."""
    for name, names in (
        ("districts", problem.districts),
        ("offices", [o.name for o in problem.offices]),
        ("classes", [k.name for k in problem.kinds]),
        ("desks", [d.name for d in problem.desks]),
    ):
        duplicates = sorted({one for one in names if list(names).count(one) > 1})
        if duplicates:
            raise PlanningError(f"{name}: {duplicates[0]!r} is listed twice")
    for desk in problem.desks:
        if desk.district not in problem.districts:
            raise PlanningError(f"desks.{desk.name}.district: unknown district {desk.district!r}")
        for key in ("skills", "second", "pinned", "forbidden"):
            unknown = sorted(getattr(desk, key) - problem.kind.keys())
            if unknown:
                raise PlanningError(f"desks.{desk.name}.{key}: unknown class {unknown[0]!r}")
        if desk.second - desk.skills:
            extra = min(desk.second - desk.skills)
            raise PlanningError(f"desks.{desk.name}.second: {extra!r} is not among its skills")
    offices = {one.name for one in problem.offices}
    for kind, district, office in sorted(problem.demand):
        if kind not in problem.kind or district not in problem.districts or office not in offices:
            raise PlanningError(f"demand: unknown class, district or office: {kind!r}, {district!r}, {office!r}")
    if sum(one.share for one in problem.offices) > PERMILLE:
        raise PlanningError("offices: the shares add up to more than 1")
    worth = sum(problem.kind[c].value * units for (c, _, _), units in problem.demand.items())
    cost = sum(one.cost for one in problem.desks)
    distance = problem.offered * max(problem.latencies_us.values(), default=0)
    for label, total in (("worth", worth), ("cost", cost), ("distance", distance)):
        if total > MAX_EXACT_SUM:
            raise PlanningError(
                f"{label}: the values add up to {total}, more than can be proven exactly ({MAX_EXACT_SUM})"
            )
