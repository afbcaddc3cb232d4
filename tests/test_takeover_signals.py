"""Signals to a process that takes over a listening socket, while it waits for its first list."""

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


async def never_answer(server: ScriptedHttpServer, path: str) -> bytes | None:
    """A discovery server that accepts a poll and never answers it."""
    await asyncio.Event().wait()
    return None


class SignalsDuringTakeover(ProcessTestCase):
    async def waiting_process(self) -> tuple[asyncio.subprocess.Process, str]:
        """A process with an inherited socket that waits for its first list, and the address of the socket."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        listen = "{}:{}".format(*listener.getsockname())
        self.path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        discovery = ScriptedHttpServer(never_answer)
        self.write_config(listen, await discovery.start())
        self.addCleanup(discovery.server.close)
        fd = os.dup(listener.fileno())
        process = await self.start_process(
            "-m", "seamlb", fds=(fd,), GW_CONFIG=str(self.path), GW_INHERITED_FD=str(fd)
        )
        os.close(fd)
        await self.eventually(lambda: discovery.paths)
        return process, listen

    def write_config(self, listen: str, board: str) -> None:
        self.path.write_text(json.dumps({"settings": RAW, "listen": listen, "board": board}))

    async def test_a_sigterm_before_it_serves_ends_it_gracefully(self) -> None:
        process, _ = await self.waiting_process()
        process.send_signal(signal.SIGTERM)
        await self.wait_for_line(process, '"draining"')
        await self.wait_for_line(process, '"ended"')
        self.assertEqual(await asyncio.wait_for(process.wait(), HANG_TIMEOUT), 0)

    async def test_a_reload_that_changes_discovery_delivers_the_awaited_list(self) -> None:
        process, listen = await self.waiting_process()
        desk = ScriptedDesk()
        listed: dict[str, Any] = notices(1, ("d", "Ready"), complete=True)
        listed["notices"][0]["pool"]["members"][0] |= {"host_port": await desk.start(), "cell": 0}

        async def handler(server: ScriptedHttpServer, path: str) -> bytes | None:
            return http(listed) if len(server.paths) == 1 else await never_answer(server, path)

        discovery = ScriptedHttpServer(handler)
        self.write_config(listen, await discovery.start())
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
