"""Desk connections that fall silent: how they are tested, and when their established calls count as cut."""

import asyncio
from unittest import mock

from seamlb import api
from seamlb.daemon import Daemon
from seamlb.desks.connection_manager import CALL_SILENCE, SETUP_SILENCE
from seamlb.desks.liveness import CUT_AFTER, RELEASE_WITHIN
from seamlb.fronts.releases import PREFERENCE_WAIT
from seamlb.net.close_reason import CloseReason
from seamlb.net.connecting import ConnectError
from seamlb.net.connection import Connection
from seamlb.protocol.sip import Message
from tests.loopback import SDP, DaemonTestCase, Peer, ScriptedDesk, bye, invite, never_answer

STATE = Message(
    "NOTIFY",
    "sip:exchange@net",
    headers=[("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", "idle:4;circuits:5")],
)


class SilentDesks(DaemonTestCase):
    async def established_call(self) -> tuple[ScriptedDesk, Daemon, Peer]:
        """Return a desk, a daemon and a caller with an established call there."""
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        return desk, daemon, caller

    async def test_established_calls_on_a_silent_connection_are_cut_once_its_process_is_gone(self) -> None:
        # A draining desk gets no set-ups, and its connection no longer delivered anything, not even its close.
        # Callers must get the release within 8 s although the list may be 7 s late.
        desk, daemon, caller = await self.established_call()
        draining = self.desk(0, desk.address, api.Availability.DRAINING)
        daemon.agent.list_changed(api.Scope.DELTA, [draining])
        desk.server.close()  # open connections stay open, and nothing arrives on them
        peer = desk.peers[0]
        await self.eventually(lambda: self.events("connection_end"))  # refused, as by a draining desk
        self.assertTrue(daemon.agent.sessions)
        peer.send(STATE)
        last_message = asyncio.get_running_loop().time()
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        # The calls were kept for that long.
        self.assertGreater(asyncio.get_running_loop().time() - last_message, CUT_AFTER - 0.1)
        self.assertLess(asyncio.get_running_loop().time() - last_message, RELEASE_WITHIN)
        self.assertLess(CUT_AFTER + PREFERENCE_WAIT, RELEASE_WITHIN)

    async def test_a_draining_desk_refuses_connections_and_keeps_its_calls(self) -> None:
        desk, _, caller = await self.established_call()
        desk.server.close()
        await self.eventually(lambda: len(self.events("connection_end")) > 2)
        self.assertEqual({one["reason"] for one in self.events("connection_end")}, {"refused"})
        desk.peers[0].send(bye("00000000000000a1", 16))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_quiet_desk_with_calls_is_tested_and_keeps_its_calls(self) -> None:
        desk, daemon, caller = await self.established_call()
        # The desk reports its state on the new one, so it is alive.
        await self.eventually(lambda: len(desk.peers) == 2)
        await self.eventually(lambda: len(daemon.desks.links["d0"].connections) == 1)
        desk.peers[1].send(bye("00000000000000a1", 16))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_silent_desk_is_tested_with_another_connection(self) -> None:
        desk = ScriptedDesk(never_answer)
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        sent = await desk.until("INVITE")
        await self.eventually(lambda: len(daemon.desks.links["d0"].connections) == 2)
        await asyncio.sleep(SETUP_SILENCE)  # both stay while the set-up on the first is open
        self.assertEqual(len(daemon.desks.links["d0"].connections), 2)
        await ScriptedDesk().script(desk.peers[0], sent)  # it was only slow: its answer is accepted
        self.assertEqual((await caller.until(200)).body, SDP)

    async def test_a_connect_timeout_cuts_no_call_at_a_desk_that_refuses_other_connections(self) -> None:
        # A connect that took over 0.5 s closed the open connection, and the refusal after it cut live calls, whose
        # releases the draining desk would have sent on the closed connection.
        timeout, refused = CloseReason.CONNECT_TIMEOUT, CloseReason.REFUSED
        for reasons in ([timeout, refused, refused], [refused, timeout, refused], [timeout, timeout, refused]):
            with self.subTest(reasons=reasons):
                desk, daemon, caller = await self.established_call()
                draining = self.desk(0, desk.address, api.Availability.DRAINING)
                daemon.agent.list_changed(api.Scope.DELTA, [draining])
                left = list(reasons)

                async def connect(
                    address: str, kind: str, timeout_s: float, left: list[CloseReason] = left
                ) -> Connection:
                    raise ConnectError(left.pop(0) if len(left) > 1 else left[0])

                with mock.patch("seamlb.desks.connection_attempt.connect", connect):
                    await self.eventually(lambda left=left: len(left) == 1)
                    await asyncio.sleep(0.1)
                    self.assertTrue(daemon.agent.sessions)
                    desk.peers[0].send(bye("00000000000000a1", 16))
                    self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_silent_connection_gets_no_set_up_while_connecting_fails(self) -> None:
        desk, daemon, caller = await self.established_call()

        async def connect(address: str, kind: str, timeout_s: float) -> Connection:
            raise ConnectError(CloseReason.CONNECT_TIMEOUT)

        link = daemon.desks.links["d0"]
        with mock.patch("seamlb.desks.connection_attempt.connect", connect):
            await self.eventually(lambda: link.unreachable)
            self.assertGreater(asyncio.get_running_loop().time() - link.connections[-1].last_read, CALL_SILENCE)
            caller.send(invite("00000000000000a2"))
            self.assertEqual((await caller.next()).status, 503)
            desk.peers[0].send(STATE)
            await self.eventually(lambda: not link.unreachable)
            caller.send(invite("00000000000000a3"))
            self.assertEqual((await caller.next()).status, 200)
