"""Plans and conflicts in the operator's words."""

from __future__ import annotations

from collections.abc import Sequence

from seamlb.planning.model import PERMILLE, Plan, Problem, allowances_per_s, weights
from seamlb.planning.program import Rule


def conflict_lines(problem: Problem, rules: Sequence[Rule]) -> list[str]:
    """One line a rule of a conflict; facts about skills are told with the wish that they stand against."""
    lines = []
    for rule in rules:
        match rule.topic, rule.about:
            case "budget", _:
                lines.append(f"the budget is {problem.budget}")
            case "moves", _:
                lines.append(f"no more than {problem.moves} moves from the plan in force are allowed")
            case "desks", (kind,):
                lines.append(
                    f"{kind} needs {problem.kind[kind].desks} desks{_survive(problem, kind)}; "
                    f"{_may(problem, kind, by_district=False)}"
                )
            case "districts", (kind,):
                lines.append(
                    f"{kind} needs {problem.kind[kind].districts} districts{_survive(problem, kind)}; "
                    f"{_may(problem, kind, by_district=True)}"
                )
            case "floor", (office,):
                lines.append(f"{office} must have {problem.floors[office]} units carried")
            case "pin", (desk, kind):
                lines.append(f"{desk} is pinned to {kind}")
            case "forbid", (desk, kind):
                lines.append(f"{desk} is forbidden {kind}")
            case "skill", (desk, kind):
                lines.append(f"{desk} has no skill for {kind}")
            case "agents", (desk,):
                lines.append(f"{desk} has no agents")
            case "most", (desk,):
                lines.append(f"{desk} may be given {problem.desk[desk].most_classes} classes at once")
    return lines


def _survive(problem: Problem, kind: str) -> str:
    how = problem.kind[kind].survive
    return "" if how == "none" else f" when any one {how} is lost"


def _may(problem: Problem, kind: str, by_district: bool) -> str:
    desks = [d for d in problem.desks if problem.allowed(d, kind)]
    names = sorted({d.district for d in desks} if by_district else {d.name for d in desks})
    if not names:
        return "nobody may have it"
    return f"only {', '.join(names)} may have it"


def table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """A plain table, right-aligned but for the first column."""
    cells = [list(map(str, row)) for row in (head, *rows)]
    wide = [max(len(row[place]) for row in cells) for place in range(len(head))]
    return [
        "  ".join(
            text.ljust(w) if not place else text.rjust(w)
            for place, (text, w) in enumerate(zip(row, wide, strict=True))
        ).rstrip()
        for row in cells
    ]


def show(problem: Problem, plan: Plan) -> list[str]:
    """Which desks open, what each carries, what each class and office gets."""
    figures, given = plan.objective, problem.classes_by_desk(plan.placement)
    lines = [
        f"{plan.status}: worth {figures.worth}, cost {figures.cost}, distance {figures.distance}, "
        f"moves {figures.moves}"
    ]
    load = dict.fromkeys(problem.desk, 0)
    for (_, _, desk), units in plan.flows.routes.items():
        load[desk] = load.get(desk, 0) + units
    rows: list[list[object]] = []
    for name, facts in sorted(problem.desk.items()):
        room = problem.capacity(name, given.get(name, ()))
        rows.append(
            [
                name,
                facts.district,
                facts.agents,
                load[name] * problem.grain / PERMILLE,
                room * problem.grain / PERMILLE,
                facts.cost if name in given else 0,
                ", ".join(given.get(name, ())) or "closed",
            ]
        )
    lines += ["", *table(["desk", "district", "agents", "erlangs", "room", "cost", "classes"], rows)]
    carried: dict[str, list[int]] = {}
    for (kind, _, office), units in problem.demand.items():
        for key in (kind, office):
            carried.setdefault(key, [0, 0, 0])[0] += units
    for (kind, _, office), (within, beyond) in plan.flows.supply.items():
        for key in (kind, office):
            carried.setdefault(key, [0, 0, 0])[1] += within + beyond
            carried[key][2] += within
    rates = allowances_per_s(problem, plan.flows)
    for label, names in (("class", sorted(problem.kind)), ("office", sorted(o.name for o in problem.offices))):
        rows = []
        for name in names:
            offered, all_of, full = carried.get(name, [0, 0, 0])
            row: list[object] = [
                name,
                *(one * problem.grain / PERMILLE for one in (offered, all_of, full)),
                f"{100 * all_of / offered:.1f}" if offered else "-",
            ]
            rows.append(row + [f"{rates[name]:.3f}"] if label == "office" else row)
        head = [label, "offered", "carried", "in full", "%"] + (["calls/s"] if label == "office" else [])
        lines += ["", *table(head, rows)]
    return lines


def slack(problem: Problem, plan: Plan) -> list[tuple[str, int, int]]:
    """Every constraint: its name, what is used, what is left."""
    given = problem.classes_by_desk(plan.placement)
    out: list[tuple[str, int, int]] = []
    if problem.budget is not None:
        out.append(("budget", plan.objective.cost, problem.budget - plan.objective.cost))
    if problem.moves is not None and problem.current is not None:
        out.append(("moves", plan.objective.moves, problem.moves - plan.objective.moves))
    load = dict.fromkeys(given, 0)
    for (_, _, desk), units in plan.flows.routes.items():
        load[desk] = load.get(desk, 0) + units
    for name, kinds in given.items():
        out.append((f"{name}: room", load[name], problem.capacity(name, kinds) - load[name]))
        if most := problem.desk[name].most_classes:
            out.append((f"{name}: classes", len(kinds), most - len(kinds)))
    for office in sorted(one.name for one in problem.offices):
        cells = [both for (_, _, name), both in plan.flows.supply.items() if name == office]
        full, all_of = sum(a for a, _ in cells), sum(a + b for a, b in cells)
        out.append((f"{office}: share", full, problem.allowances[office] - full))
        if floor := problem.floors[office]:
            out.append((f"{office}: floor", all_of, all_of - floor))
    for kind in sorted(problem.kind):
        stands = [name for name, kinds in given.items() if kind in kinds]
        places = {problem.desk[name].district for name in stands}
        if need := problem.kind[kind].desks:
            out.append((f"{kind}: desks", len(stands), len(stands) - need))
        if need := problem.kind[kind].districts:
            out.append((f"{kind}: districts", len(places), len(places) - need))
    return out


def difference(problem: Problem, old: Plan, new: Plan) -> list[str]:
    """What changes from one plan to the other."""
    lines = [
        f"{sign} {desk}: {kind}"
        for desk, kind in sorted(old.placement ^ new.placement)
        for sign in ("+" if (desk, kind) in new.placement else "-",)
    ]
    before, after = weights(problem, old.flows), weights(problem, new.flows)
    for pair in sorted(before.keys() | after.keys()):
        a, b = before.get(pair, {}), after.get(pair, {})
        for desk in sorted(a.keys() | b.keys()):
            if a.get(desk, 0) != b.get(desk, 0):
                lines.append(f"  {'/'.join(pair)} at {desk}: {a.get(desk, 0)} -> {b.get(desk, 0)} units")
    for key in ("worth", "cost", "distance", "moves"):
        one, other = getattr(old.objective, key), getattr(new.objective, key)
        if one != other:
            lines.append(f"  {key}: {one} -> {other}")
    return lines
