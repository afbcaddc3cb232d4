"""Membership of real processes on loopback: killed, stalled, leaving, lied to, with other keys."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from seamlb.cli import main
from seamlb.members.guard import Guard
from seamlb.members.wire import Datagram, Item, Kind, Status
from tests.fleet import ROOT, check_files, own_host
from tests.loopback import HANG_TIMEOUT
from tests.processes import log_events
from tests.support import RAW

SIZE = 5
FIRST, SECOND = "11" * 32, "22" * 32


class Members(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.hosts = [own_host() for _ in range(SIZE)]
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.addAsyncCleanup(self.end)
        for number in range(SIZE):
            self.keys(number, 1, {1: FIRST})
            (self.folder / f"{number}.toml").write_text(
                f'[members]\nudp = "{self.hosts[number]}:7946"\nkeys = "{number}.keys"\n'
                f"seeds = {json.dumps([f'{one}:7946' for one in self.hosts[:2]])}\n"
            )
            (self.folder / f"{number}.json").write_text(
                json.dumps(
                    {
                        "settings": RAW | {"Instances": SIZE},
                        "name": f"a{number}",
                        "listen": f"{self.hosts[number]}:5060",
                        "management": f"{self.hosts[number]}:7001",
                    }
                )
            )
            await self.start(number)
        await self.until(lambda: self.all_see(dict.fromkeys(range(SIZE), "alive")))

    async def end(self) -> None:
        for one in self.processes.values():
            if one.returncode is None:
                one.kill()
            await one.wait()

    def keys(self, number: int, send: int, keys: dict[int, str]) -> None:
        path = self.folder / f"{number}.keys"
        path.write_text(f"send = {send}\n[keys]\n" + "".join(f'{one} = "{text}"\n' for one, text in keys.items()))
        path.chmod(0o600)

    async def start(self, number: int) -> None:
        with open(self.folder / f"{number}.log", "ab") as out:
            self.processes[number] = await asyncio.create_subprocess_exec(
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

    async def table(self, number: int) -> dict[str, Any]:
        try:
            reader, writer = await asyncio.open_connection(self.hosts[number], 7001)
            writer.write(b"GET /admin/members HTTP/1.1\r\nHost: a\r\n\r\n")
            told = await asyncio.wait_for(reader.read(), 2.0)
            writer.close()
            return dict(json.loads(told.partition(b"\r\n\r\n")[2]))
        except (OSError, ValueError, TimeoutError):
            return {}

    async def all_see(self, wanted: dict[int, str]) -> bool:
        """Does every process that runs see these as they should be?"""
        for number, one in self.processes.items():
            if one.returncode is None and wanted[number] == "alive":
                told = await self.table(number)
                if {row["name"]: row["status"] for row in told.get("members", ())} != {
                    f"a{other}": status for other, status in wanted.items()
                }:
                    return False
        return True

    async def until(self, true: Any, within: float = 3 * HANG_TIMEOUT) -> None:
        async with asyncio.timeout(within):
            while not await true():
                await asyncio.sleep(0.2)

    def lines(self, number: int, event: str) -> list[dict[str, Any]]:
        return log_events(self.folder / f"{number}.log", event)

    async def test_one_is_killed_one_leaves_one_stalls_and_limits_follow_the_living(self) -> None:
        self.assertEqual({(await self.table(n))["divisor"] for n in range(SIZE)}, {SIZE})
        self.processes[4].kill()
        await self.processes[4].wait()
        seen = dict.fromkeys(range(SIZE), "alive") | {4: "dead"}
        await self.until(lambda: self.all_see(seen))

        async def divided() -> bool:
            return {(await self.table(n))["divisor"] for n in range(4)} == {4}

        await self.until(divided)
        self.assertEqual(self.lines(0, "members_divide")[-1]["divisor"], 4)

        stalled = self.processes[3]
        stalled.send_signal(signal.SIGSTOP)
        await self.until(lambda: self.one_sees(0, "a3", ("suspect", "dead")))
        accused = len(self.lines(3, "member_suspect"))
        stalled.send_signal(signal.SIGCONT)
        await self.until(lambda: self.all_see(seen))
        self.assertEqual(len(self.lines(3, "member_suspect")), accused)  # it was the one that was slow

        self.processes[2].send_signal(signal.SIGTERM)
        self.assertEqual(await self.processes[2].wait(), 0)
        await self.until(lambda: self.all_see(seen | {2: "left"}))
        self.assertFalse([one for one in self.lines(0, "member_suspect") if one["name"] == "a2"])
        await self.start(4)  # the same name, a new incarnation
        await self.until(lambda: self.one_sees(0, "a4", ("alive",)))
        await self.until(lambda: self.one_sees(4, "a3", ("alive",)))
        self.assertFalse(await self.one_sees(4, "a2", ("alive", "suspect")))  # who is gone is no news to a newcomer

        told = await asyncio.to_thread(CliRunner().invoke, main, ["members", "list", "--at", f"{self.hosts[0]}:7001"])
        self.assertEqual(told.exit_code, 0, told.output)
        self.assertRegex(told.output, r"a2 +127\S+ +left")

    async def one_sees(self, number: int, name: str, statuses: tuple[str, ...]) -> bool:
        told = await self.table(number)
        return any(row["name"] == name and row["status"] in statuses for row in told.get("members", ()))

    async def test_forged_replayed_and_broken_datagrams_change_nothing_and_keys_rotate_without_a_gap(self) -> None:
        clock = time.time
        victim = (self.hosts[0], 7946)
        dead = Datagram(Kind.SYNC, "a9", 1 << 50, 0, "", (Item("a1", f"{self.hosts[1]}:7946", 1 << 60, Status.DEAD),))
        forged = Guard({1: b"f" * 32}, 1, clock()).seal(dead, clock())
        unknown = Guard({7: bytes.fromhex(FIRST)}, 7, clock()).seal(dead, clock())
        late = Guard({1: bytes.fromhex(FIRST)}, 1, clock()).seal(dead, clock() - 100.0)
        harmless = Guard({1: bytes.fromhex(FIRST)}, 1, clock()).seal(Datagram(Kind.SYNC, "a1", 1), clock())
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as liar:
            for data in (forged, unknown, late, harmless, harmless, forged[:50], b"x" * 65000, b""):
                liar.sendto(data, victim)

        async def counted() -> bool:
            told = (await self.table(0)).get("dropped", {})
            return told.keys() >= {"wrong signature", "unknown key", "clock", "replayed", "too long", "cut off"}

        await self.until(counted)
        self.assertTrue(await self.all_see(dict.fromkeys(range(SIZE), "alive")))

        steps = ((1, {1: FIRST, 2: SECOND}), (2, {1: FIRST, 2: SECOND}), (2, {2: SECOND}))
        for send, keys in steps:
            for number in range(SIZE):
                self.keys(number, send, keys if number != 4 else {1: FIRST})
                if number != 4:  # one instance is left behind
                    self.processes[number].send_signal(signal.SIGHUP)
            await asyncio.sleep(0.7)
        await self.until(lambda: self.all_see(dict.fromkeys(range(4), "alive") | {4: "dead"}))
        self.assertTrue((await self.table(4))["dropped"].get("unknown key"))
        os.chmod(self.folder / "0.keys", 0o644)
        self.processes[0].send_signal(signal.SIGHUP)

        async def refused() -> bool:
            return any("0600" in one["error"] for one in self.lines(0, "reload_failed"))

        await self.until(refused)
        self.keys(4, 2, {2: SECOND})
        self.processes[4].send_signal(signal.SIGHUP)
        await self.until(lambda: self.all_see(dict.fromkeys(range(SIZE), "alive")))


class Files(unittest.TestCase):
    def test_what_is_wrong_is_one_line_and_exit_2(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "c.json").write_text(json.dumps({"settings": RAW, "listen": "127.0.0.1:0"}))
            good = '[members]\nudp = "127.0.0.1:7946"\nkeys = "k"\n'
            key = f'send = 1\n[keys]\n1 = "{FIRST}"\n'
            for table, keys, mode, says in (
                (good, key, 0o600, ""),
                (good, key, 0o640, "make its mode 0600"),
                (good + 'seeds = ["nowhere"]', key, 0o600, "members.seeds: not host:port"),
                (good + 'seeds = ["host:1"]', key, 0o600, "members.seeds"),
                (good + "seeds = [1]", key, 0o600, "members.seeds: wrong type"),
                (good + "port = 1", key, 0o600, "members.port: unknown key"),
                (good, key.replace("send = 1", "send = 2"), 0o600, "send: no key 2"),
                (good, 'send = 1\n[keys]\n1 = "zz"\n', 0o600, "key 1: no hex digits"),
                (good, 'send = 1\n[keys]\n1 = "11"\n', 0o600, "not 16 to 64 bytes"),
                (good, "", 0o600, "not `send` and a table"),
                (good.replace('"k"', '"none"'), key, 0o600, "No such"),
            ):
                with self.subTest(says=says):
                    (folder / "p.toml").write_text(table)
                    (folder / "k").write_text(keys)
                    (folder / "k").chmod(mode)
                    check_files(self, folder, says)

    def test_a_datagram_in_words(self) -> None:
        data = Guard({1: b"k" * 32}, 1, 1.0).seal(
            Datagram(Kind.PING, "a", 5, 3, "b", (Item("c", "10.0.0.1:7", 9, Status.SUSPECT),)), 2.0
        )
        told = CliRunner().invoke(main, ["members", "decode", data.hex()])
        self.assertEqual(told.exit_code, 0)
        self.assertIn("PING of a (incarnation 5", told.output)
        self.assertIn("c at 10.0.0.1:7: suspect, incarnation 9", told.output)
        self.assertEqual(CliRunner().invoke(main, ["members", "decode", "00"]).exit_code, 2)
