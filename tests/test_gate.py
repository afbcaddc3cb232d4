"""Gapping above floors: ranks, levels and the calls that each admits."""

import pytest

from seamlb import api
from seamlb.policy.controller import Controller
from seamlb.policy.gating import GAPPING_STEP_MS
from seamlb.policy.node import DETECTION_STREAK
from seamlb.policy.ranking import PAPER_FLOORS
from tests.mechanism import controller_with_server, set_answer_rate
from tests.support import RAW, call_request, give_list, sent_to, settings


def test_ranks_follow_worth_and_calls_over_the_share_rank_below() -> None:
    controller, _ = controller_with_server()
    # Class b is worth 3, a 1; over the share a tenth: b 0.3, a 0.1.
    assert controller.node.ranking.ranks == {(1, 0, 0): 0, (0, 0, 0): 1, (1, 1, 0): 2, (0, 1, 0): 3}
    assert controller.node.ranking.floor_ratios == [
        PAPER_FLOORS[0],
        PAPER_FLOORS[1],
        PAPER_FLOORS[2],
        PAPER_FLOORS[2],
    ]


@pytest.mark.parametrize("classes", [1, 2, 3, 5, 12])
def test_floors_fall_from_the_papers_highest_to_its_lowest_for_any_number_of_classes(classes: int) -> None:
    raw_classes = [RAW["Classes"][0] | {"Name": f"c{index}", "Worth": 1.0 + index} for index in range(classes)]
    with_classes = settings(Classes=raw_classes, Tenants=[{"AllowancePerS": 1.0}], OverShareWorth=0.001)
    floors = Controller(with_classes, 1).node.ranking.floor_ratios
    assert floors[0] == PAPER_FLOORS[0] and set(floors[classes:]) == {PAPER_FLOORS[-1]}, (
        "calls over the share get the lowest floor"
    )
    assert (
        floors[:classes][:3] == list(PAPER_FLOORS[:classes])
        if classes <= 3
        else floors[classes - 1] == PAPER_FLOORS[-1]
    )
    assert all(higher > lower for higher, lower in zip(floors[: classes - 1], floors[1:classes], strict=True))


def test_level_1_gaps_the_lowest_rank_first_and_level_0_lifts_the_highest_first() -> None:
    controller, server = controller_with_server()
    server.level = 1
    gapped = []
    for step in range(6):
        controller.gate._step_gapping(1000.0 + step * GAPPING_STEP_MS, server)
        gapped.append(server.gapped_ranks)
    assert gapped == [1, 2, 3, 4, 4, 4]
    server.level = 0
    gapped = []
    for step in range(6):
        controller.gate._step_gapping(5000.0 + step * GAPPING_STEP_MS, server)
        gapped.append(server.gapped_ranks)
    assert gapped[-1] == 0
    assert all(a - b in (0, 1) for a, b in zip(gapped[1:], gapped[2:], strict=False))


def test_level_2_gaps_all_ranks_at_once() -> None:
    controller, server = controller_with_server()
    server.level = 2
    controller.gate._step_gapping(1000.0, server)
    assert server.gapped_ranks == 4


def test_a_gapped_rank_admits_one_call_per_interval() -> None:
    controller, server = controller_with_server(1000.0)  # no call is over its share
    server.queue_delay.set(0.0, 1.0e9)
    for _ in range(DETECTION_STREAK):
        controller.gate.update_level(0.0, server)
    set_answer_rate(controller, 1.0)
    admitted = []
    for call in range(1, 1001):
        now = 2.0 * call
        set_answer_rate(controller, 1.0, now)
        server.queue_delay.set(now, 1.0e9)
        if sent_to(controller.handle(now, call_request(call))):
            admitted.append(now)
            controller.handle(now, api.HungUp(call))
    interval = 1.0 / controller.gate.floor_rates(2000.0, server)[1]
    assert len(admitted) == pytest.approx(2000.0 / interval, abs=1.0)
    assert min(b - a for a, b in zip(admitted, admitted[1:], strict=False)) > 0.4 * interval


def test_floors_keep_the_papers_ratio_and_stay_below_the_servers_rate() -> None:
    controller, server = controller_with_server()
    set_answer_rate(controller, 0.05)
    floors = controller.gate.floor_rates(0.0, server)
    assert floors[0] / floors[1] == pytest.approx(2.0)
    assert floors[1] / floors[2] == pytest.approx(10.0)
    assert sum(floors) < 0.05  # the paper's (1)


def test_many_nodes_that_start_gapping_at_once_do_not_each_send_a_call_at_once() -> None:
    nodes = [Controller(settings(Instances=250, Me=me), me) for me in range(250)]
    sent = 0
    for node in nodes:
        give_list(node, 0.0, 1)
        set_answer_rate(node, 0.0003, 1000.0)  # 75 per s from all nodes together
        node.node.fleet.servers[1].queue_delay.set(1000.0, 1.0e6)
        node.gate.update_level(1000.0, node.node.fleet.servers[1])
        sent += len(sent_to(node.handle(1001.0, call_request(1))))
        sent += len(sent_to(node.handle(1002.0, call_request(2, call_class=1))))
    assert sent < 25  # two calls from each node would be 500; the floors allow a tenth of 75 per s


def test_a_report_that_never_changes_still_leaves_the_floors_open() -> None:
    controller = Controller(settings(Instances=250), 5)
    give_list(controller, 0.0, 1)
    sent = 0
    for step in range(1, 1200):
        now = step * 100.0
        set_answer_rate(controller, 0.01, now)
        constant_report = (90.0, 90.0, 600.0)
        controller.handle(now, api.Ended(10**6 + step, 0, 1, api.Status.OK, True, 9.0, 0, constant_report))
        if sent_to(controller.handle(now, call_request(step, call_class=1))):
            sent += 1
            controller.handle(now + 10.0, api.Answered(step, 0, 1, 10.0))
    assert 20 < sent < 300  # its floor allows about 80 in two minutes
