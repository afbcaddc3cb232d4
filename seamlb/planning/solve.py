"""Solves a planning problem to proven optimality with HiGHS, lexicographically: one stage of the objective at a time.

The best value of a stage becomes a constraint of the next stages. A floating-point solver may be off by a unit, so
the flows of every placement that it returns are recomputed in integers (`optimal_flows`) and must agree with its
value; a placement that violates a rule exactly is excluded by a cut, and the program is solved again.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from math import gcd
from typing import Any

from seamlb.planning.model import Objective, Placement, Plan, PlanningError, Problem, objective
from seamlb.planning.placement_flows import optimal_flows
from seamlb.planning.program import INFINITE, RADIX, Program, Row, Rule, Terms, build, rules

MAX_CUT_ROUNDS = 200  # maximum rounds of cuts against rounding errors
ORDER_CHUNK = 15  # placements fixed by one solve of the canonical order: weights up to 2^14 are exact
STAGES = ("worth", "cost", "distance", "moves", "order")
Progress = Callable[[str], None]


class InfeasibleError(Exception):
    """No plan exists."""


class OutOfTimeError(Exception):
    """The time limit was reached."""


class NumericalError(PlanningError):
    """The solver's result cannot be made exact."""


@dataclass(slots=True)
class SolverResult:
    """Result of one solver run: column values, objective value, best bound, and whether optimality is proven."""

    values: list[float]
    value: float
    bound: float
    proven: bool
    nodes: int


@dataclass(slots=True)
class Search:
    """State of one pass through the stages of the objective."""

    problem: Problem
    deadline: float  # monotonic clock, s
    progress: Progress
    nodes: int = 0
    best: Placement | None = None
    bound: dict[str, float] = field(default_factory=dict)
    cache: dict[Placement, Objective] = field(default_factory=dict)
    optima: dict[str, int] = field(default_factory=dict)  # optimal values of the stages that are proven

    def evaluate(self, placement: Placement) -> Objective:
        """The exact objective values of a placement."""
        if placement not in self.cache:
            flows = optimal_flows(self.problem, placement, exact=False)
            self.cache[placement] = objective(self.problem, placement, flows)
        return self.cache[placement]

    def cut(self, program: Program, placement: Placement) -> Row | None:
        """A row that excludes a placement if it is feasible only by rounding errors; None if it is truly feasible."""
        exact, optima = self.evaluate(placement), self.optima
        max_cost = min(one for one in (self.problem.budget, optima.get("cost"), 1 << 62) if one is not None)
        if exact.cost > max_cost:
            return cover_cut(program, placement)
        worse = (
            exact.worth < optima.get("worth", 0)
            or exact.moves > optima.get("moves", 1 << 62)
            or exact.distance > optima.get("distance", 1 << 62)
        )
        return exclusion_cut(program, placement) if worse else None

    def solve_stage(self, name: str, program: Program, terms: Terms, exact_value: Callable[[Placement], int]) -> int:
        """The exact optimal value of one stage; placements that are feasible only by rounding errors are cut off."""
        for _ in range(MAX_CUT_ROUNDS):
            try:
                result = optimise(program, terms, self.deadline, self.best)
            except InfeasibleError:
                if self.best is None:
                    raise
                raise NumericalError(f"{name}: the solver reports infeasible, but a plan is known") from None
            self.nodes += result.nodes
            placement = program.placement(result.values)
            if cut := self.cut(program, placement):
                program.rows.append(cut)
                continue
            value = exact_value(placement)
            if result.proven and abs(value - result.value) > max(0.5, 1e-9 * abs(value)):
                raise NumericalError(f"the solver's {name} of {result.value:.3f} is {value} when recomputed")
            self.best = placement
            if not result.proven:
                self.bound[name] = result.bound
                raise OutOfTimeError(name)
            self.progress(f"{name} {abs(value)}: proven, {self.nodes} nodes")
            return value
        raise NumericalError(f"{name}: no exact plan after {MAX_CUT_ROUNDS} rounds of cuts")


def solve(problem: Problem, time_limit: float = INFINITE, progress: Progress = lambda line: None) -> Plan:
    """The optimal plan, or the best one found with status "stopped" if `time_limit` (s) was reached first.

    Raises InfeasibleError, OutOfTimeError (no plan found in time) or PlanningError.
    """
    search = Search(problem, time.monotonic() + time_limit, progress)
    proven: list[str] = []
    try:
        for name in _solve_stages(search):
            proven.append(name)
    except OutOfTimeError:
        if search.best is None:
            raise
    assert search.best is not None
    flows = optimal_flows(problem, search.best)
    objective_values = objective(problem, search.best, flows)
    status = "optimal" if len(proven) == len(STAGES) else "stopped"
    return Plan(search.best, flows, objective_values, status, tuple(proven), search.bound, search.nodes)


def _solve_stages(search: Search) -> Iterator[str]:
    """Solve the stages in order; yields the name of each when it is proven."""
    problem = search.problem
    evaluate, optima = search.evaluate, search.optima
    coarse = build(problem, by_district=False)
    optima["worth"] = search.solve_stage("worth", coarse, coarse.worth(), lambda p: evaluate(p).worth)
    yield "worth"
    coarse.row(coarse.worth(), low=float(optima["worth"]))
    cost_digits: list[float] = []
    for terms, weight in coarse.costs():

        def cost_digit(placement: Placement, weight: int = weight) -> int:
            whole = evaluate(placement).cost // weight
            return -(whole % RADIX if cost_digits else whole)

        minimum = -search.solve_stage("cost", coarse, terms, cost_digit)
        cost_digits.append(-float(minimum))
        coarse.row(terms, low=cost_digits[-1])
    assert search.best is not None
    optima["cost"] = evaluate(search.best).cost
    yield "cost"
    fine = build(problem, by_district=True)
    fine.row(fine.worth(), low=float(optima["worth"]))
    for (terms, _), least in zip(fine.costs(), cost_digits, strict=True):
        fine.row(terms, low=least)
    optima["distance"] = -search.solve_stage("distance", fine, fine.distance(), lambda p: -evaluate(p).distance)
    yield "distance"
    fine.row(fine.distance(), low=-float(optima["distance"]))
    offset = sum(pair in (problem.current or ()) for pair in fine.placed)
    # The value of Program.moves() is `offset` minus the number of moves.
    optima["moves"] = offset - search.solve_stage("moves", fine, fine.moves(), lambda p: offset - evaluate(p).moves)
    yield "moves"
    fine.row(fine.moves(), low=float(offset - optima["moves"]))
    pairs = [
        (d, k) for d in sorted(problem.desk) for k in sorted(problem.kind) if problem.allowed(problem.desk[d], k)
    ]
    for start in range(0, len(pairs), ORDER_CHUNK):
        chunk = pairs[start : start + ORDER_CHUNK]
        terms = fine.order(chunk)
        if len(chunk) < len(pairs):
            search.progress(f"order: {start} of {len(pairs)} placements fixed")

        def placement_bits(placement: Placement, chunk: Sequence[tuple[str, str]] = chunk) -> int:
            return int("".join(str(int(pair in placement)) for pair in chunk), 2)

        search.solve_stage("order", fine, terms, placement_bits)
        assert search.best is not None
        for pair in chunk:
            column = fine.placed[pair]
            fine.low[column] = fine.high[column] = float(pair in search.best)
    yield "order"


def cover_cut(program: Program, placement: Placement) -> Row:
    """Cover cut: not all of these desks may open, as together they cost too much and no cost is negative."""
    open_desks = sorted({desk for desk, _ in placement})
    return Row({program.open[name]: 1.0 for name in open_desks}, -INFINITE, len(open_desks) - 1.0)


def exclusion_cut(program: Program, placement: Placement) -> Row:
    """A cut that excludes exactly this placement."""
    terms = {column: -1.0 if pair in placement else 1.0 for pair, column in program.placed.items()}
    return Row(terms, 1.0 - len(placement), INFINITE)


def feasible(problem: Problem, excluded: Sequence[Rule], deadline: float = INFINITE) -> bool:
    """Whether a plan exists when some rules are left out. Raises OutOfTimeError if the deadline is reached first."""
    program = build(problem, by_district=False, excluded=excluded)
    for _ in range(MAX_CUT_ROUNDS):
        try:
            result = optimise(program, {}, deadline, None)
        except InfeasibleError:
            return False
        if not result.proven:
            raise OutOfTimeError("feasibility")
        placement = program.placement(result.values)
        if Rule("budget") in excluded or problem.budget is None or problem.cost(placement) <= problem.budget:
            return True
        program.rows.append(cover_cut(program, placement))
    raise NumericalError("feasibility cannot be determined exactly")


def conflict(problem: Problem, deadline: float = INFINITE, progress: Progress = lambda line: None) -> list[Rule]:
    """An irreducible set of conflicting rules: leaving out any one of them makes the rest feasible.

    The deletion filter (Chinneck and Dravnieks 1991). Rules are tried for removal from the last to the first, so that
    budget and redundancy remain rather than rules on single desks where either would do; skills and agents come last.
    """
    left_out: list[Rule] = []
    conflicting: list[Rule] = []
    all_rules = rules(problem)
    facts = [r for r in all_rules if r.topic in ("skill", "agents")]
    order = [r for r in all_rules if r not in facts][::-1] + facts[::-1]
    # Whole halves are tried first, as most rules are not part of a conflict.
    groups = [order]
    while groups:
        group = groups.pop()
        if not feasible(problem, [*left_out, *group], deadline):
            left_out += group
        elif len(group) == 1:
            conflicting += group
        else:
            middle = len(group) // 2
            groups += [group[middle:], group[:middle]]
        progress(f"conflict: {len(conflicting)} rules in it, {len(left_out)} left out of {len(all_rules)}")
    return sorted(conflicting, key=all_rules.index)


def optimise(program: Program, terms: Terms, deadline: float, start: Placement | None) -> SolverResult:
    """Maximise with HiGHS; a single thread and a fixed seed make the result reproducible."""
    import highspy
    import numpy

    remaining_s = deadline - time.monotonic()
    if remaining_s <= 0:
        raise OutOfTimeError("time")
    solver: Any = highspy._core._Highs()  # base class of `Highs`, which prints a banner to standard output
    for option, value in (
        ("output_flag", False),
        ("threads", 1),
        ("random_seed", 0),
        ("mip_rel_gap", 0.0),
        ("mip_abs_gap", 0.5 if terms else 1e-6),
        ("primal_feasibility_tolerance", 1e-9),
        ("mip_feasibility_tolerance", 1e-9),
        ("dual_feasibility_tolerance", 1e-9),
    ):
        solver.setOptionValue(option, value)
    if remaining_s < INFINITE:
        solver.setOptionValue("time_limit", remaining_s)
    scale = float(max(1, gcd(*(int(abs(v)) for v in terms.values())))) if terms else 1.0
    costs = numpy.zeros(len(program.low))
    for column, value in terms.items():
        costs[column] = -value / scale
    model = highspy.HighsLp()
    model.num_col_, model.num_row_ = len(program.low), len(program.rows)
    model.col_cost_ = costs
    model.col_lower_, model.col_upper_ = numpy.array(program.low), numpy.array(program.high)
    model.integrality_ = [
        highspy.HighsVarType.kInteger if flag else highspy.HighsVarType.kContinuous for flag in program.integer
    ]
    starts, columns, values, low, high = [0], list[int](), list[float](), list[float](), list[float]()
    for row in program.rows:
        # Divide by the greatest common divisor, as the solver's tolerances are absolute.
        divisor = 1
        if row.terms and all(value == int(value) for value in row.terms.values()):
            divisor = max(1, gcd(*(int(abs(value)) for value in row.terms.values())))
        columns += row.terms.keys()
        values += [value / divisor for value in row.terms.values()]
        starts.append(len(columns))
        low.append(row.low / divisor)
        high.append(row.high / divisor)
    model.row_lower_, model.row_upper_ = numpy.array(low), numpy.array(high)
    model.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
    model.a_matrix_.start_, model.a_matrix_.index_ = numpy.array(starts), numpy.array(columns)
    model.a_matrix_.value_ = numpy.array(values)
    solver.passModel(model)
    if start is not None:
        solution = highspy.HighsSolution()
        solution.col_value = _start_values(program, start)
        solver.setSolution(solution)
    try:
        solver.run()
    except (RuntimeError, MemoryError) as error:  # raised for exceptions of the library's C++ code
        raise PlanningError(f"the solver failed: {error}".replace("\n", " ")) from None
    status, info = solver.getModelStatus(), solver.getInfo()
    codes = highspy.HighsModelStatus
    if status in (codes.kInfeasible, codes.kUnboundedOrInfeasible):
        raise InfeasibleError
    if status not in (codes.kOptimal, codes.kTimeLimit):
        raise PlanningError(f"the solver ended without a result: {solver.modelStatusToString(status)}")
    result = list(solver.getSolution().col_value)
    if info.primal_solution_status != highspy.SolutionStatus.kSolutionStatusFeasible or not result:
        raise OutOfTimeError("time")
    reported = -info.objective_function_value * scale
    value = sum(v * result[column] for column, v in terms.items())
    if start is not None and abs(value - reported) > max(0.5, 1e-9 * abs(reported)):
        # HiGHS 1.16 may prove a better value in presolve but return the column values of the start solution.
        return optimise(program, terms, deadline, None)
    bound = -info.mip_dual_bound if any(program.integer) else -info.objective_function_value
    return SolverResult(result, value, bound * scale, status == codes.kOptimal, max(0, int(info.mip_node_count)))


def _start_values(program: Program, placement: Placement) -> list[float]:
    """Column values of a known placement with its exact flows, as start solution for the solver."""
    flows = optimal_flows(program.problem, placement, exact=False)
    values = [0.0] * len(program.low)
    by_district = any(district for _, district, _ in program.routed)
    for pair in placement:
        values[program.placed[pair]] = values[program.open[pair[0]]] = 1.0
    for (kind, district, desk), units in flows.routes.items():
        column = program.routed.get((kind, district if by_district else "", desk))
        if column is not None:
            values[column] += units
    for (kind, district, office), (within, beyond) in flows.supply.items():
        values[program.supplied[kind, district, office, 0]] = within
        values[program.supplied[kind, district, office, 1]] = beyond
    if program.digits:
        low_digits = sum(program.problem.desk[name].cost % RADIX for name in {desk for desk, _ in placement})
        values[program.digits[0]], values[program.digits[1]] = divmod(low_digits, RADIX)
    for column, placed in program.presence.items():
        values[column] = float(any(values[place] for place in placed))
    return values
