"""Rule 4 for one node, draining servers, refusals and subscriptions."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb import api
from seamlb.api import Availability, Scope
from seamlb.policy.controller import Controller
from tests.support import call_request, cold_allowance, entry, give_list, sent_to
from tests.support import settings as make_settings


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(st.floats(0.0, 40.0), min_size=50, max_size=400), st.floats(0.005, 0.02), st.booleans())
def test_rule_4_a_cold_server_gets_at_most_this_nodes_part(gaps: list[float], rate: float, restarted: bool) -> None:
    """For any traffic, sends in any `Fall` window stay below the node's part of the allowed multiple."""
    module_settings = make_settings(Limits={"Cancel": False})
    controller = Controller(module_settings, 3)
    give_list(controller, 0.0, 1)
    now, call = 0.0, 0
    while now < 15_000.0:  # the warm server is observed to take `rate` per ms
        now, call = now + 1.0 / rate, call + 1
        assert sent_to(controller.handle(now, call_request(call))) == [1]
        controller.handle(now, api.Answered(call, 0, 1, 30.0))
    rate_before = controller.node.answer_rate(now, controller.node.fleet.servers[1])
    started_at = now
    server = 1 if restarted else 2
    scope = Scope.DELTA if restarted else Scope.FULL
    controller.handle(now, api.ListChange(scope, (entry(server, since=started_at),)))
    sent: list[float] = []
    for gap in gaps:
        now, call = now + gap, call + 1
        if sent_to(controller.handle(now, call_request(call, dest=server))):
            sent.append(now)
            controller.handle(now, api.Answered(call, 0, server, 30.0))
    part = max(rate_before, controller.node.answer_rate(now, controller.node.fleet.servers[server]))
    for start in sent:
        count = sum(start <= at < start + module_settings.contract.fall for at in sent)
        # If all nodes sent as much in the same window, the server would still not fail.
        allowed = cold_allowance(
            module_settings, part * module_settings.instances, start - started_at + module_settings.contract.fall
        )
        assert count * module_settings.instances <= allowed + 2.0 * math.sqrt(allowed) + 2.0


def test_a_draining_or_omitted_server_gets_no_call_from_the_list_change_on() -> None:
    controller = Controller(make_settings(), 1)
    give_list(controller, 0.0, 1, 2)
    controller.node.fleet.servers[2].tokens = 1.0
    controller.handle(1.0, api.ListChange(Scope.DELTA, (entry(1, Availability.DRAINING),)))
    assert sent_to(controller.handle(1.0, call_request(1, dest=1))) == [2]
    controller.handle(2.0, api.ListChange(Scope.FULL, ()))
    assert controller.handle(2.0, call_request(2, dest=1))[0].__class__ is api.Refuse


def test_a_call_that_is_given_up_is_refused_at_once_with_a_backoff() -> None:
    controller = Controller(make_settings(), 1)
    give_list(controller, 0.0)
    (answer,) = controller.handle(5.0, call_request(1))
    assert isinstance(answer, api.Refuse)
    assert 0 < answer.backoff <= 2000.0


def test_a_subscription_is_requested_in_mode_on_request() -> None:
    controller = Controller(make_settings(MembershipMode="on_request"), 1)
    actions = controller.handle(0.0, api.ListChange(Scope.CACHED, (entry(1),)))
    assert api.Subscribe(True) in actions
    assert api.Subscribe(True) in controller.handle(9.0, api.ListChange(Scope.FAILED, ()))
