"""Follows a plan while the world differs from it: what the daemon's calls are steered by, without I/O or a clock.

`PlanFollower` receives the desk list and desks' reports, and is stepped periodically. For each class it keeps the
shares by which a call's first choice is selected. The decision module gets that choice, the classes' pools and the
offices' allowances as its inputs and still decides every send and refusal. docs/operators/planning.md has the rules:

- a desk that drains or is gone is not drawn from that moment on; what it had goes to the repair's desks at once
- a desk that comes back is used after it stayed for a while, longer each time it flaps
- a cold desk gets what its processor has grown to; a desk that stays full gets nothing beyond its planned part
- shares move towards the repair's by a bounded step; small differences are left alone
- a class of whose desks none is listed is drawn among the listed desks that the settings allow it
- a plan past its end steers no call: first choices are the settings' again
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol

from seamlb import api
from seamlb.planning.draw import RendezvousHash
from seamlb.planning.model import Plan, Problem, allowances_per_s
from seamlb.planning.repair import DeskState, Repair, WarmUp, capacities, district_shares, permille, step_towards

STEP_INTERVAL_MS = 500.0  # between two steps of the shares
MAX_STEP_PERMILLE = 50  # permille of a class's calls that a step moves; what a lost desk had comes on top
DEADBAND_PERMILLE = 20  # permille: a goal nearer than this is left alone
SETTLE_MS = 2000.0  # a desk must have stayed so long before it is used again
MAX_SETTLE_MS = 32_000.0
FLAP_RESET_MS = 60_000.0  # a desk that stayed so long has its flaps forgotten
FULL_AFTER_MS = 1000.0  # told full for so long counts


@dataclass(slots=True, frozen=True)
class FollowedPlan:
    """A plan to be followed, checked whole, and where this agent stands."""

    problem: Problem
    plan: Plan
    district: str
    until_ms: float = math.inf  # Unix milliseconds


class ListedDesk(Protocol):
    """A desk as the list has it."""

    @property
    def ident(self) -> str:
        """The server's name."""

    @property
    def cell(self) -> int:
        """Its pool."""

    @property
    def availability(self) -> int:
        """What the list says of it."""

    @property
    def since_ms(self) -> float:
        """When its process started, in Unix milliseconds."""


@dataclass(slots=True)
class DeskRecord:
    """What is remembered of a desk, listed or not."""

    cell: int = -1
    ready: bool = False
    came: float = -math.inf  # when it last became ready
    since: float = 0.0  # processor's start, as listed
    flaps: int = 0
    idle_zero: float = math.inf  # since when it tells that no agent is free

    def settle(self) -> float:
        """Milliseconds that it must be well before it counts again; longer with each relapse."""
        return min(MAX_SETTLE_MS, SETTLE_MS * 2.0 ** max(0, self.flaps - 1)) if self.flaps else 0.0


@dataclass(slots=True)
class ClassShares:
    """Shares of one class: in use, aimed at, and the draw of those in use."""

    now: dict[str, int] = field(default_factory=dict)
    goal: dict[str, int] = field(default_factory=dict)
    draw: RendezvousHash = field(default_factory=lambda: RendezvousHash({}))

    def use(self, shares: dict[str, int]) -> None:
        """Draw by these shares from now on."""
        if shares != self.now:
            self.now, self.draw = shares, RendezvousHash(shares)


class PlanFollower:
    """Steers first choices by a plan; every method takes the clock time in milliseconds first."""

    def __init__(self, settings: api.Settings, offices: tuple[str, ...]) -> None:
        self.settings = settings  # the daemon's own, before any plan
        self.offices = offices
        self.classes = {kind.name: kind for kind in settings.classes}
        self.cold = WarmUp(settings.contract.start_capacity, max(1.0, settings.contract.cold))
        self.followed: FollowedPlan | None = None
        self.mender: Repair | None = None
        self.desks: dict[str, DeskRecord] = {}
        self.steering: dict[str, ClassShares] = {}
        self.stepped = -math.inf
        self.pending_events: list[tuple[str, dict[str, object]]] = []  # log lines: event and facts
        self.told: set[tuple[str, str]] = set()  # what was logged already
        self.others: dict[str, RendezvousHash] = {}  # draws for classes that the plan can't place now

    # -- the plan -----------------------------------------------------------------------------

    def set_plan(self, now: float, followed: FollowedPlan | None) -> None:
        """Follow another plan from now on, or none; the shares in use go over to it whole."""
        self.followed = followed
        self.mender = Repair(followed.problem, followed.plan) if followed else None
        self.told.clear()
        self.steering = {}
        if followed:
            self.steering = {kind.name: ClassShares() for kind in followed.problem.kinds}
            self._aim(now)
            for one in self.steering.values():
                one.use(dict(one.goal))
            self._missing()
        self.others.clear()

    def active(self, now: float) -> FollowedPlan | None:
        """The plan that steers now; one past its end is told of once."""
        if self.followed and now >= self.followed.until_ms:
            self._tell("plan_stale", "")
            return None
        return self.followed

    def _tell(self, event: str, about: str, **facts: object) -> None:
        if (event, about) not in self.told:
            self.told.add((event, about))
            self.pending_events.append((event, facts))

    def _missing(self) -> None:
        """Tell once of planned desks that the list does not have."""
        assert self.followed is not None
        names = {desk for desk, _ in self.followed.plan.placement}
        lost = sorted(name for name in names if name not in self.desks or not self.desks[name].ready)
        if lost:
            self._tell("plan_desks_missing", ",".join(lost), desks=lost)

    # -- what is told ---------------------------------------------------------------------------

    def update_desks(self, now: float, desks: Iterable[ListedDesk]) -> None:
        """The whole list as it is now."""
        present = {one.ident: one for one in desks}
        changed = False
        for name, seen in self.desks.items():
            if seen.ready and (name not in present or present[name].availability != api.Availability.READY):
                seen.ready = False
                seen.flaps = seen.flaps + 1 if now - seen.came < FLAP_RESET_MS else 1
                changed = True
        for name, one in present.items():
            fresh = name not in self.desks
            seen = self.desks.setdefault(name, DeskRecord())
            changed = changed or seen.cell != one.cell or seen.since != one.since_ms
            seen.cell, seen.since = one.cell, one.since_ms
            if one.availability == api.Availability.READY and not seen.ready:
                seen.ready, seen.came = True, -math.inf if fresh else now
                changed = True
        planned = {d for d, _ in self.followed.plan.placement} if self.followed else set()
        for name in [n for n, seen in self.desks.items() if n not in present and n not in planned]:
            del self.desks[name]  # desks are replaced all day
        if changed:
            self.others.clear()
            if self.followed:
                self._aim(now)
                self._step(now, 0)
                self._missing()

    def report_idle_agents(self, now: float, desk: str, idle: float) -> None:
        """A desk told how many agents are free."""
        if (seen := self.desks.get(desk)) is None:
            return
        if idle > 0:
            seen.idle_zero = math.inf
        elif seen.idle_zero == math.inf:
            seen.idle_zero = now

    def step(self, now: float) -> None:
        """Move the shares in use a bounded step; call it at least every STEP_INTERVAL_MS."""
        if self.active(now) is None or now - self.stepped < STEP_INTERVAL_MS:
            return
        self._aim(now)
        self._step(now, MAX_STEP_PERMILLE)
        self.stepped = now

    # -- shares ---------------------------------------------------------------------------------

    def _state(self, now: float, name: str) -> DeskState:
        seen = self.desks.get(name)
        if seen is None or not seen.ready:
            return DeskState(listed=False)
        if now - seen.came < seen.settle():
            return DeskState(listed=False)
        if now - seen.came >= FLAP_RESET_MS:
            seen.flaps = 0
        cold = now - seen.since if seen.since > 0 else -1.0
        return DeskState(cold_ms=cold, full=now - seen.idle_zero >= FULL_AFTER_MS)

    def _aim(self, now: float) -> None:
        """New goals from the repair."""
        followed = self.followed
        assert followed is not None and self.mender is not None
        states = {desk.name: self._state(now, desk.name) for desk in followed.problem.desks}
        capacity = capacities(followed.problem, followed.plan, states, self.cold)
        mended = self.mender.reroute(capacity)
        for kind, steering in self.steering.items():
            goal = district_shares(followed.plan, mended, kind, followed.district)
            steering.goal = goal or self._by_room(followed, kind, capacity)

    def _by_room(self, followed: FollowedPlan, kind: str, capacity: Mapping[str, int]) -> dict[str, int]:
        """A class that the repair leaves without any desk still gets first choices: its desks by their room.

        The module refuses what they can't take; without a first choice it could take none.
        """
        parts = {
            desk: max(1, capacity[desk])
            for desk, given in sorted(followed.plan.placement)
            if given == kind and self.desks.get(desk, DeskRecord()).ready
        }
        return permille(parts) if parts else {}

    def _step(self, now: float, most: int) -> None:
        out = {name for name, seen in self.desks.items() if not seen.ready}
        for steering in self.steering.values():
            gone = frozenset(name for name in steering.now if name in out or name not in self.desks)
            if not gone and _apart(steering.now, steering.goal) < DEADBAND_PERMILLE and steering.now:
                continue
            if not steering.now or gone >= steering.now.keys():
                steering.use(dict(steering.goal))  # nothing to move from
            else:
                steering.use(step_towards(steering.now, steering.goal, most, gone))

    # -- inputs of the module -------------------------------------------------------------------

    def first_choice(self, now: float, kind: str, number: bytes, usual: int) -> int:
        """The pool of first choice for a call; `usual` where no plan steers it."""
        if self.active(now) is None or kind not in self.steering:
            return usual
        desk = self.steering[kind].draw.pick(number)
        if desk is None:
            self._tell("plan_class_unplaced", kind, kind=kind)
            desk = self._other(kind).pick(number)
        return self.desks[desk].cell if desk is not None else usual

    def _other(self, kind: str) -> RendezvousHash:
        """A draw among the listed desks that the settings allow a class; rebuilt when the list changes."""
        if kind not in self.others:
            pools = self.classes[kind].pools if kind in self.classes else None
            self.others[kind] = RendezvousHash(
                {name: 1 for name, seen in self.desks.items() if seen.ready and (pools is None or seen.cell in pools)}
            )
        return self.others[kind]

    def decision_settings(self, now: float) -> api.Settings:
        """The settings with the plan's pools and allowances; the daemon's own where no plan says otherwise.

        A class keeps the settings' pools while none of its planned desks is listed: it must stay served.
        """
        followed = self.active(now)
        if followed is None:
            return self.settings
        classes = []
        for kind in self.settings.classes:
            cells = frozenset(
                self.desks[desk].cell
                for desk, given in followed.plan.placement
                if given == kind.name and desk in self.desks and self.desks[desk].ready
            )
            allowed = cells if kind.pools is None else cells & kind.pools
            classes.append(replace(kind, pools=allowed) if allowed else kind)
        rates = allowances_per_s(followed.problem, followed.plan.flows)
        allowances = self.settings.allowances
        if allowances:  # where offices have none, the module ranks without shares
            allowances = tuple(rates.get(name, old) for name, old in zip(self.offices, allowances, strict=True))
        return replace(self.settings, classes=tuple(classes), allowances=allowances)

    def shares(self) -> dict[str, dict[str, int]]:
        """The shares in use by class, permille; for logs."""
        return {kind: dict(steering.now) for kind, steering in self.steering.items()}


def _apart(one: Mapping[str, int], other: Mapping[str, int]) -> int:
    """Permille of calls by which two sets of shares differ."""
    return sum(abs(one.get(name, 0) - other.get(name, 0)) for name in one.keys() | other.keys()) // 2
