"""Releases at the end of the process: relayed to a caller that is still connected, or left to the next process."""

import asyncio

from seamlb import api
from seamlb.routing.call import AttemptUpdate
from seamlb.routing.model import Outcome
from tests.loopback import HANG_TIMEOUT, DaemonTestCase, Peer, ScriptedDesk, bye, invite, sip_request

CALL_ID = "00000000000000a1"


class LastReleases(DaemonTestCase):
    async def drain_with_established_call(self) -> tuple[ScriptedDesk, Peer]:
        """An established call in a process that closes its listener and its callers at the next update."""
        desk = ScriptedDesk()
        self.daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        caller.send(sip_request("ACK", CALL_ID))
        await desk.until("ACK")
        await self.eventually(self.daemon.front.reachable_connections)
        self.daemon.lifecycle.terminate(asyncio.get_running_loop().time() - 1.0)
        return desk, caller

    async def test_a_release_after_the_last_caller_has_been_closed_is_left_to_the_next_process(self) -> None:
        # Guards against confirming a release to its server without relaying it to a caller.
        desk, caller = await self.drain_with_established_call()
        peer = desk.peers[0]
        self.daemon.update_connections()
        peer.send(bye(CALL_ID, 16))
        with self.assertRaises(EOFError):
            await caller.next()
        await self.eventually(lambda: peer.reader.at_eof() or peer.reader.exception() or self.events("call_end"))
        self.assertEqual(self.events("call_end"), [])  # not accepted

    async def test_a_release_after_the_last_caller_has_disconnected_is_left_to_the_next_process(self) -> None:
        desk, caller = await self.drain_with_established_call()
        caller.close()
        await self.eventually(lambda: not self.daemon.front.clients)
        peer = desk.peers[0]
        peer.send(bye(CALL_ID, 16))
        await self.eventually(lambda: peer.reader.at_eof() or peer.reader.exception() or self.events("call_end"))
        self.assertEqual(self.events("call_end"), [])  # not accepted

    async def test_a_caller_that_does_not_read_does_not_count_as_the_last(self) -> None:
        desk, caller = await self.drain_with_established_call()
        unresponsive = await self.caller()
        unresponsive.send(invite("00000000000000a2"))  # established, but its ACK is never sent
        await desk.until("ACK")
        latest = max(self.daemon.front.clients, key=lambda client: client.connection.last_read)
        latest.connection.in_use = lambda: True  # keeps it open, as unwritten bytes would
        self.daemon.update_connections()
        peer = desk.peers[0]
        peer.send(bye(CALL_ID, 16))
        with self.assertRaises(EOFError):
            await caller.next()
        await self.eventually(lambda: peer.reader.at_eof() or peer.reader.exception() or self.events("call_end"))
        self.assertEqual(self.events("call_end"), [])  # not accepted

    async def test_an_unread_release_is_relayed_before_the_last_caller_is_closed(self) -> None:
        # The same release, received earlier but not read by the event loop yet.
        desk, caller = await self.drain_with_established_call()
        desk.peers[0].send(bye(CALL_ID, 16))
        self.daemon.update_connections()
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_release_read_in_the_same_iteration_is_relayed_before_the_last_caller_is_closed(self) -> None:
        # The same release, read and confirmed, but not processed by its call's coroutine yet.
        desk, caller = await self.drain_with_established_call()
        (session,) = self.daemon.agent.sessions.values()
        assert session.attempt
        session.inbox.put_nowait(AttemptUpdate(session.attempt.leg, Outcome(api.Status.OK)))
        self.daemon.update_connections()
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_release_that_cannot_be_relayed_is_not_confirmed(self) -> None:
        # A call of an earlier process: if this one ends without a caller, the server sends the release to the next.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        desk.peers[0].send(bye(CALL_ID, 16))
        await self.eventually(lambda: daemon.front.releases.pending)
        desk.peers[0].send(sip_request("OPTIONS", "t"))  # answered after the release
        answer = await asyncio.wait_for(desk.received.get(), HANG_TIMEOUT)
        self.assertEqual((answer.status, answer.cseq()[1]), (200, "OPTIONS"))
        caller = await self.caller()
        caller.send(sip_request("OPTIONS", "t"))
        self.assertEqual((await caller.until("BYE")).get("call-id"), CALL_ID)
        confirmation = await asyncio.wait_for(desk.received.get(), HANG_TIMEOUT)
        self.assertEqual((confirmation.status, confirmation.cseq()[1]), (200, "BYE"))

    async def test_a_release_waiting_for_a_better_connection_is_relayed_before_the_last_caller_closes(
        self,
    ) -> None:
        # A call of the previous process, without a connection that is known to serve calls.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(sip_request("OPTIONS", "t"))
        await caller.until(200)
        desk.peers[0].send(bye(CALL_ID, 16))
        await self.eventually(lambda: daemon.front.releases.pending)
        daemon.lifecycle.terminate(asyncio.get_running_loop().time() - 1.0)
        daemon.update_connections()
        self.assertEqual((await caller.until("BYE")).get("call-id"), CALL_ID)


class CallersThatDoNotRead(DaemonTestCase):
    async def test_a_release_goes_to_a_caller_that_is_known_to_read(self) -> None:
        # Guards against sending a release on a connection whose caller never reads, although its calls are served.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        responsive, unresponsive, disconnected = [await self.caller() for _ in range(3)]
        responsive.send(invite("00000000000000a2"))
        await responsive.until(200)
        responsive.send(sip_request("ACK", "00000000000000a2"))
        disconnected.send(invite(CALL_ID))
        await disconnected.until(200)
        disconnected.send(sip_request("ACK", CALL_ID))
        unresponsive.send(invite("00000000000000a3"))
        for _ in range(3):
            await desk.until("ACK")
        disconnected.close()
        await self.eventually(lambda: len(daemon.front.clients) == 2)
        desk.peers[0].send(bye(CALL_ID, 16))
        self.assertEqual((await responsive.until("BYE")).get("call-id"), CALL_ID)
