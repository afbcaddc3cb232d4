"""Problems as TOML files, read and checked whole."""

from __future__ import annotations

import math
from collections import defaultdict
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from seamlb.planning.model import (
    PERMILLE,
    Kind,
    Office,
    Placement,
    PlanDesk,
    PlanningError,
    Problem,
)
from seamlb.planning.plan_files import load_plan
from seamlb.planning.problem_check import check_problem
from seamlb.planning.tables import Above, Cost, Figure, Name, Part, Table, Whole, decode_table


class DistrictTable(Table):
    """A place, and the one-way times from it in milliseconds."""

    name: Name
    times_ms: dict[str, Figure] = {}


class OfficeTable(Table):
    """`[[office]]`: a tenant and its share."""

    name: Name
    share: Part
    floor: Part = 0.0


class ClassTable(Table):
    """`[[class]]`: a call class, its worth and the service it asks for."""

    name: Name
    worth: Annotated[int, msgspec.Meta(ge=0, le=10**6)]
    holding_s: Above
    measure: Literal["wait", "loss"] = "wait"
    wanted_s: Figure = 0.0
    target: Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0.05
    desks: Whole = 0
    districts: Whole = 0
    survive: Literal["none", "desk", "district"] = "none"


class DemandTable(Table):
    """Offered load of a class in a district, of one office or split among all by their shares."""

    class_: Name = msgspec.field(name="class")
    district: Name
    office: Name | None = None
    erlangs: Figure | None = None
    calls_per_s: Figure | None = None


class DeskTable(Table):
    """`[[desk]]`: a server, its people and what they can do."""

    name: Name
    district: Name
    agents: Annotated[int, msgspec.Meta(ge=0, le=20000)]
    setups_per_s: Figure
    skills: list[Name]
    second: list[Name] = []
    pinned: list[Name] = []
    forbidden: list[Name] = []
    most_classes: Whole = 0
    fixed_cost: Cost = 0
    agent_cost: Cost = 0
    cold: bool = False


class ProblemTable(Table):
    """A whole problem file."""

    district: list[DistrictTable]
    office: list[OfficeTable]
    class_: list[ClassTable] = msgspec.field(name="class")
    desk: list[DeskTable]
    demand: list[DemandTable] = []
    grain_erlangs: Annotated[float, msgspec.Meta(ge=0.001, le=1000)] = 0.1
    over_share_worth: Part = 0.05
    second_choice: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.5
    start_capacity: Part = 0.3
    budget: Whole | None = None
    moves: Whole | None = None


def load_problem(path: str | Path, current: str | Path | None = None) -> Problem:
    """Read a problem, and the plan in force if one is named. Raises PlanningError with one line."""
    path = Path(path)
    table = decode_table(path, ProblemTable)
    force = load_plan(current).placement if current else None
    try:
        problem = _problem(table, force)
        check_problem(problem)
    except PlanningError as error:
        raise PlanningError(f"{path}: {error}") from None
    return problem


def _problem(table: ProblemTable, current: Placement | None) -> Problem:
    districts = [one.name for one in table.district]
    times = {(one, one): 0 for one in districts}
    for place in table.district:
        for other, ms in place.times_ms.items():
            if other not in districts:
                raise PlanningError(f"district.{place.name}.times_ms: unknown district {other!r}")
            told = round(ms * 1000)
            for pair in ((place.name, other), (other, place.name)):
                if times.setdefault(pair, told) != told:
                    raise PlanningError(f"district.{place.name}.times_ms.{other}: two different times are given")
    missing = sorted((a, b) for a in districts for b in districts if (a, b) not in times)
    if missing:
        raise PlanningError(f"district.{missing[0][0]}.times_ms.{missing[0][1]}: missing")
    kinds = tuple(
        Kind(
            one.name,
            one.worth,
            max(1, round(one.holding_s * 1000)),
            one.measure,
            round(one.wanted_s * 1000),
            min(999_999, round(one.target * 1e6)),
            one.desks,
            one.districts,
            one.survive,
        )
        for one in table.class_
    )
    offices = tuple(
        Office(one.name, round(one.share * PERMILLE), round(one.floor * PERMILLE)) for one in table.office
    )
    desks = tuple(
        PlanDesk(
            one.name,
            one.district,
            one.agents,
            round(one.setups_per_s * 1000),
            frozenset(one.skills),
            frozenset(one.second),
            frozenset(one.pinned),
            frozenset(one.forbidden),
            one.most_classes,
            one.fixed_cost,
            one.agent_cost,
            one.cold,
        )
        for one in table.desk
    )
    grain = round(table.grain_erlangs * 1000)
    demand: dict[tuple[str, str, str], int] = defaultdict(int)
    holding = {one.name: one.holding_ms for one in kinds}
    for number, load in enumerate(table.demand):
        where = f"demand[{number}]"
        if load.class_ not in holding:
            raise PlanningError(f"{where}.class: unknown class {load.class_!r}")
        if (load.erlangs is None) == (load.calls_per_s is None):
            raise PlanningError(f"{where}: either erlangs or calls_per_s is needed")
        # Rounded up: a plan must have room for what is expected.
        rate = load.calls_per_s
        milli = load.erlangs * 1000 if load.erlangs is not None else (rate or 0.0) * holding[load.class_]
        units = math.ceil(round(milli / grain, 6))
        if load.office is not None:
            demand[load.class_, load.district, load.office] += units
        else:
            for office, part in apportion(units, {o.name: o.share for o in offices}).items():
                demand[load.class_, load.district, office] += part
    return Problem(
        tuple(districts),
        times,
        offices,
        kinds,
        desks,
        dict(demand),
        grain,
        round(table.over_share_worth * PERMILLE),
        round(table.second_choice * PERMILLE),
        round(table.start_capacity * PERMILLE),
        table.budget,
        table.moves,
        current,
    )


def apportion(units: int, shares: dict[str, int]) -> dict[str, int]:
    """Whole units by shares: largest remainders get what is left, ties by name."""
    total = sum(shares.values())
    if not total:
        return {min(shares): units} if shares else {}
    out = {name: units * share // total for name, share in shares.items()}
    order = sorted(shares, key=lambda name: (-(units * shares[name] % total), name))
    for name in order[: units - sum(out.values())]:
        out[name] += 1
    return out
