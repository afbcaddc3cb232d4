"""The mixed-integer program of a planning problem, as plain rows and columns; nothing here knows a solver.

Columns: a desk open, a class placed, units routed and supplied. Only placements are whole by demand: with these fixed
the rest is a network, whose best corners are whole by themselves. Rows that an operator can name carry a `Rule`, so
that a conflict can be told in those words and rules can be left out one by one.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from seamlb.planning.model import PERMILLE, Placement, Problem

INFINITE = float("inf")
DIGIT = 100_000  # costs are told to the solver in digits of this base
LOOSE = 1e-6  # what a limit on large sums is relaxed by for the solver; the exact sum is checked behind it
Terms = dict[int, float]


@dataclass(slots=True, frozen=True, order=True)
class Rule:
    """Something an operator asked for."""

    topic: str  # pin, forbid, skill, agents, most, desks, districts, budget, moves, floor
    about: tuple[str, ...] = ()


@dataclass(slots=True)
class Row:
    """low <= terms <= high."""

    terms: Terms
    low: float
    high: float
    rule: Rule | None = None


@dataclass(slots=True)
class Program:
    """Columns, rows, and what each column stands for."""

    problem: Problem
    low: list[float] = field(default_factory=list)
    high: list[float] = field(default_factory=list)
    whole: list[bool] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)
    open: dict[str, int] = field(default_factory=dict)
    placed: dict[tuple[str, str], int] = field(default_factory=dict)  # desk, class
    routed: dict[tuple[str, str, str], int] = field(default_factory=dict)  # class, district or "", desk
    supplied: dict[tuple[str, str, str, int], int] = field(default_factory=dict)  # class, district, office, beyond
    digits: tuple[int, int] | None = None  # columns of what the costs' lower digits add up to
    stands: dict[int, list[int]] = field(default_factory=dict)  # a class in a district: placements that make it so

    def column(self, high: float, whole: bool = False) -> int:
        """Add a variable from 0 to `high`; returns its number."""
        self.low.append(0.0)
        self.high.append(high)
        self.whole.append(whole)
        return len(self.low) - 1

    def row(
        self, terms: Mapping[int, float], low: float = -INFINITE, high: float = INFINITE, rule: Rule | None = None
    ) -> None:
        """Add a constraint."""
        self.rows.append(Row(dict(terms), low, high, rule))

    def placement(self, values: Iterable[float]) -> Placement:
        """The placement that a solution's columns stand for."""
        value = list(values)
        return frozenset(pair for pair, column in self.placed.items() if value[column] > 0.5)

    # -- objectives: terms to be maximised -----------------------------------------------------

    def worth(self) -> Terms:
        """The objective's first part: worth by variable."""
        out = {}
        for (kind, _, _, beyond), column in self.supplied.items():
            value = self.problem.kind[kind].value
            out[column] = float(value * self.problem.over_share_worth // PERMILLE if beyond else value)
        return out

    def costs(self) -> list[tuple[Terms, int]]:
        """The cost in digits, highest first, each with its weight.

        A solver's tolerances are relative: beside a desk of 10^9 it sees no difference of 1. The lower digits add up
        to q * DIGIT + r, with whole q and r; the parts to be made small are then the higher digits with q, and r.
        """
        cost = {column: self.problem.desk[name].cost for name, column in self.open.items()}
        if self.digits is None:
            return [({column: -float(one) for column, one in cost.items()}, 1)]
        carried, rest = self.digits
        return [
            ({column: -float(one // DIGIT) for column, one in cost.items()} | {carried: -1.0}, DIGIT),
            ({rest: -1.0}, 1),
        ]

    def distance(self) -> Terms:
        """Only where routes are kept by district."""
        return {
            column: -float(self.problem.latency_us(district, self.problem.desk[desk].district))
            for (_, district, desk), column in self.routed.items()
        }

    def moves(self) -> Terms:
        """Less the constant of placements in force that are given up anyway."""
        current = self.problem.current or frozenset()
        return {column: 1.0 if pair in current else -1.0 for pair, column in self.placed.items()}

    def order(self, pairs: Iterable[tuple[str, str]]) -> Terms:
        """Placements as the digits of a number: greatest first in the canonical order."""
        columns = [self.placed[pair] for pair in pairs]
        return {column: float(1 << (len(columns) - 1 - place)) for place, column in enumerate(columns)}


def rules(problem: Problem) -> list[Rule]:
    """All that an operator asked for and that can be in conflict, in a fixed order."""
    out = [Rule("budget")] if problem.budget is not None else []
    if problem.moves is not None and problem.current is not None:
        out.append(Rule("moves"))
    for kind in sorted(problem.kind):
        out += [Rule("desks", (kind,))] if problem.kind[kind].desks else []
        out += [Rule("districts", (kind,))] if problem.kind[kind].districts else []
    for office in sorted(one.name for one in problem.offices):
        out += [Rule("floor", (office,))] if problem.floors[office] else []
    for name, desk in sorted(problem.desk.items()):
        out += [Rule("pin", (name, kind)) for kind in sorted(desk.pinned)]
        out += [Rule("forbid", (name, kind)) for kind in sorted(desk.forbidden)]
        out += [Rule("skill", (name, kind)) for kind in sorted(problem.kind.keys() - desk.skills)]
        out += [Rule("agents", (name,))] if desk.agents == 0 else []
        out += [Rule("most", (name,))] if desk.most_classes else []
    return out


def build(problem: Problem, by_district: bool, without: Collection[Rule] = ()) -> Program:
    """The program with every rule but those in `without`.

    Distances alone need routes by district; worth and cost don't, and are much smaller without.
    """
    program = Program(problem)
    kinds, desks = sorted(problem.kind), sorted(problem.desk)
    demand: dict[tuple[str, str], int] = defaultdict(int)
    for kind, district, _ in problem.cells:
        demand[kind, district if by_district else ""] += problem.demand[kind, district, _]
    wanted: dict[str, int] = defaultdict(int)
    for (kind, _), units in demand.items():
        wanted[kind] += units
    for name in desks:
        program.open[name] = program.column(1.0, whole=True)
        for kind in kinds:
            program.placed[name, kind] = program.column(1.0, whole=True)
    for (kind, district), units in sorted(demand.items()):
        for name in desks:
            if top := min(problem.class_capacities[name, kind], units):
                program.routed[kind, district, name] = program.column(float(top))
    for kind, district, office in problem.cells:
        for beyond in (0, 1):
            units = problem.demand[kind, district, office]
            program.supplied[kind, district, office, beyond] = program.column(float(units))
    if max((desk.cost for desk in problem.desks), default=0) >= DIGIT:
        program.digits = (program.column(float(len(desks)), whole=True), program.column(DIGIT - 1.0, whole=True))
        low = {program.open[name]: float(problem.desk[name].cost % DIGIT) for name in desks}
        program.row(low | {program.digits[0]: -float(DIGIT), program.digits[1]: -1.0}, 0.0, 0.0)
    _flows(program, demand, by_district)
    for name in desks:
        _desk(program, name, kinds, wanted, by_district)
    _asked(program, frozenset(without))
    _alike(program, without)
    return program


def _flows(program: Program, demand: Mapping[tuple[str, str], int], by_district: bool) -> None:
    problem = program.problem
    arrives: dict[tuple[str, str], Terms] = {pair: {} for pair in demand}
    within: dict[str, Terms] = defaultdict(dict)
    for (kind, district, office, beyond), column in program.supplied.items():
        arrives[kind, district if by_district else ""][column] = 1.0
        if beyond:
            both = {column: 1.0, program.supplied[kind, district, office, 0]: 1.0}
            program.row(both, high=problem.demand[kind, district, office])
        else:
            within[office][column] = 1.0
    for (kind, district, _), column in program.routed.items():
        arrives[kind, district][column] = -1.0
    for terms in arrives.values():
        program.row(terms, 0.0, 0.0)
    for office, terms in within.items():
        program.row(terms, high=problem.allowances[office])


def _desk(program: Program, name: str, kinds: list[str], wanted: Mapping[str, int], by_district: bool) -> None:
    problem = program.problem
    top = max(problem.class_capacities[name, kind] for kind in kinds)
    here = _by_kind(program, name, sorted(problem.districts) if by_district else [""])
    load = {column: 1.0 for columns in here.values() for column in columns}
    opened = program.open[name]
    if load:
        program.row(load | {opened: -float(top)}, high=0.0)
    for kind in kinds:
        placed, cap = program.placed[name, kind], problem.class_capacities[name, kind]
        program.row({placed: 1.0, opened: -1.0}, high=0.0)
        if columns := here.get(kind):
            program.row(dict.fromkeys(columns, 1.0) | {placed: -float(min(cap, wanted[kind]))}, high=0.0)
            if by_district:
                for column in columns:
                    program.row({column: 1.0, placed: -program.high[column]}, high=0.0)
        if load and cap < top:  # the strictest class given rules the whole desk
            program.row(load | {placed: float(top - cap)}, high=float(top))
    program.row({opened: 1.0} | {program.placed[name, kind]: -1.0 for kind in kinds}, high=0.0)


def _by_kind(program: Program, name: str, districts: list[str]) -> dict[str, list[int]]:
    out: dict[str, list[int]] = defaultdict(list)
    for kind in program.problem.kind:
        for district in districts:
            if (column := program.routed.get((kind, district, name))) is not None:
                out[kind].append(column)
    return out


def _asked(program: Program, without: frozenset[Rule]) -> None:
    """The rules that an operator can name."""
    problem = program.problem
    current = problem.current or frozenset()
    for rule in rules(problem):
        if rule in without:
            continue
        match rule.topic:
            case "budget":
                terms = {c: float(problem.desk[d].cost) for d, c in program.open.items() if problem.desk[d].cost}
                program.row(terms, high=(problem.budget or 0) * (1 + LOOSE), rule=rule)
            case "moves":
                kept = sum(pair in current for pair in program.placed)
                program.row(
                    {c: -v for c, v in program.moves().items()}, high=float((problem.moves or 0) - kept), rule=rule
                )
            case "desks":
                _desks(program, rule)
            case "districts":
                _districts(program, rule)
            case "floor":
                terms = {c: 1.0 for (_, _, o, _), c in program.supplied.items() if o == rule.about[0]}
                program.row(terms, low=float(problem.floors[rule.about[0]]), rule=rule)
            case "pin":
                program.row({program.placed[rule.about[0], rule.about[1]]: 1.0}, low=1.0, rule=rule)
            case "forbid" | "skill":
                program.row({program.placed[rule.about[0], rule.about[1]]: 1.0}, high=0.0, rule=rule)
            case "agents":
                program.row({program.open[rule.about[0]]: 1.0}, high=0.0, rule=rule)
            case "most":
                terms = {program.placed[rule.about[0], kind]: 1.0 for kind in problem.kind}
                program.row(terms, high=float(problem.desk[rule.about[0]].most_classes), rule=rule)


def _desks(program: Program, rule: Rule) -> None:
    problem, kind = program.problem, program.problem.kind[rule.about[0]]
    for away in _losses(problem, kind.survive):
        terms = {program.placed[d, kind.name]: 1.0 for d in sorted(problem.desk) if d not in away}
        program.row(terms, low=float(kind.desks), rule=rule)


def _districts(program: Program, rule: Rule) -> None:
    problem, kind = program.problem, program.problem.kind[rule.about[0]]
    for away in _losses(problem, kind.survive):
        stands = {}
        for district in sorted(problem.districts):
            there = [d.name for d in problem.desks if d.district == district and d.name not in away]
            if there:  # at most one, however many desks stand there
                column = program.column(1.0)
                stands[column] = 1.0
                program.stands[column] = [program.placed[d, kind.name] for d in sorted(there)]
                program.row({column: 1.0} | dict.fromkeys(program.stands[column], -1.0), high=0.0)
        program.row(stands, low=float(kind.districts), rule=rule)


def _losses(problem: Problem, survive: str) -> list[frozenset[str]]:
    """The sets of desks of which any one may be lost; the empty one for no loss."""
    if survive == "desk":
        return [frozenset()] + [frozenset((name,)) for name in sorted(problem.desk)]
    if survive == "district":
        return [frozenset()] + [
            frozenset(d.name for d in problem.desks if d.district == one) for one in sorted(problem.districts)
        ]
    return [frozenset()]


def _alike(program: Program, without: Collection[Rule]) -> None:
    """Of desks that differ by name only, an earlier one gets the greater placement.

    Swapping two of them changes nothing but the canonical order, in which the greater comes first: no plan that could
    be the answer is cut off, and the search needn't try the others.
    """
    if without:
        return  # rules that are left out may tell such desks apart
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
        for one, other in zip(names, names[1:], strict=False):
            terms = {}
            for place, kind in enumerate(kinds):
                size = float(1 << (len(kinds) - 1 - place))
                terms[program.placed[one, kind]], terms[program.placed[other, kind]] = -size, size
            program.row(terms, high=0.0)
