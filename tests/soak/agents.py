"""The processes of one agent, one after another: starts, signals, upgrades, and the kill at the earliest moment."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.processes import ROOT
from tests.soak.draw import KILL_AFTER, Plan
from tests.soak.probes import held_by, operate, passes_test
from tests.soak.record import Record
from tests.soak.wire import reserve
from tests.support import RAW

SOCKETS = 384  # descriptors that a process may have
MEMORY_MB = 80.0  # that it may hold
ATTEMPTS_CAP = 4
DRAIN_GRACE_MS = 500.0
READY_WITHIN, READY_MOSTLY = 30.0, 10.0  # seconds after a start: all, nine in ten
UPGRADE_DEADLINE_MOST = 5.0  # seconds for which a longer deadline counts where another process takes over
PING_EVERY = 0.05


def settings(plan: Plan, version: int) -> dict[str, Any]:
    """The settings of one version: worths and wishes differ, deadlines stay."""
    aim = 1.0 + 0.1 * (version % 3)
    kinds = (("soon", plan.short, 5.0), ("later", plan.longest, 1.0))
    return RAW | {
        "Classes": [
            {
                "Name": name,
                "Deadline": deadline * 1000.0,
                "OnTime": deadline * 400.0 * aim,
                "Worth": worth * aim,
                "Effect": "free",
                "Group": "all",
            }
            for name, deadline, worth in kinds
        ],
        "Contract": RAW["Contract"] | {"DrainGrace": DRAIN_GRACE_MS},
        "Instances": len(plan.inherited),
        "Limits": RAW["Limits"] | {"AttemptsCap": ATTEMPTS_CAP},
    }


class AgentProcesses:
    """One agent of the fleet."""

    def __init__(self, number: int, plan: Plan, board: str, known: Callable[[], Any], record: Record) -> None:
        self.number, self.plan, self.board, self.known, self.record = number, plan, board, known, record
        self.loop = asyncio.get_running_loop()
        self.held, self.kept = reserve(), reserve()  # the front's address and the operators'
        self.listen = "{}:{}".format(*self.held.getsockname())
        self.management = "{}:{}".format(*self.kept.getsockname())
        self.inherited = plan.inherited[number]
        if self.inherited:
            self.held.listen()
        self.version, self.starts = 0, 0
        self.config = record.folder / f"agent-{number}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.ending: set[asyncio.subprocess.Process] = set()  # that have had SIGTERM
        self.new_calls = False  # does the front send new connections?
        self.terminated: list[float] = []  # when processes had SIGTERM
        self.ready_after: list[float] = []
        self.busy = False  # in a fault of its own
        self.waiting: set[asyncio.Task[None]] = set()

    def write(self, text: str = "") -> None:
        """Write the next version of the configuration, or a text that is none."""
        self.version += 1
        whole = {
            "name": f"a{self.number}",
            "seed": f"{self.plan.seed:x}",
            "listen": self.listen,
            "board": self.board,
            "known": self.known(),
            "limits": {"sockets": SOCKETS},
            "settings": settings(self.plan, self.version),
        }
        self.config.write_text(text or json.dumps(whole))

    async def start(self) -> asyncio.subprocess.Process:
        """Start a process and wait until it serves."""
        self.write()
        self.starts += 1
        path = self.record.folder / f"agent-{self.number}-{self.starts}.log"
        environment = os.environ | {
            "GW_CONFIG": str(self.config),
            "GW_LISTEN": self.listen,
            "GW_NAME": f"a{self.number}",
            "GW_MANAGEMENT": self.management if not self.inherited else "",
        }
        descriptor = os.dup(self.held.fileno()) if self.inherited else None
        if descriptor is not None:
            environment["GW_INHERITED_FD"] = str(descriptor)
        began = self.loop.time()
        with path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "seamlb",
                cwd=ROOT,
                env=environment,
                pass_fds=() if descriptor is None else (descriptor,),
                stdout=log,
                stderr=log,
            )
        if descriptor is not None:
            os.close(descriptor)
        task = self.loop.create_task(self._watch(process))
        self.waiting.add(task)
        await self._until_ready(process, path, began)
        self.process = process
        self.new_calls = True
        return process

    async def _until_ready(self, process: asyncio.subprocess.Process, path: Path, began: float) -> None:
        while True:
            passed = b'"serving"' in path.read_bytes() and (self.inherited or await passes_test(self.listen))
            took = self.loop.time() - began
            if passed or process.returncode is not None or took > READY_WITHIN:
                break
            await asyncio.sleep(PING_EVERY)
        self.ready_after.append(took)
        if not passed:
            self.record.audit.report(self.loop.time(), "not ready", f"agent {self.number}", f"after {took:.1f} s")

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if process not in self.ending or code not in (0, -signal.SIGKILL):
            self.record.audit.report(self.loop.time(), "crash", f"agent {self.number}", f"exit code {code}")

    # -- faults ---------------------------------------------------------------------------------

    def terminate(self, process: asyncio.subprocess.Process) -> None:
        """Send SIGTERM."""
        self.ending.add(process)
        self.terminated.append(self.loop.time())
        with contextlib.suppress(ProcessLookupError):
            process.terminate()

    async def _kill(self, process: asyncio.subprocess.Process, after: float) -> None:
        try:
            async with asyncio.timeout(after):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def restart(self, connections_for: float, kind: str) -> None:
        """A planned restart: new connections come for a moment more, open ones are used until the kill."""
        process = self.process
        assert process is not None
        self.terminate(process)
        if kind == "restart, SIGTERM twice":
            self.loop.call_later(0.1, self.terminate, process)
        if kind == "restart, SIGHUP in the drain":
            for after in (0.02, 0.3):
                self.loop.call_later(after, self.reload, process)
        self.loop.call_later(connections_for, setattr, self, "new_calls", False)
        await self._kill(process, self.plan.kill_after)
        self.new_calls = False
        await self.start()

    async def upgrade(self, times: int) -> None:
        """Another process takes over on the same socket, and perhaps one more at once."""
        old = []
        for _ in range(times):
            process = self.process
            assert process is not None
            await self.start()
            self.terminate(process)
            old.append(process)
        after = min(self.plan.longest, UPGRADE_DEADLINE_MOST) + KILL_AFTER
        await asyncio.gather(*(self._kill(one, after) for one in old))

    def reload(self, process: asyncio.subprocess.Process, text: str = "") -> None:
        """Change the file and send SIGHUP."""
        self.write(text)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGHUP)

    async def reloads(self, times: int) -> None:
        """Several in quick succession; one of the files is cut."""
        assert self.process is not None
        for number in range(times):
            self.reload(self.process, '{"settings": {' if number == 1 else "")
            await asyncio.sleep(0.02)
        self.reload(self.process)

    async def quiesce(self, connections_for: float) -> None:
        """An operator empties the process and brings it back."""
        if self.inherited:  # no management address, which two processes can't share
            return
        await operate(self.management, "quiesce", self.record)
        await asyncio.sleep(connections_for)
        self.new_calls = False
        await asyncio.sleep(1.0)
        await operate(self.management, "resume", self.record)
        while not await passes_test(self.listen):
            await asyncio.sleep(PING_EVERY)
        self.new_calls = True

    # -- the end --------------------------------------------------------------------------------

    def look(self) -> dict[str, float]:
        """What the process holds now; what is over its limit is a violation."""
        assert self.process is not None
        if self.process.returncode is not None:
            self.record.audit.report(self.loop.time(), "not running", f"agent {self.number}", "at the end")
            return {"memory_mb": 0.0, "descriptors": 0}
        memory, descriptors = held_by(self.process.pid)
        if memory > MEMORY_MB or descriptors > SOCKETS:
            facts = f"{memory:.0f} MB, {descriptors} descriptors"
            self.record.audit.report(self.loop.time(), "limits", f"agent {self.number}", facts)
        return {"memory_mb": round(memory, 1), "descriptors": descriptors}

    async def stop(self) -> None:
        """End what runs."""
        if self.process and self.process.returncode is None:
            self.terminate(self.process)
            await self._kill(self.process, self.plan.kill_after)
        await asyncio.gather(*self.waiting)
        self.held.close()
        self.kept.close()
