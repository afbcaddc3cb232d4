"""A site of real processes that agree on versions, with fault injectors between all of them; audits their logs."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from seamlb.agree.lease import LeaseState
from seamlb.agree.relations import RELATIONS
from seamlb.agree.settings import load_founding_version
from seamlb.agree.version import ConfigVersion, fallback_values, transition_values
from tests.fleet import GOOD_COMMAND, ROOT, own_host
from tests.injector import Injector
from tests.loopback import HANG_TIMEOUT
from tests.processes import log_events
from tests.support import RAW

WITHIN = 2.0
RULES = """
[rules.open]
kind = "limit"
value = 100
alone = 5
[rules."tenant.t"]
kind = "share"
value = { whole = 10.0, parts = { a0 = 2.0, a1 = 2.0, a2 = 2.0, a3 = 2.0, a4 = 2.0 } }
alone = { whole = 10.0, parts = { a0 = 0.5, a1 = 0.5, a2 = 0.5, a3 = 0.5, a4 = 0.5 } }
[rules.desks]
kind = "held"
value = []
alone = ["d1"]
[rules.owner]
kind = "owner"
value = "a0"
alone = ""
"""


def boottime() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LogAuditor:
    """Finds, in the logs, times in which an agent violated a version that another agent applied as in force."""

    def __init__(self, first: ConfigVersion) -> None:
        self.versions = {first.digest: first}
        self.chosen: dict[int, set[str]] = {}
        self.spans: dict[str, list[tuple[float, float, ConfigVersion, LeaseState]]] = {}  # start and end, in seconds

    def add_version(self, version: ConfigVersion) -> None:
        """Registers a version that may be chosen."""
        self.versions[version.digest] = version

    def add_log(self, name: str, lines: list[dict[str, Any]], end: float) -> None:
        """Adds the log lines of one process; `end` is when it was killed, or now."""
        since = [float(line["since"]) for line in lines] + [end]
        for n, line in enumerate(lines):
            version = self.versions[line["digest"]]
            self.chosen.setdefault(version.number, set()).add(version.digest)
            self.spans.setdefault(name, []).append((since[n], since[n + 1], version, LeaseState(line["stance"])))

    def _values(self, version: ConfigVersion, state: LeaseState) -> Mapping[str, Any]:
        previous = self.versions.get(version.previous_digest)
        if state is LeaseState.TRANSITION and previous:
            return transition_values(previous, version)
        return (
            fallback_values(version)
            if state is LeaseState.FALLBACK
            else {n: r.value for n, r in version.rules.items()}
        )

    def violation_seconds(self) -> float:
        """Seconds of violations, summed over pairs of agents."""
        total = 0.0
        active = [(peer, *s[:3]) for peer, spans in self.spans.items() for s in spans if s[3] is LeaseState.IN_FORCE]
        for name, spans in self.spans.items():
            for start, end, version, state in spans:
                values = self._values(version, state)
                for peer, other_start, other_end, other in active:
                    overlap = min(end, other_end) - max(start, other_start)
                    if (
                        peer != name
                        and overlap > 0.0
                        and any(
                            not RELATIONS[rule.kind].complies(name, values[field], rule.value)
                            for field, rule in other.rules.items()
                        )
                    ):
                        total += overlap
        return total


class Site:
    """Agents a0 to a4, of which the first three are voters; `injectors` by (dialling agent, voter)."""

    def __init__(self, folder: Path, size: int = 5, voters: int = 3) -> None:
        self.folder, self.names = folder, [f"a{n}" for n in range(size)]
        self.voters = self.names[:voters]
        self.possible_voters = self.names[: voters + 1]  # those with an address
        self.hosts = {name: own_host() for name in self.names}
        self.injectors: dict[tuple[str, str], Injector] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.starts: dict[str, int] = {}
        self.ends: dict[tuple[str, int], float] = {}  # by agent and process number: seconds at which it was killed

    async def start(self, *, commands: Mapping[str, tuple[str, ...]] | None = None) -> None:
        (self.folder / "founding.toml").write_text(
            f"council = {json.dumps(self.voters)}\nagents = {json.dumps(self.names)}\n{RULES}"
        )
        self.auditor = LogAuditor(first := load_founding_version(self.folder / "founding.toml"))
        self.newest = first
        (self.folder / "keys").write_text(f'send = 1\n[keys]\n1 = "{"11" * 32}"\n')
        (self.folder / "keys").chmod(0o600)
        desks = [
            {"id": f"d{n}", "host_port": "127.0.0.1:9", "cell": n, "phase": "Ready", "up_since_ms": 0}
            for n in range(2)
        ]
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": desks}}]}
        for name in self.names:
            voters = []
            for voter in self.possible_voters:
                self.injectors[name, voter] = injector = Injector(f"{self.hosts[voter]}:7100")
                voters.append(f"{voter}={await injector.start()}")
            (self.folder / name).mkdir()
            (self.folder / f"{name}.toml").write_text(
                f'[agree]\nlisten = "{self.hosts[name]}:7100"\nfounding = "founding.toml"\nstate = "{name}"\n'
                f'keys = "keys"\ncouncil = {json.dumps(voters)}\nwithin = {WITHIN}\n'
            )
            (self.folder / f"{name}.json").write_text(
                json.dumps(
                    {
                        "settings": RAW | {"Instances": 5, "Tenants": [{"Name": "t", "AllowancePerS": 10.0}]},
                        "name": name,
                        "listen": f"{self.hosts[name]}:5060",
                        "management": f"{self.hosts[name]}:7001",
                        "known": known,
                    }
                )
            )
        for name in self.names:
            await self.start_agent(name, (commands or {}).get(name, GOOD_COMMAND))

    async def start_agent(self, name: str, command: tuple[str, ...] = GOOD_COMMAND) -> None:
        """Starts a process for an agent."""
        self.starts[name] = self.starts.get(name, -1) + 1
        with open(self.folder / f"{name}.{self.starts[name]}.log", "wb") as out:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *command,
                "serve",
                "--config",
                str(self.folder / f"{name}.json"),
                "--plugins",
                str(self.folder / f"{name}.toml"),
                cwd=ROOT,
                stdout=out,
                stderr=out,
            )

    async def kill(self, name: str) -> None:
        self.processes[name].kill()
        await self.processes[name].wait()
        self.ends[name, self.starts[name]] = boottime()

    def isolate(self, names: set[str], mode: str = "drop") -> None:
        """Blocks traffic between these agents and all others."""
        for (dialler, voter), injector in self.injectors.items():
            injector.mode = mode if (dialler in names) != (voter in names) else "pass"

    async def admin(self, name: str, path: str = "/admin/agree", body: str = "") -> dict[str, Any]:
        """Sends a request to the management address; {} if there is no response."""
        method = "POST" if body else "GET"
        try:
            reader, writer = await asyncio.open_connection(self.hosts[name], 7001)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            reply = await asyncio.wait_for(reader.read(), 2.0)
            writer.close()
            return dict(json.loads(reply.partition(b"\r\n\r\n")[2]))
        except (OSError, ValueError, TimeoutError):
            return {}

    async def propose(self, name: str, voters: tuple[str, ...] = (), **values: Any) -> ConfigVersion:
        """Proposes values by rule (`tenant_t` for tenant.t) until they are chosen."""
        rules = {key.replace("_", "."): value for key, value in values.items()}
        version = self.newest.successor(rules, voters)
        self.auditor.add_version(version)
        async with asyncio.timeout(3 * HANG_TIMEOUT):
            while True:
                reply = await self.admin(
                    name, "/admin/agree/propose", json.dumps({"rules": rules, "council": voters})
                )
                if reply.get("error") == "":
                    break
                if "error" not in reply and reply:
                    await asyncio.sleep(0.3)
                    if (await self.admin(name)).get("charter", 0) >= version.number:
                        break
                await asyncio.sleep(0.1)
        self.newest = version
        return version

    async def applied(self, name: str) -> tuple[int, str]:
        """Number of the version that an agent applies, and its lease state."""
        reply = await self.admin(name)
        return int(reply.get("charter", 0)), str(reply.get("stance", ""))

    async def wait_for_all(self, number: int, *excluded: str, state: str = "in force") -> None:
        async def all_apply() -> bool:
            return all([await self.applied(name) == (number, state) for name in self.names if name not in excluded])

        try:
            await self.wait_until(all_apply)
        except TimeoutError:
            tables = [json.dumps(await self.admin(name)) for name in self.names]
            raise AssertionError(f"not all apply version {number} {state}:\n" + "\n".join(tables)) from None

    async def wait_until(self, condition: Callable[[], Any], within: float = 3 * HANG_TIMEOUT) -> None:
        async with asyncio.timeout(within):
            while not await condition():
                await asyncio.sleep(0.05)

    def lines(self, name: str, event: str, start: int | None = None) -> list[dict[str, Any]]:
        """Log lines of an agent's process, by default the latest."""
        path = self.folder / f"{name}.{self.starts[name] if start is None else start}.log"
        return log_events(path, event)

    def audit(self) -> float:
        """Seconds of violations so far; asserts that no number has two versions."""
        now = boottime()
        for name, count in self.starts.items():
            for start in range(count + 1):
                self.auditor.add_log(name, self.lines(name, "agree_acts", start), self.ends.get((name, start), now))
        assert all(len(digests) == 1 for digests in self.auditor.chosen.values())
        return self.auditor.violation_seconds()

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()
        for injector in self.injectors.values():
            await injector.stop()
