"""Problems and plans as TOML files: read and checked whole by msgspec, written in one order."""

from __future__ import annotations

import hashlib
import math
import tomllib
from collections import defaultdict
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec

from seamlb.planning.model import (
    PERMILLE,
    Flows,
    Kind,
    Objective,
    Office,
    Placement,
    Plan,
    PlanDesk,
    PlanningError,
    Problem,
    allowances_per_s,
    check_problem,
    weights,
)
from seamlb.store.files import DISK

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Whole = Annotated[int, msgspec.Meta(ge=0)]
Cost = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
Above = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Figure = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
T = TypeVar("T")
MOST_BYTES = 8 << 20


class _Table(msgspec.Struct, forbid_unknown_fields=True):
    pass


class DistrictTable(_Table):
    """A place, and the one-way times from it in milliseconds."""

    name: Name
    times_ms: dict[str, Figure] = {}


class OfficeTable(_Table):
    """`[[office]]`: a tenant and its share."""

    name: Name
    share: Part
    floor: Part = 0.0


class ClassTable(_Table):
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


class DemandTable(_Table):
    """Offered load of a class in a district, of one office or split among all by their shares."""

    class_: Name = msgspec.field(name="class")
    district: Name
    office: Name | None = None
    erlangs: Figure | None = None
    calls_per_s: Figure | None = None


class DeskTable(_Table):
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


class ProblemTable(_Table):
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


def _decode(path: Path, form: type[T]) -> T:
    """One file as its table; PlanningError names file, key and reason."""
    try:
        size = path.stat().st_size
        if size > MOST_BYTES:
            raise PlanningError(f"{path}: {size} bytes are more than a file may have ({MOST_BYTES})")
        raw = tomllib.loads(path.read_bytes().decode())
        _finite(raw, "")
        return msgspec.convert(raw, form)
    except OSError as error:
        raise PlanningError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:  # msgspec's and TOML's errors are ValueErrors
        raise PlanningError(f"{path}: {error}".replace("\n", " ")) from None


def _finite(value: object, where: str) -> None:
    """TOML has nan and inf, for which no bound of a form holds."""
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError(f"{where.lstrip('.')}: not a number that can be used: {value}")
    if isinstance(value, dict):
        for key, one in value.items():
            _finite(one, f"{where}.{key}")
    elif isinstance(value, list):
        for place, one in enumerate(value):
            _finite(one, f"{where}[{place}]")


def load_problem(path: str | Path, current: str | Path | None = None) -> Problem:
    """Read a problem, and the plan in force if one is named. Raises PlanningError with one line."""
    path = Path(path)
    table = _decode(path, ProblemTable)
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
            for office, part in split(units, {o.name: o.share for o in offices}).items():
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


def split(units: int, shares: dict[str, int]) -> dict[str, int]:
    """Whole units by shares: largest remainders get what is left, ties by name."""
    total = sum(shares.values())
    if not total:
        return {min(shares): units} if shares else {}
    out = {name: units * share // total for name, share in shares.items()}
    order = sorted(shares, key=lambda name: (-(units * shares[name] % total), name))
    for name in order[: units - sum(out.values())]:
        out[name] += 1
    return out


class PlacementTable(_Table):
    """`[[placement]]` of a plan file: the classes that a desk is given."""

    desk: Name
    classes: list[Name]


class RouteTable(_Table):
    """`[[route]]` of a plan file: what a desk carries of a class in a district."""

    class_: Name = msgspec.field(name="class")
    district: Name
    desk: Name
    units: Whole
    share: Part = 0.0  # of what is carried there; for people, the units count


class SupplyTable(_Table):
    """`[[supply]]` of a plan file: what an office gets, within its share and beyond."""

    class_: Name = msgspec.field(name="class")
    district: Name
    office: Name
    within: Whole
    beyond: Whole


class ObjectiveTable(_Table):
    """`[objective]` of a plan file, by part in the order of weight."""

    worth: int
    cost: Whole
    distance: Whole
    moves: Whole


class PlanTable(_Table):
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


def digest(problem: Problem) -> str:
    """Tells whether a plan was made for this very problem; the plan in force and the limit on moves are no part."""
    parts = (
        sorted(problem.districts),
        sorted(problem.times.items()),
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
        problem.over_worth,
        problem.second_choice,
        problem.start_capacity,
        problem.budget,
    )
    return hashlib.blake2b(repr(parts).encode(), digest_size=12).hexdigest()


def plan_text(problem: Problem, plan: Plan) -> str:
    """The plan as TOML; the same plan always gives the same bytes."""
    lines = [
        f'status = "{plan.status}"',
        f'problem = "{digest(problem)}"',
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
    for desk, kinds in problem.given(plan.placement).items():
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
        DISK.put(Path(path), plan_text(problem, plan).encode())
    except OSError as error:
        raise PlanningError(f"{path}: {error.strerror}") from None


def load_plan(path: str | Path) -> Plan:
    """Read a plan; it is not checked against any problem yet. Raises PlanningError with one line."""
    return plan_of(path)[0]


def plan_of(path: str | Path) -> tuple[Plan, PlanTable]:
    """The plan of a file beside the file's own tables."""
    path = Path(path)
    table = _decode(path, PlanTable)
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
