"""Versions of the program that are worse in one way, started as `python tests/versions.py WAY`."""

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

way = sys.argv.pop(1)
rng = random.Random(1)
live, take = Agent._live, Agent.accept


async def _slow(self: Agent, life: CallSession) -> None:
    if rng.random() < 0.1:
        await asyncio.sleep(0.3)
    await live(self, life)


def _refuse(self: Agent, request: Any, caller: Any) -> CallSession | None:
    if request.class_name == "b" and rng.random() < 0.5:
        self.max_open, kept = 0, self.max_open
        try:
            return take(self, request, caller)
        finally:
            self.max_open = kept
    return take(self, request, caller)


def _mute(self: Agent, life: CallSession) -> Any:
    return asyncio.sleep(30.0) if rng.random() < 0.3 else live(self, life)


def _disk(mark: Path) -> None:
    from seamlb.store.files import Files

    write = Files.write

    def lying(self: Files, path: Path, data: bytes) -> None:
        while mark.exists() and mark.read_text() == "hang":
            time.sleep(0.05)
        if mark.exists():
            raise OSError(errno.EIO, "Input/output error")
        write(self, path, data)

    Files.write = lying  # type: ignore[method-assign]


match way:
    case "slow":
        Agent._live = _slow  # type: ignore[method-assign]
    case "refuse":
        Agent.accept = _refuse  # type: ignore[method-assign]
    case "mute":
        Agent._live = _mute  # type: ignore[method-assign]
    case "crash":
        sys.exit(7)
    case "crash-later":
        threading.Timer(float(os.environ.get("CRASH_AFTER", "3")), os._exit, (7,)).start()
    case "unreadable":  # settings that can't be loaded at one agent
        if os.environ["GW_NAME"] == sys.argv.pop(1):
            os.environ["GW_CONFIG"] = os.devnull
    case "equal":
        pass
    case "disk":  # wrong while a file is there, as the word in it says
        _disk(Path(sys.argv.pop(1)))
    case "eager":  # acts on though its lease is over
        from seamlb.agree.holder import LeaseHolder, LeaseState

        LeaseHolder.lease_state = lambda self, now: LeaseState.IN_FORCE  # type: ignore[method-assign]
main()
