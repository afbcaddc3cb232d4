"""The interface between the daemon and its subsystems: start, periodic tasks, views, reload and stop.

A subsystem that the configuration does not enable is not built, and its modules are not imported. Subsystems are
started, reloaded on SIGHUP and stopped in the order of `build`.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Mapping
from typing import TYPE_CHECKING, Any

from seamlb.config import Config
from seamlb.extras import Plugins
from seamlb.routing.agent import Agent

if TYPE_CHECKING:
    from seamlb.subsystems.plugins import PluginsSubsystem

View = Callable[[], Mapping[str, Any]]
Command = Callable[[str], str]  # takes the operator's argument; returns the reason of a refusal, or an empty text


class Subsystem:
    """One part of the daemon; this base class does nothing."""

    RELOADABLE: tuple[str, ...] = ()  # fields of Config and Plugins that it applies on SIGHUP
    settings_need_restart = False  # True if it is bound to the classes at the start

    def views(self) -> Mapping[str, View]:
        """Statistics at the management address, by path."""
        return {}

    def commands(self) -> Mapping[str, Command]:
        """Operator commands at the management address, by path."""
        return {}

    async def bind(self) -> None:
        """Bind addresses, before callers are accepted; an OSError makes the start fail."""

    def background_tasks(self) -> list[Coroutine[None, None, None]]:
        """Coroutines that run until the daemon ends."""
        return []

    async def on_ready(self) -> None:
        """Called once all addresses are bound and the first list is known."""

    def periodic_tasks(self) -> list[tuple[float, str, Callable[[], None]]]:
        """Functions called periodically from then on: interval in seconds, name in the log, function."""
        return []

    def check(self, plugins: Plugins) -> list[str]:
        """SIGHUP: names changes that need a restart; raises ConfigError, with no effect, if the files are unusable.

        Called on all subsystems before any of them reloads; everything that can fail belongs here.
        """
        return []

    def reload(self, config: Config, plugins: Plugins) -> None:
        """Apply the new files."""

    def on_drain(self) -> None:
        """Called on SIGTERM, when the drain begins."""

    async def close(self) -> None:
        """Release all resources when the daemon ends."""


def build(config: Config, plugins: Plugins, agent: Agent) -> list[Subsystem]:
    """The enabled subsystems in order, without the local rules, which exist before the agent."""
    subsystems: list[Subsystem] = []
    if config.measures:
        from seamlb.subsystems.measures import MeasuresSubsystem

        subsystems.append(MeasuresSubsystem(agent))
    members = None
    if plugins.members and plugins.member_keys:
        from seamlb.subsystems.members import MembersSubsystem

        members = MembersSubsystem(config, plugins.members, plugins.member_keys, agent)
        subsystems.append(members)
    if plugins.zones:
        from seamlb.subsystems.zones import ZonesSubsystem

        subsystems.append(ZonesSubsystem(config, plugins.zones, agent, members.membership if members else None))
    if plugins.agree:
        from seamlb.subsystems.agreement import AgreeSubsystem

        subsystems.append(AgreeSubsystem(config, plugins.agree, agent))
    return subsystems


def local_rules(config: Config, plugins: Plugins, clock: Callable[[], float]) -> PluginsSubsystem | None:
    """The plug-ins for the agent's constructor; None without a table `[plugins]`; adding one needs a restart."""
    if plugins.plugins is None:
        return None
    from seamlb.subsystems.plugins import PluginsSubsystem

    return PluginsSubsystem(config, plugins.plugins, clock)
