"""The notice board after a restart: numbers that go back, an older list, a whole list again, a list that is cut."""

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
    """One event of the board, with the number of the list itself."""
    raw = notices(rev, *members, complete=complete)
    raw["notices"][0]["pool"]["revision"] = revision
    return raw


class Restarts(DiscoveryTestCase):
    async def play(self, *answers: dict[str, Any] | bytes) -> tuple[ScriptedHttpServer, list[dict[str, int]]]:
        """A board that gives these answers, and what the list was told to be."""
        given = [one if isinstance(one, bytes) else http(one) for one in answers]
        told: list[dict[str, int]] = []

        async def handler(stand: ScriptedHttpServer, path: str) -> bytes | None:
            if len(stand.paths) > len(given):
                await asyncio.Event().wait()
            return given[len(stand.paths) - 1]

        stand = ScriptedHttpServer(handler)
        board = Board(
            await stand.start(),
            ["z"],
            lambda scope, desks: told.append({one.ident: one.availability for one in desks}),
        )
        await self.follow(board, stand)
        await self.eventually(lambda: len(stand.paths) == len(given) + 1)
        return stand, told

    def asked(self, stand: ScriptedHttpServer) -> list[str]:
        return [path.split("watch=")[1].split("&")[0] for path in stand.paths]

    async def test_a_board_whose_numbers_went_back_is_asked_for_everything(self) -> None:
        stand, told = await self.play(
            listed(9, 9, ("a", "Ready"), complete=True),
            {"rev": 2, "notices": []},
            listed(2, 10, ("a", "Terminating"), complete=True),
        )
        self.assertEqual(self.asked(stand), ["0", "9", "0", "2"])
        self.assertEqual(told, [{"a": READY}, {"a": DRAINING}])

    async def test_an_older_list_brings_no_server_back_and_what_is_newer_in_it_is_taken(self) -> None:
        _, told = await self.play(
            listed(9, 9, ("a", "Terminating"), complete=True),
            {"rev": 2, "notices": []},
            listed(2, 4, ("a", "Ready"), ("old", "Ready"), complete=True),
            listed(3, 10, ("a", "Gone")),
        )
        self.assertEqual(told, [{"a": DRAINING}, {"a": GONE}])

    async def test_a_list_that_stays_older_has_begun_to_count_anew_and_is_taken_in_the_end(self) -> None:
        with mock.patch.object(module, "MAX_LAG", 0.0):
            stand, told = await self.play(
                listed(9, 9, ("a", "Ready"), complete=True),
                {"rev": 2, "notices": []},
                listed(2, 1, ("a", "Terminating"), complete=True),
            )
        self.assertEqual(told, [{"a": READY}, {"a": DRAINING}])
        self.assertEqual(self.asked(stand)[:3], ["0", "9", "0"])

    async def test_lists_that_are_cut_or_of_another_form_change_nothing(self) -> None:
        whole = listed(2, 2, ("a", "Gone"))
        text = json.dumps(whole).encode()
        cut = [b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(text[:at]) + text[:at] for at in (0, 1, 40, 80)]
        forms = [http(one) for one in ([], {}, {"rev": 2}, {"rev": 2, "notices": [{"rev": 2, "pool": [1]}]}, "a")]
        stand, told = await self.play(listed(1, 1, ("a", "Ready"), complete=True), *cut, *forms, whole)
        self.assertEqual(told, [{"a": READY}, {"a": GONE}])
        self.assertEqual(self.asked(stand), ["0", *["1"] * (len(cut) + len(forms) + 1), "2"])
        self.assertEqual(len(self.events("malformed")), len(cut) + len(forms))


class Lists(DaemonTestCase):
    async def test_a_whole_list_again_leaves_calls_and_connections_as_they_are(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        daemon.agent.list_changed(api.Scope.FULL, [self.desk(0, desk.address)])
        await asyncio.sleep(0)
        self.assertEqual((len(desk.peers), len(daemon.agent.lives)), (1, 1))

    async def test_an_empty_list_is_believed_and_calls_are_refused_at_once(self) -> None:
        # What is gone must get nothing new: serving on against the list would break the rule on drains.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        daemon.agent.list_changed(api.Scope.FULL, [])
        caller = await self.caller()
        caller.send(invite())
        self.assertEqual((await caller.next()).status, 503)
        daemon.agent.list_changed(api.Scope.FULL, [self.desk(0, desk.address)])
        await self.eventually(lambda: len(desk.peers) == 2)
