"""Following a plan: repair agrees with the solver, and steering keeps its bounds when desks come and go."""

import pytest

from seamlb.planning.draw import RendezvousHash
from seamlb.planning.follow import DEADBAND_PERMILLE, MAX_STEP_PERMILLE, SETTLE_MS, FollowedPlan, PlanFollower
from seamlb.planning.model import Plan
from seamlb.planning.repair import capacities, permille
from seamlb.planning.solve import solve
from seamlb.routing.model import Desk
from tests.floods import FLOOD, NAMES, count_choices, desks, follower, settings


@pytest.fixture(scope="module")
def plan() -> Plan:
    return solve(FLOOD)


def test_first_choices_follow_the_plan_of_the_own_district(plan: Plan) -> None:
    made = follower(plan)
    units = {d: u for (k, where, d), u in plan.flows.routes.items() if u and (k, where) == ("level-check", "szeged")}
    told = count_choices(made, 0.0, "level-check")
    assert told.keys() == units.keys()
    for name, part in permille(units).items():
        assert told[name] / 2000 == pytest.approx(part / 1000, abs=0.04)
    again = {n: made.first_choice(9.0, "level-check", b"%d" % n, 99) for n in range(50)}
    assert again == {n: made.first_choice(0.0, "level-check", b"%d" % n, 99) for n in range(50)}
    assert made.first_choice(0.0, "unknown", b"1", 99) == 99


def test_a_lost_desk_is_not_drawn_from_that_moment_on(plan: Plan) -> None:
    for phase in (2, 0):  # draining, gone
        made = follower(plan)
        made.update_desks(10.0, [*desks(*(n for n in NAMES if n != "szeged-1")), *desks("szeged-1", phase=phase)])
        for kind in FLOOD.kind:
            assert "szeged-1" not in count_choices(made, 10.0, kind, 200)
            assert sum(made.shares()[kind].values()) == 1000


def test_lost_regained_and_lost_again_within_a_second(plan: Plan) -> None:
    made = follower(plan)
    without, now = [n for n in NAMES if n != "szeged-1"], 0.0
    for at, present in ((100.0, without), (400.0, NAMES), (700.0, without), (900.0, NAMES)):
        made.update_desks(at, desks(*present))
        made.step(at)
        assert "szeged-1" not in made.shares()["level-check"]
    back = None
    for now in range(1000, 60_000, 500):
        before = made.shares()["level-check"]
        made.step(float(now))
        after = made.shares()["level-check"]
        moved = sum(abs(after.get(n, 0) - before.get(n, 0)) for n in NAMES) // 2
        assert moved <= MAX_STEP_PERMILLE and sum(after.values()) == 1000
        if back is None and "szeged-1" in after:
            back = now
    assert back is not None and back - 900 >= 2 * SETTLE_MS  # two flaps: longer than after one
    goal = permille({d: u for (k, w, d), u in plan.flows.routes.items() if u and (k, w) == ("level-check", "szeged")})
    assert sum(abs(after.get(n, 0) - goal.get(n, 0)) for n in NAMES) // 2 < DEADBAND_PERMILLE


def test_a_cold_desk_is_given_what_its_processor_has_grown_to(plan: Plan) -> None:
    made = follower(plan, *(n for n in NAMES if n != "szeged-1"))
    made.update_desks(1e6, [*desks(*(n for n in NAMES if n != "szeged-1")), *desks("szeged-1", since=1e6)])
    capacity = []
    for now in (1e6, 1e6 + 3000.0, 1e6 + 20_000.0):
        made.step(now)
        states = {n: made._state(now, n) for n in NAMES}
        capacity.append(capacities(FLOOD, plan, states, made.cold)["szeged-1"])
    assert capacity[0] < capacity[1] < capacity[2] == FLOOD.capacity("szeged-1", ("level-check",))
    assert capacity[0] <= 0.31 * capacity[2]


def test_small_differences_are_left_alone(plan: Plan) -> None:
    made = follower(plan)
    steering = made.steering["level-check"]
    steering.use({"szeged-1": 1000 - DEADBAND_PERMILLE // 2, "gyor-1": DEADBAND_PERMILLE // 2})
    steering.goal = {"szeged-1": 1000}
    made._step(0.0, MAX_STEP_PERMILLE)
    assert made.shares()["level-check"]["gyor-1"] == DEADBAND_PERMILLE // 2


def test_a_class_of_whose_desks_none_is_listed_keeps_a_first_choice(plan: Plan) -> None:
    takes = {desk for desk, kind in plan.placement if kind == "alert-confirm"}
    left = [n for n in NAMES if n not in takes]
    made = follower(plan)
    made.update_desks(5.0, desks(*left))
    told = count_choices(made, 5.0, "alert-confirm", 300)
    assert set(told) == set(left)
    made.first_choice(6.0, "alert-confirm", b"1", 99)
    assert [name for name, _ in made.pending_events].count("plan_class_unplaced") == 1
    pools = {kind.name: kind.pools for kind in made.decision_settings(5.0).classes}
    assert pools["alert-confirm"] is None and pools["level-check"] is not None
    made.update_desks(7.0, [])
    assert made.first_choice(7.0, "alert-confirm", b"1", 99) == 99


def test_planned_desks_that_are_not_listed_are_told_of_once(plan: Plan) -> None:
    made = follower(plan, "szeged-1", "szeged-2")
    for now in (1.0, 2.0, 600.0):
        made.update_desks(now, desks("szeged-1", "szeged-2"))
        made.step(now)
    assert [name for name, _ in made.pending_events].count("plan_desks_missing") == 1


def test_a_stale_plan_steers_nothing(plan: Plan) -> None:
    made = follower(plan, until=1000.0)
    assert made.first_choice(999.0, "level-check", b"1", 99) != 99
    for now in (1000.0, 1001.0):
        assert made.first_choice(now, "level-check", b"1", 99) == 99 and made.decision_settings(now) == made.settings
    assert [name for name, _ in made.pending_events].count("plan_stale") == 1


def test_pools_and_allowances_reach_the_module_as_settings(plan: Plan) -> None:
    made = follower(plan)
    told = made.decision_settings(0.0)
    for kind in told.classes:
        assert kind.pools == {NAMES.index(d) for d, k in plan.placement if k == kind.name}
    assert told.allowances == pytest.approx((14.2, 10.0, 2.1), rel=0.02)
    bare = PlanFollower(settings(Tenants=[]), ())
    bare.update_desks(0.0, desks(*NAMES))
    bare.set_plan(0.0, FollowedPlan(FLOOD, plan, ""))
    assert bare.decision_settings(0.0).allowances == ()  # the module ranks without shares then


def test_full_counts_when_it_lasts(plan: Plan) -> None:
    made = follower(plan)
    made.report_idle_agents(0.0, "szeged-1", 0.0)
    assert not made._state(500.0, "szeged-1").full and made._state(1500.0, "szeged-1").full
    made.report_idle_agents(1600.0, "szeged-1", 3.0)
    assert not made._state(9000.0, "szeged-1").full
    made.report_idle_agents(0.0, "nobody", 0.0)


def test_a_guide_forgets_desks_that_no_plan_names(plan: Plan) -> None:
    made = follower(plan)
    for now in range(100):
        made.update_desks(float(now), [*desks(*NAMES), Desk(f"new-{now}", "", 0, 1, 1, 0.0)])
    assert len(made.desks) == len(NAMES) + 1


def test_a_number_moves_only_to_who_gained_or_from_who_lost() -> None:
    before, after = RendezvousHash({"a": 500, "b": 300, "c": 200}), RendezvousHash({"a": 500, "b": 400, "c": 100})
    moved = [(before.pick(b"%d" % n), after.pick(b"%d" % n)) for n in range(4000)]
    changed = [pair for pair in moved if pair[0] != pair[1]]
    assert all(one == "c" or other == "b" for one, other in changed)
    assert len(changed) / 4000 < 0.2
    assert RendezvousHash({}).pick(b"1") is None and RendezvousHash({"a": 0, "b": 1}).pick(b"1") == "b"
