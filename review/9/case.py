"""A caller's connection falls quiet, and the calls set up on it come to their end; it has another one in use."""

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

RELEASE_S = 8.0  # the longer of the two limits: as if no release could be sent
UNUSED_S = 4.0  # after which callers close a connection with no call on it; a call that stands is on none
CALLS = 3


class Proxy:
    """The network between one connection of the callers and the agent; it may fall quiet in both directions."""

    def __init__(self, agent: str) -> None:
        self.agent = agent
        self.open = asyncio.Event()
        self.open.set()
        self.writers: list[asyncio.StreamWriter] = []

    def end(self) -> None:
        """The callers close the connection; what was held back is gone."""
        for writer in self.writers:
            writer.close()

    async def start(self) -> str:
        """Listen; returns the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.agent.rpartition(":")
        agent_reader, agent_writer = await asyncio.open_connection(host, int(port))
        self.writers = [writer, agent_writer]
        await asyncio.gather(self._pump(reader, agent_writer), self._pump(agent_reader, writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
        except OSError:
            pass
        finally:
            writer.close()


async def case(record: Record, folder: Path, agents: list[Agent]) -> int:
    """Are the calls released towards their caller, which has another connection that works and is in use?"""
    desk, board = PlatformDesk(record, "desk-a"), Board(record)
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
    proxy = Proxy(agent.listen)
    one, other = PlatformCallers(record, "callers-1"), PlatformCallers(record, "callers-2")
    await one.connect(await proxy.start())
    await other.connect(agent.listen)
    await asyncio.sleep(0.5)

    async def call_on() -> None:
        while True:
            call = new_id()
            other.send(platform_invite(call, 0))
            await asyncio.sleep(0.6)
            if call in desk.standing:
                desk.release(call)

    calling = asyncio.create_task(call_on())
    calls = [new_id() for _ in range(CALLS)]
    for call in calls:
        one.send(platform_invite(call, 0))
        await asyncio.sleep(0.1)
    await until(lambda: all(call in desk.standing and one.answers[call] for call in calls), 3.0, "the calls stand")
    await asyncio.sleep(1.0)
    if TROUBLE:
        record.add("network", "the connection of callers-1 falls quiet and stays open")
        proxy.open.clear()
        asyncio.get_running_loop().call_later(UNUSED_S, proxy.end)
    await asyncio.sleep(1.0)
    over = record.now()
    for call in calls:
        desk.release(call)
    await asyncio.sleep(RELEASE_S + 1.0)
    calling.cancel()
    ended = [one["reason"] for one in agent.events("connection_end") if one.get("kind") == "client"]
    record.add("agent", f"callers' connections that have ended by its log: {ended}")

    broken = 0
    for call in calls:
        released = min((side.ends[call] for side in (one, other) if call in side.ends), default=None)
        if released is None or released > over + RELEASE_S + SLACK_S:
            broken += 1
            record.add("check", f"{call} over at {over:.3f}, not released on either connection by then")
    if not broken and not other.ends:
        raise CaseError("no call of the other connection was released")
    await agent.end()
    return BROKEN if broken else HELD


main(__file__, case)
