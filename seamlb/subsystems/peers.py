"""Messages between call agents over UDP, at the addresses in the platform's configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from seamlb import log
from seamlb.config import Config
from seamlb.net.address import split_address
from seamlb.net.datagram import DatagramEndpoint
from seamlb.routing.agent import Agent
from seamlb.subsystems import Subsystem

MAX_DATAGRAM_BYTES = 256
RETRY_INTERVAL_S = 0.5  # between two attempts to bind the address


class PeerSocket(Subsystem):
    """One agent's socket for messages to its peers."""

    def __init__(self, config: Config, agent: Agent) -> None:
        self.config = config
        self.agent = agent
        self.peer_numbers = {split_address(peer): number for number, peer in enumerate(config.peers)}
        self.endpoint: DatagramEndpoint | None = None

    async def try_bind(self) -> bool:
        """Bind; False if another process has the address, for which `take_over` then waits."""
        # The process that this one replaces still has it bound, shared or not, depending on its version.
        shared = self.config.inherited is not None
        try:
            self.endpoint = await DatagramEndpoint.bind(self.config.peer_listen, "peer", self._on_datagram, shared)
        except OSError:
            if not shared:
                raise
            return False
        return True

    async def bind(self) -> None:
        """Open the socket, unless the process that this one replaces still has it."""
        self.agent.peers = self
        if not await self.try_bind():
            log.event("peers_wait", address=self.config.peer_listen)

    def background_tasks(self) -> list[Coroutine[None, None, None]]:
        """Repeated attempts to open the socket, if it is not open yet."""
        return [] if self.endpoint else [self.take_over()]

    async def take_over(self) -> None:
        """Take the address over when it becomes free."""
        while not await self.try_bind():
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _on_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        sender = self.peer_numbers.get(address)
        if sender is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self.agent.peer_message(sender, data)

    def send(self, target: int | None, payload: bytes) -> None:
        """Send a datagram to one peer, or to all."""
        if self.endpoint is None or len(payload) > MAX_DATAGRAM_BYTES:
            return  # the platform does not allow longer ones
        if target is None and self.config.peers_all:
            self.endpoint.send(payload, split_address(self.config.peers_all))
        elif target is not None and target < len(self.config.peers):
            self.endpoint.send(payload, split_address(self.config.peers[target]))
