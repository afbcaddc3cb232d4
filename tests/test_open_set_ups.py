"""A set-up that was taken whole gets its answer, whatever else goes wrong on its connection (review case 7)."""

import asyncio
from unittest import mock

from tests.loopback import DaemonTestCase, Peer, ScriptedDesk, answer, invite
from tests.sip_peers import SipTestCase
from tests.support import LONG_TARGETS

IDENTS = tuple(f"{number:016x}" for number in (0xA1, 0xA2, 0xA3))
TIMEOUT = 0.2  # seconds a message may take in these tests
ANSWER_AFTER = 0.9  # seconds


async def answer_late(peer: Peer, message: object) -> None:
    asyncio.get_running_loop().call_later(ANSWER_AFTER, lambda: asyncio.ensure_future(answer(peer, message)))


@mock.patch("seamlb.net.connection.MESSAGE_TIMEOUT", TIMEOUT)
class OpenSetUps(DaemonTestCase):
    async def open_calls(self) -> Peer:
        self.daemon = await self.start(ScriptedDesk(answer_late), settings=LONG_TARGETS)
        caller = await self.caller()
        for ident in IDENTS:
            caller.send(invite(ident))
        await self.eventually(lambda: len(self.daemon.front.calls) == len(IDENTS))
        return caller

    async def assert_all_answered(self, caller: Peer) -> None:
        answers = [await caller.next() for _ in IDENTS]
        self.assertEqual({one.get("call-id"): one.status for one in answers}, dict.fromkeys(IDENTS, 200))

    # Guards against review case 7: a later message stalled, and the close of its connection lost the open set-ups.
    async def test_set_ups_are_answered_where_a_later_message_on_their_connection_stalls(self) -> None:
        caller = await self.open_calls()
        later = invite("00000000000000a4").encode()
        caller.send(later[:60])
        await self.assert_all_answered(caller)
        caller.send(later[60:])
        self.assertEqual((await caller.next()).status, 200)

    async def test_a_connection_whose_last_message_stalls_ends_once_its_set_ups_are_answered(self) -> None:
        caller = await self.open_calls()
        caller.send(invite("00000000000000a4").encode()[:60])
        await self.assert_all_answered(caller)
        with self.assertRaises(EOFError):
            await caller.next()
        ends = [one["reason"] for one in self.events("connection_end") if one["kind"] == "client"]
        self.assertEqual(ends, ["slow"])

    # Guards against the same loss where the connection can't be read any further.
    async def test_set_ups_are_answered_where_what_follows_them_can_not_be_read(self) -> None:
        for garbage in (
            b"no message\r\n\r\n",
            b"INVITE sip:1@net SIP/2.0\r\nContent-Length: -1\r\n\r\n",
            b"x" * 40000,
        ):
            caller = await self.open_calls()
            caller.send(garbage)
            await self.assert_all_answered(caller)
            with self.assertRaises(EOFError):
                await caller.next()
            self.assertEqual(len(self.daemon.front.calls), len(IDENTS))  # those that stand stay

    async def test_nothing_behind_what_can_not_be_read_is_run(self) -> None:
        caller = await self.open_calls()
        caller.send(b"no message\r\n\r\n" + invite("00000000000000a4").encode())
        await self.assert_all_answered(caller)
        self.assertEqual(self.daemon.agent.accepted, len(IDENTS))


@mock.patch("seamlb.net.connection.MESSAGE_TIMEOUT", TIMEOUT)
class OpenSipSetUps(SipTestCase):
    # Guards against review case 7 at the SIP front over TCP.
    async def test_a_sip_set_up_is_answered_where_a_later_message_on_its_connection_stalls(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "tcp")
        caller.renew()
        caller.sent = caller.build("INVITE", number="late")
        caller.peer.send(caller.sent)
        await self.eventually(lambda: self.sip_desk.invites)
        caller.peer.send(caller.build("OPTIONS").encode()[:60])
        await asyncio.sleep(ANSWER_AFTER)
        self.sip_desk.accept(next(iter(self.sip_desk.invites.values())))
        self.assertEqual((await caller.final()).status, 200)
        self.assertEqual(self.events("connection_end"), [])
