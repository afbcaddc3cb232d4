"""Online repair: new flows for the placement in force when the world differs from the plan.

No solver and no clock: given what each desk can take now, a cheapest flow (`carry`) over the fixed placement says
where calls should go; a step from the flows in use towards it is bounded, so that no desk is swamped and nothing
flaps.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from seamlb.planning.carry import Carried, carry
from seamlb.planning.model import PERMILLE, Plan, Problem, objective

Shares = dict[tuple[str, str], dict[str, int]]  # (class, district): permille by desk


@dataclass(slots=True, frozen=True)
class DeskState:
    """What is known of a desk now."""

    listed: bool = True
    draining: bool = False
    cold_ms: float = -1.0  # time since its cold start; below nought: warm
    full: bool = False  # told that it has no free agent


@dataclass(slots=True, frozen=True)
class Cold:
    """What rule 4 allows of a cold desk, as its settings give it."""

    start_capacity: float
    cold_ms: float


def room(problem: Problem, plan: Plan, states: Mapping[str, DeskState], cold: Cold) -> dict[str, int]:
    """Units that each desk of the placement may be given now.

    A full desk keeps what the plan gave it: being full is what a well-used desk looks like, and its state is seconds
    old; it only gets nothing more. A cold one gets what its processor has grown to.
    """
    out = {}
    planned = dict.fromkeys(problem.desk, 0)
    for (_, _, desk), units in plan.flows.routes.items():
        planned[desk] += units
    for desk, kinds in problem.given(plan.placement).items():
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


def repair(problem: Problem, plan: Plan, capacity: Mapping[str, int]) -> Carried:
    """The best flows of the plan's placement within these capacities: offices' floors, then worth, then distance.

    The worth is the solver's for the same placement and capacities: both compute it with `carry`.
    """
    return carry(problem, plan.placement, capacity, exact=False)


def shares(problem: Problem, routes: Mapping[tuple[str, str, str], int]) -> Shares:
    """Permille by desk for each (class, district) that is carried at all; largest remainders, ties by name."""
    out: Shares = {}
    for (kind, district, desk), units in sorted(routes.items()):
        if units:
            out.setdefault((kind, district), {})[desk] = units
    return {pair: permille(units) for pair, units in out.items()}


def permille(units: Mapping[str, int]) -> dict[str, int]:
    """Units as permille that add up to 1,000."""
    total = sum(units.values())
    out = {name: one * PERMILLE // total for name, one in units.items()}
    order = sorted(units, key=lambda name: (-(units[name] * PERMILLE % total), name))
    for name in order[:PERMILLE - sum(out.values())]:
        out[name] += 1
    return {name: one for name, one in out.items() if one}


def towards(now: Mapping[str, int], goal: Mapping[str, int], most: int, gone: frozenset[str]) -> dict[str, int]:
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
    for name in order[:amount - sum(out.values())]:
        out[name] += 1
    return out


def losses(problem: Problem, plan: Plan) -> list[tuple[str, int]]:
    """The worth that repair keeps when any one open desk, or any one district, is lost; the worst first."""
    given = problem.given(plan.placement)
    whole = {desk: problem.capacity(desk, kinds) for desk, kinds in given.items()}
    cases = {f"desk {desk}": {desk} for desk in given}
    for district in {problem.desk[desk].district for desk in given}:
        cases[f"district {district}"] = {desk for desk in given if problem.desk[desk].district == district}
    out = []
    for name, away in cases.items():
        flows = repair(problem, plan, {desk: 0 if desk in away else units for desk, units in whole.items()}).flows
        out.append((name, objective(problem, plan.placement, flows).worth))
    return sorted(out, key=lambda one: (one[1], one[0]))
