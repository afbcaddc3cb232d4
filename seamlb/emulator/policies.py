"""Routing policies to compare with a solved plan: desks and weights as an operator would set them by hand."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from seamlb.emulator.scenario import Policy
from seamlb.planning.files import apportion
from seamlb.planning.model import Flows, Plan, Problem, objective
from seamlb.planning.placement_flows import optimal_flows

RULES_SUFFIX = "+rules"
POLICY_NAMES = ("plan", "plan-static", "uniform", "greedy")


def make_policy(name: str, problem: Problem, solved: Plan, rules: str = "") -> Policy:
    """Build a policy of `POLICY_NAMES`; the suffix "+rules" adds the experiment's rules. ValueError: unknown name."""
    if name.endswith(RULES_SUFFIX):
        return replace(make_policy(name.removesuffix(RULES_SUFFIX), problem, solved), name=name, rules=rules)
    match name:
        case "plan":
            return Policy(name, solved, repairs_plan=True)
        case "plan-static":
            return Policy(name, solved, repairs_plan=False)
        case "uniform":
            return Policy(name, uniform(problem), repairs_plan=False)
        case "greedy":
            return Policy(name, greedy(problem), repairs_plan=False)
    raise ValueError(f"unknown policy {name!r}; known policies: {', '.join(POLICY_NAMES)}")


def _plan(problem: Problem, routes: Counter[tuple[str, str, str]], placement: frozenset[tuple[str, str]]) -> Plan:
    flows = optimal_flows(problem, placement, exact=False)
    return Plan(placement, Flows(flows.supply, dict(routes)), objective(problem, placement, flows), "stopped")


def units_by_class_and_district(problem: Problem) -> Counter[tuple[str, str]]:
    """Sum the demand units of all offices by class and district."""
    totals: Counter[tuple[str, str]] = Counter()
    for (kind, district, _), units in problem.demand.items():
        totals[kind, district] += units
    return totals


def uniform(problem: Problem) -> Plan:
    """Open every desk with all its skills, and give all of a class's desks the same weight."""
    placement = frozenset((d.name, k) for d in problem.desks for k in problem.kind if problem.allowed(d, k))
    routes: Counter[tuple[str, str, str]] = Counter()
    for (kind, district), units in sorted(units_by_class_and_district(problem).items()):
        desks = {desk: 1 for desk, skill in sorted(placement) if skill == kind}
        for desk, share in apportion(units, desks).items() if desks else ():
            routes[kind, district, desk] += share
    return _plan(problem, routes, placement)


def greedy(problem: Problem) -> Plan:
    """Place the most valuable class first; each district's calls go to the nearest desk with spare capacity."""
    assigned: dict[str, set[str]] = {name: set(desk.pinned) for name, desk in problem.desk.items()}
    assigned_units: Counter[str] = Counter()
    routes: Counter[tuple[str, str, str]] = Counter()
    order = sorted(
        units_by_class_and_district(problem).items(),
        key=lambda item: (-problem.kind[item[0][0]].value, item[0]),
    )
    for (kind, district), units in order:
        by_distance = sorted(
            problem.desks, key=lambda d: (problem.latency_us(district, d.district), -d.agents, d.name)
        )
        for desk in by_distance:
            name, extended = desk.name, assigned[desk.name] | {kind}
            if not problem.allowed(desk, kind) or (desk.most_classes and len(extended) > desk.most_classes):
                continue
            spare_units = problem.capacity(name, extended) - assigned_units[name]
            if (placed := min(units, spare_units)) > 0:
                assigned[name], units = extended, units - placed
                assigned_units[name] += placed
                routes[kind, district, name] += placed
    for call_class in sorted(problem.kinds, key=lambda k: k.name):  # redundancy: the largest desks first
        for desk in sorted(problem.desks, key=lambda d: (-d.agents, d.name)):
            holders = [name for name, kinds in assigned.items() if call_class.name in kinds]
            if len(holders) < call_class.desks and problem.allowed(desk, call_class.name):
                assigned[desk.name].add(call_class.name)
    placement = frozenset((name, kind) for name, kinds in assigned.items() for kind in kinds)
    return _plan(problem, routes, placement)
