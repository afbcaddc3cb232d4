"""`seamlb plan`: solve, check, explain, diff and show.

Exit codes: 0 proven optimal (for check: all claims hold), 1 a claim does not hold, 2 bad input, 3 no plan exists,
4 stopped before optimality was proven.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from functools import wraps
from typing import Any, NoReturn

import click

from seamlb.planning.check import check as check_plan
from seamlb.planning.files import load_problem
from seamlb.planning.model import Plan, PlanningError
from seamlb.planning.plan_files import plan_text, problem_digest, read_plan_file, save_plan
from seamlb.planning.repair import worth_after_losses
from seamlb.planning.reports import conflict_lines, constraint_slack, plan_difference, plan_report, table

REJECTED, BAD_INPUT, INFEASIBLE, UNPROVEN = 1, 2, 3, 4
FILE = click.Path(dir_okay=False)


def _exit(code: int, *lines: str) -> NoReturn:
    for line in lines:
        click.echo(f"seamlb plan: {line}", err=True)
    sys.exit(code)


def _report_errors(function: Callable[..., None]) -> Callable[..., None]:
    """Report bad input with a one-line message and exit code 2."""

    @wraps(function)
    def wrapper(*args: Any, **kwargs: Any) -> None:
        try:
            function(*args, **kwargs)
        except PlanningError as error:
            _exit(BAD_INPUT, str(error))

    return wrapper


def _progress(line: str) -> None:
    click.echo(f"  {line}", err=True)


@click.group()
def plan() -> None:
    """Capacity plans: which desks open, which classes they handle, where calls go."""


@plan.command()
@click.argument("problem", type=FILE)
@click.option("--out", type=FILE, help="File for the plan; default: standard output.")
@click.option("--current", type=FILE, help="The plan in force, from which moves are counted.")
@click.option(
    "--time-limit",
    type=click.FloatRange(min=0, min_open=True),
    default=float("inf"),
    metavar="SECONDS",
    help="Return the best plan found within this time (exit code 4 unless it is proven optimal).",
)
@click.option("--quiet", is_flag=True, help="No progress on standard error.")
@_report_errors
def solve(problem: str, out: str | None, current: str | None, time_limit: float, quiet: bool) -> None:
    """Solve PROBLEM; the plan is proven optimal, or states which stages are."""
    from seamlb.planning import solve as solver  # imported here: only this command needs the solver library

    progress = (lambda line: None) if quiet else _progress
    loaded_problem, deadline = load_problem(problem, current), time.monotonic() + time_limit
    try:
        plan_found = solver.solve(loaded_problem, time_limit, progress)
    except solver.OutOfTimeError:
        _exit(UNPROVEN, f"{problem}: no plan was found within {time_limit:g} s; one may exist")
    except solver.InfeasibleError:
        try:
            lines = conflict_lines(loaded_problem, solver.conflict(loaded_problem, deadline, progress))
        except solver.OutOfTimeError:
            _exit(INFEASIBLE, f"{problem}: no plan exists; the time limit was reached before the conflict was found")
        _exit(INFEASIBLE, f"{problem}: no plan exists; these rules conflict:", *(f"- {line}" for line in lines))
    if violations := check_plan(loaded_problem, plan_found):
        _exit(BAD_INPUT, f"{problem}: the plan found is rejected by the checker: {violations[0]}")
    if out:
        save_plan(out, loaded_problem, plan_found)
        click.echo("\n".join(plan_report(loaded_problem, plan_found)))
    else:
        click.echo(plan_text(loaded_problem, plan_found), nl=False)
    if plan_found.status != "optimal":
        _exit(UNPROVEN, _gap(plan_found))


def _gap(solved: Plan) -> str:
    gaps = []
    for stage, bound in solved.bound.items():
        if stage != "order":
            value = getattr(solved.objective, stage)
            gap = 100 * abs(abs(bound) - value) / max(1, value)
            gaps.append(f"{stage} {value}, bound {abs(bound):.0f}, gap {gap:.2f}%")
    proven = f"proven: {', '.join(solved.proven) or 'nothing'}"
    return f"stopped before the proof; {proven}; {'; '.join(gaps) or 'the canonical order is not proven'}"


@plan.command()
@click.argument("problem", type=FILE)
@click.argument("path", metavar="PLAN", type=FILE)
@click.option("--current", type=FILE, help="The plan in force when PLAN was made.")
@_report_errors
def check(problem: str, path: str, current: str | None) -> None:
    """Recompute everything that PLAN claims, exactly; exit code 1 and a line for each claim that does not hold."""
    loaded_problem = load_problem(problem, current)
    loaded_plan, plan_table = read_plan_file(path)
    violations = check_plan(loaded_problem, loaded_plan)
    if plan_table.problem != problem_digest(loaded_problem):
        violations.insert(0, "it was made for another problem")
    if violations:
        _exit(REJECTED, *(f"{path}: {line}" for line in violations))
    click.echo(f"{path}: every claim holds ({loaded_plan.status})")


@plan.command("show")
@click.argument("problem", type=FILE)
@click.argument("path", metavar="PLAN", type=FILE)
@_report_errors
def show_plan(problem: str, path: str) -> None:
    """Show PLAN by desk, class and office."""
    loaded_problem = load_problem(problem)
    click.echo("\n".join(plan_report(loaded_problem, read_plan_file(path)[0])))


@plan.command()
@click.argument("problem", type=FILE)
@click.argument("path", metavar="PLAN", type=FILE)
@_report_errors
def explain(problem: str, path: str) -> None:
    """The slack of every constraint, and the worth that remains when any one desk or district is lost."""
    loaded_problem = load_problem(problem)
    loaded_plan = read_plan_file(path)[0]
    rows = [
        (name, used, slack, "binds" if not slack else "")
        for name, used, slack in constraint_slack(loaded_problem, loaded_plan)
    ]
    click.echo("\n".join(table(["constraint", "used", "left", ""], rows)))
    loss_rows = [
        (name, worth, f"{100 * worth / max(1, loaded_plan.objective.worth):.1f}")
        for name, worth in worth_after_losses(loaded_problem, loaded_plan)
    ]
    click.echo("\n" + "\n".join(table(["lost", "worth kept", "%"], loss_rows)))


@plan.command()
@click.argument("problem", type=FILE)
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@_report_errors
def diff(problem: str, old: str, new: str) -> None:
    """The changes from plan OLD to plan NEW."""
    loaded_problem = load_problem(problem)
    lines = plan_difference(loaded_problem, read_plan_file(old)[0], read_plan_file(new)[0])
    click.echo("\n".join(lines or ["no difference"]))
