"""A notice board that moves, refuses, falls silent or is slow, and from when a drain counts as told."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.soak.board import MAX_LINGER_S, Board
from tests.soak.record import Record

ADDRESSES = 3  # of each agent's board; it answers at one of them
TOLD_S = 7.0  # after an event was published, whether or not it has arrived
TOLD_AFTER_OUTAGE_S = 6.0  # after an event was published and the board could be reached
SLOW_ANSWER_S = 2.5


class FaultyBoard(Board):
    """A board with several addresses for each agent."""

    def __init__(self, record: Record, agents: int) -> None:
        super().__init__(record, agents)
        self.ports: dict[str, list[int]] = {}
        self.places: list[list[str]] = []  # by agent: all addresses
        self.active = [0] * agents
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.reachable_since = float("-inf")
        self.moved_at = [float("-inf")] * agents
        self.asked_at = [float("-inf")] * agents  # at the place where it answers
        self.answer_delay_s = 0.0
        self.swallows = False  # what is asked now is never answered
        self.told: set[tuple[str, int]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        for agent in range(self.agents):
            self.places.append([await self._listen(agent, place, 0) for place in range(ADDRESSES)])
        self.addresses = [places[0] for places in self.places]

    def report_unasked(self) -> None:
        """Report the agents that have not asked at their newest address, though they had the time for it."""
        now = self.loop.time()
        for agent, moved_at in enumerate(self.moved_at):
            if self.asked_at[agent] < moved_at < now - TOLD_S and self.reachable_since < now - TOLD_AFTER_OUTAGE_S:
                late = f"moved {now - moved_at:.1f} s ago"
                self.record.audit.report(now, "newest address not asked", f"agent {agent}", late)

    async def _listen(self, agent: int, place: int, port: int) -> str:
        listener = await asyncio.start_server(
            lambda reader, writer: self._serve_at(agent, place, reader, writer), "127.0.0.1", port
        )
        self.listeners.append(listener)
        return "{}:{}".format(*listener.sockets[0].getsockname())

    def move(self, agent: int) -> str:
        """Answer at the agent's next address only, and return it."""
        self.active[agent] = (self.active[agent] + 1) % ADDRESSES
        self.moved_at[agent] = self.loop.time()
        return self.places[agent][self.active[agent]]

    async def outage(self, kind: str, seconds: float) -> None:
        """Play an outage of this kind."""
        if kind == "board slow":
            self.answer_delay_s = SLOW_ANSWER_S
            await asyncio.sleep(seconds)
            self.answer_delay_s, self.reachable_since = 0.0, self.loop.time()
            return
        self.reachable.clear()
        if kind == "board refuses":
            for listener in self.listeners:
                listener.close()
            self.listeners.clear()
            for writer in self.writers:
                writer.transport.abort()
        self.answering.clear()
        self.swallows = kind == "board swallows"
        await asyncio.sleep(seconds)
        if kind == "board refuses":
            for agent, places in enumerate(self.places):
                for place, address in enumerate(places):
                    await self._listen(agent, place, int(address.rpartition(":")[2]))
        self.swallows = False
        self.answering.set()
        self.reachable_since = self.loop.time()
        self.reachable.set()

    async def _audit_drain_once_answered(self, name: str) -> None:
        published_at = self.loop.time()
        in_trouble = not self.reachable.is_set() or self.answer_delay_s > 0.0
        moved = published_at - max(self.moved_at) < TOLD_S
        if in_trouble or moved or published_at - self.reachable_since < TOLD_AFTER_OUTAGE_S:
            due = published_at + TOLD_S
            if not moved:
                await self.reachable.wait()
                due = min(due, max(published_at, self.reachable_since) + TOLD_AFTER_OUTAGE_S)
            await asyncio.sleep(due - self.loop.time())
        for agent in range(self.agents):
            self._announce(name, agent)

    def _announce(self, name: str, agent: int) -> None:
        if (name, agent) not in self.told:
            self.told.add((name, agent))
            self.record.audit.drain_announced(self.loop.time(), f"{name}@{agent}")

    async def _serve_at(
        self, agent: int, place: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = parse_qs(urlsplit(head.split(" ")[1]).query)
                if place == self.active[agent]:
                    self.asked_at[agent] = self.loop.time()
                watch, linger_s = int(query["watch"][0]), float(query["linger"][0]) / 1000.0
                if self.swallows or place != self.active[agent]:
                    await reader.read()  # never answered: wait for the end of the connection
                    return writer.close()
                answer = await self._poll(agent, watch, min(linger_s, MAX_LINGER_S))
                if self.swallows or place != self.active[agent]:
                    await reader.read()  # never answered: wait for the end of the connection
                    return writer.close()
                await asyncio.sleep(self.answer_delay_s)
                if reader.at_eof():  # the agent has closed this connection, so nothing told on it counts
                    return writer.close()
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                self._note_told(agent, answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()
        finally:
            self.writers.discard(writer)

    def _note_told(self, agent: int, answer: dict[str, Any]) -> None:
        for notice in answer["notices"]:
            for member in notice["pool"]["members"]:
                if member["phase"] != "Ready":
                    self._announce(member["id"], agent)
