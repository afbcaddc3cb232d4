"""The notice board after a restart: event numbers that go back, older lists, repeated and truncated lists."""

import asyncio
import json
from typing import Any
from unittest import mock

from seamlb import api
from seamlb.discovery import board as module
from seamlb.discovery.board import Board
from tests.http_peers import DiscoveryTestCase, ScriptedHttpServer, http, notices
from tests.loopback import DaemonTestCase, ScriptedDesk, invite

READY, DRAINING, GONE = api.Availability.READY, api.Availability.DRAINING, api.Availability.GONE


def listed(rev: int, revision: int, *members: tuple[str, str], complete: bool = False) -> dict[str, Any]:
    """One event of the board, with the revision of the list itself."""
    raw = notices(rev, *members, complete=complete)
    raw["notices"][0]["pool"]["revision"] = revision
    return raw


class BoardRestarts(DiscoveryTestCase):
    async def play(self, *answers: dict[str, Any] | bytes) -> tuple[ScriptedHttpServer, list[dict[str, int]]]:
        """Run a client against a board with these answers; returns the board and the lists passed to the core."""
        responses = [one if isinstance(one, bytes) else http(one) for one in answers]
        published: list[dict[str, int]] = []

        async def handler(server: ScriptedHttpServer, path: str) -> bytes | None:
            if len(server.paths) > len(responses):
                await asyncio.Event().wait()
            return responses[len(server.paths) - 1]

        server = ScriptedHttpServer(handler)
        board = Board(
            await server.start(),
            ["z"],
            lambda scope, desks: published.append({one.ident: one.availability for one in desks}),
        )
        await self.follow(board, server)
        await self.eventually(lambda: len(server.paths) == len(responses) + 1)
        return server, published

    def watched(self, server: ScriptedHttpServer) -> list[str]:
        return [path.split("watch=")[1].split("&")[0] for path in server.paths]

    async def test_all_events_are_requested_again_after_the_event_numbers_went_back(self) -> None:
        server, published = await self.play(
            listed(9, 9, ("a", "Ready"), complete=True),
            {"rev": 2, "notices": []},
            listed(2, 10, ("a", "Terminating"), complete=True),
        )
        self.assertEqual(self.watched(server), ["0", "9", "0", "2"])
        self.assertEqual(published, [{"a": READY}, {"a": DRAINING}])

    async def test_an_older_list_restores_no_server_and_newer_events_are_applied(self) -> None:
        _, published = await self.play(
            listed(9, 9, ("a", "Terminating"), complete=True),
            {"rev": 2, "notices": []},
            listed(2, 4, ("a", "Ready"), ("old", "Ready"), complete=True),
            listed(3, 10, ("a", "Gone")),
        )
        self.assertEqual(published, [{"a": DRAINING}, {"a": GONE}])

    async def test_a_list_that_stays_older_is_accepted_after_the_maximum_lag(self) -> None:
        with mock.patch.object(module, "MAX_LAG", 0.0):
            server, published = await self.play(
                listed(9, 9, ("a", "Ready"), complete=True),
                {"rev": 2, "notices": []},
                listed(2, 1, ("a", "Terminating"), complete=True),
            )
        self.assertEqual(published, [{"a": READY}, {"a": DRAINING}])
        self.assertEqual(self.watched(server)[:3], ["0", "9", "0"])

    async def test_truncated_or_malformed_lists_change_nothing(self) -> None:
        removal = listed(2, 2, ("a", "Gone"))
        text = json.dumps(removal).encode()
        truncated = [
            b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(text[:size]) + text[:size]
            for size in (0, 1, 40, 80)
        ]
        malformed = [http(one) for one in ([], {}, {"rev": 2}, {"rev": 2, "notices": [{"rev": 2, "pool": [1]}]}, "a")]
        server, published = await self.play(
            listed(1, 1, ("a", "Ready"), complete=True), *truncated, *malformed, removal
        )
        self.assertEqual(published, [{"a": READY}, {"a": GONE}])
        self.assertEqual(self.watched(server), ["0", *["1"] * (len(truncated) + len(malformed) + 1), "2"])
        self.assertEqual(len(self.events("malformed")), len(truncated) + len(malformed))


class DeskLists(DaemonTestCase):
    async def test_a_repeated_full_list_leaves_calls_and_connections_unchanged(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        daemon.agent.list_changed(api.Scope.FULL, [self.desk(0, desk.address)])
        await asyncio.sleep(0)
        self.assertEqual((len(desk.peers), len(daemon.agent.sessions)), (1, 1))

    async def test_an_empty_list_is_applied_and_calls_are_refused_at_once(self) -> None:
        # Removed desks must get no new calls, so the list is obeyed even if it leaves no desk.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        daemon.agent.list_changed(api.Scope.FULL, [])
        caller = await self.caller()
        caller.send(invite())
        self.assertEqual((await caller.next()).status, 503)
        daemon.agent.list_changed(api.Scope.FULL, [self.desk(0, desk.address)])
        await self.eventually(lambda: len(desk.peers) == 2)
