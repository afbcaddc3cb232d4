"""The flows of a fixed placement: who is carried, and at which desk, exactly.

Source -> office -> within its share or beyond it -> cell (class, district, office) -> (class, district) -> desk
-> sink.
"""

from __future__ import annotations

from seamlb.planning.flow import INFINITE, Network, canonical, cheapest
from seamlb.planning.model import PERMILLE, Cell, Flows, Placement, Problem


def optimal_flows(problem: Problem, placement: Placement, exact: bool = True) -> Flows:
    """Worth first, then distance, then the canonical order: supply by class, district and office, then routes by
    desk, class and district, each greatest first.

    Offices' floors come before worth, as far as there is room. Without `exact` any flow of the best worth and
    distance is given, as the canonical one takes longer.
    """
    net = Network()
    source, sink = net.node(), net.node()
    far = max(problem.latencies_us.values(), default=0) + 1
    big = far * (problem.offered + 1)  # a unit of worth outweighs all distance
    huge = big * (max((k.value for k in problem.kinds), default=0) + 1) * (problem.offered + 1)  # a floor, all worth
    within, beyond = {}, {}
    for name in sorted(one.name for one in problem.offices):
        office, within[name], beyond[name] = net.node(), net.node(), net.node()
        net.arc(source, office, problem.floors[name], -huge)
        net.arc(source, office, INFINITE)
        net.arc(office, within[name], problem.allowances[name])
        net.arc(office, beyond[name], INFINITE)
    supply: dict[Cell, tuple[int, int]] = {}
    wants: dict[tuple[str, str], int] = {}
    for cell in problem.cells:
        kind, district, name = cell
        here = net.node()
        value = problem.kind[kind].value
        supply[cell] = (
            net.arc(within[name], here, INFINITE, -big * value),
            net.arc(beyond[name], here, INFINITE, -big * (value * problem.over_share_worth // PERMILLE)),
        )
        if (kind, district) not in wants:
            wants[kind, district] = net.node()
        net.arc(here, wants[kind, district], problem.demand[cell])
    routes = {}
    for desk, kinds in problem.classes_by_desk(placement).items():
        room = problem.capacity(desk, kinds)
        here = net.node()
        net.arc(here, sink, room)
        for kind in kinds:
            for district in sorted(problem.districts):
                if (kind, district) in wants:
                    distance = problem.latency_us(district, problem.desk[desk].district)
                    routes[kind, district, desk] = net.arc(wants[kind, district], here, INFINITE, distance)
    potential = cheapest(net, source, sink)
    if exact:
        order = [arc for cell in problem.cells for arc in supply[cell]] + list(routes.values())
        canonical(net, potential, order, (sink, source))
    return Flows(
        {cell: (net.flow(a), net.flow(b)) for cell, (a, b) in supply.items()},
        {spot: net.flow(arc) for spot, arc in routes.items()},
    )
