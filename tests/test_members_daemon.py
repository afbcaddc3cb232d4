"""Membership of real processes on loopback: kills, stalls, leaves, forged datagrams and key rotation."""

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
from seamlb.members.authentication import DatagramAuthenticator
from seamlb.members.wire import Datagram, Kind, Record, Status
from tests.fleet import ROOT, check_files, own_host
from tests.loopback import HANG_TIMEOUT
from tests.processes import log_events
from tests.support import RAW

SIZE = 5
FIRST, SECOND = "11" * 32, "22" * 32


class MembersOfProcesses(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.hosts = [own_host() for _ in range(SIZE)]
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.addAsyncCleanup(self.end)
        for number in range(SIZE):
            self.write_keys(number, 1, {1: FIRST})
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
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()

    def write_keys(self, number: int, signing_key: int, keys: dict[int, str]) -> None:
        path = self.folder / f"{number}.keys"
        path.write_text(
            f"send = {signing_key}\n[keys]\n" + "".join(f'{one} = "{text}"\n' for one, text in keys.items())
        )
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
            response = await asyncio.wait_for(reader.read(), 2.0)
            writer.close()
            return dict(json.loads(response.partition(b"\r\n\r\n")[2]))
        except (OSError, ValueError, TimeoutError):
            return {}

    async def all_see(self, wanted: dict[int, str]) -> bool:
        """Whether every running process that should be alive reports the `wanted` statuses."""
        for number, process in self.processes.items():
            if process.returncode is None and wanted[number] == "alive":
                table = await self.table(number)
                if {row["name"]: row["status"] for row in table.get("members", ())} != {
                    f"a{other}": status for other, status in wanted.items()
                }:
                    return False
        return True

    async def until(self, condition: Any, timeout: float = 3 * HANG_TIMEOUT) -> None:
        async with asyncio.timeout(timeout):
            while not await condition():
                await asyncio.sleep(0.2)

    def lines(self, number: int, event: str) -> list[dict[str, Any]]:
        return log_events(self.folder / f"{number}.log", event)

    async def test_kill_leave_and_stall_are_detected_and_limits_follow(self) -> None:
        self.assertEqual({(await self.table(n))["divisor"] for n in range(SIZE)}, {SIZE})
        self.processes[4].kill()
        await self.processes[4].wait()
        expected = dict.fromkeys(range(SIZE), "alive") | {4: "dead"}
        await self.until(lambda: self.all_see(expected))

        async def divisor_updated() -> bool:
            return {(await self.table(n))["divisor"] for n in range(4)} == {4}

        await self.until(divisor_updated)
        self.assertEqual(self.lines(0, "members_divide")[-1]["divisor"], 4)

        stalled = self.processes[3]
        stalled.send_signal(signal.SIGSTOP)
        await self.until(lambda: self.one_sees(0, "a3", ("suspect", "dead")))
        suspicions = len(self.lines(3, "member_suspect"))
        stalled.send_signal(signal.SIGCONT)
        await self.until(lambda: self.all_see(expected))
        self.assertEqual(len(self.lines(3, "member_suspect")), suspicions)  # the stalled process suspects no other

        self.processes[2].send_signal(signal.SIGTERM)
        self.assertEqual(await self.processes[2].wait(), 0)
        await self.until(lambda: self.all_see(expected | {2: "left"}))
        self.assertFalse([one for one in self.lines(0, "member_suspect") if one["name"] == "a2"])
        await self.start(4)  # the same name, a new incarnation
        await self.until(lambda: self.one_sees(0, "a4", ("alive",)))
        await self.until(lambda: self.one_sees(4, "a3", ("alive",)))
        # Members that have left are not announced to new ones.
        self.assertFalse(await self.one_sees(4, "a2", ("alive", "suspect")))

        result = await asyncio.to_thread(
            CliRunner().invoke, main, ["members", "list", "--at", f"{self.hosts[0]}:7001"]
        )
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertRegex(result.output, r"a2 +127\S+ +left")

    async def one_sees(self, number: int, name: str, statuses: tuple[str, ...]) -> bool:
        table = await self.table(number)
        return any(row["name"] == name and row["status"] in statuses for row in table.get("members", ()))

    async def test_invalid_datagrams_change_nothing_and_key_rotation_loses_no_member(self) -> None:
        clock = time.time
        victim = (self.hosts[0], 7946)
        dead = Datagram(
            Kind.SYNC, "a9", 1 << 50, 0, "", (Record("a1", f"{self.hosts[1]}:7946", 1 << 60, Status.DEAD),)
        )
        forged = DatagramAuthenticator({1: b"f" * 32}, 1, clock()).seal(dead, clock())
        unknown = DatagramAuthenticator({7: bytes.fromhex(FIRST)}, 7, clock()).seal(dead, clock())
        outdated = DatagramAuthenticator({1: bytes.fromhex(FIRST)}, 1, clock()).seal(dead, clock() - 100.0)
        harmless = DatagramAuthenticator({1: bytes.fromhex(FIRST)}, 1, clock()).seal(
            Datagram(Kind.SYNC, "a1", 1), clock()
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as attacker:
            for data in (forged, unknown, outdated, harmless, harmless, forged[:50], b"x" * 65000, b""):
                attacker.sendto(data, victim)

        async def all_drops_counted() -> bool:
            dropped = (await self.table(0)).get("dropped", {})
            return dropped.keys() >= {"wrong signature", "unknown key", "clock", "replayed", "too long", "cut off"}

        await self.until(all_drops_counted)
        self.assertTrue(await self.all_see(dict.fromkeys(range(SIZE), "alive")))

        steps = ((1, {1: FIRST, 2: SECOND}), (2, {1: FIRST, 2: SECOND}), (2, {2: SECOND}))
        for signing_key, keys in steps:
            for number in range(SIZE):
                self.write_keys(number, signing_key, keys if number != 4 else {1: FIRST})
                if number != 4:  # one instance keeps the old key
                    self.processes[number].send_signal(signal.SIGHUP)
            await asyncio.sleep(0.7)
        await self.until(lambda: self.all_see(dict.fromkeys(range(4), "alive") | {4: "dead"}))
        self.assertTrue((await self.table(4))["dropped"].get("unknown key"))
        os.chmod(self.folder / "0.keys", 0o644)
        self.processes[0].send_signal(signal.SIGHUP)

        async def reload_refused() -> bool:
            return any("0600" in one["error"] for one in self.lines(0, "reload_failed"))

        await self.until(reload_refused)
        self.write_keys(4, 2, {2: SECOND})
        self.processes[4].send_signal(signal.SIGHUP)
        await self.until(lambda: self.all_see(dict.fromkeys(range(SIZE), "alive")))


class KeyFiles(unittest.TestCase):
    def test_invalid_file_is_reported_on_one_line_with_exit_code_2(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "c.json").write_text(json.dumps({"settings": RAW, "listen": "127.0.0.1:0"}))
            good = '[members]\nudp = "127.0.0.1:7946"\nkeys = "k"\n'
            key = f'send = 1\n[keys]\n1 = "{FIRST}"\n'
            for table, keys, mode, message in (
                (good, key, 0o600, ""),
                (good, key, 0o640, "make its mode 0600"),
                (good + 'seeds = ["nowhere"]', key, 0o600, "members.seeds: not host:port"),
                (good + 'seeds = ["host:1"]', key, 0o600, "members.seeds"),
                (good + "seeds = [1]", key, 0o600, "members.seeds: wrong type"),
                (good + "port = 1", key, 0o600, "members.port: unknown key"),
                (good, key.replace("send = 1", "send = 2"), 0o600, "send: no key 2"),
                (good, 'send = 1\n[keys]\n1 = "zz"\n', 0o600, "key 1: must be hex digits under a number"),
                (good, 'send = 1\n[keys]\n1 = "11"\n', 0o600, "or key not 16 to 64 bytes"),
                (good, "", 0o600, "must have exactly `send` (an integer) and a table `[keys]`"),
                (good.replace('"k"', '"none"'), key, 0o600, "No such"),
            ):
                with self.subTest(message=message):
                    (folder / "p.toml").write_text(table)
                    (folder / "k").write_text(keys)
                    (folder / "k").chmod(mode)
                    check_files(self, folder, message)

    def test_decode_command_prints_a_datagram(self) -> None:
        data = DatagramAuthenticator({1: b"k" * 32}, 1, 1.0).seal(
            Datagram(Kind.PING, "a", 5, 3, "b", (Record("c", "10.0.0.1:7", 9, Status.SUSPECT),)), 2.0
        )
        result = CliRunner().invoke(main, ["members", "decode", data.hex()])
        self.assertEqual(result.exit_code, 0)
        self.assertIn("PING of a (incarnation 5", result.output)
        self.assertIn("c at 10.0.0.1:7: suspect, incarnation 9", result.output)
        self.assertEqual(CliRunner().invoke(main, ["members", "decode", "00"]).exit_code, 2)
