"""The course of a change: what a conductor orders next, and when it stops. Pure; times are seconds given in.

It is led by what keepers say, not by what was ordered: each step looks at the whole fleet and orders what is missing.
So a conductor that was killed anywhere goes on by taking the next step, and an order given twice is given once.

Only a change's place is kept on disk: phase, stage and step. Evidence is not: after a new start the stage's bake
begins anew, as no verdict may rest on what nobody can tell any more.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

import msgspec

from seamlb.rollout.figures import Evidence, Sample
from seamlb.rollout.judge import worse
from seamlb.rollout.plan import Plan

Phase = Literal["forward", "paused", "back", "done", "undone"]
OVER = ("done", "undone")
FRESH = 3.0  # seconds within which every agent that is compared must have been heard for a stage to pass
RETRY = 5.0  # seconds between two orders to an agent that did not come up on its way back


class RolloutState(msgspec.Struct, forbid_unknown_fields=True):
    """Where a change stands: all that is kept of it."""

    change: str  # its name
    plan: Plan
    seq: int = 1  # counts the times that this was written
    phase: Phase = "forward"
    stage: int = 0
    reason: str = ""  # why it goes back, or is over
    after: str = ""  # the change before this one, whose end a keeper may not have heard of


@dataclass(slots=True, frozen=True)
class AgentStatus:
    """What is known of one agent."""

    heard: float  # when its keeper last answered
    running: str = ""  # the revision that serves; empty: none
    ready: bool = False
    coming: str = ""  # the revision that is being brought up beside it
    failed: str = ""  # why the last order came to nothing; empty once another was given
    desired: str = ""  # the last order
    crashes: int = 0  # since the keeper's start
    sample: Sample | None = None


@dataclass(slots=True, frozen=True)
class Order:
    """Have an agent run a revision."""

    agent: str
    revision: str


class RolloutStateMachine:
    """One change, step by step."""

    def __init__(self, place: RolloutState, now: float) -> None:
        self.place = place
        self.plan = place.plan
        self.names = [one.name for one in place.plan.agent]
        self.evidence = Evidence()
        self.said: list[tuple[str, dict[str, object]]] = []  # log lines that are due: event and facts
        self.began = now  # this stage, or this conductor
        self.baked: float | None = None  # since when all agents of the stage run the new revision
        self.ordered: dict[str, tuple[str, float]] = {}
        self.since: dict[str, float] = {}  # when an agent was first seen to run the new revision
        self.base: dict[str, int] = {}  # crashes told when the stage began
        self.waits = ""  # what a stage that could pass waits for

    # -- what follows from the place ----------------------------------------------------------

    @property
    def target(self) -> list[str]:
        """The agents that should run the new revision now."""
        return self.touched if self.place.phase in ("forward", "paused") else []

    @property
    def touched(self) -> list[str]:
        """All agents that may ever have got an order."""
        return self.names[: self.plan.sizes()[self.place.stage]]

    def _enter(self, phase: Phase, now: float, reason: str = "") -> None:
        self.place.phase, self.place.reason = phase, reason or self.place.reason
        self.place.seq += 1
        self.began, self.baked = now, None
        self.ordered.clear()
        self.said.append((f"rollout_{phase}", {"stage": self.place.stage, "reason": reason}))

    # -- the operator -------------------------------------------------------------------------

    def wish(self, what: str, now: float) -> bool:
        """`pause`, `resume` or `abort`; False if the phase does not allow it. Asked twice it changes nothing more."""
        phase = self.place.phase
        if what == "pause" and phase == "forward":
            self._enter("paused", now)
        elif what == "resume" and phase == "paused":
            self._enter("forward", now)
            self.evidence.begin()
        elif what == "abort" and phase in ("forward", "paused"):
            self._enter("back", now, "an operator called it off")
        else:
            return (what, phase) in (
                ("pause", "paused"),
                ("resume", "forward"),
                ("abort", "back"),
                ("abort", "undone"),
            )
        return True

    # -- the fleet ----------------------------------------------------------------------------

    def step(self, now: float, views: Mapping[str, AgentStatus]) -> list[Order]:
        """Look at the whole fleet; what is ordered now."""
        if self.place.phase in OVER:
            return []
        self._hear(now, views)
        if self.place.phase in ("forward", "paused") and (reason := self._trouble(now, views)):
            self._enter("back", now, reason)
        if self.place.phase == "forward" and self._passes(now, views):
            self._next(now, views)
        if self.place.phase == "back" and self._undone(views):
            self._enter("undone", now)
        return self._orders(now, views) if self.place.phase in ("forward", "back") else []

    def _is(self, views: Mapping[str, AgentStatus], name: str, revision: str) -> bool:
        """Does it run that revision alone? An agent that nobody heard of is none of which this is known."""
        view = views.get(name)
        return view is not None and view.running == revision and not view.coming and view.ready

    def _undone(self, views: Mapping[str, AgentStatus]) -> bool:
        """Is everything as it was? Each was asked anew since the way back began: an order may have come late."""
        return all(
            self._is(views, name, self.plan.old.ident) and views[name].heard >= self.began for name in self.touched
        )

    def _hear(self, now: float, views: Mapping[str, AgentStatus]) -> None:
        new = self.plan.new.ident
        target = self.target
        before = self.evidence.strata[-1].changed
        done = frozenset(
            name
            for name in target
            if (view := views.get(name)) and (view.running == new or (not view.running and name in before))
        )  # what crashed keeps its side
        self.evidence.move(done)
        self.since = {name: self.since.get(name, now) for name in done}
        for name, view in views.items():
            self.base.setdefault(name, view.crashes)
            if view.sample:
                revision = new if name in done else self.plan.old.ident
                self.evidence.hear(name, view.sample, view.crashes, revision, self._settled(name, now))

    def _settled(self, name: str, now: float) -> bool:
        """Is an agent judged yet? One that has just gone over learns desks anew, whatever its revision."""
        return name not in self.since or now - self.since[name] >= self.plan.settle

    def _trouble(self, now: float, views: Mapping[str, AgentStatus]) -> str:
        """Why the change has to stop; empty if it has not."""
        new = self.plan.new.ident
        stage = self.plan.stage[self.place.stage]
        for name in self.target:
            view = views.get(name)
            heard = max(view.heard if view else self.began, self.began)
            if now - heard > self.plan.silence:
                return f"{name}: nothing heard for {now - heard:.0f} s"
            if view is None:
                continue
            if view.failed and view.desired == new and view.heard > self.ordered.get(name, ("", math.inf))[1]:
                return f"{name}: {view.failed}"
            if (crashed := view.crashes - self.base[name]) > self.plan.crashes and view.running in (new, ""):
                return f"{name}: ended by itself {crashed} times in this stage"
            sampled = max(view.sample.at if view.sample else self.began, self.began, self.baked or self.began)
            if self.baked is not None and now - sampled > self.plan.silence:
                return f"{name}: no figures for {now - sampled:.0f} s"
        if found := worse(self.evidence, self.plan.bearable, self.plan.false_stop / len(self.plan.stage)):
            return f"worse: {found}"
        if self.place.phase == "forward" and now - self.began > stage.most:
            return f"stage {self.place.stage} not over after {stage.most:g} s: {self.waits or 'agents not changed'}"
        return ""

    def _passes(self, now: float, views: Mapping[str, AgentStatus]) -> bool:
        """Is this stage over, and well?"""
        target = self.target
        if not all(self._is(views, name, self.plan.new.ident) for name in target):
            self.baked, self.waits = None, "agents not changed"
            return False
        if self.baked is None:
            if not all(self._settled(name, now) for name in target):
                self.waits = "agents settle"
                return False
            self.baked = now
        stage = self.plan.stage[self.place.stage]
        # No verdict from silence: who is compared must have spoken lately, the changed ones all, of the others one.
        deaf = [name for name in target if not self._fresh(now, views[name])]
        rest = [name for name in self.names if name not in target]
        few = {
            kind: (got, least) for kind, least in stage.least.items() if (got := self.evidence.ended(kind)[0]) < least
        }
        if deaf:
            self.waits = f"no fresh figures from {', '.join(deaf)}"
        elif rest and not any(name in views and self._fresh(now, views[name]) for name in rest):
            self.waits = "no fresh figures from any agent to compare with"
        elif few:
            self.waits = ", ".join(f"{kind}: {got} of {least} requests" for kind, (got, least) in few.items())
        elif now - self.baked < stage.bake:
            self.waits = "bakes"
        else:
            self.waits = ""
        return not self.waits

    @staticmethod
    def _fresh(now: float, view: AgentStatus) -> bool:
        return view.sample is not None and now - view.sample.at <= FRESH and view.sample.revision == view.running

    def _next(self, now: float, views: Mapping[str, AgentStatus]) -> None:
        self.said.append(
            (
                "rollout_stage",
                {"stage": self.place.stage, "agents": len(self.target), "seconds": round(now - self.began, 1)},
            )
        )
        if self.place.stage + 1 == len(self.plan.stage):
            return self._enter("done", now, "every stage held")
        self.place.stage += 1
        self.place.seq += 1
        self.began, self.baked = now, None
        self.base = {name: view.crashes for name, view in views.items()}
        self.evidence.begin()

    def _orders(self, now: float, views: Mapping[str, AgentStatus]) -> list[Order]:
        """What is missing, within what may be in motion at a time."""
        back = self.place.phase == "back"
        revision = self.plan.old.ident if back else self.plan.new.ident
        moving = {name for name, view in views.items() if view.coming}
        # An order whose effect nobody has seen yet counts as in motion: the answer may be on its way.
        moving |= {
            name
            for name, (wanted, at) in self.ordered.items()
            if now - at < RETRY and not (name in views and views[name].desired == wanted and views[name].heard > at)
        }
        down = {
            name
            for name in self.names
            if name not in views or not views[name].ready or now - views[name].heard > FRESH
        } - moving
        orders = []
        for name in self.touched if back else self.target:
            view = views.get(name)
            if view is None or (name in moving and not (back and view.coming == self.plan.new.ident)):
                continue
            if self._is(views, name, revision) or (view.running == revision and not view.coming and back):
                continue
            if name in self.ordered and now - self.ordered[name][1] < RETRY:
                continue
            if not back and len(down - {name}) > self.plan.unavailable:
                break  # on the way back this does not hold: what is down may be down because of the change
            if len(moving | {name}) > self.plan.surge:
                break
            moving.add(name)
            self.ordered[name] = (revision, now)
            orders.append(Order(name, revision))
        return orders
