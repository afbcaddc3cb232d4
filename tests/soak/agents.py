"""The successive processes of one agent: start, signals, upgrades, and SIGKILL at the earliest permitted time."""

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
from tests.soak.draw import KILL_MARGIN_S, Plan
from tests.soak.probes import answers_options, post_management_call, resource_usage
from tests.soak.record import Record
from tests.soak.wire import reserve
from tests.support import RAW

MAX_DESCRIPTORS = 384  # per process
MAX_MEMORY_MB = 80.0  # resident, per process
ATTEMPTS_CAP = 4
DRAIN_GRACE_MS = 500.0
READY_WITHIN_S, MOSTLY_READY_WITHIN_S = 30.0, 10.0  # after a start: for all processes, for nine in ten
MAX_UPGRADE_DEADLINE_S = 5.0  # cap on the deadline that delays SIGKILL after an upgrade
POLL_INTERVAL_S = 0.05


def settings(plan: Plan, version: int) -> dict[str, Any]:
    """The settings of one version: worths and on-time limits vary by version, deadlines don't."""
    scale = 1.0 + 0.1 * (version % 3)
    classes = (("soon", plan.short_deadline_s, 5.0), ("later", plan.longest_deadline_s, 1.0))
    return RAW | {
        "Classes": [
            {
                "Name": name,
                "Deadline": deadline * 1000.0,
                "OnTime": deadline * 400.0 * scale,
                "Worth": worth * scale,
                "Effect": "free",
                "Group": "all",
            }
            for name, deadline, worth in classes
        ],
        "Contract": RAW["Contract"] | {"DrainGrace": DRAIN_GRACE_MS},
        "Instances": len(plan.inherited),
        "Limits": RAW["Limits"] | {"AttemptsCap": ATTEMPTS_CAP},
    }


class AgentProcesses:
    """One agent of the fleet and its processes."""

    def __init__(self, number: int, plan: Plan, board: str, initial_list: Callable[[], Any], record: Record) -> None:
        self.number, self.plan, self.board, self.initial_list, self.record = number, plan, board, initial_list, record
        self.loop = asyncio.get_running_loop()
        self.front_socket, self.management_socket = reserve(), reserve()
        self.listen = "{}:{}".format(*self.front_socket.getsockname())
        self.management = "{}:{}".format(*self.management_socket.getsockname())
        self.inherited = plan.inherited[number]
        if self.inherited:
            self.front_socket.listen()
        self.version, self.starts = 0, 0
        self.config = record.folder / f"agent-{number}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.terminating: set[asyncio.subprocess.Process] = set()  # got SIGTERM
        self.new_calls = False  # whether callers may open new connections
        self.terminated: list[float] = []  # times of SIGTERM
        self.ready_after: list[float] = []  # seconds from start to ready, by process
        self.fault_running = False  # while one of its faults is in progress
        self.exit_watchers: set[asyncio.Task[None]] = set()

    def write(self, override: str = "") -> None:
        """Write the next version of the configuration file, or the invalid text `override`."""
        self.version += 1
        configuration = {
            "name": f"a{self.number}",
            "seed": f"{self.plan.seed:x}",
            "listen": self.listen,
            "board": self.board,
            "known": self.initial_list(),
            "limits": {"sockets": MAX_DESCRIPTORS},
            "settings": settings(self.plan, self.version),
        }
        self.config.write_text(override or json.dumps(configuration))

    async def start(self) -> asyncio.subprocess.Process:
        """Start a process and wait until it is ready."""
        self.write()
        self.starts += 1
        path = self.record.folder / f"agent-{self.number}-{self.starts}.log"
        environment = os.environ | {
            "GW_CONFIG": str(self.config),
            "GW_LISTEN": self.listen,
            "GW_NAME": f"a{self.number}",
            "GW_MANAGEMENT": self.management if not self.inherited else "",
        }
        descriptor = os.dup(self.front_socket.fileno()) if self.inherited else None
        if descriptor is not None:
            environment["GW_INHERITED_FD"] = str(descriptor)
        started_at = self.loop.time()
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
        self.exit_watchers.add(task)
        await self._until_ready(process, path, started_at)
        self.process = process
        self.new_calls = True
        return process

    async def _until_ready(self, process: asyncio.subprocess.Process, path: Path, started_at: float) -> None:
        while True:
            ready = b'"serving"' in path.read_bytes() and (self.inherited or await answers_options(self.listen))
            elapsed = self.loop.time() - started_at
            if ready or process.returncode is not None or elapsed > READY_WITHIN_S:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        self.ready_after.append(elapsed)
        if not ready:
            self.record.audit.report(self.loop.time(), "not ready", f"agent {self.number}", f"after {elapsed:.1f} s")

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if process not in self.terminating or code not in (0, -signal.SIGKILL):
            self.record.audit.report(self.loop.time(), "crash", f"agent {self.number}", f"exit code {code}")

    # -- faults ---------------------------------------------------------------------------------

    def terminate(self, process: asyncio.subprocess.Process) -> None:
        """Send SIGTERM."""
        self.terminating.add(process)
        self.terminated.append(self.loop.time())
        with contextlib.suppress(ProcessLookupError):
            process.terminate()

    async def _kill(self, process: asyncio.subprocess.Process, after_s: float) -> None:
        try:
            async with asyncio.timeout(after_s):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def restart(self, connections_for_s: float, kind: str) -> None:
        """A planned restart: new connections arrive for a moment more, and open ones are used until SIGKILL."""
        process = self.process
        assert process is not None
        self.terminate(process)
        if kind == "restart, SIGTERM twice":
            self.loop.call_later(0.1, self.terminate, process)
        if kind == "restart, SIGHUP in the drain":
            for delay in (0.02, 0.3):
                self.loop.call_later(delay, self.reload, process)
        self.loop.call_later(connections_for_s, setattr, self, "new_calls", False)
        await self._kill(process, self.plan.kill_after_s)
        self.new_calls = False
        await self.start()

    async def upgrade(self, times: int) -> None:
        """Hand the listening socket to a new process, `times` times in a row."""
        old = []
        for _ in range(times):
            process = self.process
            assert process is not None
            await self.start()
            self.terminate(process)
            old.append(process)
        kill_after_s = min(self.plan.longest_deadline_s, MAX_UPGRADE_DEADLINE_S) + KILL_MARGIN_S
        await asyncio.gather(*(self._kill(each, kill_after_s) for each in old))

    def reload(self, process: asyncio.subprocess.Process, override: str = "") -> None:
        """Rewrite the configuration file and send SIGHUP."""
        self.write(override)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGHUP)

    async def reload_repeatedly(self, times: int) -> None:
        """Reload several times in quick succession; the second file is truncated JSON."""
        assert self.process is not None
        for number in range(times):
            self.reload(self.process, '{"settings": {' if number == 1 else "")
            await asyncio.sleep(0.02)
        self.reload(self.process)

    async def quiesce(self, connections_for_s: float) -> None:
        """Quiesce the process over the management API and resume it."""
        if self.inherited:  # has no management address, as two processes can't share one
            return
        await post_management_call(self.management, "quiesce", self.record)
        await asyncio.sleep(connections_for_s)
        self.new_calls = False
        await asyncio.sleep(1.0)
        await post_management_call(self.management, "resume", self.record)
        while not await answers_options(self.listen):
            await asyncio.sleep(POLL_INTERVAL_S)
        self.new_calls = True

    # -- the end --------------------------------------------------------------------------------

    def check_resources(self) -> dict[str, float]:
        """Return the memory and descriptors in use; exceeding a limit is a violation."""
        assert self.process is not None
        if self.process.returncode is not None:
            self.record.audit.report(self.loop.time(), "not running", f"agent {self.number}", "at the end")
            return {"memory_mb": 0.0, "descriptors": 0}
        memory, descriptors = resource_usage(self.process.pid)
        if memory > MAX_MEMORY_MB or descriptors > MAX_DESCRIPTORS:
            usage = f"{memory:.0f} MB, {descriptors} descriptors"
            self.record.audit.report(self.loop.time(), "limits", f"agent {self.number}", usage)
        return {"memory_mb": round(memory, 1), "descriptors": descriptors}

    async def stop(self) -> None:
        """Terminate the running process and release the addresses."""
        if self.process and self.process.returncode is None:
            self.terminate(self.process)
            await self._kill(self.process, self.plan.kill_after_s)
        await asyncio.gather(*self.exit_watchers)
        self.front_socket.close()
        self.management_socket.close()
