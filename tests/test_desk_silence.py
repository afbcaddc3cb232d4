"""Desk connections that fall silent: what is tested, what stays, and when what stands there counts as cut."""

import asyncio
from unittest import mock

from seamlb import api
from seamlb.daemon import Daemon
from seamlb.desks.keeper import CALL_SILENCE, RETRY_MAX, UNREACHABLE_AFTER
from seamlb.net.connection import Connection
from seamlb.net.dial import ConnectError
from seamlb.net.reason import CloseReason
from seamlb.protocol.sip import Message
from tests.loopback import SDP, DaemonTestCase, Peer, ScriptedDesk, bye, invite, never_answer

STATE = Message(
    "NOTIFY",
    "sip:exchange@net",
    headers=[("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", "idle:4;circuits:5")],
)


class Silence(DaemonTestCase):
    async def standing(self) -> tuple[ScriptedDesk, Daemon, Peer]:
        """A desk, a daemon and a caller whose call stands there."""
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        return desk, daemon, caller

    async def test_what_stood_behind_a_connection_that_fell_silent_is_cut_once_its_process_is_gone(self) -> None:
        # The desk drained, so no set-up went there; its end came on a connection that brought nothing any more, and
        # its callers were owed the release within 8 s while the list was 7 s late.
        desk, daemon, caller = await self.standing()
        drains = self.desk(0, desk.address, api.Availability.DRAINING)
        daemon.agent.list_changed(api.Scope.DELTA, [drains])
        desk.server.close()  # what is open stays open, and nothing comes on it
        heard = desk.peers[0]
        await self.eventually(lambda: self.events("connection_end"))  # refused: as a desk that drains would
        self.assertTrue(daemon.agent.lives)
        heard.send(STATE)
        told = asyncio.get_running_loop().time()
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        # The calls were kept for that long.
        self.assertGreater(asyncio.get_running_loop().time() - told, UNREACHABLE_AFTER - 0.1)
        self.assertLess(UNREACHABLE_AFTER + RETRY_MAX + daemon.config.connect_timeout, 8.0)

    async def test_a_desk_that_drains_refuses_connections_and_keeps_its_calls(self) -> None:
        desk, _, caller = await self.standing()
        desk.server.close()
        await self.eventually(lambda: len(self.events("connection_end")) > 2)
        self.assertEqual({one["reason"] for one in self.events("connection_end")}, {"refused"})
        desk.peers[0].send(bye("00000000000000a1", 16))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_quiet_desk_with_calls_is_tested_and_its_calls_stay(self) -> None:
        desk, daemon, caller = await self.standing()
        await self.eventually(lambda: len(desk.peers) == 2)  # told its state on the new one: it lives
        await self.eventually(lambda: len(daemon.desks.links["d0"].connections) == 1)
        desk.peers[1].send(bye("00000000000000a1", 16))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_desk_that_falls_silent_is_tested_by_another_connection(self) -> None:
        desk = ScriptedDesk(never_answer)
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        sent = await desk.until("INVITE")
        await self.eventually(lambda: len(desk.peers) == 2)
        await ScriptedDesk().script(desk.peers[0], sent)  # only slow: the first still counts
        self.assertEqual((await caller.until(200)).body, SDP)
        self.assertEqual(len(daemon.desks.links["d0"].connections), 2)

    async def test_a_connection_that_comes_up_late_costs_no_call_at_a_desk_that_refuses_all_others(self) -> None:
        # One that took over 0.5 s had the open one closed, and the refusal after it cut calls that stood: live ones,
        # whose releases the draining desk would have sent on the one that was closed.
        late, refused = CloseReason.CONNECT_TIMEOUT, CloseReason.REFUSED
        for tries in ([late, refused, refused], [refused, late, refused], [late, late, refused]):
            with self.subTest(tries=tries):
                desk, daemon, caller = await self.standing()
                drains = self.desk(0, desk.address, api.Availability.DRAINING)
                daemon.agent.list_changed(api.Scope.DELTA, [drains])
                left = list(tries)

                async def connect(
                    address: str, kind: str, within: float, left: list[CloseReason] = left
                ) -> Connection:
                    raise ConnectError(left.pop(0) if len(left) > 1 else left[0])

                with mock.patch("seamlb.desks.keeper.connect", connect):
                    await self.eventually(lambda left=left: len(left) == 1)
                    await asyncio.sleep(0.1)
                    self.assertTrue(daemon.agent.lives)
                    desk.peers[0].send(bye("00000000000000a1", 16))
                    self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_no_set_up_goes_to_a_silent_connection_beside_which_none_comes_up_until_it_is_heard(self) -> None:
        desk, daemon, caller = await self.standing()

        async def connect(address: str, kind: str, within: float) -> Connection:
            raise ConnectError(CloseReason.CONNECT_TIMEOUT)

        link = daemon.desks.links["d0"]
        with mock.patch("seamlb.desks.keeper.connect", connect):
            await self.eventually(lambda: link.unreachable)
            self.assertGreater(asyncio.get_running_loop().time() - link.connections[-1].last_read, CALL_SILENCE)
            caller.send(invite("00000000000000a2"))
            self.assertEqual((await caller.next()).status, 503)
            desk.peers[0].send(STATE)
            await self.eventually(lambda: not link.unreachable)
            caller.send(invite("00000000000000a3"))
            self.assertEqual((await caller.next()).status, 200)
