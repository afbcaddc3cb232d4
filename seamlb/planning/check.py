"""The checker: recomputes all that a plan claims in exact arithmetic, with no code of the solver's.

It reads the problem's plain figures only; capacities come from Erlang's sums in rational numbers, not from the
recurrences that the planner uses.
"""

from __future__ import annotations

from collections import Counter
from decimal import Decimal, localcontext
from fractions import Fraction
from functools import lru_cache

from seamlb.planning.model import Kind, Plan, PlanDesk, Problem

DIGITS = 60


@lru_cache(maxsize=65536)
def lost(agents: int, milli: int) -> Fraction:
    """Erlang B by its defining sum: (A^n / n!) over the sum of A^k / k!."""
    load, term, total = Fraction(milli, 1000), Fraction(1), Fraction(1)
    if agents > 60:  # rationals grow without need: 60 digits are exact far beyond any target's last figure
        return _lost_decimal(agents, milli)
    for k in range(1, agents + 1):
        term = term * load / k
        total += term
    return term / total


def _lost_decimal(agents: int, milli: int) -> Fraction:
    with localcontext() as context:
        context.prec = DIGITS
        load, term, total = Decimal(milli) / 1000, Decimal(1), Decimal(1)
        for k in range(1, agents + 1):
            term = term * load / k
            total += term
        return Fraction(term / total)


def meets(kind: Kind, agents: int, milli: int) -> bool:
    """Does a group of agents give the class its grade of service at this load?"""
    target = Fraction(kind.target_ppm, 1_000_000)
    if milli == 0:
        return True
    blocked = lost(agents, milli)
    if kind.measure == "loss":
        return blocked <= target
    load = Fraction(milli, 1000)
    if load >= agents:
        return False
    waiting = agents * blocked / (agents - load * (1 - blocked))
    with localcontext() as context:
        context.prec = DIGITS
        free = Decimal(agents) - Decimal(milli) / 1000
        decay = (-free * kind.wanted_ms / kind.holding_ms).exp()
        return Decimal(waiting.numerator) / Decimal(waiting.denominator) * decay <= Decimal(
            target.numerator
        ) / Decimal(target.denominator)


def _room(problem: Problem, desk: PlanDesk, kind: Kind, units: int) -> str:
    """Why a desk with this class can't carry so many units; empty if it can."""
    milli = units * problem.grain
    if kind.name in desk.second:
        # Carried at the second-choice holding time: the group sees so much more load, its search rounded down.
        milli = -(-milli * problem.second_choice // 1000)
    if not meets(kind, desk.agents, milli):
        return f"{desk.name}: {units} units miss the grade of service of {kind.name}"
    rate = desk.rate_milli * problem.start_capacity // 1000 if desk.cold else desk.rate_milli
    if units * problem.grain * 1000 > rate * kind.holding_ms:
        return f"{desk.name}: {units} units of {kind.name} are more than its processor takes"
    return ""


def check(problem: Problem, plan: Plan) -> list[str]:
    """Every claim of the plan that does not hold, one line each; empty for a plan that may leave."""
    wrong: list[str] = []
    desks = {one.name: one for one in problem.desks}
    kinds = {one.name: one for one in problem.kinds}
    given: dict[str, set[str]] = {}
    for desk, kind in sorted(plan.placement):
        if desk not in desks or kind not in kinds:
            wrong.append(f"placement: no such desk or class: {desk!r}, {kind!r}")
            continue
        given.setdefault(desk, set()).add(kind)
        if kind not in desks[desk].skills:
            wrong.append(f"{desk}: has no skill for {kind}")
        if kind in desks[desk].forbidden:
            wrong.append(f"{desk}: {kind} is forbidden there")
        if desks[desk].agents == 0:
            wrong.append(f"{desk}: has no agents for {kind}")
    for name, known in sorted(desks.items()):
        if missing := sorted(known.pinned - given.get(name, set())):
            wrong.append(f"{name}: {missing[0]} is pinned there and missing")
        if known.most_classes and len(given.get(name, ())) > known.most_classes:
            wrong.append(f"{name}: is given {len(given[name])} classes and may have {known.most_classes}")
    wrong += _redundant(problem, given)
    wrong += _carried(problem, plan, given)
    cost = sum(desks[name].fixed_cost + desks[name].agent_cost * desks[name].agents for name in given)
    if problem.budget is not None and cost > problem.budget:
        wrong.append(f"cost: {cost} is over the budget of {problem.budget}")
    before = {pair for pair in problem.current or () if pair[0] in desks and pair[1] in kinds}
    moves = len({(desk, kind) for desk, all_of in given.items() for kind in all_of} ^ before)
    if problem.moves is not None and problem.current is not None and moves > problem.moves:
        wrong.append(f"moves: {moves} are more than the {problem.moves} allowed")
    for label, claimed, true in (("cost", plan.objective.cost, cost), ("moves", plan.objective.moves, moves)):
        if claimed != true:
            wrong.append(f"{label}: the plan claims {claimed}, it is {true}")
    return wrong


def _redundant(problem: Problem, given: dict[str, set[str]]) -> list[str]:
    wrong = []
    for kind in problem.kinds:
        stands = {d.name: d.district for d in problem.desks if kind.name in given.get(d.name, ())}
        losses: list[tuple[str, set[str]]] = [("", set())]
        if kind.survive == "desk":
            losses += [(f" when {name} is lost", {name}) for name in sorted(stands)]
        elif kind.survive == "district":
            losses += [
                (f" when {place} is lost", {n for n, d in stands.items() if d == place})
                for place in sorted(set(stands.values()))
            ]
        for when, away in losses:
            left = {name: place for name, place in stands.items() if name not in away}
            if len(left) < kind.desks:
                wrong.append(f"{kind.name}: stands on {len(left)} desks and needs {kind.desks}{when}")
            if len(set(left.values())) < kind.districts:
                wrong.append(
                    f"{kind.name}: stands in {len(set(left.values()))} districts and needs {kind.districts}{when}"
                )
    return wrong


def _carried(problem: Problem, plan: Plan, given: dict[str, set[str]]) -> list[str]:
    wrong: list[str] = []
    desks = {one.name: one for one in problem.desks}
    kinds = {one.name: one for one in problem.kinds}
    for where, parts in [
        *((c, p) for c, p in plan.flows.supply.items()),
        *((s, (u,)) for s, u in plan.flows.routes.items()),
    ]:
        if any(units < 0 for units in parts):
            wrong.append(f"{'/'.join(where)}: a flow below nought")
    wants: Counter[tuple[str, str]] = Counter()
    office: Counter[str] = Counter()
    full: Counter[str] = Counter()
    worth = 0
    for cell, (within, beyond) in sorted(plan.flows.supply.items()):
        kind, district, name = cell
        if within + beyond > problem.demand.get(cell, 0):
            wrong.append(f"{'/'.join(cell)}: carries {within + beyond} of {problem.demand.get(cell, 0)} offered")
        if kind not in kinds:
            continue
        value = kinds[kind].worth * 1_000_000 // kinds[kind].holding_ms
        worth += value * within + value * problem.over_share_worth // 1000 * beyond
        wants[kind, district] += within + beyond
        office[name] += within + beyond
        full[name] += within
    offered = sum(problem.demand.values())
    for one in problem.offices:
        if full[one.name] > one.share * offered // 1000:
            wrong.append(f"{one.name}: {full[one.name]} units in full are more than its share")
        own = sum(units for (_, _, name), units in problem.demand.items() if name == one.name)
        if office[one.name] * 1000 < one.floor * own:
            wrong.append(f"{one.name}: carries {office[one.name]} of {own} units, below its floor")
    there: Counter[tuple[str, str]] = Counter()
    load: Counter[str] = Counter()
    distance = 0
    for (kind, district, desk), units in sorted(plan.flows.routes.items()):
        if units and (desk not in desks or kind not in given.get(desk, ())):
            wrong.append(f"{desk}: takes {kind} without being given it")
            continue
        there[kind, district] += units
        load[desk] += units
        if desk in desks:
            distance += units * problem.latencies_us[district, desks[desk].district]
    for pair in sorted(wants.keys() | there.keys()):
        if wants[pair] != there[pair]:
            wrong.append(f"{'/'.join(pair)}: {wants[pair]} units are carried and {there[pair]} arrive at desks")
    for name, all_of in sorted(given.items()):
        if name in desks and load[name]:
            reasons = (_room(problem, desks[name], kinds[kind], load[name]) for kind in sorted(all_of))
            wrong += [why for why in reasons if why]
    for label, claimed, true in (
        ("worth", plan.objective.worth, worth),
        ("distance", plan.objective.distance, distance),
    ):
        if claimed != true:
            wrong.append(f"{label}: the plan claims {claimed}, it is {true}")
    return wrong
