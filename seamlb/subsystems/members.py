"""Membership: which other agents are alive, and the number of agents that share fleet-wide limits."""

from __future__ import annotations

from collections.abc import Coroutine, Mapping

from seamlb import __version__, log
from seamlb.config import Config
from seamlb.extras import Plugins
from seamlb.members.service import MembershipService
from seamlb.members.settings import MemberKeys, MembersConfig
from seamlb.routing.agent import Agent
from seamlb.subsystems import Subsystem, View


class MembersSubsystem(Subsystem):
    """`[members]`."""

    RELOADABLE = ("member_keys",)

    def __init__(self, config: Config, table: MembersConfig, keys: MemberKeys, agent: Agent) -> None:
        self.membership = MembershipService(
            table, keys, config.name, config.settings.instances, config.inherited is not None, agent.set_instances
        )
        self.membership.set_metadata(
            f"{__version__} {config.zones[config.settings.zone] if config.zones else ''}".encode()[:32]
        )

    def views(self) -> Mapping[str, View]:
        """The members of the fleet."""
        return {"/admin/members": self.membership.table}

    async def bind(self) -> None:
        """Open the socket, unless the process that this one replaces still has it."""
        if not await self.membership.start():
            log.event("peers_wait", address=self.membership.config.udp)

    def background_tasks(self) -> list[Coroutine[None, None, None]]:
        """The gossip protocol."""
        return [self.membership.run()]

    def reload(self, config: Config, plugins: Plugins) -> None:
        """Apply new keys."""
        if plugins.member_keys:
            self.membership.rotate_keys(plugins.member_keys)

    def on_drain(self) -> None:
        """Announce to the other members that this process leaves."""
        self.membership.leave()

    async def close(self) -> None:
        """Close the socket."""
        self.membership.close()
