"""Signals at critical moments: before the handlers are installed, with set-ups partly read, at the exit."""

import asyncio
import json
import os
import signal
import socket
import stat
import subprocess
import tempfile
import tomllib
import unittest
from pathlib import Path

from tests.loopback import HANG_TIMEOUT, DaemonTestCase, Peer, ScriptedDesk, invite, never_answer
from tests.processes import ROOT, ProcessTestCase
from tests.support import RAW


class DeployedCommand(unittest.TestCase):
    def test_a_sighup_before_the_program_runs_does_not_end_it(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        with tempfile.TemporaryDirectory() as folder:
            python = Path(folder) / ".venv" / "bin" / "python"
            python.parent.mkdir(parents=True)
            python.write_text("#!/bin/sh\nkill -HUP $$\necho alive\n")
            python.chmod(python.stat().st_mode | stat.S_IXUSR)
            result = subprocess.run(
                ["sh", "-c", deploy["run"]], cwd=folder, capture_output=True, text=True, check=False
            )
        self.assertEqual((result.returncode, result.stdout), (0, "alive\n"))


class SignalsDuringStart(ProcessTestCase):
    async def open_read_pipe(self, path: Path) -> int:
        """The writing end of a pipe, once the process has opened it for reading."""
        async with asyncio.timeout(HANG_TIMEOUT):
            while True:
                try:
                    return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                except OSError:
                    await asyncio.sleep(0.005)

    async def test_a_sighup_while_the_configuration_is_first_read_is_handled_after_the_start(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        os.mkfifo(path)
        config_text = json.dumps({"settings": RAW, "listen": await self.free_address()})
        agent = await self.start_process("-m", "seamlb", "serve", "--config", str(path))
        pipe = await self.open_read_pipe(path)
        agent.send_signal(signal.SIGHUP)  # its handler is not installed yet
        path.unlink()
        path.write_text(config_text)  # read because of the signal
        os.write(pipe, config_text.encode())
        os.close(pipe)
        await self.wait_for_line(agent, '"reloaded"')
        agent.send_signal(signal.SIGTERM)
        await self.wait_for_line(agent, '"ended"')
        self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 0)


class SignalsDuringDrain(ProcessTestCase):
    async def test_a_set_up_that_is_partly_read_when_the_listener_closes_is_answered(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        listen = await self.free_address()
        path.write_text(json.dumps({"settings": RAW, "listen": listen}))
        agent = await self.start_process("-m", "seamlb", "serve", "--config", str(path))
        await self.wait_for_line(agent, '"serving"')
        caller, idle = await Peer.connect(listen), await Peer.connect(listen)
        message = invite().encode()
        agent.send_signal(signal.SIGTERM)
        await self.wait_for_line(agent, '"draining"')
        caller.send(message[:40])
        with self.assertRaises(EOFError):
            await idle.next()  # idle connections close after the listener; the process used to exit at this point
        caller.send(message[40:])
        self.assertEqual((await caller.next()).status, 503)  # no server is listed
        await self.wait_for_line(agent, '"ended"')
        self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 0)
        caller.close()
        idle.close()


class CrossingSetUps(DaemonTestCase):
    async def test_a_set_up_that_is_not_yet_read_keeps_its_connection_and_the_process(self) -> None:
        daemon = await self.start(ScriptedDesk(never_answer))
        caller = await self.caller()
        await self.eventually(lambda: daemon.front.clients)
        now = asyncio.get_running_loop().time()
        daemon.lifecycle.terminate(now - 1.0)  # the listener is due to close
        caller.send(invite(timer=100))  # it is in the socket, and the event loop has not read it
        daemon.update_connections()
        self.assertFalse(daemon.lifecycle.may_exit(now, daemon.agent.unanswered, len(daemon.front.clients)))
        self.assertEqual((await caller.next()).status, 503)
        daemon.update_connections()
        with self.assertRaises(EOFError):
            await caller.next()
        await self.eventually(lambda: not daemon.front.clients)
        self.assertTrue(daemon.lifecycle.may_exit(now, daemon.agent.unanswered, len(daemon.front.clients)))

    async def test_a_connection_in_the_accept_queue_when_the_listener_closes_is_served(self) -> None:
        daemon = await self.start(ScriptedDesk())
        host, _, port = self.address.rpartition(":")
        caller = socket.create_connection((host, int(port)))  # the event loop does not run between these lines
        caller.sendall(invite().encode())
        daemon.front.listener.stop()
        caller.setblocking(False)
        answer = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(caller, 65536), HANG_TIMEOUT)
        self.assertTrue(answer.startswith(b"SIP/2.0 200"))
        caller.close()
