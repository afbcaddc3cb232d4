"""The notice board and Consul clients, against scripted HTTP servers."""

import asyncio
import time
from typing import Any

from seamlb import api
from seamlb.discovery.board import Board
from seamlb.discovery.consul import Consul
from seamlb.discovery.consul_config import ConsulConfig
from seamlb.discovery.polls import POLL_WAIT, SILENCE_MARGIN
from seamlb.protocol.http import HttpError, ResponseReader
from tests.http_peers import DiscoveryTestCase, ScriptedHttpServer, http, notices
from tests.loopback import DaemonTestCase


class DiscoveryClients(DiscoveryTestCase):
    async def test_the_board_is_polled_repeatedly_and_reconnected(self) -> None:
        published: list[tuple[int, dict[str, int]]] = []

        async def handler(server: ScriptedHttpServer, path: str) -> bytes | None:
            match len(server.paths):
                case 1:
                    return http(notices(2, ("a", "Ready"), complete=True))
                case 2:
                    return http(notices(3, ("a", "Terminating")))
                case 3:
                    return None  # closes the connection
                case 4:
                    return b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"
                case 5:
                    return http(notices(4, ("a", "Gone")))
            await asyncio.Event().wait()
            return None

        server = ScriptedHttpServer(handler)
        board = Board(
            await server.start(),
            ["z"],
            lambda scope, desks: published.append((scope, {one.ident: one.availability for one in desks})),
        )
        await self.follow(board, server)
        await self.eventually(lambda: len(server.paths) == 6)
        self.assertEqual(
            published,
            [
                (api.Scope.CACHED, {"a": api.Availability.READY}),
                (api.Scope.DELTA, {"a": api.Availability.DRAINING}),
                (api.Scope.DELTA, {"a": api.Availability.GONE}),
            ],
        )
        self.assertEqual([path.split("watch=")[1][0] for path in server.paths], ["0", "2", "3", "3", "3", "4"])
        self.assertEqual([one["reason"] for one in self.events("connection_end")], ["peer_closed", "malformed"])

    async def test_a_poll_without_response_is_followed_by_another_and_still_counts(self) -> None:
        answering = asyncio.Event()

        async def handler(server: ScriptedHttpServer, path: str) -> bytes | None:
            first = len(server.paths) == 1
            await (answering if first else asyncio.Event()).wait()
            return http(notices(2, ("a", "Ready"), complete=True))

        server, published = ScriptedHttpServer(handler), list[object]()
        board = Board(await server.start(), [], lambda scope, desks: published.append(scope))
        started_at = asyncio.get_running_loop().time()
        await self.follow(board, server)
        await self.eventually(lambda: len(server.paths) == 2)
        self.assertLess(asyncio.get_running_loop().time() - started_at, POLL_WAIT + SILENCE_MARGIN + 0.5)
        self.assertEqual([one["why"] for one in self.events("poll_failed")], ["silent"])
        answering.set()
        await self.eventually(lambda: published)

    async def test_a_new_address_interrupts_the_poll_and_event_numbers_continue(self) -> None:
        async def first(server: ScriptedHttpServer, path: str) -> bytes | None:
            if len(server.paths) == 1:
                return http(notices(7, ("a", "Ready"), complete=True))
            await asyncio.Event().wait()  # hold the poll
            return None

        async def second(server: ScriptedHttpServer, path: str) -> bytes | None:
            if len(server.paths) == 1:
                return http(notices(8, ("a", "Gone")))
            await asyncio.Event().wait()
            return None

        published: list[int] = []
        old, new = ScriptedHttpServer(first), ScriptedHttpServer(second)
        board = Board(await old.start(), ["z"], lambda scope, desks: published.append(desks[0].availability))
        await self.follow(board, old)
        await self.eventually(lambda: len(old.paths) == 2)
        board.set_address(await new.start())
        self.addCleanup(new.server.close)
        await self.eventually(lambda: len(new.paths) == 2)
        self.assertEqual([path.split("watch=")[1][0] for path in new.paths], ["7", "8"])
        self.assertEqual(published, [api.Availability.READY, api.Availability.GONE])
        self.assertEqual([one["reason"] for one in self.events("connection_end")], ["replaced"])

    async def test_consul_joins_catalogue_and_health_and_backs_off_on_errors(self) -> None:
        published: list[tuple[int, dict[str, int]]] = []
        requests = {"catalog": 0, "health": 0}
        asked_at: list[float] = []  # times of the queries of the health API
        recovered = asyncio.Event()

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

        async def handler(server: ScriptedHttpServer, path: str) -> bytes | None:
            api_name = path.split("/")[2]
            requests[api_name] += 1
            if api_name == "catalog":
                if requests[api_name] == 1:
                    return http([instance("a", 1), instance("b", 2)], 7)
                await asyncio.Event().wait()
            asked_at.append(time.monotonic())
            match requests[api_name]:
                case 1 | 2:
                    return http("no leader", status=500)
                case 3:
                    return http([health("a", "passing"), health("b", "critical")], 9)
                case 4:
                    await recovered.wait()
                    return http([health("a", "passing"), health("b", "passing")], 5)  # the index went back
            await asyncio.Event().wait()
            return None

        server = ScriptedHttpServer(handler)
        config = ConsulConfig(await server.start(), "duty desk")
        consul = Consul(
            config,
            ["z"],
            lambda scope, desks: published.append((scope, {one.ident: one.availability for one in desks})),
            seed=1,
        )
        await self.follow(consul, server)
        await self.eventually(lambda: published)
        first = {"n/a": api.Availability.READY, "n/b": api.Availability.DRAINING}
        self.assertEqual(published[0], (api.Scope.CACHED, first))
        recovered.set()
        await self.eventually(lambda: requests["health"] == 5)
        self.assertEqual(published[1:], [(api.Scope.FULL, {"n/a": 1, "n/b": 1})])
        pauses = [one["retry_in_s"] for one in self.events("consul_error") if "/health/" in one["path"]]
        self.assertEqual(len(pauses), 2)
        self.assertTrue(0.25 <= pauses[0] <= 0.5 <= pauses[1] <= 1.0)
        self.assertGreaterEqual(asked_at[1] - asked_at[0], pauses[0] - 0.001)  # the log rounds to milliseconds
        self.assertGreaterEqual(asked_at[2] - asked_at[1], pauses[1] - 0.001)
        indexes = [path.split("index=")[1].split("&")[0] for path in server.paths if "/health/" in path]
        self.assertEqual(indexes, ["0", "0", "0", "9", "0"])
        self.assertIn("/v1/catalog/service/duty%20desk?", server.paths[0] + server.paths[1])
        (desk, _) = sorted(consul.list.instances.values(), key=lambda one: one.ident)
        self.assertEqual((desk.address, desk.cell), ("127.0.0.1:1", 2))


class HttpResponses(DaemonTestCase):
    def test_chunked_and_interim_responses_read_byte_by_byte(self) -> None:
        data = (
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\nHTTP/1.1 204 No\r\nConnection: close\r\n\r\n"
        )
        reader, responses = ResponseReader(), []
        for index in range(len(data)):
            if response := reader.feed(data[index : index + 1]):
                responses.append((response.status, response.body, response.keep_alive))
        self.assertEqual(responses, [(200, b"abcde", True), (204, b"", False)])

    def test_invalid_responses_raise(self) -> None:
        for bad in (
            b"SIP/2.0 200 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\n",
            b"x" * 20000,
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        ):
            with self.assertRaises(HttpError):
                ResponseReader().feed(bad)
