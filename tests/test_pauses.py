"""Short pauses of this process: messages that arrived meanwhile wait in the sockets, and timers are overdue."""

import asyncio
import time
from unittest import mock

from seamlb.desks.link import STATE_SPREAD
from seamlb.net import connection
from seamlb.protocol.sip import Message
from tests.loopback import SDP, DaemonTestCase, ScriptedDesk, bye, invite, never_answer, reply, sip_request

ID = "00000000000000a1"


def state() -> Message:
    """Build an unsolicited state report of a server."""
    headers = [("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", "idle:5;circuits:5")]
    return Message("NOTIFY", "sip:exchange@net", headers=headers)


class ProcessPauses(DaemonTestCase):
    async def test_an_answer_that_arrived_during_a_pause_is_not_a_timeout(self) -> None:
        # The attempt's timer must not cancel a call that was already answered.
        desk = ScriptedDesk(never_answer)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite(timer=100))
        sent = await desk.until("INVITE")
        desk.peers[0].send(reply(sent, 200, body=SDP))
        time.sleep(0.3)
        self.assertEqual((await caller.next()).status, 200)
        desk.peers[0].send(bye(ID, 16))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))
        methods = [desk.received.get_nowait().method for _ in range(desk.received.qsize())]
        self.assertNotIn("CANCEL", methods)

    async def test_an_answer_completed_during_a_pause_is_in_time(self) -> None:
        # The timer of incomplete messages must not end a server's connection with its set-ups and calls.
        desk = ScriptedDesk(never_answer)
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        answer = reply(await desk.until("INVITE"), 200, body=SDP).encode()
        desk.peers[0].send(answer[:30])
        (link,) = daemon.desks.links.values()
        await self.eventually(link.connections[0].in_use)
        desk.peers[0].send(answer[30:])
        time.sleep(0.4)
        self.assertEqual((await caller.next()).status, 200)
        self.assertEqual(self.events("connection_end"), [])

    async def test_a_set_up_completed_during_a_pause_is_answered(self) -> None:
        # The same timer must not end a caller's connection.
        self.enterContext(mock.patch.object(connection, "MESSAGE_TIMEOUT", 0.2))
        daemon = await self.start(ScriptedDesk())
        caller = await self.caller()
        encoded = invite().encode()
        caller.send(encoded[:30])
        await self.eventually(lambda: any(one.framer.data for one in daemon.front.clients))
        caller.send(encoded[30:])
        time.sleep(0.4)
        self.assertEqual((await caller.next()).status, 200)

    async def test_a_connection_on_which_an_answer_arrived_during_a_pause_is_not_silent(self) -> None:
        # The timer that closes connections without a state report must not fail a set-up.
        desk = ScriptedDesk(never_answer)
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        answer = reply(await desk.until("INVITE"), 200, body=SDP)
        await asyncio.sleep(2 * STATE_SPREAD)  # the first connection is silent for longer than STATE_SPREAD
        (link,) = daemon.desks.links.values()
        # A second connection tests it, as the set-up has no answer.
        await self.eventually(lambda: len(link.connections) == 2)
        reported = mock.Mock(wraps=link.state_reported)
        with mock.patch.object(link, "state_reported", reported):
            desk.peers[1].send(state())
            await self.eventually(lambda: reported.called)
        desk.peers[0].send(answer)
        time.sleep(3 * STATE_SPREAD)
        self.assertEqual((await caller.next()).status, 200)
        self.assertNotIn("silent", [one["reason"] for one in self.events("connection_end")])

    async def test_a_message_that_stays_incomplete_still_times_out(self) -> None:
        # A byte that arrived during the pause extends the timeout only by a moment.
        self.enterContext(mock.patch.object(connection, "MESSAGE_TIMEOUT", 0.2))
        daemon = await self.start(ScriptedDesk())
        caller = await self.caller()
        encoded = sip_request("OPTIONS", "t").encode()
        caller.send(encoded[:10])
        await self.eventually(lambda: any(one.framer.data for one in daemon.front.clients))
        caller.send(encoded[10:11])
        began = time.monotonic()
        time.sleep(0.3)
        with self.assertRaises(EOFError):
            await caller.next()
        self.assertLess(time.monotonic() - began, 0.3 + connection.MESSAGE_TIMEOUT)
        self.assertEqual(self.events("connection_end")[-1]["reason"], "slow")
