"""Exact optimal flows of a fixed placement: which load is carried, and at which desk.

The network: source -> office -> within its share or beyond it -> cell (class, district, office) -> (class, district)
-> desk -> sink.
"""

from __future__ import annotations

from seamlb.planning.flow import INFINITE, Network, canonicalize, min_cost_flow
from seamlb.planning.model import PERMILLE, Cell, Flows, Placement, Problem


def optimal_flows(problem: Problem, placement: Placement, exact: bool = True) -> Flows:
    """Flows with the greatest worth, then the least distance, then the first in the canonical order: supply by class,
    district and office, then routes by desk, class and district, each greatest first.

    Offices' floors take precedence over worth, as far as capacity permits. Without `exact` any flow with the best
    worth and distance is returned; the canonical one takes longer to compute.
    """
    network = Network()
    source, sink = network.node(), network.node()
    latency_bound_us = max(problem.latencies_us.values(), default=0) + 1
    worth_weight = latency_bound_us * (problem.offered + 1)  # one unit of worth outweighs all distance
    # One unit below a floor outweighs all worth.
    floor_weight = worth_weight * (max((k.value for k in problem.kinds), default=0) + 1) * (problem.offered + 1)
    within, beyond = {}, {}
    for office_name in sorted(one.name for one in problem.offices):
        office, within[office_name], beyond[office_name] = network.node(), network.node(), network.node()
        network.arc(source, office, problem.floors[office_name], -floor_weight)
        network.arc(source, office, INFINITE)
        network.arc(office, within[office_name], problem.allowances[office_name])
        network.arc(office, beyond[office_name], INFINITE)
    supply: dict[Cell, tuple[int, int]] = {}
    demand_nodes: dict[tuple[str, str], int] = {}
    for cell in problem.cells:
        kind, district, office_name = cell
        node = network.node()
        value = problem.kind[kind].value
        supply[cell] = (
            network.arc(within[office_name], node, INFINITE, -worth_weight * value),
            network.arc(
                beyond[office_name], node, INFINITE, -worth_weight * (value * problem.over_share_worth // PERMILLE)
            ),
        )
        if (kind, district) not in demand_nodes:
            demand_nodes[kind, district] = network.node()
        network.arc(node, demand_nodes[kind, district], problem.demand[cell])
    routes = {}
    for desk, kinds in problem.classes_by_desk(placement).items():
        capacity = problem.capacity(desk, kinds)
        node = network.node()
        network.arc(node, sink, capacity)
        for kind in kinds:
            for district in sorted(problem.districts):
                if (kind, district) in demand_nodes:
                    distance = problem.latency_us(district, problem.desk[desk].district)
                    routes[kind, district, desk] = network.arc(demand_nodes[kind, district], node, INFINITE, distance)
    potential = min_cost_flow(network, source, sink)
    if exact:
        order = [arc for cell in problem.cells for arc in supply[cell]] + list(routes.values())
        canonicalize(network, potential, order, (sink, source))
    return Flows(
        {cell: (network.flow(a), network.flow(b)) for cell, (a, b) in supply.items()},
        {route: network.flow(arc) for route, arc in routes.items()},
    )
