"""A small deployment: settings, the processes of agents and desks, the record, and the frame of a case."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0  # a case that takes longer could not run
TENANT = "pest-megye"

SETTINGS: dict[str, Any] = {
    "Az": 0,
    "Azs": ["budapest", "szeged", "debrecen", "gyor"],
    "Classes": [
        {"Name": "level-check", "OnTime": 5000.0, "Deadline": 15000.0, "Worth": 1.0, "LateWorth": 0.25}
        | {"Effect": "free", "Group": "all", "Stream": True, "Window": 5000.0},
        {"Name": "alert-confirm", "OnTime": 1500.0, "Deadline": 6000.0, "Worth": 5.0, "LateWorth": 0.25}
        | {"Effect": "free", "Group": "all", "Stream": True, "Window": 5000.0},
    ],
    "Contract": {"AnswerSlack": 20.0, "AskWithin": 10000.0, "Cold": 14000.0, "DrainGrace": 500.0}
    | {"Fall": 1500.0, "FallMultiple": 3.0, "StartCapacity": 0.3},
    "Extra": {"ClearWait": 300.0, "FarReports": "answers", "GivesWait": False, "NetworkForm": "skills"}
    | {"Repeat": 0.0, "RouteAdvice": True, "SelfNo": -1}
    | {"SkilledPools": [[0, 1, 2, 3], [0, 1, 2, 3]], "Widths": [1, 1], "Holding": [9000.0, 9000.0]},
    "Instances": 1,
    "Limits": {"AttemptsCap": 6, "Cancel": True, "ConnectTimeout": 500.0, "IdleClose": 600000.0, "MaxOpen": 20000}
    | {"MaxRetryAfter": 2000.0, "Peers": False, "Probing": False, "RetryAfter": False, "SecondCopies": False},
    "Me": 0,
    "MembershipMode": "pushed",
    "OverShareWorth": 0.05,
    "Report": {"Fields": ["idle", "circuits", "reduce", "avg_ms"], "Source": "answers"},
    "Tenants": [{"AllowancePerS": 20.0, "Name": TENANT, "Share": 1.0}],
    "Tick": 5.0,
    "Weights": "none",
    "WorthBy": "request",
}


def free_port() -> int:
    """A port that nobody listens on."""
    with socket.create_server(("127.0.0.1", 0)) as found:
        return int(found.getsockname()[1])


class CannotRunError(Exception):
    """The case could not run."""


class Site:
    """The processes and the record of one run."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.work = Path(tempfile.mkdtemp(prefix="case"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.lines: list[dict[str, Any]] = []
        self.desk_log = self.work / "desks.log"
        self.desk_log.touch()

    def log(self, what: str, **facts: object) -> None:
        """Record what the driver, the callers or the platform did."""
        self.lines.append({"at": round(time.time(), 4), "who": "driver", "what": what, **facts})

    def start(
        self, command: list[str] | str, output: str, env: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start a process from the root, in a group of its own; its output goes to a file of the work folder."""
        with (self.work / output).open("ab") as file:
            arguments = ["/bin/sh", "-c", command] if isinstance(command, str) else command
            process = subprocess.Popen(
                arguments, cwd=ROOT, env=os.environ | (env or {}), stdin=subprocess.DEVNULL, stdout=file, stderr=file
            )
        self.processes.append(process)
        return process

    def start_desk(self, name: str, port: int, *options: str) -> subprocess.Popen[bytes]:
        """Start the process of a duty desk."""
        script = str(ROOT / "review/standin_desk.py")
        command = [
            sys.executable,
            "-B",
            script,
            "--name",
            name,
            "--port",
            str(port),
            "--log",
            str(self.desk_log),
            *options,
        ]
        return self.start(command, "desks.out")

    def start_agent(self, name: str, config: dict[str, Any], plugins: str = "") -> subprocess.Popen[bytes]:
        """Start an agent with the `run` command of the deploy file."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        path, private = self.work / f"{name}.json", self.work / f"tmp-{name}"
        shutil.rmtree(private, ignore_errors=True)
        private.mkdir()
        path.write_text(json.dumps(config))
        env = {"GW_NAME": name, "GW_LISTEN": config["listen"], "GW_CONFIG": str(path), "TMPDIR": str(private)}
        if plugins:
            (self.work / f"{name}.toml").write_text(plugins)
            env["SEAMLB_PLUGINS"] = str(self.work / f"{name}.toml")
        return self.start(run, f"{name}.log", env)

    def desk_lines(self) -> list[dict[str, Any]]:
        """What the desks have logged so far."""
        return [json.loads(line) for line in self.desk_log.read_text().splitlines()]

    def agent_lines(self, name: str) -> list[dict[str, Any]]:
        """What an agent has logged so far."""
        found = []
        for line in (self.work / f"{name}.log").read_text().splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                found.append(json.loads(line))
        return found

    async def until(self, condition: Callable[[], Any], what: str, seconds: float = 15.0) -> None:
        """Wait for something that the case needs in order to run."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRunError(f"not in {seconds} s: {what}")
            await asyncio.sleep(0.05)

    def write_record(self, verdict: list[str]) -> None:
        """Write the record: what was sent, answered and run, in the order of time, then the agents' logs."""
        lines = sorted(self.lines + self.desk_lines(), key=lambda line: line["at"])
        first = lines[0]["at"] if lines else 0.0
        text = [f"TROUBLE={int(TROUBLE)}", *verdict, "", "seconds since the first line, who, what:"]
        for line in lines:
            facts = " ".join(f"{key}={value}" for key, value in line.items() if key not in ("at", "who", "what"))
            text.append(f"{line['at'] - first:9.3f} {line['who']:8} {line['what']} {facts}")
        for path in sorted(self.work.glob("*.log")):
            if path != self.desk_log:
                text += ["", f"log of the agent {path.stem}:", path.read_text()]
        (self.folder / "record.txt").write_text("\n".join(text) + "\n")

    def end(self) -> None:
        """End all processes that were started, and remove the work folder."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        shutil.rmtree(self.work, ignore_errors=True)


def run_case(file: str, play: Callable[[Site], Awaitable[list[str]]]) -> None:
    """Play a case: exit code 1 if `play` returns violations, 0 if it returns none, 2 if it could not run."""
    site = Site(Path(file).resolve().parent)
    code, verdict = 2, ["could not run"]

    async def bounded() -> list[str]:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        faults: list[str] = []  # of the stand-ins
        loop.set_exception_handler(lambda loop, context: faults.append(repr(context)))
        async with asyncio.timeout(LIMIT_S):
            broken = await play(site)
        if faults:
            raise CannotRunError(f"a stand-in failed: {faults[0]}")
        return broken

    try:
        broken = asyncio.run(bounded())
        code = 1 if broken else 0
        verdict = [f"rule broken, {len(broken)} times:", *broken] if broken else ["rule held"]
    except (Exception, asyncio.CancelledError) as error:
        verdict = ["could not run:", *traceback.format_exception(error)]
    finally:
        site.write_record(verdict)
        site.end()
    print("\n".join(verdict[:12]))
    sys.exit(code)
