"""Repair of plans when desks are lost, cold or full."""

import random
from dataclasses import replace

import pytest

from seamlb.planning.files import load_problem
from seamlb.planning.model import Objective, Plan
from seamlb.planning.placement_flows import optimal_flows
from seamlb.planning.repair import DeskState, Repair, capacities, step_towards
from seamlb.planning.solve import InfeasibleError, solve
from tests.exhaustive import random_problem
from tests.flood_plan import COLD, FLOOD, NAMES, ROOT, with_fixed_placement


@pytest.fixture(scope="module")
def plan() -> Plan:
    return solve(FLOOD)


def test_repair_and_solver_reach_the_same_worth_for_the_same_placement() -> None:
    compared = 0
    for seed in range(150):
        problem = random_problem(seed)
        try:
            plan = solve(problem)
        except InfeasibleError:
            continue
        for lost in ("", *sorted({desk for desk, _ in plan.placement})):
            fixed_problem = with_fixed_placement(problem, plan, lost)
            capacity = {
                desk: problem.capacity(desk, kinds) if desk != lost else 0
                for desk, kinds in problem.classes_by_desk(plan.placement).items()
            }
            repaired = Repair(replace(problem, offices=fixed_problem.offices), plan).reroute(capacity)
            assert repaired.worth == solve(fixed_problem).objective.worth, (seed, lost)
            compared += 1
    assert compared > 150


def test_floors_take_precedence_over_worth() -> None:
    """One desk is left: it carries the floor of one office although calls of another have more worth."""
    problem = load_problem(ROOT / "examples/plan/flood.toml")
    plan = solve(problem)
    no_capacity = dict.fromkeys(problem.classes_by_desk(plan.placement), 0)
    floor, value = problem.floors["szabolcs-megye"], problem.kind["level-check"].value
    repaired = Repair(problem, plan).reroute(no_capacity | {"szeged-1": floor})
    assert repaired.floors_held and repaired.worth == value * floor
    # With one unit less the floor cannot be met.
    assert not Repair(problem, plan).reroute(no_capacity | {"szeged-1": floor - 1}).floors_held
    assert not Repair(problem, plan).reroute(no_capacity).floors_held


def test_capacity_of_a_desk_by_its_state(plan: Plan) -> None:
    full_capacity = capacities(FLOOD, plan, {name: DeskState() for name in NAMES}, COLD)
    assert full_capacity == {d: FLOOD.capacity(d, k) for d, k in FLOOD.classes_by_desk(plan.placement).items()}
    planned_units = sum(u for (_, _, d), u in plan.flows.routes.items() if d == "gyor-2")
    for state, expected in (
        (DeskState(listed=False), 0),
        (DeskState(draining=True), 0),
        (DeskState(cold_ms=0.0), int(full_capacity["gyor-2"] * 0.3)),
        (DeskState(cold_ms=7000.0), int(full_capacity["gyor-2"] * 0.65)),
        (DeskState(cold_ms=14_000.0), full_capacity["gyor-2"]),
        (DeskState(full=True), planned_units),
    ):
        assert capacities(FLOOD, plan, {"gyor-2": state}, COLD)["gyor-2"] == expected


def test_steps_are_bounded_except_for_removed_desks() -> None:
    current, goal = {"a": 500, "b": 500}, {"a": 0, "c": 1000}
    stepped = step_towards(current, goal, 50, frozenset())
    assert sum(stepped.values()) == 1000 and sum(abs(stepped.get(k, 0) - current.get(k, 0)) for k in "abc") == 100
    without_desk = step_towards(current, goal, 50, frozenset("a"))
    assert without_desk == {"b": 450, "c": 550}
    # Without a goal the remaining desks keep their shares.
    assert step_towards(current, {}, 50, frozenset("a")) == {"b": 500}
    for _ in range(30):
        current = step_towards(current, goal, 50, frozenset())
    assert current == {"c": 1000}


def test_repair_of_a_large_plan_conserves_units() -> None:
    """A hundred desks by ten classes: with a desk lost no capacity is exceeded, and few units move."""
    rng = random.Random(5)
    template = FLOOD.desks[0]
    kinds = tuple(replace(FLOOD.kinds[0], name=f"k{n}", worth=n + 1) for n in range(10))
    skills = frozenset(k.name for k in kinds)
    desks = tuple(replace(template, name=f"x{n:03}", agents=30, skills=skills) for n in range(100))
    placement = frozenset((d.name, k.name) for d in desks for k in rng.sample(kinds, 4))
    demand = {(k.name, "budapest", FLOOD.offices[0].name): 2000 for k in kinds}
    problem = replace(FLOOD, kinds=kinds, desks=desks, demand=demand)
    full_capacity = {d: problem.capacity(d, k) for d, k in problem.classes_by_desk(placement).items()}
    plan = Plan(placement, optimal_flows(problem, placement, exact=False), Objective(0, 0, 0, 0), "stopped")
    before, after = (
        Repair(problem, plan).reroute(capacity) for capacity in (full_capacity, full_capacity | {"x007": 0})
    )
    load: dict[str, int] = {}
    for (_, desk), units in after.routes.items():
        load[desk] = load.get(desk, 0) + units
    assert all(load[name] <= full_capacity[name] for name in load) and load["x007"] == 0
    assert 0 < after.worth <= before.worth
    moved = sum(abs(units - before.routes[route]) for route, units in after.routes.items()) // 2
    assert moved <= 2 * full_capacity["x007"]  # all other units stay where they were planned
