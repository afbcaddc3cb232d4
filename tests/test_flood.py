"""Memory stays bounded under floods of connections, of half messages, of requests and of retries."""

import asyncio
import json
import tempfile
from pathlib import Path

from tests.loopback import Peer, ScriptedDesk, invite
from tests.processes import ProcessTestCase
from tests.support import RAW

SOCKETS = 512  # descriptors that the process may have
MAX_OPEN = 100
CROWD = 600  # connections, more than the process accepts
HALF = b"INVITE sip:a SIP/2.0\r\nVia: " + b"p" * 15_000  # within a message's limit, and never whole
PIPELINED = 400  # requests on one connection whose caller reads nothing
WRITERS = 40
RETRIES = 6_000  # callers that are refused, more than are remembered
GROWTH_KIB = SOCKETS * 2 * 16  # over an idle process: two of the longest messages (16 KiB) for each descriptor


def peak_kib(pid: int) -> int:
    """The most resident memory that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise ValueError("no VmHWM")


class Flooded(ProcessTestCase):
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
        self.addAsyncCleanup(self.read_no_more)

    async def read_no_more(self) -> None:
        self.reader.cancel()
        await asyncio.gather(self.reader, return_exceptions=True)

    async def answered(self) -> None:
        """Wait until a caller that comes now has its final answer."""
        caller = await Peer.connect(self.listen)
        caller.send(invite())
        await caller.next()
        caller.close()

    def assert_bounded(self) -> None:
        self.assertLessEqual(peak_kib(self.agent.pid), self.idle_kib + GROWTH_KIB)

    async def test_half_messages_of_a_crowd(self) -> None:
        crowd = [await Peer.connect(self.listen) for _ in range(CROWD)]
        for one in crowd:
            one.send(HALF)
        await self.answered()
        self.assert_bounded()
        for one in crowd:
            one.close()

    async def test_requests_of_callers_that_never_read(self) -> None:
        writers = [await Peer.connect(self.listen) for _ in range(WRITERS)]
        for number, one in enumerate(writers):
            for place in range(PIPELINED):
                one.send(invite(f"{number:08x}{place:08x}"))
        await self.answered()
        self.assert_bounded()
        for one in writers:
            one.close()

    async def test_retries_of_many_callers(self) -> None:
        caller = await Peer.connect(self.listen)
        for place in range(RETRIES):
            caller.send(invite(f"{place:016x}"))
            if place % 50 == 49:
                for _ in range(50):
                    await caller.next()
        self.assert_bounded()
        caller.close()
