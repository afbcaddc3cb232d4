"""The paper's tests (4) and (6), x and the levels, against values worked out by hand."""

import math
from collections import deque

import pytest

from seamlb import api
from seamlb.observations import RECOVER_MS, Pending, Server
from seamlb.policy.controller import Controller
from seamlb.policy.deadlines import meets_deadlines
from seamlb.policy.node import STREAK
from tests.mechanism import started, wait
from tests.support import demand, entry, listed, sent_to, settings

LIMITS = (100.0, 400.0, 1000.0)
FLOOR_RATES = (0.01, 0.005, 0.001)  # per ms


def test_condition_4_counts_set_ups_and_floors_of_shorter_limits() -> None:
    # k = 3: N(1000) = 3 and floors 0.01 * 900 + 0.005 * 600 = 12; 15 x < 1000 up to x = 66.6.
    # k = 2: N(400) = 0, floors 0.01 * 300 = 3. (6) stays slack: its worst pair is k = 1, i = 3 with
    # 3 - 0 set-ups due in [900, 1000), floors 0.01 * 100 + 0.005 * 100 = 1.5: 4.5 x < 100 to x = 22.2,
    # so the test of (4) alone uses set-ups due in 500 ms, seen by no window of (6) for k = 1.
    due = [500.0, 500.0, 500.0]
    # (6) k=1,i=3: 0 + 1.5; k=1,i=2: N(400)-N(300)=0 + 0.01*100=1; k=2,i=3: N(1000)-N(600)=0,
    # ahead 3, later 0.005*400 + 0.01*100 = 3: 6 x < 400 to 66.6; so both turn at x = 66.67.
    assert meets_deadlines(due, FLOOR_RATES, 66.6, LIMITS, 1.0)
    assert not meets_deadlines(due, FLOOR_RATES, 66.7, LIMITS, 1.0)
    assert meets_deadlines(due, FLOOR_RATES, 59.9, LIMITS, 0.9)
    assert not meets_deadlines(due, FLOOR_RATES, 60.1, LIMITS, 0.9)


@pytest.mark.parametrize(
    ("due", "turns"),
    [
        # (4) k=1: N(100) = 4, no floors: 4 x < 100.
        ([50.0] * 4, 25.0),
        # (4) k=2: N(400) = 7 + 3 floors: 10 x < 400; (6) k=1,i=2 sees none in [300, 400): 1 x < 100.
        ([250.0] * 7, 40.0),
        # (6) k=1,i=2: N(400)-N(300) = 3, + lambda_1 * min(100, 300) = 1: 4 x < 100.
        ([350.0] * 3, 25.0),
        # (6) k=1,i=3: 3 in [900, 1000), + lambda_1 * 100 + lambda_2 * min(100, 600) = 1.5: 4.5 x < 100.
        ([950.0] * 3, 100.0 / 4.5),
        # (6) k=2,i=3: 14 in [600, 1000), ahead 3, + lambda_2 * min(400, 600) = 2, + lambda_1 * 100 = 1:
        # 20 x < 400.
        ([700.0] * 14, 20.0),
    ],
)
def test_each_condition_turns_where_worked_out(due: list[float], turns: float) -> None:
    assert meets_deadlines(due, FLOOR_RATES, turns - 0.01, LIMITS, 1.0)
    assert not meets_deadlines(due, FLOOR_RATES, turns + 0.01, LIMITS, 1.0)


def test_set_up_exactly_at_a_limit_is_not_below_it() -> None:
    assert meets_deadlines([100.0] * 5, (0.0, 0.0, 0.0), 25.0, LIMITS, 1.0)
    assert not meets_deadlines([99.0] * 5, (0.0, 0.0, 0.0), 25.0, LIMITS, 1.0)


def test_x_is_the_upper_quartile_and_starts_at_nought() -> None:
    core = Server(entry(1), 0.0, -math.inf, deque(maxlen=STREAK))
    assert core.delay(0.0) == 0.0
    core.ratios.extend((0.0, delay) for delay in (10.0, 20.0, 30.0, 40.0))
    assert core.delay(0.0) == 40.0
    core.ratios.extend((0.0, 10.0) for _ in range(4))
    assert core.delay(0.0) == 30.0
    assert core.delay(RECOVER_MS) == 0.0  # delays that old tell nothing
    core.pending[7] = Pending(0.0, 100.0, 2)  # sent at 100 as the second then out
    assert core.delay(200.0) == 50.0  # 100 ms without an answer, over two


def test_level_changes_only_after_five_detections_in_a_row() -> None:
    controller, core = started()
    core.ratios.append((0.0, 1.0e6))
    core.pending[99] = Pending(10.0, 0.0, 1)
    for _ in range(STREAK - 1):
        controller.gate.detect(0.0, core)
    assert core.level == 0
    controller.gate.detect(0.0, core)
    assert core.level == 2
    core.pending.clear()
    core.ratios.clear()
    for _ in range(STREAK - 1):
        controller.gate.detect(0.0, core)
    assert core.level == 2
    controller.gate.detect(0.0, core)
    assert core.level == 0


def test_margin_alone_signals_level_1() -> None:
    controller, core = started()
    core.ratios.append((0.0, 0.95 * controller.node.ranking.limits[0]))
    core.pending[99] = Pending(1.0, 0.0, 1)
    for _ in range(STREAK):
        controller.gate.detect(0.0, core)
    assert core.level == 1


def test_a_stall_of_the_sender_is_no_evidence() -> None:
    for slept, level in ((True, 0), (False, 2)):
        controller = Controller(settings(), 5)
        listed(controller, 0.0, 1)
        for call in range(1, 6):
            controller.handle(10.0, demand(call))
        if not slept:
            wait(controller, 10.0, 2500.0)
            controller.node.fleet.servers[1].heard = controller.node.clock.awake
        for call in range(6, 11):
            controller.handle(2500.0, api.CallRequest(call, 0, 0, 3000.0, 1))
            controller.node.fleet.servers[1].heard = controller.node.clock.awake
        assert controller.node.fleet.servers[1].level == level


def test_a_set_up_turned_away_or_timed_out_means_level_2_at_once() -> None:
    for status, note in ((api.Status.FULL, 3), (api.Status.TIMEOUT, 0)):
        controller = Controller(settings(), 5)
        listed(controller, 0.0, 1)
        controller.handle(10.0, demand(1))
        controller.handle(20.0, api.Ended(1, 0, 1, status, False, 10.0, note))
        assert controller.node.fleet.servers[1].level == 2


def test_no_free_line_is_no_evidence_of_a_pressed_processor() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1)
    controller.handle(10.0, demand(1))
    controller.handle(20.0, api.Ended(1, 0, 1, api.Status.FULL, False, 10.0, 1))
    assert controller.node.fleet.servers[1].level == 0


def test_callers_who_left_leave_n() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1)
    controller.handle(10.0, demand(1))
    assert len(controller.node.fleet.servers[1].pending) == 1
    controller.handle(20.0, api.HungUp(1))
    assert not controller.node.fleet.servers[1].pending


def test_a_node_among_many_acts_on_its_part_of_the_five_detections() -> None:
    for nodes, needed in ((1, 5), (2, 2), (250, 1)):
        controller = Controller(settings(Instances=nodes), 5)
        listed(controller, 0.0, 1)
        core = controller.node.fleet.servers[1]
        core.wait.put(0.0, 1.0e6)
        levels = []
        for _ in range(6):
            controller.gate.detect(0.0, core)
            levels.append(core.level)
        assert levels == [0] * (needed - 1) + [2] * (7 - needed)


def test_a_reported_wait_is_a_backlog_ahead_and_ends_with_its_age() -> None:
    controller = Controller(settings(Instances=250), 5)
    listed(controller, 0.0, 1)
    report = (9.0, 9.0, 600.0)
    controller.handle(10.0, api.Ended(7, 0, 1, api.Status.OK, True, 10.0, 0, report))
    controller.gate.detect(10.0, controller.node.fleet.servers[1])
    assert controller.node.fleet.servers[1].level == 2
    wait(controller, 10.0, 9000.0)
    controller.handle(9000.0, demand(1))
    assert controller.node.fleet.servers[1].level == 0


@pytest.mark.parametrize("value", [-1.0, math.nan, math.inf])
def test_an_impossible_report_is_no_evidence(value: float) -> None:
    controller = Controller(settings(Instances=250), 5)
    listed(controller, 0.0, 1)
    controller.handle(10.0, api.Ended(7, 0, 1, api.Status.OK, True, 10.0, 0, (9.0, 9.0, value)))
    assert sent_to(controller.handle(20.0, demand(1))) == [1]
    assert controller.node.fleet.servers[1].level == 0


def test_own_delays_are_counted_without_this_nodes_stall() -> None:
    controller = Controller(settings(Instances=250), 5)
    listed(controller, 0.0, 1)
    for stall in (300.0, 600.0, 2000.0):
        start = controller.node.clock.last + 100.0
        controller.handle(start, demand(int(start)))
        controller.handle(start + stall, api.Answered(int(start), 0, 1, stall))
        assert controller.node.fleet.servers[1].wait.get(start + stall) == 0.0
        assert controller.node.fleet.servers[1].level == 0


def test_a_beat_tells_stalls_from_sparse_events() -> None:
    controller = Controller(settings(), 5)
    now, beats = 0.0, []
    listed(controller, now, 1)
    for _ in range(20):
        now = controller.beat
        beats += controller.handle(now, api.TimerFired(1 << 63))
    assert all(isinstance(beat, api.SetTimer) for beat in beats)
    assert controller.node.clock.awake == now  # no call for seconds, and yet no stall
