"""The platform desk client: connections that are lost, silent or late, and desks that drain or are removed."""

import asyncio
import socket
import time
from collections.abc import Callable

from seamlb import api
from seamlb.desks.link import Link
from seamlb.desks.liveness import CUT_AFTER
from seamlb.fronts.set_ups import parse_set_up
from seamlb.net.close_reason import CloseReason
from seamlb.net.connecting import connect
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


class DeskConnections(DaemonTestCase):
    async def test_a_connection_lost_before_the_answer_is_a_reset_and_the_call_is_retried(self) -> None:
        async def reset(peer, _invite):
            peer.reset()

        bad, good = ScriptedDesk(reset), ScriptedDesk()
        await self.start(bad, good)
        caller = await self.caller()
        caller.send(invite(dest=0))
        self.assertEqual((await caller.until(200)).body, SDP)
        await self.eventually(lambda: self.events("connection_end"))
        self.assertEqual(self.events("connection_end")[0]["kind"], "desk")

    async def test_a_refused_connection_cuts_established_calls_and_is_logged(self) -> None:
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        await desk.stop()
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        reasons = {one["reason"] for one in self.events("connection_end")}
        self.assertIn("refused", reasons)

    async def test_an_address_reused_by_another_desk_gets_new_connections(self) -> None:
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

    async def test_a_draining_desk_gets_no_new_call(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        draining = self.desk(0, desk.address, api.Availability.DRAINING)
        daemon.agent.list_changed(api.Scope.DELTA, [draining])
        caller = await self.caller()
        caller.send(invite())
        await caller.until(503)
        self.assertTrue(desk.received.empty())

    async def test_established_calls_at_a_removed_desk_are_cut_on_both_sides(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        daemon.agent.list_changed(api.Scope.FULL, [])
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        self.assertIn("cause=41", (await desk.until("BYE")).get("reason"))

    async def test_a_connection_with_a_malformed_answer_is_abandoned_at_once(self) -> None:
        head = b"SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"
        for malformed in (
            b"\xfe\x00 noise\r\n\r\n",
            head + b"Content-Length: -4\r\nContent-Length: 4\r\n\r\n",
            head + b"\r\n",
            head + b"Content-Length: 3000000000\r\n\r\n" + b"A" * 65536,
            head + b"no colon\r\nContent-Length: 0\r\n\r\n",
            head + b"Content-Length: 40\r\n\r\nstops short",
            b"SIP/2.0 200 OK\r\nX-Pad: never ends" + b"p" * 99,
        ):
            with self.subTest(malformed=malformed[:60]):

                async def send_malformed(peer: Peer, sent: Message, malformed: bytes = malformed) -> None:
                    # The connection stays open.
                    peer.send(malformed.replace(b"%s", sent.get("call-id").encode()))

                await self.start(ScriptedDesk(send_malformed), ScriptedDesk())
                caller = await self.caller()
                caller.send(invite(timer=9000))
                self.assertEqual((await caller.until(200)).body, SDP)

    async def test_unexpected_answers_after_an_answer_are_dropped(self) -> None:
        async def unexpected(peer: Peer, sent: Message) -> None:
            unknown = Message(
                status=200,
                reason="OK",
                body=b"not theirs",
                headers=[("Call-ID", "feedfeedfeedfeed"), ("CSeq", "1 INVITE")],
            )
            peer.send(unknown.encode() + 2 * reply(sent, 200, body=SDP).encode())

        desk = ScriptedDesk(unexpected)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        self.assertEqual((await caller.next()).body, SDP)
        caller.send(sip_request("OPTIONS", "t"))
        self.assertEqual((await caller.next()).cseq()[1], "OPTIONS")  # and no second answer before it
        desk.peers[0].send(bye(ID, 16))
        await caller.until("BYE")
        sent = []
        while not desk.received.empty():
            sent.append(desk.received.get_nowait())
        self.assertEqual(
            {(one.method, one.get("call-id")) for one in sent if one.method}, {("INVITE", ID), ("ACK", ID)}
        )

    async def test_a_silent_connection_is_closed_when_the_desk_reports_its_state_on_another(self) -> None:
        # Its set-ups waited for their timeouts, and the decision module took the desk for congested although it
        # answered on its other connections all the time.
        desk, other = ScriptedDesk(never_answer), ScriptedDesk()
        daemon = await self.start(desk, other)
        caller = await self.caller()
        caller.send(invite(timer=9000))
        await self.eventually(lambda: len(daemon.desks.links["d0"].connections) == 2)
        state = [("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", "idle:4;circuits:5")]
        desk.peers[1].send(Message("NOTIFY", "sip:exchange@net", headers=state))
        self.assertEqual((await caller.until(200)).body, SDP)
        self.assertEqual([one["reason"] for one in self.events("connection_end")], ["silent"])

    async def release_while_replaced(self, half_read: bool, replace: Callable[[Link], object]) -> None:
        """A release that is partly read, or unread in the socket, reaches the caller although `replace` is called."""
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
                time.sleep(0.001)  # block the loop until the bytes have arrived, so that the agent does not read them
        replace(link)
        desk.peers[0].send(release[sent:])
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_release_on_a_replaced_connection_reaches_its_caller(self) -> None:
        # The connection carried no set-up and was closed, so the release, which is sent only once, was lost.
        later = asyncio.get_running_loop().time() + 1.0
        cases: dict[str, Callable[[Link], object]] = {
            "it is idle": lambda link: link.close_idle(CloseReason.SILENT),
            "the state came on another": lambda link: link._close_stalled(later),
            "there are too many": lambda link: link.manager._close_unused(),
        }
        for case, replace in cases.items():
            for half_read in (True, False):
                with self.subTest(case=case, half_read=half_read):
                    await self.release_while_replaced(half_read, replace)

    async def test_a_release_that_arrived_while_this_process_was_paused_is_read_first(self) -> None:
        later = asyncio.get_running_loop().time() + 1.0
        await self.release_while_replaced(
            False, lambda link: link.manager._connect_failed(CloseReason.SILENT, later + CUT_AFTER)
        )

    async def test_a_release_that_is_unread_at_the_deadline_of_a_vanished_server_is_read_first(self) -> None:
        def overdue(link: Link) -> None:
            link.manager.liveness.last_sign -= 2 * CUT_AFTER
            link.manager.liveness.last_accept -= 2 * CUT_AFTER
            link.manager.liveness.last_failure = link.manager.liveness.last_sign + 1.0
            link.manager._cut_due(0)

        await self.release_while_replaced(False, overdue)

    async def test_no_set_up_is_written_to_a_connection_that_the_desk_has_closed(self) -> None:
        # A set-up written there might have been read, so a call that must not be retried failed needlessly.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        results: list[object] = []
        request = parse_set_up(invite(), daemon.agent.settings, lag_ms=0.0, connection="")
        # The event loop has not seen this yet.
        desk.peers[0].writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        daemon.desks.set_up(Attempt(request, 0, "d0", 3000.0), lambda leg, result: results.append(result))
        await self.eventually(lambda: results)
        self.assertEqual(results, [Answer(SDP)])

    async def test_a_hanging_desk_is_unreachable_although_it_accepts_connections(self) -> None:
        hanging, good = ScriptedDesk(never_answer), ScriptedDesk()
        daemon = await self.start(hanging, good)
        hanging.hangs = True
        caller = await self.caller()
        caller.send(invite(timer=9000))
        self.assertEqual((await caller.until(200)).body, SDP)
        self.assertTrue(daemon.desks.links["d0"].unreachable)
        connections = len(hanging.peers)
        caller.send(invite("00000000000000a2"))  # tries the other desk at once, not after the next connect attempt
        self.assertEqual((await caller.until(200)).get("call-id"), "00000000000000a2")
        hanging.hangs = False
        await self.eventually(lambda: not daemon.desks.links["d0"].unreachable)
        self.assertGreater(len(hanging.peers), connections)
