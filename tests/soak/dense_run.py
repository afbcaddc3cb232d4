"""A dense run: faults of the network, of servers, of discovery and of callers, several at once."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from tests.soak.agents import AgentProcesses
from tests.soak.callers import Callers
from tests.soak.dense import MOVE_GAP_S, make_dense_plan
from tests.soak.dense_callers import DenseCallers
from tests.soak.draw import Fault
from tests.soak.faulty_board import FaultyBoard
from tests.soak.faulty_servers import FaultyServer
from tests.soak.run import Run
from tests.soak.verdict import Verdict

VANISHED_S = 9.5  # from when a host vanishes until the list says so: later than its calls have to be released
MOVES, MOVE_INTERVAL_S = 4, 0.15  # pairs of new configurations, and seconds between two pairs
RESTART_INTERVAL_S = 0.3  # between the restarts of one agent after another
FLAGS = ("closed early", "resets", "second answers", "spoilt answers")


class DenseRun(Run):
    """The run of one dense plan."""

    def _make_board(self, agents: int) -> FaultyBoard:
        return FaultyBoard(self.record, agents)

    def _make_callers(self) -> Callers:
        return DenseCallers(self.plan, self.agents, self.record, self.rng)

    def _make_server(self, number: int, generation: int) -> FaultyServer:
        rng = random.Random(f"dense {self.plan.seed} {number} {generation}")
        name = f"s{number}-{generation}"
        made = FaultyServer(name, len(self.plan.inherited), self.plan.holding_s, self.record, rng)
        self.all_servers.append(made)
        return made

    async def _play_fault(self, fault: Fault, started_at: float, callers: Callers) -> None:
        await asyncio.sleep(started_at + fault.at_s - self.loop.time())
        self.played_faults.append(f"{fault.at_s:.1f} s {fault.kind} {fault.target}")
        if fault.kind.startswith("board"):
            assert isinstance(self.board, FaultyBoard)
            await self.board.outage(fault.kind, fault.duration_s)
        elif fault.kind == "moves":
            await self._move(self.agents[fault.target], fault.duration_s)
        elif fault.kind == "rolling restart":
            await self._restart_all(fault.duration_s)
        else:
            await self._server_fault(fault)

    async def _move(self, agent: AgentProcesses, gap_s: float) -> None:
        """New configurations in pairs, each of which moves discovery."""
        assert isinstance(self.board, FaultyBoard) and gap_s <= MOVE_GAP_S
        while agent.fault_running:
            await asyncio.sleep(0.05)
        assert agent.process is not None
        for _ in range(MOVES):
            agent.board = self.board.move(agent.number)
            agent.reload(agent.process)
            await asyncio.sleep(self.rng.uniform(0.0, gap_s))
            agent.board = self.board.move(agent.number)
            agent.reload(agent.process)
            await asyncio.sleep(MOVE_INTERVAL_S)

    async def _restart_all(self, connections_for_s: float) -> None:
        async def restart(agent: AgentProcesses) -> None:
            while agent.fault_running:
                await asyncio.sleep(0.05)
            agent.fault_running = True
            await agent.restart(connections_for_s, "restart")
            agent.fault_running = False

        async with asyncio.TaskGroup() as group:
            for agent in self.agents:
                group.create_task(restart(agent))
                await asyncio.sleep(RESTART_INTERVAL_S)

    async def _server_fault(self, fault: Fault) -> None:
        server = self.servers[fault.target]
        assert isinstance(server, FaultyServer)
        if fault.kind in FLAGS:
            server.faults.add(fault.kind)
            await asyncio.sleep(fault.duration_s)
            server.faults.discard(fault.kind)
        elif fault.kind == "late connections":
            await server.come_up_late(fault.duration_s)
        elif fault.kind.startswith("vanish") or fault.kind == "cut off":
            async with self.server_locks[fault.target]:
                await self._network_fault(fault)
        elif not server.vanished:
            await super()._server_fault(fault)

    async def _network_fault(self, fault: Fault) -> None:
        server = self.servers[fault.target]
        assert isinstance(server, FaultyServer)
        if fault.kind == "cut off":
            return await server.cut_off(fault.duration_s)
        server.vanish(1 if fault.kind == "vanish, one accepted" else 0)
        await asyncio.sleep(VANISHED_S)
        await self.board.publish(server.name, "Gone", server.ports, fault.target)
        await server.stop()
        self.servers[fault.target] = fresh = self._make_server(fault.target, int(server.name.rpartition("-")[2]) + 1)
        await fresh.start()
        await self.board.publish(fresh.name, "Ready", fresh.ports, fault.target)

    def _finish_audit(self, callers: Callers) -> None:
        assert isinstance(self.board, FaultyBoard)
        self.board.report_unasked()
        super()._finish_audit(callers)

    def _verdict(self, figures: dict[str, object]) -> Verdict:
        verdict = super()._verdict(figures)
        verdict.command = "python -m tests.soak --dense"
        return verdict


def make_dense_run(seed: int, folder: Path) -> DenseRun:
    """The dense run of a seed."""
    return DenseRun(make_dense_plan(seed), folder)
