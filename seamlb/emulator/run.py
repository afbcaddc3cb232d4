"""One run: a planning problem played with a policy and a scenario, and what was carried of it."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import replace

from seamlb import api, log
from seamlb.emulator import clock
from seamlb.emulator.scenario import (
    LATE,
    Policy,
    Result,
    Scenario,
    Trouble,
    kinds,
    offices,
    settings,
)
from seamlb.emulator.standin import StandinDesk, stream
from seamlb.emulator.world import REPORT_EVERY, EmulatedDesks, Person
from seamlb.planning.draw import RendezvousHash
from seamlb.planning.follow import FollowedPlan, PlanFollower
from seamlb.planning.model import PERMILLE, Problem, weights
from seamlb.plugins.advisor import PluginAdvisor
from seamlb.plugins.chain import Chain
from seamlb.plugins.checking import compile_rules
from seamlb.plugins.host import Grant, Plugin
from seamlb.plugins.machine import Interpreter
from seamlb.routing.agent import Agent
from seamlb.routing.model import Desk, Request

PATIENCE = 0.35  # of the class's deadline, for one try
NUMBERS = 2000  # that are called
DRAIN = 30.0  # seconds after the last arrival


class World:
    """All of one run's agents, desks and callers."""

    def __init__(self, problem: Problem, policy: Policy, scenario: Scenario, seed: int, seconds: float) -> None:
        self.problem, self.policy, self.scenario, self.seed = problem, policy, scenario, seed
        self.until, self.redials = seconds, 3
        self.loop = asyncio.get_running_loop()
        self.people: list[Person] = []
        self.broken: list[str] = []
        self.late = 0
        self.cells = {name: place for place, name in enumerate(sorted(problem.desk))}
        self.since = dict.fromkeys(self.cells, 0.0)
        self.phase = dict.fromkeys(self.cells, api.Availability.READY)
        opened = {desk for desk, _ in policy.plan.placement}
        contract = settings(problem, 1, 0).contract
        self.desks = {
            name: StandinDesk(name, one.agents, one.rate_milli / 1000.0, contract, stream(seed, "desk", name))
            for name, one in sorted(problem.desk.items())
            if name in opened
        }
        for name, one in self.desks.items():
            if problem.desk[name].cold:
                one.restart()
                self.since[name] = 1.0
        self.agents: dict[str, Agent] = {}
        self.clients: dict[str, EmulatedDesks] = {}
        for place, district in enumerate(sorted(problem.districts)):
            self._agent(place, district)
        self.usual = {pair: RendezvousHash(units) for pair, units in weights(problem, policy.plan.flows).items()}
        spread: dict[str, Counter[str]] = defaultdict(Counter)
        for (kind, _), units in weights(problem, policy.plan.flows).items():
            spread[kind].update(units)
        for desk, kind in sorted(policy.plan.placement):
            spread[kind].setdefault(desk, 0)
        self.anywhere = {kind: RendezvousHash({d: u or 1 for d, u in one.items()}) for kind, one in spread.items()}

    def now(self) -> float:
        """The virtual time in milliseconds."""
        return self.loop.time() * 1000.0

    def _agent(self, place: int, district: str) -> None:
        problem, policy = self.problem, self.policy
        told = settings(problem, len(problem.districts), place)
        pools = {
            k.name: frozenset(self.cells[d] for d, kind in policy.plan.placement if kind == k.name)
            for k in problem.kinds
        }
        told = replace(told, classes=tuple(replace(c, pools=pools[c.name] or None) for c in told.classes))
        guide = None
        if policy.mended:
            guide = PlanFollower(told, tuple(o.name for o in offices(problem)))
            guide.set_plan(0.0, FollowedPlan(problem, policy.plan, district))
        advisor = self._advisor(told) if policy.rules else None
        agent = Agent(told, self.seed * 1000 + place, clock=self.now, steering=guide, advisor=advisor)
        client = EmulatedDesks(lambda desk: self.far(district, desk), self.holding)
        client.desks = self.desks
        agent.desks = client
        self.agents[district], self.clients[district] = agent, client

    def _advisor(self, told: api.Settings) -> PluginAdvisor:
        program = compile_rules(self.policy.rules)
        names = [one.name for one in offices(self.problem)]
        top = max(told.classes, key=lambda kind: kind.worth).name
        chain = Chain(
            20_000,
            1.0,
            [kind.name for kind in told.classes],
            names,
            top,
            max(kind.deadline for kind in told.classes),
            lambda name, facts: None,
            lambda: 0.0,
        )
        chain.load(0.0, Plugin(program, Interpreter(program), Grant(max_share=1.0)))
        for name, of in self.scenario.states:
            chain.set_state(name, of, True)
        return PluginAdvisor(chain, told, names, self.now)

    def far(self, district: str, desk: str) -> float:
        """Seconds that a message takes between a district and a server."""
        return self.problem.latency_us(district, self.problem.desk[desk].district) / 1e6 + 0.0005

    def holding(self, request: Request, desk: str) -> float:
        """Mean seconds: longer where the class is the desk's second choice."""
        mean = self.problem.kind[request.class_name].holding_ms / 1000.0
        second = request.class_name in self.problem.desk[desk].second
        return mean * self.problem.second_choice / PERMILLE if second else mean

    # -- the day ----------------------------------------------------------------------------------

    def push(self) -> None:
        """The list as it is, told to every agent."""
        listed = [
            Desk(name, "", 0, self.cells[name], self.phase[name], self.since[name])
            for name in self.desks
            if self.phase[name] != api.Availability.GONE
        ]
        for agent in self.agents.values():
            agent.list_changed(api.Scope.FULL, listed)

    def trouble(self, one: Trouble) -> None:
        """Begin one trouble of the scenario."""
        desk = self.desks.get(one.desk)
        if desk is None:
            return  # this policy never opened it
        lag = self.scenario.list_lag
        match one.what:
            case "crash":
                desk.crash()
                self.loop.call_later(lag, self._list, one.desk, api.Availability.GONE, self.since[one.desk])
            case "return":
                desk.restart()
                self.loop.call_later(lag, self._list, one.desk, api.Availability.READY, self.now())
            case "drain":
                self._list(one.desk, api.Availability.DRAINING, self.since[one.desk])
            case "hang" | "wake":
                desk.hang(one.what == "hang")
            case _:
                desk.slow = one.factor

    def _list(self, name: str, phase: api.Availability, since: float) -> None:
        self.phase[name], self.since[name] = phase, since
        self.push()

    async def _reports(self, desk: StandinDesk, district: str) -> None:
        rng, far = stream(self.seed, "report", desk.name, district), self.far(district, desk.name)
        while True:
            await asyncio.sleep(float(rng.uniform(*REPORT_EVERY)))
            if desk.up and not desk.hung:
                self.loop.call_later(far, self.agents[district].report_received, desk.name, desk.report())

    async def _steer(self, agent: Agent) -> None:
        while True:
            await asyncio.sleep(0.25)
            agent.apply_steering()

    async def _callers(self, cell: tuple[str, str, str], number: int) -> None:
        """Poisson arrivals of one class, district and office."""
        kind, district, office = cell
        day = self.scenario
        load = day.load * day.offices.get(office, 1.0) * day.districts.get(district, 1.0)
        rate = load * self.problem.demand[cell] * self.problem.grain / self.problem.kind[kind].holding_ms
        rng = stream(self.seed, "callers", *cell)
        place = [k.name for k in kinds(self.problem)].index(kind)
        tenant = [o.name for o in offices(self.problem)].index(office)
        count = 0
        while rate > 0.0:
            await asyncio.sleep(float(rng.exponential(1.0 / rate)))
            if self.loop.time() >= self.until:
                return
            count += 1
            called = f"{int(rng.integers(NUMBERS))}"
            draw = self.usual.get((kind, district)) or self.anywhere.get(kind)
            desk = draw.pick(called.encode()) if draw else None
            deadline = self.agents[district].settings.classes[place].deadline
            request = Request(
                f"{number:03x}{count:013x}",
                place,
                kind,
                tenant,
                called,
                PATIENCE * deadline,
                self.cells[desk] if desk else 0,
                tenant_name=office,
            )
            own = stream(self.seed, "person", number, count)
            person = Person(self, self.agents[district], request, self.loop.time(), own)
            self.people.append(person)
            person.call()

    async def play(self) -> Result:
        """Play the run to its end."""
        self.push()
        for one in self.scenario.troubles:
            self.loop.call_later(one.at, self.trouble, one)
        tasks = [
            self.loop.create_task(self._reports(desk, district))
            for desk in self.desks.values()
            for district in self.agents
        ]
        tasks += [self.loop.create_task(self._steer(agent)) for agent in self.agents.values()]
        cells = self.problem.cells
        arrivals = [self.loop.create_task(self._callers(cell, place)) for place, cell in enumerate(cells)]
        await asyncio.sleep(self.until + DRAIN)
        for task in (*tasks, *arrivals, *(t for a in self.agents.values() for t in a.tasks)):
            task.cancel()
        await asyncio.gather(*tasks, *arrivals, return_exceptions=True)
        return self.result()

    def result(self) -> Result:
        """What the run has come to."""
        # Every class has its figure, also one without a call in a short run.
        got = {name: [0.0, 0.0] for name in ("", *(k.name for k in kinds(self.problem)))}
        rooms = {name: [0.0, 0.0] for name in (o.name for o in self.problem.offices)}
        for person in self.people:
            kind = self.problem.kind[person.request.class_name]
            worth = 0.0
            if person.stood is not None and not person.cut:
                worth = kind.worth * (1.0 if person.stood * 1000.0 <= (kind.wanted_ms or 5000) else LATE)
            office = offices(self.problem)[person.request.tenant].name
            for sums in (got[""], got[kind.name], rooms[office]):
                sums[0] += worth
                sums[1] += kind.worth
            if len(person.answers) > 1:
                self.broken.append(f"{person.request.ident}: {person.answers}")
        part = {name: won / offered if offered else 1.0 for name, (won, offered) in got.items()}
        shares = {name: won / offered if offered else 1.0 for name, (won, offered) in rooms.items()}
        classes = {name: value for name, value in part.items() if name}
        return Result(
            part.get("", 1.0),
            min(classes.values(), default=1.0),
            min(shares.values(), default=1.0),
            self.problem.cost(self.policy.plan.placement),
            len(self.people),
            sum(c.sent for c in self.clients.values()),
            sum(d.fallen for d in self.desks.values()),
            self.late,
            tuple(self.broken + [one for c in self.clients.values() for one in c.broken]),
            classes,
            shares,
        )


def emulate(problem: Problem, policy: Policy, scenario: Scenario, seed: int, seconds: float) -> Result:
    """Play one run on a virtual clock; the same arguments always give the same result."""

    async def main() -> Result:
        return await World(problem, policy, scenario, seed, seconds).play()

    with log.muted():
        return clock.run(main())
