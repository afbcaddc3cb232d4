"""The daemon: puts fronts, core, desk clients and membership together, and ends in good order."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable, Coroutine
from dataclasses import fields, replace
from typing import TYPE_CHECKING, Any

from seamlb import __version__, log
from seamlb.config import Config, ConfigError, Plugins
from seamlb.desks.platform import PlatformDesks
from seamlb.desks.sip import SipDesks
from seamlb.fronts.management import ManagementFront
from seamlb.fronts.platform import PlatformFront
from seamlb.fronts.sip import SipFront
from seamlb.hook import Hook
from seamlb.lifecycle import Lifecycle
from seamlb.membership.board import Board
from seamlb.membership.consul import Consul
from seamlb.net.connection import split_address
from seamlb.net.datagram import Endpoint
from seamlb.routing.agent import Agent, Clock
from seamlb.routing.model import Membership, Request
from seamlb.sip.endpoint import SipEndpoint

if TYPE_CHECKING:
    from seamlb.agree.link import AgreeLink
    from seamlb.members.link import MembersLink
    from seamlb.planning.follow import Followed, Guide
    from seamlb.plugins.control import ControlSocket
    from seamlb.plugins.loading import PluginsTable
    from seamlb.plugins.service import PluginService
    from seamlb.rollout.measures import Measures
    from seamlb.zones.overlay import Overlay

SETTINGS = ("settings", "max_open", "connect_timeout")
TAKEN_OVER = ("board", "known", "plan", "plugins", "member_keys", "raw", *SETTINGS)  # by SIGHUP
BEAT_EVERY = 0.1  # seconds between two portions of what plug-ins learn beside the calls
STEER_EVERY = 0.25  # seconds between two looks at the plan's shares
ZONES_EVERY = 0.1  # seconds between two looks at what zones do
TEND_EVERY = 0.05  # seconds between two looks at what the lifecycle wants of listeners and connections
KNOW = 1.5  # seconds that a process which takes over waits for the board and the desks' state before it is ready
CLIENT_SHARE = 0.6  # part of the descriptors that callers may hold; the platform says they take a third
MAX_DATAGRAM = 256
PEERS_EVERY = 0.5  # seconds between two tries to take over the peers' address


class PeerLink:
    """Messages between call agents over UDP."""

    def __init__(self, config: Config, agent: Agent) -> None:
        self.config = config
        self.agent = agent
        self.senders = {split_address(one): place for place, one in enumerate(config.peers)}
        self.endpoint: Endpoint | None = None

    async def start(self) -> bool:
        """Bind; False if another process has the address, which `follow` then waits for."""
        # The process before this one has it bound still, in a version that shares it or in one that doesn't.
        shared = self.config.inherited is not None
        try:
            self.endpoint = await Endpoint.bind(self.config.peer_listen, "peer", self._received, shared)
        except OSError:
            if not shared:
                raise
            return False
        return True

    async def follow(self) -> None:
        """Take the address over when it comes free."""
        while not await self.start():
            await asyncio.sleep(PEERS_EVERY)

    def _received(self, data: bytes, address: tuple[str, int]) -> None:
        sender = self.senders.get(address)
        if sender is not None and len(data) <= MAX_DATAGRAM:
            self.agent.peer_said(sender, data)

    def send(self, target: int | None, payload: bytes) -> None:
        if self.endpoint is None or len(payload) > MAX_DATAGRAM:
            return  # a longer one voids the run
        if target is None and self.config.peers_all:
            self.endpoint.send(payload, split_address(self.config.peers_all))
        elif target is not None and target < len(self.config.peers):
            self.endpoint.send(payload, split_address(self.config.peers[target]))


class Daemon:
    """One call agent: the platform's parts, and the plug-ins that are on."""

    def __init__(
        self, config: Config, plugins: Plugins | None = None,
        reread: Callable[[], tuple[Config, Plugins]] | None = None,
    ) -> None:
        self.config = config
        self.reread = reread  # reads the files of the start anew, checked whole
        self.cfg_accepted = self.cfg_invalid = 0  # files at SIGHUP
        self.plugins = plugins = plugins or Plugins()
        settings = config.settings
        self.hook = Hook(plugins.hook) if plugins.hook else None
        clock = Clock().now
        self.local = self._local(plugins.plugins, clock)
        self.lifecycle = Lifecycle(settings.patience / 1000.0, config.inherited is not None)
        self.agent = Agent(
            settings, config.seed, config.max_open, clock, observe=self._observe if self.hook else None,
            advisor=self.local.advisor if self.local else None)
        self.agent.leaving = lambda: not self.lifecycle.takes(asyncio.get_running_loop().time())
        self.control: ControlSocket | None = None
        self.guide: Guide | None = None
        self.front = PlatformFront(
            self.agent, self.lifecycle, config.listen, int(config.sockets * CLIENT_SHARE)
        )
        self.measures = self._measures() if config.measures else None
        more = {"/admin/measures": self.measures.table} if self.measures else {}
        self.fleet = self._fleet()
        if self.fleet:
            more["/admin/members"] = self.fleet.table
        self.zones = self._zones()
        orders: dict[str, Callable[[str], str]] = {}
        if zones := self.zones:
            more["/admin/zones"] = lambda: zones.table(clock() / 1000.0)
            orders["/admin/zones/force"] = self._force_zone
        if versions := self._agreed():
            more["/admin/agree"], orders["/admin/agree/propose"] = versions.table, versions.propose
        self.versions = versions
        self.management = ManagementFront(config.management, self.lifecycle, self.figures, more, orders)
        self.sip: SipFront | None = None
        if plugins.sip:
            classify = self.hook.classify if self.hook else None
            self.sip = SipFront(self.agent, self.lifecycle, plugins.sip, classify)
        self.desks: PlatformDesks | SipDesks
        if plugins.desks:
            self.desks = SipDesks(
                SipEndpoint("desk"), plugins.desks.transport.upper(), settings.fields, self.agent.counters.relay)
        else:
            self.desks = PlatformDesks(
                settings.fields, config.connect_timeout, self.agent.sampled, self.front.release,
                self.agent.counters.relay,
            )
        self.agent.desks = self.desks
        self.board = Board(config.board, config.zones, self.agent.list_changed, at_once=config.inherited is not None)
        self.members: list[Membership] = [self.board]
        if plugins.consul:
            self.members.append(Consul(plugins.consul, config.zones, self.agent.list_changed, config.seed))
        self.peers: PeerLink | None = None
        self.following: list[asyncio.Task[None]] = []  # tasks that end with the daemon
        self.term = asyncio.Event()

    def _fleet(self) -> MembersLink | None:
        """Membership, where it is switched on."""
        table, keys = self.plugins.members, self.plugins.member_keys
        if table is None or keys is None:
            return None
        from seamlb.members.link import MembersLink

        config = self.config
        link = MembersLink(table, keys, config.name, config.settings.instances, config.inherited is not None,
                           self.agent.share_among)
        link.tell(f"{__version__} {config.zones[config.settings.zone] if config.zones else ''}".encode()[:32])
        return link

    def _zones(self) -> Overlay | None:
        """Leaving zones as a fleet, where it is switched on."""
        table, config = self.plugins.zones, self.config
        if table is None:
            return None
        from seamlb.zones.overlay import Overlay

        regions = [frozenset(config.zones.index(name) for name in one.split("+")) for one in table.regions]
        stall = min(kind.on_time for kind in config.settings.classes) / 1000.0
        found = Overlay(config.zones, config.settings.instances, table.bears, stall, regions, table.out, table.ramp)
        self.agent.seam.parts.append(found)
        return found

    def _agreed(self) -> AgreeLink | None:
        """Agreed versions, where they are switched on; they come behind zones."""
        if self.plugins.agree is None:
            return None
        from seamlb.agree.link import AgreeLink

        found = AgreeLink(self.plugins.agree, self.config.name, self.config.zones, self.agent.look)
        self.agent.seam.parts.append(found.acting)
        self.agent.look()
        return found

    def _force_zone(self, asked: str) -> str:
        """`NAME out`, `NAME in` or `NAME auto`; why not, or empty."""
        name, _, state = asked.partition(" ")
        return "" if self.zones and self.zones.force(name, state) else "no such zone or state"

    def _leave_zones(self) -> None:
        """Tell the others what we see, take what they do, and give the module what follows."""
        from seamlb.zones.fleet import Vote

        assert self.zones is not None
        now = self.agent.clock() / 1000.0
        others: dict[str, Vote] = {}
        divisor, place = 1, 0.0
        if self.fleet:
            divisor, place = self.fleet.divisor, self.fleet.place()
            others = {name: Vote.decode(meta.rpartition(" ")[2]) for name, meta in self.fleet.others().items()}
        self.zones.step(now, others, divisor, place)
        if self.fleet:
            self.fleet.tell(f"{__version__} {self.zones.vote(now).encode()}".encode()[:32])
        for name, facts in self.zones.zones.said:
            log.event(name, **facts | {"zone": self.config.zones[int(str(facts["zone"]))]})
        self.zones.zones.said.clear()
        self.agent.desks_changed()

    def _measures(self) -> Measures:
        """Ends and times by class, for those who compare two versions."""
        # Imported where it is switched on: the platform's path has no histograms.
        from seamlb.rollout.measures import Measures

        found = Measures()
        self.agent.measure = found.ended
        return found

    def _local(self, table: PluginsTable | None, clock: Callable[[], float]) -> PluginService | None:
        """The plug-ins of the start; without their table there are none, also after a SIGHUP."""
        if table is None:
            return None
        from seamlb.plugins.loading import load_all
        from seamlb.plugins.service import PluginService

        return PluginService(table, load_all(table), self.config.settings, self.config.tenants, clock)

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

    def _reload_local(self, table: PluginsTable | None, waits: list[str]) -> None:
        """Plug-ins as they are in the files now; ConfigError, and nothing changed, if these have changed again."""
        if self.local is None or table is None:
            if (self.local is None) != (table is None):
                waits.append("plugins")
            return
        from seamlb.plugins.loading import LoadError, load_all

        try:
            loaded = load_all(table)
        except LoadError as error:
            raise ConfigError(str(error)) from None
        if table.control != self.local.table.control:
            waits.append("plugins.control")
        self.local.reload(table, loaded)

    def _follow_plan(self, plan: Followed) -> None:
        """Steer calls by a plan from now on."""
        from seamlb.planning.follow import Guide

        self.guide = self.agent.guide = Guide(self.config.settings, self.config.tenants)
        self.guide.listed(self.agent.clock(), self.agent.listed.values())
        self.guide.adopt(self.agent.clock(), plan)
        self.agent.steer()
        self._every(STEER_EVERY, "plan", self.agent.steer)

    def _observe(self, request: Request, result: str, attempts: int) -> None:
        if self.hook:
            self.hook.observe({
                "call": request.ident, "class": request.class_name, "tenant": request.tenant_name,
                "number": request.number, "result": result, "attempts": attempts,
            })

    async def start(self) -> None:
        """Bind all addresses and follow the list of desks."""
        config = self.config
        waiting: list[Coroutine[None, None, None]] = []
        if config.peer_listen and config.settings.limits.peers:
            self.peers = PeerLink(config, self.agent)
            self.agent.peers = self.peers
            if not await self.peers.start():
                log.event("peers_wait", address=config.peer_listen)
                waiting.append(self.peers.follow())
        if isinstance(self.desks, SipDesks) and self.plugins.desks:
            await self.desks.endpoint.listen(self.plugins.desks.udp, self.plugins.desks.tcp)
        if config.known:
            self.board.known(config.known)
        loop = asyncio.get_running_loop()
        if config.management:
            self.management.start()
        if config.listen and self.lifecycle.listens(loop.time()):
            self.front.start()
        if self.sip:
            await self.sip.start()
        waiting += [self._follow(member) for member in self.members]
        if self.fleet:
            if not await self.fleet.start():
                log.event("peers_wait", address=self.fleet.config.udp)
            waiting.append(self.fleet.run())
        if self.versions:
            waiting.append(self.versions.run())
        self.following = [loop.create_task(one) for one in waiting]
        if config.inherited is not None:
            # The process before this one still takes calls: this one begins when it knows the desks.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(KNOW):
                    await self.board.caught_up.wait()
                    if isinstance(self.desks, PlatformDesks):
                        await self.desks.known()
            self.front.start(config.inherited)
        bound = {"platform": f"{split_address(config.listen)[0]}:{self.front.listener.port}"} if config.listen else {}
        if self.sip:
            bound |= {name.lower(): address for name, address in self.sip.endpoint.addresses.items()}
        for name, address in bound.items():
            log.event("listening", front=name, address=address)
        if self.plugins.plan:
            self._follow_plan(self.plugins.plan)
        if self.zones:
            self._every(ZONES_EVERY, "zones", self._leave_zones)
        if self.measures:
            self.following.append(loop.create_task(self.measures.run()))
        if self.local:
            advisor = self.local.advisor
            self._every(BEAT_EVERY, "plugins", lambda: advisor.beat(len(self.agent.listed)))
            if self.local.table.control:
                from seamlb.plugins.control import ControlSocket

                self.control = ControlSocket(self.local.table.control, self.local.handle)
                await self.control.start()
        self.lifecycle.started(loop.time())
        self._every(TEND_EVERY, "lifecycle", self.tend)
        log.event("serving", name=config.name, listen=config.listen, version=__version__)

    def tend(self) -> None:
        """Have the fronts do what the lifecycle says now."""
        now = asyncio.get_running_loop().time()
        self.front.tend(now)
        if self.sip:
            self.sip.tend(now)

    def figures(self) -> dict[str, Any]:
        """What `/admin/stats` shows."""
        return self.agent.figures() | {"cfg_accepted": self.cfg_accepted, "cfg_invalid": self.cfg_invalid}

    async def _follow(self, member: Membership) -> None:
        """Follow a list; a fault is logged and it is followed anew, as a drain must not go unheard."""
        while True:
            try:
                await member.run()
            except Exception as error:
                log.event("fault", where="membership", error=repr(error), trace=log.trace(error))
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
            waits: list[str] = []
            self._reload_local(plugins.plugins, waits)
        except ConfigError as error:
            self.cfg_invalid += 1
            log.event("reload_failed", error=str(error))
            return
        self.cfg_accepted += 1
        waits += [
            one.name for new, old in ((config, self.config), (plugins, self.plugins)) for one in fields(new)
            if one.name not in TAKEN_OVER and getattr(new, one.name) != getattr(old, one.name)
        ]
        self.board.move(config.board)
        if self.fleet and plugins.member_keys:
            self.fleet.rotate(plugins.member_keys)
        if self.versions and plugins.agree:
            self.versions.rotate(plugins.agree.taken, plugins.agree.send)
        waits += self._retune(config)
        if self.guide is None and plugins.plan:
            self._follow_plan(plugins.plan)
        elif self.guide:
            self.guide.adopt(self.agent.clock(), plugins.plan)
            self.agent.steer()
        self.plugins = plugins if waits == [] else replace(self.plugins, plan=plugins.plan)
        log.event("reloaded", board=config.board, waits_for_restart=waits)

    def _retune(self, config: Config) -> list[str]:
        """Take new settings; names what of them waits for a restart."""
        old, self.config = self.config, replace(self.config, raw=config.raw)
        if all(getattr(config, name) == getattr(old, name) for name in SETTINGS):
            return []
        if self.guide or self.local:  # both were made for the classes and offices of the start
            return ["settings"]
        self.agent.retune(config.settings.after(self.agent.settings))
        self.agent.max_open = config.max_open
        if isinstance(self.desks, PlatformDesks):
            self.desks.connect_timeout = config.connect_timeout
        self.lifecycle.longest = self.agent.settings.patience / 1000.0
        self.config = replace(self.config, **{name: getattr(config, name) for name in SETTINGS})
        log.event("settings", classes=sorted(config.settings.kinds), attempts=config.settings.limits.attempts_cap)
        return [f"settings.{name}" for name in config.settings.waits(old.settings)]

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain: keep taking, answer all that was taken, go."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.term.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self.term.wait()
        self.lifecycle.terminate(loop.time())
        self.tend()  # from now on a shared socket is the other process's alone
        log.event("draining", open=self.agent.unanswered)
        if self.fleet:
            self.fleet.leave()
        while not self.lifecycle.over(loop.time(), self.agent.unanswered, len(self.front.clients)):
            await asyncio.sleep(TEND_EVERY)
        if self.agent.unanswered:
            log.event("drain_late", open=self.agent.unanswered)
            self.agent.give_up()
            await self.agent.idle.wait()
        self.lifecycle.ended(loop.time())
        await self.close()
        # The loop puts the default back when it closes: a SIGHUP until the exit must not end the drain as a crash.
        loop.remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        log.event("ended", taken=self.agent.taken)

    async def close(self) -> None:
        """Let queued bytes out and close everything."""
        for task in self.following:
            task.cancel()
        await asyncio.gather(*self.following, return_exceptions=True)
        if self.control:
            await self.control.close()
        self.front.close()
        self.management.close()
        if self.fleet:
            self.fleet.close()
        if self.versions:
            self.versions.close()
        if self.sip:
            self.sip.close()
        self.desks.close()
        await asyncio.sleep(0.05)
