"""Consul's open watches fall silent once, and a desk is marked critical; new connections are served as ever."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (  # noqa: E402
    BROKEN,
    HELD,
    SLACK_S,
    TROUBLE,
    Agent,
    CaseError,
    PlatformCallers,
    PlatformDesk,
    Record,
    free_port,
    main,
    new_id,
    platform_invite,
    settings,
)

TOLD_S = 7.0  # what discovery has to tell counts as told this much later, whether it arrived or not
DRAIN_GRACE_S = 0.5
CALL_EVERY_S = 0.25
AFTER_S = 16.0  # for which calls go on after the desk was marked


class ConsulServer:
    """The catalogue and the health API of one service, with blocking queries."""

    def __init__(self, record: Record, desks: dict[str, PlatformDesk]) -> None:
        self.record, self.desks = record, desks
        self.index, self.changed = 10, asyncio.Event()
        self.critical: set[str] = set()
        self.frozen = False
        self.muted: set[asyncio.StreamWriter] = set()  # connections that stay open and silent
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen; returns the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def mark_critical(self, name: str) -> None:
        """The check of a desk fails."""
        self.critical.add(name)
        self.index += 1
        self.record.add("consul", f"{name} is critical, index {self.index}")
        self.changed.set()
        self.changed = asyncio.Event()

    def fall_silent(self) -> None:
        """The watches that are open now stay open, and nothing more comes on them."""
        self.muted = set(self.writers)
        self.record.add("consul", f"{len(self.muted)} open watches fall silent")

    def _body(self, path: str) -> list[dict[str, Any]]:
        entries = []
        for name, desk in self.desks.items():
            host, _, port = desk.address.rpartition(":")
            cell = str(list(self.desks).index(name))
            if path.startswith("/v1/catalog/"):
                place = {"ServiceAddress": host, "ServicePort": int(port), "ServiceMeta": {"cell": cell}}
                entries.append({"Node": name, "Address": host, "ServiceID": name, **place})
            else:
                status = "critical" if name in self.critical else "passing"
                service = {"ID": name, "Address": host, "Port": int(port), "Meta": {"cell": cell}}
                checks = [{"CheckID": f"service:{name}", "Status": status}]
                entries.append({"Node": {"Node": name, "Address": host}, "Service": service, "Checks": checks})
        return entries

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path, _, query = head.split(" ")[1].partition("?")
                asked = dict(part.split("=") for part in query.split("&"))
                if int(asked.get("index", "0")) >= self.index:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(asked["wait"].removesuffix("ms")) / 1000):
                            await self.changed.wait()
                if writer in self.muted:
                    await asyncio.sleep(3600)
                body = json.dumps(self._body(path)).encode()
                first = f"HTTP/1.1 200 OK\r\nX-Consul-Index: {self.index}\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(first.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def case(record: Record, folder: Path, agents: list[Agent]) -> int:
    """Do set-ups still go to the desk after it counts as told that it is critical?"""
    desks = {name: PlatformDesk(record, name) for name in ("desk-a", "desk-b")}
    for desk in desks.values():
        await desk.start()
    consul = ConsulServer(record, desks)
    address = await consul.start()
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings([0, 1]) | {"Instances": 1},
    }
    plugins = f'[consul]\naddress = "{address}"\nservice = "duty-desk"\n'
    agents.append(agent := Agent(record, folder, config, plugins))
    await agent.start()
    callers = PlatformCallers(record, "callers")
    await callers.connect(agent.listen)

    async def call_on() -> None:
        while True:
            await asyncio.sleep(CALL_EVERY_S)
            callers.send(platform_invite(new_id(), 0))
            for desk in desks.values():  # calls last a second or two
                for call in list(desk.standing)[: max(0, len(desk.standing) - 8)]:
                    desk.release(call)

    await asyncio.sleep(1.0)
    calling = asyncio.create_task(call_on())
    await asyncio.sleep(3.0)
    if not desks["desk-a"].arrivals:
        raise CaseError("no calls arrive at desk-a")
    if TROUBLE:
        consul.fall_silent()
    await asyncio.sleep(0.5)
    marked = record.now()
    consul.mark_critical("desk-a")
    await asyncio.sleep(AFTER_S)
    calling.cancel()

    last = marked + TOLD_S + DRAIN_GRACE_S + SLACK_S
    late = [(at, call) for at, call in desks["desk-a"].arrivals if at > last]
    for at, call in late:
        record.add("check", f"{call} set up at desk-a at {at:.3f}, {at - marked:.3f} s after it was marked critical")
    if not late and not any(at > last for at, _ in desks["desk-b"].arrivals):
        raise CaseError("calls do not go on at desk-b")
    await agent.end()
    return BROKEN if late else HELD


main(__file__, case)
