"""One desk list from a notice board and Consul: neither removes the desks of the other."""

import asyncio
from collections.abc import Sequence

from seamlb.agree.desk_list_merger import DeskListMerger
from seamlb.api import Availability, Scope
from seamlb.daemon import Daemon
from seamlb.discovery.consul import ConsulConfig
from seamlb.extras import Plugins
from seamlb.routing.model import Desk
from tests.http_peers import ScriptedHttpServer, http, notices
from tests.loopback import DaemonTestCase, config

READY, DRAINING, GONE = Availability.READY, Availability.DRAINING, Availability.GONE


def desk(name: str, state: Availability = READY, address: str = "h:1") -> Desk:
    return Desk(name, address, 0, 0, state, 0.0)


class Recorder:
    def __init__(self, *required: str) -> None:
        self.published: list[tuple[Scope, dict[str, int]]] = []
        self.merged = DeskListMerger(("board", "consul"), required or ("board", "consul"), self.changed)
        self.board, self.consul = self.merged.callback("board"), self.merged.callback("consul")

    def changed(self, scope: Scope, desks: Sequence[Desk]) -> None:
        self.published.append((scope, {desk.ident: desk.availability for desk in desks}))

    @property
    def last(self) -> tuple[Scope, dict[str, int]]:
        return self.published[-1]


def test_a_complete_list_removes_only_desks_of_its_own_source() -> None:
    recorder = Recorder()
    recorder.board(Scope.CACHED, [desk("a"), desk("b")])
    assert not recorder.published  # the other source may drain one of them
    recorder.consul(Scope.CACHED, [desk("b", DRAINING), desk("c")])
    assert recorder.last == (Scope.CACHED, {"a": READY, "b": DRAINING, "c": READY})
    recorder.consul(Scope.FULL, [desk("b")])
    assert recorder.last == (Scope.DELTA, {"b": READY, "c": GONE})
    recorder.board(Scope.DELTA, [desk("b", GONE)])
    assert len(recorder.published) == 2  # Consul still lists it, unchanged
    recorder.board(Scope.DELTA, [desk("a", DRAINING)])
    assert recorder.last == (Scope.DELTA, {"a": DRAINING})
    recorder.consul(Scope.FULL, [desk("a")])
    assert recorder.last == (Scope.DELTA, {"b": GONE})  # a still drains: the strictest status wins
    recorder.board(Scope.DELTA, [desk("a", GONE)])
    assert recorder.last == (Scope.DELTA, {"a": READY})
    recorder.consul(Scope.FAILED, [])
    assert len(recorder.published) == 5


def test_the_first_list_does_not_wait_forever_and_addresses_come_from_the_first_source() -> None:
    recorder = Recorder()
    recorder.merged.publish_first()
    assert not recorder.published
    recorder.consul(Scope.CACHED, [desk("a", READY, "consul:1")])
    recorder.merged.publish_first()
    recorder.merged.publish_first()
    assert recorder.published == [(Scope.CACHED, {"a": READY})]
    recorder.board(Scope.CACHED, [desk("a", READY, "board:1")])
    assert recorder.merged.published["a"].address == "board:1"
    single = Recorder("consul")
    single.consul(Scope.CACHED, [desk("a")])
    assert single.last == (Scope.CACHED, {"a": READY})


class Both(DaemonTestCase):
    async def test_a_daemon_uses_the_desks_of_both_and_drains_those_that_either_drains(self) -> None:
        release = asyncio.Event()
        draining: list[str] = []

        async def board(server: ScriptedHttpServer, path: str) -> bytes | None:
            if "watch=0" in path:
                return http(notices(1, ("a", "Ready"), ("both", "Ready"), complete=True))
            await release.wait()
            return http(notices(2, ("both", "Terminating"))) if "watch=1" in path else await asyncio.Event().wait()

        async def consul(server: ScriptedHttpServer, path: str) -> bytes | None:
            if "index=0" not in path:
                await asyncio.Event().wait()
            node = {
                "Node": "n",
                "ServiceID": "c",
                "ServiceAddress": "127.0.0.1",
                "Address": "127.0.0.1",
                "ServicePort": 9,
                "ServiceMeta": {},
            }
            checks = [{"Node": {"Node": "n"}, "Service": {"ID": "c"}, "Checks": [{"Status": "passing"}]}]
            return http([node] if "catalog" in path else checks, index=1)

        servers = [ScriptedHttpServer(board), ScriptedHttpServer(consul)]
        addresses = [await server.start() for server in servers]
        daemon = Daemon(config(board=addresses[0]), Plugins(consul=ConsulConfig(addresses[1], "desks")))
        await daemon.start()

        async def stop() -> None:
            await daemon.close()
            for server in servers:
                server.server.close()

        self.addAsyncCleanup(stop)
        await self.eventually(lambda: daemon.agent.listed.keys() == {"a", "both", "n/c"})
        self.assertEqual({desk.availability for desk in daemon.agent.listed.values()}, {READY})
        release.set()
        await self.eventually(lambda: daemon.agent.listed["both"].availability == DRAINING)
        draining += [name for name, desk in daemon.agent.listed.items() if desk.availability == DRAINING]
        self.assertEqual(draining, ["both"])
