"""Types of the planning problem and its plan, with exact integer arithmetic; no I/O and no solver library.

Units: a load is a whole number of *units* of `grain` milli-erlangs; costs are milli-cost; distances are microseconds
times units; worth is micro-worth per second and milli-erlang, times units. All are integers: comparisons are exact.
`docs/design/planning.md` derives the model.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property

from seamlb.planning import erlang

PERMILLE = 1000
WORTH_SCALE = 1_000_000


class PlanningError(Exception):
    """An unusable problem or plan; the message is a single line for the operator."""


@dataclass(slots=True, frozen=True)
class Office:
    """A county office (tenant). `problem_digest` hashes the repr of `Office` and `Kind`: names are stored data."""

    name: str
    share: int  # permille of all offered load, up to which the office's load has its full worth
    floor: int = 0  # permille of its own offered load that must be carried


@dataclass(slots=True, frozen=True)
class Kind:
    """A class of calls with its service target and redundancy requirements."""

    name: str
    worth: int  # of one established call
    holding_ms: int
    measure: str = "wait"  # "wait": Erlang C, "loss": Erlang B
    wanted_ms: int = 0  # acceptable waiting time
    target_ppm: int = 50_000  # maximum calls per million that wait longer, or are lost
    desks: int = 0  # redundancy: minimum number of desks that have the class
    districts: int = 0  # minimum number of districts with such a desk
    survive: str = "none"  # both minimums also hold after the loss of any one "desk" or "district"

    @property
    def value(self) -> int:
        """Worth of carried load in micro-worth per second and milli-erlang: worth over holding time, rounded down."""
        return self.worth * WORTH_SCALE // self.holding_ms


@dataclass(slots=True, frozen=True)
class PlanDesk:
    """A desk that a plan may open."""

    name: str
    district: str
    agents: int
    rate_milli: int  # processor limit in thousandths of a set-up per second
    skills: frozenset[str]
    second: frozenset[str] = frozenset()  # skills with the second-choice holding time
    pinned: frozenset[str] = frozenset()
    forbidden: frozenset[str] = frozenset()
    most_classes: int = 0  # maximum number of classes placed at once; 0: no limit
    fixed_cost: int = 0
    agent_cost: int = 0
    cold: bool = False

    @property
    def cost(self) -> int:
        """Cost of opening the desk."""
        return self.fixed_cost + self.agent_cost * self.agents


Cell = tuple[str, str, str]  # class, district, office
Route = tuple[str, str, str]  # class, district, desk
Placement = frozenset[tuple[str, str]]  # desk, class


@dataclass(frozen=True)
class Problem:
    """A complete planning problem; names are unique, and every order is by name."""

    districts: tuple[str, ...]
    latencies_us: Mapping[tuple[str, str], int]  # one way in microseconds; contains both directions
    offices: tuple[Office, ...]
    kinds: tuple[Kind, ...]
    desks: tuple[PlanDesk, ...]
    demand: Mapping[Cell, int]  # offered load in units
    grain: int = 1  # milli-erlangs per unit
    over_share_worth: int = 50  # worth of load beyond an office's share, in permille of its full worth
    second_choice: int = 1500  # holding time at a second-choice desk, in permille of the usual one
    start_capacity: int = 300  # rate of a cold processor, in permille of its full rate
    budget: int | None = None
    moves: int | None = None  # maximum number of placement changes from the plan in force
    current: Placement | None = None  # placement of the plan in force

    @cached_property
    def kind(self) -> dict[str, Kind]:
        """Classes by name."""
        return {one.name: one for one in self.kinds}

    @cached_property
    def desk(self) -> dict[str, PlanDesk]:
        """Desks by name."""
        return {one.name: one for one in self.desks}

    @cached_property
    def cells(self) -> tuple[Cell, ...]:
        """The cells with demand, sorted."""
        return tuple(sorted(cell for cell, units in self.demand.items() if units))

    @cached_property
    def offered(self) -> int:
        """Total demand in units."""
        return sum(self.demand.values())

    @cached_property
    def allowances(self) -> dict[str, int]:
        """Units of each office that have their full worth: its share of the total demand, rounded down."""
        return {one.name: one.share * self.offered // PERMILLE for one in self.offices}

    @cached_property
    def floors(self) -> dict[str, int]:
        """Minimum units to carry for each office, rounded up."""
        offered = {one.name: 0 for one in self.offices}
        for (_, _, office), units in self.demand.items():
            offered[office] += units
        return {one.name: -(-one.floor * offered[one.name] // PERMILLE) for one in self.offices}

    @cached_property
    def class_capacities(self) -> dict[tuple[str, str], int]:
        """Units that a desk can carry if the class is placed there, by (desk, class)."""
        return {(d.name, k.name): self._class_capacity(d, k) for d in self.desks for k in self.kinds}

    def _class_capacity(self, desk: PlanDesk, kind: Kind) -> int:  # load units, each of `grain` milli-Erlangs
        if kind.name not in desk.skills:
            return 0
        if kind.measure == "loss":
            milli_erlangs = erlang.load_for_loss(desk.agents, kind.target_ppm)
        else:
            milli_erlangs = erlang.load_for_wait(desk.agents, kind.target_ppm, kind.holding_ms, kind.wanted_ms)
        if kind.name in desk.second:
            milli_erlangs = milli_erlangs * PERMILLE // self.second_choice
        rate = desk.rate_milli * self.start_capacity // PERMILLE if desk.cold else desk.rate_milli
        return max(0, min(milli_erlangs, rate * kind.holding_ms // 1000)) // self.grain

    def capacity(self, desk: str, kinds: Iterable[str]) -> int:
        """Units that a desk can carry with these classes: the strictest class limits the whole desk.

        This is conservative, and it keeps the flows of a fixed placement a network problem with integral solutions.
        """
        return min((self.class_capacities[desk, kind] for kind in kinds), default=0)

    def latency_us(self, origin: str, target: str) -> int:
        """One-way latency between two districts in microseconds."""
        return self.latencies_us[origin, target]

    def allowed(self, desk: PlanDesk, kind: str) -> bool:
        """Whether the class may be placed at the desk, regardless of the rest of the placement."""
        return kind in desk.skills and kind not in desk.forbidden and desk.agents > 0

    def classes_by_desk(self, placement: Placement) -> dict[str, tuple[str, ...]]:
        """The sorted classes of each desk; desks without classes are omitted."""
        classes: dict[str, list[str]] = {}
        for desk, kind in sorted(placement):
            classes.setdefault(desk, []).append(kind)
        return {desk: tuple(kinds) for desk, kinds in classes.items()}

    def cost(self, placement: Placement) -> int:
        """Total cost of the desks that a placement opens."""
        return sum(self.desk[name].cost for name in {desk for desk, _ in placement})

    def count_moves(self, placement: Placement) -> int:
        """Number of changes from the placement in force (empty if there is none) at desks of the problem."""
        current = {pair for pair in self.current or () if pair[0] in self.desk and pair[1] in self.kind}
        return len(placement ^ current)

    def canonical_key(self, placement: Placement) -> tuple[int, ...]:
        """Sort key of a placement in the canonical order: greatest first, desks and classes by name."""
        kinds = sorted(self.kind)
        return tuple(int((desk, kind) in placement) for desk in sorted(self.desk) for kind in kinds)


@dataclass(slots=True, frozen=True)
class Flows:
    """Carried load and the desks that carry it, in whole units.

    `supply`: (class, district, office) -> units within the office's share and beyond it; `routes`: (class, district,
    desk) -> units.
    """

    supply: Mapping[Cell, tuple[int, int]]
    routes: Mapping[Route, int]


@dataclass(slots=True, frozen=True)
class Objective:
    """Criteria by which plans are compared, in this order; remaining ties are broken by the canonical order."""

    worth: int
    cost: int
    distance: int
    moves: int

    def key(self) -> tuple[int, int, int, int]:
        """Sort key; the greatest is the best."""
        return self.worth, -self.cost, -self.distance, -self.moves


@dataclass(slots=True, frozen=True)
class Plan:
    """A solution: placement, flows, and how much of its optimality is proven."""

    placement: Placement
    flows: Flows
    objective: Objective
    status: str  # "optimal" or "stopped"
    proven: tuple[str, ...] = ()  # stages of the objective that are proven optimal, in order
    bound: Mapping[str, float] = field(default_factory=dict)  # best bound of the stage at which the solver stopped
    nodes: int = 0  # branch-and-bound nodes


def objective(problem: Problem, placement: Placement, flows: Flows) -> Objective:
    """The objective values of a placement with its flows."""
    worth = distance = 0
    for (kind, _, _), (within, beyond) in flows.supply.items():
        value = problem.kind[kind].value
        worth += value * within + value * problem.over_share_worth // PERMILLE * beyond
    for (_, district, desk), units in flows.routes.items():
        distance += problem.latency_us(district, problem.desk[desk].district) * units
    return Objective(worth, problem.cost(placement), distance, problem.count_moves(placement))


def weights(problem: Problem, flows: Flows) -> dict[tuple[str, str], dict[str, int]]:
    """Units per desk by (class, district); call agents select a call's first choice with these weights."""
    units_by_desk: dict[tuple[str, str], dict[str, int]] = {}
    for (kind, district, desk), units in sorted(flows.routes.items()):
        if units:
            units_by_desk.setdefault((kind, district), {})[desk] = units
    return units_by_desk


def allowances_per_s(problem: Problem, flows: Flows) -> dict[str, float]:
    """Calls per second that the plan carries of each office; the agents' allowances are set to them."""
    rates = {one.name: 0.0 for one in problem.offices}
    for (kind, _, office), (within, beyond) in flows.supply.items():
        rates[office] += (within + beyond) * problem.grain / problem.kind[kind].holding_ms
    return rates
