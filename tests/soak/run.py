"""Runs one seed and checks it from what the agents' peers observe."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
import traceback
from collections.abc import Callable
from pathlib import Path

from tests.soak.agents import ATTEMPTS_CAP, MOSTLY_READY_WITHIN_S, AgentProcesses
from tests.soak.board import Board
from tests.soak.callers import Callers
from tests.soak.draw import CALLS_FOR_S, Fault, Plan, make_plan
from tests.soak.record import Record
from tests.soak.servers import Server
from tests.soak.verdict import Verdict

DRAIN_S = 1.5  # from Terminating to the end of a server's process
DOWN_S = 0.7  # from a crash to the next process
TAIL_S = 1.5  # after the longest wait and the last release, before the final audit


class Run:
    """The run of one seed."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.rng = plan, random.Random(plan.seed + 1)
        self.loop = asyncio.get_running_loop()
        self.record = Record(folder, ATTEMPTS_CAP)
        agents = len(plan.inherited)
        self.board = self._make_board(agents)
        self.all_servers: list[Server] = []
        self.servers = [self._make_server(number, 0) for number in range(plan.server_count)]
        self.server_locks = [asyncio.Lock() for _ in self.servers]  # one drain or crash per server at a time
        self.agents: list[AgentProcesses] = []
        self.played_faults: list[str] = []
        self.unaudited: set[str] = set()

    def _make_board(self, agents: int) -> Board:
        return Board(self.record, agents)

    def _make_callers(self) -> Callers:
        return Callers(self.plan, self.agents, self.record, self.rng)

    def _make_server(self, number: int, generation: int) -> Server:
        rng = random.Random(f"{self.plan.seed} {number} {generation}")
        made = Server(f"s{number}-{generation}", len(self.plan.inherited), self.plan.holding_s, self.record, rng)
        self.all_servers.append(made)
        return made

    async def play(self) -> Verdict:
        """Run to the end and return the verdict."""
        await self.board.start()
        for cell, server in enumerate(self.servers):
            await server.start()
            await self.board.publish(server.name, "Ready", server.ports, cell)
        for number in range(len(self.plan.inherited)):
            initial_list = lambda number=number: self.board.full_list(number)  # noqa: E731
            self.agents.append(
                AgentProcesses(number, self.plan, self.board.addresses[number], initial_list, self.record)
            )
        await asyncio.gather(*(agent.start() for agent in self.agents))
        callers = self._make_callers()
        started_at = self.loop.time()
        timeline = [self.loop.create_task(self._play_fault(fault, started_at, callers)) for fault in self.plan.faults]
        connection_task = self.loop.create_task(callers.maintain_connections())
        await callers.run(CALLS_FOR_S)
        await asyncio.gather(*timeline)
        await self._settle(callers)
        connection_task.cancel()
        self._finish_audit(callers)
        figures = self._figures(callers)
        await asyncio.gather(*(agent.stop() for agent in self.agents))
        for server in self.all_servers:
            await server.stop()
            for address in server.addresses:
                address.close()
        self.board.close()
        return self._verdict(figures)

    async def _play_fault(self, fault: Fault, started_at: float, callers: Callers) -> None:
        await asyncio.sleep(started_at + fault.at_s - self.loop.time())
        if fault.kind == "crowd":
            return await callers.crowd()
        if fault.kind == "board hangs":
            return await self.board.hang(fault.duration_s)
        self.played_faults.append(f"{fault.at_s:.1f} s {fault.kind} {fault.target}")
        if fault.kind in ("drain", "hang", "crash", "slow", "pieces"):
            return await self._server_fault(fault)
        agent = self.agents[fault.target]
        while agent.fault_running:
            await asyncio.sleep(0.05)
        agent.fault_running = True
        try:
            await self._agent_fault(agent, fault)
        finally:
            agent.fault_running = False

    async def _agent_fault(self, agent: AgentProcesses, fault: Fault) -> None:
        match fault.kind:
            case "reload":
                await agent.reload_repeatedly(0)
            case "reloads":
                await agent.reload_repeatedly(5)
            case "quiesce":
                await agent.quiesce(fault.duration_s)
            case "upgrade":
                await agent.upgrade(1)
            case "two upgrades":
                await agent.upgrade(2)
            case kind:
                await agent.restart(fault.duration_s, kind)

    async def _server_fault(self, fault: Fault) -> None:
        number = fault.target
        server = self.servers[number]
        match fault.kind:
            case "hang":
                server.hung = True
                await asyncio.sleep(fault.duration_s)
                server.wake()
            case "slow" | "pieces":
                attribute = "slow" if fault.kind == "slow" else "in_pieces"
                setattr(server, attribute, True)
                await asyncio.sleep(fault.duration_s)
                setattr(server, attribute, False)
            case "crash":
                async with self.server_locks[number]:
                    await self._crash(number, self.servers[number])
            case "drain":
                async with self.server_locks[number]:
                    await self._replace(number, self.servers[number])

    async def _crash(self, number: int, server: Server) -> None:
        await server.stop()
        await asyncio.sleep(DOWN_S)
        await server.start()
        await self.board.publish(server.name, "Ready", server.ports, number, int(time.time() * 1000))

    async def _replace(self, number: int, server: Server) -> None:
        """Drain and stop a server, and start another one, cold, in its place."""
        self.servers[number] = fresh = self._make_server(number, int(server.name.rpartition("-")[2]) + 1)
        await self.board.publish(server.name, "Terminating", server.ports, number)
        await asyncio.sleep(DRAIN_S)
        await server.stop()
        await self.board.publish(server.name, "Gone", server.ports, number)
        await fresh.start()
        await self.board.publish(fresh.name, "Ready", fresh.ports, number, int(time.time() * 1000))

    async def _settle(self, callers: Callers) -> None:
        """Wait until every final answer and every release is due or received."""
        await asyncio.sleep(self.plan.longest_deadline_s + TAIL_S)
        await callers.wait_for_crowd()
        calls = self.record.audit.calls.values()
        while any(
            not call.released and call.release_due + TAIL_S > self.loop.time() and call.release_due < float("inf")
            for call in calls
        ):
            await asyncio.sleep(0.1)

    def _figures(self, callers: Callers) -> dict[str, object]:
        usage = [each.check_resources() for each in self.agents]
        ready = [each for agent in self.agents for each in agent.ready_after]
        return {
            "agents": len(self.agents),
            "servers": len(self.servers),
            "faults": self.played_faults,
            "calls": callers.results,
            "ready_s": round(max(ready), 1),
            "memory_mb": max(each["memory_mb"] for each in usage),
            "descriptors": max(each["descriptors"] for each in usage),
        }

    def _finish_audit(self, callers: Callers) -> None:
        """Report missing answers and releases while all processes still run."""
        self.unaudited = self._find_unaudited(callers)
        self.record.audit.finish(self.loop.time(), exempt=self.unaudited)

    def _verdict(self, figures: dict[str, object]) -> Verdict:
        audit, now = self.record.audit, self.loop.time()
        self.record.clock_task.cancel()
        ready = [each for agent in self.agents for each in agent.ready_after]
        if sum(each > MOSTLY_READY_WITHIN_S for each in ready) > len(ready) / 10:
            audit.report(now, "not ready", "fleet", f"nine in ten within {MOSTLY_READY_WITHIN_S} s: {ready}")
        verdict = Verdict(self.plan.seed, max_delay=self.record.max_delay)
        verdict.figures = figures | {"cut_unknown_to_the_agent": len(self.unaudited)}
        for violation in audit.violations:
            lines = [str(violation), *(f"    {line}" for line in self.record.trace(violation.call))]
            (verdict.disturbed if self.record.disturbed(violation) else verdict.violations).append("\n".join(lines))
        return verdict

    def _find_unaudited(self, callers: Callers) -> set[str]:
        """Calls cut off by the end of their server after the agent process that held them had ended.

        No other process can release them, so they are counted but not audited.
        """
        calls = set()
        for ident in self.record.cut_calls & callers.requests.keys():
            agent, requested_at = callers.requests[ident]
            if any(
                requested_at - self.plan.kill_after_s <= terminated_at <= self.record.audit.calls[ident].release_due
                for terminated_at in agent.terminated
            ):
                calls.add(ident)
        return calls


async def _play_or_fail(seed: int, folder: Path, make_run: Callable[[int, Path], Run]) -> Verdict:
    try:
        return await make_run(seed, folder).play()
    except Exception as error:  # an error of the harness fails this run and must not end the others
        return Verdict(seed, [f"the harness: {error!r}\n{traceback.format_exc()}"])


def make_run(seed: int, folder: Path) -> Run:
    """The run of a seed, with restarts as the main fault."""
    return Run(make_plan(seed), folder)


def play(seed: int, keep: str = "", make_run: Callable[[int, Path], Run] = make_run) -> Verdict:
    """Run one seed; `keep`: a folder for the files of the run, such as the agents' logs."""
    if keep:
        folder = Path(keep) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_play_or_fail(seed, folder, make_run))
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(_play_or_fail(seed, Path(temporary), make_run))
