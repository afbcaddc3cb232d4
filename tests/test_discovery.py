"""The notice board and Consul, against stand-ins that answer HTTP as their pages say."""

import asyncio
from typing import Any

from seamlb import api
from seamlb.discovery.board import Board
from seamlb.discovery.consul import Consul, ConsulConfig
from seamlb.protocol.http import HttpError, ResponseReader
from tests.http_peers import DiscoveryTestCase, ScriptedHttpServer, http, notices
from tests.loopback import DaemonTestCase


class Discovery(DiscoveryTestCase):
    async def test_the_board_is_polled_on_and_reconnected_to(self) -> None:
        told: list[tuple[int, dict[str, int]]] = []

        async def handler(stand: ScriptedHttpServer, path: str) -> bytes | None:
            match len(stand.paths):
                case 1:
                    return http(notices(2, ("a", "Ready"), complete=True))
                case 2:
                    return http(notices(3, ("a", "Terminating")))
                case 3:
                    return None  # the connection ends
                case 4:
                    return b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"
                case 5:
                    return http(notices(4, ("a", "Gone")))
            await asyncio.Event().wait()
            return None

        stand = ScriptedHttpServer(handler)
        board = Board(
            await stand.start(),
            ["z"],
            lambda scope, desks: told.append((scope, {one.ident: one.availability for one in desks})),
        )
        await self.follow(board, stand)
        await self.eventually(lambda: len(stand.paths) == 6)
        self.assertEqual(
            told,
            [
                (api.Scope.CACHED, {"a": api.Availability.READY}),
                (api.Scope.DELTA, {"a": api.Availability.DRAINING}),
                (api.Scope.DELTA, {"a": api.Availability.GONE}),
            ],
        )
        self.assertEqual([path.split("watch=")[1][0] for path in stand.paths], ["0", "2", "3", "3", "3", "4"])
        self.assertEqual([one["reason"] for one in self.events("connection_end")], ["peer_closed", "malformed"])

    async def test_a_silent_poll_is_bounded(self) -> None:
        async def handler(stand: ScriptedHttpServer, path: str) -> bytes | None:
            await asyncio.Event().wait()
            return None

        stand = ScriptedHttpServer(handler)
        board = Board(await stand.start(), [], lambda scope, desks: None)
        await self.follow(board, stand)
        await self.eventually(lambda: len(stand.paths) == 2)
        self.assertEqual(self.events("connection_end")[0]["reason"], "silent")

    async def test_a_move_leaves_whatever_is_under_way_and_the_numbers_continue(self) -> None:
        async def first(stand: ScriptedHttpServer, path: str) -> bytes | None:
            if len(stand.paths) == 1:
                return http(notices(7, ("a", "Ready"), complete=True))
            await asyncio.Event().wait()  # a poll is out for as long as it may be
            return None

        async def second(stand: ScriptedHttpServer, path: str) -> bytes | None:
            if len(stand.paths) == 1:
                return http(notices(8, ("a", "Gone")))
            await asyncio.Event().wait()
            return None

        told: list[int] = []
        old, new = ScriptedHttpServer(first), ScriptedHttpServer(second)
        board = Board(await old.start(), ["z"], lambda scope, desks: told.append(desks[0].availability))
        await self.follow(board, old)
        await self.eventually(lambda: len(old.paths) == 2)
        board.set_address(await new.start())
        self.addCleanup(new.server.close)
        await self.eventually(lambda: len(new.paths) == 2)
        self.assertEqual([path.split("watch=")[1][0] for path in new.paths], ["7", "8"])
        self.assertEqual(told, [api.Availability.READY, api.Availability.GONE])
        self.assertEqual([one["reason"] for one in self.events("connection_end")], ["replaced"])

    async def test_consul_joins_catalogue_and_health_and_backs_off_on_errors(self) -> None:
        told: list[tuple[int, dict[str, int]]] = []
        pauses: list[float] = []
        state = {"catalog": 0, "health": 0}
        more = asyncio.Event()

        def instance(name: str, port: int) -> dict[str, Any]:
            return {
                "Node": "n",
                "ServiceID": name,
                "Address": "127.0.0.1",
                "ServiceAddress": "",
                "ServicePort": port,
                "ServiceMeta": {"cell": "2", "zone": "z"},
            }

        def health(name: str, status: str) -> dict[str, Any]:
            return {"Node": {"Node": "n"}, "Service": {"ID": name}, "Checks": [{"Status": status}]}

        async def handler(stand: ScriptedHttpServer, path: str) -> bytes | None:
            kind = path.split("/")[2]
            state[kind] += 1
            if kind == "catalog":
                if state[kind] == 1:
                    return http([instance("a", 1), instance("b", 2)], 7)
                await asyncio.Event().wait()
            match state[kind]:
                case 1 | 2:
                    return http("no leader", status=500)
                case 3:
                    return http([health("a", "passing"), health("b", "critical")], 9)
                case 4:
                    await more.wait()
                    return http([health("a", "passing"), health("b", "passing")], 5)  # the index went back
            await asyncio.Event().wait()
            return None

        async def sleep(seconds: float) -> None:
            pauses.append(seconds)

        stand = ScriptedHttpServer(handler)
        config = ConsulConfig(await stand.start(), "duty desk")
        consul = Consul(
            config,
            ["z"],
            lambda scope, desks: told.append((scope, {one.ident: one.availability for one in desks})),
            seed=1,
            sleep=sleep,
        )
        await self.follow(consul, stand)
        await self.eventually(lambda: told)
        first = {"n/a": api.Availability.READY, "n/b": api.Availability.DRAINING}
        self.assertEqual(told[0], (api.Scope.CACHED, first))
        more.set()
        await self.eventually(lambda: state["health"] == 5)
        self.assertEqual(told[1:], [(api.Scope.FULL, {"n/a": 1, "n/b": 1})])
        self.assertEqual(len(pauses), 2)
        self.assertTrue(0.25 <= pauses[0] <= 0.5 <= pauses[1] <= 1.0)
        asked = [path.split("index=")[1].split("&")[0] for path in stand.paths if "/health/" in path]
        self.assertEqual(asked, ["0", "0", "0", "9", "0"])
        self.assertIn("/v1/catalog/service/duty%20desk?", stand.paths[0] + stand.paths[1])
        (desk, _) = sorted(consul.instances.values(), key=lambda one: one.ident)
        self.assertEqual((desk.address, desk.cell), ("127.0.0.1:1", 2))


class Http(DaemonTestCase):
    def test_chunks_interim_answers_and_pieces(self) -> None:
        data = (
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\nHTTP/1.1 204 No\r\nConnection: close\r\n\r\n"
        )
        reader, told = ResponseReader(), []
        for place in range(len(data)):
            if answer := reader.feed(data[place : place + 1]):
                told.append((answer.status, answer.body, answer.keep_alive))
        self.assertEqual(told, [(200, b"abcde", True), (204, b"", False)])

    def test_what_is_no_answer_raises(self) -> None:
        for bad in (
            b"SIP/2.0 200 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\n",
            b"x" * 20000,
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        ):
            with self.assertRaises(HttpError):
                ResponseReader().feed(bad)
