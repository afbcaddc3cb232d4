"""The seam between the daemon and its subsystems: each brings its own start, steps, tables, reload and stop.

A subsystem that its settings don't switch on is not built, and its modules are not loaded. In the order of `build`
they are started, looked at on SIGHUP, and stopped.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Mapping
from typing import TYPE_CHECKING, Any

from seamlb.config import Config
from seamlb.extras import Plugins
from seamlb.routing.agent import Agent

if TYPE_CHECKING:
    from seamlb.subsystems.rules import PluginsSubsystem

Table = Callable[[], Mapping[str, Any]]
Order = Callable[[str], str]  # what is asked; why not, or empty


class Subsystem:
    """One part of the daemon; as it stands it does nothing."""

    TAKES: tuple[str, ...] = ()  # fields of the configuration and the plug-ins that it takes over at SIGHUP
    steady = False  # was it made for the classes of the start, so that new settings wait for a restart?

    def tables(self) -> Mapping[str, Table]:
        """Figures for the management address, by path."""
        return {}

    def orders(self) -> Mapping[str, Order]:
        """What operators may ask for there, by path."""
        return {}

    async def bind(self) -> None:
        """Before callers are let in; OSError: an address can't be had, and the start fails."""

    def runs(self) -> list[Coroutine[None, None, None]]:
        """What goes on until the daemon ends."""
        return []

    async def begin(self) -> None:
        """All addresses are bound and the first list is known."""

    def steps(self) -> list[tuple[float, str, Callable[[], None]]]:
        """What is done again and again from then on: every how many seconds, its name in the log, what."""
        return []

    def check(self, plugins: Plugins) -> list[str]:
        """SIGHUP: what of the new files waits for a restart; ConfigError if they can't be used, and nothing changed.

        Called before anything is taken over, and what can fail is done here.
        """
        return []

    def reload(self, config: Config, plugins: Plugins) -> None:
        """Take the new files over."""

    def leave(self) -> None:
        """SIGTERM came, and the drain begins."""

    async def close(self) -> None:
        """The daemon ends."""


def build(config: Config, plugins: Plugins, agent: Agent) -> list[Subsystem]:
    """Those that are switched on, in their order; rules that the agent is made with are not among them."""
    found: list[Subsystem] = []
    if config.measures:
        from seamlb.subsystems.measures import MeasuresPart

        found.append(MeasuresPart(agent))
    fleet = None
    if plugins.members and plugins.member_keys:
        from seamlb.subsystems.fleet import FleetPart

        fleet = FleetPart(config, plugins.members, plugins.member_keys, agent)
        found.append(fleet)
    if plugins.zones:
        from seamlb.subsystems.zones import ZonesPart

        found.append(ZonesPart(config, plugins.zones, agent, fleet.link if fleet else None))
    if plugins.agree:
        from seamlb.subsystems.versions import VersionsPart

        found.append(VersionsPart(config, plugins.agree, agent))
    return found


def local_rules(config: Config, plugins: Plugins, clock: Callable[[], float]) -> PluginsSubsystem | None:
    """The plug-ins of the start, which the agent is made with; without their table none, also after a SIGHUP."""
    if plugins.plugins is None:
        return None
    from seamlb.subsystems.rules import PluginsSubsystem

    return PluginsSubsystem(config, plugins.plugins, clock)
