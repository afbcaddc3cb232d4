"""One list for an agent that follows a notice board and Consul: neither takes the other's desks off."""

import asyncio
from collections.abc import Sequence

from seamlb.agree.merged import DeskListMerger
from seamlb.api import Availability, Scope
from seamlb.daemon import Daemon
from seamlb.discovery.consul import ConsulConfig
from seamlb.extras import Plugins
from seamlb.routing.model import Desk
from tests.http_peers import ScriptedHttpServer, http, notices
from tests.loopback import DaemonTestCase, config

READY, DRAINS, GONE = Availability.READY, Availability.DRAINING, Availability.GONE


def desk(name: str, state: Availability = READY, address: str = "h:1") -> Desk:
    return Desk(name, address, 0, 0, state, 0.0)


class Told:
    def __init__(self, *awaited: str) -> None:
        self.news: list[tuple[Scope, dict[str, int]]] = []
        self.merged = DeskListMerger(("board", "consul"), awaited or ("board", "consul"), self.changed)
        self.board, self.consul = self.merged.callback("board"), self.merged.callback("consul")

    def changed(self, scope: Scope, desks: Sequence[Desk]) -> None:
        self.news.append((scope, {one.ident: one.availability for one in desks}))

    @property
    def last(self) -> tuple[Scope, dict[str, int]]:
        return self.news[-1]


def test_a_whole_list_of_one_source_takes_off_its_own_desks_alone() -> None:
    told = Told()
    told.board(Scope.CACHED, [desk("a"), desk("b")])
    assert not told.news  # the other may hold one of them
    told.consul(Scope.CACHED, [desk("b", DRAINS), desk("c")])
    assert told.last == (Scope.CACHED, {"a": READY, "b": DRAINS, "c": READY})
    told.consul(Scope.FULL, [desk("b")])
    assert told.last == (Scope.DELTA, {"b": READY, "c": GONE})
    told.board(Scope.DELTA, [desk("b", GONE)])
    assert len(told.news) == 2  # Consul names it still, as it was
    told.board(Scope.DELTA, [desk("a", DRAINS)])
    assert told.last == (Scope.DELTA, {"a": DRAINS})
    told.consul(Scope.FULL, [desk("a")])
    assert told.last == (Scope.DELTA, {"b": GONE})  # and a drains on: the strictest word holds
    told.board(Scope.DELTA, [desk("a", GONE)])
    assert told.last == (Scope.DELTA, {"a": READY})
    told.consul(Scope.FAILED, [])
    assert len(told.news) == 5


def test_a_silent_source_is_not_waited_for_for_ever_and_the_first_one_says_where_a_desk_is() -> None:
    told = Told()
    told.merged.publish_first()
    assert not told.news
    told.consul(Scope.CACHED, [desk("a", READY, "consul:1")])
    told.merged.publish_first()
    told.merged.publish_first()
    assert told.news == [(Scope.CACHED, {"a": READY})]
    told.board(Scope.CACHED, [desk("a", READY, "board:1")])
    assert told.merged.published["a"].address == "board:1"
    alone = Told("consul")
    alone.consul(Scope.CACHED, [desk("a")])
    assert alone.last == (Scope.CACHED, {"a": READY})


class Both(DaemonTestCase):
    async def test_a_daemon_has_the_desks_of_both_and_drains_what_either_drains(self) -> None:
        release = asyncio.Event()
        drains: list[str] = []

        async def board(stand: ScriptedHttpServer, path: str) -> bytes | None:
            if "watch=0" in path:
                return http(notices(1, ("a", "Ready"), ("both", "Ready"), complete=True))
            await release.wait()
            return http(notices(2, ("both", "Terminating"))) if "watch=1" in path else await asyncio.Event().wait()

        async def consul(stand: ScriptedHttpServer, path: str) -> bytes | None:
            if "index=0" not in path:
                await asyncio.Event().wait()
            one = {
                "Node": "n",
                "ServiceID": "c",
                "ServiceAddress": "127.0.0.1",
                "Address": "127.0.0.1",
                "ServicePort": 9,
                "ServiceMeta": {},
            }
            checks = [{"Node": {"Node": "n"}, "Service": {"ID": "c"}, "Checks": [{"Status": "passing"}]}]
            return http([one] if "catalog" in path else checks, index=1)

        stands = [ScriptedHttpServer(board), ScriptedHttpServer(consul)]
        addresses = [await one.start() for one in stands]
        daemon = Daemon(config(board=addresses[0]), Plugins(consul=ConsulConfig(addresses[1], "desks")))
        await daemon.start()

        async def stop() -> None:
            await daemon.close()
            for one in stands:
                one.server.close()

        self.addAsyncCleanup(stop)
        await self.eventually(lambda: daemon.agent.listed.keys() == {"a", "both", "n/c"})
        self.assertEqual({one.availability for one in daemon.agent.listed.values()}, {READY})
        release.set()
        await self.eventually(lambda: daemon.agent.listed["both"].availability == DRAINS)
        drains += [name for name, one in daemon.agent.listed.items() if one.availability == DRAINS]
        self.assertEqual(drains, ["both"])
