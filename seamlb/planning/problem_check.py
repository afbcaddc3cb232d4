"""Whether a problem makes sense, with the first fault in words."""

from __future__ import annotations

from seamlb.planning.model import PERMILLE, PlanningError, Problem

LARGEST = 1 << 50  # a sum beyond this would leave the integers that a float holds exactly


def check_problem(problem: Problem) -> None:
    """Raise PlanningError for figures that mean nothing together; single ones are checked where they are read."""
    for name, listed in (
        ("districts", problem.districts),
        ("offices", [o.name for o in problem.offices]),
        ("classes", [k.name for k in problem.kinds]),
        ("desks", [d.name for d in problem.desks]),
    ):
        double = sorted({one for one in listed if list(listed).count(one) > 1})
        if double:
            raise PlanningError(f"{name}: {double[0]!r} is there twice")
    for desk in problem.desks:
        if desk.district not in problem.districts:
            raise PlanningError(f"desks.{desk.name}.district: unknown district {desk.district!r}")
        for key in ("skills", "second", "pinned", "forbidden"):
            unknown = sorted(getattr(desk, key) - problem.kind.keys())
            if unknown:
                raise PlanningError(f"desks.{desk.name}.{key}: unknown class {unknown[0]!r}")
        if desk.second - desk.skills:
            lone = min(desk.second - desk.skills)
            raise PlanningError(f"desks.{desk.name}.second: {lone!r} is not among its skills")
    offices = {one.name for one in problem.offices}
    for kind, district, office in sorted(problem.demand):
        if kind not in problem.kind or district not in problem.districts or office not in offices:
            raise PlanningError(f"demand: no such class, district or office: {kind!r}, {district!r}, {office!r}")
    if sum(one.share for one in problem.offices) > PERMILLE:
        raise PlanningError("offices: the shares add up to more than the whole")
    worth = sum(problem.kind[c].value * units for (c, _, _), units in problem.demand.items())
    cost = sum(one.cost for one in problem.desks)
    distance = problem.offered * max(problem.latencies_us.values(), default=0)
    for label, total in (("worth", worth), ("cost", cost), ("distance", distance)):
        if total > LARGEST:
            raise PlanningError(
                f"{label}: the figures add up to {total}, more than can be proven exactly ({LARGEST})"
            )
