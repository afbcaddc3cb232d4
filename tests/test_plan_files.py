"""Problems and plans in files, and the command line."""

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


def test_a_plan_made_by_hand_does_not_pass() -> None:
    made = problem(desk("x"), desk("y"), load=5)
    plan = solve(made)
    assert check(made, plan) == []
    worse = [
        replace(plan, placement=frozenset()),
        replace(plan, objective=replace(plan.objective, worth=plan.objective.worth + 1)),
        replace(plan, objective=replace(plan.objective, cost=0)),
        replace(plan, objective=replace(plan.objective, distance=1)),
        replace(plan, objective=replace(plan.objective, moves=0)),
        replace(plan, placement=plan.placement | {("nobody", "a")}),
        replace(plan, flows=replace(plan.flows, routes={spot: n + 1 for spot, n in plan.flows.routes.items()})),
        replace(plan, flows=replace(plan.flows, supply=dict.fromkeys(plan.flows.supply, (9, -4)))),
        replace(plan, flows=replace(plan.flows, supply=dict.fromkeys(plan.flows.supply, (0, 5)))),
    ]
    for one in worse:
        assert check(made, one), one
    # A unit too much at one desk, all sums agreeing: only the grade of service tells.
    room = made.class_capacities["x", "a"]
    crowded = problem(desk("x"), load=room + 1)
    full = solve(crowded)
    moved = replace(
        full,
        flows=replace(full.flows, supply={("a", "d0", "o"): (room + 1, 0)}, routes={("a", "d0", "x"): room + 1}),
        objective=replace(full.objective, worth=200 * (room + 1)),
    )
    assert any("grade of service" in line for line in check(crowded, moved))


def test_same_bytes_from_another_order_of_the_file() -> None:
    made = random_problem(4)
    turned = replace(
        made,
        desks=made.desks[::-1],
        kinds=made.kinds[::-1],
        offices=made.offices[::-1],
        districts=made.districts[::-1],
        demand=dict(reversed(list(made.demand.items()))),
    )
    assert plan_text(made, solve(made)) == plan_text(turned, solve(turned))


def run(*args: object) -> Result:
    return CliRunner().invoke(main, ["plan", *map(str, args)])


def test_solve_check_show_explain_and_diff(tmp_path: Path) -> None:
    flood, out = ROOT / "examples/plan/flood.toml", tmp_path / "plan.toml"
    done = run("solve", flood, "--out", out, "--quiet")
    assert done.exit_code == 0 and "optimal" in done.stdout
    again = load_plan(out)
    assert plan_text(load_problem(flood), again) == out.read_text()
    assert run("check", flood, out).exit_code == 0
    assert "gyor-2" in run("show", flood, out).stdout
    told = run("explain", flood, out).stdout
    assert "binds" in told and "district szeged" in told
    assert run("diff", flood, out, out).stdout == "no difference\n"
    quick = run("solve", flood, "--current", out, "--quiet")
    assert quick.exit_code == 0 and "moves = 0" in quick.stdout


def test_nothing_but_the_plan_on_standard_output() -> None:
    """The solver's library greets on standard output, beneath Python's own."""
    small = ROOT / "examples/plan/small.toml"
    done = subprocess.run(
        [sys.executable, "-m", "seamlb", "plan", "solve", small, "--quiet"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=True,
    )
    assert done.stdout == plan_text(load_problem(small), solve(load_problem(small))) and done.stderr == ""


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


def test_infeasible_and_stopped_have_codes_of_their_own(tmp_path: Path) -> None:
    none = run("solve", ROOT / "examples/plan/infeasible.toml", "--quiet")
    assert none.exit_code == 3 and "alert-confirm needs 2 districts; only szeged may have it" in none.stderr
    stopped = run("solve", ROOT / "examples/plan/flood.toml", "--time-limit", "1e-9", "--quiet")
    assert stopped.exit_code == 4 and stopped.stdout == "" and "no plan was found" in stopped.stderr


def test_stopped_with_a_plan_is_never_called_optimal(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The time runs out in the third part: the plan has the first two parts' best values."""
    real, calls = solver.optimise, []

    def slow(*args: Any) -> solver.SolverResult:
        calls.append(1)
        found = real(*args)
        return found if len(calls) < 3 else replace(found, proven=False, bound=found.bound + 100.0)

    monkeypatch.setattr(solver, "optimise", slow)
    out = tmp_path / "plan.toml"
    done = run("solve", ROOT / "examples/plan/flood.toml", "--out", out, "--quiet")
    assert done.exit_code == 4 and "optimal" not in done.stdout and 'status = "stopped"' in out.read_text()
    assert "proven: worth, cost" in done.stderr and "gap" in done.stderr
    monkeypatch.undo()
    best_plan = solve(load_problem(ROOT / "examples/plan/flood.toml"))
    assert load_plan(out).objective.key()[:2] == best_plan.objective.key()[:2]
    assert run("check", ROOT / "examples/plan/flood.toml", out).exit_code == 0


@pytest.mark.parametrize(("status", "told"), [("kUnbounded", "Unbounded"), ("kSolveError", "error")])
def test_a_solver_that_fails_is_one_line(monkeypatch: pytest.MonkeyPatch, status: str, told: str) -> None:
    class Failing(highspy._core._Highs):
        def getModelStatus(self) -> object:  # noqa: N802
            return getattr(highspy.HighsModelStatus, status)

    monkeypatch.setattr(highspy._core, "_Highs", Failing)
    done = run("solve", ROOT / "examples/plan/small.toml", "--quiet")
    assert done.exit_code == 2 and done.stderr.count("\n") == 1 and told in done.stderr


def test_a_solver_that_throws_is_one_line(monkeypatch: pytest.MonkeyPatch) -> None:
    class Throwing(highspy._core._Highs):
        def run(self) -> object:
            raise RuntimeError("bad\nalloc")

    monkeypatch.setattr(highspy._core, "_Highs", Throwing)
    done = run("solve", ROOT / "examples/plan/small.toml", "--quiet")
    assert done.exit_code == 2 and done.stderr.count("\n") == 1 and "bad alloc" in done.stderr


def test_an_answer_that_is_not_exact_does_not_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    real = solver.optimise
    monkeypatch.setattr(solver, "optimise", lambda *args: (lambda f: replace(f, value=f.value + 3.0))(real(*args)))
    done = run("solve", ROOT / "examples/plan/small.toml", "--quiet")
    assert done.exit_code == 2 and done.stdout == "" and "recomputed" in done.stderr


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
def test_a_bad_problem_is_one_line(tmp_path: Path, old: str, new: str, reason: str) -> None:
    path = tmp_path / "bad.toml"
    text = (ROOT / "examples/plan/small.toml").read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))
    done = run("solve", path, "--quiet")
    assert done.exit_code == 2 and done.stdout == ""
    assert done.stderr.count("\n") == 1 and str(path) in done.stderr and reason in done.stderr


def test_files_that_can_not_be_used(tmp_path: Path) -> None:
    assert run("solve", tmp_path / "none.toml").exit_code == 2
    (tmp_path / "not-text.toml").write_bytes(b"\xff\xfe\x00")
    assert run("solve", tmp_path / "not-text.toml").exit_code == 2
    small = ROOT / "examples/plan/small.toml"
    nowhere = run("solve", small, "--out", tmp_path / "none" / "plan.toml", "--quiet")
    assert nowhere.exit_code == 2 and nowhere.stderr.count("\n") == 1


def test_a_plan_is_written_whole_or_not_at_all(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    made = load_problem(ROOT / "examples/plan/small.toml")
    path = tmp_path / "plan.toml"
    path.write_text("the plan in force")

    def full(fd: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(PlanningError, match="No space"):
        save_plan(path, made, solve(made))
    assert path.read_text() == "the plan in force" and list(tmp_path.iterdir()) == [path]
