"""A fleet that changes on paper, for the tests of the rolling change."""

import random
from collections import Counter

import msgspec

from seamlb.rollout.change import AgentStatus, RolloutState, RolloutStateMachine
from seamlb.rollout.figures import Sample
from seamlb.rollout.plan import Agent, Plan, Revision, Stage

OLD, NEW = (msgspec.structs.replace(Revision(name, ("run", name), "{}"), digest="0") for name in ("old", "new"))


def plan(size: int = 4, *stages: Stage, **keys: object) -> Plan:
    told = stages or (Stage(1, 10.0, most=60.0), Stage("all", 10.0, most=60.0))
    agents = tuple(Agent(f"a{n}", f"127.0.0.1:{n + 1}") for n in range(size))
    return Plan(OLD, NEW, told, agents, **({"settle": 0.0} | keys))  # type: ignore[arg-type]


class Toy:
    """A fleet of agents that do what they are told at once, and their traffic, on a clock of its own."""

    def __init__(self, told: Plan, place: RolloutState | None = None) -> None:
        self.now, self.rng = 0.0, random.Random(1)
        self.place = place or RolloutState("c", told)
        self.course = RolloutStateMachine(self.place, 0.0)
        self.runs = {one.name: OLD.ident for one in told.agent}
        self.processes: Counter[str] = Counter()
        self.counts = {name: Counter[tuple[str, str]]() for name in self.runs}
        self.crashes: Counter[str] = Counter()
        self.failing: dict[str, str] = {}  # agents on which the new revision does not come up, and why
        self.silent: set[str] = set()  # keepers that don't answer
        self.blind: set[str] = set()  # keepers that answer without figures
        self.views: dict[str, AgentStatus] = {}
        self.wanted: dict[str, str] = {}
        self.most = 0  # agents ordered in one step
        self.refuses = 0.02  # share that the new revision refuses of class b
        self.events: list[tuple[str, dict[str, object]]] = []

    def step(self, seconds: float = 1.0) -> None:
        self.now += seconds
        for name, running in self.runs.items():
            if name in self.silent:
                continue
            counts = self.counts[name]
            for _ in range(8):
                share = self.refuses if running == NEW.ident else 0.02
                counts["b", "throttled" if self.rng.random() < share else "fulfilled"] += 1
            sample = Sample(f"{name}{self.processes[name]}", running, self.now, dict(counts), {})
            failed = self.failing.get(name, "") if self.wanted.get(name) == NEW.ident else ""
            self.views[name] = AgentStatus(
                self.now,
                running,
                True,
                "",
                failed,
                self.wanted.get(name, ""),
                self.crashes[name],
                None if name in self.blind else sample,
            )
        orders = self.course.step(self.now, self.views)
        self.events += self.course.said
        self.course.said.clear()
        self.most = max(self.most, len(orders))
        for one in orders:
            if one.agent in self.silent:
                continue
            self.wanted[one.agent] = one.revision
            if not (one.revision == NEW.ident and one.agent in self.failing):
                self.runs[one.agent] = one.revision
                self.processes[one.agent] += 1
                self.counts[one.agent].clear()

    def until_over(self, most: int = 300) -> str:
        for _ in range(most):
            self.step()
            if self.place.phase in ("done", "undone"):
                break
        return self.place.phase

    @property
    def back(self) -> str:
        return next((str(facts["reason"]) for name, facts in self.events if name == "rollout_back"), "")
