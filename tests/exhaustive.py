"""Exhaustive search over placements and integer flows, and random small problems, as reference for the planner.

It shares no code with the solver: redundancy and flows are enumerated. Capacities are `Problem.class_capacities`.
"""

from __future__ import annotations

import itertools
import random

from seamlb.planning.model import Kind, Office, PlanDesk, Problem

Key = tuple[object, ...]


def placement_options(problem: Problem, desk: PlanDesk) -> list[tuple[str, ...]]:
    """All sets of classes that may be placed at the desk."""
    kinds = sorted(k.name for k in problem.kinds)
    result = []
    for size in range(len(kinds) + 1):
        for classes in itertools.combinations(kinds, size):
            allowed = set(classes) <= desk.skills - desk.forbidden and desk.pinned <= set(classes)
            if allowed and (not desk.most_classes or size <= desk.most_classes) and (desk.agents or not classes):
                result.append(classes)
    return result


def meets_redundancy(problem: Problem, classes_by_desk: dict[str, tuple[str, ...]]) -> bool:
    """Whether every class has its minimum of desks and districts, also after any loss that it must survive."""
    for kind in problem.kinds:
        placed = [d for d in problem.desks if kind.name in classes_by_desk[d.name]]
        failures: list[list[PlanDesk]] = [[]]
        if kind.survive == "desk":
            failures += [[d] for d in problem.desks]
        if kind.survive == "district":
            failures += [[d for d in problem.desks if d.district == place] for place in problem.districts]
        for lost_desks in failures:
            remaining = [d for d in placed if d not in lost_desks]
            if len(remaining) < kind.desks or len({d.district for d in remaining}) < kind.districts:
                return False
    return True


def best(problem: Problem) -> tuple[Key, dict[str, tuple[str, ...]]] | None:
    """The best plan's key (worth, -cost, -distance, -moves, bits, supply, routes) and classes by desk, if any."""
    desks = sorted(problem.desks, key=lambda d: d.name)
    kinds = sorted(k.name for k in problem.kinds)
    demand = {cell: units for cell, units in sorted(problem.demand.items()) if units}
    pairs = sorted({(k, d) for k, d, _ in demand})
    supply = supply_by_carried(problem, demand, pairs)
    best_found: tuple[Key, dict[str, tuple[str, ...]]] | None = None
    for choice in itertools.product(*(placement_options(problem, d) for d in desks)):
        classes_by_desk = {d.name: classes for d, classes in zip(desks, choice, strict=True)}
        cost = sum(d.fixed_cost + d.agent_cost * d.agents for d in desks if classes_by_desk[d.name])
        placed = {(d, k) for d, placed_classes in classes_by_desk.items() for k in placed_classes}
        moves = len(placed ^ set(problem.current or ()))
        if problem.budget is not None and cost > problem.budget:
            continue
        if problem.moves is not None and problem.current is not None and moves > problem.moves:
            continue
        if not meets_redundancy(problem, classes_by_desk):
            continue
        bits = tuple(int((d.name, k) in placed) for d in desks for k in kinds)
        for carried, (distance, routes) in routes_by_carried(problem, desks, classes_by_desk, pairs, supply).items():
            worth, split = supply[carried]
            key = (worth, -cost, distance, -moves, bits, split, routes)
            if best_found is None or key > best_found[0]:
                best_found = key, classes_by_desk
    return best_found


def supply_by_carried(
    problem: Problem, demand: dict[tuple[str, str, str], int], pairs: list[tuple[str, str]]
) -> dict[tuple[int, ...], tuple[int, tuple[int, ...]]]:
    """By units carried of each (class, district): the best worth and the canonical split with that worth."""
    best_by_carried: dict[tuple[int, ...], tuple[int, tuple[int, ...]]] = {}
    offered = sum(demand.values())
    splits = [[(a, b) for a in range(units + 1) for b in range(units + 1 - a)] for units in demand.values()]
    for choice in itertools.product(*splits):
        full_worth_units = {o.name: 0 for o in problem.offices}
        carried_by_office = {o.name: 0 for o in problem.offices}
        worth, carried = 0, dict.fromkeys(pairs, 0)
        for (kind, district, office), (within, beyond) in zip(demand, choice, strict=True):
            value = problem.kind[kind].worth * 1_000_000 // problem.kind[kind].holding_ms
            worth += value * within + value * problem.over_share_worth // 1000 * beyond
            carried[kind, district] += within + beyond
            full_worth_units[office] += within
            carried_by_office[office] += within + beyond
        offered_by_office = {
            o.name: sum(u for (_, _, n), u in demand.items() if n == o.name) for o in problem.offices
        }
        if any(full_worth_units[o.name] > o.share * offered // 1000 for o in problem.offices):
            continue
        if any(carried_by_office[o.name] * 1000 < o.floor * offered_by_office[o.name] for o in problem.offices):
            continue
        key = worth, tuple(units for pair in choice for units in pair)
        carried_key = tuple(carried.values())
        if carried_key not in best_by_carried or key > best_by_carried[carried_key]:
            best_by_carried[carried_key] = key
    return best_by_carried


def routes_by_carried(
    problem: Problem,
    desks: list[PlanDesk],
    classes_by_desk: dict[str, tuple[str, ...]],
    pairs: list[tuple[str, str]],
    supply: dict[tuple[int, ...], object],
) -> dict[tuple[int, ...], tuple[int, tuple[int, ...]]]:
    """By units carried of each (class, district): the negated least distance and the canonical routes with it."""
    max_carried = tuple(max(entry[position] for entry in supply) for position in range(len(pairs))) if supply else ()
    states: dict[tuple[int, ...], tuple[int, tuple[int, ...]]] = {(0,) * len(pairs): (0, ())}
    for desk in desks:
        capacity = min((problem.class_capacities[desk.name, k] for k in classes_by_desk[desk.name]), default=0)
        limits = [
            min(capacity, carried) if k in classes_by_desk[desk.name] else 0
            for (k, _), carried in zip(pairs, max_carried, strict=True)
        ]
        positions = [position for position, (k, _) in enumerate(pairs) if k in classes_by_desk[desk.name]]
        additions = [
            entry for entry in itertools.product(*(range(limit + 1) for limit in limits)) if sum(entry) <= capacity
        ]
        distances = [problem.latencies_us[d, desk.district] for _, d in pairs]
        next_states: dict[tuple[int, ...], tuple[int, tuple[int, ...]]] = {}
        for state, (distance, routes) in states.items():
            for addition in additions:
                new = tuple(a + b for a, b in zip(state, addition, strict=True))
                if any(a > b for a, b in zip(new, max_carried, strict=True)):
                    continue
                key = (
                    distance - sum(a * b for a, b in zip(addition, distances, strict=True)),
                    routes + tuple(addition[position] for position in positions),
                )
                if new not in next_states or key > next_states[new]:
                    next_states[new] = key
        states = next_states
    return {state: key for state, key in states.items() if state in supply}


def random_problem(seed: int) -> Problem:
    """A small problem, often tight or infeasible, with few units so that it can be searched exhaustively."""
    rng = random.Random(seed)
    kinds = tuple(
        Kind(
            f"k{n}",
            rng.choice((1, 1, 3, 5)),
            rng.choice((8000, 10000)),
            rng.choice(("wait", "loss")),
            rng.choice((0, 2000)),
            rng.choice((50_000, 100_000)),
            desks=rng.choice((0, 0, 0, 0, 1, 1, 2)),
            districts=rng.choice((0,) * 7 + (1, 2)),
            survive=rng.choice(("none",) * 6 + ("desk", "district")),
        )
        for n in range(rng.randint(1, 3))
    )
    names = [k.name for k in kinds]
    districts = tuple(f"d{n}" for n in range(rng.randint(1, 3)))
    times = {(a, b): 0 if a == b else 0 for a in districts for b in districts}
    for a, b in itertools.combinations(districts, 2):
        times[a, b] = times[b, a] = rng.choice((9200, 9200, 25000))
    offices = tuple(
        Office(f"o{n}", rng.choice((0, 300, 500)), rng.choice((0,) * 7 + (400,))) for n in range(rng.randint(1, 2))
    )
    count = rng.choice((1, 2, 3, 3, 4, 4, 5, 6, 7, 8))
    desks, product = [], 1
    for n in range(count):
        skills = {k for k in names if rng.random() < 0.7}
        option_count = 2 ** len(skills)
        if product * option_count > 2048:
            skills = set(rng.sample(sorted(skills), 1)) if skills and product * 2 <= 2048 else set()
        product *= 2 ** len(skills)
        template = desks[-1] if desks and rng.random() < 0.3 else None
        if template and 2 ** len(template.skills) <= 2 ** len(skills):
            desks.append(
                PlanDesk(
                    f"j{n}",
                    **{
                        f: getattr(template, f)
                        for f in (
                            "district",
                            "agents",
                            "rate_milli",
                            "skills",
                            "second",
                            "pinned",
                            "forbidden",
                            "most_classes",
                            "fixed_cost",
                            "agent_cost",
                            "cold",
                        )
                    },
                )
            )
            continue
        pinned = {k for k in names if rng.random() < (0.05 if k in skills else 0.001)}
        desks.append(
            PlanDesk(
                f"j{n}",
                rng.choice(districts),
                rng.choice((0, 1, 2, 2, 3, 3, 4, 5)),
                rng.choice((150, 500, 5000)),
                frozenset(skills),
                frozenset(k for k in skills if rng.random() < 0.2),
                frozenset(pinned),
                frozenset(k for k in names if rng.random() < 0.03),
                rng.choice((0, 0, 0, 1, 2)),
                rng.choice((0, 1, 5, 10**9)),
                rng.choice((0, 0, 1, 2)),
                rng.random() < 0.1,
            )
        )
    cells = [(k, d, o.name) for k in names for d in districts for o in offices]
    demand = {cell: rng.choice((0, 1, 1, 2)) for cell in rng.sample(cells, min(len(cells), rng.randint(1, 6)))}
    pairs = [(d.name, k) for d in desks for k in sorted(d.skills)]
    current = frozenset(p for p in pairs if rng.random() < 0.4) if rng.random() < 0.5 else None
    total = sum(d.cost for d in desks)
    return Problem(
        districts,
        times,
        offices,
        kinds,
        tuple(desks),
        demand,
        grain=rng.choice((300, 700)),
        budget=rng.choice((None, None, total, total // 2, total // 3, 3)),
        current=current,
        moves=rng.choice((None, None, 0, 1, 3, 5)) if current is not None else None,
    )
