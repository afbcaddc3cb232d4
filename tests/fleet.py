"""A fleet of processes on loopback: supervisors, their agents, scripted desks, and rollout controllers."""

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


def faulty_command(*fault: str) -> tuple[str, ...]:
    """The command of a version with a fault of tests/faulty_versions.py."""
    return (sys.executable, "tests/faulty_versions.py", *fault)


_hosts = itertools.count(1)


def own_host() -> str:
    """A separate loopback address: on a shared one, outgoing connections may occupy the ports."""
    number = next(_hosts)
    return f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}.{number}"


def check_files(test: unittest.TestCase, folder: Path, says: str) -> None:
    """Run `check-config` on c.json and p.toml: success if `says` is empty, else one line with it and exit code 2."""
    result = CliRunner().invoke(
        main, ["check-config", "--config", str(folder / "c.json"), "--plugins", str(folder / "p.toml")]
    )
    test.assertEqual(result.exit_code, 2 if says else 0, result.output)
    test.assertIn(says, result.output)
    test.assertEqual(result.output.count("\n"), 1, result.output)


class Fleet:
    """Agents a0, a1, ... each with its supervisor; `injectors` sit between controllers and supervisors."""

    def __init__(self, folder: Path, size: int, desks: int = 2, injected: bool = False) -> None:
        self.folder, self.size, self.injected = folder, size, injected
        self.desks = [ScriptedDesk(self._desk, report="idle:500;circuits:500") for _ in range(desks)]
        self.attempts: Counter[str] = Counter()  # by call id
        self.supervisors: dict[str, asyncio.subprocess.Process] = {}
        self.controllers: list[asyncio.subprocess.Process] = []
        self.injectors: dict[str, Injector] = {}
        self.listens: dict[str, str] = {}
        self.at: dict[str, str] = {}  # addresses of the supervisors, by agent

    async def _board(self, stand: ScriptedHttpServer, path: str) -> bytes | None:
        """A notice board without notices; answers polls with linger=0 at once, so that a takeover need not wait."""
        if "linger=0" not in path:
            await asyncio.sleep(1.5)
        return http({"rev": 1, "notices": []})

    async def _desk(self, peer: Peer, message: Message) -> None:
        self.attempts[message.get("call-id")] += 1
        await answer(peer, message)

    @property
    def duplicated_calls(self) -> list[str]:
        """Calls that were sent to desks more than once, although every desk answers the first attempt."""
        return [call for call, count in self.attempts.items() if count > 1]

    # -- files --------------------------------------------------------------------------------

    def configuration(self, name: str = "config.json", **settings: Any) -> str:
        """Write a configuration file; returns its name, as used in plans."""
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
        """Write a rollout plan from the initial revision to a new one."""
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
        """Start `seamlb rollout` with output to NAME.log."""
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
        """Start `seamlb rollout` with the state folder `state`; its output goes to STATE.log."""
        process = await self.run(state, *arguments, "--state", str(self.folder / state))
        self.controllers.append(process)
        return process

    def events(self, name: str, event: str) -> list[dict[str, Any]]:
        """Log events of an agent and its supervisor, or of a controller."""
        return log_events(self.folder / f"{name}.log", event)

    def agent_pid(self, name: str) -> int:
        """The process id of the agent's latest process."""
        return int(self.events(name, "process_start")[-1]["pid"])

    def revision_of(self, name: str) -> str:
        """The revision of the agent's latest process."""
        return str(self.events(name, "process_start")[-1]["revision"]).partition("-")[0]

    async def until(self, condition: Callable[[], Any], within: float = 3 * HANG_TIMEOUT) -> None:
        async with asyncio.timeout(within):
            while not condition():
                await asyncio.sleep(0.05)

    def serving(self) -> list[str]:
        """The revision of each agent, as persisted by its supervisor, or the initial one."""
        revisions = []
        for name in self.at:
            path = self.folder / name / "keeper"
            revisions.append(
                json.loads(path.read_bytes().partition(b"\n")[2])["revision"]["name"] if path.exists() else "old"
            )
        return revisions

    async def stop(self) -> None:
        for process in (*self.controllers, *self.supervisors.values()):
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM if process in self.supervisors.values() else signal.SIGKILL)
        for process in (*self.controllers, *self.supervisors.values()):
            try:
                await asyncio.wait_for(process.wait(), HANG_TIMEOUT)
            except TimeoutError:
                process.kill()
                await process.wait()
        for name in self.supervisors:
            for start in self.events(name, "process_start"):
                if not any(end["process"] == start["process"] for end in self.events(name, "process_end")):
                    with contextlib.suppress(ProcessLookupError):  # its supervisor was killed
                        os.kill(start["pid"], signal.SIGKILL)
        for injector in self.injectors.values():
            await injector.stop()
        for desk in self.desks:
            await desk.stop()
        self.stand.server.close()
