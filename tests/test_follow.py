"""Following a plan: shares follow the plan and stay within their bounds when desks come and go."""

import pytest

from seamlb.planning.follow import DEADBAND_PERMILLE, MAX_STEP_PERMILLE, SETTLE_MS, FollowedPlan, PlanFollower
from seamlb.planning.model import Plan
from seamlb.planning.rendezvous import RendezvousHash
from seamlb.planning.repair import capacities, permille
from seamlb.planning.solve import solve
from seamlb.routing.model import Desk
from tests.flood_plan import FLOOD, NAMES, count_choices, desks, follower, settings


@pytest.fixture(scope="module")
def plan() -> Plan:
    return solve(FLOOD)


def test_first_choices_follow_the_plan_for_the_agents_district(plan: Plan) -> None:
    plan_follower = follower(plan)
    planned_units = {
        d: u for (k, where, d), u in plan.flows.routes.items() if u and (k, where) == ("level-check", "szeged")
    }
    counts = count_choices(plan_follower, 0.0, "level-check")
    assert counts.keys() == planned_units.keys()
    for name, share in permille(planned_units).items():
        assert counts[name] / 2000 == pytest.approx(share / 1000, abs=0.04)
    again = {n: plan_follower.first_choice(9.0, "level-check", b"%d" % n, 99) for n in range(50)}
    assert again == {n: plan_follower.first_choice(0.0, "level-check", b"%d" % n, 99) for n in range(50)}
    assert plan_follower.first_choice(0.0, "unknown", b"1", 99) == 99


def test_a_lost_desk_is_not_selected_any_more(plan: Plan) -> None:
    for phase in (2, 0):  # draining, gone
        plan_follower = follower(plan)
        plan_follower.update_desks(
            10.0, [*desks(*(n for n in NAMES if n != "szeged-1")), *desks("szeged-1", phase=phase)]
        )
        for kind in FLOOD.kind:
            assert "szeged-1" not in count_choices(plan_follower, 10.0, kind, 200)
            assert sum(plan_follower.shares()[kind].values()) == 1000


def test_desk_that_flaps_twice_within_a_second(plan: Plan) -> None:
    plan_follower = follower(plan)
    without, now = [n for n in NAMES if n != "szeged-1"], 0.0
    for event_at, present in ((100.0, without), (400.0, NAMES), (700.0, without), (900.0, NAMES)):
        plan_follower.update_desks(event_at, desks(*present))
        plan_follower.step(event_at)
        assert "szeged-1" not in plan_follower.shares()["level-check"]
    back_at = None
    for now in range(1000, 60_000, 500):
        before = plan_follower.shares()["level-check"]
        plan_follower.step(float(now))
        after = plan_follower.shares()["level-check"]
        moved = sum(abs(after.get(n, 0) - before.get(n, 0)) for n in NAMES) // 2
        assert moved <= MAX_STEP_PERMILLE and sum(after.values()) == 1000
        if back_at is None and "szeged-1" in after:
            back_at = now
    assert back_at is not None and back_at - 900 >= 2 * SETTLE_MS  # longer than after one flap
    goal = permille({d: u for (k, w, d), u in plan.flows.routes.items() if u and (k, w) == ("level-check", "szeged")})
    assert sum(abs(after.get(n, 0) - goal.get(n, 0)) for n in NAMES) // 2 < DEADBAND_PERMILLE


def test_the_capacity_of_a_cold_desk_follows_its_ramp(plan: Plan) -> None:
    plan_follower = follower(plan, *(n for n in NAMES if n != "szeged-1"))
    plan_follower.update_desks(1e6, [*desks(*(n for n in NAMES if n != "szeged-1")), *desks("szeged-1", since=1e6)])
    capacity = []
    for now in (1e6, 1e6 + 3000.0, 1e6 + 20_000.0):
        plan_follower.step(now)
        states = {n: plan_follower._state(now, n) for n in NAMES}
        capacity.append(capacities(FLOOD, plan, states, plan_follower.warm_up)["szeged-1"])
    assert capacity[0] < capacity[1] < capacity[2] == FLOOD.capacity("szeged-1", ("level-check",))
    assert capacity[0] <= 0.31 * capacity[2]


def test_small_differences_are_ignored(plan: Plan) -> None:
    plan_follower = follower(plan)
    class_shares = plan_follower.class_shares["level-check"]
    class_shares.use({"szeged-1": 1000 - DEADBAND_PERMILLE // 2, "gyor-1": DEADBAND_PERMILLE // 2})
    class_shares.goal = {"szeged-1": 1000}
    plan_follower._step(0.0, MAX_STEP_PERMILLE)
    assert plan_follower.shares()["level-check"]["gyor-1"] == DEADBAND_PERMILLE // 2


def test_a_class_without_a_listed_desk_keeps_a_first_choice(plan: Plan) -> None:
    desks_of_class = {desk for desk, kind in plan.placement if kind == "alert-confirm"}
    others = [n for n in NAMES if n not in desks_of_class]
    plan_follower = follower(plan)
    plan_follower.update_desks(5.0, desks(*others))
    counts = count_choices(plan_follower, 5.0, "alert-confirm", 300)
    assert set(counts) == set(others)
    plan_follower.first_choice(6.0, "alert-confirm", b"1", 99)
    assert [name for name, _ in plan_follower.pending_events].count("plan_class_unplaced") == 1
    pools = {kind.name: kind.pools for kind in plan_follower.decision_settings(5.0).classes}
    assert pools["alert-confirm"] is None and pools["level-check"] is not None
    plan_follower.update_desks(7.0, [])
    assert plan_follower.first_choice(7.0, "alert-confirm", b"1", 99) == 99


def test_planned_desks_that_are_not_listed_are_logged_once(plan: Plan) -> None:
    plan_follower = follower(plan, "szeged-1", "szeged-2")
    for now in (1.0, 2.0, 600.0):
        plan_follower.update_desks(now, desks("szeged-1", "szeged-2"))
        plan_follower.step(now)
    assert [name for name, _ in plan_follower.pending_events].count("plan_desks_missing") == 1


def test_an_expired_plan_steers_no_calls(plan: Plan) -> None:
    plan_follower = follower(plan, until=1000.0)
    assert plan_follower.first_choice(999.0, "level-check", b"1", 99) != 99
    for now in (1000.0, 1001.0):
        assert (
            plan_follower.first_choice(now, "level-check", b"1", 99) == 99
            and plan_follower.decision_settings(now) == plan_follower.settings
        )
    assert [name for name, _ in plan_follower.pending_events].count("plan_stale") == 1


def test_pools_and_allowances_are_passed_to_the_module_as_settings(plan: Plan) -> None:
    plan_follower = follower(plan)
    decision_settings = plan_follower.decision_settings(0.0)
    for kind in decision_settings.classes:
        assert kind.pools == {NAMES.index(d) for d, k in plan.placement if k == kind.name}
    assert decision_settings.allowances == pytest.approx((14.2, 10.0, 2.1), rel=0.02)
    without_offices = PlanFollower(settings(Tenants=[]), ())
    without_offices.update_desks(0.0, desks(*NAMES))
    without_offices.set_plan(0.0, FollowedPlan(FLOOD, plan, ""))
    assert without_offices.decision_settings(0.0).allowances == ()  # so the decision module does not rank by share


def test_a_desk_is_full_after_a_second_without_idle_agents(plan: Plan) -> None:
    plan_follower = follower(plan)
    plan_follower.report_idle_agents(0.0, "szeged-1", 0.0)
    assert not plan_follower._state(500.0, "szeged-1").full and plan_follower._state(1500.0, "szeged-1").full
    plan_follower.report_idle_agents(1600.0, "szeged-1", 3.0)
    assert not plan_follower._state(9000.0, "szeged-1").full
    plan_follower.report_idle_agents(0.0, "nobody", 0.0)


def test_unlisted_desks_that_are_not_planned_are_removed(plan: Plan) -> None:
    plan_follower = follower(plan)
    for now in range(100):
        plan_follower.update_desks(float(now), [*desks(*NAMES), Desk(f"new-{now}", "", 0, 1, 1, 0.0)])
    assert len(plan_follower.desks) == len(NAMES) + 1


def test_a_number_moves_only_to_a_desk_that_gained_or_from_one_that_lost() -> None:
    before, after = RendezvousHash({"a": 500, "b": 300, "c": 200}), RendezvousHash({"a": 500, "b": 400, "c": 100})
    moved = [(before.pick(b"%d" % n), after.pick(b"%d" % n)) for n in range(4000)]
    changed = [pair for pair in moved if pair[0] != pair[1]]
    assert all(old == "c" or new == "b" for old, new in changed)
    assert len(changed) / 4000 < 0.2
    assert RendezvousHash({}).pick(b"1") is None and RendezvousHash({"a": 0, "b": 1}).pick(b"1") == "b"
