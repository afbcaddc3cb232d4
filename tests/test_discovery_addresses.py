"""The notice board's client while its address changes, and as it ends."""

import asyncio
import os
import time

from seamlb.discovery.board import Board
from tests.http_peers import DiscoveryTestCase, ScriptedHttpServer, http, notices

TURNS = range(26)  # of the event loop: from before the connection of a poll to long after it
HEARD_WITHIN = 2.0  # seconds, without load


async def hold(server: ScriptedHttpServer, path: str) -> bytes | None:
    """Leave a poll unanswered."""
    await asyncio.Event().wait()
    return None


async def turn(times: int) -> None:
    """Let the event loop turn."""
    for _ in range(times):
        await asyncio.sleep(0)


class Addresses(DiscoveryTestCase):
    async def server(self) -> tuple[ScriptedHttpServer, str]:
        server = ScriptedHttpServer(hold)
        address = await server.start()
        self.addCleanup(server.server.close)
        return server, address

    # Incident 86c537: after two new addresses in a row the newest was never asked, and a drain was not heard.
    async def test_the_newest_of_two_addresses_in_a_row_is_polled(self) -> None:
        unheard = []
        for turns in TURNS:
            with self.subTest(turns=turns):
                servers = [await self.server() for _ in range(3)]
                board = Board(servers[0][1], [], lambda scope, desks: None)
                await self.follow(board, servers[0][0])
                await self.eventually(lambda servers=servers: servers[0][0].paths)
                board.set_address(servers[1][1])
                await turn(turns)
                board.set_address(servers[2][1])
                try:
                    async with asyncio.timeout(HEARD_WITHIN):
                        while not servers[2][0].paths:
                            await asyncio.sleep(0.005)
                except TimeoutError:
                    unheard.append(turns)
        self.assertEqual(unheard, [])

    # Incident 86c537: the end of the process was lost where it fell into the turn in which a connection came up.
    async def test_the_client_ends_at_any_moment_of_its_first_poll(self) -> None:
        endless = []
        for turns in TURNS:
            _, address = await self.server()
            following = asyncio.create_task(Board(address, [], lambda scope, desks: None).run())
            await turn(turns)
            following.cancel()
            done, _ = await asyncio.wait({following}, timeout=HEARD_WITHIN)
            if not done:
                endless.append(turns)
                following.cancel()
        self.assertEqual(endless, [])

    # Incident 86c537, kin: an answer that lay in the socket as the address changed was thrown away.
    async def test_an_answer_that_has_arrived_as_the_address_changes_counts(self) -> None:
        published: list[object] = []
        server, deaf = await self.server(), await self.server()
        board = Board(server[1], ["z"], lambda scope, desks: published.append(desks))
        await self.follow(board, server[0])
        await self.eventually(lambda: server[0].paths)
        answer = http(notices(1, ("a", "Terminating"), complete=True))
        os.write(server[0].writers[0].get_extra_info("socket").fileno(), answer)
        time.sleep(0.05)  # the event loop has not seen it yet
        board.set_address(deaf[1])
        await self.eventually(lambda: deaf[0].paths)
        self.assertEqual(len(published), 1)
