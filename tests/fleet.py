"""A fleet of real processes on loopback: keepers, their agents, scripted desks, conductors, callers that count."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from seamlb.cli import main
from seamlb.protocol.sip import Message
from tests.http_peers import ScriptedHttpServer, http
from tests.injector import Injector
from tests.loopback import HANG_TIMEOUT, Peer, ScriptedDesk, answer
from tests.processes import log_events
from tests.support import RAW

ROOT = Path(__file__).resolve().parent.parent


GOOD_COMMAND = (sys.executable, "-m", "seamlb")


def faulty_command(*way: str) -> tuple[str, ...]:
    """The command of a version that is worse in a way."""
    return (sys.executable, "tests/versions.py", *way)


_hosts = itertools.count(1)


def own_host() -> str:
    """A loopback address of its own: on a shared one, ports are taken by whoever dials out from it."""
    number = next(_hosts)
    return f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}.{number}"


def check_files(test: unittest.TestCase, folder: Path, says: str) -> None:
    """`check-config` of c.json with p.toml: good if `says` is empty, else one line with it and exit code 2."""
    told = CliRunner().invoke(
        main, ["check-config", "--config", str(folder / "c.json"), "--plugins", str(folder / "p.toml")]
    )
    test.assertEqual(told.exit_code, 2 if says else 0, told.output)
    test.assertIn(says, told.output)
    test.assertEqual(told.output.count("\n"), 1, told.output)


class Fleet:
    """Agents a0, a1, ... each with its keeper; `injectors` are between conductors and keepers."""

    def __init__(self, folder: Path, size: int, desks: int = 2, injected: bool = False) -> None:
        self.folder, self.size, self.injected = folder, size, injected
        self.desks = [ScriptedDesk(self._desk, report="idle:500;circuits:500") for _ in range(desks)]
        self.attempts: Counter[str] = Counter()  # by call
        self.supervisors: dict[str, asyncio.subprocess.Process] = {}
        self.controllers: list[asyncio.subprocess.Process] = []
        self.injectors: dict[str, Injector] = {}
        self.listens: dict[str, str] = {}
        self.at: dict[str, str] = {}  # where each keeper is called

    async def _board(self, stand: ScriptedHttpServer, path: str) -> bytes | None:
        """A notice board without news: a process that takes over has its answer at once, and need not wait for it."""
        if "linger=0" not in path:
            await asyncio.sleep(1.5)
        return http({"rev": 1, "notices": []})

    async def _desk(self, peer: Peer, message: Message) -> None:
        self.attempts[message.get("call-id")] += 1
        await answer(peer, message)

    @property
    def duplicated_calls(self) -> list[str]:
        """Calls that were sent to a desk more than once: every desk here answers the first time."""
        return [call for call, count in self.attempts.items() if count > 1]

    # -- files --------------------------------------------------------------------------------

    def configuration(self, name: str = "config.json", **settings: Any) -> str:
        """A configuration's file; the name as plans give it."""
        members = [
            {"id": f"d{n}", "host_port": desk.address, "cell": n, "phase": "Ready", "up_since_ms": 0}
            for n, desk in enumerate(self.desks)
        ]
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": members}}]}
        (self.folder / name).write_text(
            json.dumps(
                {
                    "settings": RAW | settings,
                    "known": known,
                    "listen": "127.0.0.1:1",
                    "name": "x",
                    "board": self.board,
                }
            )
        )
        return name

    def revision(self, name: str, command: Sequence[str] = GOOD_COMMAND, config: str = "config.json") -> str:
        return f"name = {json.dumps(name)}\ncommand = {json.dumps(list(command))}\nconfig = {json.dumps(config)}\n"

    def plan(self, new: str, stages: Sequence[dict[str, Any]], name: str = "plan.toml", **keys: Any) -> Path:
        """A plan from the revision that the fleet was started with."""
        path = self.folder / name
        text = "".join(f"{key} = {json.dumps(value)}\n" for key, value in keys.items())
        text += f"[old]\n{self.revision('old')}[new]\n{new}"
        for stage in stages:
            least = stage.get("least")
            text += "[[stage]]\n" + "".join(
                f"{key} = {json.dumps(value)}\n" for key, value in stage.items() if key != "least"
            )
            if least:
                text += "[stage.least]\n" + "".join(f"{key} = {value}\n" for key, value in least.items())
        for agent, at in self.at.items():
            text += f'[[agent]]\nname = "{agent}"\nkeeper = "{at}"\n'
        path.write_text(text)
        return path

    # -- processes ----------------------------------------------------------------------------

    async def run(self, name: str, *arguments: str, **environment: str) -> asyncio.subprocess.Process:
        """A process of the program whose lines go to NAME.log."""
        with open(self.folder / f"{name}.log", "ab") as out:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "seamlb",
                "rollout",
                *arguments,
                cwd=ROOT,
                env=os.environ | environment,
                stdout=out,
                stderr=out,
            )

    async def start(self, **environment: str) -> None:
        for desk in self.desks:
            await desk.start()
        self.stand = ScriptedHttpServer(self._board)
        self.board = await self.stand.start()
        self.configuration()
        for number in range(self.size):
            name = f"a{number}"
            host = own_host()
            self.listens[name], at = f"{host}:5060", f"{host}:7001"
            (self.folder / f"{name}.toml").write_text(
                f'name = "{name}"\nlisten = "{self.listens[name]}"\nat = "{at}"\nstate = "{name}"\n'
                f"[revision]\n{self.revision('old')}"
            )
            await self.start_supervisor(name, **environment)
            if self.injected:
                self.injectors[name] = Injector(at)
                at = await self.injectors[name].start()
            self.at[name] = at
        for name in self.at:
            await self.until(lambda name=name: self.events(name, "serving"))

    async def start_supervisor(self, name: str, **environment: str) -> None:
        self.supervisors[name] = await self.run(name, "keep", str(self.folder / f"{name}.toml"), **environment)

    async def start_controller(self, *arguments: str, state: str = "state") -> asyncio.subprocess.Process:
        """Call `seamlb rollout` with this change's folder; its lines go to STATE.log."""
        process = await self.run(state, *arguments, "--state", str(self.folder / state))
        self.controllers.append(process)
        return process

    def events(self, name: str, event: str) -> list[dict[str, Any]]:
        """Log lines of an agent with its keeper, or of a conductor."""
        return log_events(self.folder / f"{name}.log", event)

    def agent_pid(self, name: str) -> int:
        """The process that was started last for an agent."""
        return int(self.events(name, "process_start")[-1]["pid"])

    def revision_of(self, name: str) -> str:
        """The revision of that process."""
        return str(self.events(name, "process_start")[-1]["revision"]).partition("-")[0]

    async def until(self, true: Callable[[], Any], within: float = 3 * HANG_TIMEOUT) -> None:
        async with asyncio.timeout(within):
            while not true():
                await asyncio.sleep(0.05)

    def serving(self) -> list[str]:
        """The revision that each agent runs, as its keeper last put it down or was started with."""
        found = []
        for name in self.at:
            path = self.folder / name / "keeper"
            found.append(
                json.loads(path.read_bytes().partition(b"\n")[2])["revision"]["name"] if path.exists() else "old"
            )
        return found

    async def stop(self) -> None:
        for one in (*self.controllers, *self.supervisors.values()):
            if one.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    one.send_signal(signal.SIGTERM if one in self.supervisors.values() else signal.SIGKILL)
        for one in (*self.controllers, *self.supervisors.values()):
            try:
                await asyncio.wait_for(one.wait(), HANG_TIMEOUT)
            except TimeoutError:
                one.kill()
                await one.wait()
        for name in self.supervisors:
            for start in self.events(name, "process_start"):
                if not any(end["process"] == start["process"] for end in self.events(name, "process_end")):
                    with contextlib.suppress(ProcessLookupError):  # its keeper was killed
                        os.kill(start["pid"], signal.SIGKILL)
        for injector in self.injectors.values():
            await injector.stop()
        for desk in self.desks:
            await desk.stop()
        self.stand.server.close()
