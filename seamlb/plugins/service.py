"""Plug-ins within a daemon: the chain and its advisor, reloads, and the commands of the control socket."""

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
        config: PluginsConfig,
        loaded: Sequence[tuple[PluginConfig, Plugin]],
        settings: api.Settings,
        offices: Sequence[str],
        clock: Callable[[], float],
    ) -> None:
        self.config, self.clock = config, clock
        top_class = max(settings.classes, key=lambda kind: kind.worth)
        self.chain = Chain(
            config.fuel,
            config.part,
            [kind.name for kind in settings.classes],
            offices,
            top_class.name,
            settings.longest_deadline,
            lambda name, fields: log.event(name, **fields),
        )
        self.advisor = PluginAdvisor(self.chain, settings, offices, clock)
        self.grants: dict[str, Grant] = {}
        self.files: dict[str, str] = {}
        self._apply(loaded)

    def _apply(self, loaded: Sequence[tuple[PluginConfig, Plugin]]) -> None:
        now = self.clock()
        for config, plugin in loaded:
            self.grants[plugin.name], self.files[plugin.name] = plugin.grant, config.file
            slot = self.chain.slots.get(plugin.name)
            if slot is None or slot.active.digest != plugin.digest or slot.active.grant != plugin.grant:
                self.chain.load(now, plugin)
            disabled = self.chain.supervisor.record(plugin.name).health is Health.OFF
            if config.enabled is disabled:
                self.chain.enable(plugin.name, config.enabled)
        self.chain.reorder([plugin.name for _, plugin in loaded])

    def reload(self, config: PluginsConfig, loaded: Sequence[tuple[PluginConfig, Plugin]]) -> None:
        """On SIGHUP: load new plug-ins, run changed ones in shadow, unload those that are no longer configured."""
        for name in self.chain.slots.keys() - {plugin.name for _, plugin in loaded}:
            self.chain.unload(name)
        self.config = config
        self.chain.fuel, self.chain.supervisor.cpu_share = config.fuel, config.part
        self._apply(loaded)

    def handle(self, request: dict[str, Any]) -> Any:
        """Execute one command of the control socket; KeyError or ValueError becomes its error text."""
        now, chain = self.clock(), self.chain
        name = str(request.get("plugin", ""))
        match request.get("do"):
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
                path = str(request.get("file", "")) or self.files.get(name, "")
                if not path:
                    raise ValueError("a file is needed")
                try:
                    # Grants come from the settings; others get the default, a tenth of an office's calls.
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
                return chain.enable(name, request["do"] == "enable")
            case "unload":
                return chain.unload(name)
            case "state":
                return chain.set_state(
                    str(request.get("state", "")), str(request.get("of", "")), bool(request.get("on"))
                )
            case _:
                raise ValueError(f"unknown command {request.get('do')!r}")
