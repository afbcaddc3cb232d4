"""Descriptors: idle callers can't take those of discovery, servers and operators."""

import asyncio
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
from seamlb.net.connection import MAX_UNSENT_CLIENT
from seamlb.net.descriptors import MIN_CALLER_SHARE, RESERVED, max_caller_connections, max_management_connections
from seamlb.net.dial import ConnectError, connect
from seamlb.net.reason import CloseReason
from tests.http_peers import ScriptedHttpServer, http, notices
from tests.loopback import HANG_TIMEOUT, DaemonTestCase, Peer, ScriptedDesk, invite, sip_request
from tests.processes import ProcessStory
from tests.support import RAW

SOCKETS = 64  # that the process may have
IDLE = 150  # callers that connect and say nothing


@pytest.mark.parametrize("total", [64, 96, 256, 512, 640, 4096])
@pytest.mark.parametrize("servers", [1, 8, 24, 64])
def test_what_is_kept_back_is_never_the_callers(total: int, servers: int) -> None:
    operators = max_management_connections(total, 32)
    clients = max_caller_connections(total, servers, operators)
    assert clients >= int(total * MIN_CALLER_SHARE), "the platform's callers hold as many"
    assert clients + operators + RESERVED + 2 * servers <= total or clients == int(total * MIN_CALLER_SHARE)


class Crowded(ProcessStory):
    async def test_a_crowd_while_discovery_is_down_keeps_neither_it_nor_servers_nor_operators_out(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        listen, operators, board = [await self.free_address() for _ in range(3)]
        path.write_text(
            json.dumps(
                {
                    "settings": RAW,
                    "listen": listen,
                    "management": operators,
                    "board": board,
                    "limits": {"sockets": SOCKETS},
                }
            )
        )
        limited = f"ulimit -n {SOCKETS}; exec {self.python} -m seamlb serve --config {path}"
        agent = await self.process("-c", limited, program="sh")
        await self.line(agent, '"serving"')
        agent.send_signal(signal.SIGSTOP)  # so that all of them wait to be accepted in one turn of its loop
        crowd = [await Peer.connect(listen) for _ in range(IDLE)]
        agent.send_signal(signal.SIGCONT)
        self.assertEqual(await self.health(operators), 200)
        desk = ScriptedDesk()
        address = await desk.start()

        async def handler(stand: ScriptedHttpServer, asked: str) -> bytes | None:
            if len(stand.paths) > 1:
                await asyncio.Event().wait()
            listed: dict[str, Any] = notices(1, ("d", "Ready"), complete=True)
            listed["notices"][0]["pool"]["members"][0] |= {"host_port": address, "cell": 0}
            return http(listed)

        discovery = ScriptedHttpServer(handler)
        await discovery.start(int(board.rpartition(":")[2]))
        await self.eventually(lambda: desk.peers)
        caller = await Peer.connect(listen)  # an idle one gives way
        caller.send(invite())
        await caller.until(200)
        self.assertLessEqual(len(list(Path(f"/proc/{agent.pid}/fd").iterdir())), SOCKETS)
        for one in (*crowd, caller):
            one.close()
        agent.send_signal(signal.SIGTERM)
        lines, _ = await asyncio.wait_for(agent.communicate(), HANG_TIMEOUT)
        self.assertNotIn(b"Too many open files", lines)
        discovery.server.close()
        await desk.stop()

    async def health(self, operators: str) -> int:
        """The status that operators are answered with."""
        host, _, port = operators.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n")
        head = await reader.readuntil(b"\r\n")
        writer.close()
        return int(head.split(b" ")[1])


class Exhausted(DaemonTestCase):
    async def test_a_connection_without_a_descriptor_is_one_that_never_came_up(self) -> None:
        none_left = OSError(errno.EMFILE, "Too many open files")
        with mock.patch("socket.socket", side_effect=none_left), self.assertRaises(ConnectError) as failed:
            await connect("127.0.0.1:9", "desk", 1.0)
        self.assertIs(failed.exception.reason, CloseReason.LIMIT)
        self.assertEqual([one["reason"] for one in self.events("connection_end")], ["limit"])


class Unread(DaemonTestCase):
    async def test_what_waits_for_a_caller_that_never_reads_is_bounded(self) -> None:
        daemon = await self.start(ScriptedDesk())
        caller = await self.caller()
        (client,) = await self.clients(daemon)
        long = sip_request("OPTIONS", "t")
        long.headers[0] = ("Via", "SIP/2.0/TCP " + "p" * 8000)  # which the answer repeats
        while not self.events("connection_end"):
            caller.send(long)
            await caller.writer.drain()
            await asyncio.sleep(0)
            waiting = client.connection.stream._write_buffer
            self.assertLessEqual(len(waiting or b""), MAX_UNSENT_CLIENT)
        self.assertEqual(self.events("connection_end")[0]["reason"], "overflow")

    async def clients(self, daemon: Daemon) -> set[Client]:
        await self.eventually(lambda: daemon.front.clients)
        return daemon.front.clients
