"""Callers: redials, busy numbers, and calls with little time left."""

from unittest import mock

import pytest

from seamlb import api
from seamlb.policy.caller_history import BUSY_NUMBER_MS, MAX_REMEMBERED
from seamlb.policy.controller import LINES_BUSY, Controller
from tests.mechanism import advance, settings_with_late_worth
from tests.support import call_request, ended, give_list, sent_to, settings


def test_calls_worth_less_than_the_cheapest_class_leave_reserved_lines_free() -> None:
    tenants = [{"AllowancePerS": 0.1}]
    controller = Controller(settings_with_late_worth(Tenants=tenants, OverShareWorth=0.05), 5)
    give_list(controller, 0.0, 1)
    controller.handle(
        5.0, api.ServerReport(1, 0, 0.0, (3.0, 100.0, -1.0))
    )  # reserved: 0.35 ln(20) sqrt(100) = 10 lines
    assert sent_to(controller.handle(10.0, call_request(1))) == [1]
    assert sent_to(controller.handle(11.0, call_request(2))) == []  # over its share
    controller.handle(12.0, api.ServerReport(1, 0, 0.0, (12.0, 100.0, -1.0)))
    assert sent_to(controller.handle(13.0, call_request(3))) == [1]


def test_a_redial_is_in_the_share_of_its_first_try_and_ranks_by_late_worth_after_the_target() -> None:
    # Guards against counting each redial in its tenant's share again, and ranking it as new after the target.
    controller = Controller(settings_with_late_worth(Tenants=[{"AllowancePerS": 0.1}], OverShareWorth=0.05), 5)
    give_list(controller, 0.0, 1)
    for call, now, over_share, late in ((1, 0.0, 0, 0), (2, 1500.0, 0, 0), (3, 2500.0, 0, 1)):  # target 2000 ms
        controller.handle(now, api.ServerReport(1, 0, 0.0, (0.0, 100.0, -1.0)))
        redial = api.CallRequest(call, 0, 0, 3000.0, 1, number_key=77)
        rank = controller.node.ranking.ranks[0, over_share, late]
        with mock.patch.object(controller, "_place", wraps=controller._place) as placed:
            actions = controller.handle(now, redial)
        assert placed.call_args.args[1].rank == rank
        assert [type(action) for action in actions if not isinstance(action, api.SetTimer)] == [api.Refuse]
    controller.handle(2600.0, api.ServerReport(1, 0, 0.0, (100.0, 100.0, -1.0)))
    controller.handle(2600.0, api.CallRequest(4, 0, 0, 3000.0, 1, number_key=78))
    # Another caller, whose tenant's share the first caller has used up.
    assert controller.calls[4].rank == controller.node.ranking.ranks[0, 1, 0]
    controller.handle(15_000.0, api.CallRequest(5, 0, 0, 3000.0, 1, number_key=77))
    assert controller.calls[5].first_try_at == 15_000.0  # too long ago to be a redial


def test_refused_callers_are_forgotten_by_age_and_by_number() -> None:
    controller = Controller(settings(Instances=1), 5)
    for call in range(2 * MAX_REMEMBERED):
        controller.handle(1.0, api.CallRequest(call, 0, 0, 3000.0, 1, number_key=call + 1))  # no server: refused
    assert len(controller.callers.turned_away) == MAX_REMEMBERED
    controller.handle(20_000.0, api.CallRequest(call + 1, 0, 0, 3000.0, 1, number_key=call + 2))
    assert len(controller.callers.turned_away) == 1


def test_calls_to_a_number_whose_lines_are_all_busy_are_refused_for_a_while() -> None:
    controller = Controller(settings(), 5)
    give_list(controller, 0.0, 1, 2)
    controller.handle(10.0, api.CallRequest(1, 1, 0, 3000.0, 1, number_key=77))
    busy = api.Ended(1, 0, 1, api.Status.ERROR, False, 10.0, LINES_BUSY)
    assert any(isinstance(action, api.Refuse) for action in controller.handle(20.0, busy))
    assert sent_to(controller.handle(30.0, api.CallRequest(2, 1, 0, 3000.0, 1, number_key=77))) == []
    assert sent_to(controller.handle(40.0, api.CallRequest(3, 1, 0, 3000.0, 1, number_key=78))) == [1]
    advance(controller, 40.0, 30.0 + BUSY_NUMBER_MS)
    assert sent_to(controller.handle(30.0 + BUSY_NUMBER_MS, api.CallRequest(4, 1, 0, 3000.0, 1, number_key=77)))


def test_callers_that_redial_at_once_use_up_only_the_share_of_their_own_tenant() -> None:
    tenants = [{"AllowancePerS": 2.0}, {"AllowancePerS": 2.0}]
    controller = Controller(settings(Tenants=tenants, OverShareWorth=0.1, Instances=1), 5)
    give_list(controller, 0.0, 1)
    ranks: list[set[int]] = [set(), set()]
    for step in range(1, 400):
        now = 1000.0 + step * 50.0
        for tenant in (0, 1) if step % 20 == 0 else (0,):
            call = 2 * step + tenant
            controller.handle(now, call_request(call, tenant=tenant))
            if call in controller.calls:
                ranks[tenant].add(controller.calls[call].rank)
            controller.handle(now + 20.0, api.HungUp(call))
    assert ranks[0] == {controller.node.ranking.ranks[0, 0, 0], controller.node.ranking.ranks[0, 1, 0]}
    assert ranks[1] == {controller.node.ranking.ranks[0, 0, 0]}  # the other tenant stays within its share
    assert not controller.calls
    assert not controller.node.fleet.servers[1].pending


def test_a_caller_with_little_time_left_gets_its_answer_at_its_deadline() -> None:
    controller = Controller(settings(), 5)
    give_list(controller, 0.0, 1, 2)
    actions = controller.handle(100.0, call_request(1, time_left=300.0))
    assert api.SendSetUp(1, 1, 300.0) in actions
    advance(controller, 100.0, 400.0)
    answers = controller.handle(400.0, ended(1, 1, api.Status.TIMEOUT, delay=300.0))
    assert [type(answer) for answer in answers if not isinstance(answer, api.SetTimer)] == [api.Refuse]
    assert not controller.calls


@pytest.mark.parametrize("payload", [b"", b"\xff", b"\x00" * 256])
def test_a_message_from_a_peer_changes_nothing(payload: bytes) -> None:
    controller = Controller(settings(), 5)
    give_list(controller, 0.0, 1)
    assert controller.handle(1.0, api.PeerMessage(9, payload)) == []
    assert sent_to(controller.handle(2.0, call_request(1))) == [1]
