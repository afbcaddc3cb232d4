"""A process that is paused for a while (SIGSTOP, or a paused machine) and then continues."""

import asyncio
import json
import signal
import tempfile
from pathlib import Path
from typing import Any

from tests.loopback import HANG_TIMEOUT, SDP, Peer, ScriptedDesk, invite, never_answer, reply
from tests.processes import ProcessTestCase
from tests.support import LONG_TARGETS, RAW

PAUSE_S = 1.0  # above STALL_MS and the shortest on-time limit in the settings


class PausedProcess(ProcessTestCase):
    async def start_agent(
        self, changes: dict[str, Any], desk: ScriptedDesk
    ) -> tuple[asyncio.subprocess.Process, Peer]:
        """A process with one server, and a connected caller."""
        members = [{"id": "d", "host_port": await desk.start(), "cell": 0, "phase": "Ready"}]
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": members}}]}
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        listen = await self.free_address()
        settings = RAW | changes | {"Instances": 1}
        path.write_text(json.dumps({"settings": settings, "known": known, "listen": listen}))
        agent = await self.start_process("-m", "seamlb", "serve", "--config", str(path))
        await self.wait_for_line(agent, '"serving"')
        caller = await Peer.connect(listen)
        self.addCleanup(caller.close)
        self.addAsyncCleanup(desk.stop)
        return agent, caller

    async def test_an_answer_during_the_pause_establishes_the_call_and_the_next_uses_the_same_server(self) -> None:
        # Guards against counting the pause as silence of the server.
        desk = ScriptedDesk(never_answer)
        agent, caller = await self.start_agent(LONG_TARGETS, desk)
        for number in range(2):
            ident = f"{number:016x}"
            caller.send(invite(ident, timer=6000))
            sent = await desk.until("INVITE")
            agent.send_signal(signal.SIGSTOP)
            desk.peers[0].send(reply(sent, 200, body=SDP))
            await asyncio.sleep(PAUSE_S)
            agent.send_signal(signal.SIGCONT)
            answer = await caller.next()
            self.assertEqual((answer.status, answer.get("call-id")), (200, ident))
        agent.terminate()
        self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 0)

    async def test_the_next_call_uses_a_server_whose_set_up_was_pending_during_the_pause(self) -> None:
        # Guards against counting the time in which the process could not read as silence of the server (STALL_MS).
        desk = ScriptedDesk(never_answer)
        agent, caller = await self.start_agent({}, desk)
        caller.send(invite("00000000000000a1", timer=6000))
        await desk.until("INVITE")
        agent.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        caller.send(invite("00000000000000a2", timer=6000))
        agent.send_signal(signal.SIGCONT)
        self.assertEqual((await desk.until("INVITE")).get("call-id"), "00000000000000a2")
