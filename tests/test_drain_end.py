"""The end of a drain, after the connections to servers are closed, while discovery and callers still speak."""

import asyncio

from seamlb import api
from tests.loopback import DaemonTestCase, ScriptedDesk, invite

SOON = 0.5  # seconds, without load


class DrainEnd(DaemonTestCase):
    # Incident 86c537, kin: a server that discovery listed then was connected to, and sent releases that nobody got.
    async def test_a_server_listed_after_the_connections_to_servers_were_closed_gets_none(self) -> None:
        first, second = ScriptedDesk(), ScriptedDesk()
        daemon = await self.start(first)
        daemon.desks.close()
        daemon.agent.list_changed(api.Scope.DELTA, [self.desk(1, await second.start())])
        self.addAsyncCleanup(second.stop)
        await asyncio.sleep(SOON)
        self.assertEqual(second.peers, [])

    # Incident 86c537, kin: nothing opened a connection any more, so the set-up waited until its time was over.
    async def test_a_set_up_after_the_connections_to_servers_were_closed_is_refused_at_once(self) -> None:
        daemon = await self.start(ScriptedDesk())
        caller = await self.caller()
        daemon.desks.close()
        caller.send(invite(timer=3000))
        async with asyncio.timeout(SOON):
            self.assertEqual((await caller.next()).status, 503)
