"""Stub callers: Poisson traffic on long-lived connections, and a crowd that misbehaves."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import cast

from seamlb.emulator.audit import SLACK_S
from seamlb.protocol.sip import Message, response
from tests.loopback import bye, invite, sip_request
from tests.soak.agents import AgentProcesses
from tests.soak.draw import Plan
from tests.soak.record import Record
from tests.soak.wire import SipConnection

MAX_CONNECTIONS = 3  # to each agent; the oldest idle ones beyond that are closed
CROSSING_S = 0.05  # a set-up is resent if its connection ends within this time of sending it
LEAVE_SHARE = 0.1  # of the callers, who cancel early
HANG_UP_SHARE = 0.2  # of the established calls, which their callers release
CONNECT_INTERVAL_S = 0.4  # between two new connections to an agent
IDLE_S = 4.0  # without a message of a call, after which a connection may be closed
SILENT_STAY_S = 6.0  # how long the callers of a crowd that never read stay connected


@dataclass
class PendingSetup:
    """A set-up without a final answer."""

    agent: AgentProcesses
    connection: SipConnection
    sent_at: float
    call_class: str
    patience: float  # seconds
    resent: bool  # the second copy of a set-up that crossed the end of its connection


class Callers:
    """All callers of a run."""

    def __init__(self, plan: Plan, agents: list[AgentProcesses], record: Record, rng: random.Random) -> None:
        self.plan, self.agents, self.record, self.rng = plan, agents, record, rng
        self.loop = asyncio.get_running_loop()
        self.connections: dict[int, list[SipConnection]] = {agent.number: [] for agent in agents}
        self.pending: dict[str, PendingSetup] = {}
        self.established: dict[str, AgentProcesses] = {}
        self.requests: dict[str, tuple[AgentProcesses, float]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.results: dict[str, int] = {}

    def _spawn(self, work: object) -> None:
        task = self.loop.create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _count(self, outcome: str) -> None:
        self.results[outcome] = self.results.get(outcome, 0) + 1

    async def run(self, seconds: float) -> None:
        """Send set-ups for `seconds`, whatever the answers (open loop)."""
        due, end = self.loop.time(), self.loop.time() + seconds
        while due < end:
            due += self.rng.expovariate(self.plan.calls_per_s)
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            self._spawn(self._place_call(self.rng.choice(self.agents)))

    async def maintain_connections(self) -> None:
        """Regularly open a connection to each agent that accepts one, send OPTIONS, and close the oldest idle one.

        So one connection always leads to the newest process, which can send the release of a call on it.
        """
        while True:
            await asyncio.sleep(CONNECT_INTERVAL_S)
            for agent in self.agents:
                if agent.new_calls and (connection := await self._connect(agent)):
                    connection.send(sip_request("OPTIONS", "0").encode())
                    self.connections[agent.number].append(connection)
                    self._close_oldest(agent)

    def _close_oldest(self, agent: AgentProcesses) -> None:
        connections = self.connections[agent.number] = [each for each in self.connections[agent.number] if each.open]
        waited_on = {each.connection for each in self.pending.values()}
        idle = next(
            (each for each in connections if self.loop.time() - each.last_used > IDLE_S and each not in waited_on),
            None,
        )
        if idle and len(connections) > MAX_CONNECTIONS:
            idle.close()

    async def wait_for_crowd(self) -> None:
        await asyncio.gather(*self.tasks)

    # -- connections ----------------------------------------------------------------------------

    async def _connect(self, agent: AgentProcesses) -> SipConnection | None:
        host, _, port = agent.listen.rpartition(":")
        try:
            _, connection = await self.loop.create_connection(
                lambda: SipConnection(self._received, self._ended), host, int(port)
            )
        except OSError:
            return None
        return connection

    async def _choose_connection(self, agent: AgentProcesses) -> SipConnection | None:
        """Choose an open connection, which may lead to a draining process; open a new one if there are too few."""
        open_ones = [each for each in self.connections[agent.number] if each.open]
        self.connections[agent.number] = open_ones
        if agent.new_calls and len(open_ones) < MAX_CONNECTIONS and (connection := await self._connect(agent)):
            open_ones.append(connection)
        usable = [each for each in open_ones if each.open]
        return self.rng.choice(usable) if usable else None

    def _ended(self, connection: SipConnection) -> None:
        """Resend, once, each set-up that crossed the end of its connection; others remain without an answer."""
        now = self.loop.time()
        for ident, setup in list(self.pending.items()):
            if setup.connection is not connection:
                continue
            del self.pending[ident]
            self.record.note(ident, "caller", f"connection ended, {now - setup.sent_at:.3f} s after the set-up")
            if now - setup.sent_at <= CROSSING_S + SLACK_S and not setup.resent:
                self.record.audit.caller_left(now, ident)
                self._count("crossed")
                self._spawn(self._place_call(setup.agent, resent=True))

    # -- calls ----------------------------------------------------------------------------------

    def compose(self, agent: AgentProcesses) -> tuple[str, Message, str, float]:
        """Draw a set-up: its id, message, class, and how long its caller waits in seconds."""
        call_class, deadline_s = (
            ("soon", self.plan.short_deadline_s)
            if self.rng.random() < 0.3
            else ("later", self.plan.longest_deadline_s)
        )
        patience_s = deadline_s * self.rng.uniform(0.3, 1.0)
        ident = f"{self.rng.getrandbits(64):016x}"
        message = invite(
            ident,
            dest=self.rng.randrange(self.plan.server_count),
            timer=int(patience_s * 1000),
            call_class=call_class,
        )
        return ident, message, call_class, patience_s

    def record_request(
        self,
        agent: AgentProcesses,
        connection: SipConnection,
        ident: str,
        call_class: str,
        patience_s: float,
        resent: bool = False,
    ) -> None:
        """Record a set-up whose last byte is sent now."""
        now = self.loop.time()
        self.pending[ident] = PendingSetup(agent, connection, now, call_class, patience_s, resent)
        self.requests[ident] = agent, now
        self.record.audit.call_requested(now, ident, call_class, patience_s)
        self.record.note(ident, "caller", f"set-up to agent {agent.number}, waits {patience_s:.3f} s")
        self._count("asked")

    def _set_up(self, agent: AgentProcesses, connection: SipConnection, resent: bool = False) -> str:
        """Send a set-up; returns its id."""
        ident, message, call_class, patience_s = self.compose(agent)
        self.record_request(agent, connection, ident, call_class, patience_s, resent)
        connection.send(message.encode())
        return ident

    async def _place_call(self, agent: AgentProcesses, resent: bool = False) -> None:
        connection = await (self._connect(agent) if resent else self._choose_connection(agent))
        if connection is None or not connection.open:
            self._count("no connection")
            return
        ident = self._set_up(agent, connection, resent)
        if self.rng.random() < LEAVE_SHARE:
            await asyncio.sleep(self.rng.uniform(0.005, 0.3))
            self.cancel(ident)

    def cancel(self, ident: str) -> None:
        """Cancel a set-up."""
        if setup := self.pending.pop(ident, None):
            self.record.note(ident, "caller", "CANCEL")
            self.record.audit.caller_left(self.loop.time(), ident)
            setup.connection.send(sip_request("CANCEL", ident).encode())
            self._count("left")

    def _received(self, connection: SipConnection, message: Message) -> None:
        ident, now = message.get("call-id"), self.loop.time()
        if message.method == "BYE":
            self.record.note(ident, "caller", "BYE came")
            self.record.audit.call_released(now, ident)
            self.established.pop(ident, None)
            connection.send(response(message, 200).encode())
        elif message.status >= 200 and message.cseq()[1] == "INVITE":
            self._answered(connection, ident, message.status)

    def _answered(self, connection: SipConnection, ident: str, status: int) -> None:
        now = self.loop.time()
        self.record.note(ident, "caller", str(status))
        connection.send(sip_request("ACK", ident).encode())
        setup = self.pending.pop(ident, None)
        if setup is None and self.record.audit.calls[ident].left_at <= now:
            return  # the answer crossed our CANCEL
        self.record.audit.call_answered(now, ident, status)
        self._count(str(status))
        if status == 200 and setup:
            self.established[ident] = setup.agent
            if self.rng.random() < HANG_UP_SHARE:
                self.loop.call_later(self.rng.uniform(0.02, self.plan.holding_s), self._hang_up, ident)

    def _hang_up(self, ident: str) -> None:
        agent = self.established.get(ident)
        connection = next((each for each in self.connections[agent.number] if each.open), None) if agent else None
        if connection:
            self.record.note(ident, "caller", "releases")
            self.record.audit.call_released(self.loop.time(), ident, by_caller=True)
            connection.send(bye(ident, 16).encode())
            del self.established[ident]

    # -- the crowd ------------------------------------------------------------------------------

    async def crowd(self) -> None:
        """Connect many callers at once: some never read, some disconnect early."""
        serving = [agent for agent in self.agents if agent.new_calls]
        silent, leaving = self.plan.crowd
        for number in range(silent + leaving if serving else 0):
            agent = self.rng.choice(serving)
            if connection := await self._connect(agent):
                ident = self._set_up(agent, connection)
                self._spawn(
                    self._stay_silent(ident, connection) if number < silent else self._close_early(ident, connection)
                )

    async def _stay_silent(self, ident: str, connection: SipConnection) -> None:
        """Never read from the connection, so no answer is required."""
        cast(asyncio.Transport, connection.transport).pause_reading()
        await asyncio.sleep(SILENT_STAY_S)
        self.pending.pop(ident, None)
        self.record.audit.caller_left(self.loop.time(), ident)
        connection.close(reset=True)

    async def _close_early(self, ident: str, connection: SipConnection) -> None:
        await asyncio.sleep(self.rng.uniform(0.02, 0.3))
        if self.pending.pop(ident, None):
            self.record.note(ident, "caller", "closes")
            self.record.audit.caller_left(self.loop.time(), ident)
            self._count("left")
        connection.close()
