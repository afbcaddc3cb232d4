"""Releases that come as the process ends: told to a caller that is still connected, or left to the next process."""

import asyncio

from seamlb import api
from seamlb.routing.life import AttemptUpdate
from seamlb.routing.model import Outcome
from tests.loopback import HANG_TIMEOUT, DaemonTestCase, Peer, ScriptedDesk, bye, invite, sip_request

ID = "00000000000000a1"


class Ends(DaemonTestCase):
    async def standing(self) -> tuple[ScriptedDesk, Peer]:
        """A call that stands, in a process that closes its listener and its callers' connections at its next look."""
        desk = ScriptedDesk()
        self.daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        caller.send(sip_request("ACK", ID))
        await desk.until("ACK")
        await self.eventually(self.daemon.front.reachable_connections)
        self.daemon.lifecycle.terminate(asyncio.get_running_loop().time() - 1.0)
        return desk, caller

    async def test_a_release_that_comes_behind_the_last_caller_is_left_to_the_next_process(self) -> None:
        # Guards the end of a call from being acknowledged to its server and told to nobody.
        desk, caller = await self.standing()
        peer = desk.peers[0]
        self.daemon.update_connections()
        peer.send(bye(ID, 16))
        with self.assertRaises(EOFError):
            await caller.next()
        await self.eventually(lambda: peer.reader.at_eof() or peer.reader.exception() or self.events("call_end"))
        self.assertEqual(self.events("call_end"), [])  # not taken

    async def test_a_release_that_comes_as_the_last_caller_has_gone_by_itself_is_left_too(self) -> None:
        desk, caller = await self.standing()
        caller.close()
        await self.eventually(lambda: not self.daemon.front.clients)
        peer = desk.peers[0]
        peer.send(bye(ID, 16))
        await self.eventually(lambda: peer.reader.at_eof() or peer.reader.exception() or self.events("call_end"))
        self.assertEqual(self.events("call_end"), [])  # not taken

    async def test_a_caller_that_never_reads_does_not_count_as_the_last(self) -> None:
        desk, caller = await self.standing()
        deaf = await self.caller()
        deaf.send(invite("00000000000000a2"))  # stands, and no ACK comes
        await desk.until("ACK")
        last = max(self.daemon.front.clients, key=lambda one: one.connection.last_read)
        last.connection.in_use = lambda: True  # it stays for a moment, as with bytes unwritten
        self.daemon.update_connections()
        peer = desk.peers[0]
        peer.send(bye(ID, 16))
        with self.assertRaises(EOFError):
            await caller.next()
        await self.eventually(lambda: peer.reader.at_eof() or peer.reader.exception() or self.events("call_end"))
        self.assertEqual(self.events("call_end"), [])  # not taken

    async def test_a_release_that_is_in_the_socket_is_told_before_the_last_caller_goes(self) -> None:
        # Guards the same release where it came first, and the loop has not come to it.
        desk, caller = await self.standing()
        desk.peers[0].send(bye(ID, 16))
        self.daemon.update_connections()
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_release_that_was_read_in_this_turn_is_told_before_the_last_caller_goes(self) -> None:
        # Guards the same release one step on: read and confirmed, and its call's coroutine has not run yet.
        desk, caller = await self.standing()
        (session,) = self.daemon.agent.sessions.values()
        assert session.attempt
        session.inbox.put_nowait(AttemptUpdate(session.attempt.leg, Outcome(api.Status.OK)))
        self.daemon.update_connections()
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_release_that_nobody_could_be_told_is_not_confirmed(self) -> None:
        # Guards a call of an earlier process where this one ends before it has a caller: its server tells the next.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        desk.peers[0].send(bye(ID, 16))
        await self.eventually(lambda: daemon.front.releases.pending)
        desk.peers[0].send(sip_request("OPTIONS", "t"))  # answered behind the release
        answer = await asyncio.wait_for(desk.received.get(), HANG_TIMEOUT)
        self.assertEqual((answer.status, answer.cseq()[1]), (200, "OPTIONS"))
        caller = await self.caller()
        caller.send(sip_request("OPTIONS", "t"))
        self.assertEqual((await caller.until("BYE")).get("call-id"), ID)
        confirmed = await asyncio.wait_for(desk.received.get(), HANG_TIMEOUT)
        self.assertEqual((confirmed.status, confirmed.cseq()[1]), (200, "BYE"))

    async def test_a_release_that_waits_for_a_better_connection_is_told_before_the_last_caller_goes(self) -> None:
        # Guards a call of the process before this one, whose end no connection known to serve calls is there for.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(sip_request("OPTIONS", "t"))
        await caller.until(200)
        desk.peers[0].send(bye(ID, 16))
        await self.eventually(lambda: daemon.front.releases.pending)
        daemon.lifecycle.terminate(asyncio.get_running_loop().time() - 1.0)
        daemon.update_connections()
        self.assertEqual((await caller.until("BYE")).get("call-id"), ID)


class Deaf(DaemonTestCase):
    async def test_a_release_goes_to_a_caller_that_is_known_to_read(self) -> None:
        # Guards the end of a call from a connection whose caller never reads: it is served like any other.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        good, deaf, gone = [await self.caller() for _ in range(3)]
        good.send(invite("00000000000000a2"))
        await good.until(200)
        good.send(sip_request("ACK", "00000000000000a2"))
        gone.send(invite(ID))
        await gone.until(200)
        gone.send(sip_request("ACK", ID))
        deaf.send(invite("00000000000000a3"))
        for _ in range(3):
            await desk.until("ACK")
        gone.close()
        await self.eventually(lambda: len(daemon.front.clients) == 2)
        desk.peers[0].send(bye(ID, 16))
        self.assertEqual((await good.until("BYE")).get("call-id"), ID)
