"""Experiments: seeds by policies by scenarios in parallel processes, kept as tables and charts."""

from __future__ import annotations

import csv
import math
import statistics
import tomllib
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Literal

import msgspec

from seamlb import __version__
from seamlb.emulator.policies import NAMES, WITH, policy
from seamlb.emulator.run import Policy, Result, Scenario, Trouble, emulate
from seamlb.planning.files import load_problem, plan_of
from seamlb.planning.model import Plan, PlanningError, Problem
from seamlb.planning.words import table
from seamlb.plugins.checking import compile_text
from seamlb.plugins.language import RuleError

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
        plan = plan_of(path.parent / told.plan)[0]
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
        known = compile_text(text, str(file)).declared
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


# -- results ---------------------------------------------------------------------------------------


def save(folder: Path, rows: Sequence[Row], command: str, told: Experiment) -> None:
    """results.csv, results.md and results.svg, each with what made it."""
    folder.mkdir(parents=True, exist_ok=True)
    made = (
        f"seamlb {__version__}: `{command}`, seeds {told.first_seed} to {told.first_seed + told.seeds - 1}, "
        f"{told.seconds:g} s a run"
    )
    with (folder / "results.csv").open("w", newline="") as file:
        file.write(f"# {made}\n")
        writer = csv.DictWriter(file, rows[0].keys(), lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)
    lines = [made + ". Means over the seeds.", ""]
    head = ["scenario", "policy", *FIGURES]
    lines += ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    for (day, name), means in summary(rows).items():
        lines.append("| " + " | ".join([day, name, *(f"{means[key]:.4g}" for key in FIGURES)]) + " |")
    (folder / "results.md").write_text("\n".join(lines) + "\n")
    chart(folder / "results.svg", rows, made)


def summary(rows: Iterable[Row]) -> dict[tuple[str, str], dict[str, float]]:
    """Means by scenario and policy."""
    groups: dict[tuple[str, str], list[Row]] = defaultdict(list)
    for one in rows:
        groups[one["scenario"], one["policy"]].append(one)
    return {
        pair: {key: statistics.fmean(float(one[key]) for one in group) for key in FIGURES}
        for pair, group in groups.items()
    }


def chart(path: Path, rows: Sequence[Row], made: str) -> None:
    """Mean worth, worst class and worst office by scenario and policy, with 95% intervals of the mean."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "seamlb"  # the same rows give the same bytes
    from matplotlib import pyplot

    days, names = (list(dict.fromkeys(one[key] for one in rows)) for key in ("scenario", "policy"))
    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4), sharey=True)
    for axis, key in zip(axes, ("worth", "worst_class", "worst_office"), strict=True):
        for place, name in enumerate(names):
            groups = [[float(r[key]) for r in rows if (r["scenario"], r["policy"]) == (day, name)] for day in days]
            at = [x + (place - (len(names) - 1) / 2) * 0.8 / len(names) for x in range(len(days))]
            axis.bar(
                at,
                [statistics.fmean(g) for g in groups],
                0.8 / len(names),
                label=name,
                yerr=[half_width(g) for g in groups],
                error_kw={"linewidth": 0.8},
            )
        axis.set_xticks(range(len(days)), days, rotation=20, ha="right")
        axis.set_title(key.replace("_", " "))
    low = min(float(r[key]) for r in rows for key in ("worth", "worst_class", "worst_office"))
    axes[0].set_ylim(max(0.0, low - 0.05), 1.0)
    axes[0].legend(fontsize=8)
    figure.text(0.01, 0.005, made, fontsize=6)
    figure.tight_layout(rect=(0, 0.03, 1, 1))
    figure.savefig(path, metadata={"Date": None, "Creator": None})
    pyplot.close(figure)


def load(path: Path) -> list[Row]:
    """Read a table of results; PlanningError says what is wrong with it."""
    try:
        lines = [line for line in path.read_text().splitlines() if not line.startswith("#")]
    except OSError as error:
        raise PlanningError(f"{path}: {error.strerror}") from None
    rows = list(csv.DictReader(lines))
    if not rows or not {"scenario", "policy", "seed", *FIGURES} <= rows[0].keys():
        raise PlanningError(f"{path}: not a table of results")
    return rows


def half_width(values: Sequence[float]) -> float:
    """Half of the 95% confidence interval of the mean, by Student's t."""
    if len(values) < 2:
        return math.nan
    return _t975(len(values) - 1) * statistics.stdev(values) / math.sqrt(len(values))


def _t975(freedom: int) -> float:
    """The 97.5% quantile of Student's t: exact for 1 and 2, else Cornish and Fisher's expansion (1937).

    Within 0.1% from 4 degrees of freedom on, 0.5% at 3.
    """
    if freedom == 1:
        return 12.7062
    if freedom == 2:
        return 4.30265
    z = statistics.NormalDist().inv_cdf(0.975)
    terms = (
        (z**3 + z) / 4,
        (5 * z**5 + 16 * z**3 + 3 * z) / 96,
        (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384,
        (79 * z**9 + 776 * z**7 + 1482 * z**5 - 1920 * z**3 - 945 * z) / 92160,
    )
    return z + math.fsum(term / freedom ** (place + 1.0) for place, term in enumerate(terms))


def compare(one: Sequence[Row], other: Sequence[Row]) -> list[str]:
    """Paired differences, second less first, over the seeds that both have."""
    first = {(r["scenario"], r["seed"]): r for r in one}
    pairs: dict[str, list[tuple[Row, Row]]] = defaultdict(list)
    for r in other:
        if match := first.get((r["scenario"], r["seed"])):
            pairs[r["scenario"]].append((match, r))
    if not pairs:
        raise PlanningError("the two have no scenario and seed in common")
    rows = []
    for day, both in pairs.items():
        more = [key for key in both[0][0] if key.startswith("worth ") and key in both[0][1]]
        for key in ("worth", "worst_class", "worst_office", "cost", *more):
            apart = [float(b[key]) - float(a[key]) for a, b in both]
            mean, half = statistics.fmean(apart), half_width(apart)
            sure = "differs" if abs(mean) > half else ""
            rows.append([day, key, len(apart), f"{mean:+.4f}", f"{half:.4f}", sure])
    return table(["scenario", "figure", "pairs", "difference", "95% +-", ""], rows)
