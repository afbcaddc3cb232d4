"""The program as it is started: SIGTERM, SIGHUP, upgrades, the example, what it holds while it serves."""

import asyncio
import json
import os
import signal
import socket
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from seamlb.cli import main
from tests.http_peers import ScriptedHttpServer, http, notices
from tests.loopback import HANG_TIMEOUT, SDP, Peer, ScriptedDesk, invite, never_answer
from tests.processes import ProcessTestCase
from tests.support import RAW


def table(path: Path) -> list[list[str]]:
    """The rows of a /proc/net table, each split into its columns, without the heading."""
    return [row.split() for row in path.read_text().splitlines()[1:]]


def unix_listeners() -> set[str]:
    """The inodes of Unix sockets listened on anywhere on this machine, from /proc/net/unix."""
    # Flags 00010000 is __SO_ACCEPTCON: a socket that somebody is meant to come to.
    return {row[6] for row in table(Path("/proc/net/unix")) if len(row) > 6 and int(row[3], 16) & 0x10000}


class Processes(ProcessTestCase):
    async def test_sigterm_answers_what_was_taken_then_exits(self) -> None:
        desk = ScriptedDesk(never_answer)
        member = {"id": "d", "host_port": await desk.start(), "cell": 0, "phase": "Ready"}
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": [member]}}]}
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        path.write_text(json.dumps({"settings": RAW, "known": known, "name": "n", "listen": "127.0.0.1:0"}))
        listen = await self.free_address()
        agent = await self.start_process("-m", "seamlb", GW_CONFIG=str(path), GW_LISTEN=listen, GW_NAME="n7")
        self.assertIn('"name":"n7"', await self.wait_for_line(agent, '"serving"'))
        caller = await Peer.connect(listen)
        caller.send(invite(timer=1500))
        patient = await Peer.connect(listen)
        patient.send(invite("00000000000000a3", timer=9000))
        for _ in range(2):
            await desk.until("INVITE")
        agent.send_signal(signal.SIGTERM)
        await self.wait_for_line(agent, '"draining"')
        late = await Peer.connect(listen)
        late.send(invite("00000000000000a2", timer=100))
        self.assertEqual((await late.next()).status, 503)
        self.assertEqual((await caller.next()).status, 503)
        self.assertEqual((await patient.next()).status, 500)  # the drain ends by itself, before its time is over
        await self.wait_for_line(agent, '"drain_late"')
        await self.wait_for_line(agent, '"ended"')
        self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 0)
        for one in (late, caller, patient):
            one.close()
        await desk.stop()

    async def test_sighup_moves_the_board_and_never_ends_the_process(self) -> None:
        async def board(stand: ScriptedHttpServer, path: str) -> bytes | None:
            if len(stand.paths) > 1:
                await asyncio.Event().wait()
            return http(notices(3 + boards.index(stand), ("d", "Ready"), complete=True))

        boards = [ScriptedHttpServer(board), ScriptedHttpServer(board)]
        addresses = [await one.start() for one in boards]
        listen = await self.free_address()
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        good = {"settings": RAW, "board": addresses[0], "listen": listen}
        path.write_text(json.dumps(good))
        agent = await self.start_process("-m", "seamlb", "serve", "--config", str(path))
        await self.wait_for_line(agent, '"serving"')
        await self.eventually(lambda: len(boards[0].paths) == 2)
        path.write_text(json.dumps(good | {"board": "nowhere"}))
        agent.send_signal(signal.SIGHUP)
        await self.wait_for_line(agent, "board: not host:port: 'nowhere'")
        path.write_text(json.dumps(good | {"board": addresses[1], "name": "other"}))
        agent.send_signal(signal.SIGHUP)
        self.assertIn('"waits_for_restart":["name"]', await self.wait_for_line(agent, '"reloaded"'))
        await self.eventually(lambda: len(boards[1].paths) == 2)
        self.assertIn("watch=3", boards[1].paths[0])
        caller = await Peer.connect(listen)
        caller.send(invite(timer=100))  # keeps the drain going for a moment
        agent.send_signal(signal.SIGTERM)
        await self.wait_for_line(agent, '"draining"')
        agent.send_signal(signal.SIGHUP)
        await self.wait_for_line(agent, '"reloaded"')
        self.assertEqual((await caller.next()).status, 503)
        self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 0)
        caller.close()
        for one in boards:
            one.server.close()

    async def test_an_upgrade_hands_callers_over_by_the_inherited_socket(self) -> None:
        desk = ScriptedDesk()
        member = {"id": "d", "host_port": await desk.start(), "cell": 0, "phase": "Ready"}
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": [member]}}]}
        held = socket.create_server(("127.0.0.1", 0))
        listen = "{}:{}".format(*held.getsockname())
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        settings = RAW | {"Limits": RAW["Limits"] | {"Peers": True}}
        path.write_text(
            json.dumps(
                {"settings": settings, "known": known, "listen": listen, "peer_listen": await self.free_address()}
            )
        )

        async def agent() -> asyncio.subprocess.Process:
            fd = os.dup(held.fileno())
            try:
                process = await self.start_process(
                    "-m",
                    "seamlb",
                    fds=(fd,),
                    GW_CONFIG=str(path),
                    GW_INHERITED_FD=str(fd),
                    GW_MANAGEMENT=await self.free_address(),
                )
            finally:
                os.close(fd)
            await self.wait_for_line(process, '"serving"')
            return process

        old = await agent()
        first = await Peer.connect(listen)
        first.send(invite())
        self.assertEqual((await first.until(200)).body, SDP)
        new = await agent()  # the peers' address is bound twice now
        old.send_signal(signal.SIGTERM)
        await self.wait_for_line(old, '"draining"')
        second = await Peer.connect(listen)
        second.send(invite("00000000000000a2"))
        self.assertEqual((await second.until(200)).body, SDP)
        with self.assertRaises(EOFError):  # sent away at rest, before its process ends
            await first.next()
        self.assertEqual(await asyncio.wait_for(old.wait(), HANG_TIMEOUT), 0)
        second.send(invite("00000000000000a3"))
        self.assertEqual((await second.until(200)).body, SDP)
        new.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(new.wait(), HANG_TIMEOUT), 0)
        for one in (first, second):
            one.close()
        held.close()
        await desk.stop()

    async def test_a_descriptor_that_can_not_be_listened_on_is_one_line_and_the_address_is_bound(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        taken = socket.create_server(("127.0.0.1", 0))
        ours, theirs = socket.socketpair()
        with ours, theirs, taken:
            for fd, says in ((ours.fileno(), "not a listening socket"), (987, "Bad file descriptor")):
                path.write_text(json.dumps({"settings": RAW, "listen": await self.free_address()}))
                agent = await self.start_process(
                    "-m", "seamlb", "serve", "--config", str(path), fds=(ours.fileno(),), GW_INHERITED_FD=str(fd)
                )
                self.assertIn(says, await self.wait_for_line(agent, '"not_inherited"'))
                await self.wait_for_line(agent, '"serving"')
            path.write_text(json.dumps({"settings": RAW, "listen": "{}:{}".format(*taken.getsockname())}))
            agent = await self.start_process("-m", "seamlb", "serve", "--config", str(path), GW_INHERITED_FD="987")
            self.assertIn("in use", await self.wait_for_line(agent, "seamlb: "))
            self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 2)

    async def test_the_admin_commands_say_yes_and_no(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        at = await self.free_address()
        path.write_text(json.dumps({"settings": RAW, "listen": await self.free_address(), "management": at}))
        agent = await self.start_process("-m", "seamlb", "serve", "--config", str(path))
        await self.wait_for_line(agent, '"serving"')
        for call, code, says in (
            ("health", 0, "ready"),
            ("stats", 0, '"registry_entries": 0'),
            ("quiesce", 0, "quiescing"),
            ("health", 1, "quiescing"),
            ("resume", 0, "ready"),
        ):
            told = await asyncio.to_thread(CliRunner().invoke, main, ["admin", call, "--at", at])
            self.assertEqual(told.exit_code, code, told.output)
            self.assertIn(says, told.output)
        agent.kill()
        await agent.wait()
        self.assertEqual(CliRunner().invoke(main, ["admin", "health", "--at", at]).exit_code, 1)
        self.assertEqual(CliRunner().invoke(main, ["admin", "health", "--at", "nowhere"]).exit_code, 2)

    async def test_the_example_runs_as_written(self) -> None:
        desk = await self.start_process("examples/toy.py", "desk")
        await self.wait_for_line(desk, "toy desk on")
        agent = await self.start_process(
            "-m", "seamlb", "serve", "--config", "examples/config.json", "--plugins", "examples/sip.toml"
        )
        await self.wait_for_line(agent, '"serving"')
        call = await self.start_process("examples/toy.py", "call", "alert-confirm")
        self.assertIn("toy desk", await self.wait_for_line(call, "SIP/2.0 200"))
        await self.wait_for_line(call, "BYE")
        self.assertEqual(await asyncio.wait_for(call.wait(), HANG_TIMEOUT), 0)
        agent.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 0)

    @unittest.skipUnless(Path("/proc/net/unix").exists(), "needs /proc to look at sockets")
    async def test_a_unix_socket_listened_on_is_seen(self) -> None:  # so that the look below can fail
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        with socket.socket(socket.AF_UNIX) as listener:
            listener.bind(str(folder / "s"))
            self.assertNotIn(str(os.fstat(listener.fileno()).st_ino), unix_listeners())
            listener.listen()
            self.assertIn(str(os.fstat(listener.fileno()).st_ino), unix_listeners())

    # The fleet's bench refuses fork, other programs, io_uring and Unix sockets anybody comes to.
    @unittest.skipUnless(Path("/proc/self/task").is_dir(), "needs /proc to look at the running process")
    async def test_the_running_daemon_is_one_process_with_tcp_listeners_and_no_unix_listener(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        path.write_text(json.dumps({"settings": RAW, "name": "n", "listen": "127.0.0.1:0"}))
        listen, management = await self.free_address(), await self.free_address()
        agent = await self.start_process(
            "-m", "seamlb", GW_CONFIG=str(path), GW_LISTEN=listen, GW_MANAGEMENT=management, GW_NAME="n1"
        )
        await self.wait_for_line(agent, '"serving"')
        caller = await Peer.connect(listen)  # one caller, so that what a connection opens is seen too
        caller.send(invite(timer=300))
        self.assertIn((await caller.next()).status, (500, 503))
        proc = Path(f"/proc/{agent.pid}")
        children = {c for task in (proc / "task").iterdir() for c in (task / "children").read_text().split()}
        self.assertEqual(children, set(), "the daemon started other programs")
        maps = (proc / "maps").read_text()
        self.assertIn("libc.so", maps, "not linked dynamically against the C library")
        targets = []
        for fd in (proc / "fd").iterdir():
            try:
                targets.append(os.readlink(fd))
            except FileNotFoundError:  # closed while we looked
                continue
        self.assertFalse([target for target in targets if "io_uring" in target], targets)
        sockets = {target[8:-1] for target in targets if target.startswith("socket:[")}
        self.assertEqual(sockets & unix_listeners(), set(), "a Unix socket is listened on")
        tcp = {row[9] for name in ("tcp", "tcp6") for row in table(proc / "net" / name)}
        self.assertGreaterEqual(len(sockets & tcp), 3, targets)  # callers', operators' and the caller's connection
        caller.close()
        agent.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 0)
