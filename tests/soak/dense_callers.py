"""Callers that write slowly, leave in the middle of a set-up, or try again too often."""

from __future__ import annotations

import asyncio
import random

from tests.soak.agents import AgentProcesses
from tests.soak.callers import Callers
from tests.soak.draw import Plan
from tests.soak.record import Record
from tests.soak.wire import SipConnection

SLOW_SHARE, HALF_SHARE, CLOSING_SHARE = 0.1, 0.03, 0.05  # of the calls
PIECES, PIECE_PAUSE_S = 3, (0.01, 0.06)
REPEAT_SHARE, MAX_REPEATS = 0.5, 4  # of refused calls, tried again at once, one after another


class DenseCallers(Callers):
    """Callers of a dense run."""

    def __init__(self, plan: Plan, agents: list[AgentProcesses], record: Record, rng: random.Random) -> None:
        super().__init__(plan, agents, record, rng)
        self.repeats_left: dict[str, int] = {}  # of set-ups that repeat a refused one

    async def _place_call(self, agent: AgentProcesses, resent: bool = False) -> None:
        draw = self.rng.random()
        if resent or draw > SLOW_SHARE + HALF_SHARE + CLOSING_SHARE:
            return await super()._place_call(agent, resent)
        connection = await self._connect(agent) if agent.new_calls else None
        if connection is None or not connection.open:
            return self._count("no connection")
        if draw < SLOW_SHARE:
            await self._write_slowly(agent, connection)
            self.connections[agent.number].append(connection)  # others use it from now on
        elif draw < SLOW_SHARE + HALF_SHARE:
            connection.send(self.compose(agent)[1].encode()[:60])  # no whole set-up: nothing is owed
            await asyncio.sleep(self.rng.uniform(*PIECE_PAUSE_S))
            connection.close(reset=self.rng.random() < 0.5)
        else:
            ident = self._set_up(agent, connection)
            self.pending.pop(ident, None)
            self.record.note(ident, "caller", "closes at once")
            self.record.audit.caller_left(self.loop.time(), ident)
            connection.close()

    async def _write_slowly(self, agent: AgentProcesses, connection: SipConnection) -> None:
        """Send a set-up in pieces, on a connection of its own; the caller waits from the last one on."""
        ident, message, call_class, patience_s = self.compose(agent)
        data = message.encode()
        size = -(-len(data) // PIECES)
        for at in range(0, len(data) - size, size):
            connection.send(data[at : at + size])
            await asyncio.sleep(self.rng.uniform(*PIECE_PAUSE_S))
        if connection.open:
            self.record_request(agent, connection, ident, call_class, patience_s)
            connection.send(data[-(len(data) - (PIECES - 1) * size) :])

    def _answered(self, connection: SipConnection, ident: str, status: int) -> None:
        setup = self.pending.get(ident)
        super()._answered(connection, ident, status)
        repeats = self.repeats_left.pop(ident, MAX_REPEATS if self.rng.random() < REPEAT_SHARE else 0)
        if setup and status == 503 and repeats:
            self._spawn(self._repeat(setup.agent, repeats - 1))

    async def _repeat(self, agent: AgentProcesses, repeats_left: int) -> None:
        connection = await self._choose_connection(agent)
        if connection and connection.open:
            self.repeats_left[self._set_up(agent, connection)] = repeats_left
