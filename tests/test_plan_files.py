"""Problem files, plan files, and the `seamlb plan` commands."""

import os
import re
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import highspy
import pytest
from click.testing import CliRunner, Result

from seamlb.cli import main
from seamlb.planning import solve as solver
from seamlb.planning.check import check
from seamlb.planning.files import load_problem
from seamlb.planning.model import PlanningError
from seamlb.planning.plan_files import load_plan, plan_text, save_plan
from seamlb.planning.solve import solve
from tests.exhaustive import random_problem
from tests.problems import ROOT, desk, problem


def test_the_checker_rejects_altered_plans() -> None:
    original = problem(desk("x"), desk("y"), load=5)
    plan = solve(original)
    assert check(original, plan) == []
    altered = [
        replace(plan, placement=frozenset()),
        replace(plan, objective=replace(plan.objective, worth=plan.objective.worth + 1)),
        replace(plan, objective=replace(plan.objective, cost=0)),
        replace(plan, objective=replace(plan.objective, distance=1)),
        replace(plan, objective=replace(plan.objective, moves=0)),
        replace(plan, placement=plan.placement | {("nobody", "a")}),
        replace(plan, flows=replace(plan.flows, routes={route: n + 1 for route, n in plan.flows.routes.items()})),
        replace(plan, flows=replace(plan.flows, supply=dict.fromkeys(plan.flows.supply, (9, -4)))),
        replace(plan, flows=replace(plan.flows, supply=dict.fromkeys(plan.flows.supply, (0, 5)))),
    ]
    for altered_plan in altered:
        assert check(original, altered_plan), altered_plan
    # One unit above the capacity of a desk, with consistent sums: only the grade of service reveals it.
    capacity = original.class_capacities["x", "a"]
    overloaded = problem(desk("x"), load=capacity + 1)
    full = solve(overloaded)
    moved = replace(
        full,
        flows=replace(
            full.flows, supply={("a", "d0", "o"): (capacity + 1, 0)}, routes={("a", "d0", "x"): capacity + 1}
        ),
        objective=replace(full.objective, worth=200 * (capacity + 1)),
    )
    assert any("grade of service" in line for line in check(overloaded, moved))


def test_plan_text_is_independent_of_the_order_of_the_problem() -> None:
    original = random_problem(4)
    reversed_problem = replace(
        original,
        desks=original.desks[::-1],
        kinds=original.kinds[::-1],
        offices=original.offices[::-1],
        districts=original.districts[::-1],
        demand=dict(reversed(list(original.demand.items()))),
    )
    assert plan_text(original, solve(original)) == plan_text(reversed_problem, solve(reversed_problem))


def run(*args: object) -> Result:
    return CliRunner().invoke(main, ["plan", *map(str, args)])


def test_solve_check_show_explain_and_diff(tmp_path: Path) -> None:
    flood, out = ROOT / "examples/plan/flood.toml", tmp_path / "plan.toml"
    solved = run("solve", flood, "--out", out, "--quiet")
    assert solved.exit_code == 0 and "optimal" in solved.stdout
    loaded = load_plan(out)
    assert plan_text(load_problem(flood), loaded) == out.read_text()
    assert run("check", flood, out).exit_code == 0
    assert "gyor-2" in run("show", flood, out).stdout
    explained = run("explain", flood, out).stdout
    assert "binds" in explained and "district szeged" in explained
    assert run("diff", flood, out, out).stdout == "no difference\n"
    unchanged = run("solve", flood, "--current", out, "--quiet")
    assert unchanged.exit_code == 0 and "moves = 0" in unchanged.stdout


def test_only_the_plan_is_written_to_standard_output() -> None:
    """The solver library prints a banner to the standard output of the process, bypassing Python's `sys.stdout`."""
    small = ROOT / "examples/plan/small.toml"
    process = subprocess.run(
        [sys.executable, "-m", "seamlb", "plan", "solve", small, "--quiet"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=True,
    )
    assert process.stdout == plan_text(load_problem(small), solve(load_problem(small))) and process.stderr == ""


def test_a_plan_edited_by_hand_is_rejected(tmp_path: Path) -> None:
    small, out = ROOT / "examples/plan/small.toml", tmp_path / "plan.toml"
    assert run("solve", small, "--out", out, "--quiet").exit_code == 0
    text = out.read_text()
    out.write_text(re.sub(r"units = (\d+)", lambda m: f"units = {int(m[1]) + 1}", text, count=1))
    rejected = run("check", small, out)
    assert rejected.exit_code == 1 and "arrive at desks" in rejected.stderr
    out.write_text(text)
    other = tmp_path / "other.toml"
    other.write_text(small.read_text().replace("agents = 12", "agents = 13"))
    assert "another problem" in run("check", other, out).stderr


def test_infeasible_and_stopped_have_separate_exit_codes(tmp_path: Path) -> None:
    none = run("solve", ROOT / "examples/plan/infeasible.toml", "--quiet")
    assert none.exit_code == 3 and "alert-confirm needs 2 districts; only szeged may have it" in none.stderr
    stopped = run("solve", ROOT / "examples/plan/flood.toml", "--time-limit", "1e-9", "--quiet")
    assert stopped.exit_code == 4 and stopped.stdout == "" and "no plan was found" in stopped.stderr


def test_a_plan_that_is_not_proven_is_not_reported_as_optimal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The time limit is reached in the third stage: the plan has the optimal values of the first two."""
    original, calls = solver.optimise, []

    def stop_in_third_stage(*args: Any) -> solver.SolverResult:
        calls.append(1)
        result = original(*args)
        return result if len(calls) < 3 else replace(result, proven=False, bound=result.bound + 100.0)

    monkeypatch.setattr(solver, "optimise", stop_in_third_stage)
    out = tmp_path / "plan.toml"
    stopped = run("solve", ROOT / "examples/plan/flood.toml", "--out", out, "--quiet")
    assert stopped.exit_code == 4 and "optimal" not in stopped.stdout and 'status = "stopped"' in out.read_text()
    assert "proven: worth, cost" in stopped.stderr and "gap" in stopped.stderr
    monkeypatch.undo()
    best_plan = solve(load_problem(ROOT / "examples/plan/flood.toml"))
    assert load_plan(out).objective.key()[:2] == best_plan.objective.key()[:2]
    assert run("check", ROOT / "examples/plan/flood.toml", out).exit_code == 0


@pytest.mark.parametrize(("status", "reason"), [("kUnbounded", "Unbounded"), ("kSolveError", "error")])
def test_a_solver_failure_is_reported_in_one_line(monkeypatch: pytest.MonkeyPatch, status: str, reason: str) -> None:
    class Failing(highspy._core._Highs):
        def getModelStatus(self) -> object:  # noqa: N802
            return getattr(highspy.HighsModelStatus, status)

    monkeypatch.setattr(highspy._core, "_Highs", Failing)
    failed = run("solve", ROOT / "examples/plan/small.toml", "--quiet")
    assert failed.exit_code == 2 and failed.stderr.count("\n") == 1 and reason in failed.stderr


def test_a_solver_exception_is_reported_in_one_line(monkeypatch: pytest.MonkeyPatch) -> None:
    class Throwing(highspy._core._Highs):
        def run(self) -> object:
            raise RuntimeError("bad\nalloc")

    monkeypatch.setattr(highspy._core, "_Highs", Throwing)
    failed = run("solve", ROOT / "examples/plan/small.toml", "--quiet")
    assert failed.exit_code == 2 and failed.stderr.count("\n") == 1 and "bad alloc" in failed.stderr


def test_an_inexact_solver_result_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    original = solver.optimise
    monkeypatch.setattr(
        solver, "optimise", lambda *args: (lambda f: replace(f, value=f.value + 3.0))(original(*args))
    )
    rejected = run("solve", ROOT / "examples/plan/small.toml", "--quiet")
    assert rejected.exit_code == 2 and rejected.stdout == "" and "recomputed" in rejected.stderr


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        ('name = "szeged"', 'nome = "szeged"', "nome"),
        ("worth = 1", "worth = -1", "worth"),
        ("worth = 1", "worth = 1.5", "worth"),
        ("erlangs = 7.0", "erlangs = nan", "demand[0].erlangs"),
        ("erlangs = 7.0", "erlangs = inf", "demand[0].erlangs"),
        ("erlangs = 7.0", "erlangs = 7.0\ncalls_per_s = 1.0", "either"),
        ("agents = 8", "agents = -8", "agents"),
        ("fixed_cost = 500", "fixed_cost = 2000000000", "fixed_cost"),
        ('name = "szeged-1"', 'name = "debrecen-1"', "twice"),
        ('name = "debrecen"\n', 'name = "szeged"\n', "unknown district"),
        ("share = 1.0", "share = 1.1", "share"),
        ('skills = ["alert-confirm", "level-check"]', 'skills = ["alarm"]', "unknown class"),
        ("debrecen = 18.0", "debrecen = 18.0, gyor = 2.0", "unknown district"),
        ("{ debrecen = 18.0 }", "{}", "missing"),
        ("[[office]]", "[[office", ""),
        ("target = 0.10", "target = 1.0", "target"),
    ],
)
def test_an_invalid_problem_is_reported_in_one_line(tmp_path: Path, old: str, new: str, reason: str) -> None:
    path = tmp_path / "bad.toml"
    text = (ROOT / "examples/plan/small.toml").read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))
    rejected = run("solve", path, "--quiet")
    assert rejected.exit_code == 2 and rejected.stdout == ""
    assert rejected.stderr.count("\n") == 1 and str(path) in rejected.stderr and reason in rejected.stderr


def test_unusable_files_are_reported(tmp_path: Path) -> None:
    assert run("solve", tmp_path / "none.toml").exit_code == 2
    (tmp_path / "not-text.toml").write_bytes(b"\xff\xfe\x00")
    assert run("solve", tmp_path / "not-text.toml").exit_code == 2
    small = ROOT / "examples/plan/small.toml"
    nowhere = run("solve", small, "--out", tmp_path / "none" / "plan.toml", "--quiet")
    assert nowhere.exit_code == 2 and nowhere.stderr.count("\n") == 1


def test_a_failed_write_leaves_the_old_plan(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    problem = load_problem(ROOT / "examples/plan/small.toml")
    path = tmp_path / "plan.toml"
    path.write_text("the plan in force")

    def disk_full(fd: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", disk_full)
    with pytest.raises(PlanningError, match="No space"):
        save_plan(path, problem, solve(problem))
    assert path.read_text() == "the plan in force" and list(tmp_path.iterdir()) == [path]
