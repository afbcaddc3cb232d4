"""The daemon: puts fronts, core, desk clients and membership together, and ends in good order."""

from __future__ import annotations

import asyncio
import contextlib
import signal

from seamlb import __version__, log
from seamlb.config import Config
from seamlb.desks.platform import PlatformDesks
from seamlb.fronts.platform import PlatformFront
from seamlb.membership.board import Board
from seamlb.net.connection import split_address
from seamlb.net.datagram import Endpoint
from seamlb.routing.agent import Agent

KEEP_TAKING = 0.7  # seconds after SIGTERM in which requests still come
CLIENT_SHARE = 0.6  # part of the descriptors that callers may hold; the platform says they take a third
MAX_DATAGRAM = 256


class PeerLink:
    """Messages between call agents over UDP."""

    def __init__(self, config: Config, agent: Agent) -> None:
        self.config = config
        self.agent = agent
        self.senders = {split_address(one): place for place, one in enumerate(config.peers)}
        self.endpoint: Endpoint | None = None

    async def start(self) -> None:
        self.endpoint = await Endpoint.bind(self.config.peer_listen, "peer", self._received)

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
    """One call agent."""

    def __init__(self, config: Config) -> None:
        self.config = config
        settings = config.settings
        self.agent = Agent(settings, config.seed, config.max_open)
        self.front = PlatformFront(
            self.agent, config.listen, int(config.sockets * CLIENT_SHARE), config.tenants
        )
        self.desks = PlatformDesks(
            settings.fields, config.connect_timeout, config.idle_close, self.agent.sampled, self.front.release
        )
        self.agent.desks = self.desks
        self.board = Board(config.board, config.zones, self.agent.list_changed)
        self.peers: PeerLink | None = None
        self.term = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.term.set)
        if self.config.peer_listen and self.config.settings.limits.peers:
            self.peers = PeerLink(self.config, self.agent)
            await self.peers.start()
            self.agent.peers = self.peers
        if self.config.known:
            self.board.known(self.config.known)
        self.front.start()
        following = loop.create_task(self.board.run()) if self.config.board else None
        await asyncio.sleep(0)
        self.front.ready = True
        log.event("serving", name=self.config.name, listen=self.config.listen, version=__version__)
        await self.term.wait()
        await self._drain(following)

    async def _drain(self, following: asyncio.Task[None] | None) -> None:
        """Keep taking for a while, answer all that was taken, then go."""
        log.event("draining", open=self.agent.unanswered)
        self.front.drain()
        await asyncio.sleep(KEEP_TAKING)
        self.front.stop_listening()
        await self.agent.idle.wait()
        if following:
            following.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await following
        self.front.close()
        self.desks.close()
        await asyncio.sleep(0.05)  # lets queued bytes out
        log.event("ended", taken=self.agent.taken)
