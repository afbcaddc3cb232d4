"""A call agent as a process of its own, a crowd of bad clients, and usual callers beside them."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from tests.loopback import Peer, ScriptedDesk, invite
from tests.processes import ROOT, log_events
from tests.support import LONG_TARGETS, RAW

MEMORY_MB, SOCKETS = 64, 1024
BYTES_PER_MB = 1_000_000
PROCESSES = 2  # of the crowd
CALL_EVERY = 0.2  # seconds between two usual calls
WAIT_MS, LATE_MS = 3000, 500  # of a usual caller; an answer half a second after its time still counts (FLEET)
START_TIMEOUT = 20.0  # seconds


@contextlib.contextmanager
def alone() -> Iterator[None]:
    """Let one crowd play at a time, whatever number of test processes there is: each takes three cores."""
    with open(Path(tempfile.gettempdir()) / f"seamlb-crowd-{os.getuid()}.lock", "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Plays one crowd against a new agent; `answers` has the final status and the wait of each usual call."""

    async def asyncSetUp(self) -> None:
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.stack.enter_context(alone())
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.log = self.folder / "log"
        self.answers: list[tuple[int, float]] = []
        self.peak = 0  # bytes

    async def start_agent(self, **limits: Any) -> None:
        desk = ScriptedDesk(report="idle:400;circuits:400")
        member = {"id": "d0", "host_port": await desk.start(), "locality": "z", "flavor": "std", "cell": 0}
        member |= {"phase": "Ready", "size": 4, "up_since_ms": 0}
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"revision": 1, "complete": True, "members": [member]}}]}
        limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS} | limits
        settings = RAW | LONG_TARGETS
        config = {"listen": "127.0.0.1:0", "seed": "1", "limits": limits, "settings": settings, "known": known}
        (self.folder / "config.json").write_text(json.dumps(config))
        addresses = 'udp = "127.0.0.1:0"\ntcp = "127.0.0.1:0"\ndefault_class = "a"\n'
        (self.folder / "plugins.toml").write_text(f"[sip]\n{addresses}")
        command = [sys.executable, "-m", "seamlb", "serve", "--config", str(self.folder / "config.json")]
        output = self.stack.enter_context(self.log.open("wb"))
        self.agent = self.start_process([*command, "--plugins", str(self.folder / "plugins.toml")], output)
        async with asyncio.timeout(START_TIMEOUT):
            while not log_events(self.log, "serving"):
                await asyncio.sleep(0.05)
        self.addresses = {one["front"]: one["address"] for one in log_events(self.log, "listening")}

    def start_process(self, command: list[str], output: Any = None) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(command, cwd=ROOT, stdout=output)

        def end() -> None:
            process.kill()
            process.wait()

        self.stack.callback(end)
        return process

    def resident(self) -> int:
        pages = int(Path(f"/proc/{self.agent.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    async def play(self, front: str, kind: str, clients: int, seconds: float) -> None:
        """Let the crowd play, with usual callers on the platform's front beside it."""
        each = str(max(1, clients // PROCESSES))
        command = [sys.executable, "-m", "tests.crowd", self.addresses[front], kind, each, str(seconds)]
        for _ in range(min(PROCESSES, clients)):
            self.start_process(command + (["SIP"] if front != "platform" else []))
        calls, end = [], time.monotonic() + seconds
        while time.monotonic() < end:
            calls.append(asyncio.create_task(self.call(f"{len(calls):016x}")))
            for _ in range(4):
                await asyncio.sleep(CALL_EVERY / 4)
                self.peak = max(self.peak, self.resident())
        await asyncio.gather(*calls)
        self.peak = max(self.peak, self.resident())
        self.assertIsNone(self.agent.poll())
        self.assertEqual(log_events(self.log, "fault"), [])

    async def call(self, ident: str) -> None:
        sent = time.monotonic()
        status = 0
        with contextlib.suppress(TimeoutError, EOFError, OSError):
            async with asyncio.timeout(2 * WAIT_MS / 1000):
                peer = await Peer.connect(self.addresses["platform"])
                peer.send(invite(f"f{ident[1:]}", timer=WAIT_MS, call_class="b"))
                while (final := await peer.next()).status < 200:
                    pass
                status = final.status
                peer.close()
        self.answers.append((status, time.monotonic() - sent))

    def assert_within_memory(self) -> None:
        self.assertLess(self.peak, MEMORY_MB * BYTES_PER_MB)

    def assert_answered_in_time(self) -> None:
        late = [one for one in self.answers if one[0] == 0 or one[1] > (WAIT_MS + LATE_MS) / 1000]
        self.assertEqual(late, [], f"of {len(self.answers)} calls")
