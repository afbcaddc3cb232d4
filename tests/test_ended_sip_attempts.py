"""An attempt at a SIP desk that was ended sends nothing more that could run a call (review case 8)."""

import asyncio
import contextlib
from collections.abc import Callable
from unittest import mock

from seamlb import api
from seamlb.daemon import Daemon
from seamlb.net.connecting import connect
from seamlb.protocol.sip import Message, response
from seamlb.protocol.transaction import T1
from tests.loopback import Peer
from tests.sip_peers import SipCaller, SipTestCase
from tests.udp_peer import UdpPeer

REPEATED_WITHIN = 2 * T1 + 0.4  # seconds in which an unanswered INVITE is repeated


def give_up(daemon: Daemon, caller: SipCaller, address: str) -> None:
    caller.peer.send(caller.build("CANCEL", branch=caller.sent.get("via").partition("branch=")[2].partition(";")[0]))


def tell(phase: int, since: float) -> Callable[[Daemon, SipCaller, str], None]:
    def told(daemon: Daemon, caller: SipCaller, address: str) -> None:
        daemon.agent.list_changed(api.Scope.DELTA, [SipTestCase.desk(0, address, phase, since)])

    return told


ENDS = {
    "cancelled": give_up,
    "restarted": tell(api.Availability.READY, 4e12),
    "removed": tell(api.Availability.GONE, 0.0),
}


class EndedAttempts(SipTestCase):
    async def start_call(self, desk_address: str, **front: object) -> tuple[Daemon, SipCaller]:
        daemon = await self.start_sip(**front)
        daemon.agent.list_changed(api.Scope.CACHED, [self.desk(0, desk_address)])
        self.fill_budget(daemon, 0)
        caller = await self.sip_caller(daemon, "udp")
        caller.renew()
        caller.sent = caller.build("INVITE")
        caller.peer.send(caller.sent)
        return daemon, caller

    async def received(self, desk: UdpPeer) -> list[Message]:
        messages = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPEATED_WITHIN):
                while True:
                    messages.append(await desk.next())
        return messages

    # Guards against review case 8: the INVITE of an ended attempt was repeated and ran at a restarted desk.
    async def test_the_invite_of_an_ended_attempt_is_not_repeated(self) -> None:
        for name, end in ENDS.items():
            with self.subTest(name):
                desk = await UdpPeer.bind()
                self.addCleanup(desk.close)
                daemon, caller = await self.start_call(desk.address)
                self.assertEqual((await desk.next()).method, "INVITE")
                end(daemon, caller, desk.address)
                self.assertEqual(await self.received(desk), [])

    async def test_the_invite_of_an_attempt_that_is_out_is_repeated(self) -> None:
        desk = await UdpPeer.bind()
        self.addCleanup(desk.close)
        await self.start_call(desk.address)
        await desk.next()
        self.assertIn("INVITE", [one.method for one in await self.received(desk)])

    async def test_a_late_response_to_an_ended_attempt_ends_it_at_its_desk(self) -> None:
        for status, expected in ((180, ["CANCEL"]), (200, ["ACK", "BYE"])):
            for name, end in ENDS.items():
                with self.subTest(name, status=status):
                    desk = await UdpPeer.bind()
                    self.addCleanup(desk.close)
                    daemon, caller = await self.start_call(desk.address)
                    invite = await desk.next()
                    end(daemon, caller, desk.address)
                    await self.eventually(lambda: self.events("call_end"))
                    self.logged.clear()
                    contact = ("Contact", f"<sip:desk@{desk.address}>")
                    desk.send(response(invite, status, contact, tag="desk"))
                    self.assertEqual([(await desk.next()).method for _ in expected], expected)

    async def test_an_attempt_that_rings_at_a_desk_that_is_removed_is_cancelled_there(self) -> None:
        desk = await UdpPeer.bind()
        self.addCleanup(desk.close)
        daemon, caller = await self.start_call(desk.address)
        desk.send(response(await desk.next(), 180, tag="desk"))
        await self.eventually(lambda: any(leg.provisional for leg in daemon.desks.legs.values()))
        ENDS["removed"](daemon, caller, desk.address)
        self.assertEqual((await desk.next()).method, "CANCEL")

    async def test_an_invite_that_waits_for_a_connection_is_not_sent_once_its_attempt_has_ended(self) -> None:
        got: list[Message] = []
        may_connect = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(EOFError, OSError), contextlib.closing(writer):
                got.append(await Peer(reader, writer).next())

        async def connect_late(*arguments: object) -> object:
            await may_connect.wait()
            return await connect(*arguments)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        with mock.patch("seamlb.sip.connections.connect", connect_late):
            for name, end in ENDS.items():
                with self.subTest(name):
                    may_connect.clear()
                    daemon, caller = await self.start_call(address, transport="tcp")
                    await self.eventually(lambda daemon=daemon: daemon.desks.legs)
                    end(daemon, caller, address)
                    await self.eventually(lambda: self.events("call_end"))
                    self.logged.clear()
                    may_connect.set()
                    await asyncio.sleep(0.2)
                    self.assertEqual(got, [])
        server.close()
