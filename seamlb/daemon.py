"""The daemon: puts fronts, core, desk clients, discovery and subsystems together, and ends in good order."""

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
from seamlb.net import descriptors
from seamlb.net.address import split_address
from seamlb.optional_parts import hook, sip_desks, sip_front
from seamlb.routing.agent import Agent, Clock
from seamlb.routing.model import Discovery, Request
from seamlb.subsystems import Subsystem, build, local_rules
from seamlb.subsystems.lists import ListsPart
from seamlb.subsystems.peers import PeerLink
from seamlb.subsystems.plan import PlanPart

SETTINGS = ("settings", "max_open", "connect_timeout")
TAKEN_OVER = ("board", "known", "member_keys", "raw", *SETTINGS)  # by SIGHUP, beside what subsystems take
KNOW = 1.5  # seconds that a process which takes over waits for the board and the desks' state before it is ready


class Daemon:
    """One call agent: the platform's parts, and the subsystems that are on."""

    def __init__(
        self,
        config: Config,
        plugins: Plugins | None = None,
        reread: Callable[[], tuple[Config, Plugins]] | None = None,
    ) -> None:
        self.config = config
        self.reread = reread  # reads the files of the start anew, checked whole
        self.cfg_accepted = self.cfg_invalid = 0  # files at SIGHUP
        self.plugins = plugins = plugins or Plugins()
        settings, clock = config.settings, Clock().now
        self.hook = hook(plugins)
        rules = local_rules(config, plugins, clock)
        self.lifecycle = Lifecycle(settings.longest_deadline / 1000.0, config.inherited is not None)
        self.agent = Agent(
            settings,
            config.seed,
            config.max_open,
            clock,
            observe=self._observe if self.hook else None,
            advisor=rules.service.advisor if rules else None,
        )
        self.agent.leaving = lambda: not self.lifecycle.accepts_requests(asyncio.get_running_loop().time())
        self.sockets = descriptors.descriptor_limit(config.sockets)
        self.operators = descriptors.max_management_connections(self.sockets, management.MAX_CONNECTIONS)
        self.front = PlatformFront(self.agent, self.lifecycle, config.listen, self._client_limit())
        self.peers = PeerLink(config, self.agent) if config.peer_listen and settings.limits.peers else None
        self.subsystems: list[Subsystem] = [self.peers] if self.peers else []
        self.subsystems += build(config, plugins, self.agent)
        self.subsystems.append(lists := ListsPart(config, plugins, self.agent))
        self.plan = PlanPart(config, plugins.plan, self.agent, self._every)
        self.subsystems.append(self.plan)
        if rules:
            rules.agent = self.agent
            self.subsystems.append(rules)
        more = {path: table for part in self.subsystems for path, table in part.tables().items()}
        orders = {path: order for part in self.subsystems for path, order in part.orders().items()}
        self.management = management.ManagementFront(
            config.management, self.lifecycle, self.stats, more, orders, self.operators
        )
        classify = self.hook.classify if self.hook else None
        self.sip = sip_front(plugins, self.agent, self.lifecycle, classify)
        self.sip_desks = sip_desks(plugins, self.agent)
        self.platform_desks = (
            None
            if self.sip_desks
            else PlatformDesks(
                settings.fields,
                config.connect_timeout,
                self.agent.report_received,
                self.front.release_unknown_call,
                self.agent.counters.relay,
            )
        )
        self.desks = self.agent.desks = self.sip_desks or self.platform_desks
        self.drain = Drain(self.lifecycle, self.agent, self.front, self.sip, self.platform_desks)
        self.lists, self.board = lists, lists.board
        self.following: list[asyncio.Task[None]] = []  # tasks that end with the daemon
        self.term = asyncio.Event()

    def _client_limit(self) -> int:
        """Connections that callers may hold beside those to the servers of the list."""
        return descriptors.max_caller_connections(self.sockets, len(self.agent.listed), self.operators)

    def _every(self, seconds: float, where: str, step: Callable[[], None]) -> None:
        """Do something again and again while the daemon runs; a fault in it is logged and must not end the calls."""

        async def go() -> None:
            while True:
                await asyncio.sleep(seconds)
                try:
                    step()
                except Exception as error:
                    log.event("fault", where=where, error=repr(error), trace=log.trace(error))

        self.following.append(asyncio.get_running_loop().create_task(go()))

    def _observe(self, request: Request, result: str, attempts: int) -> None:
        if self.hook:
            self.hook.observe(
                {
                    "call": request.ident,
                    "class": request.class_name,
                    "tenant": request.tenant_name,
                    "number": request.number,
                    "result": result,
                    "attempts": attempts,
                }
            )

    async def start(self) -> None:
        """Bind all addresses and follow the list of desks."""
        config = self.config
        for part in self.subsystems:
            await part.bind()
        if self.sip_desks and self.plugins.desks:
            await self.sip_desks.endpoint.listen(self.plugins.desks.udp, self.plugins.desks.tcp)
        if config.known:
            self.board.apply(config.known)
        loop = asyncio.get_running_loop()
        if config.management:
            self.management.start()
        if config.listen and self.lifecycle.accepts_connections(loop.time()):
            self.front.start()
        if self.sip:
            await self.sip.start()
        waiting = [self._follow(member) for member in self.lists.members]
        waiting += [one for part in self.subsystems for one in part.runs()]
        self.following = [loop.create_task(one) for one in waiting]
        if config.inherited is not None:
            # The process before this one still takes calls: this one begins when it knows the desks.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(KNOW):
                    await self.board.caught_up.wait()
                    if self.platform_desks:
                        await self.platform_desks.wait_for_states()
            self.front.start(config.inherited)
        bound = {name.lower(): address for name, address in self.sip.endpoint.addresses.items()} if self.sip else {}
        if config.listen:
            bound["platform"] = f"{split_address(config.listen)[0]}:{self.front.listener.port}"
        for name, address in bound.items():
            log.event("listening", front=name, address=address)
        for part in self.subsystems:
            await part.begin()
            for seconds, where, step in part.steps():
                self._every(seconds, where, step)
        self.lifecycle.started(loop.time())
        self._every(UPDATE_INTERVAL_S, "lifecycle", self.update_connections)
        log.event("serving", name=config.name, listen=config.listen, version=__version__)

    def update_connections(self) -> None:
        """Have the fronts do what the lifecycle and the list of servers say now."""
        self.front.listener.set_limit(self._client_limit())
        self.drain.update()

    def stats(self) -> dict[str, Any]:
        """What `/admin/stats` shows."""
        return self.agent.stats() | {"cfg_accepted": self.cfg_accepted, "cfg_invalid": self.cfg_invalid}

    async def _follow(self, member: Discovery) -> None:
        """Follow a list; a fault is logged and it is followed anew, as a drain must not go unheard."""
        while True:
            try:
                await member.run()
            except Exception as error:
                log.event("fault", where="discovery", error=repr(error), trace=log.trace(error))
            await asyncio.sleep(1.0)

    def reload(self) -> None:
        """SIGHUP: take the files as they are now; what can't be used changes nothing and leaves one line.

        `board`, settings, a plan and plug-ins are taken over while serving, each at once and whole. Whatever else is
        new waits for a restart and is named.
        """
        if self.reread is None:
            return
        try:
            config, plugins = self.reread()
            if lost := self.config.lacks(config):
                raise ConfigError(f"{config.source}: {lost}: missing, and the configuration in force has it")
            waits = [one for part in self.subsystems for one in part.check(plugins)]
        except ConfigError as error:
            self.cfg_invalid += 1
            log.event("reload_failed", error=str(error))
            return
        self.cfg_accepted += 1
        taken = {*TAKEN_OVER, *(name for part in self.subsystems for name in part.TAKES)}
        waits += [
            one.name
            for new, old in ((config, self.config), (plugins, self.plugins))
            for one in fields(new)
            if one.name not in taken and getattr(new, one.name) != getattr(old, one.name)
        ]
        self.board.set_address(config.board)
        waits += self._retune(config)
        for part in self.subsystems:
            part.reload(config, plugins)
        self.plugins = plugins if waits == [] else replace(self.plugins, plan=plugins.plan)
        log.event("reloaded", board=config.board, waits_for_restart=waits)

    def _retune(self, config: Config) -> list[str]:
        """Take new settings; names what of them waits for a restart."""
        old, self.config = self.config, replace(self.config, raw=config.raw)
        if all(getattr(config, name) == getattr(old, name) for name in SETTINGS):
            return []
        if any(part.steady for part in self.subsystems):
            return ["settings"]
        self.agent.apply_settings(config.settings.following(self.agent.settings, *self.agent.numbers_in_use()))
        self.agent.max_open = config.max_open
        if self.platform_desks:
            self.platform_desks.context.connect_timeout = config.connect_timeout
        self.lifecycle.longest = self.agent.settings.longest_deadline / 1000.0
        self.config = replace(self.config, **{name: getattr(config, name) for name in SETTINGS})
        log.event("settings", classes=sorted(config.settings.class_ids), attempts=config.settings.limits.attempts_cap)
        return [f"settings.{name}" for name in config.settings.restart_only_changes(old.settings)]

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain: keep taking, answer all that was taken, go."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.term.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # one that came during the start is heard now
        await self.start()
        await self.term.wait()
        for part in self.subsystems:
            part.leave()
        await self.drain.run()
        await self.close()
        # The loop puts the defaults back when it closes: a signal until the exit must not end the drain as a crash.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
        log.event("ended", taken=self.agent.accepted)

    async def close(self) -> None:
        """Let queued bytes out and close everything."""
        for task in self.following:
            task.cancel()
        await asyncio.gather(*self.following, return_exceptions=True)
        self.front.close()
        self.management.close()
        for part in self.subsystems:
            await part.close()
        if self.sip:
            self.sip.close()
        if self.desks:
            self.desks.close()
        await asyncio.sleep(0.05)
