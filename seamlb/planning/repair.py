"""Online repair: new flows for the placement in force when the actual state differs from the plan.

Uses neither solver nor clock: given the current capacity of each desk, a min-cost flow over the fixed placement
determines where calls should go. Each step from the shares in use towards it is bounded, which prevents overload of
single desks and oscillation.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from seamlb.planning.flow import INFINITE, Network, min_cost_flow
from seamlb.planning.model import PERMILLE, Plan, Problem


@dataclass(slots=True, frozen=True)
class DeskState:
    """Current state of a desk."""

    listed: bool = True
    draining: bool = False
    cold_ms: float = -1.0  # time since its cold start; negative: warm
    full: bool = False  # has reported no idle agents for a while


@dataclass(slots=True, frozen=True)
class WarmUp:
    """Capacity ramp of a cold desk (rule 4), from the settings."""

    start_capacity: float  # part of the full capacity
    cold_ms: float  # duration of the ramp


def capacities(problem: Problem, plan: Plan, states: Mapping[str, DeskState], warm_up: WarmUp) -> dict[str, int]:
    """Current capacity in units of each desk of the placement.

    A full desk keeps its planned load but gets no more: a well-used desk is often full, and its report is seconds
    old. A cold desk gets the capacity that its ramp has reached.
    """
    result = {}
    planned_units = dict.fromkeys(problem.desk, 0)
    for (_, _, desk), units in plan.flows.routes.items():
        planned_units[desk] += units
    for desk, kinds in problem.classes_by_desk(plan.placement).items():
        state = states.get(desk, DeskState(listed=False))
        units = problem.capacity(desk, kinds)
        if not state.listed or state.draining:
            units = 0
        elif 0.0 <= state.cold_ms < warm_up.cold_ms:
            ramp = warm_up.start_capacity + (1.0 - warm_up.start_capacity) * state.cold_ms / warm_up.cold_ms
            units = int(units * ramp)
        if state.full:
            units = min(units, planned_units[desk])
        result[desk] = units
    return result


@dataclass(slots=True, frozen=True)
class RepairedFlows:
    """Flows of the repair: units by (class, desk), their worth, and whether every office's floor is met."""

    routes: Mapping[tuple[str, str], int]
    worth: int
    floors_held: bool


class Repair:
    """Recomputes the flows of one plan for changing capacities; the invariant parts are computed once."""

    def __init__(self, problem: Problem, plan: Plan) -> None:
        self.problem = problem
        self.classes_by_desk = problem.classes_by_desk(plan.placement)
        self.planned: Counter[tuple[str, str]] = Counter()
        for (kind, _, desk), units in plan.flows.routes.items():
            self.planned[kind, desk] += units
        self.demand: Counter[tuple[str, str]] = Counter()
        for (kind, _, office), units in problem.demand.items():
            self.demand[kind, office] += units

    def reroute(self, capacity: Mapping[str, int]) -> RepairedFlows:
        """The best flows of the plan's placement within these capacities: offices' floors first, then worth, then
        the fewest units beyond the planned ones.

        Districts are ignored: any desk of a class takes calls from anywhere, so the worth equals the solver's for the
        same placement and capacities. Distance is only considered by the routes of the plan.
        """
        problem, network = self.problem, Network()
        source, sink = network.node(), network.node()
        worth_weight = problem.offered + 1  # one unit of worth outweighs all units that could move
        floor_weight = worth_weight * (max((k.value for k in problem.kinds), default=0) + 1) * (problem.offered + 1)
        floors, supply, demand_nodes = [], [], {}
        for name in sorted(one.name for one in problem.offices):
            office, within, beyond = network.node(), network.node(), network.node()
            floors.append((network.arc(source, office, problem.floors[name], -floor_weight), problem.floors[name]))
            network.arc(source, office, INFINITE)
            network.arc(office, within, problem.allowances[name])
            network.arc(office, beyond, INFINITE)
            for kind in sorted(problem.kind):
                if not (units := self.demand[kind, name]):
                    continue
                if kind not in demand_nodes:
                    demand_nodes[kind] = network.node()
                node, value = network.node(), problem.kind[kind].value
                reduced_value = value * problem.over_share_worth // PERMILLE
                supply += [
                    (network.arc(within, node, INFINITE, -worth_weight * value), value),
                    (network.arc(beyond, node, INFINITE, -worth_weight * reduced_value), reduced_value),
                ]
                network.arc(node, demand_nodes[kind], units)
        routes = []
        for desk, kinds in self.classes_by_desk.items():
            node = network.node()
            network.arc(node, sink, capacity.get(desk, 0))
            for kind in kinds:
                if kind in demand_nodes:
                    routes.append(
                        (
                            kind,
                            desk,
                            network.arc(demand_nodes[kind], node, self.planned[kind, desk], 0),
                            network.arc(demand_nodes[kind], node, INFINITE, 1),
                        )
                    )
        min_cost_flow(network, source, sink)
        return RepairedFlows(
            {(kind, desk): network.flow(a) + network.flow(b) for kind, desk, a, b in routes},
            sum(network.flow(arc) * value for arc, value in supply),
            all(network.flow(arc) == floor for arc, floor in floors),
        )


def district_shares(plan: Plan, repaired: RepairedFlows, kind: str, district: str) -> dict[str, int]:
    """Permille by desk of a class's calls from a district; if none are planned there, of its calls from anywhere.

    Units that the repair removes from a desk are removed from every district in proportion. Units that it adds go to
    the districts that lost some. Each agent computes this on its own, and together they match the repair.
    """
    own_units: Counter[str] = Counter()
    planned_units: Counter[str] = Counter()
    for (route_class, origin, desk), units in sorted(plan.flows.routes.items()):
        if route_class == kind and units:
            planned_units[desk] += units
            if origin == district:
                own_units[desk] += units
    after = {desk: units for (route_class, desk), units in repaired.routes.items() if route_class == kind and units}
    if not own_units:
        return permille(after) if after else {}
    units_by_desk = {
        desk: units * min(planned_units[desk], after.get(desk, 0)) // planned_units[desk]
        for desk, units in own_units.items()
    }
    extra = {
        desk: units - planned_units[desk] for desk, units in sorted(after.items()) if units > planned_units[desk]
    }
    for desk, units in _apportion(extra, sum(own_units.values()) - sum(units_by_desk.values())).items():
        units_by_desk[desk] = units_by_desk.get(desk, 0) + units
    units_by_desk = {desk: units for desk, units in units_by_desk.items() if units}
    return permille(units_by_desk) if units_by_desk else permille(after) if after else {}


def permille(units: Mapping[str, int]) -> dict[str, int]:
    """Units converted to permille that add up to 1,000."""
    total = sum(units.values())
    parts = {name: count * PERMILLE // total for name, count in units.items()}
    order = sorted(units, key=lambda name: (-(units[name] * PERMILLE % total), name))
    for name in order[: PERMILLE - sum(parts.values())]:
        parts[name] += 1
    return {name: count for name, count in parts.items() if count}


def step_towards(
    current: Mapping[str, int], goal: Mapping[str, int], max_step: int, removed: frozenset[str]
) -> dict[str, int]:
    """A step from current shares towards the goal that moves at most `max_step` permille, plus the shares of removed
    desks, which are redistributed at once, in proportion to what other desks lack.
    """
    if sum(goal.values()) != PERMILLE:
        return {name: share for name, share in current.items() if name not in removed}
    shares = {name: share for name, share in current.items() if name not in removed and share}
    freed = PERMILLE - sum(shares.values())
    missing = {name: goal[name] - shares.get(name, 0) for name in sorted(goal) if goal[name] > shares.get(name, 0)}
    excess = {name: shares[name] - goal.get(name, 0) for name in sorted(shares) if shares[name] > goal.get(name, 0)}
    moving = min(max_step, sum(excess.values()))
    for name, part in _apportion(excess, moving).items():
        shares[name] -= part
    for name, part in _apportion(missing, min(freed + moving, sum(missing.values()))).items():
        shares[name] = shares.get(name, 0) + part
    return {name: share for name, share in shares.items() if share}


def _apportion(weights: Mapping[str, int], amount: int) -> dict[str, int]:
    """Split an amount into integers in proportion to weights; ties are broken by name."""
    total = sum(weights.values())
    if not total:
        return {}
    parts = {name: weight * amount // total for name, weight in weights.items()}
    order = sorted(weights, key=lambda name: (-(weights[name] * amount % total), name))
    for name in order[: amount - sum(parts.values())]:
        parts[name] += 1
    return parts


def worth_after_losses(problem: Problem, plan: Plan) -> list[tuple[str, int]]:
    """The worth that remains after repair when any one open desk or district is lost; the least first."""
    classes_by_desk = problem.classes_by_desk(plan.placement)
    full_capacity = {desk: problem.capacity(desk, kinds) for desk, kinds in classes_by_desk.items()}
    repair = Repair(problem, plan)
    cases = {f"desk {desk}": {desk} for desk in classes_by_desk}
    for district in {problem.desk[desk].district for desk in classes_by_desk}:
        cases[f"district {district}"] = {desk for desk in classes_by_desk if problem.desk[desk].district == district}
    results = []
    for name, lost_desks in cases.items():
        remaining = {desk: 0 if desk in lost_desks else units for desk, units in full_capacity.items()}
        results.append((name, repair.reroute(remaining).worth))
    return sorted(results, key=lambda entry: (entry[1], entry[0]))
