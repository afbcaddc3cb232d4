"""A stand-in notice board: numbered events, long polls, and hangs in which nothing is answered."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.soak.record import Record

LINGER_MOST = 5.0  # seconds


class Board:
    """Tells each agent the servers at the addresses that are that agent's."""

    def __init__(self, record: Record, agents: int) -> None:
        self.record, self.agents = record, agents
        self.loop = asyncio.get_running_loop()
        self.events: list[dict[str, dict[str, Any]]] = []  # by number: the members that changed, by name
        self.members: dict[str, dict[str, Any]] = {}
        self.ports: dict[str, list[int]] = {}
        self.news = asyncio.Condition()
        self.awake = asyncio.Event()
        self.awake.set()
        self.addresses: list[str] = []
        self.listeners: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen, once for each agent."""
        for agent in range(self.agents):
            listener = await asyncio.start_server(
                lambda reader, writer, agent=agent: self._serve(agent, reader, writer), "127.0.0.1", 0
            )
            self.listeners.append(listener)
            self.addresses.append("{}:{}".format(*listener.sockets[0].getsockname()))

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()

    async def tell(self, name: str, phase: str, ports: list[int], cell: int, since_ms: int = 0) -> None:
        """Put an event on the board."""
        self.ports[name] = list(ports)
        self.members[name] = {"id": name, "cell": cell, "phase": phase, "up_since_ms": since_ms, "locality": "here"}
        self.events.append({name: self.members[name]})
        if phase != "Ready":
            self.loop.create_task(self._counts_as_told(name))
        if phase == "Gone":
            del self.members[name]
        async with self.news:
            self.news.notify_all()

    async def _counts_as_told(self, name: str) -> None:
        await self.awake.wait()
        for agent in range(self.agents):
            self.record.audit.drain_announced(self.loop.time(), f"{name}@{agent}")

    def known(self, agent: int) -> dict[str, Any]:
        """The whole list, as a configuration has it."""
        return {"rev": len(self.events), "notices": [self._notice(agent, self.members, True)]}

    def _notice(self, agent: int, members: dict[str, dict[str, Any]], complete: bool) -> dict[str, Any]:
        listed = [one | {"host_port": f"127.0.0.1:{self.ports[name][agent]}"} for name, one in members.items()]
        return {"rev": len(self.events), "pool": {"complete": complete, "members": listed}}

    async def hang(self, seconds: float) -> None:
        """Answer nothing for a while."""
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()

    async def _serve(self, agent: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = parse_qs(urlsplit(head.split(" ")[1]).query)
                watch, linger = int(query["watch"][0]), float(query["linger"][0]) / 1000.0
                body = json.dumps(await self._news(agent, watch, min(linger, LINGER_MOST))).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()

    async def _news(self, agent: int, watch: int, linger: float) -> dict[str, Any]:
        if watch >= len(self.events):
            try:
                async with asyncio.timeout(linger), self.news:
                    await self.news.wait_for(lambda: watch < len(self.events))
            except TimeoutError:
                pass
        await self.awake.wait()
        changed = {name: one for event in self.events[watch:] for name, one in event.items()}
        notices = [self._notice(agent, changed, False)] if changed else []
        return {"rev": len(self.events), "notices": notices}
