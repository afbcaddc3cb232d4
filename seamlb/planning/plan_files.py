"""Plans as TOML files: read and checked whole, written in one order."""

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
from seamlb.planning.tables import Figure, Name, Part, Table, Whole, decode_table
from seamlb.store.files import DISK


class PlacementTable(Table):
    """`[[placement]]` of a plan file: the classes that a desk is given."""

    desk: Name
    classes: list[Name]


class RouteTable(Table):
    """`[[route]]` of a plan file: what a desk carries of a class in a district."""

    class_: Name = msgspec.field(name="class")
    district: Name
    desk: Name
    units: Whole
    share: Part = 0.0  # of what is carried there; for people, the units count


class SupplyTable(Table):
    """`[[supply]]` of a plan file: what an office gets, within its share and beyond."""

    class_: Name = msgspec.field(name="class")
    district: Name
    office: Name
    within: Whole
    beyond: Whole


class ObjectiveTable(Table):
    """`[objective]` of a plan file, by part in the order of weight."""

    worth: int
    cost: Whole
    distance: Whole
    moves: Whole


class PlanTable(Table):
    """A whole plan file."""

    status: Literal["optimal", "stopped"]
    problem: str  # digest of the problem it was made for
    grain_milli_erlangs: Annotated[int, msgspec.Meta(gt=0)]
    objective: ObjectiveTable
    proven: list[str] = []
    bound: dict[str, float] = {}
    nodes: Whole = 0
    allowances: dict[str, Figure] = {}  # calls a second by office
    placement: list[PlacementTable] = []
    supply: list[SupplyTable] = []
    route: list[RouteTable] = []


def problem_digest(problem: Problem) -> str:
    """Tells whether a plan was made for this very problem; the plan in force and the limit on moves are no part."""
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
    """The plan as TOML; the same plan always gives the same bytes."""
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
    """Write a plan whole or not at all: a reader never sees half of one."""
    try:
        DISK.write_atomic(Path(path), plan_text(problem, plan).encode())
    except OSError as error:
        raise PlanningError(f"{path}: {error.strerror}") from None


def load_plan(path: str | Path) -> Plan:
    """Read a plan; it is not checked against any problem yet. Raises PlanningError with one line."""
    return read_plan_file(path)[0]


def read_plan_file(path: str | Path) -> tuple[Plan, PlanTable]:
    """The plan of a file beside the file's own tables."""
    path = Path(path)
    table = decode_table(path, PlanTable)
    listed: list[tuple[str, list[tuple[str, ...]]]] = [
        ("placement", [(one.desk,) for one in table.placement]),
        ("route", [(r.class_, r.district, r.desk) for r in table.route]),
        ("supply", [(s.class_, s.district, s.office) for s in table.supply]),
    ]
    for label, names in listed:
        double = sorted({one for one in names if names.count(one) > 1})
        if double:
            raise PlanningError(f"{path}: {label}: {'/'.join(double[0])} is there twice")
    placement = frozenset((one.desk, kind) for one in table.placement for kind in one.classes)
    flows = Flows(
        {(s.class_, s.district, s.office): (s.within, s.beyond) for s in table.supply},
        {(r.class_, r.district, r.desk): r.units for r in table.route},
    )
    figures = Objective(table.objective.worth, table.objective.cost, table.objective.distance, table.objective.moves)
    return Plan(placement, flows, figures, table.status, tuple(table.proven), table.bound, table.nodes), table
