"""Plans as TOML files: decoding, and writing in a deterministic order."""

from __future__ import annotations

import hashlib
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from seamlb.planning.model import (
    Flows,
    Objective,
    Plan,
    PlanningError,
    Problem,
    allowances_per_s,
    weights,
)
from seamlb.planning.tables import Name, NonNegative, NonNegativeInt, Ratio, Table, decode_table
from seamlb.store.files import DISK


class PlacementTable(Table):
    """`[[placement]]` of a plan file: the classes placed at a desk."""

    desk: Name
    classes: list[Name]


class RouteTable(Table):
    """`[[route]]` of a plan file: load of a class from a district that a desk carries."""

    class_: Name = msgspec.field(name="class")
    district: Name
    desk: Name
    units: NonNegativeInt
    share: Ratio = 0.0  # of the load carried for class and district; informative, only the units are used


class SupplyTable(Table):
    """`[[supply]]` of a plan file: carried units of an office, within its share and beyond it."""

    class_: Name = msgspec.field(name="class")
    district: Name
    office: Name
    within: NonNegativeInt
    beyond: NonNegativeInt


class ObjectiveTable(Table):
    """`[objective]` of a plan file, in order of priority."""

    worth: int
    cost: NonNegativeInt
    distance: NonNegativeInt
    moves: NonNegativeInt


class PlanTable(Table):
    """A complete plan file."""

    status: Literal["optimal", "stopped"]
    problem: str  # digest of the problem that it solves
    grain_milli_erlangs: Annotated[int, msgspec.Meta(gt=0)]
    objective: ObjectiveTable
    proven: list[str] = []
    bound: dict[str, float] = {}
    nodes: NonNegativeInt = 0
    allowances: dict[str, NonNegative] = {}  # calls per second by office
    placement: list[PlacementTable] = []
    supply: list[SupplyTable] = []
    route: list[RouteTable] = []


def problem_digest(problem: Problem) -> str:
    """Identifies the problem that a plan solves; the plan in force and the limit on moves are not included."""
    parts = (
        sorted(problem.districts),
        sorted(problem.latencies_us.items()),
        sorted(problem.offices, key=lambda o: o.name),
        sorted(problem.kinds, key=lambda k: k.name),
        [
            (
                d.name,
                d.district,
                d.agents,
                d.rate_milli,
                sorted(d.skills),
                sorted(d.second),
                sorted(d.pinned),
                sorted(d.forbidden),
                d.most_classes,
                d.fixed_cost,
                d.agent_cost,
                d.cold,
            )
            for d in sorted(problem.desks, key=lambda d: d.name)
        ],
        [(cell, problem.demand[cell]) for cell in problem.cells],
        problem.grain,
        problem.over_share_worth,
        problem.second_choice,
        problem.start_capacity,
        problem.budget,
    )
    return hashlib.blake2b(repr(parts).encode(), digest_size=12).hexdigest()


def plan_text(problem: Problem, plan: Plan) -> str:
    """The plan as TOML; equal plans give identical bytes."""
    lines = [
        f'status = "{plan.status}"',
        f'problem = "{problem_digest(problem)}"',
        f"grain_milli_erlangs = {problem.grain}",
        f"proven = [{', '.join(chr(34) + one + chr(34) for one in plan.proven)}]",
        f"nodes = {plan.nodes}",
        "",
        "[objective]",
        *(f"{key} = {getattr(plan.objective, key)}" for key in ("worth", "cost", "distance", "moves")),
    ]
    if plan.bound:
        lines += ["", "[bound]", *(f"{key} = {value!r}" for key, value in sorted(plan.bound.items()))]
    lines += [
        "",
        "[allowances]",
        *(f'"{name}" = {rate:.6f}' for name, rate in sorted(allowances_per_s(problem, plan.flows).items())),
    ]
    for desk, kinds in problem.classes_by_desk(plan.placement).items():
        lines += [
            "",
            "[[placement]]",
            f'desk = "{desk}"',
            f"classes = [{', '.join(chr(34) + k + chr(34) for k in kinds)}]",
        ]
    for (kind, district, office), (within, beyond) in sorted(plan.flows.supply.items()):
        lines += [
            "",
            "[[supply]]",
            f'class = "{kind}"',
            f'district = "{district}"',
            f'office = "{office}"',
            f"within = {within}",
            f"beyond = {beyond}",
        ]
    for (kind, district), units in sorted(weights(problem, plan.flows).items()):
        total = sum(units.values())
        for desk, count in sorted(units.items()):
            lines += [
                "",
                "[[route]]",
                f'class = "{kind}"',
                f'district = "{district}"',
                f'desk = "{desk}"',
                f"units = {count}",
                f"share = {count / total:.6f}",
            ]
    return "\n".join(lines) + "\n"


def save_plan(path: str | Path, problem: Problem, plan: Plan) -> None:
    """Write a plan atomically, so that a reader never sees a partial file."""
    try:
        DISK.write_atomic(Path(path), plan_text(problem, plan).encode())
    except OSError as error:
        raise PlanningError(f"{path}: {error.strerror}") from None


def load_plan(path: str | Path) -> Plan:
    """Read a plan without checking it against a problem. Raises PlanningError with a one-line message."""
    return read_plan_file(path)[0]


def read_plan_file(path: str | Path) -> tuple[Plan, PlanTable]:
    """Read a plan file; returns the plan and the decoded file."""
    path = Path(path)
    table = decode_table(path, PlanTable)
    keys_by_table: list[tuple[str, list[tuple[str, ...]]]] = [
        ("placement", [(one.desk,) for one in table.placement]),
        ("route", [(r.class_, r.district, r.desk) for r in table.route]),
        ("supply", [(s.class_, s.district, s.office) for s in table.supply]),
    ]
    for label, keys in keys_by_table:
        duplicates = sorted({one for one in keys if keys.count(one) > 1})
        if duplicates:
            raise PlanningError(f"{path}: {label}: {'/'.join(duplicates[0])} is listed twice")
    placement = frozenset((one.desk, kind) for one in table.placement for kind in one.classes)
    flows = Flows(
        {(s.class_, s.district, s.office): (s.within, s.beyond) for s in table.supply},
        {(r.class_, r.district, r.desk): r.units for r in table.route},
    )
    objective = Objective(
        table.objective.worth, table.objective.cost, table.objective.distance, table.objective.moves
    )
    return Plan(placement, flows, objective, table.status, tuple(table.proven), table.bound, table.nodes), table
