"""The notice board's client where the board is slow to answer or silent, and as it returns."""

import asyncio
import time
from typing import Any

from seamlb.discovery.board import Board
from tests.http_peers import DiscoveryTestCase, ScriptedHttpServer, http, notices

HEARD_WITHIN = 2.0  # seconds, without load
TOLD_WITHIN = 6.0  # seconds after a failed or given-up poll and the board's return (operators' terms)
GONE = notices(3, ("a", "Terminating"))


class SlowBoards(DiscoveryTestCase):
    # Incident 86c537: each poll was given up after 3.5 s, so a board that took longer was never heard.
    async def test_a_board_that_takes_long_to_answer_is_heard(self) -> None:
        async def heard(delay: float) -> bool:
            async def answer_late(server: ScriptedHttpServer, path: str) -> bytes | None:
                await asyncio.sleep(delay)
                return http(notices(2, ("a", "Terminating"), complete=True))

            published: list[Any] = []
            server = ScriptedHttpServer(answer_late)
            board = Board(await server.start(), ["z"], lambda scope, desks: published.append(desks))
            await self.follow(board, server)
            await asyncio.sleep(delay + HEARD_WITHIN)
            return bool(published)

        delays = (1.0, 3.0, 4.0, 8.0, 15.0)
        results = await asyncio.gather(*map(heard, delays))
        self.assertEqual([delay for delay, result in zip(delays, results, strict=True) if not result], [])


class ReturningBoards(DiscoveryTestCase):
    async def told_after_return(self, outage: str, seconds: float) -> float:
        """Seconds from a board's return, with a change just before it, to when the change is known."""
        back, published = asyncio.Event(), list[float]()

        async def answer(server: ScriptedHttpServer, path: str) -> bytes | None:
            if len(server.paths) == 1:
                return http(notices(2, ("a", "Ready"), complete=True))
            if outage == "swallows" and not back.is_set():
                await asyncio.Event().wait()  # what was asked in the outage is never answered
            await back.wait()
            return http(GONE)

        server = ScriptedHttpServer(answer)
        address = await server.start()
        port = int(address.rpartition(":")[2])
        board = Board(address, ["z"], lambda scope, desks: published.append(time.monotonic()))
        await self.follow(board, server)
        await self.eventually(lambda: len(server.paths) == 2)
        if outage == "refuses":
            server.server.close()
            for writer in server.writers:
                writer.transport.abort()
        await asyncio.sleep(seconds)
        back.set()
        if outage == "refuses":
            await server.start(port)
        returned_at = time.monotonic()
        await self.eventually(lambda: len(published) == 2)
        server.server.close()
        return published[1] - returned_at

    # Incident 86c537, terms: a change counts as told 6 s after a failed or given-up poll and the board's return.
    async def test_a_change_is_known_in_time_after_an_outage_of_any_length(self) -> None:
        outages = [
            (kind, seconds)
            for kind in ("refuses", "silent", "swallows")
            for seconds in (1.0, 2.5, 3.6, 5.0, 8.0, 12.0)
        ]
        told = await asyncio.gather(*(self.told_after_return(*outage) for outage in outages))
        late = {outage: seconds for outage, seconds in zip(outages, told, strict=True) if seconds > TOLD_WITHIN}
        self.assertEqual(late, {})
