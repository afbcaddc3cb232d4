"""Sources of the list of desks: a single source reports to the core directly, several are merged into one list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from seamlb.config import Config
from seamlb.discovery.board import Board
from seamlb.discovery.consul import MAX_CONNECTIONS, Consul
from seamlb.extras import Plugins
from seamlb.routing.agent import Agent
from seamlb.routing.model import DeskListCallback, Discovery
from seamlb.subsystems import Subsystem

FIRST_LIST_WAIT_S = 1.5  # how long the first list waits for sources that have not reported


class DiscoverySubsystem(Subsystem):
    """The notice board, and Consul if `[consul]` is configured."""

    def __init__(self, config: Config, plugins: Plugins, agent: Agent) -> None:
        self.start_merged: Callable[[], None] | None = None
        to_board: DeskListCallback = agent.list_changed
        to_consul = to_board
        if plugins.consul:  # a board may be added on SIGHUP
            to_board, to_consul = self._merge(agent.list_changed, bool(config.board or config.known))
        self.board = Board(config.board, config.zones, to_board, skip_first_wait=config.inherited is not None)
        self.sources: list[Discovery] = [self.board]
        self.connections_beside_board = MAX_CONNECTIONS if plugins.consul else 0
        if plugins.consul:
            self.sources.append(Consul(plugins.consul, config.zones, to_consul, config.seed))

    def _merge(self, on_change: DeskListCallback, board: bool) -> tuple[DeskListCallback, DeskListCallback]:
        # Imported only for two sources: a daemon without plug-ins has one.
        from seamlb.agree.desk_list_merger import DeskListMerger

        merged = DeskListMerger(("board", "consul"), ("board", "consul") if board else ("consul",), on_change)
        self.start_merged = merged.publish_first
        return merged.callback("board"), merged.callback("consul")

    def background_tasks(self) -> list[Coroutine[None, None, None]]:
        """The start of the merged list, if there are several sources."""
        return [self._start_after_wait(self.start_merged)] if self.start_merged else []

    async def _start_after_wait(self, start: Callable[[], None]) -> None:
        await asyncio.sleep(FIRST_LIST_WAIT_S)
        start()
