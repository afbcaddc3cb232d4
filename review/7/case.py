"""Set-ups that were taken whole on a connection, which then falls quiet within a later message for 3 s."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (  # noqa: E402
    BROKEN,
    HELD,
    SLACK_S,
    TROUBLE,
    Agent,
    Board,
    CaseError,
    PlatformCallers,
    PlatformDesk,
    Record,
    free_port,
    main,
    member,
    new_id,
    platform_invite,
    settings,
    until,
)

QUIET_S = 3.0  # for which the connection is quiet; a split of the network lasts 6 s on the pages
ANSWER_AFTER_S = 3.0  # a desk's processor takes set-ups until its wait passes 1.7 to 3.4 s
WAIT_MS = 5000  # X-Timer-Ms: 30 to 40 % of the 15 s of the class
ANSWER_SLACK_S = 0.02 + SLACK_S  # Contract.AnswerSlack


class Proxy:
    """The network between callers and the agent; to the agent it may fall quiet, from the agent it never does."""

    def __init__(self, agent: str, record: Record) -> None:
        self.agent, self.record = agent, record
        self.pass_bytes: int | None = None  # that are still passed on to the agent; None: all
        self.open = asyncio.Event()
        self.open.set()

    async def start(self) -> str:
        """Listen; returns the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.agent.rpartition(":")
        agent_reader, agent_writer = await asyncio.open_connection(host, int(port))
        back = asyncio.create_task(self._pump(agent_reader, writer))
        try:
            while data := await reader.read(65536):
                if self.pass_bytes is not None:
                    first, data = data[: self.pass_bytes], data[self.pass_bytes :]
                    agent_writer.write(first)
                    self.pass_bytes -= len(first)
                    if data:
                        self.record.add("network", f"quiet towards the agent after {len(first)} bytes of a set-up")
                        self.open.clear()
                await self.open.wait()
                agent_writer.write(data)
        except OSError:
            pass
        agent_writer.close()
        await back

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                writer.write(data)
        except OSError:
            pass
        writer.close()


async def case(record: Record, folder: Path, agents: list[Agent]) -> int:
    """Three calls wait for their answer when the fourth set-up of the same connection is cut by the network."""
    desk, board = PlatformDesk(record, "desk-a", delay=ANSWER_AFTER_S), Board(record)
    await desk.start()
    await board.start()
    board.tell([member("desk-a", desk.address, 0)], complete=True)
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "board": board.address,
        "known": board.content(),
        "settings": settings([0]) | {"Instances": 1},
    }
    agents.append(agent := Agent(record, folder, config))
    await agent.start()
    proxy = Proxy(agent.listen, record)
    callers = PlatformCallers(record, "callers")
    await callers.connect(await proxy.start())
    await asyncio.sleep(0.5)  # the desk has told its free agents

    calls = [new_id() for _ in range(3)]
    sent = {}
    for call in calls:
        callers.send(platform_invite(call, 0, wait_ms=WAIT_MS))
        sent[call] = record.now()
        await asyncio.sleep(0.1)
    await until(lambda: len(desk.arrivals) == 3, 1.5, "the three set-ups at the desk")
    later = platform_invite(new_id(), 0, wait_ms=WAIT_MS)
    if TROUBLE:
        proxy.pass_bytes = 120
        asyncio.get_running_loop().call_later(QUIET_S, proxy.open.set)
    callers.send(later)
    await asyncio.sleep(WAIT_MS / 1000 + 1.5)

    broken = 0
    for call in calls:
        due = sent[call] + WAIT_MS / 1000 + ANSWER_SLACK_S
        answers = callers.answers[call]
        if len(answers) != 1 or answers[0][0] > due:
            broken += 1
            ended = f"; its connection ended at {callers.closed_at:.3f}" if callers.closed_at else ""
            record.add("check", f"{call}, sent whole at {sent[call]:.3f}, got {len(answers)} answers{ended}")
    if not TROUBLE and len(callers.answers[later.call]) != 1:
        raise CaseError("no answer to the fourth call without the disruption")
    await agent.end()
    return BROKEN if broken else HELD


main(__file__, case)
