"""Signals that reach a process which takes over a listening socket, while it waits for its first list."""

import asyncio
import json
import os
import signal
import socket
import tempfile
from pathlib import Path
from typing import Any

from tests.http_peers import ScriptedHttpServer, http, notices
from tests.loopback import HANG_TIMEOUT, Peer, ScriptedDesk, invite
from tests.processes import ProcessTestCase
from tests.support import RAW


async def silent(stand: ScriptedHttpServer, path: str) -> bytes | None:
    """Discovery that takes a poll and never answers it."""
    await asyncio.Event().wait()
    return None


class Waiting(ProcessTestCase):
    async def waiting(self) -> tuple[asyncio.subprocess.Process, str]:
        """A process on a socket handed down that waits for its first list, and the socket's address."""
        held = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(held.close)
        listen = "{}:{}".format(*held.getsockname())
        self.path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        discovery = ScriptedHttpServer(silent)
        self.write(listen, await discovery.start())
        self.addCleanup(discovery.server.close)
        fd = os.dup(held.fileno())
        process = await self.start_process(
            "-m", "seamlb", fds=(fd,), GW_CONFIG=str(self.path), GW_INHERITED_FD=str(fd)
        )
        os.close(fd)
        await self.eventually(lambda: discovery.paths)
        return process, listen

    def write(self, listen: str, board: str) -> None:
        self.path.write_text(json.dumps({"settings": RAW, "listen": listen, "board": board}))

    async def test_a_sigterm_before_it_serves_ends_it_in_good_order(self) -> None:
        process, _ = await self.waiting()
        process.send_signal(signal.SIGTERM)
        await self.wait_for_line(process, '"draining"')
        await self.wait_for_line(process, '"ended"')
        self.assertEqual(await asyncio.wait_for(process.wait(), HANG_TIMEOUT), 0)

    async def test_a_reload_that_moves_discovery_brings_the_list_that_was_waited_for(self) -> None:
        process, listen = await self.waiting()
        desk = ScriptedDesk()
        listed: dict[str, Any] = notices(1, ("d", "Ready"), complete=True)
        listed["notices"][0]["pool"]["members"][0] |= {"host_port": await desk.start(), "cell": 0}

        async def handler(stand: ScriptedHttpServer, path: str) -> bytes | None:
            return http(listed) if len(stand.paths) == 1 else await silent(stand, path)

        discovery = ScriptedHttpServer(handler)
        self.write(listen, await discovery.start())
        process.send_signal(signal.SIGHUP)
        await self.wait_for_line(process, '"reloaded"')
        await self.wait_for_line(process, '"list"')
        await self.wait_for_line(process, '"serving"')
        caller = await Peer.connect(listen)
        caller.send(invite())
        await caller.until(200)
        caller.close()
        discovery.server.close()
        await desk.stop()
