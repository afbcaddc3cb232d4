"""A node that has just started takes its part of the servers from the settings, and all nodes keep rule 4."""

import pytest

from seamlb import api
from seamlb.policy.controller import Controller
from tests.support import call_request, entry, give_list, sent_to, settings

SERVERS = 8


def new_controller(nodes: int, tenants: int, seed: int = 1) -> Controller:
    """Return one of `nodes`, each of which expects 4 calls per s by the allowances of all tenants together."""
    offices = [{"Name": str(index), "AllowancePerS": 4.0 * nodes / tenants} for index in range(tenants)]
    controller = Controller(settings(Instances=nodes, Tenants=offices, OverShareWorth=0.1), seed)
    give_list(controller, 0.0, *range(1, SERVERS + 1))
    return controller


@pytest.mark.parametrize("tenants", [1, 3, 40])
@pytest.mark.parametrize("nodes", [1, 4, 200])
def test_a_new_node_serves_its_part_of_the_calls_while_the_first_choice_is_cold(nodes: int, tenants: int) -> None:
    controller = new_controller(nodes, tenants)
    controller.handle(0.0, api.ListChange(api.Scope.DELTA, (entry(1, since=1.0),)))
    served = 0
    for call in range(1, 33):  # 8 s of its part, all with the cold server as first choice
        now = call * 250.0
        servers = sent_to(controller.handle(now, call_request(call, dest=1, tenant=call % tenants)))
        if servers:
            controller.handle(now + 5.0, api.Answered(call, 0, servers[0], 5.0))
        served += len(servers)
    assert served >= 30


def test_nodes_that_start_together_keep_rule_4_for_a_cold_server() -> None:
    nodes = [new_controller(200, 3, me) for me in range(200)]
    for node in nodes:
        node.handle(0.0, api.ListChange(api.Scope.DELTA, (entry(1, since=1.0),)))
    sends: list[float] = []
    for step in range(1, 240):  # the full capacity of the servers, a fifth more than the allowances
        now = step * 25.0
        for index, node in enumerate(nodes):
            if (step * 3 + index * 7) % 25 >= 3:
                continue
            servers = sent_to(node.handle(now, call_request(step, dest=1, tenant=step % 3)))
            sends += [now] * (servers == [1])
            if servers:
                node.handle(now, api.Answered(step, 0, servers[0], 5.0))
    rules = settings().contract
    capacity = 4.8 * len(nodes) / SERVERS / 1000.0  # of the warm server, set-ups per ms
    assert sends
    for start in range(0, 6000, 100):
        count = sum(start <= at < start + rules.fall for at in sends)
        warmed = rules.start_capacity + (1.0 - rules.start_capacity) * start / rules.cold
        assert count <= rules.fall_multiple * warmed * capacity * rules.fall
