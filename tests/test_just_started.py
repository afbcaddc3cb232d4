"""A node that has just started knows its part of the servers from the settings, and all of them keep rule 4."""

import pytest

from seamlb import api
from seamlb.policy.controller import Controller
from tests.support import demand, entry, listed, sent_to, settings

SERVERS = 8


def started(nodes: int, tenants: int, seed: int = 1) -> Controller:
    """One of `nodes`, each of which the allowances of all tenants together let expect four calls a second."""
    offices = [{"Name": str(place), "AllowancePerS": 4.0 * nodes / tenants} for place in range(tenants)]
    controller = Controller(settings(Instances=nodes, Tenants=offices, OverShareWorth=0.1), seed)
    listed(controller, 0.0, *range(1, SERVERS + 1))
    return controller


@pytest.mark.parametrize("tenants", [1, 3, 40])
@pytest.mark.parametrize("nodes", [1, 4, 200])
def test_a_node_just_started_serves_what_is_its_own_while_the_first_choice_is_cold(nodes: int, tenants: int) -> None:
    controller = started(nodes, tenants)
    controller.handle(0.0, api.ListChange(api.Scope.DELTA, (entry(1, since=1.0),)))
    served = 0
    for call in range(1, 33):  # eight seconds of its part, all to the one that can take only little
        now = call * 250.0
        to = sent_to(controller.handle(now, demand(call, dest=1, tenant=call % tenants)))
        if to:
            controller.handle(now + 5.0, api.Answered(call, 0, to[0], 5.0))
        served += len(to)
    assert served >= 30


def test_nodes_that_start_all_together_keep_a_cold_server_within_rule_4() -> None:
    nodes = [started(200, 3, me) for me in range(200)]
    for node in nodes:
        node.handle(0.0, api.ListChange(api.Scope.DELTA, (entry(1, since=1.0),)))
    sends: list[float] = []
    for turn in range(1, 240):  # a fifth more than the settings let expect: all that the servers can do
        now = turn * 25.0
        for place, node in enumerate(nodes):
            if (turn * 3 + place * 7) % 25 >= 3:
                continue
            to = sent_to(node.handle(now, demand(turn, dest=1, tenant=turn % 3)))
            sends += [now] * (to == [1])
            if to:
                node.handle(now, api.Answered(turn, 0, to[0], 5.0))
    rules = settings().contract
    capacity = 4.8 * len(nodes) / SERVERS / 1000.0  # of the warm server, per ms
    assert sends
    for start in range(0, 6000, 100):
        count = sum(start <= at < start + rules.fall for at in sends)
        warmed = rules.start_capacity + (1.0 - rules.start_capacity) * start / rules.cold
        assert count <= rules.fall_multiple * warmed * capacity * rules.fall
