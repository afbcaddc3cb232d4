"""What is known of callers: redials, busy numbers, little time."""

from unittest import mock

import pytest

from seamlb import api
from seamlb.policy.callers import BUSY_MS, REMEMBERED
from seamlb.policy.controller import LINES_BUSY, Controller
from tests.mechanism import late_worth, wait
from tests.support import demand, ended, listed, sent_to, settings


def test_what_is_worth_less_than_the_cheapest_call_in_time_leaves_lines_to_it() -> None:
    tenants = [{"AllowancePerS": 0.1}]
    controller = Controller(late_worth(Tenants=tenants, OverShareWorth=0.05), 5)
    listed(controller, 0.0, 1)
    controller.handle(5.0, api.ServerReport(1, 0, 0.0, (3.0, 100.0, -1.0)))  # 0.35 ln(20) roots of 100: 10 lines kept
    assert sent_to(controller.handle(10.0, demand(1))) == [1]
    assert sent_to(controller.handle(11.0, demand(2))) == []  # beyond the share
    controller.handle(12.0, api.ServerReport(1, 0, 0.0, (12.0, 100.0, -1.0)))
    assert sent_to(controller.handle(13.0, demand(3))) == [1]


def test_a_redial_keeps_the_share_of_its_first_try_and_past_its_aim_ranks_by_late_worth() -> None:
    # Each redial was counted in its tenant's share anew, and ranked as a new call past its aim.
    controller = Controller(late_worth(Tenants=[{"AllowancePerS": 0.1}], OverShareWorth=0.05), 5)
    listed(controller, 0.0, 1)
    for call, now, over, late in ((1, 0.0, 0, 0), (2, 1500.0, 0, 0), (3, 2500.0, 0, 1)):  # aim 2000
        controller.handle(now, api.ServerReport(1, 0, 0.0, (0.0, 100.0, -1.0)))
        redial = api.CallRequest(call, 0, 0, 3000.0, 1, number_key=77)
        rank = controller.node.ranking.ranks[0, over, late]
        with mock.patch.object(controller, "_place", wraps=controller._place) as place:
            actions = controller.handle(now, redial)
        assert place.call_args.args[1].rank == rank
        assert [type(one) for one in actions if not isinstance(one, api.SetTimer)] == [api.Refuse]
    controller.handle(2600.0, api.ServerReport(1, 0, 0.0, (100.0, 100.0, -1.0)))
    controller.handle(2600.0, api.CallRequest(4, 0, 0, 3000.0, 1, number_key=78))
    # Another caller: the share was used by the first.
    assert controller.calls[4].rank == controller.node.ranking.ranks[0, 1, 0]
    controller.handle(15_000.0, api.CallRequest(5, 0, 0, 3000.0, 1, number_key=77))
    assert controller.calls[5].since == 15_000.0  # too long ago to be a redial


def test_callers_turned_away_are_forgotten_in_time_and_in_number() -> None:
    controller = Controller(settings(Instances=1), 5)
    for call in range(2 * REMEMBERED):
        controller.handle(1.0, api.CallRequest(call, 0, 0, 3000.0, 1, number_key=call + 1))  # no server: refused
    assert len(controller.callers.turned_away) == REMEMBERED
    controller.handle(20_000.0, api.CallRequest(call + 1, 0, 0, 3000.0, 1, number_key=call + 2))
    assert len(controller.callers.turned_away) == 1


def test_a_number_whose_lines_are_all_busy_is_left_alone_for_a_while() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1, 2)
    controller.handle(10.0, api.CallRequest(1, 1, 0, 3000.0, 1, number_key=77))
    busy = api.Ended(1, 0, 1, api.Status.ERROR, False, 10.0, LINES_BUSY)
    assert any(isinstance(one, api.Refuse) for one in controller.handle(20.0, busy))
    assert sent_to(controller.handle(30.0, api.CallRequest(2, 1, 0, 3000.0, 1, number_key=77))) == []
    assert sent_to(controller.handle(40.0, api.CallRequest(3, 1, 0, 3000.0, 1, number_key=78))) == [1]
    wait(controller, 40.0, 30.0 + BUSY_MS)
    assert sent_to(controller.handle(30.0 + BUSY_MS, api.CallRequest(4, 1, 0, 3000.0, 1, number_key=77)))


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
    assert ranks[0] == {controller.node.ranking.ranks[0, 0, 0], controller.node.ranking.ranks[0, 1, 0]}
    assert ranks[1] == {controller.node.ranking.ranks[0, 0, 0]}  # the other tenant stays within its share
    assert not controller.calls
    assert not controller.node.fleet.servers[1].pending


def test_a_caller_with_little_time_left_gets_its_answer_when_that_is_over() -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1, 2)
    actions = controller.handle(100.0, demand(1, grace=300.0))
    assert api.SendSetUp(1, 1, 300.0) in actions
    wait(controller, 100.0, 400.0)
    answers = controller.handle(400.0, ended(1, 1, api.Status.TIMEOUT, delay=300.0))
    assert [type(answer) for answer in answers if not isinstance(answer, api.SetTimer)] == [api.Refuse]
    assert not controller.calls


@pytest.mark.parametrize("payload", [b"", b"\xff", b"\x00" * 256])
def test_a_message_from_a_peer_changes_nothing(payload: bytes) -> None:
    controller = Controller(settings(), 5)
    listed(controller, 0.0, 1)
    assert controller.handle(1.0, api.PeerMessage(9, payload)) == []
    assert sent_to(controller.handle(2.0, demand(1))) == [1]
