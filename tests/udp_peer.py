"""A scripted peer's UDP socket."""

from __future__ import annotations

import asyncio
from typing import Any

from seamlb.protocol.sip import Message, parse_datagram
from tests.loopback import HANG_TIMEOUT, Peer


class UdpPeer(asyncio.DatagramProtocol):
    """A scripted peer's UDP socket with the same methods as `Peer`."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[tuple[Message, Any]] = asyncio.Queue()
        self.address, self.source = "", ("", 0)

    @classmethod
    async def bind(cls, target: str = "127.0.0.1:9") -> UdpPeer:
        loop = asyncio.get_running_loop()
        transport, peer = await loop.create_datagram_endpoint(cls, local_addr=("127.0.0.1", 0))
        peer.transport, peer.address = transport, "{}:{}".format(*transport.get_extra_info("sockname"))
        host, _, port = target.rpartition(":")
        peer.source = (host, int(port))
        return peer

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received.put_nowait((parse_datagram(data), addr))

    def send(self, message: Message | bytes) -> None:
        self.transport.sendto(message if isinstance(message, bytes) else message.encode(), self.source)

    async def next(self) -> Message:
        message, self.source = await asyncio.wait_for(self.received.get(), HANG_TIMEOUT)
        return message

    until = Peer.until

    def close(self) -> None:
        self.transport.close()
