"""Consul's client where Consul is silent, slow, down, without a leader or begun anew: changes are known in time."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from seamlb.api import Availability
from seamlb.discovery.consul import Consul
from seamlb.discovery.consul_config import ConsulConfig
from tests.consul_server import ConsulServer
from tests.http_peers import DiscoveryTestCase

TOLD_WITHIN = 7.0  # seconds after a change (PROTOCOL, "Figures")
TOLD_AFTER_FAILURE = 6.0  # seconds after a failed or given-up query and Consul's return (operators' terms)
WAITS = (0.0, 0.01, 1.0, 2.0, 5.0, 30.0, 600.0)  # of the configuration, in seconds
MALFORMED_ENTRIES: tuple[dict[str, Any], ...] = (
    {"ServicePort": 99999},
    {"ServicePort": "none"},
    {"ServiceMeta": {"cell": "x"}},
    {"ServiceMeta": {"up_since_ms": "nan"}},
    {"ServiceMeta": 7},
    {"Checks": None},
    {"Checks": [{"CheckID": "c"}]},
)
BEFORE_CHANGE = 0.5  # seconds from a fault to the change


class ConsulFaults(DiscoveryTestCase):
    async def follow_consul(
        self, wait: float = 30.0, spoilt: dict[str, dict[str, Any]] | None = None, index: int = 10
    ) -> tuple[ConsulServer, list[tuple[float, dict[str, int]]]]:
        """Follow a server until both desks are known; returns it, and each list with the time it was published."""
        published: list[tuple[float, dict[str, int]]] = []
        server = ConsulServer(index, spoilt=spoilt or {})
        consul = Consul(
            ConsulConfig(await server.start(), "desk", wait),
            ["z"],
            lambda scope, desks: published.append((time.monotonic(), {d.ident: d.availability for d in desks})),
            seed=1,
        )
        await self.follow(consul, server)
        await self.eventually(lambda: published and len(server.queries) >= 4)
        return server, published

    async def told_after(
        self,
        wait: float,
        fault: Callable[[ConsulServer], object],
        mend: Callable[[ConsulServer], object],
        down: float,
    ) -> float:
        """Seconds from when Consul had a change and could be reached to when it was known; infinity if not in time.

        The fault begins 0.5 s before the change and is mended `down` seconds after it.
        """
        server, published = await self.follow_consul(wait)
        fault(server)
        await asyncio.sleep(BEFORE_CHANGE)
        server.mark_critical("a")
        await asyncio.sleep(down)
        reachable_at = time.monotonic()
        if asyncio.iscoroutine(mending := mend(server)):
            await mending
        known = {"n/a": Availability.DRAINING, "n/b": Availability.READY}
        while time.monotonic() < reachable_at + TOLD_WITHIN and published[-1][1] != known:
            await asyncio.sleep(0.02)
        lists = [desks for _, desks in published]
        # The last known desks stay in use, and nothing but the change is told.
        self.assertIn(lists, ([{"n/a": Availability.READY, "n/b": Availability.READY}], [lists[0], known]))
        return published[1][0] - reachable_at if len(published) == 2 else float("inf")

    async def assert_told(
        self,
        within: float,
        fault: Callable[[ConsulServer], object],
        mend: Callable[[ConsulServer], object] = lambda server: None,
        outages: tuple[float, ...] = (0.0,),
    ) -> None:
        cases = [(wait, down) for wait in WAITS for down in outages]
        told = await asyncio.gather(*(self.told_after(wait, fault, mend, down) for wait, down in cases))
        self.assertEqual({c: seconds for c, seconds in zip(cases, told, strict=True) if seconds > within}, {})

    # Review case 10: set-ups went to a critical desk while Consul's open watches were silent.
    async def test_a_change_is_known_in_time_while_the_open_queries_are_silent(self) -> None:
        await self.assert_told(TOLD_WITHIN, ConsulServer.fall_silent)

    # Review case 10, kin: an answer that stopped half way was waited for like a silent query.
    async def test_a_change_is_known_in_time_where_its_answer_stops_half_way(self) -> None:
        def cut(server: ConsulServer) -> None:
            server.cuts_answers = True

        def mend(server: ConsulServer) -> None:
            server.cuts_answers = False

        await self.assert_told(TOLD_WITHIN, cut, mend, (0.2,))

    # Review case 10, kin: a query of an index that went back is held for its whole wait.
    async def test_a_change_is_known_in_time_after_the_index_went_back(self) -> None:
        await self.assert_told(TOLD_WITHIN, ConsulServer.begin_anew)

    # Review case 10, kin: the pause after errors grew to 30 s.
    async def test_a_change_is_known_in_time_after_connections_were_refused(self) -> None:
        await self.assert_told(TOLD_AFTER_FAILURE, ConsulServer.stop, ConsulServer.start, (0.5, 4.0, 16.0))

    # Review case 10, kin: the pause after errors grew to 30 s.
    async def test_a_change_is_known_in_time_after_there_was_no_leader(self) -> None:
        def lose_leader(server: ConsulServer) -> None:
            server.has_leader = False
            server.notify()

        def elect_leader(server: ConsulServer) -> None:
            server.has_leader = True

        await self.assert_told(TOLD_AFTER_FAILURE, lose_leader, elect_leader, (0.5, 4.0, 16.0))

    # Review case 10, kin: a Consul that takes long to answer is heard, as the notice board is.
    async def test_a_change_is_known_where_each_answer_takes_long(self) -> None:
        def slow_down(server: ConsulServer) -> None:
            server.answer_after = 3.0

        await self.assert_told(TOLD_WITHIN, slow_down)

    # Queries overlap: an answer that was under way for long must not bring back what a newer one has changed.
    async def test_a_late_answer_of_a_silent_query_changes_nothing(self) -> None:
        server, published = await self.follow_consul()
        server.fall_silent()
        server.mark_critical("a")
        await self.eventually(lambda: len(published) == 2)
        server.thawed.set()
        queries = len(server.queries)
        await self.eventually(lambda: len(server.queries) > queries + 2)
        self.assertEqual(len(published), 2)

    # One malformed entry ended the parsing half way: it and the desks that were listed after it drained.
    async def test_a_malformed_entry_hides_no_change_of_the_other_desks(self) -> None:
        for spoilt in MALFORMED_ENTRIES:
            with self.subTest(spoilt=spoilt):
                server, published = await self.follow_consul()
                server.spoilt["b"] = spoilt
                server.mark_critical("a")
                await self.eventually(lambda published=published: len(published) == 2)
                self.assertEqual(published[1][1], {"n/a": Availability.DRAINING, "n/b": Availability.READY})

    # One malformed entry made the catalogue's answer unusable: an agent that started then knew no desk at all.
    async def test_a_malformed_entry_hides_no_other_desk_at_the_start(self) -> None:
        for spoilt in MALFORMED_ENTRIES:
            with self.subTest(spoilt=spoilt):
                server, published = await self.follow_consul(spoilt={"b": spoilt})
                self.assertEqual(published[0][1]["n/a"], Availability.READY)
                self.assertNotEqual(published[0][1].get("n/b"), Availability.READY)

    # An index of 0 was asked for again, which Consul answers at once: the agent asked without a pause.
    async def test_an_index_of_0_is_not_asked_for_without_a_pause(self) -> None:
        server, _ = await self.follow_consul(index=0)
        queries = len(server.queries)
        await asyncio.sleep(1.0)
        self.assertLessEqual(len(server.queries), queries + 2)
