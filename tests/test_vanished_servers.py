"""Servers whose host vanishes without a word, on real sockets: when the callers of their calls are released."""

import asyncio

from tests.loopback import DaemonTestCase, Peer, invite
from tests.vanishing import VanishingDesk

RELEASE_WITHIN = 8.0  # seconds from when a server vanished to the release that its caller gets (protocol)


class VanishedServers(DaemonTestCase):
    async def course(self, connect_time: float, accepted_last: int, set_up_after: float | None) -> float:
        """Seconds from when a desk with an established call vanishes to the release that its caller gets."""
        desk = VanishingDesk()
        daemon = await self.start(desk)
        assert daemon.platform_desks is not None
        daemon.platform_desks.context.connect_timeout = connect_time
        address = f"127.0.0.1:{daemon.front.listener.port}"
        caller = await Peer.connect(address)
        self.addCleanup(caller.close)
        caller.send(invite())
        await caller.until(200)
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
