"""Membership: who else is alive, and by how many fleet-wide limits are divided."""

from __future__ import annotations

from collections.abc import Coroutine, Mapping

from seamlb import __version__, log
from seamlb.config import Config
from seamlb.extras import Plugins
from seamlb.members.link import MembershipService
from seamlb.members.table import MemberKeys, MembersConfig
from seamlb.routing.agent import Agent
from seamlb.subsystems import Subsystem, Table


class FleetPart(Subsystem):
    """`[members]`."""

    TAKES = ("member_keys",)

    def __init__(self, config: Config, table: MembersConfig, keys: MemberKeys, agent: Agent) -> None:
        self.link = MembershipService(
            table, keys, config.name, config.settings.instances, config.inherited is not None, agent.set_instances
        )
        self.link.set_metadata(
            f"{__version__} {config.zones[config.settings.zone] if config.zones else ''}".encode()[:32]
        )

    def tables(self) -> Mapping[str, Table]:
        """The members, for operators."""
        return {"/admin/members": self.link.table}

    async def bind(self) -> None:
        """Open the socket; another process may still have it."""
        if not await self.link.start():
            log.event("peers_wait", address=self.link.config.udp)

    def runs(self) -> list[Coroutine[None, None, None]]:
        """The gossip."""
        return [self.link.run()]

    def reload(self, config: Config, plugins: Plugins) -> None:
        """Take new keys."""
        if plugins.member_keys:
            self.link.rotate_keys(plugins.member_keys)

    def leave(self) -> None:
        """Tell the others that this process goes."""
        self.link.leave()

    async def close(self) -> None:
        """Close the socket."""
        self.link.close()
