"""`seamlb plan`: solve, check, explain, diff and show.

Exit codes: 0 proven optimal (or, for check, all claims hold), 1 a claim does not hold, 2 bad input, 3 no plan exists,
4 stopped before the proof.
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
from seamlb.planning.words import conflict_lines, difference, show, slack, table

REJECTED, BAD, INFEASIBLE, UNPROVEN = 1, 2, 3, 4
FILE = click.Path(dir_okay=False)


def _end(code: int, *lines: str) -> NoReturn:
    for line in lines:
        click.echo(f"seamlb plan: {line}", err=True)
    sys.exit(code)


def _guarded(function: Callable[..., None]) -> Callable[..., None]:
    """Bad input is one line and exit code 2."""

    @wraps(function)
    def run(*args: Any, **named: Any) -> None:
        try:
            function(*args, **named)
        except PlanningError as error:
            _end(BAD, str(error))

    return run


def _progress(line: str) -> None:
    click.echo(f"  {line}", err=True)


@click.group()
def plan() -> None:
    """Plans made ahead: which desks open, who is given what, where calls go."""


@plan.command()
@click.argument("problem", type=FILE)
@click.option("--out", type=FILE, help="Where the plan goes; without it, to standard output.")
@click.option("--current", type=FILE, help="The plan in force, from which moves are counted.")
@click.option(
    "--time-limit",
    type=click.FloatRange(min=0, min_open=True),
    default=float("inf"),
    metavar="SECONDS",
    help="Give the best plan found by then (exit code 4 unless it is proven).",
)
@click.option("--quiet", is_flag=True, help="No progress on standard error.")
@_guarded
def solve(problem: str, out: str | None, current: str | None, time_limit: float, quiet: bool) -> None:
    """Solve PROBLEM; the answer is proven, or says how far it is."""
    from seamlb.planning import solve as solver  # the only command that needs the solver's library

    tell = (lambda line: None) if quiet else _progress
    loaded, until = load_problem(problem, current), time.monotonic() + time_limit
    try:
        found = solver.solve(loaded, time_limit, tell)
    except solver.OutOfTimeError:
        _end(UNPROVEN, f"{problem}: no plan was found within {time_limit:g} s; that none exists is not shown")
    except solver.InfeasibleError:
        try:
            lines = conflict_lines(loaded, solver.conflict(loaded, until, tell))
        except solver.OutOfTimeError:
            _end(INFEASIBLE, f"{problem}: no plan exists; the time ran out before the conflict was found")
        _end(INFEASIBLE, f"{problem}: no plan exists; these can't all hold:", *(f"- {line}" for line in lines))
    if wrong := check_plan(loaded, found):
        _end(BAD, f"{problem}: the plan found does not pass the checker: {wrong[0]}")
    if out:
        save_plan(out, loaded, found)
        click.echo("\n".join(show(loaded, found)))
    else:
        click.echo(plan_text(loaded, found), nl=False)
    if found.status != "optimal":
        _end(UNPROVEN, _gap(found))


def _gap(found: Plan) -> str:
    told = []
    for part, bound in found.bound.items():
        if part != "order":
            value = getattr(found.objective, part)
            gap = 100 * abs(abs(bound) - value) / max(1, value)
            told.append(f"{part} {value}, bound {abs(bound):.0f}, gap {gap:.2f}%")
    proven = f"proven: {', '.join(found.proven) or 'nothing'}"
    return f"stopped before the proof; {proven}; {'; '.join(told) or 'the canonical order is open'}"


@plan.command()
@click.argument("problem", type=FILE)
@click.argument("path", metavar="PLAN", type=FILE)
@click.option("--current", type=FILE, help="The plan in force when it was made.")
@_guarded
def check(problem: str, path: str, current: str | None) -> None:
    """Recompute all that PLAN claims, exactly; exit code 1 and a line for each claim that does not hold."""
    loaded = load_problem(problem, current)
    found, made = read_plan_file(path)
    wrong = check_plan(loaded, found)
    if made.problem != problem_digest(loaded):
        wrong.insert(0, "it was made for another problem")
    if wrong:
        _end(REJECTED, *(f"{path}: {line}" for line in wrong))
    click.echo(f"{path}: every claim holds ({found.status})")


@plan.command("show")
@click.argument("problem", type=FILE)
@click.argument("path", metavar="PLAN", type=FILE)
@_guarded
def show_plan(problem: str, path: str) -> None:
    """Show PLAN by desk, class and office."""
    loaded = load_problem(problem)
    click.echo("\n".join(show(loaded, read_plan_file(path)[0])))


@plan.command()
@click.argument("problem", type=FILE)
@click.argument("path", metavar="PLAN", type=FILE)
@_guarded
def explain(problem: str, path: str) -> None:
    """What binds: the slack of every constraint, and what is kept when any one desk or district is lost."""
    loaded = load_problem(problem)
    found = read_plan_file(path)[0]
    rows = [(name, used, left, "binds" if not left else "") for name, used, left in slack(loaded, found)]
    click.echo("\n".join(table(["constraint", "used", "left", ""], rows)))
    lost = [
        (name, worth, f"{100 * worth / max(1, found.objective.worth):.1f}")
        for name, worth in worth_after_losses(loaded, found)
    ]
    click.echo("\n" + "\n".join(table(["lost", "worth kept", "%"], lost)))


@plan.command()
@click.argument("problem", type=FILE)
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@_guarded
def diff(problem: str, old: str, new: str) -> None:
    """What changes from plan OLD to plan NEW."""
    loaded = load_problem(problem)
    lines = difference(loaded, read_plan_file(old)[0], read_plan_file(new)[0])
    click.echo("\n".join(lines or ["no difference"]))
