"""A stand-in for Consul: the catalogue and the health API of one service, with blocking queries and faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from typing import Any

HELD_FOREVER_S = 3600.0
HOLD_FACTOR = 17 / 16  # of the wait that is asked for


@dataclass
class ConsulServer:
    """Two desks, `a` and `b`; what stands here is changed by the tests while it serves.

    Connections in `silent` stay open and are not answered; what was asked on them before is answered after `thaw`.
    """

    index: int = 10
    critical: set[str] = field(default_factory=set)
    has_leader: bool = True
    answer_after: float = 0.0  # seconds from a query's answer to the moment at which it is written
    cuts_answers: bool = False  # queries get the first part of their answer and nothing more
    silent: set[asyncio.StreamWriter] = field(default_factory=set)
    thawed: asyncio.Event = field(default_factory=asyncio.Event)
    spoilt: dict[str, dict[str, Any]] = field(default_factory=dict)  # by desk: what its entries hold instead
    queries: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> str:
        """Listen, on the same port as before if there was one; returns the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        """Refuse connections, and reset those that are open."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def fall_silent(self) -> None:
        """Answer nothing more on the connections that are open now."""
        self.silent |= self.writers

    def notify(self) -> None:
        """Answer the open queries with what stands here."""
        self.changed.set()
        self.changed = asyncio.Event()

    def mark_critical(self, name: str) -> None:
        """The check of a desk fails."""
        self.critical.add(name)
        self.index += 1
        self.notify()

    def begin_anew(self) -> None:
        """A new state store with lower indexes; a query for a higher one is held until its wait ends."""
        self.index = 1

    def _body(self, path: str) -> list[dict[str, Any]]:
        if path.startswith("/v1/catalog/"):
            place = {"Address": "127.0.0.1", "ServicePort": 9, "ServiceMeta": {"cell": "1"}}
            return [{"Node": "n", "ServiceID": name, **place, **self.spoilt.get(name, {})} for name in "ab"]
        return [
            {
                "Node": {"Node": "n"},
                "Service": {"ID": name},
                "Checks": [{"Status": "critical" if name in self.critical else "passing"}],
                **self.spoilt.get(name, {}),
            }
            for name in "ab"
        ]

    async def _hold(self, query: str) -> None:
        """Hold a query until there is something newer than its index, for its wait at most."""
        asked = dict(part.split("=") for part in query.split("&"))
        index, wait_s = int(asked["index"]), int(asked["wait"].removesuffix("ms")) / 1000 * HOLD_FACTOR
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while index and index >= self.index and self.has_leader:
                    await self.changed.wait()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
                self.queries.append(target)
                path, _, query = target.partition("?")
                answer = self._answer(path)  # as things stood when it was asked
                await self._hold(query)
                if writer in self.silent:
                    await self.thawed.wait()
                else:
                    answer = self._answer(path)
                await asyncio.sleep(self.answer_after)
                if self.cuts_answers:
                    writer.write(answer[: -len(answer) // 4])
                    await asyncio.sleep(HELD_FOREVER_S)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _answer(self, path: str) -> bytes:
        body = json.dumps(self._body(path)).encode()
        status = "200 OK" if self.has_leader else "500 No cluster leader"
        return (
            f"HTTP/1.1 {status}\r\nX-Consul-Index: {self.index}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
