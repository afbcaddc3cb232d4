"""Memory stays bounded under floods of connections, of partial messages, of requests and of retries."""

import asyncio
import json
import tempfile
from pathlib import Path

from tests.loopback import Peer, ScriptedDesk, invite
from tests.processes import ProcessTestCase
from tests.support import RAW

SOCKETS = 512  # descriptor limit of the process
MAX_OPEN = 100
CONNECTIONS = 600  # more than the process accepts
PARTIAL_MESSAGE = b"INVITE sip:a SIP/2.0\r\nVia: " + b"p" * 15_000  # below the size limit of a message
PIPELINED_REQUESTS = 400  # on each connection of a caller that reads nothing
PIPELINING_CALLERS = 40
RETRIES = 6_000  # refused calls, more than the agent remembers
GROWTH_KIB = SOCKETS * 2 * 16  # above an idle process: two messages of maximum length (16 KiB) per descriptor


def peak_kib(pid: int) -> int:
    """The peak resident memory of a process, in KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise ValueError("no VmHWM")


class Floods(ProcessTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        self.listen = await self.free_address()
        desk = ScriptedDesk(report="idle:0;circuits:5")
        members = [{"id": "d", "host_port": await desk.start(), "cell": 0, "phase": "Ready", "up_since_ms": 0}]
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": members}}]}
        settings = RAW | {"Limits": RAW["Limits"] | {"MaxOpen": MAX_OPEN}}
        limits = {"sockets": SOCKETS}
        path.write_text(json.dumps({"settings": settings, "listen": self.listen, "known": known, "limits": limits}))
        self.agent = await self.start_process("-m", "seamlb", "serve", "--config", str(path))
        await self.wait_for_line(self.agent, '"serving"')
        self.idle_kib = peak_kib(self.agent.pid)
        self.reader = asyncio.create_task(self.agent.stdout.read())
        self.addAsyncCleanup(desk.stop)
        self.addAsyncCleanup(self.stop_reading)

    async def stop_reading(self) -> None:
        self.reader.cancel()
        await asyncio.gather(self.reader, return_exceptions=True)

    async def wait_until_responsive(self) -> None:
        """Wait until a new caller receives its final answer."""
        caller = await Peer.connect(self.listen)
        caller.send(invite())
        await caller.next()
        caller.close()

    def assert_bounded(self) -> None:
        self.assertLessEqual(peak_kib(self.agent.pid), self.idle_kib + GROWTH_KIB)

    async def test_partial_messages_on_many_connections(self) -> None:
        peers = [await Peer.connect(self.listen) for _ in range(CONNECTIONS)]
        for peer in peers:
            peer.send(PARTIAL_MESSAGE)
        await self.wait_until_responsive()
        self.assert_bounded()
        for peer in peers:
            peer.close()

    async def test_requests_of_callers_that_do_not_read(self) -> None:
        writers = [await Peer.connect(self.listen) for _ in range(PIPELINING_CALLERS)]
        for number, peer in enumerate(writers):
            for place in range(PIPELINED_REQUESTS):
                peer.send(invite(f"{number:08x}{place:08x}"))
        await self.wait_until_responsive()
        self.assert_bounded()
        for peer in writers:
            peer.close()

    async def test_retries_of_many_callers(self) -> None:
        caller = await Peer.connect(self.listen)
        for place in range(RETRIES):
            caller.send(invite(f"{place:016x}"))
            if place % 50 == 49:
                for _ in range(50):
                    await caller.next()
        self.assert_bounded()
        caller.close()
