"""Connections with more data than a turn processes take turns, and none is closed for idle while it waits for one."""

import asyncio
import unittest

from seamlb.net.turns import MESSAGES_PER_TURN, TURNS_PER_ITERATION, Turns
from tests.loopback import DaemonTestCase, sip_request

REQUESTS = 30  # which are read at once, and take several turns


class TurnsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_few_turns_are_granted_in_each_iteration_in_the_order_of_the_requests(self) -> None:
        turns = Turns()
        requests = [turns.request() for _ in range(3 * TURNS_PER_ITERATION)]
        requests[0].cancel()
        granted = []
        for _ in range(4):
            await asyncio.sleep(0)
            granted.append([index for index, one in enumerate(requests) if one.done() and not one.cancelled()])
        first = list(range(1, TURNS_PER_ITERATION + 1))
        self.assertEqual(granted[0], first)
        self.assertEqual([len(one) for one in granted], [4, 8, 11, 11])

    async def test_a_request_after_all_were_granted_is_granted(self) -> None:
        turns = Turns()
        for _ in range(3):
            await asyncio.wait_for(turns.request(), 1.0)


class WaitingForATurn(DaemonTestCase):
    # Guards against a drain that closes a connection whose requests were read and wait for a turn.
    async def test_a_connection_that_waits_for_a_turn_is_not_idle(self) -> None:
        daemon = await self.start()
        caller = await self.caller()
        await self.eventually(lambda: daemon.front.clients)
        (client,) = daemon.front.clients
        connection, answers = client.connection, 0
        caller.send(b"".join(sip_request("OPTIONS", f"t{number}").encode() for number in range(REQUESTS)))
        await self.eventually(lambda: connection._turn)
        self.assertFalse(connection.is_idle(0.0))
        self.assertTrue(connection.has_unread_data())
        for answers in range(REQUESTS):
            self.assertEqual((await caller.until(200)).get("call-id"), f"t{answers}")
        self.assertGreater(answers, MESSAGES_PER_TURN)
        await self.eventually(lambda: connection.is_idle(0.0))
