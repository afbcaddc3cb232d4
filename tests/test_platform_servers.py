"""The platform's server client: connections that are lost, silent or late, and servers that drain or are gone."""

import asyncio
import socket
import time
from collections.abc import Callable

from seamlb import api
from seamlb.desks.keeper import UNREACHABLE_AFTER
from seamlb.desks.link import Link
from seamlb.net.dial import connect
from seamlb.net.reason import CloseReason
from seamlb.protocol.sip import Message
from seamlb.routing.model import Answer, Attempt
from tests.loopback import (
    HANG_TIMEOUT,
    SDP,
    DaemonTestCase,
    Peer,
    ScriptedDesk,
    bye,
    invite,
    never_answer,
    reply,
    sip_request,
)

ID = "00000000000000a1"


class Desks(DaemonTestCase):
    async def test_a_connection_lost_before_the_answer_is_a_reset_and_the_call_goes_on(self) -> None:
        async def breaks(peer, _invite):
            peer.reset()

        bad, good = ScriptedDesk(breaks), ScriptedDesk()
        await self.start(bad, good)
        caller = await self.caller()
        caller.send(invite(dest=0))
        self.assertEqual((await caller.until(200)).body, SDP)
        await self.eventually(lambda: self.events("connection_end"))
        self.assertEqual(self.events("connection_end")[0]["kind"], "desk")

    async def test_a_refused_connection_cuts_what_stood_and_leaves_one_line(self) -> None:
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        await desk.stop()
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        reasons = {one["reason"] for one in self.events("connection_end")}
        self.assertIn("refused", reasons)

    async def test_an_address_used_again_by_another_desk_gets_connections_of_its_own(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        gone = self.desk(0, desk.address, api.Availability.GONE)
        daemon.agent.list_changed(api.Scope.DELTA, [gone, self.desk(7, desk.address)])
        await self.eventually(lambda: len(desk.peers) == 2)
        self.assertEqual(list(daemon.desks.links), ["d7"])
        self.fill_budget(daemon, 1)
        caller = await self.caller()
        caller.send(invite(dest=7))
        await caller.until(200)

    async def test_nothing_new_goes_to_a_desk_that_drains(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        drains = self.desk(0, desk.address, api.Availability.DRAINING)
        daemon.agent.list_changed(api.Scope.DELTA, [drains])
        caller = await self.caller()
        caller.send(invite())
        await caller.until(503)
        self.assertTrue(desk.received.empty())

    async def test_what_stood_at_a_desk_that_is_gone_is_cut_on_both_sides(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        daemon.agent.list_changed(api.Scope.FULL, [])
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        self.assertIn("cause=41", (await desk.until("BYE")).get("reason"))

    async def test_after_an_answer_that_cannot_be_read_its_connection_is_left_at_once(self) -> None:
        head = b"SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"
        for spoilt in (
            b"\xfe\x00 noise\r\n\r\n",
            head + b"Content-Length: -4\r\nContent-Length: 4\r\n\r\n",
            head + b"\r\n",
            head + b"Content-Length: 3000000000\r\n\r\n" + b"A" * 65536,
            head + b"no colon\r\nContent-Length: 0\r\n\r\n",
            head + b"Content-Length: 40\r\n\r\nstops short",
            b"SIP/2.0 200 OK\r\nX-Pad: never ends" + b"p" * 99,
        ):
            with self.subTest(spoilt=spoilt[:60]):

                async def spoil(peer: Peer, sent: Message, spoilt: bytes = spoilt) -> None:
                    peer.send(spoilt.replace(b"%s", sent.get("call-id").encode()))  # and it stays open

                await self.start(ScriptedDesk(spoil), ScriptedDesk())
                caller = await self.caller()
                caller.send(invite(timer=9000))
                self.assertEqual((await caller.until(200)).body, SDP)

    async def test_more_than_belongs_to_an_answer_is_dropped(self) -> None:
        async def more(peer: Peer, sent: Message) -> None:
            stranger = Message(
                status=200,
                reason="OK",
                body=b"not theirs",
                headers=[("Call-ID", "feedfeedfeedfeed"), ("CSeq", "1 INVITE")],
            )
            peer.send(stranger.encode() + 2 * reply(sent, 200, body=SDP).encode())

        desk = ScriptedDesk(more)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        self.assertEqual((await caller.next()).body, SDP)
        caller.send(sip_request("OPTIONS", "t"))
        self.assertEqual((await caller.next()).cseq()[1], "OPTIONS")  # no second answer in between
        desk.peers[0].send(bye(ID, 16))
        await caller.until("BYE")
        sent = []
        while not desk.received.empty():
            sent.append(desk.received.get_nowait())
        self.assertEqual(
            {(one.method, one.get("call-id")) for one in sent if one.method}, {("INVITE", ID), ("ACK", ID)}
        )

    async def test_a_connection_on_which_nothing_comes_is_left_when_the_desk_tells_its_state_on_another(self) -> None:
        # Its set-ups waited for their time-outs, which the module took for a jam of a desk that answered
        # all the time on other connections.
        desk, other = ScriptedDesk(never_answer), ScriptedDesk()
        daemon = await self.start(desk, other)
        caller = await self.caller()
        caller.send(invite(timer=9000))
        await self.eventually(lambda: len(daemon.desks.links["d0"].connections) == 2)
        state = [("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", "idle:4;circuits:5")]
        desk.peers[1].send(Message("NOTIFY", "sip:exchange@net", headers=state))
        self.assertEqual((await caller.until(200)).body, SDP)
        self.assertEqual([one["reason"] for one in self.events("connection_end")], ["silent"])

    async def release_beside(self, half_read: bool, replace: Callable[[Link], object]) -> None:
        """A release is half read, or in the socket, as its connection is replaced: it must reach the caller."""
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        link = daemon.desks.links["d0"]
        (first,) = link.connections
        first.message_timeout = HANG_TIMEOUT
        link.connections.append(await connect(desk.address, "desk", HANG_TIMEOUT))
        release = bye(ID, 16).encode()
        sent = 40 if half_read else len(release)
        desk.peers[0].send(release[:sent])
        if half_read:
            await self.eventually(first.in_use)
        else:
            until = time.monotonic() + HANG_TIMEOUT
            while not first.has_unread_data() and time.monotonic() < until:
                time.sleep(0.001)  # the system may take its time; the agent, which is in this loop, must not read it
        replace(link)
        desk.peers[0].send(release[sent:])
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_release_on_a_connection_that_is_replaced_reaches_its_caller(self) -> None:
        # The connection carried no set-up and was closed, and the release, which is sent once, was lost.
        later = asyncio.get_running_loop().time() + 1.0
        ways: dict[str, Callable[[Link], object]] = {
            "it is idle": lambda link: link.close_idle(CloseReason.SILENT),
            "the state came on another": lambda link: link._close_stalled(later),
            "there are too many": lambda link: link.manager._close_unused(),
        }
        for way, replace in ways.items():
            for half_read in (True, False):
                with self.subTest(way=way, half_read=half_read):
                    await self.release_beside(half_read, replace)

    async def test_a_release_that_came_while_this_process_stood_still_is_read_first(self) -> None:
        later = asyncio.get_running_loop().time() + 1.0
        await self.release_beside(
            False, lambda link: link.manager._connect_failed(CloseReason.SILENT, later + UNREACHABLE_AFTER)
        )

    async def test_nothing_is_written_to_a_connection_that_the_desk_has_ended_already(self) -> None:
        # A set-up written there might have been read: one that may not be repeated had failed for nothing.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        heard: list[object] = []
        request = daemon.front._parse_request(invite(), ID)
        desk.peers[0].writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)  # our loop has not seen it yet
        daemon.desks.set_up(Attempt(request, 0, "d0", 3000.0), lambda leg, what: heard.append(what))
        await self.eventually(lambda: heard)
        self.assertEqual(heard, [Answer(SDP)])

    async def test_a_desk_that_hangs_is_left_though_its_connections_come_up(self) -> None:
        hangs, good = ScriptedDesk(never_answer), ScriptedDesk()
        daemon = await self.start(hangs, good)
        hangs.mute = True
        caller = await self.caller()
        caller.send(invite(timer=9000))
        self.assertEqual((await caller.until(200)).body, SDP)
        self.assertTrue(daemon.desks.links["d0"].unreachable)
        seen = len(hangs.peers)
        caller.send(invite("00000000000000a2"))  # goes on at once, not at the next try to connect
        self.assertEqual((await caller.until(200)).get("call-id"), "00000000000000a2")
        hangs.mute = False
        await self.eventually(lambda: not daemon.desks.links["d0"].unreachable)
        self.assertGreater(len(hangs.peers), seen)
