"""Runs the program as a separate process, for tests that need one."""

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from tests.loopback import HANG_TIMEOUT, DaemonTestCase

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = str(ROOT / "examples" / "config.json")


def log_events(path: Path, event: str) -> list[dict[str, Any]]:
    """The lines of one event in a log that a process may be writing to; an incomplete last line is skipped."""
    complete = path.read_bytes().rpartition(b"\n")[0] if path.exists() else b""
    lines = [json.loads(line) for line in complete.splitlines() if line.startswith(b"{")]
    return [line for line in lines if line.get("event") == event]


class ProcessTestCase(DaemonTestCase):
    """Starts processes, reads their output, and kills the remaining ones at the end of a test."""

    python = sys.executable

    async def start_process(
        self, *arguments: str, program: str = sys.executable, fds: tuple[int, ...] = (), **environment: str
    ) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            program,
            *arguments,
            cwd=ROOT,
            env=os.environ | environment,
            pass_fds=fds,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )

        async def stop() -> None:
            if process.returncode is None:
                process.kill()
            await process.communicate()

        self.addAsyncCleanup(stop)
        return process

    async def wait_for_line(self, process: asyncio.subprocess.Process, expected: str) -> str:
        async with asyncio.timeout(HANG_TIMEOUT):
            while expected not in (line := (await process.stdout.readline()).decode()):
                self.assertTrue(line, f"ended before {expected!r}")
            return line

    async def free_address(self) -> str:
        free = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        address = "{}:{}".format(*free.sockets[0].getsockname())
        free.close()
        return address
