"""The paper's parts against values worked out by hand."""

import math
from collections import deque
from unittest import mock

import pytest

from seamlb import api
from seamlb.control import (
    BUSY_MS,
    FLOORS,
    LINES_BUSY,
    RECOVER_MS,
    STEP_MS,
    STREAK,
    TURNED,
    Controller,
    Core,
    holds,
)
from tests.support import RAW, demand, ended, entry, listed, sent_to, settings

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
    assert holds(due, FLOOR_RATES, 66.6, LIMITS, 1.0)
    assert not holds(due, FLOOR_RATES, 66.7, LIMITS, 1.0)
    assert holds(due, FLOOR_RATES, 59.9, LIMITS, 0.9)
    assert not holds(due, FLOOR_RATES, 60.1, LIMITS, 0.9)


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
    assert holds(due, FLOOR_RATES, turns - 0.01, LIMITS, 1.0)
    assert not holds(due, FLOOR_RATES, turns + 0.01, LIMITS, 1.0)


def test_set_up_exactly_at_a_limit_is_not_below_it() -> None:
    assert holds([100.0] * 5, (0.0, 0.0, 0.0), 25.0, LIMITS, 1.0)
    assert not holds([99.0] * 5, (0.0, 0.0, 0.0), 25.0, LIMITS, 1.0)


def test_x_is_the_upper_quartile_and_starts_at_nought() -> None:
    core = Core(entry(1), 0.0, -math.inf, deque(maxlen=STREAK), 0.0)
    assert core.x(0.0) == 0.0
    core.ratios.extend((0.0, delay) for delay in (10.0, 20.0, 30.0, 40.0))
    assert core.x(0.0) == 40.0
    core.ratios.extend((0.0, 10.0) for _ in range(4))
    assert core.x(0.0) == 30.0
    assert core.x(RECOVER_MS) == 0.0  # delays that old tell nothing
    core.pending[7] = (0.0, 100.0, 2)  # sent at 100 as the second then out
    assert core.x(200.0) == 50.0  # 100 ms without an answer, over two


def started(allowance: float = 4.0) -> tuple[Controller, Core]:
    tenants = [{"AllowancePerS": allowance}]
    controller = Controller(settings(Tenants=tenants, OverShareWorth=0.1, Instances=1), 1)
    listed(controller, 0.0, 1)
    return controller, controller.cores[1]


def test_level_changes_only_after_five_detections_in_a_row() -> None:
    controller, core = started()
    core.ratios.append((0.0, 1.0e6))
    core.pending[99] = (10.0, 0.0, 1)
    for _ in range(STREAK - 1):
        controller._detect(0.0, core)
    assert core.level == 0
    controller._detect(0.0, core)
    assert core.level == 2
    core.pending.clear()
    core.ratios.clear()
    for _ in range(STREAK - 1):
        controller._detect(0.0, core)
    assert core.level == 2
    controller._detect(0.0, core)
    assert core.level == 0


def test_margin_alone_signals_level_1() -> None:
    controller, core = started()
    core.ratios.append((0.0, 0.95 * controller.limits[0]))
    core.pending[99] = (1.0, 0.0, 1)
    for _ in range(STREAK):
        controller._detect(0.0, core)
    assert core.level == 1


def test_ranks_follow_worth_and_traffic_over_the_share_ranks_below() -> None:
    controller, _ = started()
    # b is worth 3, a 1; beyond the share a tenth: b 0.3, a 0.1.
    assert controller.ranks == {(1, 0, 0): 0, (0, 0, 0): 1, (1, 1, 0): 2, (0, 1, 0): 3}
    assert controller.floor_ratio == [FLOORS[0], FLOORS[1], FLOORS[2], FLOORS[2]]


def test_level_1_gaps_from_the_lowest_and_level_0_lifts_the_dearest_first() -> None:
    controller, core = started()
    core.level = 1
    depths = []
    for turn in range(6):
        controller._step(1000.0 + turn * STEP_MS, core)
        depths.append(core.depth)
    assert depths == [1, 2, 3, 4, 4, 4]
    core.level = 0
    depths = []
    for turn in range(6):
        controller._step(5000.0 + turn * STEP_MS, core)
        depths.append(core.depth)
    assert depths[-1] == 0
    assert all(a - b in (0, 1) for a, b in zip(depths[1:], depths[2:], strict=False))


def test_level_2_gaps_all_at_once() -> None:
    controller, core = started()
    core.level = 2
    controller._step(1000.0, core)
    assert core.depth == 4


def takes(controller: Controller, rate: float, now: float = 0.0) -> None:
    """Let the node have seen `rate` answers a millisecond, for ever."""
    controller.began = -math.inf
    controller.taken.put(now, rate)


def test_a_gapped_rank_passes_once_per_interval() -> None:
    controller, core = started(1000.0)  # as many as it takes
    core.wait.put(0.0, 1.0e9)
    for _ in range(STREAK):
        controller._detect(0.0, core)
    takes(controller, 1.0)
    passed = []
    for call in range(1, 1001):
        now = 2.0 * call
        takes(controller, 1.0, now)
        core.wait.put(now, 1.0e9)
        if sent_to(controller.handle(now, demand(call))):
            passed.append(now)
            controller.handle(now, api.HungUp(call))
    gap = 1.0 / controller.floors(2000.0, core)[1]
    assert len(passed) == pytest.approx(2000.0 / gap, abs=1.0)
    assert min(b - a for a, b in zip(passed, passed[1:], strict=False)) > 0.4 * gap


def test_floors_keep_the_ratio_and_stay_below_the_servers_rate() -> None:
    controller, core = started()
    takes(controller, 0.05)
    floors = controller.floors(0.0, core)
    assert floors[0] / floors[1] == pytest.approx(2.0)
    assert floors[1] / floors[2] == pytest.approx(10.0)
    assert sum(floors) < 0.05  # paper's (1)


def test_first_choice_is_taken_and_the_draw_prefers_the_quicker() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1, 2, 3)
    assert sent_to(controller.handle(1.0, demand(1, dest=2))) == [2]
    share = 0
    for call in range(10, 210):
        now = call * 240.0
        controller.cores[1].idle, controller.cores[1].told = 0.0, now
        takes(controller, 3.0, now)  # room for spill
        sent = sent_to(controller.handle(now, demand(call, dest=1)))
        delay = 200.0 if sent[0] == 2 else 1.0
        controller.handle(now + delay, api.Stands(call, 0, sent[0], delay))
        share += sent[0] == 3
    assert share > 150


def test_spill_onto_a_server_of_another_first_choice_is_budgeted() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1, 2)
    controller.cores[1].entry = entry(1, api.Availability.DRAINING)
    sent = []
    for call in range(1, 2001):
        now = 1000.0 + call * 5.0
        takes(controller, 0.002, now)  # each of the two takes one a second
        if sent_to(controller.handle(now, demand(call, dest=1))):
            sent.append(now)
            controller.handle(now, api.Stands(call, 0, 2, 5.0))
    assert 30 <= len(sent) <= 50  # ten seconds at SPILL times one a second, and a small burst
    assert sent_to(controller.handle(11_000.0, demand(5000, dest=2))) == [2]  # its own calls are free of it


def wait(controller: Controller, start: float, end: float) -> None:
    """Let time pass with other events coming in, so that the node is not taken as stalled."""
    for turn in range(int(start), int(end), 100):
        controller.handle(float(turn), api.Alarm(999))


def test_a_stall_of_the_sender_is_no_evidence() -> None:
    for slept, level in ((True, 0), (False, 2)):
        controller = Controller(settings(), 5)
        listed(controller, 0.0, 1)
        for call in range(1, 6):
            controller.handle(10.0, demand(call))
        if not slept:
            wait(controller, 10.0, 2500.0)
            controller.cores[1].heard = controller.awake
        for call in range(6, 11):
            controller.handle(2500.0, api.Demand(call, 0, 0, 3000.0, 1))
            controller.cores[1].heard = controller.awake
        assert controller.cores[1].level == level


def test_a_silent_server_is_spared_and_one_that_let_a_set_up_run_out_gets_a_call_now_and_then() -> None:
    controller = Controller(settings(), 5)  # the tightest limit is 250 ms
    listed(controller, 0.0, 1)
    assert sent_to(controller.handle(100.0, demand(1))) == [1]
    wait(controller, 100.0, 300.0)
    assert sent_to(controller.handle(300.0, demand(2))) == [1]
    wait(controller, 300.0, 400.0)
    assert sent_to(controller.handle(400.0, demand(3))) == []  # 300 ms without a word
    wait(controller, 400.0, 3100.0)
    for call in (1, 2):
        controller.handle(3100.0, api.Ended(call, 0, 1, api.Status.TIMEOUT, True, 3000.0))
    controller.cores[1].wait.put(3200.0, 0.0)
    assert sent_to(controller.handle(3200.0, demand(4))) == []  # still nothing heard
    wait(controller, 3200.0, 5400.0)
    controller.cores[1].level = controller.cores[1].depth = 0
    assert sent_to(controller.handle(5400.0, demand(5))) == [1]  # one trial
    assert sent_to(controller.handle(5401.0, demand(6))) == []
    controller.handle(5420.0, api.Stands(5, 0, 1, 20.0))
    controller.cores[1].tokens = 2.0
    assert sent_to(controller.handle(5430.0, demand(7))) == [1]


def test_a_set_up_that_later_ones_overtook_is_lost_and_no_sign_of_a_jam() -> None:
    # One answer lost in a desk's reply made its set-up's age the desk's delay: level 2, all but floors refused.
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1, 2)
    core = controller.cores[1]
    assert sent_to(controller.handle(100.0, demand(1))) == [1]
    actions: list[api.Action] = []
    for call in range(2, 5):
        sent = 100.0 * call
        assert sent_to(controller.handle(sent, demand(call))) == [1]
        actions += controller.handle(sent + 20.0, api.Stands(call, 0, 1, 20.0))
    assert [one for one in actions if isinstance(one, api.Withdraw)] == [api.Withdraw(1, 0)]
    assert core.x(controller.awake) <= 20.0
    controller.handle(430.0, api.Ended(1, 0, 1, api.Status.TIMEOUT, False, 330.0))
    assert core.level == 0
    assert core.lost < core.heard
    assert sent_to(controller.handle(440.0, demand(9))) == [1]


def test_a_draining_servers_lines_do_not_shrink_the_others_part() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1, 2)
    for server, lines in ((1, 30.0), (2, 90.0)):
        controller.handle(1.0, api.Sampled(server, 0, 0.0, (lines, lines, -1.0)))
    assert controller.lines == 120.0
    controller.handle(2.0, api.ListChange(api.Scope.DELTA, (entry(2, api.Availability.DRAINING),)))
    assert controller.lines == 30.0
    controller.handle(3.0, api.Sampled(2, 0, 0.0, (50.0, 90.0, -1.0)))
    assert controller.lines == 30.0


def test_a_server_heard_again_after_long_silence_counts_as_cold() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1)
    core = controller.cores[1]
    controller.handle(100.0, demand(1))
    controller.handle(120.0, api.Stands(1, 0, 1, 20.0))
    controller.handle(200.0, demand(2, grace=8000.0))
    wait(controller, 200.0, 7000.0)
    controller.handle(7000.0, api.Stands(2, 0, 1, 6800.0))
    assert core.cold_from == 7000.0
    assert core.tokens < 1.0


def test_a_set_up_turned_away_or_timed_out_means_level_2_at_once() -> None:
    for status, note in ((api.Status.FULL, 3), (api.Status.TIMEOUT, 0)):
        controller = Controller(settings(), 5)
        listed(controller, 0.0, 1)
        controller.handle(10.0, demand(1))
        controller.handle(20.0, api.Ended(1, 0, 1, status, False, 10.0, note))
        assert controller.cores[1].level == 2


def test_no_free_line_is_no_evidence_of_a_pressed_processor() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1)
    controller.handle(10.0, demand(1))
    controller.handle(20.0, api.Ended(1, 0, 1, api.Status.FULL, False, 10.0, 1))
    assert controller.cores[1].level == 0


def test_callers_who_left_leave_n() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1)
    controller.handle(10.0, demand(1))
    assert len(controller.cores[1].pending) == 1
    controller.handle(20.0, api.HungUp(1))
    assert not controller.cores[1].pending


def test_a_node_among_many_acts_on_its_part_of_the_five_detections() -> None:
    for nodes, needed in ((1, 5), (2, 2), (250, 1)):
        controller = Controller(settings(Instances=nodes), 5)
        listed(controller, 0.0, 1)
        core = controller.cores[1]
        core.wait.put(0.0, 1.0e6)
        levels = []
        for _ in range(6):
            controller._detect(0.0, core)
            levels.append(core.level)
        assert levels == [0] * (needed - 1) + [2] * (7 - needed)


def test_a_reported_wait_is_a_backlog_ahead_and_ends_with_its_age() -> None:
    controller = Controller(settings(Instances=250), 5)
    listed(controller, 0.0, 1)
    report = (9.0, 9.0, 600.0)
    controller.handle(10.0, api.Ended(7, 0, 1, api.Status.OK, True, 10.0, 0, report))
    controller._detect(10.0, controller.cores[1])
    assert controller.cores[1].level == 2
    wait(controller, 10.0, 9000.0)
    controller.handle(9000.0, demand(1))
    assert controller.cores[1].level == 0


@pytest.mark.parametrize("value", [-1.0, math.nan, math.inf])
def test_an_impossible_report_is_no_evidence(value: float) -> None:
    controller = Controller(settings(Instances=250), 5)
    listed(controller, 0.0, 1)
    controller.handle(10.0, api.Ended(7, 0, 1, api.Status.OK, True, 10.0, 0, (9.0, 9.0, value)))
    assert sent_to(controller.handle(20.0, demand(1))) == [1]
    assert controller.cores[1].level == 0


def test_turned_away_for_lines_is_no_option_until_told_again_or_long_ago() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1)
    controller.handle(5.0, api.Sampled(1, 0, 0.0, (3.0, 40.0, -1.0)))
    controller.handle(10.0, demand(1, kind=1))
    controller.handle(20.0, api.Ended(1, 0, 1, api.Status.FULL, False, 10.0, 1))
    assert sent_to(controller.handle(30.0, demand(2, kind=1))) == []
    controller.handle(40.0, api.Sampled(1, 0, 0.0, (2.0, 40.0, -1.0)))
    assert sent_to(controller.handle(50.0, demand(3, kind=1))) == [1]
    controller.handle(60.0, api.Ended(3, 0, 1, api.Status.FULL, False, 10.0, 1))
    wait(controller, 100.0, 5200.0)
    assert sent_to(controller.handle(5200.0, demand(4, kind=1))) == [1]  # never told again


def test_own_delays_are_counted_without_this_nodes_stall() -> None:
    controller = Controller(settings(Instances=250), 5)
    listed(controller, 0.0, 1)
    for stall in (300.0, 600.0, 2000.0):
        start = controller.last + 100.0
        controller.handle(start, demand(int(start)))
        controller.handle(start + stall, api.Stands(int(start), 0, 1, stall))
        assert controller.cores[1].wait.get(start + stall) == 0.0
        assert controller.cores[1].level == 0


def test_a_beat_tells_stalls_from_sparse_events() -> None:
    controller = Controller(settings(), 5)
    now, beats = 0.0, []
    listed(controller, now, 1)
    for _ in range(20):
        now = controller.beat
        beats += controller.handle(now, api.Alarm(1 << 63))
    assert all(isinstance(beat, api.WakeAt) for beat in beats)
    assert controller.awake == now  # no call for seconds, and yet no stall


def test_many_nodes_gapping_at_once_do_not_pass_a_call_each_at_once() -> None:
    nodes = [Controller(settings(Instances=250, Me=me), me) for me in range(250)]
    sent = 0
    for node in nodes:
        listed(node, 0.0, 1)
        takes(node, 0.0003, 1000.0)  # 75 a second of all together
        node.cores[1].wait.put(1000.0, 1.0e6)
        node._detect(1000.0, node.cores[1])
        sent += len(sent_to(node.handle(1001.0, demand(1))))
        sent += len(sent_to(node.handle(1002.0, demand(2, kind=1))))
    assert sent < 25  # a herd would be 500; a tenth of 75 a second is allowed


def test_all_nodes_together_keep_a_cold_server_within_rule_4() -> None:
    made = settings(Instances=250)
    nodes = [Controller(made, me) for me in range(250)]
    sends: list[float] = []
    for node in nodes:
        listed(node, 0.0, 1, 2)
        takes(node, 0.0006, 0.0)
        node.handle(0.0, api.ListChange(api.Scope.DELTA, (entry(1, since=1.0),)))
    capacity = 0.0003 * 250  # of the warm server, per ms
    for turn in range(1, 400):
        now = turn * 10.0
        for place, node in enumerate(nodes):
            if (turn + place) % 10 == 0:
                takes(node, 0.0006, now)
                if sent_to(node.handle(now, demand(turn))) == [1]:
                    sends.append(now)
                    node.handle(now, api.Stands(turn, 0, 1, 5.0))
    rules = made.contract
    assert sends
    for start in range(0, 4000, 100):
        count = sum(start <= at < start + rules.fall for at in sends)
        assert count <= rules.fall_multiple * rules.start_capacity * capacity * rules.fall


def late_worth(part: float = 0.25, **change: object) -> api.Settings:
    classes = [kind | {"LateWorth": part} for kind in RAW["Classes"]]
    return settings(Classes=classes, Instances=1, **change)


def test_what_is_worth_less_than_the_cheapest_call_in_time_leaves_lines_to_it() -> None:
    tenants = [{"AllowancePerS": 0.1}]
    controller = Controller(late_worth(Tenants=tenants, OverShareWorth=0.05), 5)
    listed(controller, 0.0, 1)
    controller.handle(5.0, api.Sampled(1, 0, 0.0, (3.0, 100.0, -1.0)))  # 0.35 ln(20) roots of 100: 10 lines kept
    assert sent_to(controller.handle(10.0, demand(1))) == [1]
    assert sent_to(controller.handle(11.0, demand(2))) == []  # beyond the share
    controller.handle(12.0, api.Sampled(1, 0, 0.0, (12.0, 100.0, -1.0)))
    assert sent_to(controller.handle(13.0, demand(3))) == [1]


def test_a_redial_keeps_the_share_of_its_first_try_and_past_its_aim_ranks_by_late_worth() -> None:
    # Each redial was counted in its tenant's share anew, and ranked as a new call past its aim.
    controller = Controller(late_worth(Tenants=[{"AllowancePerS": 0.1}], OverShareWorth=0.05), 5)
    listed(controller, 0.0, 1)
    for call, now, over, late in ((1, 0.0, 0, 0), (2, 1500.0, 0, 0), (3, 2500.0, 0, 1)):  # aim 2000
        controller.handle(now, api.Sampled(1, 0, 0.0, (0.0, 100.0, -1.0)))
        redial = api.Demand(call, 0, 0, 3000.0, 1, key=77)
        rank = controller.ranks[0, over, late]
        with mock.patch.object(controller, "_place", wraps=controller._place) as place:
            actions = controller.handle(now, redial)
        assert place.call_args.args[1].rank == rank
        assert [type(one) for one in actions if not isinstance(one, api.WakeAt)] == [api.Deny]
    controller.handle(2600.0, api.Sampled(1, 0, 0.0, (100.0, 100.0, -1.0)))
    controller.handle(2600.0, api.Demand(4, 0, 0, 3000.0, 1, key=78))
    assert controller.calls[4].rank == controller.ranks[0, 1, 0]  # another caller: the share was used by the first
    controller.handle(15_000.0, api.Demand(5, 0, 0, 3000.0, 1, key=77))
    assert controller.calls[5].since == 15_000.0  # too long ago to be a redial


def test_callers_turned_away_are_forgotten_in_time_and_in_number() -> None:
    controller = Controller(settings(Instances=1), 5)
    for call in range(2 * TURNED):
        controller.handle(1.0, api.Demand(call, 0, 0, 3000.0, 1, key=call + 1))  # no server: refused
    assert len(controller.turned) == TURNED
    controller.handle(20_000.0, api.Demand(call + 1, 0, 0, 3000.0, 1, key=call + 2))
    assert len(controller.turned) == 1


def test_a_server_that_fails_many_calls_is_asked_again_and_the_last_try_goes_elsewhere() -> None:
    # A desk with three quarters of all lines answered four of five set-ups with an error; each call that met
    # one was turned away while half of its lines were free.
    controller = Controller(settings(), 5)  # four attempts
    listed(controller, 0.0, 1, 2)
    fails = api.Status.ERROR
    for call in range(1, 9):  # on a healthy server a fault may be the call's own: not repeated there
        now = 10.0 * call
        controller.handle(now, api.Sampled(2, 0, 0.0, (0.0, 100.0, -1.0)))
        assert sent_to(controller.handle(now, demand(call))) == [1]
        assert (sent_to(controller.handle(now + 1.0, ended(call, 1, fails))) == [1]) == (call > 3), call
        controller.handle(now + 2.0, api.HungUp(call))
    controller.handle(200.0, api.Sampled(2, 0, 0.0, (100.0, 100.0, -1.0)))
    controller.cores[2].tokens = 2.0
    assert sent_to(controller.handle(201.0, demand(99))) == [1]
    went = [sent_to(controller.handle(202.0 + leg, ended(99, 1, fails, leg))) for leg in range(3)]
    assert went == [[1], [1], [2]]
    for call in range(100, 120):
        assert sent_to(controller.handle(300.0, demand(call, kind=1))) == [1]
        controller.handle(301.0, api.Stands(call, 0, 1, 1.0))
    assert controller.cores[1].faults < 0.1


def test_a_number_whose_lines_are_all_busy_is_left_alone_for_a_while() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1, 2)
    controller.handle(10.0, api.Demand(1, 1, 0, 3000.0, 1, key=77))
    busy = api.Ended(1, 0, 1, api.Status.ERROR, False, 10.0, LINES_BUSY)
    assert any(isinstance(one, api.Deny) for one in controller.handle(20.0, busy))
    assert sent_to(controller.handle(30.0, api.Demand(2, 1, 0, 3000.0, 1, key=77))) == []
    assert sent_to(controller.handle(40.0, api.Demand(3, 1, 0, 3000.0, 1, key=78))) == [1]
    wait(controller, 40.0, 30.0 + BUSY_MS)
    assert sent_to(controller.handle(30.0 + BUSY_MS, api.Demand(4, 1, 0, 3000.0, 1, key=77)))


def test_callers_of_one_tenant_who_redial_at_once_use_up_their_own_share() -> None:
    tenants = [{"AllowancePerS": 2.0}, {"AllowancePerS": 2.0}]
    controller = Controller(settings(Tenants=tenants, OverShareWorth=0.1, Instances=1), 5)
    listed(controller, 0.0, 1)
    ranks: list[set[int]] = [set(), set()]
    for turn in range(1, 400):
        now = 1000.0 + turn * 50.0
        for tenant in (0, 1) if turn % 20 == 0 else (0,):
            call = 2 * turn + tenant
            controller.handle(now, demand(call, tenant=tenant))
            if call in controller.calls:
                ranks[tenant].add(controller.calls[call].rank)
            controller.handle(now + 20.0, api.HungUp(call))
    assert ranks[0] == {controller.ranks[0, 0, 0], controller.ranks[0, 1, 0]}
    assert ranks[1] == {controller.ranks[0, 0, 0]}  # the other tenant stays within its share
    assert not controller.calls
    assert not controller.cores[1].pending


def test_a_caller_with_little_time_left_gets_its_answer_when_that_is_over() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1, 2)
    actions = controller.handle(100.0, demand(1, grace=300.0))
    assert api.CallOut(1, 1, 300.0) in actions
    wait(controller, 100.0, 400.0)
    answers = controller.handle(400.0, ended(1, 1, api.Status.TIMEOUT, delay=300.0))
    assert [type(answer) for answer in answers if not isinstance(answer, api.WakeAt)] == [api.Deny]
    assert not controller.calls


@pytest.mark.parametrize("payload", [b"", b"\xff", b"\x00" * 256])
def test_a_message_from_a_peer_changes_nothing(payload: bytes) -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1)
    assert controller.handle(1.0, api.PeerNote(9, payload)) == []
    assert sent_to(controller.handle(2.0, demand(1))) == [1]


def test_further_attempts_of_all_nodes_together_do_not_jam_a_small_server() -> None:
    nodes = [Controller(settings(Instances=250, Me=me), me) for me in range(250)]
    spilt = 0
    for node in nodes:
        listed(node, 0.0, 1, 2)
        node.handle(0.0, api.Sampled(1, 0, 0.0, (90.0, 90.0, -1.0)))
        node.handle(0.0, api.Sampled(2, 0, 0.0, (10.0, 10.0, -1.0)))
        for call in range(1, 21):
            now = 1000.0 + call * 50.0
            takes(node, 0.001, now)  # the small one takes 25 a second of all nodes together
            node.handle(now, api.Sampled(1, 0, 0.0, (90.0, 90.0, -1.0)))
            if sent_to(node.handle(now, demand(call, kind=1))) == [1]:
                away = api.Ended(call, 0, 1, api.Status.FULL, False, 10.0, 1)
                spilt += sent_to(node.handle(now + 10.0, away)) == [2]
    assert 0 < spilt <= 4 * 25 * 2 + 250  # SPILL times its part for two seconds, and the nodes' first ones


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
            controller.handle(now + 10.0, api.Stands(turn, 0, 1, 10.0))
    assert 20 < sent < 300  # its floor is about 80 in two minutes


def test_lines_kept_for_dearer_ranks_are_few() -> None:
    # One caller with more than its part of the traffic made most of it "over share": with half a root a rank,
    # 17 of 50 lines were kept from it and calls were refused at a desk two thirds busy.
    raw = settings(
        Tenants=[{"AllowancePerS": 0.001, "Name": "t", "Share": 1.0}], OverShareWorth=0.05,
        Report={"Fields": ["idle", "circuits"], "Source": "answers"},
    )
    controller = Controller(raw, 1)
    listed(controller, 0.0, 1)
    controller.handle(1.0, api.Sampled(1, 0, 0.0, (10.0, 50.0)))
    for call in range(2, 10):
        actions = controller.handle(1.0 + call, demand(call, kind=0))
        assert sent_to(actions) == [1], call
    assert controller.ranks[0, 1, 0] == len(controller.floor_ratio) - 1
