"""Servers that look as if they had vanished and live: their calls stay, and their releases reach the callers."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from unittest import mock

from seamlb import api
from seamlb.daemon import Daemon
from seamlb.net import connecting
from seamlb.net.connection import Connection
from seamlb.protocol.sip import Message
from tests.loopback import DaemonTestCase, Peer, bye, invite
from tests.vanishing import VanishingDesk

LONG = 12.0  # seconds: beyond every deadline
CUT_OFF = 6.0  # seconds for which a network is cut on the operators' days
RARE = 5.0  # seconds between two messages of a server that says little
LATE = 1.0  # seconds after which connections of a live server may come up
ID = "00000000000000a1"
STATE = Message("NOTIFY", "sip:x@net", headers=[("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", "idle:4")])


class LiveServers(DaemonTestCase):
    @asynccontextmanager
    async def established_call(self) -> AsyncIterator[tuple[VanishingDesk, Daemon, Callable[[], Awaitable[Peer]]]]:
        """A desk with a call, a daemon, and a function that connects another caller; the call stays to the end."""
        desk = VanishingDesk()
        daemon = await self.start(desk)
        address = f"127.0.0.1:{daemon.front.listener.port}"
        caller = await Peer.connect(address)
        self.addCleanup(caller.close)
        caller.send(invite())
        await caller.until(200)
        yield desk, daemon, lambda: Peer.connect(address)
        self.assertEqual(self.cut(), [])
        next(peer for peer in reversed(desk.peers) if not peer.reader.at_eof()).send(bye(ID, 16))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    def cut(self) -> list[dict[str, object]]:
        """The log lines of servers whose calls were cut."""
        return [line for line in self.events("server_state") if line["calls_cut"]]

    async def set_ups(self, connect: Callable[[], Awaitable[Peer]], seconds: float) -> None:
        """Send a set-up each second, as their time-outs make the process test its connections."""
        caller = await connect()
        self.addCleanup(caller.close)
        for number in range(int(seconds)):
            caller.send(invite(f"{number:015x}b", timer=400))
            await asyncio.sleep(1.0)

    # Incident 86c537, traps of its mend: in each of these a server lives and its calls must stay.
    async def test_a_server_that_hangs_keeps_its_calls(self) -> None:
        async def play(with_set_ups: bool) -> None:
            async with self.established_call() as (desk, _, connect):
                desk.hang()
                await (self.set_ups(connect, LONG) if with_set_ups else asyncio.sleep(LONG))
                desk.wake()
                await asyncio.sleep(LATE)

        await asyncio.gather(play(True), play(False))

    async def test_a_server_that_hangs_and_loses_some_connections_keeps_its_calls(self) -> None:
        connect_now, numbers = connecting.connect, itertools.count()

        async def connect_at_times(address: str, kind: str, timeout: float) -> Connection:
            if next(numbers) % 3:
                return await connect_now(address, kind, timeout)
            await asyncio.sleep(timeout)
            raise connecting._failed("lost", kind, address, connecting.CloseReason.CONNECT_TIMEOUT)

        async with self.established_call() as (desk, _, _connect):
            desk.hang()
            with mock.patch("seamlb.desks.connection_attempt.connect", connect_at_times):
                await asyncio.sleep(LONG)
            desk.wake()
            await asyncio.sleep(2 * LATE)

    async def test_a_server_whose_new_connections_come_up_late_keeps_its_calls(self) -> None:
        connect_now = connecting.connect

        async def connect_late(address: str, kind: str, timeout: float) -> Connection:
            if timeout <= LATE:
                await asyncio.sleep(timeout)
                raise connecting._failed("late", kind, address, connecting.CloseReason.CONNECT_TIMEOUT)
            await asyncio.sleep(LATE)
            return await connect_now(address, kind, timeout - LATE)

        async with self.established_call() as (desk, _, _connect):
            desk.answers_tests = False
            with mock.patch("seamlb.desks.connection_attempt.connect", connect_late):
                await asyncio.sleep(LONG)
            self.assertGreater(len(desk.peers), 3)

    async def test_a_server_that_drains_refuses_connections_and_keeps_its_calls(self) -> None:
        async with self.established_call() as (desk, daemon, _connect):
            daemon.agent.list_changed(api.Scope.DELTA, [self.desk(0, desk.address, api.Availability.DRAINING)])
            desk.refuse_connections()
            await asyncio.sleep(LONG)

    async def test_a_server_that_is_cut_off_for_a_while_keeps_its_calls(self) -> None:
        async def play(with_set_ups: bool) -> None:
            async with self.established_call() as (desk, _, connect):
                desk.vanish()
                await (self.set_ups(connect, CUT_OFF) if with_set_ups else asyncio.sleep(CUT_OFF))
                desk.wake()
                await asyncio.sleep(2 * LATE)

        await asyncio.gather(play(True), play(False))

    async def test_a_server_that_is_heard_and_cannot_be_reached_keeps_its_calls(self) -> None:
        async with self.established_call() as (desk, _, _connect):
            desk.answers_tests = False
            desk.cut_new_connections()
            for _ in range(int(LONG / RARE)):
                await asyncio.sleep(RARE)
                desk.peers[0].send(STATE)
