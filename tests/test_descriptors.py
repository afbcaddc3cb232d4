"""Descriptor limits: idle callers cannot use up those of discovery, servers and operators."""

import asyncio
import contextlib
import errno
import json
import signal
import tempfile
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from seamlb.daemon import Daemon
from seamlb.fronts.calls import Client
from seamlb.net.close_reason import CloseReason
from seamlb.net.connecting import ConnectError, connect
from seamlb.net.connection import MAX_UNSENT_CLIENT
from seamlb.net.descriptors import MIN_CALLER_SHARE, RESERVED, max_caller_connections, max_management_connections
from tests.http_peers import ScriptedHttpServer, http, notices
from tests.loopback import HANG_TIMEOUT, DaemonTestCase, Peer, ScriptedDesk, invite, sip_request
from tests.processes import ProcessTestCase
from tests.support import RAW

SOCKETS = 64  # descriptor limit of the process
IDLE_CALLERS = 150  # they connect and send nothing


@pytest.mark.parametrize("total", [64, 96, 256, 512, 640, 4096])
@pytest.mark.parametrize("servers", [1, 8, 24, 64])
@pytest.mark.parametrize("discovery", [0, 6])
def test_caller_connections_leave_the_reserved_descriptors_free(total: int, servers: int, discovery: int) -> None:
    management = max_management_connections(total, 32)
    clients = max_caller_connections(total, servers, management + discovery)
    reserved = RESERVED + discovery
    assert clients >= int(total * MIN_CALLER_SHARE), "callers always get their minimum share"
    assert clients + management + reserved + 2 * servers <= total or clients == int(total * MIN_CALLER_SHARE)


class ManyIdleCallers(ProcessTestCase):
    async def test_idle_callers_block_neither_discovery_nor_servers_nor_operators(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        listen, management, board = [await self.free_address() for _ in range(3)]
        path.write_text(
            json.dumps(
                {
                    "settings": RAW,
                    "listen": listen,
                    "management": management,
                    "board": board,
                    "limits": {"sockets": SOCKETS},
                }
            )
        )
        limited = f"ulimit -n {SOCKETS}; exec {self.python} -m seamlb serve --config {path}"
        agent = await self.start_process("-c", limited, program="sh")
        await self.wait_for_line(agent, '"serving"')
        agent.send_signal(signal.SIGSTOP)  # so that all connections are accepted in one turn of its event loop
        crowd = [await Peer.connect(listen) for _ in range(IDLE_CALLERS)]
        agent.send_signal(signal.SIGCONT)
        self.assertEqual(await self.health(management), 200)
        desk = ScriptedDesk()
        address = await desk.start()

        async def handler(server: ScriptedHttpServer, path: str) -> bytes | None:
            if len(server.paths) > 1:
                await asyncio.Event().wait()
            listed: dict[str, Any] = notices(1, ("d", "Ready"), complete=True)
            listed["notices"][0]["pool"]["members"][0] |= {"host_port": address, "cell": 0}
            return http(listed)

        discovery = ScriptedHttpServer(handler)
        await discovery.start(int(board.rpartition(":")[2]))
        await self.eventually(lambda: desk.peers)
        caller = await Peer.connect(listen)  # an idle one is evicted
        caller.send(invite())
        await caller.until(200)
        self.assertLessEqual(len(list(Path(f"/proc/{agent.pid}/fd").iterdir())), SOCKETS)
        for peer in (*crowd, caller):
            peer.close()
        agent.send_signal(signal.SIGTERM)
        lines, _ = await asyncio.wait_for(agent.communicate(), HANG_TIMEOUT)
        self.assertNotIn(b"Too many open files", lines)
        discovery.server.close()
        await desk.stop()

    async def health(self, address: str) -> int:
        """Return the HTTP status of the health check."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n")
        head = await reader.readuntil(b"\r\n")
        writer.close()
        return int(head.split(b" ")[1])


class NoDescriptorLeft(DaemonTestCase):
    async def test_a_connect_without_a_free_descriptor_fails_with_limit(self) -> None:
        no_descriptor = OSError(errno.EMFILE, "Too many open files")
        with mock.patch("socket.socket", side_effect=no_descriptor), self.assertRaises(ConnectError) as failed:
            await connect("127.0.0.1:9", "desk", 1.0)
        self.assertIs(failed.exception.reason, CloseReason.LIMIT)
        self.assertEqual([one["reason"] for one in self.events("connection_end")], ["limit"])


class UnreadData(DaemonTestCase):
    async def test_unsent_data_for_a_caller_that_never_reads_is_limited(self) -> None:
        daemon = await self.start(ScriptedDesk())
        caller = await self.caller()
        (client,) = await self.clients(daemon)
        large_request = sip_request("OPTIONS", "t")
        large_request.headers[0] = ("Via", "SIP/2.0/TCP " + "p" * 8000)  # the answer repeats the Via
        while not self.events("connection_end"):
            caller.send(large_request)
            with contextlib.suppress(ConnectionResetError):  # the end of the connection, which is checked below
                await caller.writer.drain()
            await asyncio.sleep(0)
            unsent = client.connection.stream._write_buffer
            self.assertLessEqual(len(unsent or b""), MAX_UNSENT_CLIENT)
        self.assertEqual(self.events("connection_end")[0]["reason"], "overflow")

    async def clients(self, daemon: Daemon) -> set[Client]:
        await self.eventually(lambda: daemon.front.clients)
        return daemon.front.clients
