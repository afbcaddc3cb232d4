"""Solves a planning problem to proven optimality with HiGHS, one part of the objective after the other.

Each part's best value becomes a row of the next part's program. A float solver can't be trusted with the last unit:
the flows of every placement that it names are computed again as integers (`optimal_flows`), its value must agree
with them, and a placement that breaks a rule exactly is cut off and the program solved again.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from math import gcd
from typing import Any

from seamlb.planning.carry import optimal_flows
from seamlb.planning.model import Objective, Placement, Plan, PlanningError, Problem, objective
from seamlb.planning.program import DIGIT, INFINITE, Program, Row, Rule, Terms, build, rules

CUTS = 200  # rounds of cuts against rounding before it counts as numerical trouble
CHUNK = 15  # placements settled in one solve of the canonical order: weights up to 2^14 are exact
STEPS = ("worth", "cost", "distance", "moves", "order")
Progress = Callable[[str], None]


class InfeasibleError(Exception):
    """No plan exists."""


class OutOfTimeError(Exception):
    """The time ran out."""


class NumericalError(PlanningError):
    """The solver's answer can't be made exact."""


@dataclass(slots=True)
class SolverResult:
    """What one solve gave: column values, its objective value, the best bound, and whether that proves it."""

    values: list[float]
    value: float
    bound: float
    proven: bool
    nodes: int


@dataclass(slots=True)
class Search:
    """One run through the parts of the objective."""

    problem: Problem
    until: float
    progress: Progress
    nodes: int = 0
    best: Placement | None = None
    bound: dict[str, float] = field(default_factory=dict)
    cache: dict[Placement, Objective] = field(default_factory=dict)
    settled: dict[str, int] = field(default_factory=dict)  # best values of the parts that are proven

    def evaluate(self, placement: Placement) -> Objective:
        """The exact objective of a placement."""
        if placement not in self.cache:
            flows = optimal_flows(self.problem, placement, exact=False)
            self.cache[placement] = objective(self.problem, placement, flows)
        return self.cache[placement]

    def cut(self, program: Program, placement: Placement) -> Row | None:
        """A row that cuts a placement off which only rounding let through."""
        figures, settled = self.evaluate(placement), self.settled
        dearest = min(one for one in (self.problem.budget, settled.get("cost"), 1 << 62) if one is not None)
        if figures.cost > dearest:
            return cover(program, placement)
        short = (
            figures.worth < settled.get("worth", 0)
            or figures.moves > settled.get("moves", 1 << 62)
            or figures.distance > settled.get("distance", 1 << 62)
        )
        return but(program, placement) if short else None

    def solve_stage(self, name: str, program: Program, goal: Terms, exact: Callable[[Placement], int]) -> int:
        """The best value of one part, exactly; cuts off what only rounding lets through."""
        for _ in range(CUTS):
            try:
                found = optimise(program, goal, self.until, self.best)
            except InfeasibleError:
                if self.best is None:
                    raise
                raise NumericalError(f"{name}: the solver finds no plan, though one is known") from None
            self.nodes += found.nodes
            placement = program.placement(found.values)
            if cut := self.cut(program, placement):
                program.rows.append(cut)
                continue
            value = exact(placement)
            if found.proven and abs(value - found.value) > max(0.5, 1e-9 * abs(value)):
                raise NumericalError(f"the solver's {name} of {found.value:.3f} is {value} when recomputed")
            self.best = placement
            if not found.proven:
                self.bound[name] = found.bound
                raise OutOfTimeError(name)
            self.progress(f"{name} {abs(value)}: proven, {self.nodes} nodes")
            return value
        raise NumericalError(f"{name}: {CUTS} rounds of cuts did not give an exact plan")


def solve(problem: Problem, time_limit: float = INFINITE, progress: Progress = lambda line: None) -> Plan:
    """The best plan, proven; one with status "stopped" when the time (seconds) ran out first.

    Raises InfeasibleError, OutOfTimeError (no plan at all in time) or PlanningError.
    """
    search = Search(problem, time.monotonic() + time_limit, progress)
    proven: list[str] = []
    try:
        for name in _stages(search):
            proven.append(name)
    except OutOfTimeError:
        if search.best is None:
            raise
    assert search.best is not None
    flows = optimal_flows(problem, search.best)
    figures = objective(problem, search.best, flows)
    status = "optimal" if len(proven) == len(STEPS) else "stopped"
    return Plan(search.best, flows, figures, status, tuple(proven), search.bound, search.nodes)


def _stages(search: Search) -> Iterator[str]:
    """Runs the parts in order, yielding each one's name when it is proven."""
    problem = search.problem
    figures, settled = search.evaluate, search.settled
    small = build(problem, by_district=False)
    settled["worth"] = search.solve_stage("worth", small, small.worth(), lambda p: figures(p).worth)
    yield "worth"
    small.row(small.worth(), low=float(settled["worth"]))
    low: list[float] = []
    for terms, weight in small.costs():

        def digit(placement: Placement, weight: int = weight) -> int:
            whole = figures(placement).cost // weight
            return -(whole % DIGIT if low else whole)

        part = -search.solve_stage("cost", small, terms, digit)
        low.append(-float(part))
        small.row(terms, low=low[-1])
    assert search.best is not None
    settled["cost"] = figures(search.best).cost
    yield "cost"
    large = build(problem, by_district=True)
    large.row(large.worth(), low=float(settled["worth"]))
    for (terms, _), least in zip(large.costs(), low, strict=True):
        large.row(terms, low=least)
    settled["distance"] = -search.solve_stage("distance", large, large.distance(), lambda p: -figures(p).distance)
    yield "distance"
    large.row(large.distance(), low=-float(settled["distance"]))
    kept = sum(pair in (problem.current or ()) for pair in large.placed)
    # The figures count placements in force that are given up; the terms leave that constant out.
    settled["moves"] = kept - search.solve_stage("moves", large, large.moves(), lambda p: kept - figures(p).moves)
    yield "moves"
    large.row(large.moves(), low=float(kept - settled["moves"]))
    pairs = [
        (d, k) for d in sorted(problem.desk) for k in sorted(problem.kind) if problem.allowed(problem.desk[d], k)
    ]
    for start in range(0, len(pairs), CHUNK):
        chunk = pairs[start : start + CHUNK]
        terms = large.order(chunk)
        if len(chunk) < len(pairs):
            search.progress(f"order: {start} of {len(pairs)} placements settled")

        def place(placement: Placement, chunk: Sequence[tuple[str, str]] = chunk) -> int:
            return int("".join(str(int(pair in placement)) for pair in chunk), 2)

        search.solve_stage("order", large, terms, place)
        assert search.best is not None
        for pair in chunk:
            column = large.placed[pair]
            large.low[column] = large.high[column] = float(pair in search.best)
    yield "order"


def cover(program: Program, placement: Placement) -> Row:
    """Not all of these desks at once: together they cost too much, and no cost is below nought."""
    opened = sorted({desk for desk, _ in placement})
    return Row({program.open[name]: 1.0 for name in opened}, -INFINITE, len(opened) - 1.0)


def but(program: Program, placement: Placement) -> Row:
    """Any placement but this one."""
    terms = {column: -1.0 if pair in placement else 1.0 for pair, column in program.placed.items()}
    return Row(terms, 1.0 - len(placement), INFINITE)


def feasible(problem: Problem, without: Sequence[Rule], until: float = INFINITE) -> bool:
    """Is there any plan when some rules are left out? Raises OutOfTimeError when the time runs out first."""
    program = build(problem, by_district=False, without=without)
    for _ in range(CUTS):
        try:
            found = optimise(program, {}, until, None)
        except InfeasibleError:
            return False
        if not found.proven:
            raise OutOfTimeError("feasibility")
        placement = program.placement(found.values)
        if Rule("budget") in without or problem.budget is None or problem.cost(placement) <= problem.budget:
            return True
        program.rows.append(cover(program, placement))
    raise NumericalError("feasibility can't be told exactly")


def conflict(problem: Problem, until: float = INFINITE, progress: Progress = lambda line: None) -> list[Rule]:
    """A smallest-possible set of rules in conflict: leaving out any one of them makes the rest hold together.

    The deletion filter (Chinneck and Dravnieks 1991). Rules are tried from the last, so that the operator's wishes
    (budget, redundancy) stay rather than facts about desks where either would do.
    """
    left_out: list[Rule] = []
    kept: list[Rule] = []
    everything = rules(problem)
    facts = [r for r in everything if r.topic in ("skill", "agents")]
    order = [r for r in everything if r not in facts][::-1] + facts[::-1]
    # In halves first: most rules have no part in it.
    pending = [order]
    while pending:
        group = pending.pop()
        if not feasible(problem, [*left_out, *group], until):
            left_out += group
        elif len(group) == 1:
            kept += group
        else:
            middle = len(group) // 2
            pending += [group[middle:], group[:middle]]
        progress(f"conflict: {len(kept)} rules in it, {len(left_out)} left out of {len(everything)}")
    return sorted(kept, key=everything.index)


def optimise(program: Program, goal: Terms, until: float, start: Placement | None) -> SolverResult:
    """Maximise with HiGHS; one thread and a fixed seed, so that the same program gives the same answer."""
    import highspy
    import numpy

    left = until - time.monotonic()
    if left <= 0:
        raise OutOfTimeError("time")
    solver: Any = highspy._core._Highs()  # the class beneath `Highs`, which writes a banner to standard output
    for option, value in (
        ("output_flag", False),
        ("threads", 1),
        ("random_seed", 0),
        ("mip_rel_gap", 0.0),
        ("mip_abs_gap", 0.5 if goal else 1e-6),
        ("primal_feasibility_tolerance", 1e-9),
        ("mip_feasibility_tolerance", 1e-9),
        ("dual_feasibility_tolerance", 1e-9),
    ):
        solver.setOptionValue(option, value)
    if left < INFINITE:
        solver.setOptionValue("time_limit", left)
    scale = float(max(1, gcd(*(int(abs(v)) for v in goal.values())))) if goal else 1.0
    costs = numpy.zeros(len(program.low))
    for column, value in goal.items():
        costs[column] = -value / scale
    model = highspy.HighsLp()
    model.num_col_, model.num_row_ = len(program.low), len(program.rows)
    model.col_cost_ = costs
    model.col_lower_, model.col_upper_ = numpy.array(program.low), numpy.array(program.high)
    model.integrality_ = [
        highspy.HighsVarType.kInteger if whole else highspy.HighsVarType.kContinuous for whole in program.whole
    ]
    starts, columns, values, low, high = [0], list[int](), list[float](), list[float](), list[float]()
    for row in program.rows:
        # Coefficients without a common factor: tolerances are absolute.
        common = 1
        if row.terms and all(value == int(value) for value in row.terms.values()):
            common = max(1, gcd(*(int(abs(value)) for value in row.terms.values())))
        columns += row.terms.keys()
        values += [value / common for value in row.terms.values()]
        starts.append(len(columns))
        low.append(row.low / common)
        high.append(row.high / common)
    model.row_lower_, model.row_upper_ = numpy.array(low), numpy.array(high)
    model.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
    model.a_matrix_.start_, model.a_matrix_.index_ = numpy.array(starts), numpy.array(columns)
    model.a_matrix_.value_ = numpy.array(values)
    solver.passModel(model)
    if start is not None:
        solution = highspy.HighsSolution()
        solution.col_value = _start(program, start)
        solver.setSolution(solution)
    try:
        solver.run()
    except (RuntimeError, MemoryError) as error:  # whatever the library's own code may throw
        raise PlanningError(f"the solver failed: {error}".replace("\n", " ")) from None
    status, info = solver.getModelStatus(), solver.getInfo()
    known = highspy.HighsModelStatus
    if status in (known.kInfeasible, known.kUnboundedOrInfeasible):
        raise InfeasibleError
    if status not in (known.kOptimal, known.kTimeLimit):
        raise PlanningError(f"the solver ended without an answer: {solver.modelStatusToString(status)}")
    answer = list(solver.getSolution().col_value)
    if info.primal_solution_status != highspy.SolutionStatus.kSolutionStatusFeasible or not answer:
        raise OutOfTimeError("time")
    told = -info.objective_function_value * scale
    value = sum(v * answer[column] for column, v in goal.items())
    if start is not None and abs(value - told) > max(0.5, 1e-9 * abs(told)):
        # HiGHS 1.16 can prove a better value in its presolve and still hand back the columns it was started with.
        return optimise(program, goal, until, None)
    bound = -info.mip_dual_bound if any(program.whole) else -info.objective_function_value
    return SolverResult(answer, value, bound * scale, status == known.kOptimal, max(0, int(info.mip_node_count)))


def _start(program: Program, placement: Placement) -> list[float]:
    """A known placement with its exact flows, as column values for the solver to begin with."""
    done = optimal_flows(program.problem, placement, exact=False)
    values = [0.0] * len(program.low)
    by_district = any(district for _, district, _ in program.routed)
    for pair in placement:
        values[program.placed[pair]] = values[program.open[pair[0]]] = 1.0
    for (kind, district, desk), units in done.routes.items():
        column = program.routed.get((kind, district if by_district else "", desk))
        if column is not None:
            values[column] += units
    for (kind, district, office), (within, beyond) in done.supply.items():
        values[program.supplied[kind, district, office, 0]] = within
        values[program.supplied[kind, district, office, 1]] = beyond
    if program.digits:
        lower = sum(program.problem.desk[name].cost % DIGIT for name in {desk for desk, _ in placement})
        values[program.digits[0]], values[program.digits[1]] = divmod(lower, DIGIT)
    for column, there in program.stands.items():
        values[column] = float(any(values[one] for one in there))
    return values
