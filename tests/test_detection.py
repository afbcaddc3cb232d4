"""The paper's conditions (4) and (6), its x and the levels, against values calculated by hand."""

import math
from collections import deque

import pytest

from seamlb import api
from seamlb.observations import EVIDENCE_MAX_AGE_MS, PendingSetUp, Server
from seamlb.policy.controller import Controller
from seamlb.policy.deadlines import meets_deadlines
from seamlb.policy.node import DETECTION_STREAK
from tests.mechanism import advance, controller_with_server
from tests.support import call_request, entry, give_list, sent_to, settings

TARGETS = (100.0, 400.0, 1000.0)  # ms
FLOOR_RATES = (0.01, 0.005, 0.001)  # per ms


def test_condition_4_counts_set_ups_and_floors_of_shorter_targets() -> None:
    # k = 3: N(1000) = 3 and floors 0.01 * 900 + 0.005 * 600 = 12; 15 x < 1000 up to x = 66.6.
    # k = 2: N(400) = 0, floors 0.01 * 300 = 3. Set-ups due in [900, 1000) would make (6) for k = 1, i = 3 fail
    # first: floors 0.01 * 100 + 0.005 * 100 = 1.5, 4.5 x < 100 up to x = 22.2. Those due in 500 ms are in no
    # window of (6) for k = 1.
    due = [500.0, 500.0, 500.0]
    # (6) k=1,i=3: 0 + 1.5; k=1,i=2: N(400)-N(300)=0 + 0.01*100=1; k=2,i=3: N(1000)-N(600)=0,
    # earlier floors 3, later floors 0.005*400 + 0.01*100 = 3: 6 x < 400 up to 66.6; both change at x = 66.67.
    assert meets_deadlines(due, FLOOR_RATES, 66.6, TARGETS, 1.0)
    assert not meets_deadlines(due, FLOOR_RATES, 66.7, TARGETS, 1.0)
    assert meets_deadlines(due, FLOOR_RATES, 59.9, TARGETS, 0.9)
    assert not meets_deadlines(due, FLOOR_RATES, 60.1, TARGETS, 0.9)


@pytest.mark.parametrize(
    ("due", "threshold"),
    [
        # (4) k=1: N(100) = 4, no floors: 4 x < 100.
        ([50.0] * 4, 25.0),
        # (4) k=2: N(400) = 7 + 3 floors: 10 x < 400; (6) k=1,i=2 counts none in [300, 400): 1 x < 100.
        ([250.0] * 7, 40.0),
        # (6) k=1,i=2: N(400)-N(300) = 3, + lambda_1 * min(100, 300) = 1: 4 x < 100.
        ([350.0] * 3, 25.0),
        # (6) k=1,i=3: 3 in [900, 1000), + lambda_1 * 100 + lambda_2 * min(100, 600) = 1.5: 4.5 x < 100.
        ([950.0] * 3, 100.0 / 4.5),
        # (6) k=2,i=3: 14 in [600, 1000), earlier floors 3, + lambda_2 * min(400, 600) = 2, + lambda_1 * 100 = 1:
        # 20 x < 400.
        ([700.0] * 14, 20.0),
    ],
)
def test_each_condition_changes_at_the_calculated_threshold(due: list[float], threshold: float) -> None:
    assert meets_deadlines(due, FLOOR_RATES, threshold - 0.01, TARGETS, 1.0)
    assert not meets_deadlines(due, FLOOR_RATES, threshold + 0.01, TARGETS, 1.0)


def test_a_set_up_due_exactly_at_a_target_is_not_counted_below_it() -> None:
    assert meets_deadlines([100.0] * 5, (0.0, 0.0, 0.0), 25.0, TARGETS, 1.0)
    assert not meets_deadlines([99.0] * 5, (0.0, 0.0, 0.0), 25.0, TARGETS, 1.0)


def test_x_is_the_upper_quartile_and_starts_at_zero() -> None:
    server = Server(entry(1), 0.0, -math.inf, deque(maxlen=DETECTION_STREAK))
    assert server.delay_per_set_up(0.0) == 0.0
    server.recent_delays.extend((0.0, delay) for delay in (10.0, 20.0, 30.0, 40.0))
    assert server.delay_per_set_up(0.0) == 40.0
    server.recent_delays.extend((0.0, 10.0) for _ in range(4))
    assert server.delay_per_set_up(0.0) == 30.0
    assert server.delay_per_set_up(EVIDENCE_MAX_AGE_MS) == 0.0  # delays of that age are ignored
    server.pending[7] = PendingSetUp(0.0, 100.0, 2)  # sent at 100 ms as the second outstanding one
    assert server.delay_per_set_up(200.0) == 50.0  # 100 ms without an answer, divided by 2


def test_level_changes_only_after_five_detections_in_a_row() -> None:
    controller, server = controller_with_server()
    server.recent_delays.append((0.0, 1.0e6))
    server.pending[99] = PendingSetUp(10.0, 0.0, 1)
    for _ in range(DETECTION_STREAK - 1):
        controller.gate.update_level(0.0, server)
    assert server.level == 0
    controller.gate.update_level(0.0, server)
    assert server.level == 2
    server.pending.clear()
    server.recent_delays.clear()
    for _ in range(DETECTION_STREAK - 1):
        controller.gate.update_level(0.0, server)
    assert server.level == 2
    controller.gate.update_level(0.0, server)
    assert server.level == 0


def test_failing_only_the_margin_means_level_1() -> None:
    controller, server = controller_with_server()
    server.recent_delays.append((0.0, 0.95 * controller.node.ranking.targets[0]))
    server.pending[99] = PendingSetUp(1.0, 0.0, 1)
    for _ in range(DETECTION_STREAK):
        controller.gate.update_level(0.0, server)
    assert server.level == 1


def test_a_stall_of_this_node_is_no_evidence_of_overload() -> None:
    for stalled, level in ((True, 0), (False, 2)):
        controller = Controller(settings(), 5)
        give_list(controller, 0.0, 1)
        for call in range(1, 6):
            controller.handle(10.0, call_request(call))
        if not stalled:
            advance(controller, 10.0, 2500.0)
            controller.node.fleet.servers[1].last_answer_at = controller.node.clock.awake
        for call in range(6, 11):
            controller.handle(2500.0, api.CallRequest(call, 0, 0, 3000.0, 1))
            controller.node.fleet.servers[1].last_answer_at = controller.node.clock.awake
        assert controller.node.fleet.servers[1].level == level


def test_a_set_up_refused_for_overload_or_timed_out_means_level_2_at_once() -> None:
    for status, note in ((api.Status.FULL, 3), (api.Status.TIMEOUT, 0)):
        controller = Controller(settings(), 5)
        give_list(controller, 0.0, 1)
        controller.handle(10.0, call_request(1))
        controller.handle(20.0, api.Ended(1, 0, 1, status, False, 10.0, note))
        assert controller.node.fleet.servers[1].level == 2


def test_a_refusal_for_lack_of_lines_is_no_evidence_of_an_overloaded_processor() -> None:
    controller = Controller(settings(), 5)
    give_list(controller, 0.0, 1)
    controller.handle(10.0, call_request(1))
    controller.handle(20.0, api.Ended(1, 0, 1, api.Status.FULL, False, 10.0, 1))
    assert controller.node.fleet.servers[1].level == 0


def test_callers_that_hang_up_are_not_counted_in_n() -> None:
    controller = Controller(settings(), 5)
    give_list(controller, 0.0, 1)
    controller.handle(10.0, call_request(1))
    assert len(controller.node.fleet.servers[1].pending) == 1
    controller.handle(20.0, api.HungUp(1))
    assert not controller.node.fleet.servers[1].pending


def test_a_node_among_many_needs_only_its_part_of_the_five_detections() -> None:
    for nodes, needed in ((1, 5), (2, 2), (250, 1)):
        controller = Controller(settings(Instances=nodes), 5)
        give_list(controller, 0.0, 1)
        server = controller.node.fleet.servers[1]
        server.queue_delay.set(0.0, 1.0e6)
        levels = []
        for _ in range(6):
            controller.gate.update_level(0.0, server)
            levels.append(server.level)
        assert levels == [0] * (needed - 1) + [2] * (7 - needed)


def test_a_reported_queueing_delay_counts_as_backlog_until_it_is_too_old() -> None:
    controller = Controller(settings(Instances=250), 5)
    give_list(controller, 0.0, 1)
    report = (9.0, 9.0, 600.0)
    controller.handle(10.0, api.Ended(7, 0, 1, api.Status.OK, True, 10.0, 0, report))
    controller.gate.update_level(10.0, controller.node.fleet.servers[1])
    assert controller.node.fleet.servers[1].level == 2
    advance(controller, 10.0, 9000.0)
    controller.handle(9000.0, call_request(1))
    assert controller.node.fleet.servers[1].level == 0


@pytest.mark.parametrize("value", [-1.0, math.nan, math.inf])
def test_an_invalid_report_is_no_evidence_of_overload(value: float) -> None:
    controller = Controller(settings(Instances=250), 5)
    give_list(controller, 0.0, 1)
    controller.handle(10.0, api.Ended(7, 0, 1, api.Status.OK, True, 10.0, 0, (9.0, 9.0, value)))
    assert sent_to(controller.handle(20.0, call_request(1))) == [1]
    assert controller.node.fleet.servers[1].level == 0


def test_measured_delays_leave_out_stalls_of_this_node() -> None:
    controller = Controller(settings(Instances=250), 5)
    give_list(controller, 0.0, 1)
    for stall in (300.0, 600.0, 2000.0):
        start = controller.node.clock.last_reading + 100.0
        controller.handle(start, call_request(int(start)))
        controller.handle(start + stall, api.Answered(int(start), 0, 1, stall))
        assert controller.node.fleet.servers[1].queue_delay.get(start + stall) == 0.0
        assert controller.node.fleet.servers[1].level == 0


def test_the_stall_timer_distinguishes_stalls_from_sparse_events() -> None:
    controller = Controller(settings(), 5)
    now, timers = 0.0, []
    give_list(controller, now, 1)
    for _ in range(20):
        now = controller.stall_timer_at
        timers += controller.handle(now, api.TimerFired(1 << 63))
    assert all(isinstance(action, api.SetTimer) for action in timers)
    assert controller.node.clock.awake == now  # no call for seconds, and still no stall
