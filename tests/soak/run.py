"""Plays the run of one seed and judges it from the peers' side."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
import traceback
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from seamlb.emulator.audit import SLACK_S
from tests.soak.agents import ATTEMPTS_CAP, READY_MOSTLY, AgentProcesses
from tests.soak.board import Board
from tests.soak.callers import Callers
from tests.soak.draw import SECONDS, Fault, Plan, draw
from tests.soak.record import Record
from tests.soak.servers import Server

DRAINS_FOR = 1.5  # seconds from Terminating to the end of a server's process
DOWN_FOR = 0.7  # seconds from a crash to the next process
TAIL = 1.5  # seconds beyond the longest wait and the last release, before the judgement


@dataclass
class Verdict:
    """What came of one seed."""

    seed: int
    violations: list[str] = field(default_factory=list)
    disturbed: list[str] = field(default_factory=list)  # while this process itself was late
    late: float = 0.0  # seconds by which it was late at most
    figures: dict[str, object] = field(default_factory=dict)

    @property
    def word(self) -> str:
        """passed, failed, or disturbed: judged by an observer that was late itself."""
        return "failed" if self.violations else "disturbed" if self.disturbed or self.late > SLACK_S else "passed"

    def lines(self) -> list[str]:
        """The verdict for a reader, with the command that plays just this seed."""
        head = f"seed {self.seed}: {self.word}, late by {self.late * 1000:.0f} ms at most, {self.figures}"
        again = [f"  again: python -m tests.soak --first {self.seed} --seeds 1"] if self.word != "passed" else []
        return [head, *again, *self.violations, *(f"disturbed: {one}" for one in self.disturbed)]


class Run:
    """One seed's run."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.rng = plan, random.Random(plan.seed + 1)
        self.loop = asyncio.get_running_loop()
        self.record = Record(folder, ATTEMPTS_CAP)
        agents = len(plan.inherited)
        self.board = Board(self.record, agents)
        self.all_servers: list[Server] = []
        self.servers = [self._server(number, 0) for number in range(plan.servers)]
        self.turns = [asyncio.Lock() for _ in self.servers]  # one drain or crash of a server at a time
        self.agents: list[AgentProcesses] = []
        self.played: list[str] = []
        self.unknowable: set[str] = set()

    def _server(self, number: int, life: int) -> Server:
        rng = random.Random(f"{self.plan.seed} {number} {life}")
        made = Server(f"s{number}-{life}", len(self.plan.inherited), self.plan.holding, self.record, rng)
        self.all_servers.append(made)
        return made

    async def play(self) -> Verdict:
        """Play it to its end."""
        await self.board.start()
        for cell, server in enumerate(self.servers):
            await server.start()
            await self.board.tell(server.name, "Ready", server.ports, cell)
        for number in range(len(self.plan.inherited)):
            known = lambda number=number: self.board.known(number)  # noqa: E731
            self.agents.append(AgentProcesses(number, self.plan, self.board.addresses[number], known, self.record))
        await asyncio.gather(*(one.start() for one in self.agents))
        callers = Callers(self.plan, self.agents, self.record, self.rng)
        began = self.loop.time()
        timeline = [self.loop.create_task(self._fault(one, began, callers)) for one in self.plan.faults]
        keeping = self.loop.create_task(callers.keep())
        await callers.run(SECONDS)
        await asyncio.gather(*timeline)
        await self._settle(callers)
        keeping.cancel()
        self._judge_calls(callers)
        figures = self._figures(callers)
        await asyncio.gather(*(one.stop() for one in self.agents))
        for server in self.all_servers:
            await server.stop()
            for address in server.addresses:
                address.close()
        self.board.close()
        return self._verdict(figures)

    async def _fault(self, fault: Fault, began: float, callers: Callers) -> None:
        await asyncio.sleep(began + fault.at - self.loop.time())
        if fault.kind == "crowd":
            return await callers.crowd()
        if fault.kind == "board hangs":
            return await self.board.hang(fault.seconds)
        self.played.append(f"{fault.at:.1f} s {fault.kind} {fault.target}")
        if fault.kind in ("drain", "hang", "crash", "slow", "pieces"):
            return await self._server_fault(fault)
        agent = self.agents[fault.target]
        while agent.busy:
            await asyncio.sleep(0.05)
        agent.busy = True
        try:
            await self._agent_fault(agent, fault)
        finally:
            agent.busy = False

    async def _agent_fault(self, agent: AgentProcesses, fault: Fault) -> None:
        match fault.kind:
            case "reload":
                await agent.reloads(0)
            case "reloads":
                await agent.reloads(5)
            case "quiesce":
                await agent.quiesce(fault.seconds)
            case "upgrade":
                await agent.upgrade(1)
            case "two upgrades":
                await agent.upgrade(2)
            case kind:
                await agent.restart(fault.seconds, kind)

    async def _server_fault(self, fault: Fault) -> None:
        number = fault.target
        server = self.servers[number]
        match fault.kind:
            case "hang":
                server.hung = True
                await asyncio.sleep(fault.seconds)
                server.wake()
            case "slow" | "pieces":
                name = "slow" if fault.kind == "slow" else "in_pieces"
                setattr(server, name, True)
                await asyncio.sleep(fault.seconds)
                setattr(server, name, False)
            case "crash":
                async with self.turns[number]:
                    await self._crash(number, self.servers[number])
            case "drain":
                async with self.turns[number]:
                    await self._replace(number, self.servers[number])

    async def _crash(self, number: int, server: Server) -> None:
        await server.stop()
        await asyncio.sleep(DOWN_FOR)
        await server.start()
        await self.board.tell(server.name, "Ready", server.ports, number, int(time.time() * 1000))

    async def _replace(self, number: int, server: Server) -> None:
        """It drains, ends, and another server takes its place, cold."""
        self.servers[number] = fresh = self._server(number, int(server.name.rpartition("-")[2]) + 1)
        await self.board.tell(server.name, "Terminating", server.ports, number)
        await asyncio.sleep(DRAINS_FOR)
        await server.stop()
        await self.board.tell(server.name, "Gone", server.ports, number)
        await fresh.start()
        await self.board.tell(fresh.name, "Ready", fresh.ports, number, int(time.time() * 1000))

    async def _settle(self, callers: Callers) -> None:
        """Wait until whoever asked must have been answered, and whoever must be told of an end has been."""
        await asyncio.sleep(self.plan.longest + TAIL)
        await callers.crowd_gone()
        calls = self.record.audit.calls.values()
        while any(
            not one.released and one.release_due + TAIL > self.loop.time() and one.release_due < float("inf")
            for one in calls
        ):
            await asyncio.sleep(0.1)

    def _figures(self, callers: Callers) -> dict[str, object]:
        held = [one.look() for one in self.agents]
        ready = [one for agent in self.agents for one in agent.ready_after]
        return {
            "agents": len(self.agents),
            "servers": len(self.servers),
            "faults": self.played,
            "calls": callers.results,
            "ready_s": round(max(ready), 1),
            "memory_mb": max(one["memory_mb"] for one in held),
            "descriptors": max(one["descriptors"] for one in held),
        }

    def _judge_calls(self, callers: Callers) -> None:
        """Judge who was never answered or told, while all processes still run."""
        self.unknowable = self._unknowable(callers)
        self.record.audit.finish(self.loop.time(), without=self.unknowable)

    def _verdict(self, figures: dict[str, object]) -> Verdict:
        audit, now = self.record.audit, self.loop.time()
        self.record.watching.cancel()
        ready = [one for agent in self.agents for one in agent.ready_after]
        if sum(one > READY_MOSTLY for one in ready) > len(ready) / 10:
            audit.report(now, "not ready", "fleet", f"nine in ten within {READY_MOSTLY} s: {ready}")
        verdict = Verdict(self.plan.seed, late=self.record.latest)
        verdict.figures = figures | {"cut_unknown_to_the_agent": len(self.unknowable)}
        for one in audit.violations:
            told = [str(one), *(f"    {line}" for line in self.record.trace(one.call))]
            (verdict.disturbed if self.record.disturbed(one) else verdict.violations).append("\n".join(told))
        return verdict

    def _unknowable(self, callers: Callers) -> set[str]:
        """Calls that were cut with their server once the agent's process that knew of them had ended.

        No other process can know of them, so they are counted and not judged.
        """
        found = set()
        for ident in self.record.cut & callers.asked_of.keys():
            agent, asked = callers.asked_of[ident]
            if any(
                asked - self.plan.kill_after <= one <= self.record.audit.calls[ident].release_due
                for one in agent.terminated
            ):
                found.add(ident)
        return found


async def _play(seed: int, folder: Path) -> Verdict:
    try:
        return await Run(draw(seed), folder).play()
    except Exception as error:  # a fault of the harness is a failed run, and must not end the others
        return Verdict(seed, [f"the harness: {error!r}\n{traceback.format_exc()}"])


def play(seed: int, keep: str = "") -> Verdict:
    """Play one seed; `keep`: a folder for what the run writes, the agents' logs above all."""
    if keep:
        folder = Path(keep) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_play(seed, folder))
    with tempfile.TemporaryDirectory() as passing:
        return asyncio.run(_play(seed, Path(passing)))


def count(verdicts: list[Verdict]) -> str:
    """How many of each word."""
    words = Counter(one.word for one in verdicts)
    return ", ".join(f"{words[word]} {word}" for word in ("passed", "disturbed", "failed"))
