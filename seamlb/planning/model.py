"""The planning problem, its plan and what both mean: types and exact integer arithmetic, no I/O and no library.

Units: a load is a whole number of *units* of `grain` milli-erlangs; costs are milli-cost; distances are microseconds
times units; worth is micro-worth a second a milli-erlang times units. All are integers, so that equality is exact.
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
    """A problem or plan that can't be used; its text is one line for the operator."""


@dataclass(slots=True, frozen=True)
class Office:
    """A county office: what is kept for it."""

    name: str
    share: int  # permille of all offered load that counts in full
    floor: int = 0  # permille of its own offered load that must be carried


@dataclass(slots=True, frozen=True)
class Kind:
    """A class of call, as the planner sees it."""

    name: str
    worth: int  # a call that stands
    holding_ms: int
    measure: str = "wait"  # "wait": Erlang C, "loss": Erlang B
    wanted_ms: int = 0  # the wait that a call may have
    target_ppm: int = 50_000  # calls in a million that may wait longer, or be lost
    desks: int = 0  # redundancy: stands on at least so many desks
    districts: int = 0  # in at least so many districts
    survive: str = "none"  # the two still hold when any one "desk", or "district", is lost

    @property
    def value(self) -> int:
        """Micro-worth a second that a milli-erlang of it brings: worth over holding time, rounded down."""
        return self.worth * WORTH_SCALE // self.holding_ms


@dataclass(slots=True, frozen=True)
class PlanDesk:
    """A desk that may be opened."""

    name: str
    district: str
    agents: int
    rate_milli: int  # processor: thousandths of a set-up a second
    skills: frozenset[str]
    second: frozenset[str] = frozenset()  # of the skills, those that take the second-choice holding time
    pinned: frozenset[str] = frozenset()
    forbidden: frozenset[str] = frozenset()
    most_classes: int = 0  # given at once; 0: no limit
    fixed_cost: int = 0
    agent_cost: int = 0
    cold: bool = False

    @property
    def cost(self) -> int:
        """What it costs to have it open."""
        return self.fixed_cost + self.agent_cost * self.agents


Cell = tuple[str, str, str]  # class, district, office
Route = tuple[str, str, str]  # class, district, desk
Placement = frozenset[tuple[str, str]]  # desk, class


@dataclass(frozen=True)
class Problem:
    """A whole planning problem; names are unique, and every order is by name."""

    districts: tuple[str, ...]
    latencies_us: Mapping[tuple[str, str], int]  # one way, microseconds; both directions are there
    offices: tuple[Office, ...]
    kinds: tuple[Kind, ...]
    desks: tuple[PlanDesk, ...]
    demand: Mapping[Cell, int]  # offered, units
    grain: int = 1  # milli-erlangs a unit
    over_share_worth: int = 50  # permille of the worth that load beyond an office's share has
    second_choice: int = 1500  # permille of the holding time at a desk of second choice
    start_capacity: int = 300  # permille of its rate that a cold processor has
    budget: int | None = None
    moves: int | None = None  # most changes of placement from the plan in force
    current: Placement | None = None  # the plan in force

    @cached_property
    def kind(self) -> dict[str, Kind]:
        """Classes by name."""
        return {one.name: one for one in self.kinds}

    @cached_property
    def desk(self) -> dict[str, PlanDesk]:
        """Servers by name."""
        return {one.name: one for one in self.desks}

    @cached_property
    def cells(self) -> tuple[Cell, ...]:
        """Cells with any demand, in order."""
        return tuple(sorted(cell for cell, units in self.demand.items() if units))

    @cached_property
    def offered(self) -> int:
        """All demand, in units."""
        return sum(self.demand.values())

    @cached_property
    def allowances(self) -> dict[str, int]:
        """Units of each office that count in full: its share of all that is offered, rounded down."""
        return {one.name: one.share * self.offered // PERMILLE for one in self.offices}

    @cached_property
    def floors(self) -> dict[str, int]:
        """Units of each office that must be carried, rounded up."""
        own = {one.name: 0 for one in self.offices}
        for (_, _, office), units in self.demand.items():
            own[office] += units
        return {one.name: -(-one.floor * own[one.name] // PERMILLE) for one in self.offices}

    @cached_property
    def class_capacities(self) -> dict[tuple[str, str], int]:
        """Units that a desk carries when this class is among those it is given, by (desk, class)."""
        return {(d.name, k.name): self._class_capacity(d, k) for d in self.desks for k in self.kinds}

    def _class_capacity(self, desk: PlanDesk, kind: Kind) -> int:
        if kind.name not in desk.skills:
            return 0
        if kind.measure == "loss":
            milli = erlang.load_for_loss(desk.agents, kind.target_ppm)
        else:
            milli = erlang.load_for_wait(desk.agents, kind.target_ppm, kind.holding_ms, kind.wanted_ms)
        if kind.name in desk.second:
            milli = milli * PERMILLE // self.second_choice
        rate = desk.rate_milli * self.start_capacity // PERMILLE if desk.cold else desk.rate_milli
        return max(0, min(milli, rate * kind.holding_ms // 1000)) // self.grain

    def capacity(self, desk: str, given: Iterable[str]) -> int:
        """Units that a desk carries with these classes: the strictest of them rules the whole desk.

        On the safe side, and what keeps the flows of a fixed placement a network with whole solutions.
        """
        return min((self.class_capacities[desk, kind] for kind in given), default=0)

    def latency_us(self, origin: str, target: str) -> int:
        """Microseconds between two districts."""
        return self.latencies_us[origin, target]

    def allowed(self, desk: PlanDesk, kind: str) -> bool:
        """May the desk be given the class, whatever else is placed?"""
        return kind in desk.skills and kind not in desk.forbidden and desk.agents > 0

    def classes_by_desk(self, placement: Placement) -> dict[str, tuple[str, ...]]:
        """The classes of each desk in order; desks without any are left out."""
        out: dict[str, list[str]] = {}
        for desk, kind in sorted(placement):
            out.setdefault(desk, []).append(kind)
        return {desk: tuple(kinds) for desk, kinds in out.items()}

    def cost(self, placement: Placement) -> int:
        """What a placement costs."""
        return sum(self.desk[name].cost for name in {desk for desk, _ in placement})

    def count_moves(self, placement: Placement) -> int:
        """Changes of placement from the plan in force (from nothing, if there is none) at desks of the problem."""
        known = {pair for pair in self.current or () if pair[0] in self.desk and pair[1] in self.kind}
        return len(placement ^ known)

    def canonical_key(self, placement: Placement) -> tuple[int, ...]:
        """The placement's place in the canonical order: greatest first, desks and classes by name."""
        kinds = sorted(self.kind)
        return tuple(int((desk, kind) in placement) for desk in sorted(self.desk) for kind in kinds)


@dataclass(slots=True, frozen=True)
class Flows:
    """Who is carried, and where: whole units.

    `supply`: (class, district, office) -> units within the office's share and beyond it; `routes`: (class, district,
    desk) -> units.
    """

    supply: Mapping[Cell, tuple[int, int]]
    routes: Mapping[Route, int]


@dataclass(slots=True, frozen=True)
class Objective:
    """What a plan is compared by, in this order; the canonical order decides what is still a tie."""

    worth: int
    cost: int
    distance: int
    moves: int

    def key(self) -> tuple[int, int, int, int]:
        """Greatest is best."""
        return self.worth, -self.cost, -self.distance, -self.moves


@dataclass(slots=True, frozen=True)
class Plan:
    """An answer: placements, flows, and how far it is proven."""

    placement: Placement
    flows: Flows
    objective: Objective
    status: str  # "optimal" or "stopped"
    proven: tuple[str, ...] = ()  # parts of the objective that are proven, in order
    bound: Mapping[str, float] = field(default_factory=dict)  # best bound of the part at which it stopped
    nodes: int = 0


def objective(problem: Problem, placement: Placement, flows: Flows) -> Objective:
    """The plan's figures, from its placement and flows."""
    worth = distance = 0
    for (kind, _, _), (within, beyond) in flows.supply.items():
        value = problem.kind[kind].value
        worth += value * within + value * problem.over_share_worth // PERMILLE * beyond
    for (_, district, desk), units in flows.routes.items():
        distance += problem.latency_us(district, problem.desk[desk].district) * units
    return Objective(worth, problem.cost(placement), distance, problem.count_moves(placement))


def weights(problem: Problem, flows: Flows) -> dict[tuple[str, str], dict[str, int]]:
    """By (class, district): the units that go to each desk, which are the weights a front draws by."""
    out: dict[tuple[str, str], dict[str, int]] = {}
    for (kind, district, desk), units in sorted(flows.routes.items()):
        if units:
            out.setdefault((kind, district), {})[desk] = units
    return out


def allowances_per_s(problem: Problem, flows: Flows) -> dict[str, float]:
    """Calls a second that the plan carries of each office: what the agents' allowances are set to."""
    out = {one.name: 0.0 for one in problem.offices}
    for (kind, _, office), (within, beyond) in flows.supply.items():
        out[office] += (within + beyond) * problem.grain / problem.kind[kind].holding_ms
    return out
