"""Events that cross each other: cancels, draining servers, the end of a connection."""

import asyncio
import socket
from typing import Any
from unittest import mock

from seamlb import api
from seamlb.desks import connection_attempt, connection_manager
from seamlb.net.connecting import connect
from seamlb.net.connection import Connection
from seamlb.protocol.sip import MAX_MESSAGE_BYTES, Message
from seamlb.routing.call import AttemptUpdate, CallSession
from seamlb.routing.model import Answer, Outcome
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


class CancelCrossings(DaemonTestCase):
    async def open_call(self) -> tuple[Any, ScriptedDesk, Peer, Any]:
        """Return a daemon, a server that never answers, a caller, and its session with an attempt in progress."""
        desk = ScriptedDesk(never_answer)
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await desk.until("INVITE")
        (session,) = daemon.agent.sessions.values()
        return daemon, desk, caller, session

    async def test_no_attempt_starts_if_the_cancel_follows_the_decision_in_the_same_turn(self) -> None:
        daemon, desk, _, session = await self.open_call()
        session.inbox.put_nowait(ended(session, api.Status.RESET))  # no new attempt for 300 ms
        await self.eventually(lambda: session.attempt is None)
        # The 300 ms are over, and the caller cancels in the same turn of the event loop.
        session.inbox.put_nowait(api.SendSetUp(session.number, 0, 1000.0))
        daemon.agent.caller_hung_up(session)
        await self.eventually(lambda: not daemon.agent.sessions)
        await self.assert_no_set_up(daemon, desk)
        self.assertEqual(self.events("call_end")[-1]["result"], "left")

    async def test_a_cancel_in_the_same_turn_as_the_answer_suppresses_it_and_releases_the_call(self) -> None:
        daemon, desk, caller, session = await self.open_call()
        session.inbox.put_nowait(answered(session))
        daemon.agent.caller_hung_up(session)
        await desk.until("BYE")
        caller.send(sip_request("OPTIONS", "t"))
        self.assertEqual((await caller.next()).get("call-id"), "t")  # and no answer before it

    async def test_a_cancel_while_the_call_is_barred_prevents_the_next_attempt(self) -> None:
        daemon, desk, caller, session = await self.open_call()
        session.inbox.put_nowait(ended(session, api.Status.RESET))  # no new attempt for 300 ms
        await self.eventually(lambda: session.attempt is None)
        caller.send(sip_request("CANCEL", ID))
        await self.eventually(lambda: not daemon.agent.sessions)
        daemon.agent.notify(api.TimerFired(session.number))  # the 300 ms are over
        await self.assert_no_set_up(daemon, desk)

    async def assert_no_set_up(self, daemon: Any, desk: ScriptedDesk) -> None:
        """Assert that no set-up is among the messages written to the server so far."""
        (link,) = daemon.desks.links.values()
        link.connections[-1].send(sip_request("OPTIONS", "end").encode())
        while (message := await asyncio.wait_for(desk.received.get(), HANG_TIMEOUT)).method != "OPTIONS":
            self.assertNotEqual(message.method, "INVITE")


def ended(session: CallSession, status: api.Status) -> AttemptUpdate:
    """The update that the current attempt has ended."""
    assert session.attempt
    return AttemptUpdate(session.attempt.leg, Outcome(status))


def answered(session: CallSession) -> AttemptUpdate:
    """The update that the current attempt was answered."""
    assert session.attempt
    return AttemptUpdate(session.attempt.leg, Answer(SDP))


class ServerCrossings(DaemonTestCase):
    async def waiting(self) -> tuple[Any, ScriptedDesk, Peer, asyncio.Event]:
        """Return a daemon, a server, a caller whose set-up waits for the connection, and an event that opens it."""
        desk, may_connect = ScriptedDesk(), asyncio.Event()

        async def delayed(*args: Any) -> Connection:
            await may_connect.wait()
            return await connect(*args)

        self.enterContext(mock.patch.object(connection_attempt, "connect", delayed))
        daemon = await self.start()
        daemon.agent.list_changed(api.Scope.CACHED, [self.desk(0, await desk.start())])
        self.addAsyncCleanup(desk.stop)
        self.fill_budget(daemon, 0)
        caller = await self.caller()
        caller.send(invite())
        await self.eventually(lambda: daemon.desks.links["d0"].waiting)
        return daemon, desk, caller, may_connect

    async def test_a_set_up_waiting_for_a_connection_does_not_reach_a_server_that_starts_draining(self) -> None:
        daemon, desk, caller, may_connect = await self.waiting()
        draining = self.desk(0, desk.address, api.Availability.DRAINING)
        daemon.agent.list_changed(api.Scope.DELTA, [draining])
        may_connect.set()
        self.assertEqual((await caller.next()).status, 503)
        await self.eventually(lambda: desk.peers)
        self.assertTrue(desk.received.empty())

    async def test_a_set_up_cancelled_while_the_connection_is_opened_is_not_sent(self) -> None:
        daemon, desk, caller, may_connect = await self.waiting()
        caller.send(sip_request("CANCEL", ID))
        await self.eventually(lambda: not daemon.agent.sessions)
        may_connect.set()
        await self.eventually(lambda: daemon.desks.links["d0"].connections)
        daemon.desks.links["d0"].connections[-1].send(sip_request("OPTIONS", "end").encode())
        first = await asyncio.wait_for(desk.received.get(), HANG_TIMEOUT)
        self.assertEqual(first.method, "OPTIONS")  # and nothing before it

    async def test_a_release_on_a_connection_of_the_servers_predecessor_reaches_the_caller(self) -> None:
        # The list is late: the old server is still listed, and its link has connected to the new process.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        daemon.agent.list_changed(api.Scope.DELTA, [self.desk(1, desk.address)])
        await self.eventually(lambda: len(desk.peers) == 2)
        await self.eventually(lambda: daemon.agent.module.node.fleet.servers[1].reported_at > 0)
        self.fill_budget(daemon, 1)
        caller = await self.caller()
        caller.send(invite(dest=1))
        await caller.until(200)
        desk.peers[0].send(bye(ID, 16))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))
        await self.eventually(lambda: not daemon.agent.sessions)

    async def test_an_oversized_answer_ends_the_attempt_and_another_server_gets_the_call(self) -> None:
        async def oversized(peer: Peer, message: Message) -> None:
            peer.send(reply(message, 200, body=b"x" * MAX_MESSAGE_BYTES))

        first, second = ScriptedDesk(oversized), ScriptedDesk()
        await self.start(first, second)
        caller = await self.caller()
        caller.send(invite())
        self.assertEqual((await caller.until(200)).body, SDP)
        self.assertEqual(self.events("malformed")[0]["error"], "message too large")

    async def test_an_exception_in_the_connection_manager_does_not_stop_it(self) -> None:
        desk = ScriptedDesk()
        real, tries = connect, 0

        async def faulty(*args: Any) -> Connection:
            nonlocal tries
            tries += 1
            if tries == 1:
                raise RuntimeError("a fault")
            return await real(*args)

        with (
            mock.patch.object(connection_attempt, "connect", faulty),
            mock.patch.object(connection_manager, "RETRY_MAX", 0.01),
        ):
            await self.start(desk)
        self.assertEqual([one["where"] for one in self.events("fault")], ["desk"])


class ReleaseCrossings(DaemonTestCase):
    async def established_call(self) -> tuple[Any, ScriptedDesk, Peer, Peer]:
        """Return a daemon, a server, a caller with an established call there, and another caller that was served."""
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        first, second = await self.caller(), await self.caller()
        second.send(sip_request("OPTIONS", "t"))
        await second.until(200)
        first.send(invite())
        await first.until(200)
        return daemon, desk, first, second

    async def test_a_release_that_crossed_the_end_of_its_connection_is_sent_on_another(self) -> None:
        daemon, desk, first, second = await self.established_call()
        desk.peers[0].send(bye(ID, 16))
        await self.eventually(lambda: not daemon.agent.sessions)
        first.close()  # without having read the release
        self.assertEqual((await second.until("BYE")).get("call-id"), ID)

    async def test_a_confirmed_release_is_sent_once(self) -> None:
        daemon, desk, first, second = await self.established_call()
        desk.peers[0].send(bye(ID, 16))
        first.send(reply_to_bye(await first.until("BYE")))
        first.send(sip_request("OPTIONS", "t"))
        await first.until(200)
        first.close()
        await self.eventually(lambda: len(daemon.front.clients) == 1)
        second.send(sip_request("OPTIONS", "t"))
        self.assertEqual((await second.next()).status, 200)

    async def test_a_release_is_not_written_to_a_connection_the_peer_has_already_closed(self) -> None:
        daemon, _, first, second = await self.established_call()
        (call,) = daemon.front.calls.values()
        first.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
        with mock.patch.object(call.client.connection, "send") as sent:  # the event loop has not seen the close yet
            call.released(16)
        self.assertFalse(sent.called)
        self.assertEqual((await second.until("BYE")).get("call-id"), ID)


def reply_to_bye(message: Message) -> Message:
    """Build the 200 to a release."""
    answer = reply(message, 200)
    answer.headers = [(name, "1 BYE" if name == "CSeq" else value) for name, value in answer.headers]
    return answer
