"""Messages between call agents over UDP, as the platform names their addresses."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from seamlb import log
from seamlb.config import Config
from seamlb.net.address import split_address
from seamlb.net.datagram import DatagramEndpoint
from seamlb.routing.agent import Agent
from seamlb.subsystems import Subsystem

MAX_DATAGRAM = 256
EVERY = 0.5  # seconds between two tries to take over the peers' address


class PeerLink(Subsystem):
    """One agent's socket for its peers."""

    def __init__(self, config: Config, agent: Agent) -> None:
        self.config = config
        self.agent = agent
        self.senders = {split_address(one): place for place, one in enumerate(config.peers)}
        self.endpoint: DatagramEndpoint | None = None

    async def start(self) -> bool:
        """Bind; False if another process has the address, which `follow` then waits for."""
        # The process before this one has it bound still, in a version that shares it or in one that doesn't.
        shared = self.config.inherited is not None
        try:
            self.endpoint = await DatagramEndpoint.bind(self.config.peer_listen, "peer", self._received, shared)
        except OSError:
            if not shared:
                raise
            return False
        return True

    async def bind(self) -> None:
        """Open the socket; another process may still have it."""
        self.agent.peers = self
        if not await self.start():
            log.event("peers_wait", address=self.config.peer_listen)

    def runs(self) -> list[Coroutine[None, None, None]]:
        """Tries to open the socket, if it is not open yet."""
        return [] if self.endpoint else [self.follow()]

    async def follow(self) -> None:
        """Take the address over when it comes free."""
        while not await self.start():
            await asyncio.sleep(EVERY)

    def _received(self, data: bytes, address: tuple[str, int]) -> None:
        sender = self.senders.get(address)
        if sender is not None and len(data) <= MAX_DATAGRAM:
            self.agent.peer_message(sender, data)

    def send(self, target: int | None, payload: bytes) -> None:
        """Send a datagram to one peer, or to all."""
        if self.endpoint is None or len(payload) > MAX_DATAGRAM:
            return  # a longer one voids the run
        if target is None and self.config.peers_all:
            self.endpoint.send(payload, split_address(self.config.peers_all))
        elif target is not None and target < len(self.config.peers):
            self.endpoint.send(payload, split_address(self.config.peers[target]))
