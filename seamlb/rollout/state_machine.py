"""State machine of a rollout: which orders are due, and when it stops. Pure; times are in seconds.

It is driven by the reported status of the whole fleet, not by the orders given: each step orders what is missing. So
a controller that was killed at any point continues with its next step, and repeated orders are harmless.

Only phase, stage and sequence number are persisted. Samples are not: after a restart of the controller the stage's
bake time starts again, as no verdict may rest on samples that are lost.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

import msgspec

from seamlb.rollout.analysis import find_regression
from seamlb.rollout.plan import Plan
from seamlb.rollout.samples import Evidence, Sample

Phase = Literal["forward", "paused", "back", "done", "undone"]
FINAL_PHASES = ("done", "undone")
MAX_AGE_S = 3.0  # of the samples that a stage needs to pass, and of the status of an agent that counts as ready
RETRY_S = 5.0  # between two orders to the same agent


class RolloutState(msgspec.Struct, forbid_unknown_fields=True):
    """The persisted state of a rollout."""

    change: str  # the rollout's name
    plan: Plan
    seq: int = 1  # sequence number, incremented with every modification
    phase: Phase = "forward"
    stage: int = 0
    reason: str = ""  # why it is rolled back, or has finished
    after: str = ""  # the previous rollout, whose end a supervisor may have missed


@dataclass(slots=True, frozen=True)
class AgentStatus:
    """What is known about one agent."""

    as_of: float  # when the last request that its supervisor answered was sent
    running: str = ""  # the revision that serves; empty if none does
    ready: bool = False
    starting: str = ""  # the revision of the process that starts beside it
    failure: str = ""  # why the last order failed; empty after a new order
    desired: str = ""  # the revision of the last order
    crashes: int = 0  # since the supervisor's start
    sample: Sample | None = None


@dataclass(slots=True, frozen=True)
class Order:
    """Have an agent run a revision."""

    agent: str
    revision: str


class RolloutStateMachine:
    """One rollout, step by step."""

    def __init__(self, state: RolloutState, now: float) -> None:
        self.state = state
        self.plan = state.plan
        self.names = [one.name for one in state.plan.agent]
        self.evidence = Evidence()
        self.pending_events: list[tuple[str, dict[str, object]]] = []  # to be logged: event and fields
        self.start = now  # of this stage or phase, or of this controller if that is later
        self.bake_start: float | None = None  # since when all agents of the stage run the new revision
        self.ordered: dict[str, tuple[str, float]] = {}  # by agent: revision and time
        self.changed_at: dict[str, float] = {}  # when an agent was first seen running the new revision
        self.crash_base: dict[str, int] = {}  # by agent, when the stage began
        self.blocker = ""  # what keeps the stage from passing

    @property
    def targets(self) -> list[str]:
        """The agents that should run the new revision now."""
        return self.affected if self.state.phase in ("forward", "paused") else []

    @property
    def affected(self) -> list[str]:
        """All agents that may have received an order."""
        return self.names[: self.plan.stage_sizes()[self.state.stage]]

    def _enter_phase(self, phase: Phase, now: float, reason: str = "") -> None:
        self.state.phase, self.state.reason = phase, reason or self.state.reason
        self.state.seq += 1
        self.start, self.bake_start = now, None
        self.ordered.clear()
        self.pending_events.append((f"rollout_{phase}", {"stage": self.state.stage, "reason": reason}))

    def request(self, command: str, now: float) -> bool:
        """`pause`, `resume` or `abort`; False if the phase does not allow it. Repeating a command has no effect."""
        phase = self.state.phase
        if command == "pause" and phase == "forward":
            self._enter_phase("paused", now)
        elif command == "resume" and phase == "paused":
            self._enter_phase("forward", now)
            self.evidence.start_stage()
        elif command == "abort" and phase in ("forward", "paused"):
            self._enter_phase("back", now, "aborted by an operator")
        else:
            return (command, phase) in (
                ("pause", "paused"),
                ("resume", "forward"),
                ("abort", "back"),
                ("abort", "undone"),
            )
        return True

    def step(self, now: float, fleet: Mapping[str, AgentStatus]) -> list[Order]:
        """Evaluate the status of the whole fleet and return the orders that are due."""
        if self.state.phase in FINAL_PHASES:
            return []
        self._collect_samples(now, fleet)
        if self.state.phase in ("forward", "paused") and (reason := self._stop_reason(now, fleet)):
            self._enter_phase("back", now, reason)
        if self.state.phase == "forward" and self._stage_passed(now, fleet):
            self._finish_stage(now, fleet)
        if self.state.phase == "back" and self._rolled_back(fleet):
            self._enter_phase("undone", now)
        return self._due_orders(now, fleet) if self.state.phase in ("forward", "back") else []

    def _runs(self, fleet: Mapping[str, AgentStatus], name: str, revision: str) -> bool:
        """Whether an agent is known to run that revision and no other; False if its status is unknown."""
        agent = fleet.get(name)
        return agent is not None and agent.running == revision and not agent.starting and agent.ready

    def _rolled_back(self, fleet: Mapping[str, AgentStatus]) -> bool:
        """Whether all agents run the old revision, by a poll after the rollback began: an order may arrive late."""
        return all(
            self._runs(fleet, name, self.plan.old.ident) and fleet[name].as_of >= self.start for name in self.affected
        )

    def _collect_samples(self, now: float, fleet: Mapping[str, AgentStatus]) -> None:
        new = self.plan.new.ident
        target = self.targets
        before = self.evidence.strata[-1].changed
        changed = frozenset(
            name
            for name in target
            if (agent := fleet.get(name)) and (agent.running == new or (not agent.running and name in before))
        )  # an agent whose process crashed stays on its side
        self.evidence.set_changed(changed)
        self.changed_at = {name: self.changed_at.get(name, now) for name in changed}
        for name, agent in fleet.items():
            self.crash_base.setdefault(name, agent.crashes)
            if agent.sample:
                revision = new if name in changed else self.plan.old.ident
                self.evidence.add_sample(name, agent.sample, agent.crashes, revision, self._settled(name, now))

    def _settled(self, name: str, now: float) -> bool:
        """Whether an agent is compared yet: after a switch of revision it first has to learn its desks again."""
        return name not in self.changed_at or now - self.changed_at[name] >= self.plan.settle

    def _stop_reason(self, now: float, fleet: Mapping[str, AgentStatus]) -> str:
        """Why the rollout has to stop; empty if it may go on."""
        new = self.plan.new.ident
        stage = self.plan.stage[self.state.stage]
        for name in self.targets:
            agent = fleet.get(name)
            answered = max(agent.as_of if agent else self.start, self.start)
            if now - answered > self.plan.silence:
                return f"{name}: no answer for {now - answered:.0f} s"
            if agent is None:
                continue
            if agent.failure and agent.desired == new and agent.as_of > self.ordered.get(name, ("", math.inf))[1]:
                return f"{name}: {agent.failure}"
            if (crashes := agent.crashes - self.crash_base[name]) > self.plan.crashes and agent.running in (new, ""):
                return f"{name}: crashed {crashes} times in this stage"
            last = max(agent.sample.as_of if agent.sample else self.start, self.start, self.bake_start or self.start)
            if self.bake_start is not None and now - last > self.plan.silence:
                return f"{name}: no metrics for {now - last:.0f} s"
        if found := find_regression(self.evidence, self.plan.bearable, self.plan.false_stop / len(self.plan.stage)):
            return f"worse: {found}"
        if self.state.phase == "forward" and now - self.start > stage.most:
            return f"stage {self.state.stage} not over after {stage.most:g} s: {self.blocker or 'agents not changed'}"
        return ""

    def _stage_passed(self, now: float, fleet: Mapping[str, AgentStatus]) -> bool:
        """Whether this stage is over and may be followed by the next."""
        target = self.targets
        if not all(self._runs(fleet, name, self.plan.new.ident) for name in target):
            self.bake_start, self.blocker = None, "agents not changed"
            return False
        if self.bake_start is None:
            if not all(self._settled(name, now) for name in target):
                self.blocker = "agents settling"
                return False
            self.bake_start = now
        stage = self.plan.stage[self.state.stage]
        # No verdict without data: every changed agent and at least one of the others must have a recent sample.
        stale = [name for name in target if not self._recent(now, fleet[name])]
        rest = [name for name in self.names if name not in target]
        missing = {
            kind: (n, least) for kind, least in stage.least.items() if (n := self.evidence.completed(kind)[0]) < least
        }
        if stale:
            self.blocker = f"no recent metrics from {', '.join(stale)}"
        elif rest and not any(name in fleet and self._recent(now, fleet[name]) for name in rest):
            self.blocker = "no recent metrics from any unchanged agent"
        elif missing:
            self.blocker = ", ".join(f"{kind}: {n} of {least} requests" for kind, (n, least) in missing.items())
        elif now - self.bake_start < stage.bake:
            self.blocker = "bake time"
        else:
            self.blocker = ""
        return not self.blocker

    @staticmethod
    def _recent(now: float, agent: AgentStatus) -> bool:
        return (
            agent.sample is not None
            and now - agent.sample.as_of <= MAX_AGE_S
            and agent.sample.revision == agent.running
        )

    def _finish_stage(self, now: float, fleet: Mapping[str, AgentStatus]) -> None:
        self.pending_events.append(
            (
                "rollout_stage",
                {"stage": self.state.stage, "agents": len(self.targets), "seconds": round(now - self.start, 1)},
            )
        )
        if self.state.stage + 1 == len(self.plan.stage):
            return self._enter_phase("done", now, "every stage passed")
        self.state.stage += 1
        self.state.seq += 1
        self.start, self.bake_start = now, None
        self.crash_base = {name: agent.crashes for name, agent in fleet.items()}
        self.evidence.start_stage()

    def _due_orders(self, now: float, fleet: Mapping[str, AgentStatus]) -> list[Order]:
        """The missing orders, within the limit of agents that may be in transition at a time."""
        back = self.state.phase == "back"
        revision = self.plan.old.ident if back else self.plan.new.ident
        moving = {name for name, agent in fleet.items() if agent.starting}
        # An order whose effect is not visible yet counts as in transition: its answer may be on the way.
        moving |= {
            name
            for name, (wanted, at) in self.ordered.items()
            if now - at < RETRY_S and not (name in fleet and fleet[name].desired == wanted and fleet[name].as_of > at)
        }
        down = {
            name
            for name in self.names
            if name not in fleet or not fleet[name].ready or now - fleet[name].as_of > MAX_AGE_S
        } - moving
        orders = []
        for name in self.affected if back else self.targets:
            agent = fleet.get(name)
            if agent is None or (name in moving and not (back and agent.starting == self.plan.new.ident)):
                continue
            if self._runs(fleet, name, revision) or (agent.running == revision and not agent.starting and back):
                continue
            if name in self.ordered and now - self.ordered[name][1] < RETRY_S:
                continue
            if not back and len(down - {name}) > self.plan.unavailable:
                break  # not checked in a rollback: the rollout itself may be why agents are down
            if len(moving | {name}) > self.plan.surge:
                break
            moving.add(name)
            self.ordered[name] = (revision, now)
            orders.append(Order(name, revision))
        return orders
