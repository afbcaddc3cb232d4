"""Versions of the program with one fault each, started as `python tests/faulty_versions.py FAULT`."""

import asyncio
import errno
import os
import random
import sys
import threading
import time
from pathlib import Path
from typing import Any

from seamlb.cli import main
from seamlb.routing.agent import Agent, CallSession

fault = sys.argv.pop(1)
rng = random.Random(1)
run_session, accept = Agent._run_session, Agent.accept


async def _slow(self: Agent, session: CallSession) -> None:
    if rng.random() < 0.1:
        await asyncio.sleep(0.3)
    await run_session(self, session)


def _refuse(self: Agent, request: Any, caller: Any) -> CallSession | None:
    if request.class_name == "b" and rng.random() < 0.5:
        self.max_open, saved = 0, self.max_open
        try:
            return accept(self, request, caller)
        finally:
            self.max_open = saved
    return accept(self, request, caller)


def _mute(self: Agent, session: CallSession) -> Any:
    return asyncio.sleep(30.0) if rng.random() < 0.3 else run_session(self, session)


def _inject_disk_faults(fault_file: Path) -> None:
    from seamlb.store.files import Files

    write = Files.write

    def faulty_write(self: Files, path: Path, data: bytes) -> None:
        while fault_file.exists() and fault_file.read_text() == "hang":
            time.sleep(0.05)
        if fault_file.exists():
            raise OSError(errno.EIO, "Input/output error")
        write(self, path, data)

    Files.write = faulty_write  # type: ignore[method-assign]


match fault:
    case "slow":
        Agent._run_session = _slow  # type: ignore[method-assign]
    case "refuse":
        Agent.accept = _refuse  # type: ignore[method-assign]
    case "mute":
        Agent._run_session = _mute  # type: ignore[method-assign]
    case "crash":
        sys.exit(7)
    case "crash-later":
        threading.Timer(float(os.environ.get("CRASH_AFTER", "3")), os._exit, (7,)).start()
    case "unreadable":  # the configuration cannot be loaded at one agent
        if os.environ["GW_NAME"] == sys.argv.pop(1):
            os.environ["GW_CONFIG"] = os.devnull
    case "equal":
        pass
    case "disk":  # faulty while a file exists; its content selects the fault
        _inject_disk_faults(Path(sys.argv.pop(1)))
    case "eager":  # continues to act after its lease has expired
        from seamlb.agree.lease import LeaseHolder, LeaseState

        LeaseHolder.lease_state = lambda self, now: LeaseState.IN_FORCE  # type: ignore[method-assign]
main()
