"""A stub notice board: numbered events, long polls, and hangs during which no poll is answered."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.soak.record import Record

MAX_LINGER_S = 5.0  # longest wait of a poll


class Board:
    """Publishes the list of servers; each agent gets the server addresses reserved for that agent."""

    def __init__(self, record: Record, agents: int) -> None:
        self.record, self.agents = record, agents
        self.loop = asyncio.get_running_loop()
        self.events: list[dict[str, dict[str, Any]]] = []  # by event number: the changed members, by name
        self.members: dict[str, dict[str, Any]] = {}
        self.ports: dict[str, list[int]] = {}
        self.change = asyncio.Condition()
        self.answering = asyncio.Event()
        self.answering.set()
        self.addresses: list[str] = []
        self.listeners: list[asyncio.Server] = []

    async def start(self) -> None:
        """Open a listener for each agent."""
        for agent in range(self.agents):
            listener = await asyncio.start_server(
                lambda reader, writer, agent=agent: self._serve(agent, reader, writer), "127.0.0.1", 0
            )
            self.listeners.append(listener)
            self.addresses.append("{}:{}".format(*listener.sockets[0].getsockname()))

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()

    async def publish(self, name: str, phase: str, ports: list[int], cell: int, since_ms: int = 0) -> None:
        """Publish an event: a member has changed."""
        self.ports[name] = list(ports)
        self.members[name] = {"id": name, "cell": cell, "phase": phase, "up_since_ms": since_ms, "locality": "here"}
        self.events.append({name: self.members[name]})
        if phase != "Ready":
            self.loop.create_task(self._audit_drain_once_answered(name))
        if phase == "Gone":
            del self.members[name]
        async with self.change:
            self.change.notify_all()

    async def _audit_drain_once_answered(self, name: str) -> None:
        await self.answering.wait()
        for agent in range(self.agents):
            self.record.audit.drain_announced(self.loop.time(), f"{name}@{agent}")

    def full_list(self, agent: int) -> dict[str, Any]:
        """The complete list in the form of the configuration's `known`."""
        return {"rev": len(self.events), "notices": [self._notice(agent, self.members, True)]}

    def _notice(self, agent: int, members: dict[str, dict[str, Any]], complete: bool) -> dict[str, Any]:
        listed = [member | {"host_port": f"127.0.0.1:{self.ports[name][agent]}"} for name, member in members.items()]
        return {"rev": len(self.events), "pool": {"complete": complete, "members": listed}}

    async def hang(self, seconds: float) -> None:
        """Stop answering for `seconds`."""
        self.answering.clear()
        await asyncio.sleep(seconds)
        self.answering.set()

    async def _serve(self, agent: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = parse_qs(urlsplit(head.split(" ")[1]).query)
                watch, linger_s = int(query["watch"][0]), float(query["linger"][0]) / 1000.0
                body = json.dumps(await self._poll(agent, watch, min(linger_s, MAX_LINGER_S))).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()

    async def _poll(self, agent: int, watch: int, linger_s: float) -> dict[str, Any]:
        if watch >= len(self.events):
            try:
                async with asyncio.timeout(linger_s), self.change:
                    await self.change.wait_for(lambda: watch < len(self.events))
            except TimeoutError:
                pass
        await self.answering.wait()
        changed = {name: member for event in self.events[watch:] for name, member in event.items()}
        notices = [self._notice(agent, changed, False)] if changed else []
        return {"rev": len(self.events), "notices": notices}
