"""Servers whose host vanishes without a word, on real sockets: when the callers of their calls are released."""

import asyncio
import contextlib
from unittest import mock

from seamlb.daemon import Daemon
from seamlb.net.close_reason import CloseReason
from seamlb.net.connecting import ConnectError
from seamlb.net.connection import Connection
from tests.loopback import DaemonTestCase, Peer, invite
from tests.vanishing import VanishingDesk

CONNECT = "seamlb.desks.connection_attempt.connect"
RELEASE_WITHIN = 8.0  # seconds from when a server vanished to the release that its caller gets (protocol)


class VanishedServers(DaemonTestCase):
    async def established_call(self) -> tuple[VanishingDesk, Daemon, Peer]:
        """A desk with an established call, its daemon and its caller."""
        desk = VanishingDesk()
        daemon = await self.start(desk)
        caller = await Peer.connect(f"127.0.0.1:{daemon.front.listener.port}")
        self.addCleanup(caller.close)
        caller.send(invite())
        await caller.until(200)
        return desk, daemon, caller

    async def course(self, connect_time: float, accepted_last: int, set_up_after: float | None) -> float:
        """Seconds from when a desk with an established call vanishes to the release that its caller gets."""
        desk, daemon, caller = await self.established_call()
        assert daemon.platform_desks is not None
        daemon.platform_desks.context.connect_timeout = connect_time
        address = f"127.0.0.1:{daemon.front.listener.port}"
        vanished_at = asyncio.get_running_loop().time()
        desk.vanish(accepted_last)
        if set_up_after is not None:
            await asyncio.sleep(set_up_after)
            second = await Peer.connect(address)
            self.addCleanup(second.close)
            second.send(invite("00000000000000a2"))
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        return asyncio.get_running_loop().time() - vanished_at

    # Incident 86c537: the release of a vanished server's calls came after 8 s, as the stages before it added up.
    async def test_calls_of_a_vanished_server_are_released_within_the_promised_time(self) -> None:
        courses = [
            (connect_time, accepted_last, set_up_after)
            for connect_time in (0.05, 0.5, 2.0)
            for accepted_last in (0, 1)
            for set_up_after in (None, 0.0, 0.6, 1.1, 3.0, 6.0)
        ]
        async with asyncio.TaskGroup() as group:
            playing = {course: group.create_task(self.course(*course)) for course in courses}
        late = {course: task.result() for course, task in playing.items() if task.result() > RELEASE_WITHIN}
        self.assertEqual(late, {})

    # The same where the network answers for the host: it is unreachable, or a proxy accepts and closes at once.
    async def test_calls_are_released_in_time_though_the_network_answers_for_a_vanished_server(self) -> None:
        async def unreachable(address: str, kind: str, timeout: float) -> Connection:
            raise ConnectError(CloseReason.PEER_RESET)

        async def released_after(proxy: bool) -> float:
            desk, _, caller = await self.established_call()
            desk.hang()
            vanished_at = asyncio.get_running_loop().time()
            with contextlib.nullcontext() if proxy else mock.patch(CONNECT, unreachable):
                if proxy:
                    desk.close_accepted()
                self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
            return asyncio.get_running_loop().time() - vanished_at

        for proxy in (True, False):
            with self.subTest(proxy=proxy):
                self.assertLess(await released_after(proxy), RELEASE_WITHIN)
