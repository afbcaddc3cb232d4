"""Plans mended when servers are lost, cold or full."""

import random
from dataclasses import replace

import pytest

from seamlb.planning.carry import optimal_flows
from seamlb.planning.files import load_problem
from seamlb.planning.model import Objective, Plan
from seamlb.planning.repair import DeskState, Repair, capacities, step_towards
from seamlb.planning.solve import InfeasibleError, solve
from tests.exhaustive import random_problem
from tests.floods import COLD, FLOOD, NAMES, ROOT, with_fixed_placement


@pytest.fixture(scope="module")
def plan() -> Plan:
    return solve(FLOOD)


def test_repair_and_solver_agree_on_worth_for_the_same_placement() -> None:
    shown = 0
    for seed in range(150):
        problem = random_problem(seed)
        try:
            plan = solve(problem)
        except InfeasibleError:
            continue
        for lost in ("", *sorted({desk for desk, _ in plan.placement})):
            same = with_fixed_placement(problem, plan, lost)
            whole = {
                desk: problem.capacity(desk, kinds) if desk != lost else 0
                for desk, kinds in problem.classes_by_desk(plan.placement).items()
            }
            mended = Repair(replace(problem, offices=same.offices), plan).reroute(whole)
            assert mended.worth == solve(same).objective.worth, (seed, lost)
            shown += 1
    assert shown > 150


def test_floors_come_before_worth() -> None:
    """One desk is left; the poor office's floor is carried although the rich one's calls are worth more."""
    made = load_problem(ROOT / "examples/plan/flood.toml")
    plan = solve(made)
    none = dict.fromkeys(made.classes_by_desk(plan.placement), 0)
    floor, value = made.floors["szabolcs-megye"], made.kind["level-check"].value
    mended = Repair(made, plan).reroute(none | {"szeged-1": floor})
    assert mended.floors_held and mended.worth == value * floor
    # Without the floor the same units would go to whoever is first, at no less worth.
    assert not Repair(made, plan).reroute(none | {"szeged-1": floor - 1}).floors_held
    assert not Repair(made, plan).reroute(none).floors_held


def test_room_of_a_desk_by_its_state(plan: Plan) -> None:
    whole = capacities(FLOOD, plan, {name: DeskState() for name in NAMES}, COLD)
    assert whole == {d: FLOOD.capacity(d, k) for d, k in FLOOD.classes_by_desk(plan.placement).items()}
    planned = sum(u for (_, _, d), u in plan.flows.routes.items() if d == "gyor-2")
    for state, expected in (
        (DeskState(listed=False), 0),
        (DeskState(draining=True), 0),
        (DeskState(cold_ms=0.0), int(whole["gyor-2"] * 0.3)),
        (DeskState(cold_ms=7000.0), int(whole["gyor-2"] * 0.65)),
        (DeskState(cold_ms=14_000.0), whole["gyor-2"]),
        (DeskState(full=True), planned),
    ):
        assert capacities(FLOOD, plan, {"gyor-2": state}, COLD)["gyor-2"] == expected


def test_steps_are_bounded_but_for_what_is_gone() -> None:
    now, goal = {"a": 500, "b": 500}, {"a": 0, "c": 1000}
    one = step_towards(now, goal, 50, frozenset())
    assert sum(one.values()) == 1000 and sum(abs(one.get(k, 0) - now.get(k, 0)) for k in "abc") == 100
    lost = step_towards(now, goal, 50, frozenset("a"))
    assert lost == {"b": 450, "c": 550}
    assert step_towards(now, {}, 50, frozenset("a")) == {"b": 500}  # no goal: what is left keeps its part
    for _ in range(30):
        now = step_towards(now, goal, 50, frozenset())
    assert now == {"c": 1000}


def test_repair_of_a_large_plan_keeps_the_books() -> None:
    """A hundred desks by ten classes: no unit is lost or made, whatever is gone."""
    rng = random.Random(5)
    base = FLOOD.desks[0]
    kinds = tuple(replace(FLOOD.kinds[0], name=f"k{n}", worth=n + 1) for n in range(10))
    skills = frozenset(k.name for k in kinds)
    many = tuple(replace(base, name=f"x{n:03}", agents=30, skills=skills) for n in range(100))
    placement = frozenset((d.name, k.name) for d in many for k in rng.sample(kinds, 4))
    demand = {(k.name, "budapest", FLOOD.offices[0].name): 2000 for k in kinds}
    problem = replace(FLOOD, kinds=kinds, desks=many, demand=demand)
    whole = {d: problem.capacity(d, k) for d, k in problem.classes_by_desk(placement).items()}
    plan = Plan(placement, optimal_flows(problem, placement, exact=False), Objective(0, 0, 0, 0), "stopped")
    before, after = (Repair(problem, plan).reroute(room) for room in (whole, whole | {"x007": 0}))
    load: dict[str, int] = {}
    for (_, desk), units in after.routes.items():
        load[desk] = load.get(desk, 0) + units
    assert all(load[name] <= whole[name] for name in load) and load["x007"] == 0
    assert 0 < after.worth <= before.worth
    moved = sum(abs(units - before.routes[spot]) for spot, units in after.routes.items()) // 2
    assert moved <= 2 * whole["x007"]  # the rest stays where it was planned
