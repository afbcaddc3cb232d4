"""The example flood problem, and a follower of a plan for it."""

from dataclasses import replace
from pathlib import Path
from typing import Any

from seamlb import api
from seamlb.planning.files import load_problem
from seamlb.planning.follow import FollowedPlan, PlanFollower
from seamlb.planning.model import Plan, Problem
from seamlb.planning.repair import WarmUp
from seamlb.routing.model import Desk
from tests.support import RAW

ROOT = Path(__file__).resolve().parent.parent


FLOOD = load_problem(ROOT / "examples/plan/flood.toml")


NAMES = sorted(FLOOD.desk)


COLD = WarmUp(0.3, 14_000.0)


def with_fixed_placement(problem: Problem, plan: Plan, lost: str = "") -> Problem:
    """A copy of the problem that admits only the plan's placement; the lost desk has no capacity."""
    classes_by_desk = problem.classes_by_desk(plan.placement)
    desks = tuple(
        replace(
            d,
            pinned=frozenset(classes_by_desk.get(d.name, ())),
            forbidden=d.skills - frozenset(classes_by_desk.get(d.name, ())),
            most_classes=0,
            rate_milli=0 if d.name == lost else d.rate_milli,
        )
        for d in problem.desks
    )
    return replace(
        problem,
        desks=desks,
        budget=None,
        moves=None,
        kinds=tuple(replace(k, desks=0, districts=0) for k in problem.kinds),
        offices=tuple(replace(o, floor=0) for o in problem.offices),
    )


def settings(**change: Any) -> api.Settings:
    classes = [{"Name": name, "OnTime": 5000.0, "Deadline": 15000.0, "Worth": 1.0} for name in sorted(FLOOD.kind)]
    tenants = [{"Name": o.name, "AllowancePerS": 1.0} for o in FLOOD.offices]
    raw = RAW | {"Classes": classes, "Tenants": tenants} | change
    return api.Settings.from_mapping(raw)


def desks(*names: str, since: float = 0.0, phase: int = 1) -> list[Desk]:
    return [Desk(name, "", 0, NAMES.index(name), phase, since) for name in names]


def follower(plan: Plan, *names: str, until: float = float("inf")) -> PlanFollower:
    plan_follower = PlanFollower(settings(), tuple(o.name for o in FLOOD.offices))
    plan_follower.update_desks(0.0, desks(*(names or NAMES)))
    plan_follower.set_plan(0.0, FollowedPlan(FLOOD, plan, "szeged", until))
    return plan_follower


def count_choices(plan_follower: PlanFollower, now: float, kind: str, count: int = 2000) -> dict[str, int]:
    counts: dict[str, int] = {}
    for number in range(count):
        name = NAMES[plan_follower.first_choice(now, kind, b"%d" % number, 99)]
        counts[name] = counts.get(name, 0) + 1
    return counts
