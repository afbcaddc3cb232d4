"""A simulated fleet on a virtual clock, for the tests of staged rollout."""

import random
from collections import Counter

import msgspec

from seamlb.rollout.plan import Agent, Plan, Revision, Stage
from seamlb.rollout.samples import Sample
from seamlb.rollout.state_machine import AgentStatus, RolloutState, RolloutStateMachine

OLD, NEW = (msgspec.structs.replace(Revision(name, ("run", name), "{}"), digest="0") for name in ("old", "new"))


def make_plan(size: int = 4, *stages: Stage, **keys: object) -> Plan:
    chosen = stages or (Stage(1, 10.0, most=60.0), Stage("all", 10.0, most=60.0))
    agents = tuple(Agent(f"a{n}", f"127.0.0.1:{n + 1}") for n in range(size))
    return Plan(OLD, NEW, chosen, agents, **({"settle": 0.0} | keys))  # type: ignore[arg-type]


class SimulatedFleet:
    """Agents that carry out orders at once, and their traffic, on a virtual clock."""

    def __init__(self, plan: Plan, state: RolloutState | None = None) -> None:
        self.now, self.rng = 0.0, random.Random(1)
        self.state = state or RolloutState("c", plan)
        self.machine = RolloutStateMachine(self.state, 0.0)
        self.running = {one.name: OLD.ident for one in plan.agent}
        self.processes: Counter[str] = Counter()
        self.counts = {name: Counter[tuple[str, str]]() for name in self.running}
        self.crashes: Counter[str] = Counter()
        self.failures: dict[str, str] = {}  # agents on which the new revision does not start, and why
        self.silent: set[str] = set()  # agents whose supervisors don't respond
        self.without_metrics: set[str] = set()  # agents whose supervisors respond without metrics
        self.statuses: dict[str, AgentStatus] = {}
        self.desired: dict[str, str] = {}
        self.max_orders = 0  # most orders in one step
        self.refused_share = 0.02  # of the requests of class b, with the new revision
        self.events: list[tuple[str, dict[str, object]]] = []

    def step(self, seconds: float = 1.0) -> None:
        self.now += seconds
        for name, running in self.running.items():
            if name in self.silent:
                continue
            counts = self.counts[name]
            for _ in range(8):
                share = self.refused_share if running == NEW.ident else 0.02
                counts["b", "throttled" if self.rng.random() < share else "fulfilled"] += 1
            sample = Sample(f"{name}{self.processes[name]}", running, self.now, dict(counts), {})
            failure = self.failures.get(name, "") if self.desired.get(name) == NEW.ident else ""
            self.statuses[name] = AgentStatus(
                self.now,
                running,
                True,
                "",
                failure,
                self.desired.get(name, ""),
                self.crashes[name],
                None if name in self.without_metrics else sample,
            )
        orders = self.machine.step(self.now, self.statuses)
        self.events += self.machine.pending_events
        self.machine.pending_events.clear()
        self.max_orders = max(self.max_orders, len(orders))
        for order in orders:
            if order.agent in self.silent:
                continue
            self.desired[order.agent] = order.revision
            if not (order.revision == NEW.ident and order.agent in self.failures):
                self.running[order.agent] = order.revision
                self.processes[order.agent] += 1
                self.counts[order.agent].clear()

    def run_until_over(self, max_steps: int = 300) -> str:
        for _ in range(max_steps):
            self.step()
            if self.state.phase in ("done", "undone"):
                break
        return self.state.phase

    @property
    def rollback_reason(self) -> str:
        return next((str(facts["reason"]) for name, facts in self.events if name == "rollout_back"), "")
