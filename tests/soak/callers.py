"""Stand-in callers: Poisson traffic on connections that stay open until the agent ends them, and a crowd."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import cast

from seamlb.emulator.audit import SLACK
from seamlb.protocol.sip import Message, response
from tests.loopback import bye, invite, sip_request
from tests.soak.agents import AgentProcesses
from tests.soak.draw import Plan
from tests.soak.record import Record
from tests.soak.wire import Wire

CONNECTIONS = 3  # to each agent
CROSSES = 0.05  # seconds between a set-up and the end of its connection in which it may be sent again
LEAVE = 0.1  # part of the callers that leave early
HANG_UP = 0.2  # part of the calls that stand which their callers release
KEEP_EVERY = 0.4  # seconds between two new connections to an agent
IDLE = 4.0  # seconds without a call on a connection after which it may be closed
STAY = 6.0  # seconds for which those of a crowd who never read stay


@dataclass
class Waiting:
    """A set-up without its final answer."""

    agent: AgentProcesses
    wire: Wire
    sent: float
    kind: str
    patience: float
    again: bool  # sent a second time as it crossed the end of its connection


class Callers:
    """All callers of a run."""

    def __init__(self, plan: Plan, agents: list[AgentProcesses], record: Record, rng: random.Random) -> None:
        self.plan, self.agents, self.record, self.rng = plan, agents, record, rng
        self.loop = asyncio.get_running_loop()
        self.wires: dict[int, list[Wire]] = {one.number: [] for one in agents}
        self.waiting: dict[str, Waiting] = {}
        self.standing: dict[str, AgentProcesses] = {}
        self.asked_of: dict[str, tuple[AgentProcesses, float]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.results: dict[str, int] = {}

    def _spawn(self, work: object) -> None:
        task = self.loop.create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _count(self, what: str) -> None:
        self.results[what] = self.results.get(what, 0) + 1

    async def run(self, seconds: float) -> None:
        """Ask for calls until the time is over, whatever is answered."""
        due, end = self.loop.time(), self.loop.time() + seconds
        while due < end:
            due += self.rng.expovariate(self.plan.rate)
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            self._spawn(self._ask(self.rng.choice(self.agents)))

    async def keep(self) -> None:
        """Open a new connection to each agent that takes one, test on it, and close the oldest that is idle.

        So some connection leads to the newest process, and the end of a call can be told on it.
        """
        while True:
            await asyncio.sleep(KEEP_EVERY)
            for agent in self.agents:
                if agent.new_calls and (wire := await self._connect(agent)):
                    wire.send(sip_request("OPTIONS", "0").encode())
                    self.wires[agent.number].append(wire)
                    self._close_oldest(agent)

    def _close_oldest(self, agent: AgentProcesses) -> None:
        wires = self.wires[agent.number] = [one for one in self.wires[agent.number] if one.open]
        waited_on = {one.wire for one in self.waiting.values()}
        idle = next((one for one in wires if self.loop.time() - one.used > IDLE and one not in waited_on), None)
        if idle and len(wires) > CONNECTIONS:
            idle.close()

    async def crowd_gone(self) -> None:
        """Wait until those of the crowd have gone."""
        await asyncio.gather(*self.tasks)

    # -- connections ----------------------------------------------------------------------------

    async def _connect(self, agent: AgentProcesses) -> Wire | None:
        host, _, port = agent.listen.rpartition(":")
        try:
            _, wire = await self.loop.create_connection(lambda: Wire(self._took, self._ended), host, int(port))
        except OSError:
            return None
        return wire

    async def _wire(self, agent: AgentProcesses) -> Wire | None:
        """A connection to an agent: an open one, also to a process that drains, or a new one while they are taken."""
        open_ones = [one for one in self.wires[agent.number] if one.open]
        self.wires[agent.number] = open_ones
        if agent.new_calls and len(open_ones) < CONNECTIONS and (wire := await self._connect(agent)):
            open_ones.append(wire)
        usable = [one for one in open_ones if one.open]
        return self.rng.choice(usable) if usable else None

    def _ended(self, wire: Wire) -> None:
        """A set-up that crossed the end of its connection is sent again, once; others stay without their answer."""
        now = self.loop.time()
        for ident, one in list(self.waiting.items()):
            if one.wire is not wire:
                continue
            del self.waiting[ident]
            self.record.note(ident, "caller", f"connection ended, {now - one.sent:.3f} s after the set-up")
            if now - one.sent <= CROSSES + SLACK and not one.again:
                self.record.audit.gave_up(now, ident)
                self._count("crossed")
                self._spawn(self._ask(one.agent, again=True))

    # -- calls ----------------------------------------------------------------------------------

    def _set_up(self, agent: AgentProcesses, wire: Wire, again: bool = False) -> str:
        """Send a set-up; returns its id."""
        kind, deadline = ("soon", self.plan.short) if self.rng.random() < 0.3 else ("later", self.plan.longest)
        patience = deadline * self.rng.uniform(0.3, 1.0)
        ident, now = f"{self.rng.getrandbits(64):016x}", self.loop.time()
        message = invite(
            ident, dest=self.rng.randrange(self.plan.servers), timer=int(patience * 1000), call_class=kind
        )
        self.waiting[ident] = Waiting(agent, wire, now, kind, patience, again)
        self.asked_of[ident] = agent, now
        self.record.audit.asked(now, ident, kind, patience)
        self.record.note(ident, "caller", f"set-up to agent {agent.number}, waits {patience:.3f} s")
        wire.send(message.encode())
        self._count("asked")
        return ident

    async def _ask(self, agent: AgentProcesses, again: bool = False) -> None:
        wire = await (self._connect(agent) if again else self._wire(agent))
        if wire is None or not wire.open:
            self._count("no connection")
            return
        ident = self._set_up(agent, wire, again)
        if self.rng.random() < LEAVE:
            await asyncio.sleep(self.rng.uniform(0.005, 0.3))
            self.leave(ident)

    def leave(self, ident: str) -> None:
        """Give a set-up up."""
        if one := self.waiting.pop(ident, None):
            self.record.note(ident, "caller", "CANCEL")
            self.record.audit.gave_up(self.loop.time(), ident)
            one.wire.send(sip_request("CANCEL", ident).encode())
            self._count("left")

    def _took(self, wire: Wire, message: Message) -> None:
        ident, now = message.get("call-id"), self.loop.time()
        if message.method == "BYE":
            self.record.note(ident, "caller", "BYE came")
            self.record.audit.released(now, ident)
            self.standing.pop(ident, None)
            wire.send(response(message, 200).encode())
        elif message.status >= 200 and message.cseq()[1] == "INVITE":
            self._answered(wire, ident, message.status)

    def _answered(self, wire: Wire, ident: str, status: int) -> None:
        now = self.loop.time()
        self.record.note(ident, "caller", str(status))
        wire.send(sip_request("ACK", ident).encode())
        one = self.waiting.pop(ident, None)
        if one is None and self.record.audit.calls[ident].left <= now:
            return  # it crossed our CANCEL
        self.record.audit.answered(now, ident, status)
        self._count(str(status))
        if status == 200 and one:
            self.standing[ident] = one.agent
            if self.rng.random() < HANG_UP:
                self.loop.call_later(self.rng.uniform(0.02, self.plan.holding), self._hang_up, ident)

    def _hang_up(self, ident: str) -> None:
        agent = self.standing.get(ident)
        wire = next((one for one in self.wires[agent.number] if one.open), None) if agent else None
        if wire:
            self.record.note(ident, "caller", "releases")
            self.record.audit.released(self.loop.time(), ident, by_caller=True)
            wire.send(bye(ident, 16).encode())
            del self.standing[ident]

    # -- the crowd ------------------------------------------------------------------------------

    async def crowd(self) -> None:
        """Many at once: some never read, some leave early."""
        serving = [one for one in self.agents if one.new_calls]
        silent, leaving = self.plan.crowd
        for number in range(silent + leaving if serving else 0):
            agent = self.rng.choice(serving)
            if wire := await self._connect(agent):
                ident = self._set_up(agent, wire)
                self._spawn(self._stays(ident, wire) if number < silent else self._goes(ident, wire))

    async def _stays(self, ident: str, wire: Wire) -> None:
        """Never reads: what the agent does for it is not judged by its answer."""
        cast(asyncio.Transport, wire.transport).pause_reading()
        await asyncio.sleep(STAY)
        self.waiting.pop(ident, None)
        self.record.audit.gave_up(self.loop.time(), ident)
        wire.close(reset=True)

    async def _goes(self, ident: str, wire: Wire) -> None:
        await asyncio.sleep(self.rng.uniform(0.02, 0.3))
        if self.waiting.pop(ident, None):
            self.record.note(ident, "caller", "closes")
            self.record.audit.gave_up(self.loop.time(), ident)
            self._count("left")
        wire.close()
