"""Steers the daemon's calls by a plan, and adapts to desks that differ from it; without I/O or a clock.

`PlanFollower` receives the desk list and desks' reports, and is stepped periodically. For each class it keeps the
shares by which a call's first choice is selected. The decision module gets that choice, the classes' pools and the
offices' allowances as its inputs and still decides every send and refusal. docs/operators/planning.md has the rules:

- a desk that drains or leaves the list is not selected any more; its share moves to the repair's desks at once
- a desk that returns is used after it has been ready for a while, longer each time it flaps
- a cold desk gets what its capacity ramp allows; a desk that stays full gets no more than its planned share
- shares move towards those of the repair in bounded steps; small differences are ignored
- a class without a listed desk of the plan is distributed among the listed desks that the settings allow for it
- an expired plan steers no calls: first choices are those of the requests again
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol

from seamlb import api
from seamlb.planning.model import Plan, Problem, allowances_per_s
from seamlb.planning.rendezvous import RendezvousHash
from seamlb.planning.repair import DeskState, Repair, WarmUp, capacities, district_shares, permille, step_towards

STEP_INTERVAL_MS = 500.0  # minimum time between two steps of the shares
MAX_STEP_PERMILLE = 50  # of a class's calls per step, in addition to the shares of removed desks
DEADBAND_PERMILLE = 20  # smaller differences between shares in use and goal are ignored
SETTLE_MS = 2000.0  # a returned desk must be ready for this long before it is used again
MAX_SETTLE_MS = 32_000.0
FLAP_RESET_MS = 60_000.0  # a desk that was ready for this long starts with no flaps
FULL_AFTER_MS = 1000.0  # a desk is full when it has reported no idle agents for this long


@dataclass(slots=True, frozen=True)
class FollowedPlan:
    """A validated plan to follow, and the district of this agent."""

    problem: Problem
    plan: Plan
    district: str
    until_ms: float = math.inf  # Unix milliseconds


class ListedDesk(Protocol):
    """A desk in the desk list."""

    @property
    def ident(self) -> str:
        """The desk's name."""

    @property
    def cell(self) -> int:
        """Its pool."""

    @property
    def availability(self) -> int:
        """Its availability according to the list."""

    @property
    def since_ms(self) -> float:
        """When its process started, in Unix milliseconds."""


@dataclass(slots=True)
class DeskRecord:
    """State kept for a desk, whether listed or not; times are Unix milliseconds."""

    cell: int = -1
    ready: bool = False
    ready_since: float = -math.inf  # when it last became ready
    started_ms: float = 0.0  # start of its process as listed
    flaps: int = 0
    no_idle_since: float = math.inf  # since when it has reported no idle agents

    def settle_ms(self) -> float:
        """Time in ms that it must be ready before it is used again; doubles with each flap."""
        return min(MAX_SETTLE_MS, SETTLE_MS * 2.0 ** max(0, self.flaps - 1)) if self.flaps else 0.0


@dataclass(slots=True)
class ClassShares:
    """Shares of one class in permille: in use and desired, and the selector for those in use."""

    current: dict[str, int] = field(default_factory=dict)
    goal: dict[str, int] = field(default_factory=dict)
    selector: RendezvousHash = field(default_factory=lambda: RendezvousHash({}))

    def use(self, shares: dict[str, int]) -> None:
        """Replace the shares in use."""
        if shares != self.current:
            self.current, self.selector = shares, RendezvousHash(shares)


class PlanFollower:
    """Steers first choices by a plan; the first argument of every method is the clock time in milliseconds."""

    def __init__(self, settings: api.Settings, offices: tuple[str, ...]) -> None:
        self.settings = settings  # the daemon's own, without a plan
        self.offices = offices
        self.classes = {kind.name: kind for kind in settings.classes}
        self.warm_up = WarmUp(settings.contract.start_capacity, max(1.0, settings.contract.cold))
        self.followed: FollowedPlan | None = None
        self.repair: Repair | None = None
        self.desks: dict[str, DeskRecord] = {}
        self.class_shares: dict[str, ClassShares] = {}
        self.last_step = -math.inf
        self.pending_events: list[tuple[str, dict[str, object]]] = []  # log events: name and fields
        self.logged: set[tuple[str, str]] = set()  # events that were logged already
        self.fallbacks: dict[str, RendezvousHash] = {}  # selectors for classes that the plan cannot place now

    # -- the plan -----------------------------------------------------------------------------

    def set_plan(self, now: float, followed: FollowedPlan | None) -> None:
        """Follow another plan from now on, or none; the shares in use are replaced at once."""
        self.followed = followed
        self.repair = Repair(followed.problem, followed.plan) if followed else None
        self.logged.clear()
        self.class_shares = {}
        if followed:
            self.class_shares = {kind.name: ClassShares() for kind in followed.problem.kinds}
            self._update_goals(now)
            for shares in self.class_shares.values():
                shares.use(dict(shares.goal))
            self._log_missing_desks()
        self.fallbacks.clear()

    def active(self, now: float) -> FollowedPlan | None:
        """The plan that steers calls now; the expiry of a plan is logged once."""
        if self.followed and now >= self.followed.until_ms:
            self._log_once("plan_stale", "")
            return None
        return self.followed

    def _log_once(self, event: str, subject: str, **fields: object) -> None:
        if (event, subject) not in self.logged:
            self.logged.add((event, subject))
            self.pending_events.append((event, fields))

    def _log_missing_desks(self) -> None:
        """Log once which planned desks are not ready in the list."""
        assert self.followed is not None
        planned = {desk for desk, _ in self.followed.plan.placement}
        missing = sorted(name for name in planned if name not in self.desks or not self.desks[name].ready)
        if missing:
            self._log_once("plan_desks_missing", ",".join(missing), desks=missing)

    # -- inputs from the agent ------------------------------------------------------------------

    def update_desks(self, now: float, desks: Iterable[ListedDesk]) -> None:
        """Take the complete current list."""
        present = {desk.ident: desk for desk in desks}
        changed = False
        for name, record in self.desks.items():
            if record.ready and (name not in present or present[name].availability != api.Availability.READY):
                record.ready = False
                record.flaps = record.flaps + 1 if now - record.ready_since < FLAP_RESET_MS else 1
                changed = True
        for name, desk in present.items():
            is_new = name not in self.desks
            record = self.desks.setdefault(name, DeskRecord())
            changed = changed or record.cell != desk.cell or record.started_ms != desk.since_ms
            record.cell, record.started_ms = desk.cell, desk.since_ms
            if desk.availability == api.Availability.READY and not record.ready:
                record.ready, record.ready_since = True, -math.inf if is_new else now
                changed = True
        planned = {d for d, _ in self.followed.plan.placement} if self.followed else set()
        for name in [n for n, record in self.desks.items() if n not in present and n not in planned]:
            del self.desks[name]  # bounds the memory: desks are replaced all day under new names
        if changed:
            self.fallbacks.clear()
            if self.followed:
                self._update_goals(now)
                self._step(now, 0)
                self._log_missing_desks()

    def report_idle_agents(self, now: float, desk: str, idle: float) -> None:
        """Take the number of idle agents that a desk reported."""
        if (record := self.desks.get(desk)) is None:
            return
        if idle > 0:
            record.no_idle_since = math.inf
        elif record.no_idle_since == math.inf:
            record.no_idle_since = now

    def step(self, now: float) -> None:
        """Move the shares in use by a bounded step; call it at least every STEP_INTERVAL_MS."""
        if self.active(now) is None or now - self.last_step < STEP_INTERVAL_MS:
            return
        self._update_goals(now)
        self._step(now, MAX_STEP_PERMILLE)
        self.last_step = now

    # -- shares ---------------------------------------------------------------------------------

    def _state(self, now: float, name: str) -> DeskState:
        record = self.desks.get(name)
        if record is None or not record.ready:
            return DeskState(listed=False)
        if now - record.ready_since < record.settle_ms():
            return DeskState(listed=False)
        if now - record.ready_since >= FLAP_RESET_MS:
            record.flaps = 0
        cold_ms = now - record.started_ms if record.started_ms > 0 else -1.0
        return DeskState(cold_ms=cold_ms, full=now - record.no_idle_since >= FULL_AFTER_MS)

    def _update_goals(self, now: float) -> None:
        """Set the goals to the shares of the repair."""
        followed = self.followed
        assert followed is not None and self.repair is not None
        states = {desk.name: self._state(now, desk.name) for desk in followed.problem.desks}
        capacity = capacities(followed.problem, followed.plan, states, self.warm_up)
        repaired = self.repair.reroute(capacity)
        for kind, shares in self.class_shares.items():
            goal = district_shares(followed.plan, repaired, kind, followed.district)
            shares.goal = goal or self._shares_by_capacity(followed, kind, capacity)

    def _shares_by_capacity(self, followed: FollowedPlan, kind: str, capacity: Mapping[str, int]) -> dict[str, int]:
        """Shares by capacity for a class that the repair leaves without a desk, so that it still has first choices.

        The decision module refuses calls beyond the capacity; without a first choice it could accept none.
        """
        capacities_by_desk = {
            desk: max(1, capacity[desk])
            for desk, placed_class in sorted(followed.plan.placement)
            if placed_class == kind and self.desks.get(desk, DeskRecord()).ready
        }
        return permille(capacities_by_desk) if capacities_by_desk else {}

    def _step(self, now: float, max_step: int) -> None:
        unready = {name for name, record in self.desks.items() if not record.ready}
        for shares in self.class_shares.values():
            removed = frozenset(name for name in shares.current if name in unready or name not in self.desks)
            if not removed and _share_difference(shares.current, shares.goal) < DEADBAND_PERMILLE and shares.current:
                continue
            if not shares.current or removed >= shares.current.keys():
                shares.use(dict(shares.goal))  # no shares are left to move from
            else:
                shares.use(step_towards(shares.current, shares.goal, max_step, removed))

    # -- inputs of the decision module ----------------------------------------------------------

    def first_choice(self, now: float, kind: str, number: bytes, default: int) -> int:
        """The pool of first choice for a call; `default` if no plan steers it."""
        if self.active(now) is None or kind not in self.class_shares:
            return default
        desk = self.class_shares[kind].selector.pick(number)
        if desk is None:
            self._log_once("plan_class_unplaced", kind, kind=kind)
            desk = self._fallback(kind).pick(number)
        return self.desks[desk].cell if desk is not None else default

    def _fallback(self, kind: str) -> RendezvousHash:
        """Selector among the listed desks that the settings allow for a class; rebuilt when the list changes."""
        if kind not in self.fallbacks:
            pools = self.classes[kind].pools if kind in self.classes else None
            self.fallbacks[kind] = RendezvousHash(
                {name: 1 for name, desk in self.desks.items() if desk.ready and (pools is None or desk.cell in pools)}
            )
        return self.fallbacks[kind]

    def decision_settings(self, now: float) -> api.Settings:
        """The settings with the plan's pools and allowances; the daemon's own settings if no plan is active.

        A class keeps the pools of the settings while none of its planned desks is ready, so that it is still served.
        """
        followed = self.active(now)
        if followed is None:
            return self.settings
        classes = []
        for kind in self.settings.classes:
            cells = frozenset(
                self.desks[desk].cell
                for desk, placed_class in followed.plan.placement
                if placed_class == kind.name and desk in self.desks and self.desks[desk].ready
            )
            allowed = cells if kind.pools is None else cells & kind.pools
            classes.append(replace(kind, pools=allowed) if allowed else kind)
        rates = allowances_per_s(followed.problem, followed.plan.flows)
        allowances = self.settings.allowances
        if allowances:  # without allowances the decision module does not rank by share
            allowances = tuple(rates.get(name, old) for name, old in zip(self.offices, allowances, strict=True))
        return replace(self.settings, classes=tuple(classes), allowances=allowances)

    def shares(self) -> dict[str, dict[str, int]]:
        """The shares in use by class, in permille; for logs."""
        return {kind: dict(shares.current) for kind, shares in self.class_shares.items()}


def _share_difference(first: Mapping[str, int], second: Mapping[str, int]) -> int:
    """The part of the calls, in permille, by which two sets of shares differ."""
    return sum(abs(first.get(name, 0) - second.get(name, 0)) for name in first.keys() | second.keys()) // 2
