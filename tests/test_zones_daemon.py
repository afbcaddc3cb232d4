"""Zone failover of real processes: five agents, desks in three zones, fault injectors on one agent's links."""

import asyncio
import json
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from seamlb.cli import main
from seamlb.protocol.sip import Message
from tests.callers import OpenLoopCallers
from tests.fleet import ROOT, check_files, own_host
from tests.injector import Injector
from tests.loopback import HANG_TIMEOUT, Peer, ScriptedDesk, answer
from tests.processes import log_events
from tests.support import RAW

SIZE, ZONES, DESKS = 5, 3, 2
DESK_CAPACITY = 20.0  # calls/s
RATE = 100.0  # calls/s


class ZonesTable(unittest.TestCase):
    def test_invalid_table_is_reported_on_one_line_with_exit_code_2(self) -> None:
        zones = "[zones]\nbears = 20\n"
        members = '[members]\nudp = "127.0.0.1:7946"\nkeys = "k"\n'
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "k").write_text(f'send = 1\n[keys]\n1 = "{"11" * 32}"\n')
            (folder / "k").chmod(0o600)
            for azs, table, message in (
                (["x", "y"], members + zones, ""),
                (["x"], members + zones, "fewer than two"),
                (["x", "y"], zones, "no table [members]"),
                (["x", "y"], members + "[zones]\n", "bears"),
                (["x", "y"], members + zones.replace("20", "0"), "zones.bears: not above 0"),
                (["x", "y"], members + zones + 'regions = ["x+w"]\n', "unknown zone 'w'"),
                (["x", "y"], members + zones + "out = 0.1\n", "not 1 to 3600"),
                (["x", "y"], members + zones + "bear = 1\n", "zones.bear: unknown key"),
            ):
                with self.subTest(message=message):
                    (folder / "c.json").write_text(
                        json.dumps({"settings": RAW | {"Azs": azs}, "listen": "127.0.0.1:0"})
                    )
                    (folder / "p.toml").write_text(table)
                    check_files(self, folder, message)


class ZoneFailoverOfProcesses(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.hosts = [own_host() for _ in range(SIZE)]
        self.processes: list[asyncio.subprocess.Process] = []
        self.attempts: dict[str, int] = {}
        self.arrivals: list[tuple[float, int, int]] = []  # time (s), zone, desk
        self.hanging_zone = -1
        self.desks = [
            ScriptedDesk(self.script(n // DESKS, n), report="idle:500;circuits:500") for n in range(ZONES * DESKS)
        ]
        for desk in self.desks:
            await desk.start()
        # On the links of a0 to zone z1.
        self.injectors = [Injector(desk.address) for desk in self.desks[DESKS : 2 * DESKS]]
        for injector in self.injectors:
            await injector.start()
        self.addAsyncCleanup(self.end)
        (self.folder / "keys").write_text(f'send = 1\n[keys]\n1 = "{"11" * 32}"\n')
        (self.folder / "keys").chmod(0o600)
        for number in range(SIZE):
            await self.start(number)
        await self.until(lambda: all(self.lines(n, "serving") for n in range(SIZE)))
        for number in range(SIZE):
            await self.until(lambda number=number: len(self.lines(number, "member_joined")) == SIZE - 1)

    def script(self, zone: int, number: int) -> Any:
        async def play(peer: Peer, invite: Message) -> None:
            ident = invite.get("call-id")
            self.attempts[ident] = self.attempts.get(ident, 0) + 1
            self.arrivals.append((asyncio.get_running_loop().time(), zone, number))
            if zone != self.hanging_zone:
                await answer(peer, invite)

        return play

    async def start(self, number: int) -> None:
        addresses = [desk.address for desk in self.desks]
        if number == 0:
            addresses[DESKS : 2 * DESKS] = [one.address for one in self.injectors]
        members = [
            {
                "id": f"d{n}",
                "host_port": at,
                "cell": n,
                "phase": "Ready",
                "up_since_ms": 0,
                "locality": f"z{n // DESKS}",
            }
            for n, at in enumerate(addresses)
        ]
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": members}}]}
        (self.folder / f"{number}.json").write_text(
            json.dumps(
                {
                    "settings": RAW | {"Instances": SIZE, "Azs": [f"z{n}" for n in range(ZONES)]},
                    "known": known,
                    "name": f"a{number}",
                    "listen": f"{self.hosts[number]}:5060",
                    "management": f"{self.hosts[number]}:7001",
                }
            )
        )
        (self.folder / f"{number}.toml").write_text(
            f'[members]\nudp = "{self.hosts[number]}:7946"\nkeys = "keys"\nseeds = ["{self.hosts[0]}:7946"]\n'
            f"[zones]\nbears = {DESK_CAPACITY}\nout = 3\nramp = 4\n"
        )
        with open(self.folder / f"{number}.log", "ab") as out:
            self.processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "seamlb",
                    "serve",
                    "--config",
                    str(self.folder / f"{number}.json"),
                    "--plugins",
                    str(self.folder / f"{number}.toml"),
                    cwd=ROOT,
                    stdout=out,
                    stderr=out,
                )
            )

    async def end(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for injector in self.injectors:
            await injector.stop()
        for desk in self.desks:
            await desk.stop()

    def lines(self, number: int, event: str) -> list[dict[str, Any]]:
        return log_events(self.folder / f"{number}.log", event)

    async def until(self, condition: Any, timeout: float = 3 * HANG_TIMEOUT) -> None:
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.1)

    def all_logged(self, event: str, times: int = 1) -> bool:
        return all(len([one for one in self.lines(n, event) if one["zone"] == "z1"]) >= times for n in range(SIZE))

    async def test_all_agents_leave_a_hanging_zone_but_not_for_one_agents_link(self) -> None:
        callers = OpenLoopCallers([f"{one}:5060" for one in self.hosts], RATE, dests=ZONES * DESKS)
        self.addAsyncCleanup(callers.stop)
        await asyncio.sleep(4.0)
        for injector in self.injectors:  # only a0 gets no response from z1
            injector.mode = "drop"
        await asyncio.sleep(6.0)
        self.assertEqual([self.lines(n, "zone_out") for n in range(SIZE)], [[]] * SIZE)
        for injector in self.injectors:
            injector.mode = "pass"

        self.hanging_zone = 1
        await self.until(lambda: self.all_logged("zone_out"))
        self.assertEqual({one["zone"] for n in range(SIZE) for one in self.lines(n, "zone_out")}, {"z1"})
        listing = await asyncio.to_thread(
            CliRunner().invoke, main, ["zones", "list", "--at", f"{self.hosts[1]}:7001"]
        )
        self.assertRegex(listing.output, r"z1 +(out|return)")
        self.hanging_zone = -1
        await self.until(lambda: self.all_logged("zone_return"))
        began = asyncio.get_running_loop().time()
        await self.until(lambda: self.all_logged("zone_in"))
        ended = asyncio.get_running_loop().time()
        for number in range(DESKS, 2 * DESKS):
            arrivals = [at for at, _, desk in self.arrivals if desk == number and began <= at <= ended - 1.0]
            peak = max((sum(at <= other < at + 1.5 for other in arrivals) for at in arrivals), default=0)
            self.assertLessEqual(peak, DESK_CAPACITY * 1.5)
        self.assertTrue([one for one in self.arrivals if one[1] == 1 and one[0] > began])
        await callers.stop()
        self.assertEqual([call for call, count in self.attempts.items() if count > 4], [])  # AttemptsCap
        self.assertEqual(callers.lost, [])
        self.assertNotIn("doubled", callers.outcomes)

        at = ["--at", f"{self.hosts[2]}:7001"]
        for arguments, code in ((["nowhere", "out"], 1), (["z2", "out"], 0)):
            result = await asyncio.to_thread(CliRunner().invoke, main, ["zones", "force", *at, *arguments])
            self.assertEqual(result.exit_code, code, result.output)
        await self.until(
            lambda: any(
                one["zone"] == "z2" and one["why"] == "forced by an operator" for one in self.lines(2, "zone_out")
            )
        )
