"""Gapping above floors: ranks, levels and what each lets through."""

import pytest

from seamlb import api
from seamlb.policy.controller import Controller
from seamlb.policy.gating import STEP_MS
from seamlb.policy.node import STREAK
from seamlb.policy.ranking import FLOORS
from tests.mechanism import started, takes
from tests.support import RAW, demand, listed, sent_to, settings


def test_ranks_follow_worth_and_traffic_over_the_share_ranks_below() -> None:
    controller, _ = started()
    # b is worth 3, a 1; beyond the share a tenth: b 0.3, a 0.1.
    assert controller.node.ranking.ranks == {(1, 0, 0): 0, (0, 0, 0): 1, (1, 1, 0): 2, (0, 1, 0): 3}
    assert controller.node.ranking.floor_ratios == [FLOORS[0], FLOORS[1], FLOORS[2], FLOORS[2]]


@pytest.mark.parametrize("classes", [1, 2, 3, 5, 12])
def test_floors_fall_from_the_papers_highest_to_its_lowest_whatever_the_number_of_classes(classes: int) -> None:
    kinds = [RAW["Classes"][0] | {"Name": f"c{place}", "Worth": 1.0 + place} for place in range(classes)]
    made = settings(Classes=kinds, Tenants=[{"AllowancePerS": 1.0}], OverShareWorth=0.001)
    floors = Controller(made, 1).node.ranking.floor_ratios
    assert floors[0] == FLOORS[0] and set(floors[classes:]) == {FLOORS[-1]}, "over the share the lowest"
    assert floors[:classes][:3] == list(FLOORS[:classes]) if classes <= 3 else floors[classes - 1] == FLOORS[-1]
    assert all(dearer > cheaper for dearer, cheaper in zip(floors[: classes - 1], floors[1:classes], strict=True))


def test_level_1_gaps_from_the_lowest_and_level_0_lifts_the_dearest_first() -> None:
    controller, core = started()
    core.level = 1
    depths = []
    for turn in range(6):
        controller.gate._step(1000.0 + turn * STEP_MS, core)
        depths.append(core.depth)
    assert depths == [1, 2, 3, 4, 4, 4]
    core.level = 0
    depths = []
    for turn in range(6):
        controller.gate._step(5000.0 + turn * STEP_MS, core)
        depths.append(core.depth)
    assert depths[-1] == 0
    assert all(a - b in (0, 1) for a, b in zip(depths[1:], depths[2:], strict=False))


def test_level_2_gaps_all_at_once() -> None:
    controller, core = started()
    core.level = 2
    controller.gate._step(1000.0, core)
    assert core.depth == 4


def test_a_gapped_rank_passes_once_per_interval() -> None:
    controller, core = started(1000.0)  # as many as it takes
    core.wait.put(0.0, 1.0e9)
    for _ in range(STREAK):
        controller.gate.detect(0.0, core)
    takes(controller, 1.0)
    passed = []
    for call in range(1, 1001):
        now = 2.0 * call
        takes(controller, 1.0, now)
        core.wait.put(now, 1.0e9)
        if sent_to(controller.handle(now, demand(call))):
            passed.append(now)
            controller.handle(now, api.HungUp(call))
    gap = 1.0 / controller.gate.floors(2000.0, core)[1]
    assert len(passed) == pytest.approx(2000.0 / gap, abs=1.0)
    assert min(b - a for a, b in zip(passed, passed[1:], strict=False)) > 0.4 * gap


def test_floors_keep_the_ratio_and_stay_below_the_servers_rate() -> None:
    controller, core = started()
    takes(controller, 0.05)
    floors = controller.gate.floors(0.0, core)
    assert floors[0] / floors[1] == pytest.approx(2.0)
    assert floors[1] / floors[2] == pytest.approx(10.0)
    assert sum(floors) < 0.05  # paper's (1)


def test_many_nodes_gapping_at_once_do_not_pass_a_call_each_at_once() -> None:
    nodes = [Controller(settings(Instances=250, Me=me), me) for me in range(250)]
    sent = 0
    for node in nodes:
        listed(node, 0.0, 1)
        takes(node, 0.0003, 1000.0)  # 75 a second of all together
        node.node.fleet.servers[1].wait.put(1000.0, 1.0e6)
        node.gate.detect(1000.0, node.node.fleet.servers[1])
        sent += len(sent_to(node.handle(1001.0, demand(1))))
        sent += len(sent_to(node.handle(1002.0, demand(2, kind=1))))
    assert sent < 25  # a herd would be 500; a tenth of 75 a second is allowed


def test_a_frozen_report_leaves_the_floors_open() -> None:
    controller = Controller(settings(Instances=250), 5)
    listed(controller, 0.0, 1)
    sent = 0
    for turn in range(1, 1200):
        now = turn * 100.0
        takes(controller, 0.01, now)
        frozen = (90.0, 90.0, 600.0)
        controller.handle(now, api.Ended(10**6 + turn, 0, 1, api.Status.OK, True, 9.0, 0, frozen))
        if sent_to(controller.handle(now, demand(turn, kind=1))):
            sent += 1
            controller.handle(now + 10.0, api.Answered(turn, 0, 1, 10.0))
    assert 20 < sent < 300  # its floor is about 80 in two minutes
