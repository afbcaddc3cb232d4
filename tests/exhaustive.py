"""An exhaustive search over placements and whole flows, and random small problems: the planner's yardstick.

It shares no code with the solver: capacities, redundancy and flows are enumerated from the problem's own figures.
"""

from __future__ import annotations

import itertools
import random

from seamlb.planning.model import Kind, Office, PlanDesk, Problem

Key = tuple[object, ...]


def options(problem: Problem, desk: PlanDesk) -> list[tuple[str, ...]]:
    """All sets of classes that the desk may be given."""
    kinds = sorted(k.name for k in problem.kinds)
    out = []
    for size in range(len(kinds) + 1):
        for given in itertools.combinations(kinds, size):
            fits = set(given) <= desk.skills - desk.forbidden and desk.pinned <= set(given)
            if fits and (not desk.most_classes or size <= desk.most_classes) and (desk.agents or not given):
                out.append(given)
    return out


def redundant(problem: Problem, given: dict[str, tuple[str, ...]]) -> bool:
    for kind in problem.kinds:
        stands = [d for d in problem.desks if kind.name in given[d.name]]
        losses: list[list[PlanDesk]] = [[]]
        if kind.survive == "desk":
            losses += [[d] for d in problem.desks]
        if kind.survive == "district":
            losses += [[d for d in problem.desks if d.district == place] for place in problem.districts]
        for away in losses:
            left = [d for d in stands if d not in away]
            if len(left) < kind.desks or len({d.district for d in left}) < kind.districts:
                return False
    return True


def best(problem: Problem) -> tuple[Key, dict[str, tuple[str, ...]]] | None:
    """The best plan's key (worth, -cost, -distance, -moves, bits, supply, routes) and placements; None if none is."""
    desks = sorted(problem.desks, key=lambda d: d.name)
    kinds = sorted(k.name for k in problem.kinds)
    demand = {cell: units for cell, units in sorted(problem.demand.items()) if units}
    pairs = sorted({(k, d) for k, d, _ in demand})
    supply = supplies(problem, demand, pairs)
    found: tuple[Key, dict[str, tuple[str, ...]]] | None = None
    for choice in itertools.product(*(options(problem, d) for d in desks)):
        given = {d.name: kinds_of for d, kinds_of in zip(desks, choice, strict=True)}
        cost = sum(d.fixed_cost + d.agent_cost * d.agents for d in desks if given[d.name])
        placed = {(d, k) for d, all_of in given.items() for k in all_of}
        moves = len(placed ^ set(problem.current or ()))
        if problem.budget is not None and cost > problem.budget:
            continue
        if problem.moves is not None and problem.current is not None and moves > problem.moves:
            continue
        if not redundant(problem, given):
            continue
        bits = tuple(int((d.name, k) in placed) for d in desks for k in kinds)
        for carried, (distance, routes) in deliveries(problem, desks, given, pairs, supply).items():
            worth, split = supply[carried]
            key = (worth, -cost, distance, -moves, bits, split, routes)
            if found is None or key > found[0]:
                found = key, given
    return found


def supplies(
    problem: Problem, demand: dict[tuple[str, str, str], int], pairs: list[tuple[str, str]]
) -> dict[tuple[int, ...], tuple[int, tuple[int, ...]]]:
    """By units carried of each (class, district): the best worth and the canonical split that has it."""
    out: dict[tuple[int, ...], tuple[int, tuple[int, ...]]] = {}
    offered = sum(demand.values())
    splits = [[(a, b) for a in range(units + 1) for b in range(units + 1 - a)] for units in demand.values()]
    for choice in itertools.product(*splits):
        full = {o.name: 0 for o in problem.offices}
        held = {o.name: 0 for o in problem.offices}
        worth, carried = 0, dict.fromkeys(pairs, 0)
        for (kind, district, office), (within, beyond) in zip(demand, choice, strict=True):
            value = problem.kind[kind].worth * 1_000_000 // problem.kind[kind].holding_ms
            worth += value * within + value * problem.over_share_worth // 1000 * beyond
            carried[kind, district] += within + beyond
            full[office] += within
            held[office] += within + beyond
        own = {o.name: sum(u for (_, _, n), u in demand.items() if n == o.name) for o in problem.offices}
        if any(full[o.name] > o.share * offered // 1000 for o in problem.offices):
            continue
        if any(held[o.name] * 1000 < o.floor * own[o.name] for o in problem.offices):
            continue
        key = worth, tuple(units for both in choice for units in both)
        at = tuple(carried.values())
        if at not in out or key > out[at]:
            out[at] = key
    return out


def deliveries(
    problem: Problem,
    desks: list[PlanDesk],
    given: dict[str, tuple[str, ...]],
    pairs: list[tuple[str, str]],
    wanted: dict[tuple[int, ...], object],
) -> dict[tuple[int, ...], tuple[int, tuple[int, ...]]]:
    """By units carried of each (class, district): minus the least distance, and the canonical routes that have it."""
    most = tuple(max(one[place] for one in wanted) for place in range(len(pairs))) if wanted else ()
    states: dict[tuple[int, ...], tuple[int, tuple[int, ...]]] = {(0,) * len(pairs): (0, ())}
    for desk in desks:
        room = min((problem.class_capacities[desk.name, k] for k in given[desk.name]), default=0)
        tops = [min(room, top) if k in given[desk.name] else 0 for (k, _), top in zip(pairs, most, strict=True)]
        slots = [place for place, (k, _) in enumerate(pairs) if k in given[desk.name]]
        steps = [one for one in itertools.product(*(range(t + 1) for t in tops)) if sum(one) <= room]
        away = [problem.latencies_us[d, desk.district] for _, d in pairs]
        after: dict[tuple[int, ...], tuple[int, tuple[int, ...]]] = {}
        for state, (distance, routes) in states.items():
            for step in steps:
                new = tuple(a + b for a, b in zip(state, step, strict=True))
                if any(a > b for a, b in zip(new, most, strict=True)):
                    continue
                key = (
                    distance - sum(a * b for a, b in zip(step, away, strict=True)),
                    routes + tuple(step[place] for place in slots),
                )
                if new not in after or key > after[new]:
                    after[new] = key
        states = after
    return {state: key for state, key in states.items() if state in wanted}


def random_problem(seed: int) -> Problem:
    """A small problem, often tight and often without a plan; few units, so that it can be searched."""
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
        wide = 2 ** len(skills)
        if product * wide > 2048:
            skills = set(rng.sample(sorted(skills), 1)) if skills and product * 2 <= 2048 else set()
        product *= 2 ** len(skills)
        alike = desks[-1] if desks and rng.random() < 0.3 else None
        if alike and 2 ** len(alike.skills) <= 2 ** len(skills):
            desks.append(
                PlanDesk(
                    f"j{n}",
                    **{
                        f: getattr(alike, f)
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
