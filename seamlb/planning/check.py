"""The plan checker: recomputes everything that a plan claims in exact arithmetic, sharing no code with the solver.

It uses only the problem's input values. Capacities come from Erlang's sums in rational numbers, not from the
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
def blocking(agents: int, milli_erlangs: int) -> Fraction:
    """Erlang B by its defining sum: (A^n / n!) over the sum of A^k / k!."""
    load, term, total = Fraction(milli_erlangs, 1000), Fraction(1), Fraction(1)
    if agents > 60:  # rationals would grow needlessly: 60 digits are far more precise than any target
        return _blocking_decimal(agents, milli_erlangs)
    for k in range(1, agents + 1):
        term = term * load / k
        total += term
    return term / total


def _blocking_decimal(agents: int, milli_erlangs: int) -> Fraction:
    with localcontext() as context:
        context.prec = DIGITS
        load, term, total = Decimal(milli_erlangs) / 1000, Decimal(1), Decimal(1)
        for k in range(1, agents + 1):
            term = term * load / k
            total += term
        return Fraction(term / total)


def meets_target(kind: Kind, agents: int, milli_erlangs: int) -> bool:
    """Whether a group of agents meets the class's service target at this load."""
    target = Fraction(kind.target_ppm, 1_000_000)
    if milli_erlangs == 0:
        return True
    blocked = blocking(agents, milli_erlangs)
    if kind.measure == "loss":
        return blocked <= target
    load = Fraction(milli_erlangs, 1000)
    if load >= agents:
        return False
    waiting = agents * blocked / (agents - load * (1 - blocked))
    with localcontext() as context:
        context.prec = DIGITS
        free = Decimal(agents) - Decimal(milli_erlangs) / 1000
        decay = (-free * kind.wanted_ms / kind.holding_ms).exp()
        return Decimal(waiting.numerator) / Decimal(waiting.denominator) * decay <= Decimal(
            target.numerator
        ) / Decimal(target.denominator)


def _capacity_violation(problem: Problem, desk: PlanDesk, kind: Kind, units: int) -> str:
    """Why a desk with this class cannot carry this many units; empty if it can."""
    milli_erlangs = units * problem.grain
    if kind.name in desk.second:
        # The longer second-choice holding time increases the load; rounded up, as the planner rounds down.
        milli_erlangs = -(-milli_erlangs * problem.second_choice // 1000)
    if not meets_target(kind, desk.agents, milli_erlangs):
        return f"{desk.name}: {units} units do not meet the grade of service of {kind.name}"
    rate = desk.rate_milli * problem.start_capacity // 1000 if desk.cold else desk.rate_milli
    if units * problem.grain * 1000 > rate * kind.holding_ms:
        return f"{desk.name}: {units} units of {kind.name} exceed its processor limit"
    return ""


def check(problem: Problem, plan: Plan) -> list[str]:
    """Every claim of the plan that does not hold, one line each; empty for a valid plan."""
    violations: list[str] = []
    desks = {one.name: one for one in problem.desks}
    kinds = {one.name: one for one in problem.kinds}
    classes_by_desk: dict[str, set[str]] = {}
    for desk, kind in sorted(plan.placement):
        if desk not in desks or kind not in kinds:
            violations.append(f"placement: unknown desk or class: {desk!r}, {kind!r}")
            continue
        classes_by_desk.setdefault(desk, set()).add(kind)
        if kind not in desks[desk].skills:
            violations.append(f"{desk}: has no skill for {kind}")
        if kind in desks[desk].forbidden:
            violations.append(f"{desk}: {kind} is forbidden")
        if desks[desk].agents == 0:
            violations.append(f"{desk}: has no agents for {kind}")
    for name, desk_facts in sorted(desks.items()):
        if missing := sorted(desk_facts.pinned - classes_by_desk.get(name, set())):
            violations.append(f"{name}: {missing[0]} is pinned but not placed")
        if desk_facts.most_classes and len(classes_by_desk.get(name, ())) > desk_facts.most_classes:
            violations.append(f"{name}: has {len(classes_by_desk[name])} classes, limit {desk_facts.most_classes}")
    violations += _redundancy_violations(problem, classes_by_desk)
    violations += _flow_violations(problem, plan, classes_by_desk)
    cost = sum(desks[name].fixed_cost + desks[name].agent_cost * desks[name].agents for name in classes_by_desk)
    if problem.budget is not None and cost > problem.budget:
        violations.append(f"cost: {cost} exceeds the budget of {problem.budget}")
    placed_before = {pair for pair in problem.current or () if pair[0] in desks and pair[1] in kinds}
    moves = len({(desk, kind) for desk, classes in classes_by_desk.items() for kind in classes} ^ placed_before)
    if problem.moves is not None and problem.current is not None and moves > problem.moves:
        violations.append(f"moves: {moves}, {problem.moves} are allowed")
    for label, claimed, actual in (("cost", plan.objective.cost, cost), ("moves", plan.objective.moves, moves)):
        if claimed != actual:
            violations.append(f"{label}: the plan claims {claimed}, it is {actual}")
    return violations


def _redundancy_violations(problem: Problem, classes_by_desk: dict[str, set[str]]) -> list[str]:
    violations = []
    for kind in problem.kinds:
        districts = {d.name: d.district for d in problem.desks if kind.name in classes_by_desk.get(d.name, ())}
        failures: list[tuple[str, set[str]]] = [("", set())]
        if kind.survive == "desk":
            failures += [(f" when {name} is lost", {name}) for name in sorted(districts)]
        elif kind.survive == "district":
            failures += [
                (f" when {district} is lost", {n for n, d in districts.items() if d == district})
                for district in sorted(set(districts.values()))
            ]
        for condition, lost_desks in failures:
            remaining = {name: district for name, district in districts.items() if name not in lost_desks}
            if len(remaining) < kind.desks:
                violations.append(f"{kind.name}: has {len(remaining)} desks and needs {kind.desks}{condition}")
            if len(set(remaining.values())) < kind.districts:
                violations.append(
                    f"{kind.name}: has {len(set(remaining.values()))} districts and needs {kind.districts}{condition}"
                )
    return violations


def _flow_violations(problem: Problem, plan: Plan, classes_by_desk: dict[str, set[str]]) -> list[str]:
    violations: list[str] = []
    desks = {one.name: one for one in problem.desks}
    kinds = {one.name: one for one in problem.kinds}
    for key, amounts in [
        *((c, p) for c, p in plan.flows.supply.items()),
        *((s, (u,)) for s, u in plan.flows.routes.items()),
    ]:
        if any(units < 0 for units in amounts):
            violations.append(f"{'/'.join(key)}: negative flow")
    carried: Counter[tuple[str, str]] = Counter()
    office_units: Counter[str] = Counter()
    full_units: Counter[str] = Counter()
    worth = 0
    for cell, (within, beyond) in sorted(plan.flows.supply.items()):
        kind, district, name = cell
        if within + beyond > problem.demand.get(cell, 0):
            violations.append(f"{'/'.join(cell)}: carries {within + beyond} of {problem.demand.get(cell, 0)} offered")
        if kind not in kinds:
            continue
        value = kinds[kind].worth * 1_000_000 // kinds[kind].holding_ms
        worth += value * within + value * problem.over_share_worth // 1000 * beyond
        carried[kind, district] += within + beyond
        office_units[name] += within + beyond
        full_units[name] += within
    offered = sum(problem.demand.values())
    for office in problem.offices:
        if full_units[office.name] > office.share * offered // 1000:
            violations.append(f"{office.name}: {full_units[office.name]} units at full worth exceed its share")
        office_demand = sum(units for (_, _, name), units in problem.demand.items() if name == office.name)
        if office_units[office.name] * 1000 < office.floor * office_demand:
            violations.append(
                f"{office.name}: carries {office_units[office.name]} of {office_demand} units, below its floor"
            )
    arriving: Counter[tuple[str, str]] = Counter()
    load: Counter[str] = Counter()
    distance = 0
    for (kind, district, desk), units in sorted(plan.flows.routes.items()):
        if units and (desk not in desks or kind not in classes_by_desk.get(desk, ())):
            violations.append(f"{desk}: carries {kind}, which is not placed there")
            continue
        arriving[kind, district] += units
        load[desk] += units
        if desk in desks:
            distance += units * problem.latencies_us[district, desks[desk].district]
    for pair in sorted(carried.keys() | arriving.keys()):
        if carried[pair] != arriving[pair]:
            violations.append(
                f"{'/'.join(pair)}: {carried[pair]} units are carried and {arriving[pair]} arrive at desks"
            )
    for name, classes in sorted(classes_by_desk.items()):
        if name in desks and load[name]:
            reasons = (_capacity_violation(problem, desks[name], kinds[kind], load[name]) for kind in sorted(classes))
            violations += [reason for reason in reasons if reason]
    for label, claimed, actual in (
        ("worth", plan.objective.worth, worth),
        ("distance", plan.objective.distance, distance),
    ):
        if claimed != actual:
            violations.append(f"{label}: the plan claims {claimed}, it is {actual}")
    return violations
