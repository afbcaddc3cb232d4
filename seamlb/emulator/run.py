"""One emulated run: plays a planning problem with a policy and a scenario, and measures the worth carried."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import replace

from seamlb import api, log
from seamlb.emulator import clock
from seamlb.emulator.scenario import (
    LATE_WORTH,
    DeskFault,
    Policy,
    Result,
    Scenario,
    agent_settings,
    sorted_classes,
    sorted_offices,
)
from seamlb.emulator.standin import SimulatedDesk, make_rng
from seamlb.emulator.world import REPORT_INTERVAL_S, EmulatedDesks, SimulatedCaller
from seamlb.planning.follow import FollowedPlan, PlanFollower
from seamlb.planning.model import PERMILLE, Problem, weights
from seamlb.planning.rendezvous import RendezvousHash
from seamlb.plugins.advisor import PluginAdvisor
from seamlb.plugins.chain import Chain
from seamlb.plugins.host import Grant, Plugin
from seamlb.plugins.interpreter import Interpreter
from seamlb.plugins.type_checker import compile_rules
from seamlb.routing.agent import Agent
from seamlb.routing.model import Desk, Request

PATIENCE_SHARE = 0.35  # how long a caller waits in one try, as a share of the class's deadline
NUMBER_COUNT = 2000  # distinct called numbers
DRAIN_S = 30.0  # after the last arrival


class World:
    """The agents, desks and callers of one run."""

    def __init__(self, problem: Problem, policy: Policy, scenario: Scenario, seed: int, seconds: float) -> None:
        self.problem, self.policy, self.scenario, self.seed = problem, policy, scenario, seed
        self.arrivals_end, self.max_redials = seconds, 3
        self.loop = asyncio.get_running_loop()
        self.callers: list[SimulatedCaller] = []
        self.violations: list[str] = []
        self.late = 0
        self.cells = {name: index for index, name in enumerate(sorted(problem.desk))}
        self.up_since = dict.fromkeys(self.cells, 0.0)  # ms
        self.availability = dict.fromkeys(self.cells, api.Availability.READY)
        open_desks = {desk for desk, _ in policy.plan.placement}
        contract = agent_settings(problem, 1, 0).contract
        self.desks = {
            name: SimulatedDesk(name, desk.agents, desk.rate_milli / 1000.0, contract, make_rng(seed, "desk", name))
            for name, desk in sorted(problem.desk.items())
            if name in open_desks
        }
        for name, simulated in self.desks.items():
            if problem.desk[name].cold:
                simulated.restart()
                self.up_since[name] = 1.0
        self.agents: dict[str, Agent] = {}
        self.clients: dict[str, EmulatedDesks] = {}
        for index, district in enumerate(sorted(problem.districts)):
            self._add_agent(index, district)
        self.draws = {pair: RendezvousHash(units) for pair, units in weights(problem, policy.plan.flows).items()}
        sums: dict[str, Counter[str]] = defaultdict(Counter)
        for (kind, _), units in weights(problem, policy.plan.flows).items():
            sums[kind].update(units)
        for desk, kind in sorted(policy.plan.placement):
            sums[kind].setdefault(desk, 0)
        self.fallbacks = {kind: RendezvousHash({d: u or 1 for d, u in units.items()}) for kind, units in sums.items()}

    def now(self) -> float:
        """The virtual time in milliseconds."""
        return self.loop.time() * 1000.0

    def _add_agent(self, index: int, district: str) -> None:
        problem, policy = self.problem, self.policy
        settings = agent_settings(problem, len(problem.districts), index)
        pools = {
            k.name: frozenset(self.cells[d] for d, kind in policy.plan.placement if kind == k.name)
            for k in problem.kinds
        }
        settings = replace(settings, classes=tuple(replace(c, pools=pools[c.name] or None) for c in settings.classes))
        steering = None
        if policy.repairs_plan:
            steering = PlanFollower(settings, tuple(o.name for o in sorted_offices(problem)))
            steering.set_plan(0.0, FollowedPlan(problem, policy.plan, district))
        advisor = self._advisor(settings) if policy.rules else None
        agent = Agent(settings, self.seed * 1000 + index, clock=self.now, steering=steering, advisor=advisor)
        client = EmulatedDesks(lambda desk: self.one_way_delay(district, desk), self.holding)
        client.desks = self.desks
        agent.desks = client
        self.agents[district], self.clients[district] = agent, client

    def _advisor(self, settings: api.Settings) -> PluginAdvisor:
        program = compile_rules(self.policy.rules)
        names = [office.name for office in sorted_offices(self.problem)]
        top_class = max(settings.classes, key=lambda kind: kind.worth).name
        chain = Chain(
            20_000,
            1.0,
            [kind.name for kind in settings.classes],
            names,
            top_class,
            max(kind.deadline for kind in settings.classes),
            lambda name, facts: None,
            lambda: 0.0,
        )
        chain.load(0.0, Plugin(program, Interpreter(program), Grant(max_share=1.0)))
        for name, subject in self.scenario.states:
            chain.set_state(name, subject, True)
        return PluginAdvisor(chain, settings, names, self.now)

    def one_way_delay(self, district: str, desk: str) -> float:
        """Seconds that a message takes between a district and a desk."""
        return self.problem.latency_us(district, self.problem.desk[desk].district) / 1e6 + 0.0005

    def holding(self, request: Request, desk: str) -> float:
        """Mean holding time in seconds; longer if the class is the desk's second choice."""
        mean = self.problem.kind[request.class_name].holding_ms / 1000.0
        second = request.class_name in self.problem.desk[desk].second
        return mean * self.problem.second_choice / PERMILLE if second else mean

    # -- events of the run ------------------------------------------------------------------------

    def push_list(self) -> None:
        """Send the current server list to every agent."""
        listed = [
            Desk(name, "", 0, self.cells[name], self.availability[name], self.up_since[name])
            for name in self.desks
            if self.availability[name] != api.Availability.GONE
        ]
        for agent in self.agents.values():
            agent.list_changed(api.Scope.FULL, listed)

    def inject_fault(self, fault: DeskFault) -> None:
        """Start one fault of the scenario, or end it."""
        desk = self.desks.get(fault.desk)
        if desk is None:
            return  # the policy does not open this desk
        lag = self.scenario.list_lag_s
        match fault.kind:
            case "crash":
                desk.crash()
                self.loop.call_later(lag, self._relist, fault.desk, api.Availability.GONE, self.up_since[fault.desk])
            case "return":
                desk.restart()
                self.loop.call_later(lag, self._relist, fault.desk, api.Availability.READY, self.now())
            case "drain":
                self._relist(fault.desk, api.Availability.DRAINING, self.up_since[fault.desk])
            case "hang" | "wake":
                desk.hang(fault.kind == "hang")
            case _:
                desk.slowdown = fault.factor

    def _relist(self, name: str, availability: api.Availability, up_since: float) -> None:
        self.availability[name], self.up_since[name] = availability, up_since
        self.push_list()

    async def _send_reports(self, desk: SimulatedDesk, district: str) -> None:
        rng, delay = make_rng(self.seed, "report", desk.name, district), self.one_way_delay(district, desk.name)
        while True:
            await asyncio.sleep(float(rng.uniform(*REPORT_INTERVAL_S)))
            if desk.running and not desk.hung:
                self.loop.call_later(delay, self.agents[district].report_received, desk.name, desk.report())

    async def _steer(self, agent: Agent) -> None:
        while True:
            await asyncio.sleep(0.25)
            agent.apply_steering()

    async def _generate_calls(self, demand_cell: tuple[str, str, str], stream_number: int) -> None:
        """Poisson arrivals of one class, district and office."""
        kind, district, office = demand_cell
        scenario = self.scenario
        load = scenario.load * scenario.offices.get(office, 1.0) * scenario.districts.get(district, 1.0)
        rate = load * self.problem.demand[demand_cell] * self.problem.grain / self.problem.kind[kind].holding_ms
        rng = make_rng(self.seed, "callers", *demand_cell)
        class_index = [k.name for k in sorted_classes(self.problem)].index(kind)
        tenant_index = [o.name for o in sorted_offices(self.problem)].index(office)
        count = 0
        while rate > 0.0:
            await asyncio.sleep(float(rng.exponential(1.0 / rate)))
            if self.loop.time() >= self.arrivals_end:
                return
            count += 1
            called = f"{int(rng.integers(NUMBER_COUNT))}"
            draw = self.draws.get((kind, district)) or self.fallbacks.get(kind)
            desk = draw.pick(called.encode()) if draw else None
            deadline = self.agents[district].settings.classes[class_index].deadline
            request = Request(
                f"{stream_number:03x}{count:013x}",
                class_index,
                kind,
                tenant_index,
                called,
                PATIENCE_SHARE * deadline,
                self.cells[desk] if desk else 0,
                tenant_name=office,
            )
            caller_rng = make_rng(self.seed, "person", stream_number, count)
            caller = SimulatedCaller(self, self.agents[district], request, self.loop.time(), caller_rng)
            self.callers.append(caller)
            caller.place_call()

    async def play(self) -> Result:
        """Run to the end and return the result."""
        self.push_list()
        for fault in self.scenario.faults:
            self.loop.call_later(fault.at_s, self.inject_fault, fault)
        tasks = [
            self.loop.create_task(self._send_reports(desk, district))
            for desk in self.desks.values()
            for district in self.agents
        ]
        tasks += [self.loop.create_task(self._steer(agent)) for agent in self.agents.values()]
        cells = self.problem.cells
        arrivals = [self.loop.create_task(self._generate_calls(cell, index)) for index, cell in enumerate(cells)]
        await asyncio.sleep(self.arrivals_end + DRAIN_S)
        for task in (*tasks, *arrivals, *(t for a in self.agents.values() for t in a.tasks)):
            task.cancel()
        await asyncio.gather(*tasks, *arrivals, return_exceptions=True)
        return self.result()

    def result(self) -> Result:
        """Compute the figures of the run."""
        # Every class has a figure, even one without a call in a short run.
        class_worth = {name: [0.0, 0.0] for name in ("", *(k.name for k in sorted_classes(self.problem)))}
        office_worth = {name: [0.0, 0.0] for name in (o.name for o in self.problem.offices)}
        for caller in self.callers:
            kind = self.problem.kind[caller.request.class_name]
            worth = 0.0
            if caller.setup_s is not None and not caller.cut_off:
                worth = kind.worth * (1.0 if caller.setup_s * 1000.0 <= (kind.wanted_ms or 5000) else LATE_WORTH)
            office = sorted_offices(self.problem)[caller.request.tenant].name
            for sums in (class_worth[""], class_worth[kind.name], office_worth[office]):
                sums[0] += worth
                sums[1] += kind.worth
            if len(caller.answers) > 1:
                self.violations.append(f"{caller.request.ident}: {caller.answers}")
        class_shares = {name: won / offered if offered else 1.0 for name, (won, offered) in class_worth.items()}
        office_shares = {name: won / offered if offered else 1.0 for name, (won, offered) in office_worth.items()}
        classes = {name: value for name, value in class_shares.items() if name}
        return Result(
            class_shares.get("", 1.0),
            min(classes.values(), default=1.0),
            min(office_shares.values(), default=1.0),
            self.problem.cost(self.policy.plan.placement),
            len(self.callers),
            sum(client.attempts for client in self.clients.values()),
            sum(desk.overload_crashes for desk in self.desks.values()),
            self.late,
            tuple(self.violations + [line for client in self.clients.values() for line in client.violations]),
            classes,
            office_shares,
        )


def emulate(problem: Problem, policy: Policy, scenario: Scenario, seed: int, seconds: float) -> Result:
    """Play one run on a virtual clock; equal arguments give equal results."""

    async def main() -> Result:
        return await World(problem, policy, scenario, seed, seconds).play()

    with log.muted():
        return clock.run(main())
