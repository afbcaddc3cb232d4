"""Experiments: seeds by policies by scenarios in parallel processes, kept as tables and charts."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Literal

import msgspec

from seamlb.emulator.policies import NAMES, WITH, policy
from seamlb.emulator.run import emulate
from seamlb.emulator.scenario import Policy, Result, Scenario, Trouble
from seamlb.planning.files import load_problem
from seamlb.planning.model import Plan, PlanningError, Problem
from seamlb.planning.plan_files import read_plan_file
from seamlb.plugins.checking import compile_rules
from seamlb.plugins.syntax import RuleError

FIGURES = ("worth", "worst_class", "worst_office", "cost", "attempts_per_call", "fallen", "late", "broken")
Row = dict[str, str]


class TroubleTable(msgspec.Struct, forbid_unknown_fields=True):
    """One trouble of a desk, as a scenario file gives it."""

    at_s: float
    desk: str
    what: Literal["crash", "return", "hang", "wake", "slow", "drain"]
    factor: float = 1.0


class ScenarioTable(msgspec.Struct, forbid_unknown_fields=True):
    """One `[[scenario]]` of an experiment file."""

    name: str
    load: float = 1.0
    offices: dict[str, float] = {}
    districts: dict[str, float] = {}
    list_lag_s: float = 2.0
    states: dict[str, list[str]] = {}  # of the rules: by what each is declared
    trouble: list[TroubleTable] = []


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """An experiment's file; paths are relative to it."""

    problem: str
    scenario: list[ScenarioTable]
    plan: str = ""  # without one the problem is solved
    policies: list[str] = msgspec.field(default_factory=lambda: list(NAMES))
    seeds: int = 20
    rules: str = ""  # a rule file, for policies that end with +rules
    first_seed: int = 1
    seconds: float = 60.0


def read(path: Path) -> tuple[Experiment, Problem, Plan]:
    """An experiment with its problem and plan; PlanningError names what is wrong."""
    try:
        told = msgspec.convert(tomllib.loads(path.read_text()), Experiment)
        if unknown := sorted({one.removesuffix(WITH) for one in told.policies} - set(NAMES)):
            raise ValueError(f"policies: unknown policy {unknown[0]!r}; there are {', '.join(NAMES)}")
        if told.seeds < 1 or not 0 < told.seconds <= 3600 or not told.scenario or not told.policies:
            raise ValueError("seeds, seconds (3600 at most), policies and scenarios are needed")
    except OSError as error:
        raise PlanningError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise PlanningError(f"{path}: {error}".replace("\n", " ")) from None
    problem = load_problem(path.parent / told.problem)
    for day in told.scenario:
        strange = [one.desk for one in day.trouble if one.desk not in problem.desk]
        strange += [n for n in day.offices if n not in {o.name for o in problem.offices}]
        strange += [n for n in day.districts if n not in problem.districts]
        if strange:
            raise PlanningError(f"{path}: scenario {day.name}: unknown desk, office or district {strange[0]!r}")
    if told.plan:
        plan = read_plan_file(path.parent / told.plan)[0]
    else:
        from seamlb.planning.solve import InfeasibleError, solve

        try:
            plan = solve(problem)
        except InfeasibleError:
            raise PlanningError(f"{path}: {told.problem} has no plan") from None
    return told, problem, plan


def read_rules(path: Path, told: Experiment) -> str:
    """The rules of an experiment, checked; PlanningError if they can't be used."""
    if not told.rules:
        if any(one.endswith(WITH) for one in told.policies):
            raise PlanningError(f"{path}: rules: missing, and a policy ends with {WITH}")
        return ""
    file = path.parent / told.rules
    try:
        text = file.read_text()
        known = compile_rules(text, str(file)).declarations
    except OSError as error:
        raise PlanningError(f"{file}: {error.strerror}") from None
    except RuleError as error:
        raise PlanningError(str(error)) from None
    strange = [
        name for day in told.scenario for name in day.states if name not in known or known[name].kind != "state"
    ]
    if strange:
        raise PlanningError(f"{path}: states: {file.name} has no state {strange[0]!r}")
    return text


def scenario(day: ScenarioTable) -> Scenario:
    """The scenario that a table of an experiment file describes."""
    troubles = tuple(Trouble(one.at_s, one.desk, one.what, one.factor) for one in day.trouble)
    states = tuple((name, of) for name, all_of in day.states.items() for of in all_of)
    return Scenario(day.name, day.load, day.offices, day.districts, troubles, day.list_lag_s, states)


def row(day: str, name: str, seed: int, result: Result) -> Row:
    """One run as a row of the table of results."""
    figures = {
        "worth": result.worth,
        "worst_class": result.worst_class,
        "worst_office": result.worst_office,
        "cost": result.cost,
        "attempts_per_call": result.attempts / max(1, result.calls),
        "fallen": result.fallen,
        "late": result.late,
        "broken": len(result.broken),
    } | {f"worth {name}": value for name, value in sorted({**result.by_class, **result.by_office}.items())}
    return {"scenario": day, "policy": name, "seed": str(seed)} | {
        key: f"{value:.6f}" if isinstance(value, float) else str(value) for key, value in figures.items()
    }


def play(
    told: Experiment,
    problem: Problem,
    plan: Plan,
    progress: Callable[[int, int], None],
    processes: int | None = None,
    rules: str = "",
) -> list[Row]:
    """All runs; the rows' order does not depend on which process was done first."""
    jobs: list[tuple[Scenario, Policy, int]] = [
        (scenario(day), policy(name, problem, plan, rules), seed)
        for day in told.scenario
        for name in told.policies
        for seed in range(told.first_seed, told.first_seed + told.seeds)
    ]
    rows: dict[int, Row] = {}
    with ProcessPoolExecutor(processes) as pool:
        running = {
            pool.submit(emulate, problem, how, day, seed, told.seconds): place
            for place, (day, how, seed) in enumerate(jobs)
        }
        for done in as_completed(running):
            day, how, seed = jobs[running[done]]
            rows[running[done]] = row(day.name, how.name, seed, done.result())
            progress(len(rows), len(jobs))
    return [rows[place] for place in range(len(jobs))]
