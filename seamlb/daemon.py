"""The daemon: assembles fronts, core, desk clients, discovery and subsystems, and shuts them down gracefully."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any

from seamlb import __version__, log
from seamlb.config import Config, ConfigError
from seamlb.desks.platform import PlatformDesks
from seamlb.drain import UPDATE_INTERVAL_S, Drain
from seamlb.extras import Plugins
from seamlb.fronts import management
from seamlb.fronts.platform import PlatformFront
from seamlb.lifecycle import Lifecycle
from seamlb.memory import MemoryBudget, resident_bytes
from seamlb.net import descriptors, tasks
from seamlb.net.address import split_address
from seamlb.optional_components import hook, observer, shared_ids, sip_desks, sip_front
from seamlb.routing.agent import Agent, Clock
from seamlb.routing.model import Discovery
from seamlb.subsystems import Subsystem, build, local_rules
from seamlb.subsystems.discovery import DiscoverySubsystem
from seamlb.subsystems.peers import PeerSocket
from seamlb.subsystems.plan import PlanSubsystem

SETTINGS_FIELDS = ("settings", "max_open", "connect_timeout")
RELOADABLE = ("board", "known", "member_keys", "raw", *SETTINGS_FIELDS)  # on SIGHUP, beside those of subsystems
FIRST_LIST_WAIT_S = 1.5  # a process that takes over waits for the board and the desks' states before it is ready


class Daemon:
    """One call agent: the platform's components and the enabled subsystems."""

    def __init__(
        self,
        config: Config,
        plugins: Plugins | None = None,
        reread: Callable[[], tuple[Config, Plugins]] | None = None,
    ) -> None:
        self.config = config
        self.reread = reread  # reads and checks the files given at the start again
        self.cfg_accepted = self.cfg_invalid = 0  # configurations accepted and rejected on SIGHUP
        self.plugins = plugins = plugins or Plugins()
        settings, clock = config.settings, Clock().now
        self.hook = hook(plugins)
        rules = local_rules(config, plugins, clock)
        self.memory = MemoryBudget()
        self.lifecycle = Lifecycle(settings.longest_deadline / 1000.0, config.inherited is not None)
        self.agent = Agent(
            settings,
            config.seed,
            config.max_open,
            clock,
            observe=observer(self.hook),
            advisor=rules.service.advisor if rules else None,
            memory=self.memory,
        )
        self.agent.rejects_requests = lambda: not self.lifecycle.accepts_requests(asyncio.get_running_loop().time())
        self.sockets = descriptors.descriptor_limit(config.sockets)
        self.management_limit = descriptors.max_management_connections(self.sockets, management.MAX_CONNECTIONS)
        self.discovery = DiscoverySubsystem(config, plugins, self.agent)
        self.board = self.discovery.board
        self.front = PlatformFront(self.agent, self.lifecycle, config.listen, self._client_limit(), self.memory)
        self.peers = PeerSocket(config, self.agent) if config.peer_listen and settings.limits.peers else None
        self.subsystems: list[Subsystem] = [self.peers] if self.peers else []
        self.subsystems += build(config, plugins, self.agent)
        self.subsystems.append(self.discovery)
        self.plan = PlanSubsystem(config, plugins.plan, self.agent, self._every)
        self.subsystems.append(self.plan)
        if rules:
            rules.agent = self.agent
            self.subsystems.append(rules)
        views = {path: view for subsystem in self.subsystems for path, view in subsystem.views().items()}
        commands = {path: command for subsystem in self.subsystems for path, command in subsystem.commands().items()}
        self.management = management.ManagementFront(
            config.management, self.lifecycle, self.stats, views, commands, self.management_limit
        )
        self.sip = sip_front(
            plugins, self.agent, self.lifecycle, self.hook.classify if self.hook else None, self.memory
        )
        self.sip_desks = sip_desks(plugins, self.agent, self.memory)
        self.platform_desks = (
            None
            if self.sip_desks
            else PlatformDesks(
                settings.fields,
                config.connect_timeout,
                self.agent.report_received,
                self.front.release_unknown_call,
                self.agent.counters.count_relayed,
            )
        )
        self.desks = self.agent.desks = self.sip_desks or self.platform_desks
        self.drain = Drain(self.lifecycle, self.agent, self.front, self.sip, self.platform_desks)
        self.tasks: list[asyncio.Task[None]] = []  # cancelled when the daemon ends
        self.stop_requested = asyncio.Event()

    def _client_limit(self) -> int:
        """The number of callers' connections for which descriptors remain beside those to the listed servers."""
        others = self.management_limit + self.discovery.connections_beside_board
        return descriptors.max_caller_connections(self.sockets, len(self.agent.listed), others)

    def _every(self, seconds: float, where: str, function: Callable[[], None]) -> None:
        """Call a function periodically while the daemon runs; an error in it is logged and must not affect calls."""
        self.tasks.append(asyncio.get_running_loop().create_task(tasks.repeat(seconds, where, function)))

    async def start(self) -> None:
        """Bind all addresses and start following the list of desks."""
        config = self.config
        for subsystem in self.subsystems:
            await subsystem.bind()
        if self.sip_desks and self.plugins.desks:
            await self.sip_desks.endpoint.listen(self.plugins.desks.udp, self.plugins.desks.tcp)
        if config.known:
            self.board.apply_notices(config.known)
        loop = asyncio.get_running_loop()
        if config.management:
            self.management.start()
        if config.listen and self.lifecycle.accepts_connections(loop.time()):
            self.front.start()
        if self.sip:
            await self.sip.start()
        coroutines = [self._run_source(source) for source in self.discovery.sources]
        coroutines += [coroutine for subsystem in self.subsystems for coroutine in subsystem.background_tasks()]
        self.tasks = [loop.create_task(coroutine) for coroutine in coroutines]
        if config.inherited is not None:
            # The process that this one replaces still accepts calls: this one starts once it knows the desks.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FIRST_LIST_WAIT_S):
                    await self.board.caught_up.wait()
                    if self.platform_desks:
                        await self.platform_desks.wait_for_states()
            self.front.used_ids.shared = shared_ids(config.listen)
            self.front.start(config.inherited)
        bound = {name.lower(): address for name, address in self.sip.endpoint.addresses.items()} if self.sip else {}
        if config.listen:
            bound["platform"] = f"{split_address(config.listen)[0]}:{self.front.listener.port}"
        for name, address in bound.items():
            log.event("listening", front=name, address=address)
        for subsystem in self.subsystems:
            await subsystem.on_ready()
            for seconds, where, function in subsystem.periodic_tasks():
                self._every(seconds, where, function)
        self.memory.set_limit(config.memory_mb, resident_bytes())
        self.lifecycle.started(loop.time())
        self._every(UPDATE_INTERVAL_S, "lifecycle", self.update_connections)
        log.event("serving", name=config.name, listen=config.listen, version=__version__)

    def update_connections(self) -> None:
        """Apply the state of the lifecycle and the length of the list of servers to the fronts' connections."""
        self.front.listener.set_limit(self._client_limit())
        self.drain.update()

    def stats(self) -> dict[str, Any]:
        """The content of `/admin/stats`."""
        stats = self.agent.stats() | self.board.stats() | self.front.stats() | self.memory.stats()
        stats |= {"cfg_accepted": self.cfg_accepted, "cfg_invalid": self.cfg_invalid}
        return stats | self.platform_desks.stats() if self.platform_desks else stats

    async def _run_source(self, source: Discovery) -> None:
        """Follow a source of the list; after an error, which is logged, it restarts, so that no drain is missed."""
        while True:
            try:
                await source.run()
            except Exception as error:
                log.event("fault", where="discovery", error=repr(error), trace=log.trace(error))
            await asyncio.sleep(1.0)

    def reload(self) -> None:
        """SIGHUP: reload the files; unusable ones have no effect but one log line.

        `board`, settings, a plan and plug-ins are applied while serving, each atomically. Other changes are
        named in the log and need a restart.
        """
        if self.reread is None:
            return
        try:
            config, plugins = self.reread()
            if missing := self.config.missing_key(config):
                raise ConfigError(f"{config.source}: {missing}: missing, and the configuration in force has it")
            restart_only = [change for subsystem in self.subsystems for change in subsystem.check(plugins)]
        except ConfigError as error:
            self.cfg_invalid += 1
            log.event("reload_failed", error=str(error))
            return
        self.cfg_accepted += 1
        reloadable = {*RELOADABLE, *(name for subsystem in self.subsystems for name in subsystem.RELOADABLE)}
        restart_only += [
            field.name
            for new, old in ((config, self.config), (plugins, self.plugins))
            for field in fields(new)
            if field.name not in reloadable and getattr(new, field.name) != getattr(old, field.name)
        ]
        self.board.set_address(config.board)
        restart_only += self._apply_settings(config)
        for subsystem in self.subsystems:
            subsystem.reload(config, plugins)
        self.plugins = plugins if restart_only == [] else replace(self.plugins, plan=plugins.plan)
        log.event("reloaded", board=config.board, waits_for_restart=restart_only)

    def _apply_settings(self, config: Config) -> list[str]:
        """Apply new settings; returns the names of those that need a restart."""
        old, self.config = self.config, replace(self.config, raw=config.raw)
        if all(getattr(config, name) == getattr(old, name) for name in SETTINGS_FIELDS):
            return []
        if any(subsystem.settings_need_restart for subsystem in self.subsystems):
            return ["settings"]
        self.agent.apply_settings(config.settings.following(self.agent.settings, *self.agent.numbers_in_use()))
        self.agent.max_open = config.max_open
        if self.platform_desks:
            self.platform_desks.context.connect_timeout = config.connect_timeout
        self.lifecycle.max_patience = self.agent.settings.longest_deadline / 1000.0
        self.config = replace(self.config, **{name: getattr(config, name) for name in SETTINGS_FIELDS})
        log.event("settings", classes=sorted(config.settings.class_ids), attempts=config.settings.limits.attempts_cap)
        return [f"settings.{name}" for name in config.settings.restart_only_changes(old.settings)]

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain: accept for a while, answer all accepted calls, and exit."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # delivers one that came during the start
        await self.start()
        await self.stop_requested.wait()
        for subsystem in self.subsystems:
            subsystem.on_drain()
        await self.drain.run()
        await self.close()
        # The loop restores the default handlers when it closes: a signal before the exit must not look like a crash.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
        log.event("ended", taken=self.agent.accepted)

    async def close(self) -> None:
        """Flush queued bytes and close everything."""
        await tasks.end_tasks("daemon", self.tasks)
        self.front.close()
        self.management.close()
        for subsystem in self.subsystems:
            await subsystem.close()
        if self.sip:
            self.sip.close()
        if self.desks:
            self.desks.close()
        await asyncio.sleep(0.05)
