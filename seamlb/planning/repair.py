"""Online repair: new flows for the placement in force when the world differs from the plan.

No solver and no clock: given what each desk can take now, a cheapest flow over the fixed placement says
where calls should go; a step from the flows in use towards it is bounded, so that no desk is swamped and nothing
flaps.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from seamlb.planning.flow import INFINITE, Network, min_cost_flow
from seamlb.planning.model import PERMILLE, Plan, Problem


@dataclass(slots=True, frozen=True)
class DeskState:
    """What is known of a desk now."""

    listed: bool = True
    draining: bool = False
    cold_ms: float = -1.0  # time since its cold start; below nought: warm
    full: bool = False  # told that it has no free agent


@dataclass(slots=True, frozen=True)
class WarmUp:
    """What rule 4 allows of a cold desk, as its settings give it."""

    start_capacity: float
    cold_ms: float


def capacities(problem: Problem, plan: Plan, states: Mapping[str, DeskState], cold: WarmUp) -> dict[str, int]:
    """Units that each desk of the placement may be given now.

    A full desk keeps what the plan gave it: being full is what a well-used desk looks like, and its state is seconds
    old; it only gets nothing more. A cold one gets what its processor has grown to.
    """
    out = {}
    planned = dict.fromkeys(problem.desk, 0)
    for (_, _, desk), units in plan.flows.routes.items():
        planned[desk] += units
    for desk, kinds in problem.classes_by_desk(plan.placement).items():
        state = states.get(desk, DeskState(listed=False))
        units = problem.capacity(desk, kinds)
        if not state.listed or state.draining:
            units = 0
        elif 0.0 <= state.cold_ms < cold.cold_ms:
            grown = cold.start_capacity + (1.0 - cold.start_capacity) * state.cold_ms / cold.cold_ms
            units = int(units * grown)
        if state.full:
            units = min(units, planned[desk])
        out[desk] = units
    return out


@dataclass(slots=True, frozen=True)
class RepairedFlows:
    """What the repair carries: units by (class, desk), the worth, and whether every office's floor is held."""

    routes: Mapping[tuple[str, str], int]
    worth: int
    floors_held: bool


class Repair:
    """Mends one plan, again and again: what does not change is computed once."""

    def __init__(self, problem: Problem, plan: Plan) -> None:
        self.problem = problem
        self.given = problem.classes_by_desk(plan.placement)
        self.planned: Counter[tuple[str, str]] = Counter()
        for (kind, _, desk), units in plan.flows.routes.items():
            self.planned[kind, desk] += units
        self.demand: Counter[tuple[str, str]] = Counter()
        for (kind, _, office), units in problem.demand.items():
            self.demand[kind, office] += units

    def reroute(self, capacity: Mapping[str, int]) -> RepairedFlows:
        """The best flows of the plan's placement within these capacities: offices' floors, then worth, then the
        fewest units elsewhere than planned.

        Districts have no part in it: any desk of a class takes calls from anywhere, so the worth is the solver's for
        the same placement and capacities, and distance is left to the plan's own routes.
        """
        problem, net = self.problem, Network()
        source, sink = net.node(), net.node()
        big = problem.offered + 1  # a unit of worth outweighs all that could move
        huge = big * (max((k.value for k in problem.kinds), default=0) + 1) * (problem.offered + 1)
        floors, supply, wants = [], [], {}
        for name in sorted(one.name for one in problem.offices):
            office, within, beyond = net.node(), net.node(), net.node()
            floors.append((net.arc(source, office, problem.floors[name], -huge), problem.floors[name]))
            net.arc(source, office, INFINITE)
            net.arc(office, within, problem.allowances[name])
            net.arc(office, beyond, INFINITE)
            for kind in sorted(problem.kind):
                if not (units := self.demand[kind, name]):
                    continue
                if kind not in wants:
                    wants[kind] = net.node()
                here, value = net.node(), problem.kind[kind].value
                less = value * problem.over_share_worth // PERMILLE
                supply += [
                    (net.arc(within, here, INFINITE, -big * value), value),
                    (net.arc(beyond, here, INFINITE, -big * less), less),
                ]
                net.arc(here, wants[kind], units)
        routes = []
        for desk, kinds in self.given.items():
            here = net.node()
            net.arc(here, sink, capacity.get(desk, 0))
            for kind in kinds:
                if kind in wants:
                    routes.append(
                        (
                            kind,
                            desk,
                            net.arc(wants[kind], here, self.planned[kind, desk], 0),
                            net.arc(wants[kind], here, INFINITE, 1),
                        )
                    )
        min_cost_flow(net, source, sink)
        return RepairedFlows(
            {(kind, desk): net.flow(a) + net.flow(b) for kind, desk, a, b in routes},
            sum(net.flow(arc) * value for arc, value in supply),
            all(net.flow(arc) == floor for arc, floor in floors),
        )


def district_shares(plan: Plan, mended: RepairedFlows, kind: str, district: str) -> dict[str, int]:
    """Permille by desk for a class's calls from a district; without planned calls there, for those from anywhere.

    What the repair takes off a desk is taken off every district in proportion, and what it adds to others goes to all
    who lost some: each agent does so by itself, and together they do what the repair says.
    """
    own: Counter[str] = Counter()
    whole: Counter[str] = Counter()
    for (one, where, desk), units in sorted(plan.flows.routes.items()):
        if one == kind and units:
            whole[desk] += units
            if where == district:
                own[desk] += units
    after = {desk: units for (one, desk), units in mended.routes.items() if one == kind and units}
    if not own:
        return permille(after) if after else {}
    out = {desk: units * min(whole[desk], after.get(desk, 0)) // whole[desk] for desk, units in own.items()}
    extra = {desk: units - whole[desk] for desk, units in sorted(after.items()) if units > whole[desk]}
    for desk, units in _parts(extra, sum(own.values()) - sum(out.values())).items():
        out[desk] = out.get(desk, 0) + units
    out = {desk: units for desk, units in out.items() if units}
    return permille(out) if out else permille(after) if after else {}


def permille(units: Mapping[str, int]) -> dict[str, int]:
    """Units as permille that add up to 1,000."""
    total = sum(units.values())
    out = {name: one * PERMILLE // total for name, one in units.items()}
    order = sorted(units, key=lambda name: (-(units[name] * PERMILLE % total), name))
    for name in order[: PERMILLE - sum(out.values())]:
        out[name] += 1
    return {name: one for name, one in out.items() if one}


def step_towards(now: Mapping[str, int], goal: Mapping[str, int], most: int, gone: frozenset[str]) -> dict[str, int]:
    """A step from one desk's shares to another's that moves at most `most` permille, and all of what `gone` had.

    What desks that are gone had is free at once; it goes to where the goal lacks most, the rest follows in bounds.
    """
    if sum(goal.values()) != PERMILLE:
        return {name: one for name, one in now.items() if name not in gone}
    out = {name: one for name, one in now.items() if name not in gone and one}
    freed = PERMILLE - sum(out.values())
    short = {name: goal[name] - out.get(name, 0) for name in sorted(goal) if goal[name] > out.get(name, 0)}
    spare = {name: out[name] - goal.get(name, 0) for name in sorted(out) if out[name] > goal.get(name, 0)}
    moving = min(most, sum(spare.values()))
    for name, part in _parts(spare, moving).items():
        out[name] -= part
    for name, part in _parts(short, min(freed + moving, sum(short.values()))).items():
        out[name] = out.get(name, 0) + part
    return {name: one for name, one in out.items() if one}


def _parts(of: Mapping[str, int], amount: int) -> dict[str, int]:
    """An amount split in proportion, whole; ties by name."""
    total = sum(of.values())
    if not total:
        return {}
    out = {name: one * amount // total for name, one in of.items()}
    order = sorted(of, key=lambda name: (-(of[name] * amount % total), name))
    for name in order[: amount - sum(out.values())]:
        out[name] += 1
    return out


def worth_after_losses(problem: Problem, plan: Plan) -> list[tuple[str, int]]:
    """The worth that repair keeps when any one open desk, or any one district, is lost; the worst first."""
    given = problem.classes_by_desk(plan.placement)
    whole = {desk: problem.capacity(desk, kinds) for desk, kinds in given.items()}
    mender = Repair(problem, plan)
    cases = {f"desk {desk}": {desk} for desk in given}
    for district in {problem.desk[desk].district for desk in given}:
        cases[f"district {district}"] = {desk for desk in given if problem.desk[desk].district == district}
    out = []
    for name, away in cases.items():
        left = {desk: 0 if desk in away else units for desk, units in whole.items()}
        out.append((name, mender.reroute(left).worth))
    return sorted(out, key=lambda one: (one[1], one[0]))
