"""A scripted HTTP server, and the responses of the notice board and Consul."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from seamlb.routing.model import Discovery
from tests.consul_server import ConsulServer
from tests.loopback import DaemonTestCase

Handler = Callable[["ScriptedHttpServer", str], Awaitable[bytes | None]]


class ScriptedHttpServer:
    """An HTTP server whose handler returns the bytes of each response, or None to close the connection."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.paths: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self, port: int = 0) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.decode().split(" ")[1]
                self.paths.append(path)
                answer = await self.handler(self, path)
                if answer is None:
                    return writer.close()
                writer.write(answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()


def http(body: Any, index: int | None = None, status: int = 200) -> bytes:
    data = json.dumps(body).encode()
    extra = "" if index is None else f"X-Consul-Index: {index}\r\n"
    return f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(data)}\r\n\r\n".encode() + data


def notices(rev: int, *members: tuple[str, str], complete: bool = False) -> dict[str, Any]:
    listed = [
        {"id": name, "host_port": "127.0.0.1:9", "locality": "z", "cell": 1, "phase": phase}
        for name, phase in members
    ]
    return {"rev": rev, "notices": [{"rev": rev, "pool": {"complete": complete, "members": listed}}]}


class DiscoveryTestCase(DaemonTestCase):
    """Base class of tests that follow a list of desks."""

    async def follow(self, discovery: Discovery, server: ScriptedHttpServer | ConsulServer) -> None:
        """Follow the list of the server until the test ends."""
        following = asyncio.create_task(discovery.run())

        async def stop() -> None:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)
            server.server.close()

        self.addAsyncCleanup(stop)
