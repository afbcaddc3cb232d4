"""What a solved plan is compared with: desks and weights as somebody would set them by hand."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from seamlb.emulator.scenario import Policy
from seamlb.planning.carry import optimal_flows
from seamlb.planning.files import apportion
from seamlb.planning.model import Flows, Plan, Problem, objective

WITH = "+rules"
NAMES = ("plan", "plan-static", "uniform", "greedy")


def policy(name: str, problem: Problem, solved: Plan, rules: str = "") -> Policy:
    """One of NAMES, with "+rules" behind it to run the experiment's rules; ValueError for any other."""
    if name.endswith(WITH):
        return replace(policy(name.removesuffix(WITH), problem, solved), name=name, rules=rules)
    match name:
        case "plan":
            return Policy(name, solved, mended=True)
        case "plan-static":
            return Policy(name, solved, mended=False)
        case "uniform":
            return Policy(name, uniform(problem), mended=False)
        case "greedy":
            return Policy(name, greedy(problem), mended=False)
    raise ValueError(f"unknown policy {name!r}; there are {', '.join(NAMES)}")


def _plan(problem: Problem, routes: Counter[tuple[str, str, str]], placement: frozenset[tuple[str, str]]) -> Plan:
    flows = optimal_flows(problem, placement, exact=False)
    return Plan(placement, Flows(flows.supply, dict(routes)), objective(problem, placement, flows), "stopped")


def wanted(problem: Problem) -> Counter[tuple[str, str]]:
    """Units of demand by class and district."""
    out: Counter[tuple[str, str]] = Counter()
    for (kind, district, _), units in problem.demand.items():
        out[kind, district] += units
    return out


def uniform(problem: Problem) -> Plan:
    """Every desk open with all its skills, and the same weight for each."""
    placement = frozenset((d.name, k) for d in problem.desks for k in problem.kind if problem.allowed(d, k))
    routes: Counter[tuple[str, str, str]] = Counter()
    for (kind, district), units in sorted(wanted(problem).items()):
        desks = {desk: 1 for desk, given in sorted(placement) if given == kind}
        for desk, part in apportion(units, desks).items() if desks else ():
            routes[kind, district, desk] += part
    return _plan(problem, routes, placement)


def greedy(problem: Problem) -> Plan:
    """By hand: the dearest class first, each district's calls to the nearest desk that has room left."""
    given: dict[str, set[str]] = {name: set(desk.pinned) for name, desk in problem.desk.items()}
    load: Counter[str] = Counter()
    routes: Counter[tuple[str, str, str]] = Counter()
    order = sorted(wanted(problem).items(), key=lambda one: (-problem.kind[one[0][0]].value, one[0]))
    for (kind, district), units in order:
        near = sorted(problem.desks, key=lambda d: (problem.latency_us(district, d.district), -d.agents, d.name))
        for desk in near:
            name, after = desk.name, given[desk.name] | {kind}
            if not problem.allowed(desk, kind) or (desk.most_classes and len(after) > desk.most_classes):
                continue
            room = problem.capacity(name, after) - load[name]
            if (part := min(units, room)) > 0:
                given[name], units = after, units - part
                load[name] += part
                routes[kind, district, name] += part
    for one in sorted(problem.kinds, key=lambda k: k.name):  # redundancy, by the largest desks
        for desk in sorted(problem.desks, key=lambda d: (-d.agents, d.name)):
            stands = [name for name, kinds in given.items() if one.name in kinds]
            if len(stands) < one.desks and problem.allowed(desk, one.name):
                given[desk.name].add(one.name)
    placement = frozenset((name, kind) for name, kinds in given.items() for kind in kinds)
    return _plan(problem, routes, placement)
