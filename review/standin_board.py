"""A notice board: numbered events, told by long polls over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit


def member(ident: str, port: int, cell: int, phase: str = "Ready", since_ms: float = 0.0) -> dict[str, Any]:
    """The entry of a desk."""
    place = {"id": ident, "host_port": f"127.0.0.1:{port}", "locality": "budapest", "flavor": "desk-small"}
    return place | {"cell": cell, "phase": phase, "size": 1, "up_since_ms": since_ms}


class Board:
    """The board of one agent."""

    def __init__(self) -> None:
        self.notices: list[dict[str, Any]] = []
        self.news = asyncio.Condition()

    def add(self, members: list[dict[str, Any]], complete: bool = False) -> None:
        """Add an event before the board is served."""
        number = len(self.notices) + 1
        self.notices.append({"rev": number, "pool": {"revision": number, "complete": complete, "members": members}})

    async def tell(self, members: list[dict[str, Any]]) -> None:
        """Add an event and answer the polls that wait for it."""
        async with self.news:
            self.add(members)
            self.news.notify_all()

    def after(self, watch: int) -> dict[str, Any]:
        """All events after a number, as the board and `known` tell them."""
        return {"rev": len(self.notices), "notices": self.notices[watch:]}

    async def serve(self) -> int:
        """Listen; returns the port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                query = parse_qs(urlsplit(head.split(b" ")[1].decode()).query)
                watch, linger = int(query["watch"][0]), int(query["linger"][0]) / 1000.0
                async with self.news:
                    try:
                        async with asyncio.timeout(linger):
                            await self.news.wait_for(lambda watch=watch: len(self.notices) > watch)
                    except TimeoutError:
                        pass
                body = json.dumps(self.after(watch)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
