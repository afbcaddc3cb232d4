"""Rule 4 for one node, drains, refusals and subscriptions: single cases of the rules."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb import api
from seamlb.api import Availability, Scope
from seamlb.policy.controller import Controller
from tests.support import cold_allowance, demand, entry, listed, sent_to
from tests.support import settings as make_settings


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(st.floats(0.0, 40.0), min_size=50, max_size=400), st.floats(0.005, 0.02), st.booleans())
def test_rule_4_a_cold_server_gets_no_more_than_this_nodes_part(
    gaps: list[float], rate: float, restarted: bool
) -> None:
    """Whatever the demand, sends in any `Fall` window stay under the node's part of the allowed multiple."""
    made = make_settings(Limits={"Cancel": False})
    controller = Controller(made, 3)
    listed(controller, 0.0, 1)
    now, call = 0.0, 0
    while now < 15_000.0:  # a warm server is seen to take `rate`
        now, call = now + 1.0 / rate, call + 1
        assert sent_to(controller.handle(now, demand(call))) == [1]
        controller.handle(now, api.Answered(call, 0, 1, 30.0))
    seen = controller.node.answer_rate(now, controller.node.fleet.servers[1])
    began = now
    server = 1 if restarted else 2
    scope = Scope.DELTA if restarted else Scope.FULL
    controller.handle(now, api.ListChange(scope, (entry(server, since=began),)))
    sent: list[float] = []
    for gap in gaps:
        now, call = now + gap, call + 1
        if sent_to(controller.handle(now, demand(call, dest=server))):
            sent.append(now)
            controller.handle(now, api.Answered(call, 0, server, 30.0))
    part = max(seen, controller.node.answer_rate(now, controller.node.fleet.servers[server]))
    for start in sent:
        count = sum(start <= at < start + made.contract.fall for at in sent)
        # Would all nodes send as much in the same window, the server would still not fall.
        allowed = cold_allowance(made, part * made.instances, start - began + made.contract.fall)
        assert count * made.instances <= allowed + 2.0 * math.sqrt(allowed) + 2.0


def test_a_draining_or_omitted_server_gets_nothing_in_the_same_breath() -> None:
    controller = Controller(make_settings(), 1)
    listed(controller, 0.0, 1, 2)
    controller.node.fleet.servers[2].tokens = 1.0
    controller.handle(1.0, api.ListChange(Scope.DELTA, (entry(1, Availability.DRAINING),)))
    assert sent_to(controller.handle(1.0, demand(1, dest=1))) == [2]
    controller.handle(2.0, api.ListChange(Scope.FULL, ()))
    assert controller.handle(2.0, demand(2, dest=1))[0].__class__ is api.Refuse


def test_a_call_given_up_on_is_answered_at_once_with_a_backoff() -> None:
    controller = Controller(make_settings(), 1)
    listed(controller, 0.0)
    (answer,) = controller.handle(5.0, demand(1))
    assert isinstance(answer, api.Refuse)
    assert 0 < answer.backoff <= 2000.0


def test_a_subscription_is_asked_for_where_the_list_must_be_asked() -> None:
    controller = Controller(make_settings(MembershipMode="on_request"), 1)
    asked = controller.handle(0.0, api.ListChange(Scope.CACHED, (entry(1),)))
    assert api.Subscribe(True) in asked
    assert api.Subscribe(True) in controller.handle(9.0, api.ListChange(Scope.FAILED, ()))
