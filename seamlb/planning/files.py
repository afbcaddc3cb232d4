"""Planning problems as TOML files: decoding and validation."""

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
from seamlb.planning.tables import Cost, Name, NonNegative, NonNegativeInt, Positive, Ratio, Table, decode_table


class DistrictTable(Table):
    """`[[district]]`: a district and the one-way latencies from it in milliseconds."""

    name: Name
    times_ms: dict[str, NonNegative] = {}


class OfficeTable(Table):
    """`[[office]]`: a tenant, its share and its floor."""

    name: Name
    share: Ratio
    floor: Ratio = 0.0


class ClassTable(Table):
    """`[[class]]`: a call class, its worth, service target and redundancy requirements."""

    name: Name
    worth: Annotated[int, msgspec.Meta(ge=0, le=10**6)]
    holding_s: Positive
    measure: Literal["wait", "loss"] = "wait"
    wanted_s: NonNegative = 0.0
    target: Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0.05
    desks: NonNegativeInt = 0
    districts: NonNegativeInt = 0
    survive: Literal["none", "desk", "district"] = "none"


class DemandTable(Table):
    """`[[demand]]`: offered load of a class in a district, for one office or split among all by their shares."""

    class_: Name = msgspec.field(name="class")
    district: Name
    office: Name | None = None
    erlangs: NonNegative | None = None
    calls_per_s: NonNegative | None = None


class DeskTable(Table):
    """`[[desk]]`: a desk, its agents and their skills."""

    name: Name
    district: Name
    agents: Annotated[int, msgspec.Meta(ge=0, le=20000)]
    setups_per_s: NonNegative
    skills: list[Name]
    second: list[Name] = []
    pinned: list[Name] = []
    forbidden: list[Name] = []
    most_classes: NonNegativeInt = 0
    fixed_cost: Cost = 0
    agent_cost: Cost = 0
    cold: bool = False


class ProblemTable(Table):
    """A complete problem file."""

    district: list[DistrictTable]
    office: list[OfficeTable]
    class_: list[ClassTable] = msgspec.field(name="class")
    desk: list[DeskTable]
    demand: list[DemandTable] = []
    grain_erlangs: Annotated[float, msgspec.Meta(ge=0.001, le=1000)] = 0.1
    over_share_worth: Ratio = 0.05
    second_choice: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.5
    start_capacity: Ratio = 0.3
    budget: NonNegativeInt | None = None
    moves: NonNegativeInt | None = None


def load_problem(path: str | Path, current: str | Path | None = None) -> Problem:
    """Read a problem, and the plan in force if `current` is given. Raises PlanningError with a one-line message."""
    path = Path(path)
    table = decode_table(path, ProblemTable)
    placement_in_force = load_plan(current).placement if current else None
    try:
        problem = _problem(table, placement_in_force)
        check_problem(problem)
    except PlanningError as error:
        raise PlanningError(f"{path}: {error}") from None
    return problem


def _problem(table: ProblemTable, current: Placement | None) -> Problem:
    districts = [one.name for one in table.district]
    times = {(one, one): 0 for one in districts}
    for district in table.district:
        for target, ms in district.times_ms.items():
            if target not in districts:
                raise PlanningError(f"district.{district.name}.times_ms: unknown district {target!r}")
            latency_us = round(ms * 1000)
            for pair in ((district.name, target), (target, district.name)):
                if times.setdefault(pair, latency_us) != latency_us:
                    raise PlanningError(f"district.{district.name}.times_ms.{target}: conflicting values")
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
    for number, entry in enumerate(table.demand):
        where = f"demand[{number}]"
        if entry.class_ not in holding:
            raise PlanningError(f"{where}.class: unknown class {entry.class_!r}")
        if (entry.erlangs is None) == (entry.calls_per_s is None):
            raise PlanningError(f"{where}: either erlangs or calls_per_s is required")
        # Rounded up: a plan must have capacity for the whole expected load.
        rate = entry.calls_per_s
        milli_erlangs = entry.erlangs * 1000 if entry.erlangs is not None else (rate or 0.0) * holding[entry.class_]
        units = math.ceil(round(milli_erlangs / grain, 6))
        if entry.office is not None:
            demand[entry.class_, entry.district, entry.office] += units
        else:
            for office, part_units in apportion(units, {o.name: o.share for o in offices}).items():
                demand[entry.class_, entry.district, office] += part_units
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
    """Split whole units in proportion to shares by the largest remainder method; ties are broken by name."""
    total = sum(shares.values())
    if not total:
        return {min(shares): units} if shares else {}
    parts = {name: units * share // total for name, share in shares.items()}
    order = sorted(shares, key=lambda name: (-(units * shares[name] % total), name))
    for name in order[: units - sum(parts.values())]:
        parts[name] += 1
    return parts
