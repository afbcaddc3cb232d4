"""Text reports on plans and conflicts for operators."""

from __future__ import annotations

from collections.abc import Sequence

from seamlb.planning.model import PERMILLE, Plan, Problem, allowances_per_s, weights
from seamlb.planning.program import Rule


def conflict_lines(problem: Problem, rules: Sequence[Rule]) -> list[str]:
    """One line per rule of a conflict; requirements on desks and districts also list the candidates by skill."""
    lines = []
    for rule in rules:
        match rule.topic, rule.subject:
            case "budget", _:
                lines.append(f"the budget is {problem.budget}")
            case "moves", _:
                lines.append(f"no more than {problem.moves} moves from the plan in force are allowed")
            case "desks", (kind,):
                lines.append(
                    f"{kind} needs {problem.kind[kind].desks} desks{_failure_condition(problem, kind)}; "
                    f"{_candidates(problem, kind, by_district=False)}"
                )
            case "districts", (kind,):
                lines.append(
                    f"{kind} needs {problem.kind[kind].districts} districts{_failure_condition(problem, kind)}; "
                    f"{_candidates(problem, kind, by_district=True)}"
                )
            case "floor", (office,):
                lines.append(f"{office} needs at least {problem.floors[office]} carried units")
            case "pin", (desk, kind):
                lines.append(f"{desk} is pinned to {kind}")
            case "forbid", (desk, kind):
                lines.append(f"{desk} must not have {kind}")
            case "skill", (desk, kind):
                lines.append(f"{desk} has no skill for {kind}")
            case "agents", (desk,):
                lines.append(f"{desk} has no agents")
            case "most", (desk,):
                lines.append(f"{desk} may have {problem.desk[desk].most_classes} classes at once")
    return lines


def _failure_condition(problem: Problem, kind: str) -> str:
    failure = problem.kind[kind].survive
    return "" if failure == "none" else f" when any one {failure} is lost"


def _candidates(problem: Problem, kind: str, by_district: bool) -> str:
    candidates = [d for d in problem.desks if problem.allowed(d, kind)]
    names = sorted({d.district for d in candidates} if by_district else {d.name for d in candidates})
    if not names:
        return "no desk may have it"
    return f"only {', '.join(names)} may have it"


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """A plain text table; all columns but the first are right-aligned."""
    cells = [list(map(str, row)) for row in (header, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    return [
        "  ".join(
            text.ljust(width) if not column else text.rjust(width)
            for column, (text, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in cells
    ]


def plan_report(problem: Problem, plan: Plan) -> list[str]:
    """A report of the open desks and their load, and of the load carried by class and by office."""
    objective, classes_by_desk = plan.objective, problem.classes_by_desk(plan.placement)
    lines = [
        f"{plan.status}: worth {objective.worth}, cost {objective.cost}, distance {objective.distance}, "
        f"moves {objective.moves}"
    ]
    load = dict.fromkeys(problem.desk, 0)
    for (_, _, desk), units in plan.flows.routes.items():
        load[desk] = load.get(desk, 0) + units
    rows: list[list[object]] = []
    for name, planned_desk in sorted(problem.desk.items()):
        capacity = problem.capacity(name, classes_by_desk.get(name, ()))
        rows.append(
            [
                name,
                planned_desk.district,
                planned_desk.agents,
                load[name] * problem.grain / PERMILLE,
                capacity * problem.grain / PERMILLE,
                planned_desk.cost if name in classes_by_desk else 0,
                ", ".join(classes_by_desk.get(name, ())) or "closed",
            ]
        )
    lines += ["", *table(["desk", "district", "agents", "erlangs", "room", "cost", "classes"], rows)]
    totals: dict[str, list[int]] = {}
    for (kind, _, office), units in problem.demand.items():
        for key in (kind, office):
            totals.setdefault(key, [0, 0, 0])[0] += units
    for (kind, _, office), (within, beyond) in plan.flows.supply.items():
        for key in (kind, office):
            totals.setdefault(key, [0, 0, 0])[1] += within + beyond
            totals[key][2] += within
    rates = allowances_per_s(problem, plan.flows)
    for label, names in (("class", sorted(problem.kind)), ("office", sorted(o.name for o in problem.offices))):
        rows = []
        for name in names:
            offered, carried, at_full_worth = totals.get(name, [0, 0, 0])
            row: list[object] = [
                name,
                *(amount * problem.grain / PERMILLE for amount in (offered, carried, at_full_worth)),
                f"{100 * carried / offered:.1f}" if offered else "-",
            ]
            rows.append(row + [f"{rates[name]:.3f}"] if label == "office" else row)
        header = [label, "offered", "carried", "in full", "%"] + (["calls/s"] if label == "office" else [])
        lines += ["", *table(header, rows)]
    return lines


def constraint_slack(problem: Problem, plan: Plan) -> list[tuple[str, int, int]]:
    """The name, the used amount and the slack of every constraint."""
    classes_by_desk = problem.classes_by_desk(plan.placement)
    entries: list[tuple[str, int, int]] = []
    if problem.budget is not None:
        entries.append(("budget", plan.objective.cost, problem.budget - plan.objective.cost))
    if problem.moves is not None and problem.current is not None:
        entries.append(("moves", plan.objective.moves, problem.moves - plan.objective.moves))
    load = dict.fromkeys(classes_by_desk, 0)
    for (_, _, desk), units in plan.flows.routes.items():
        load[desk] = load.get(desk, 0) + units
    for name, kinds in classes_by_desk.items():
        entries.append((f"{name}: room", load[name], problem.capacity(name, kinds) - load[name]))
        if max_classes := problem.desk[name].most_classes:
            entries.append((f"{name}: classes", len(kinds), max_classes - len(kinds)))
    for office in sorted(one.name for one in problem.offices):
        cells = [both for (_, _, name), both in plan.flows.supply.items() if name == office]
        at_full_worth, carried = sum(a for a, _ in cells), sum(a + b for a, b in cells)
        entries.append((f"{office}: share", at_full_worth, problem.allowances[office] - at_full_worth))
        if floor := problem.floors[office]:
            entries.append((f"{office}: floor", carried, carried - floor))
    for kind in sorted(problem.kind):
        desks = [name for name, kinds in classes_by_desk.items() if kind in kinds]
        districts = {problem.desk[name].district for name in desks}
        if minimum := problem.kind[kind].desks:
            entries.append((f"{kind}: desks", len(desks), len(desks) - minimum))
        if minimum := problem.kind[kind].districts:
            entries.append((f"{kind}: districts", len(districts), len(districts) - minimum))
    return entries


def plan_difference(problem: Problem, old: Plan, new: Plan) -> list[str]:
    """The changes from the old plan to the new one, one line each."""
    lines = [
        f"{sign} {desk}: {kind}"
        for desk, kind in sorted(old.placement ^ new.placement)
        for sign in ("+" if (desk, kind) in new.placement else "-",)
    ]
    before, after = weights(problem, old.flows), weights(problem, new.flows)
    for pair in sorted(before.keys() | after.keys()):
        old_units, new_units = before.get(pair, {}), after.get(pair, {})
        for desk in sorted(old_units.keys() | new_units.keys()):
            if old_units.get(desk, 0) != new_units.get(desk, 0):
                lines.append(
                    f"  {'/'.join(pair)} at {desk}: {old_units.get(desk, 0)} -> {new_units.get(desk, 0)} units"
                )
    for key in ("worth", "cost", "distance", "moves"):
        before_value, after_value = getattr(old.objective, key), getattr(new.objective, key)
        if before_value != after_value:
            lines.append(f"  {key}: {before_value} -> {after_value}")
    return lines
