"""What an ended connection or call held is freed as it ends, not by a later garbage collection (review case 6)."""

import asyncio
import gc

from seamlb.fronts.calls import Call as PlatformCall
from seamlb.fronts.calls import Client
from seamlb.fronts.sip import Call as SipCall
from seamlb.net.connection import Connection
from tests.loopback import Peer, ScriptedDesk, invite, sip_request
from tests.sip_peers import SipTestCase

ENDLESS = b"INVITE sip:1@net SIP/2.0\r\nX-Noise: " + b"x" * 40000  # more than a message may have
OURS = ("seamlb", "tornado")


class ReferenceCycles(SipTestCase):
    def setUp(self) -> None:
        super().setUp()
        gc.collect()
        gc.disable()  # only reference counting frees memory
        self.addCleanup(gc.enable)

    def assert_alive(self, kind: type) -> None:
        self.assertTrue(any(type(one) is kind for one in gc.get_objects()), kind)

    def assert_no_garbage(self) -> None:
        """Check that no object of the program is left that only a garbage collection can free."""
        gc.set_debug(gc.DEBUG_SAVEALL)
        try:
            gc.collect()
            found = {type(one).__qualname__ for one in gc.garbage if type(one).__module__.startswith(OURS)}
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
        self.assertEqual(found, set())

    # Guards against review case 6: bad clients come again and again, and what ended connections held piled up.
    async def test_connections_of_callers_are_freed_as_they_end(self) -> None:
        daemon = await self.start()
        for end in ("malformed", "closed", "reset", "limit"):
            peer = await Peer.connect(self.address)
            peer.send(ENDLESS if end == "malformed" else invite().encode()[:50])
            await self.eventually(lambda: any(one.framer.data for one in daemon.front.clients) or self.logged)
            self.assert_alive(Client)
            if end == "limit":
                daemon.front.listener.set_limit(0)
            peer.reset() if end == "reset" else peer.close()
            await self.eventually(lambda: self.events("connection_end"))
            await asyncio.sleep(0.05)
            self.assert_no_garbage()
            self.logged.clear()

    async def test_calls_and_connections_to_desks_are_freed_as_they_end(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        self.assertEqual((await caller.next()).status, 200)
        self.assert_alive(PlatformCall)
        caller.send(sip_request("BYE"))
        await desk.until("BYE")
        await desk.stop()
        caller.close()
        await self.eventually(lambda: not daemon.front.clients and len(self.events("connection_end")) >= 2)
        await asyncio.sleep(0.05)
        self.assert_no_garbage()

    async def test_calls_of_sip_callers_are_freed_as_they_end(self) -> None:
        daemon = await self.start_sip("tcp")
        caller = await self.sip_caller(daemon, "tcp")
        self.assertEqual((await caller.invite("486")).status, 503)
        self.assertEqual((await caller.invite("ok")).status, 200)
        self.assert_alive(SipCall)
        caller.peer.send(caller.build("BYE"))
        await caller.peer.until(200)
        caller.peer.close()
        self.sip_desk.peer.reset()
        await self.eventually(lambda: len(self.events("connection_end")) == 2)
        await asyncio.sleep(0.05)
        self.assert_no_garbage()

    async def test_connections_of_operators_are_freed_as_they_end(self) -> None:
        daemon = await self.start(management="127.0.0.1:0")
        daemon.management.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", daemon.management.listener.port)
        await self.eventually(lambda: daemon.management.listener.connections)
        self.assert_alive(Connection)
        writer.write(b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.read()
        writer.close()
        await self.eventually(lambda: self.events("connection_end"))
        await asyncio.sleep(0.05)
        self.assert_no_garbage()
