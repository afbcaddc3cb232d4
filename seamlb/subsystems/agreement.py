"""Versions of a site's rules on which its agents agree."""

from __future__ import annotations

from collections.abc import Coroutine, Mapping
from dataclasses import replace

from seamlb.agree.service import AgreementService
from seamlb.agree.settings import AgreeSettings
from seamlb.config import Config
from seamlb.extras import Plugins
from seamlb.routing.agent import Agent
from seamlb.subsystems import Command, Subsystem, View


class AgreeSubsystem(Subsystem):
    """`[agree]`."""

    RELOADABLE = ("agree",)

    def __init__(self, config: Config, table: AgreeSettings, agent: Agent) -> None:
        self.table = table
        self.service = AgreementService(table, config.name, config.zones, agent.refresh)
        agent.filter_chain.filters.append(self.service.enforcer)
        agent.refresh()

    def views(self) -> Mapping[str, View]:
        """The version in force and the state of the agreement."""
        return {"/admin/agree": self.service.status}

    def commands(self) -> Mapping[str, Command]:
        """Proposals by operators."""
        return {"/admin/agree/propose": self.service.propose}

    def background_tasks(self) -> list[Coroutine[None, None, None]]:
        """The protocol with the other agents."""
        return [self.service.run()]

    def check(self, plugins: Plugins) -> list[str]:
        """Only keys are reloaded; any other change needs a restart."""
        new = plugins.agree
        if new is None:
            return ["agree"]
        return (
            []
            if replace(new, accepted_keys=self.table.accepted_keys, signing_key=self.table.signing_key) == self.table
            else ["agree"]
        )

    def reload(self, config: Config, plugins: Plugins) -> None:
        """Apply new keys."""
        if plugins.agree:
            self.service.rotate(plugins.agree.accepted_keys, plugins.agree.signing_key)

    async def close(self) -> None:
        """Close the sockets and release the folder."""
        self.service.close()
