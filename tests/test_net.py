"""Connections, listeners and datagrams: each end of a connection logs one event with its reason."""

import asyncio
import socket
import time
from dataclasses import replace
from unittest import mock

from seamlb import api
from seamlb.daemon import Daemon
from seamlb.net import connection
from seamlb.net.close_reason import CloseReason
from seamlb.net.connecting import ConnectError, connect
from seamlb.net.connection import Connection
from seamlb.net.listener import Listener
from seamlb.routing.agent import Clock
from seamlb.routing.model import Desk
from tests.loopback import DaemonTestCase, Peer, ScriptedDesk, config, invite, never_answer, sip_request
from tests.support import LONG_TARGETS
from tests.udp_peer import UdpPeer


class ConnectionEnds(DaemonTestCase):
    async def pair(self, limit: int = 8, write_timeout: float = 5.0) -> tuple[Connection, Peer]:
        """Return both ends of a connection: ours and the scripted peer."""
        accepted: asyncio.Queue[Connection] = asyncio.Queue()

        async def serve(ours: Connection) -> None:
            ours.write_timeout = write_timeout
            accepted.put_nowait(ours)
            await ours.run(lambda data: None)

        listener = Listener("t", limit, serve)
        listener.bind_and_listen("127.0.0.1:0")
        self.addCleanup(listener.stop)
        self.address = f"127.0.0.1:{listener.port}"
        peer = await Peer.connect(self.address)
        self.addCleanup(peer.close)
        return await accepted.get(), peer

    def reasons(self) -> list[str]:
        return [one["reason"] for one in self.events("connection_end")]

    async def test_the_peer_closes_or_resets_the_connection(self) -> None:
        _, peer = await self.pair()
        peer.close()
        await self.eventually(self.reasons)
        _, peer = await self.pair()
        peer.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        peer.reset()
        await self.eventually(lambda: len(self.reasons()) == 2)
        self.assertEqual(self.reasons(), ["peer_closed", "peer_reset"])

    async def test_a_peer_that_stops_reading_is_limited_in_time_and_bytes(self) -> None:
        ours, peer = await self.pair(write_timeout=0.05)
        peer.writer.transport.pause_reading()
        while ours.stream.writing() is False:
            ours.send(b"x" * 65536)
        await self.eventually(self.reasons)
        ours, peer = await self.pair()
        peer.writer.transport.pause_reading()
        for _ in range(400):
            ours.send(b"x" * 65536)
        self.assertEqual(self.reasons(), ["write_timeout", "overflow"])
        self.assertFalse(ours.send(b"more"))

    async def test_at_the_limit_idle_connections_are_evicted_those_without_a_request_first(self) -> None:
        # Hundreds of connections that sent nothing, or one request each, kept other callers out.
        # Allows 3 callers.
        daemon = await self.start(ScriptedDesk(never_answer), limits={"sockets": 9}, settings=LONG_TARGETS)
        busy, asked, silent = await self.caller(), await self.caller(), await self.caller()
        busy.send(invite())
        asked.send(sip_request("OPTIONS", "t"))
        await asked.until(200)
        await self.eventually(lambda: len(daemon.front.calls) == 1)
        for evicted, reason in ((silent, "evicted"), (asked, "evicted"), (None, "limit")):
            new = await self.caller()
            if evicted:
                with self.assertRaises(EOFError):
                    await evicted.next()
                new.send(invite(f"{len(self.reasons()):016x}"))  # takes the free place and keeps it
                await self.eventually(lambda: len(daemon.front.calls) == 1 + len(self.reasons()))
            else:
                with self.assertRaises((EOFError, OSError)):
                    await new.next()
            self.assertEqual(self.reasons()[-1], reason)
        self.assertEqual(len(daemon.front.clients), 3)

    async def test_a_message_must_be_complete_in_time_but_callers_may_idle_between_messages(self) -> None:
        with mock.patch.object(connection, "MESSAGE_TIMEOUT", 0.05):
            await self.start(ScriptedDesk())
            callers = [await self.caller() for _ in range(4)]
            encoded = sip_request("OPTIONS", "t").encode()
            for caller, data in zip(callers, (b"", encoded[:40], encoded + encoded[:40], encoded), strict=True):
                caller.send(data)
            for caller in callers[:3]:
                with self.assertRaises(EOFError):
                    await caller.until(404)
            await asyncio.sleep(0.1)
            callers[3].send(encoded)
            for _ in range(2):
                self.assertEqual((await callers[3].next()).status, 200)
        self.assertEqual(self.reasons(), ["slow"] * 3)

    async def test_failed_connect_attempts(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as unused:
            address = "{}:{}".format(*unused.getsockname())
        with self.assertRaises(ConnectError) as failed:
            await connect(address, "t", 5.0)
        self.assertEqual(failed.exception.reason, CloseReason.REFUSED)
        with FullBacklog() as address:
            with self.assertRaises(ConnectError) as failed:
                await connect(address, "t", 0.1)
            self.assertEqual(failed.exception.reason, CloseReason.CONNECT_TIMEOUT)
        self.assertEqual(self.reasons(), ["refused", "connect_timeout"])

    async def test_an_exception_in_a_handler_ends_only_its_connection(self) -> None:
        daemon = await self.start(ScriptedDesk())
        caller, other = await self.caller(), await self.caller()
        with mock.patch.object(daemon.front, "_request", side_effect=ZeroDivisionError):
            caller.send(sip_request("OPTIONS"))
            with self.assertRaises(EOFError):
                await caller.next()
        self.assertEqual((self.reasons(), len(self.events("fault"))), (["error"], 1))
        other.send(sip_request("OPTIONS"))
        self.assertEqual((await other.next()).status, 200)


class FullBacklog:
    """An address on which connecting times out: its backlog is full and nothing is accepted."""

    def __enter__(self) -> str:
        self.server = socket.socket()
        self.server.bind(("127.0.0.1", 0))
        self.server.listen(0)
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.server.getsockname())
            self.fillers.append(filler)
        return "{}:{}".format(*self.server.getsockname())

    def __exit__(self, *_: object) -> None:
        for sock in (*self.fillers, self.server):
            sock.close()


class UnreachableDesk(DaemonTestCase):
    async def test_a_desk_that_accepts_no_connection_gives_connect_failed(self) -> None:
        daemon = await self.start()
        with FullBacklog() as address:
            daemon.agent.list_changed(api.Scope.DELTA, [self.desk(0, address)])
            self.fill_budget(daemon, 0)
            events: list[api.Event] = []
            handle = daemon.agent.module.handle
            daemon.agent.module.handle = lambda now, e: events.append(e) or handle(now, e)
            caller = await self.caller()
            caller.send(invite())
            self.assertEqual((await caller.next()).status, 503)
            (ended,) = [one for one in events if isinstance(one, api.Ended)]
            self.assertEqual(ended.status, api.Status.CONNECT_FAILED)


class PeerMessages(DaemonTestCase):
    async def test_messages_go_to_one_peer_or_all_and_have_at_most_256_bytes(self) -> None:
        single, broadcast, stranger = await UdpPeer.bind(), await UdpPeer.bind(), await UdpPeer.bind()
        for udp in (single, broadcast, stranger):
            self.addCleanup(udp.close)
            udp.datagram_received = lambda data, addr, udp=udp: udp.received.put_nowait((data, addr))
        limits = {"AttemptsCap": 4, "Peers": True, "MaxRetryAfter": 0}
        daemon = Daemon(
            config(
                settings={"Limits": limits},
                peer_listen="127.0.0.1:0",
                peers=["127.0.0.1:1", single.address],
                peers_all=broadcast.address,
            )
        )
        self.addAsyncCleanup(self._stop, daemon, ())
        await daemon.start()
        daemon.peers.send(1, b"to one")
        daemon.peers.send(None, b"to all")
        self.assertEqual((await single.next(), await broadcast.next()), (b"to one", b"to all"))
        daemon.peers.send(1, b"x" * 257)
        daemon.peers.send(1, b"last")
        self.assertEqual(await single.next(), b"last")
        events: list[api.Event] = []
        daemon.agent.module.handle = lambda now, e: events.append(e) or []
        for udp, data in ((stranger, b"who"), (single, b"x" * 257), (single, b"hi")):
            udp.source = daemon.peers.endpoint.address
            udp.send(data)
        await self.eventually(lambda: events)
        self.assertEqual(events, [api.PeerMessage(1, b"hi")])


class Leaks(DaemonTestCase):
    async def test_nothing_is_leaked_by_thousands_of_desks_that_were_added_and_removed(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        agent, desks = daemon.agent, daemon.desks
        caller = await self.caller()
        for turn in range(2000):
            ident, gone = f"{turn:016x}", api.Availability.GONE
            added = Desk(f"x{turn}", desk.address, 0, 0, api.Availability.READY, 0.0)
            if turn % 100:
                agent.list_changed(api.Scope.DELTA, [added, replace(added, availability=gone)])
                continue
            agent.list_changed(api.Scope.DELTA, [self.desk(0, desk.address, gone), added])
            core = agent.module.node.fleet.servers[agent.desk_numbers[added.ident]]
            core.cold_from, core.tokens = float("-inf"), 2.0
            caller.send(invite(ident))
            await caller.until(200)
            agent.list_changed(api.Scope.DELTA, [replace(added, availability=gone), self.desk(0, desk.address)])
            self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
            await self.eventually(lambda: not agent.sessions)
        self.assertEqual(list(agent.desk_numbers), ["d0"])
        self.assertEqual(list(agent.desk_ids), list(agent.desk_numbers.values()))
        self.assertEqual(agent.next_number, 2021)  # 2,000 desks and 21 registrations of d0: no number was reused
        self.assertEqual((len(agent.listed), len(agent.module.node.fleet.servers), len(desks.links)), (1, 1, 1))
        for table in (
            agent.sessions,
            agent.module.calls,
            agent.module.callers.turned_away,
            +agent.open_legs,
            desks.legs,
            daemon.front.calls,
            daemon.front.releases.pending,
        ):
            self.assertFalse(table)
        # One connection manager, one reader.
        await self.eventually(lambda: len(desks.tasks) <= 2 and len(agent.tasks) == 0)


class ModuleClock(DaemonTestCase):
    def test_the_modules_clock_is_monotonic(self) -> None:
        clock = Clock()
        first = clock.now()
        with mock.patch.object(time, "time", return_value=0.0):
            self.assertGreaterEqual(clock.now(), first)
