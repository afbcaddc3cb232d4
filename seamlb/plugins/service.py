"""What the daemon hosts of plug-ins: the chain, its advisor, reloads, and the commands of the control socket."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from seamlb import api, log
from seamlb.plugins.advisor import PluginAdvisor
from seamlb.plugins.chain import Chain
from seamlb.plugins.host import Grant, Plugin
from seamlb.plugins.loading import LoadError, PluginConfig, PluginsConfig, load_plugin
from seamlb.plugins.supervisor import Health


class PluginService:
    """Plug-ins of one daemon."""

    def __init__(
        self,
        table: PluginsConfig,
        loaded: Sequence[tuple[PluginConfig, Plugin]],
        settings: api.Settings,
        offices: Sequence[str],
        clock: Callable[[], float],
    ) -> None:
        self.config, self.clock = table, clock
        top = max(settings.classes, key=lambda kind: kind.worth)
        self.chain = Chain(
            table.fuel,
            table.part,
            [kind.name for kind in settings.classes],
            offices,
            top.name,
            settings.longest_deadline,
            lambda name, facts: log.event(name, **facts),
        )
        self.advisor = PluginAdvisor(self.chain, settings, offices, clock)
        self.grants: dict[str, Grant] = {}
        self.files: dict[str, str] = {}
        self._take(loaded)

    def _take(self, loaded: Sequence[tuple[PluginConfig, Plugin]]) -> None:
        now = self.clock()
        for one, plugin in loaded:
            self.grants[plugin.name], self.files[plugin.name] = plugin.grant, one.file
            old = self.chain.slots.get(plugin.name)
            if old is None or old.active.digest != plugin.digest or old.active.grant != plugin.grant:
                self.chain.load(now, plugin)
            off = self.chain.supervisor.record(plugin.name).health is Health.OFF
            if one.enabled is off:
                self.chain.enable(plugin.name, one.enabled)
        self.chain.order([plugin.name for _, plugin in loaded])

    def reload(self, table: PluginsConfig, loaded: Sequence[tuple[PluginConfig, Plugin]]) -> None:
        """SIGHUP: new ones are loaded, changed ones shadowed, those that are gone are unloaded."""
        for name in self.chain.slots.keys() - {plugin.name for _, plugin in loaded}:
            self.chain.unload(name)
        self.config = table
        self.chain.fuel, self.chain.supervisor.part = table.fuel, table.part
        self._take(loaded)

    def handle(self, asked: dict[str, Any]) -> Any:
        """One command; KeyError or ValueError is its one-line refusal."""
        now, chain = self.clock(), self.chain
        name = str(asked.get("plugin", ""))
        match asked.get("do"):
            case "list" | "stats":
                return chain.stats()
            case "status":
                return {
                    "plugins": chain.stats(),
                    "queue": len(chain.queue),
                    "dropped": chain.dropped,
                    "paused": now < chain.supervisor.paused_until,
                    "states": [list(pair) for pair in sorted(chain.states)],
                }
            case "load" | "upgrade":
                path = str(asked.get("file", "")) or self.files.get(name, "")
                if not path:
                    raise ValueError("a file is needed")
                try:
                    # Grants are the settings'; one that they don't name gets the usual, a tenth of an office's calls.
                    plugin = load_plugin(path, self.grants.get(name, Grant()), self.grants)
                except LoadError as error:
                    raise ValueError(str(error)) from None
                self.files[plugin.name] = path
                return chain.load(now, plugin)
            case "switch":
                return chain.switch(now, name)
            case "rollback":
                return chain.roll_back(now, name)
            case "enable" | "disable":
                return chain.enable(name, asked["do"] == "enable")
            case "unload":
                return chain.unload(name)
            case "state":
                return chain.set_state(str(asked.get("state", "")), str(asked.get("of", "")), bool(asked.get("on")))
            case _:
                raise ValueError(f"unknown command {asked.get('do')!r}")
