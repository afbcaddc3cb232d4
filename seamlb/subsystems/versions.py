"""Agreed versions of a site's rules."""

from __future__ import annotations

from collections.abc import Coroutine, Mapping
from dataclasses import replace

from seamlb.agree.link import AgreementService
from seamlb.agree.table import AgreeSettings
from seamlb.config import Config
from seamlb.extras import Plugins
from seamlb.routing.agent import Agent
from seamlb.subsystems import Order, Subsystem, Table


class VersionsPart(Subsystem):
    """`[agree]`."""

    TAKES = ("agree",)

    def __init__(self, config: Config, table: AgreeSettings, agent: Agent) -> None:
        self.table = table
        self.link = AgreementService(table, config.name, config.zones, agent.refresh)
        agent.filter_chain.filters.append(self.link.enforcer)
        agent.refresh()

    def tables(self) -> Mapping[str, Table]:
        """What is acted on, for operators."""
        return {"/admin/agree": self.link.status}

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
        return (
            []
            if replace(new, accepted_keys=self.table.accepted_keys, signing_key=self.table.signing_key) == self.table
            else ["agree"]
        )

    def reload(self, config: Config, plugins: Plugins) -> None:
        """Take new keys."""
        if plugins.agree:
            self.link.rotate(plugins.agree.accepted_keys, plugins.agree.signing_key)

    async def close(self) -> None:
        """Close the sockets and let go of the folder."""
        self.link.close()
