"""The notice board's client where the board is slow to answer or silent, and as it returns."""

import asyncio
from typing import Any

from seamlb.discovery.board import Board
from tests.http_peers import DiscoveryTestCase, ScriptedHttpServer, http, notices

HEARD_WITHIN = 2.0  # seconds, without load


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
