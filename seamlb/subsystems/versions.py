"""Agreed versions of a site's rules."""

from __future__ import annotations

from collections.abc import Coroutine, Mapping
from dataclasses import replace

from seamlb.agree.link import AgreeLink
from seamlb.agree.table import Agreed
from seamlb.config import Config
from seamlb.extras import Plugins
from seamlb.routing.agent import Agent
from seamlb.subsystems import Order, Subsystem, Table


class VersionsPart(Subsystem):
    """`[agree]`."""

    TAKES = ("agree",)

    def __init__(self, config: Config, table: Agreed, agent: Agent) -> None:
        self.table = table
        self.link = AgreeLink(table, config.name, config.zones, agent.refresh)
        agent.filter_chain.filters.append(self.link.acting)
        agent.refresh()

    def tables(self) -> Mapping[str, Table]:
        """What is acted on, for operators."""
        return {"/admin/agree": self.link.table}

    def orders(self) -> Mapping[str, Order]:
        """Proposals of operators."""
        return {"/admin/agree/propose": self.link.propose}

    def runs(self) -> list[Coroutine[None, None, None]]:
        """The part that talks to the other agents."""
        return [self.link.run()]

    def check(self, plugins: Plugins) -> list[str]:
        """Keys are taken over; what else is new waits."""
        new = plugins.agree
        if new is None:
            return ["agree"]
        return [] if replace(new, taken=self.table.taken, send=self.table.send) == self.table else ["agree"]

    def reload(self, config: Config, plugins: Plugins) -> None:
        """Take new keys."""
        if plugins.agree:
            self.link.rotate(plugins.agree.taken, plugins.agree.send)

    async def close(self) -> None:
        """Close the sockets and let go of the folder."""
        self.link.close()
