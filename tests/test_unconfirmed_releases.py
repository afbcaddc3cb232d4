"""A release is owed to its caller until it is confirmed, also where its connection is quiet (review case 9)."""

import asyncio

from seamlb.daemon import Daemon
from tests.loopback import DaemonTestCase, Peer, ScriptedDesk, bye, invite, sip_request
from tests.sip_peers import SipTestCase

STANDING, OTHER = "00000000000000a1", "00000000000000b1"
PROMISED = 1.0  # seconds from a server's release to the caller's
LONGEST = 8.0  # seconds from the end of a call, where no release could be sent


async def stand(caller: Peer, ident: str) -> None:
    """Set a call up."""
    caller.send(invite(ident))
    await caller.until(200)
    caller.send(sip_request("ACK", ident))


class QuietConnections(DaemonTestCase):
    async def start_with_call(self) -> tuple[Daemon, ScriptedDesk, Peer]:
        """A call that stands on a connection on which its caller sends nothing more."""
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        quiet = await self.caller()
        await stand(quiet, STANDING)
        return daemon, desk, quiet

    # Guards against review case 9: a release written to a quiet connection was never told again.
    async def test_a_release_that_is_not_confirmed_is_told_on_another_connection_in_time(self) -> None:
        _, desk, _ = await self.start_with_call()
        other = await self.caller()
        await stand(other, OTHER)
        desk.peers[0].send(bye(STANDING, 16))
        async with asyncio.timeout(PROMISED):
            self.assertEqual((await other.until("BYE")).get("call-id"), STANDING)

    async def test_a_release_whose_quiet_connection_ends_late_is_told_on_one_that_comes_later(self) -> None:
        daemon, desk, quiet = await self.start_with_call()
        desk.peers[0].send(bye(STANDING, 16))
        await quiet.until("BYE")
        await asyncio.sleep(2.0)  # its caller does not confirm it
        quiet.close()
        await self.eventually(lambda: not daemon.front.clients)
        later = await self.caller()
        later.send(invite(OTHER))
        async with asyncio.timeout(LONGEST - 3.0):
            self.assertEqual((await later.until("BYE")).get("call-id"), STANDING)

    async def test_a_confirmed_release_is_not_repeated(self) -> None:
        daemon, desk, caller = await self.start_with_call()
        other = await self.caller()
        await stand(other, OTHER)
        desk.peers[0].send(bye(STANDING, 16))
        release = await caller.until("BYE")
        caller.send(b"SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n" % STANDING.encode())
        self.assertEqual(release.get("call-id"), STANDING)
        await self.eventually(lambda: not daemon.front.releases.unconfirmed)
        await self.assert_nothing_more(other)

    async def test_a_caller_that_never_confirms_and_is_heard_gets_a_release_once(self) -> None:
        _, desk, caller = await self.start_with_call()
        other = await self.caller()
        await stand(other, OTHER)
        desk.peers[0].send(bye(STANDING, 16))
        await caller.until("BYE")
        caller.send(sip_request("OPTIONS", "t"))
        await caller.until(200)
        await self.assert_nothing_more(other)

    async def test_a_confirmation_counts_only_on_a_connection_that_carried_the_release(self) -> None:
        daemon, desk, caller = await self.start_with_call()
        other = await self.caller()
        desk.peers[0].send(bye(STANDING, 16))
        await caller.until("BYE")
        other.send(b"SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n" % STANDING.encode())
        other.send(sip_request("OPTIONS", "t"))
        await other.until(200)
        self.assertIn(STANDING, daemon.front.releases.unconfirmed)

    async def assert_nothing_more(self, peer: Peer) -> None:
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(PROMISED):
                self.fail(f"got {await peer.next()}")


class QuietSipConnections(SipTestCase):
    async def test_the_release_of_a_sip_call_is_told_on_a_new_connection_where_its_own_is_quiet_or_ends(self) -> None:
        for is_reset in (False, True):
            daemon = await self.start_sip()
            caller = await self.sip_caller(daemon, "tcp")
            released = asyncio.Event()

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, released: asyncio.Event = released
            ) -> None:
                if (await Peer(reader, writer).next()).method == "BYE":
                    released.set()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            caller.address = "{}:{}".format(*server.sockets[0].getsockname())  # its Contact
            self.assertEqual((await caller.invite()).status, 200)
            await self.eventually(lambda: "ACK" in self.sip_desk.methods())
            self.sip_desk.bye(next(iter(self.sip_desk.invites)))
            if is_reset:
                await caller.peer.until("BYE")
                caller.peer.reset()
            async with asyncio.timeout(PROMISED):
                await released.wait()
            server.close()
