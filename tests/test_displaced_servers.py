"""A new server at the address of one that has gone is not taken for it, where the list is late to tell that."""

import asyncio

from seamlb import api
from seamlb.daemon import Daemon
from seamlb.desks.address_owner import address_owner
from seamlb.protocol.sip import Message
from seamlb.routing.model import Desk
from tests.loopback import HANG_TIMEOUT, DaemonTestCase, Peer, ScriptedDesk, answer, invite, sip_request
from tests.sip_peers import SipTestCase
from tests.support import LONG_TARGETS
from tests.udp_peer import UdpPeer

OLD_CALL, NEW_CALL = "00000000000000a1", "00000000000000a2"


def listed(ident: str, address: str, cell: int, since: float = 0.0) -> Desk:
    return Desk(ident, address, 0, cell, api.Availability.READY, since)


def tell(daemon: Daemon, *desks: Desk) -> None:
    daemon.agent.list_changed(api.Scope.DELTA, list(desks))


class DisplacedServers(DaemonTestCase):
    """Pool 0 has the server that has gone, pool 1 gets the new one at its address; pool 2 is elsewhere."""

    async def start_replaced(self) -> tuple[Daemon, ScriptedDesk, Peer]:
        """The old process has ended, and another server's has its address."""
        old, elsewhere = ScriptedDesk(), ScriptedDesk()
        daemon = await self.start(old, elsewhere, settings=LONG_TARGETS)
        caller = await self.caller()
        port = int(old.address.rpartition(":")[2])
        await old.stop()
        new = ScriptedDesk()
        await new.start(port)
        self.addAsyncCleanup(new.stop)
        return daemon, new, caller

    # Guards against picture (d): work for a server that had gone went to another one at its address.
    async def test_no_set_up_for_a_server_that_has_gone_reaches_the_new_one_at_its_address(self) -> None:
        daemon, new, caller = await self.start_replaced()
        await self.eventually(lambda: new.peers)  # the link of the old one has connected to it
        tell(daemon, listed("new", new.address, 5))
        caller.send(invite(OLD_CALL, dest=0))
        self.assertIn((await caller.next()).status, (200, 503))  # from the other server, or refused
        self.assertEqual([one.method for one in self.requests(new)], [])

    async def test_set_ups_that_wait_for_a_server_that_has_gone_are_not_sent_to_the_new_one(self) -> None:
        daemon, new, _ = await self.start_replaced()
        link = daemon.desks.links["d0"]
        tell(daemon, listed("new", new.address, 5))
        self.assertTrue(link.displaced)
        await asyncio.sleep(0.5)
        self.assertEqual(link.connections, [])

    async def test_a_connection_that_comes_up_as_the_new_one_is_listed_is_not_used(self) -> None:
        daemon, new, _ = await self.start_replaced()
        link = daemon.desks.links["d0"]
        refused = link.manager.attempts[:]  # those that began before the new one listened
        async with asyncio.timeout(HANG_TIMEOUT):
            # Looked at in each turn of the event loop: on loopback a connection comes up within a millisecond.
            while link.connections or not set(link.manager.attempts) - set(refused):
                await asyncio.sleep(0)
        tell(daemon, listed("new", new.address, 5))
        await self.eventually(lambda: new.peers)
        await asyncio.sleep(0.3)
        self.assertEqual(link.connections, [])

    async def test_the_address_is_used_again_once_the_other_server_has_left_it(self) -> None:
        daemon, new, caller = await self.start_replaced()
        tell(daemon, listed("new", new.address, 5))
        tell(daemon, Desk("new", new.address, 0, 5, api.Availability.GONE, 0.0))
        await self.eventually(lambda: daemon.desks.links["d0"].connections)

    async def start_with_call(self) -> tuple[Daemon, ScriptedDesk, Peer]:
        """A call that stands at the server of pool 0."""
        old = ScriptedDesk(answer)
        daemon = await self.start(old, settings=LONG_TARGETS)
        caller = await self.caller()
        caller.send(invite(OLD_CALL))
        await caller.until(200)
        caller.send(sip_request("ACK", OLD_CALL))
        await old.until("ACK")
        return daemon, old, caller

    async def test_calls_of_a_server_that_has_gone_are_released_as_the_new_one_is_listed(self) -> None:
        daemon, old, caller = await self.start_with_call()
        port = int(old.address.rpartition(":")[2])
        await old.stop()
        new = ScriptedDesk()
        await new.start(port)
        self.addAsyncCleanup(new.stop)
        tell(daemon, listed("new", new.address, 5))
        async with asyncio.timeout(1.0):
            self.assertEqual((await caller.until("BYE")).get("call-id"), OLD_CALL)

    async def test_calls_on_a_connection_from_before_are_kept(self) -> None:
        daemon, old, caller = await self.start_with_call()
        tell(daemon, listed("new", old.address, 5))  # as where the old process drains and the new one listens
        old.peers[0].send(sip_request("BYE", OLD_CALL, ("Reason", "Q.850;cause=16")))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    def requests(self, desk: ScriptedDesk) -> list[Message]:
        return [desk.received.get_nowait() for _ in range(desk.received.qsize())]


class DisplacedSipDesks(SipTestCase):
    async def test_the_invite_of_a_sip_desk_that_has_gone_is_not_repeated_to_the_new_one(self) -> None:
        daemon = await self.start_sip()
        shared = await UdpPeer.bind()
        self.addCleanup(shared.close)
        daemon.agent.list_changed(api.Scope.CACHED, [self.desk(0, shared.address)])
        self.fill_budget(daemon, 0)
        caller = await self.sip_caller(daemon, "udp")
        caller.renew()
        caller.peer.send(caller.build("INVITE"))
        await shared.next()
        tell(daemon, listed("new", shared.address, 5))
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(1.5):
                self.fail(f"got {(await shared.next()).method}")


def test_the_server_that_started_last_has_the_address_or_the_one_listed_last() -> None:
    first, second = listed("a", "x:1", 0), listed("b", "x:1", 1)
    assert address_owner("x:1", [first, second]) is second
    assert address_owner("x:1", [second, first]) is first
    late = listed("c", "x:1", 2, since=5.0)
    assert address_owner("x:1", [late, first]) is late
    assert address_owner("y:1", [late, first]) is None
