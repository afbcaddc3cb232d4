"""Experiments: runs every combination of seeds, policies and scenarios in parallel processes."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Literal

import msgspec

from seamlb.emulator.policies import POLICY_NAMES, RULES_SUFFIX, make_policy
from seamlb.emulator.run import emulate
from seamlb.emulator.scenario import DeskFault, Policy, Result, Scenario
from seamlb.planning.files import load_problem
from seamlb.planning.model import Plan, PlanningError, Problem
from seamlb.planning.plan_files import read_plan_file
from seamlb.plugins.syntax import RuleError
from seamlb.plugins.type_checker import compile_rules

FIGURES = ("worth", "worst_class", "worst_office", "cost", "attempts_per_call", "fallen", "late", "broken")
Row = dict[str, str]


class FaultTable(msgspec.Struct, forbid_unknown_fields=True):
    """One fault of a desk in an experiment file (`[[scenario.trouble]]`); `factor`: times slower."""

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
    states: dict[str, list[str]] = {}  # the rules' states that are on: their subjects by name
    trouble: list[FaultTable] = []


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """An experiment file; its paths are relative to the file."""

    problem: str
    scenario: list[ScenarioTable]
    plan: str = ""  # plan file; empty: solve the problem
    policies: list[str] = msgspec.field(default_factory=lambda: list(POLICY_NAMES))
    seeds: int = 20
    rules: str = ""  # rule file for policies that end with +rules
    first_seed: int = 1
    seconds: float = 60.0


def read(path: Path) -> tuple[Experiment, Problem, Plan]:
    """Read an experiment with its problem and plan; PlanningError says what is invalid."""
    try:
        experiment = msgspec.convert(tomllib.loads(path.read_text()), Experiment)
        if unknown := sorted({item.removesuffix(RULES_SUFFIX) for item in experiment.policies} - set(POLICY_NAMES)):
            raise ValueError(f"policies: unknown policy {unknown[0]!r}; known policies: {', '.join(POLICY_NAMES)}")
        if (
            experiment.seeds < 1
            or not 0 < experiment.seconds <= 3600
            or not experiment.scenario
            or not experiment.policies
        ):
            raise ValueError("seeds must be 1 or more, seconds in (0, 3600], policies and scenarios not empty")
    except OSError as error:
        raise PlanningError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise PlanningError(f"{path}: {error}".replace("\n", " ")) from None
    problem = load_problem(path.parent / experiment.problem)
    for entry in experiment.scenario:
        unknown_names = [item.desk for item in entry.trouble if item.desk not in problem.desk]
        unknown_names += [n for n in entry.offices if n not in {o.name for o in problem.offices}]
        unknown_names += [n for n in entry.districts if n not in problem.districts]
        if unknown_names:
            raise PlanningError(
                f"{path}: scenario {entry.name}: unknown desk, office or district {unknown_names[0]!r}"
            )
    if experiment.plan:
        plan = read_plan_file(path.parent / experiment.plan)[0]
    else:
        from seamlb.planning.solve import InfeasibleError, solve

        try:
            plan = solve(problem)
        except InfeasibleError:
            raise PlanningError(f"{path}: {experiment.problem} has no plan") from None
    return experiment, problem, plan


def read_rules(path: Path, experiment: Experiment) -> str:
    """Read and check an experiment's rules; PlanningError if they are invalid."""
    if not experiment.rules:
        if any(policy_name.endswith(RULES_SUFFIX) for policy_name in experiment.policies):
            raise PlanningError(f"{path}: rules: missing, but a policy ends with {RULES_SUFFIX}")
        return ""
    file = path.parent / experiment.rules
    try:
        text = file.read_text()
        known = compile_rules(text, str(file)).declarations
    except OSError as error:
        raise PlanningError(f"{file}: {error.strerror}") from None
    except RuleError as error:
        raise PlanningError(str(error)) from None
    undeclared = [
        name
        for entry in experiment.scenario
        for name in entry.states
        if name not in known or known[name].kind != "state"
    ]
    if undeclared:
        raise PlanningError(f"{path}: states: {file.name} has no state {undeclared[0]!r}")
    return text


def build_scenario(entry: ScenarioTable) -> Scenario:
    """Convert a `[[scenario]]` table of an experiment file."""
    faults = tuple(DeskFault(fault.at_s, fault.desk, fault.what, fault.factor) for fault in entry.trouble)
    states = tuple((name, subject) for name, subjects in entry.states.items() for subject in subjects)
    return Scenario(entry.name, entry.load, entry.offices, entry.districts, faults, entry.list_lag_s, states)


def row(scenario_name: str, name: str, seed: int, result: Result) -> Row:
    """The result of one run as a row of results.csv."""
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
    return {"scenario": scenario_name, "policy": name, "seed": str(seed)} | {
        key: f"{value:.6f}" if isinstance(value, float) else str(value) for key, value in figures.items()
    }


def play(
    experiment: Experiment,
    problem: Problem,
    plan: Plan,
    progress: Callable[[int, int], None],
    processes: int | None = None,
    rules: str = "",
) -> list[Row]:
    """Run all jobs; the order of the rows does not depend on which process finishes first."""
    jobs: list[tuple[Scenario, Policy, int]] = [
        (build_scenario(run_scenario), make_policy(name, problem, plan, rules), seed)
        for run_scenario in experiment.scenario
        for name in experiment.policies
        for seed in range(experiment.first_seed, experiment.first_seed + experiment.seeds)
    ]
    rows: dict[int, Row] = {}
    with ProcessPoolExecutor(processes) as pool:
        futures = {
            pool.submit(emulate, problem, run_policy, run_scenario, seed, experiment.seconds): index
            for index, (run_scenario, run_policy, seed) in enumerate(jobs)
        }
        for done in as_completed(futures):
            run_scenario, run_policy, seed = jobs[futures[done]]
            rows[futures[done]] = row(run_scenario.name, run_policy.name, seed, done.result())
            progress(len(rows), len(jobs))
    return [rows[index] for index in range(len(jobs))]
