"""Following a plan: repair agrees with the solver, and steering keeps its bounds when desks come and go."""

import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from seamlb import api
from seamlb.planning.carry import carry
from seamlb.planning.draw import StickyDraw
from seamlb.planning.files import load_problem
from seamlb.planning.follow import DEADBAND, SETTLE_MS, STEP_MOST, Followed, Guide
from seamlb.planning.model import Objective, Plan, Problem
from seamlb.planning.repair import Cold, DeskState, Repair, permille, room, towards
from seamlb.planning.solve import InfeasibleError, solve
from seamlb.routing.model import Desk
from tests.exhaustive import random_problem
from tests.support import RAW

ROOT = Path(__file__).resolve().parent.parent
FLOOD = load_problem(ROOT / "examples/plan/flood.toml")
NAMES = sorted(FLOOD.desk)
COLD = Cold(0.3, 14_000.0)


@pytest.fixture(scope="module")
def plan() -> Plan:
    return solve(FLOOD)


def fixed(problem: Problem, plan: Plan, lost: str = "") -> Problem:
    """The problem whose only placement is the plan's; a lost desk can't carry anything."""
    given = problem.given(plan.placement)
    desks = tuple(
        replace(
            d,
            pinned=frozenset(given.get(d.name, ())),
            forbidden=d.skills - frozenset(given.get(d.name, ())),
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


def test_repair_and_solver_agree_on_worth_for_the_same_placement() -> None:
    shown = 0
    for seed in range(150):
        problem = random_problem(seed)
        try:
            plan = solve(problem)
        except InfeasibleError:
            continue
        for lost in ("", *sorted({desk for desk, _ in plan.placement})):
            same = fixed(problem, plan, lost)
            whole = {
                desk: problem.capacity(desk, kinds) if desk != lost else 0
                for desk, kinds in problem.given(plan.placement).items()
            }
            mended = Repair(replace(problem, offices=same.offices), plan).mend(whole)
            assert mended.worth == solve(same).objective.worth, (seed, lost)
            shown += 1
    assert shown > 150


def test_floors_come_before_worth() -> None:
    """One desk is left; the poor office's floor is carried although the rich one's calls are worth more."""
    made = load_problem(ROOT / "examples/plan/flood.toml")
    plan = solve(made)
    none = dict.fromkeys(made.given(plan.placement), 0)
    floor, value = made.floors["szabolcs-megye"], made.kind["level-check"].value
    mended = Repair(made, plan).mend(none | {"szeged-1": floor})
    assert mended.floors_held and mended.worth == value * floor
    # Without the floor the same units would go to whoever is first, at no less worth.
    assert not Repair(made, plan).mend(none | {"szeged-1": floor - 1}).floors_held
    assert not Repair(made, plan).mend(none).floors_held


def test_room_of_a_desk_by_its_state(plan: Plan) -> None:
    whole = room(FLOOD, plan, {name: DeskState() for name in NAMES}, COLD)
    assert whole == {d: FLOOD.capacity(d, k) for d, k in FLOOD.given(plan.placement).items()}
    planned = sum(u for (_, _, d), u in plan.flows.routes.items() if d == "gyor-2")
    for state, expected in (
        (DeskState(listed=False), 0),
        (DeskState(draining=True), 0),
        (DeskState(cold_ms=0.0), int(whole["gyor-2"] * 0.3)),
        (DeskState(cold_ms=7000.0), int(whole["gyor-2"] * 0.65)),
        (DeskState(cold_ms=14_000.0), whole["gyor-2"]),
        (DeskState(full=True), planned),
    ):
        assert room(FLOOD, plan, {"gyor-2": state}, COLD)["gyor-2"] == expected


def test_steps_are_bounded_but_for_what_is_gone() -> None:
    now, goal = {"a": 500, "b": 500}, {"a": 0, "c": 1000}
    one = towards(now, goal, 50, frozenset())
    assert sum(one.values()) == 1000 and sum(abs(one.get(k, 0) - now.get(k, 0)) for k in "abc") == 100
    lost = towards(now, goal, 50, frozenset("a"))
    assert lost == {"b": 450, "c": 550}
    assert towards(now, {}, 50, frozenset("a")) == {"b": 500}  # no goal: what is left keeps its part
    for _ in range(30):
        now = towards(now, goal, 50, frozenset())
    assert now == {"c": 1000}


# -- the guide --------------------------------------------------------------------------------------


def settings(**change: Any) -> api.Settings:
    classes = [{"Name": name, "OnTime": 5000.0, "Deadline": 15000.0, "Worth": 1.0} for name in sorted(FLOOD.kind)]
    tenants = [{"Name": o.name, "AllowancePerS": 1.0} for o in FLOOD.offices]
    raw = RAW | {"Classes": classes, "Tenants": tenants} | change
    return api.Settings.from_mapping(raw)


def desks(*names: str, since: float = 0.0, phase: int = 1) -> list[Desk]:
    return [Desk(name, "", 0, NAMES.index(name), phase, since) for name in names]


def guide(plan: Plan, *names: str, until: float = float("inf")) -> Guide:
    made = Guide(settings(), tuple(o.name for o in FLOOD.offices))
    made.listed(0.0, desks(*(names or NAMES)))
    made.adopt(0.0, Followed(FLOOD, plan, "szeged", until))
    return made


def drawn(made: Guide, now: float, kind: str, count: int = 2000) -> dict[str, int]:
    out: dict[str, int] = {}
    for number in range(count):
        name = NAMES[made.first_choice(now, kind, b"%d" % number, 99)]
        out[name] = out.get(name, 0) + 1
    return out


def test_first_choices_follow_the_plan_of_the_own_district(plan: Plan) -> None:
    made = guide(plan)
    units = {d: u for (k, where, d), u in plan.flows.routes.items() if u and (k, where) == ("level-check", "szeged")}
    told = drawn(made, 0.0, "level-check")
    assert told.keys() == units.keys()
    for name, part in permille(units).items():
        assert told[name] / 2000 == pytest.approx(part / 1000, abs=0.04)
    again = {n: made.first_choice(9.0, "level-check", b"%d" % n, 99) for n in range(50)}
    assert again == {n: made.first_choice(0.0, "level-check", b"%d" % n, 99) for n in range(50)}
    assert made.first_choice(0.0, "unknown", b"1", 99) == 99


def test_a_lost_desk_is_not_drawn_from_that_moment_on(plan: Plan) -> None:
    for phase in (2, 0):  # draining, gone
        made = guide(plan)
        made.listed(10.0, [*desks(*(n for n in NAMES if n != "szeged-1")), *desks("szeged-1", phase=phase)])
        for kind in FLOOD.kind:
            assert "szeged-1" not in drawn(made, 10.0, kind, 200)
            assert sum(made.shares()[kind].values()) == 1000


def test_lost_regained_and_lost_again_within_a_second(plan: Plan) -> None:
    made = guide(plan)
    without, now = [n for n in NAMES if n != "szeged-1"], 0.0
    for at, present in ((100.0, without), (400.0, NAMES), (700.0, without), (900.0, NAMES)):
        made.listed(at, desks(*present))
        made.step(at)
        assert "szeged-1" not in made.shares()["level-check"]
    back = None
    for now in range(1000, 60_000, 500):
        before = made.shares()["level-check"]
        made.step(float(now))
        after = made.shares()["level-check"]
        moved = sum(abs(after.get(n, 0) - before.get(n, 0)) for n in NAMES) // 2
        assert moved <= STEP_MOST and sum(after.values()) == 1000
        if back is None and "szeged-1" in after:
            back = now
    assert back is not None and back - 900 >= 2 * SETTLE_MS  # two flaps: longer than after one
    goal = permille({d: u for (k, w, d), u in plan.flows.routes.items() if u and (k, w) == ("level-check", "szeged")})
    assert sum(abs(after.get(n, 0) - goal.get(n, 0)) for n in NAMES) // 2 < DEADBAND


def test_a_cold_desk_is_given_what_its_processor_has_grown_to(plan: Plan) -> None:
    made = guide(plan, *(n for n in NAMES if n != "szeged-1"))
    made.listed(1e6, [*desks(*(n for n in NAMES if n != "szeged-1")), *desks("szeged-1", since=1e6)])
    capacity = []
    for now in (1e6, 1e6 + 3000.0, 1e6 + 20_000.0):
        made.step(now)
        states = {n: made._state(now, n) for n in NAMES}
        capacity.append(room(FLOOD, plan, states, made.cold)["szeged-1"])
    assert capacity[0] < capacity[1] < capacity[2] == FLOOD.capacity("szeged-1", ("level-check",))
    assert capacity[0] <= 0.31 * capacity[2]


def test_small_differences_are_left_alone(plan: Plan) -> None:
    made = guide(plan)
    steering = made.steering["level-check"]
    steering.use({"szeged-1": 1000 - DEADBAND // 2, "gyor-1": DEADBAND // 2})
    steering.goal = {"szeged-1": 1000}
    made._step(0.0, STEP_MOST)
    assert made.shares()["level-check"]["gyor-1"] == DEADBAND // 2


def test_a_class_of_whose_desks_none_is_listed_keeps_a_first_choice(plan: Plan) -> None:
    takes = {desk for desk, kind in plan.placement if kind == "alert-confirm"}
    left = [n for n in NAMES if n not in takes]
    made = guide(plan)
    made.listed(5.0, desks(*left))
    told = drawn(made, 5.0, "alert-confirm", 300)
    assert set(told) == set(left)
    made.first_choice(6.0, "alert-confirm", b"1", 99)
    assert [name for name, _ in made.news].count("plan_class_unplaced") == 1
    pools = {kind.name: kind.pools for kind in made.inputs(5.0).classes}
    assert pools["alert-confirm"] is None and pools["level-check"] is not None
    made.listed(7.0, [])
    assert made.first_choice(7.0, "alert-confirm", b"1", 99) == 99


def test_planned_desks_that_are_not_listed_are_told_of_once(plan: Plan) -> None:
    made = guide(plan, "szeged-1", "szeged-2")
    for now in (1.0, 2.0, 600.0):
        made.listed(now, desks("szeged-1", "szeged-2"))
        made.step(now)
    assert [name for name, _ in made.news].count("plan_desks_missing") == 1


def test_a_stale_plan_steers_nothing(plan: Plan) -> None:
    made = guide(plan, until=1000.0)
    assert made.first_choice(999.0, "level-check", b"1", 99) != 99
    for now in (1000.0, 1001.0):
        assert made.first_choice(now, "level-check", b"1", 99) == 99 and made.inputs(now) == made.settings
    assert [name for name, _ in made.news].count("plan_stale") == 1


def test_pools_and_allowances_reach_the_module_as_settings(plan: Plan) -> None:
    made = guide(plan)
    told = made.inputs(0.0)
    for kind in told.classes:
        assert kind.pools == {NAMES.index(d) for d, k in plan.placement if k == kind.name}
    assert told.allowances == pytest.approx((14.2, 10.0, 2.1), rel=0.02)
    bare = Guide(settings(Tenants=[]), ())
    bare.listed(0.0, desks(*NAMES))
    bare.adopt(0.0, Followed(FLOOD, plan, ""))
    assert bare.inputs(0.0).allowances == ()  # the module ranks without shares then


def test_full_counts_when_it_lasts(plan: Plan) -> None:
    made = guide(plan)
    made.reported(0.0, "szeged-1", 0.0)
    assert not made._state(500.0, "szeged-1").full and made._state(1500.0, "szeged-1").full
    made.reported(1600.0, "szeged-1", 3.0)
    assert not made._state(9000.0, "szeged-1").full
    made.reported(0.0, "nobody", 0.0)


def test_a_guide_forgets_desks_that_no_plan_names(plan: Plan) -> None:
    made = guide(plan)
    for now in range(100):
        made.listed(float(now), [*desks(*NAMES), Desk(f"new-{now}", "", 0, 1, 1, 0.0)])
    assert len(made.desks) == len(NAMES) + 1


# -- the draw ---------------------------------------------------------------------------------------


def test_a_number_moves_only_to_who_gained_or_from_who_lost() -> None:
    before, after = StickyDraw({"a": 500, "b": 300, "c": 200}), StickyDraw({"a": 500, "b": 400, "c": 100})
    moved = [(before.pick(b"%d" % n), after.pick(b"%d" % n)) for n in range(4000)]
    changed = [pair for pair in moved if pair[0] != pair[1]]
    assert all(one == "c" or other == "b" for one, other in changed)
    assert len(changed) / 4000 < 0.2
    assert StickyDraw({}).pick(b"1") is None and StickyDraw({"a": 0, "b": 1}).pick(b"1") == "b"


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
    whole = {d: problem.capacity(d, k) for d, k in problem.given(placement).items()}
    plan = Plan(placement, carry(problem, placement, exact=False), Objective(0, 0, 0, 0), "stopped")
    before, after = (Repair(problem, plan).mend(room) for room in (whole, whole | {"x007": 0}))
    load: dict[str, int] = {}
    for (_, desk), units in after.routes.items():
        load[desk] = load.get(desk, 0) + units
    assert all(load[name] <= whole[name] for name in load) and load["x007"] == 0
    assert 0 < after.worth <= before.worth
    moved = sum(abs(units - before.routes[spot]) for spot, units in after.routes.items()) // 2
    assert moved <= 2 * whole["x007"]  # the rest stays where it was planned
