"""The mixed-integer program of a planning problem as rows and columns, independent of any solver.

Columns: desk open, class placed at a desk, units routed, units supplied. Only opening and placement columns need an
integrality constraint: once they are fixed, the rest is a network flow, whose vertices are integral. Rows that
enforce a rule refer to it (`Rule`), so that conflicts can be reported and rules can be left out one by one.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from seamlb.planning.model import PERMILLE, Placement, Problem

INFINITE = float("inf")
RADIX = 100_000  # costs are passed to the solver as digits of this base
BUDGET_SLACK = 1e-6  # relative relaxation of the budget for the solver; the exact sum is checked afterwards
Terms = dict[int, float]


@dataclass(slots=True, frozen=True, order=True)
class Rule:
    """A rule of the operator, or a fact about a desk, that can be part of a conflict."""

    topic: str  # pin, forbid, skill, agents, most, desks, districts, budget, moves, floor
    subject: tuple[str, ...] = ()


@dataclass(slots=True)
class Row:
    """low <= terms <= high."""

    terms: Terms
    low: float
    high: float
    rule: Rule | None = None


@dataclass(slots=True)
class Program:
    """Columns, rows, and the meaning of each column."""

    problem: Problem
    low: list[float] = field(default_factory=list)
    high: list[float] = field(default_factory=list)
    integer: list[bool] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)
    open: dict[str, int] = field(default_factory=dict)
    placed: dict[tuple[str, str], int] = field(default_factory=dict)  # desk, class
    routed: dict[tuple[str, str, str], int] = field(default_factory=dict)  # class, district or "", desk
    supplied: dict[tuple[str, str, str, int], int] = field(default_factory=dict)  # class, district, office, beyond
    digits: tuple[int, int] | None = None  # columns of the sum of the costs' low digits: carry and rest
    presence: dict[int, list[int]] = field(default_factory=dict)  # class present in district: its placement columns

    def column(self, high: float, integer: bool = False) -> int:
        """Add a variable with bounds 0 and `high`; returns its column number."""
        self.low.append(0.0)
        self.high.append(high)
        self.integer.append(integer)
        return len(self.low) - 1

    def row(
        self, terms: Mapping[int, float], low: float = -INFINITE, high: float = INFINITE, rule: Rule | None = None
    ) -> None:
        """Add a constraint."""
        self.rows.append(Row(dict(terms), low, high, rule))

    def placement(self, values: Iterable[float]) -> Placement:
        """The placement that a solution's column values represent."""
        value = list(values)
        return frozenset(pair for pair, column in self.placed.items() if value[column] > 0.5)

    # -- objectives: terms to maximise ---------------------------------------------------------

    def worth(self) -> Terms:
        """The first stage of the objective: worth by column."""
        out = {}
        for (kind, _, _, beyond), column in self.supplied.items():
            value = self.problem.kind[kind].value
            out[column] = float(value * self.problem.over_share_worth // PERMILLE if beyond else value)
        return out

    def costs(self) -> list[tuple[Terms, int]]:
        """The cost as digits, highest first, each with its weight.

        A solver's tolerances are relative: next to a cost of 10^9 it ignores a difference of 1. The low digits add up
        to q * RADIX + r with integers q and r; the high digits plus q are minimised first, and then r.
        """
        cost = {column: self.problem.desk[name].cost for name, column in self.open.items()}
        if self.digits is None:
            return [({column: -float(amount) for column, amount in cost.items()}, 1)]
        carry, rest = self.digits
        return [
            ({column: -float(amount // RADIX) for column, amount in cost.items()} | {carry: -1.0}, RADIX),
            ({rest: -1.0}, 1),
        ]

    def distance(self) -> Terms:
        """Negative distance; requires routes by district."""
        return {
            column: -float(self.problem.latency_us(district, self.problem.desk[desk].district))
            for (_, district, desk), column in self.routed.items()
        }

    def moves(self) -> Terms:
        """The number of placements in force minus the number of moves."""
        current = self.problem.current or frozenset()
        return {column: 1.0 if pair in current else -1.0 for pair, column in self.placed.items()}

    def order(self, pairs: Iterable[tuple[str, str]]) -> Terms:
        """Placements as the bits of a number; the canonical order prefers the greatest."""
        columns = [self.placed[pair] for pair in pairs]
        return {column: float(1 << (len(columns) - 1 - position)) for position, column in enumerate(columns)}


def rules(problem: Problem) -> list[Rule]:
    """All rules and facts that can be part of a conflict, in a fixed order."""
    found = [Rule("budget")] if problem.budget is not None else []
    if problem.moves is not None and problem.current is not None:
        found.append(Rule("moves"))
    for kind in sorted(problem.kind):
        found += [Rule("desks", (kind,))] if problem.kind[kind].desks else []
        found += [Rule("districts", (kind,))] if problem.kind[kind].districts else []
    for office in sorted(one.name for one in problem.offices):
        found += [Rule("floor", (office,))] if problem.floors[office] else []
    for name, desk in sorted(problem.desk.items()):
        found += [Rule("pin", (name, kind)) for kind in sorted(desk.pinned)]
        found += [Rule("forbid", (name, kind)) for kind in sorted(desk.forbidden)]
        found += [Rule("skill", (name, kind)) for kind in sorted(problem.kind.keys() - desk.skills)]
        found += [Rule("agents", (name,))] if desk.agents == 0 else []
        found += [Rule("most", (name,))] if desk.most_classes else []
    return found


def build(problem: Problem, by_district: bool, excluded: Collection[Rule] = ()) -> Program:
    """The program with all rules except those in `excluded`.

    Only distance needs routes by district; without districts the program is much smaller.
    """
    program = Program(problem)
    kinds, desks = sorted(problem.kind), sorted(problem.desk)
    demand: dict[tuple[str, str], int] = defaultdict(int)
    for kind, district, _ in problem.cells:
        demand[kind, district if by_district else ""] += problem.demand[kind, district, _]
    class_demand: dict[str, int] = defaultdict(int)
    for (kind, _), units in demand.items():
        class_demand[kind] += units
    for name in desks:
        program.open[name] = program.column(1.0, integer=True)
        for kind in kinds:
            program.placed[name, kind] = program.column(1.0, integer=True)
    for (kind, district), units in sorted(demand.items()):
        for name in desks:
            if capacity := min(problem.class_capacities[name, kind], units):
                program.routed[kind, district, name] = program.column(float(capacity))
    for kind, district, office in problem.cells:
        for beyond in (0, 1):
            units = problem.demand[kind, district, office]
            program.supplied[kind, district, office, beyond] = program.column(float(units))
    if max((desk.cost for desk in problem.desks), default=0) >= RADIX:
        program.digits = (program.column(float(len(desks)), integer=True), program.column(RADIX - 1.0, integer=True))
        low_digits = {program.open[name]: float(problem.desk[name].cost % RADIX) for name in desks}
        program.row(low_digits | {program.digits[0]: -float(RADIX), program.digits[1]: -1.0}, 0.0, 0.0)
    _flow_rows(program, demand, by_district)
    for name in desks:
        _desk_rows(program, name, kinds, class_demand, by_district)
    _rule_rows(program, frozenset(excluded))
    _break_symmetry(program, excluded)
    return program


def _flow_rows(program: Program, demand: Mapping[tuple[str, str], int], by_district: bool) -> None:
    problem = program.problem
    balance: dict[tuple[str, str], Terms] = {pair: {} for pair in demand}
    within_share: dict[str, Terms] = defaultdict(dict)
    for (kind, district, office, beyond), column in program.supplied.items():
        balance[kind, district if by_district else ""][column] = 1.0
        if beyond:
            carried = {column: 1.0, program.supplied[kind, district, office, 0]: 1.0}
            program.row(carried, high=problem.demand[kind, district, office])
        else:
            within_share[office][column] = 1.0
    for (kind, district, _), column in program.routed.items():
        balance[kind, district][column] = -1.0
    for terms in balance.values():
        program.row(terms, 0.0, 0.0)
    for office, terms in within_share.items():
        program.row(terms, high=problem.allowances[office])


def _desk_rows(program: Program, name: str, kinds: list[str], demand: Mapping[str, int], by_district: bool) -> None:
    problem = program.problem
    max_capacity = max(problem.class_capacities[name, kind] for kind in kinds)
    columns_by_class = _routes_by_class(program, name, sorted(problem.districts) if by_district else [""])
    load = {column: 1.0 for columns in columns_by_class.values() for column in columns}
    opened = program.open[name]
    if load:
        program.row(load | {opened: -float(max_capacity)}, high=0.0)
    for kind in kinds:
        placed, cap = program.placed[name, kind], problem.class_capacities[name, kind]
        program.row({placed: 1.0, opened: -1.0}, high=0.0)
        if columns := columns_by_class.get(kind):
            program.row(dict.fromkeys(columns, 1.0) | {placed: -float(min(cap, demand[kind]))}, high=0.0)
            if by_district:
                for column in columns:
                    program.row({column: 1.0, placed: -program.high[column]}, high=0.0)
        if load and cap < max_capacity:  # the strictest class placed limits the whole desk
            program.row(load | {placed: float(max_capacity - cap)}, high=float(max_capacity))
    program.row({opened: 1.0} | {program.placed[name, kind]: -1.0 for kind in kinds}, high=0.0)


def _routes_by_class(program: Program, name: str, districts: list[str]) -> dict[str, list[int]]:
    out: dict[str, list[int]] = defaultdict(list)
    for kind in program.problem.kind:
        for district in districts:
            if (column := program.routed.get((kind, district, name))) is not None:
                out[kind].append(column)
    return out


def _rule_rows(program: Program, excluded: frozenset[Rule]) -> None:
    """Add the rows of all rules that are not excluded."""
    problem = program.problem
    current = problem.current or frozenset()
    for rule in rules(problem):
        if rule in excluded:
            continue
        match rule.topic:
            case "budget":
                terms = {c: float(problem.desk[d].cost) for d, c in program.open.items() if problem.desk[d].cost}
                program.row(terms, high=(problem.budget or 0) * (1 + BUDGET_SLACK), rule=rule)
            case "moves":
                base = sum(pair in current for pair in program.placed)
                program.row(
                    {c: -v for c, v in program.moves().items()}, high=float((problem.moves or 0) - base), rule=rule
                )
            case "desks":
                _desk_minimum_rows(program, rule)
            case "districts":
                _district_minimum_rows(program, rule)
            case "floor":
                terms = {c: 1.0 for (_, _, o, _), c in program.supplied.items() if o == rule.subject[0]}
                program.row(terms, low=float(problem.floors[rule.subject[0]]), rule=rule)
            case "pin":
                program.row({program.placed[rule.subject[0], rule.subject[1]]: 1.0}, low=1.0, rule=rule)
            case "forbid" | "skill":
                program.row({program.placed[rule.subject[0], rule.subject[1]]: 1.0}, high=0.0, rule=rule)
            case "agents":
                program.row({program.open[rule.subject[0]]: 1.0}, high=0.0, rule=rule)
            case "most":
                terms = {program.placed[rule.subject[0], kind]: 1.0 for kind in problem.kind}
                program.row(terms, high=float(problem.desk[rule.subject[0]].most_classes), rule=rule)


def _desk_minimum_rows(program: Program, rule: Rule) -> None:
    problem, kind = program.problem, program.problem.kind[rule.subject[0]]
    for lost_desks in _failure_sets(problem, kind.survive):
        terms = {program.placed[d, kind.name]: 1.0 for d in sorted(problem.desk) if d not in lost_desks}
        program.row(terms, low=float(kind.desks), rule=rule)


def _district_minimum_rows(program: Program, rule: Rule) -> None:
    problem, kind = program.problem, program.problem.kind[rule.subject[0]]
    for lost_desks in _failure_sets(problem, kind.survive):
        present = {}
        for district in sorted(problem.districts):
            desks = [d.name for d in problem.desks if d.district == district and d.name not in lost_desks]
            if desks:  # the column is at most 1, however many desks of the district have the class
                column = program.column(1.0)
                present[column] = 1.0
                program.presence[column] = [program.placed[d, kind.name] for d in sorted(desks)]
                program.row({column: 1.0} | dict.fromkeys(program.presence[column], -1.0), high=0.0)
        program.row(present, low=float(kind.districts), rule=rule)


def _failure_sets(problem: Problem, survive: str) -> list[frozenset[str]]:
    """The sets of desks whose loss must be survived, one at a time; the empty set is normal operation."""
    if survive == "desk":
        return [frozenset()] + [frozenset((name,)) for name in sorted(problem.desk)]
    if survive == "district":
        return [frozenset()] + [
            frozenset(d.name for d in problem.desks if d.district == one) for one in sorted(problem.districts)
        ]
    return [frozenset()]


def _break_symmetry(program: Program, excluded: Collection[Rule]) -> None:
    """Symmetry breaking: among desks that differ only by name, an earlier one gets the greater placement.

    Swapping two of them only changes the canonical order, which prefers the greater placement first: the optimal plan
    is never excluded, and the search space is smaller.
    """
    if excluded:
        return  # excluded rules may make such desks differ
    problem, kinds = program.problem, sorted(program.problem.kind)
    current = problem.current or frozenset()
    groups: dict[object, list[str]] = defaultdict(list)
    for name, desk in sorted(problem.desk.items()):
        groups[
            desk.district,
            desk.agents,
            desk.rate_milli,
            desk.skills,
            desk.second,
            desk.pinned,
            desk.forbidden,
            desk.most_classes,
            desk.cost,
            desk.cold,
            tuple((name, k) in current for k in kinds),
        ].append(name)
    for names in groups.values():
        for first, second in zip(names, names[1:], strict=False):
            terms = {}
            for position, kind in enumerate(kinds):
                weight = float(1 << (len(kinds) - 1 - position))
                terms[program.placed[first, kind]], terms[program.placed[second, kind]] = -weight, weight
            program.row(terms, high=0.0)
