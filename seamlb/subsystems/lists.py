"""Where the list of desks comes from: one source tells the core itself, several are made one list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from seamlb.config import Config
from seamlb.discovery.board import Board
from seamlb.discovery.consul import Consul
from seamlb.extras import Plugins
from seamlb.routing.agent import Agent
from seamlb.routing.model import DeskListCallback, Discovery
from seamlb.subsystems import Subsystem

KNOW = 1.5  # seconds that the first list waits for the sources that are silent


class ListsPart(Subsystem):
    """The notice board, and Consul where `[consul]` names it."""

    def __init__(self, config: Config, plugins: Plugins, agent: Agent) -> None:
        self.begin_list: Callable[[], None] | None = None
        to_board: DeskListCallback = agent.list_changed
        to_consul = to_board
        if plugins.consul:  # a board may come at SIGHUP
            to_board, to_consul = self._merged(agent.list_changed, bool(config.board or config.known))
        self.board = Board(config.board, config.zones, to_board, skip_first_wait=config.inherited is not None)
        self.members: list[Discovery] = [self.board]
        if plugins.consul:
            self.members.append(Consul(plugins.consul, config.zones, to_consul, config.seed))

    def _merged(self, changed: DeskListCallback, board: bool) -> tuple[DeskListCallback, DeskListCallback]:
        # Imported where there are two: the platform's path has one.
        from seamlb.agree.merged import DeskListMerger

        merged = DeskListMerger(("board", "consul"), ("board", "consul") if board else ("consul",), changed)
        self.begin_list = merged.publish_first
        return merged.callback("board"), merged.callback("consul")

    def runs(self) -> list[Coroutine[None, None, None]]:
        """The first list's fetch, where there is one."""
        return [self._begin(self.begin_list)] if self.begin_list else []

    async def _begin(self, begin: Callable[[], None]) -> None:
        await asyncio.sleep(KNOW)
        begin()
