"""The running program: SIGTERM, SIGHUP, upgrades, admin commands, the example, and the sockets it opens."""

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


def rows_of(path: Path) -> list[list[str]]:
    """The rows of a /proc/net table without the heading, split into columns."""
    return [row.split() for row in path.read_text().splitlines()[1:]]


def unix_listeners() -> set[str]:
    """The inodes of all listening Unix sockets on this machine, from /proc/net/unix."""
    # Flag 00010000 is __SO_ACCEPTCON: the socket listens.
    return {row[6] for row in rows_of(Path("/proc/net/unix")) if len(row) > 6 and int(row[3], 16) & 0x10000}


class RunningProgram(ProcessTestCase):
    async def test_sigterm_answers_accepted_calls_then_exits(self) -> None:
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
        self.assertEqual((await patient.next()).status, 500)  # the drain fails it before the process would be killed
        await self.wait_for_line(agent, '"drain_late"')
        await self.wait_for_line(agent, '"ended"')
        self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 0)
        for connection in (late, caller, patient):
            connection.close()
        await desk.stop()

    async def test_sighup_changes_the_board_and_does_not_end_the_process(self) -> None:
        async def board(server: ScriptedHttpServer, path: str) -> bytes | None:
            if len(server.paths) > 1:
                await asyncio.Event().wait()
            return http(notices(3 + boards.index(server), ("d", "Ready"), complete=True))

        boards = [ScriptedHttpServer(board), ScriptedHttpServer(board)]
        addresses = [await server.start() for server in boards]
        listen = await self.free_address()
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        valid = {"settings": RAW, "board": addresses[0], "listen": listen}
        path.write_text(json.dumps(valid))
        agent = await self.start_process("-m", "seamlb", "serve", "--config", str(path))
        await self.wait_for_line(agent, '"serving"')
        await self.eventually(lambda: len(boards[0].paths) == 2)
        path.write_text(json.dumps(valid | {"board": "nowhere"}))
        agent.send_signal(signal.SIGHUP)
        await self.wait_for_line(agent, "board: not host:port: 'nowhere'")
        path.write_text(json.dumps(valid | {"board": addresses[1], "name": "other"}))
        agent.send_signal(signal.SIGHUP)
        self.assertIn('"waits_for_restart":["name"]', await self.wait_for_line(agent, '"reloaded"'))
        await self.eventually(lambda: len(boards[1].paths) == 2)
        self.assertIn("watch=3", boards[1].paths[0])
        caller = await Peer.connect(listen)
        caller.send(invite(timer=100))  # keeps the drain running for 100 ms
        agent.send_signal(signal.SIGTERM)
        await self.wait_for_line(agent, '"draining"')
        agent.send_signal(signal.SIGHUP)
        await self.wait_for_line(agent, '"reloaded"')
        self.assertEqual((await caller.next()).status, 503)
        self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 0)
        caller.close()
        for server in boards:
            server.server.close()

    async def test_an_upgrade_hands_callers_over_through_the_inherited_socket(self) -> None:
        desk = ScriptedDesk()
        member = {"id": "d", "host_port": await desk.start(), "cell": 0, "phase": "Ready"}
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": [member]}}]}
        listener = socket.create_server(("127.0.0.1", 0))
        listen = "{}:{}".format(*listener.getsockname())
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        settings = RAW | {"Limits": RAW["Limits"] | {"Peers": True}}
        path.write_text(
            json.dumps(
                {"settings": settings, "known": known, "listen": listen, "peer_listen": await self.free_address()}
            )
        )

        async def agent() -> asyncio.subprocess.Process:
            fd = os.dup(listener.fileno())
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
        new = await agent()  # from here on both processes have the peers' address bound
        old.send_signal(signal.SIGTERM)
        await self.wait_for_line(old, '"draining"')
        second = await Peer.connect(listen)
        second.send(invite("00000000000000a2"))
        self.assertEqual((await second.until(200)).body, SDP)
        with self.assertRaises(EOFError):  # closed while idle, before its process ends
            await first.next()
        self.assertEqual(await asyncio.wait_for(old.wait(), HANG_TIMEOUT), 0)
        second.send(invite("00000000000000a3"))
        self.assertEqual((await second.until(200)).body, SDP)
        new.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(new.wait(), HANG_TIMEOUT), 0)
        for connection in (first, second):
            connection.close()
        listener.close()
        await desk.stop()

    async def test_an_unusable_inherited_descriptor_is_logged_and_the_address_is_bound(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        occupied = socket.create_server(("127.0.0.1", 0))
        own_end, other_end = socket.socketpair()
        with own_end, other_end, occupied:
            for fd, expected in ((own_end.fileno(), "not a listening socket"), (987, "Bad file descriptor")):
                path.write_text(json.dumps({"settings": RAW, "listen": await self.free_address()}))
                agent = await self.start_process(
                    "-m", "seamlb", "serve", "--config", str(path), fds=(own_end.fileno(),), GW_INHERITED_FD=str(fd)
                )
                self.assertIn(expected, await self.wait_for_line(agent, '"not_inherited"'))
                await self.wait_for_line(agent, '"serving"')
            path.write_text(json.dumps({"settings": RAW, "listen": "{}:{}".format(*occupied.getsockname())}))
            agent = await self.start_process("-m", "seamlb", "serve", "--config", str(path), GW_INHERITED_FD="987")
            self.assertIn("in use", await self.wait_for_line(agent, "seamlb: "))
            self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 2)

    async def test_the_admin_commands_report_success_and_failure(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        at = await self.free_address()
        path.write_text(json.dumps({"settings": RAW, "listen": await self.free_address(), "management": at}))
        agent = await self.start_process("-m", "seamlb", "serve", "--config", str(path))
        await self.wait_for_line(agent, '"serving"')
        for call, exit_code, expected in (
            ("health", 0, "ready"),
            ("stats", 0, '"registry_entries": 0'),
            ("quiesce", 0, "quiescing"),
            ("health", 1, "quiescing"),
            ("resume", 0, "ready"),
        ):
            result = await asyncio.to_thread(CliRunner().invoke, main, ["admin", call, "--at", at])
            self.assertEqual(result.exit_code, exit_code, result.output)
            self.assertIn(expected, result.output)
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

    @unittest.skipUnless(Path("/proc/net/unix").exists(), "needs /proc to inspect sockets")
    async def test_a_listening_unix_socket_is_detected(self) -> None:  # shows that the next test can fail
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        with socket.socket(socket.AF_UNIX) as listener:
            listener.bind(str(folder / "s"))
            self.assertNotIn(str(os.fstat(listener.fileno()).st_ino), unix_listeners())
            listener.listen()
            self.assertIn(str(os.fstat(listener.fileno()).st_ino), unix_listeners())

    # The fleet's test bench forbids fork, other programs, io_uring and listening Unix sockets.
    @unittest.skipUnless(Path("/proc/self/task").is_dir(), "needs /proc to inspect the running process")
    async def test_the_running_daemon_is_one_process_with_tcp_listeners_and_no_unix_listener(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        path.write_text(json.dumps({"settings": RAW, "name": "n", "listen": "127.0.0.1:0"}))
        listen, management = await self.free_address(), await self.free_address()
        agent = await self.start_process(
            "-m", "seamlb", GW_CONFIG=str(path), GW_LISTEN=listen, GW_MANAGEMENT=management, GW_NAME="n1"
        )
        await self.wait_for_line(agent, '"serving"')
        caller = await Peer.connect(listen)  # one caller, so that sockets opened for a connection are included
        caller.send(invite(timer=300))
        self.assertIn((await caller.next()).status, (500, 503))
        proc = Path(f"/proc/{agent.pid}")
        children = {child for task in (proc / "task").iterdir() for child in (task / "children").read_text().split()}
        self.assertEqual(children, set(), "the daemon started other programs")
        maps = (proc / "maps").read_text()
        self.assertIn("libc.so", maps, "not linked dynamically against the C library")
        targets = []
        for fd in (proc / "fd").iterdir():
            try:
                targets.append(os.readlink(fd))
            except FileNotFoundError:  # closed meanwhile
                continue
        self.assertFalse([target for target in targets if "io_uring" in target], targets)
        sockets = {target[8:-1] for target in targets if target.startswith("socket:[")}
        self.assertEqual(sockets & unix_listeners(), set(), "a Unix socket is listened on")
        tcp = {row[9] for name in ("tcp", "tcp6") for row in rows_of(proc / "net" / name)}
        # Listeners for callers and for operators, and the caller's connection.
        self.assertGreaterEqual(len(sockets & tcp), 3, targets)
        caller.close()
        agent.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 0)
