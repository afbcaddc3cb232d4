"""A process that is stopped for a while (SIGSTOP, a machine that is paused) and goes on."""

import asyncio
import json
import signal
import tempfile
from pathlib import Path
from typing import Any

from tests.loopback import HANG_TIMEOUT, SDP, Peer, ScriptedDesk, invite, never_answer, reply
from tests.processes import ProcessTestCase
from tests.support import LONG_TARGETS, RAW

PAUSE = 1.0  # seconds: above STALL_MS and the shortest aim of the settings


class Paused(ProcessTestCase):
    async def paused(self, aims: dict[str, Any], desk: ScriptedDesk) -> tuple[asyncio.subprocess.Process, Peer]:
        """A process with a caller and a server."""
        members = [{"id": "d", "host_port": await desk.start(), "cell": 0, "phase": "Ready"}]
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": members}}]}
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        listen = await self.free_address()
        settings = RAW | aims | {"Instances": 1}
        path.write_text(json.dumps({"settings": settings, "known": known, "listen": listen}))
        agent = await self.start_process("-m", "seamlb", "serve", "--config", str(path))
        await self.wait_for_line(agent, '"serving"')
        caller = await Peer.connect(listen)
        self.addCleanup(caller.close)
        self.addAsyncCleanup(desk.stop)
        return agent, caller

    async def test_a_call_whose_answer_comes_during_the_pause_stands_and_the_next_one_goes_there_too(self) -> None:
        # Guards against taking the pause for the server's silence.
        desk = ScriptedDesk(never_answer)
        agent, caller = await self.paused(LONG_TARGETS, desk)
        for number in range(2):
            ident = f"{number:016x}"
            caller.send(invite(ident, timer=6000))
            sent = await desk.until("INVITE")
            agent.send_signal(signal.SIGSTOP)
            desk.peers[0].send(reply(sent, 200, body=SDP))
            await asyncio.sleep(PAUSE)
            agent.send_signal(signal.SIGCONT)
            answer = await caller.next()
            self.assertEqual((answer.status, answer.get("call-id")), (200, ident))
        agent.terminate()
        self.assertEqual(await asyncio.wait_for(agent.wait(), HANG_TIMEOUT), 0)

    async def test_the_next_call_goes_to_a_server_whose_set_up_was_out_during_the_pause(self) -> None:
        # Guards against counting time in which nobody could have read an answer as the server's silence (STALL_MS).
        desk = ScriptedDesk(never_answer)
        agent, caller = await self.paused({}, desk)
        caller.send(invite("00000000000000a1", timer=6000))
        await desk.until("INVITE")
        agent.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE)
        caller.send(invite("00000000000000a2", timer=6000))
        agent.send_signal(signal.SIGCONT)
        self.assertEqual((await desk.until("INVITE")).get("call-id"), "00000000000000a2")
