"""A SIP connection of a stub: delivers whole messages, sends bytes, and reports its end once."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from seamlb.protocol.framing import Framer
from seamlb.protocol.sip import Message


def reserve() -> socket.socket:
    """Reserve an address for a process that will listen on it or inherit the socket."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


class SipConnection(asyncio.Protocol):
    """One side of a TCP connection that speaks the platform's SIP dialect."""

    def __init__(
        self,
        on_message: Callable[[SipConnection, Message], None],
        on_closed: Callable[[SipConnection], None],
        on_opened: Callable[[SipConnection], None] = lambda connection: None,
    ) -> None:
        self.on_message, self.on_closed, self.on_opened = on_message, on_closed, on_opened
        self.framer = Framer()
        self.transport: asyncio.Transport | None = None
        self.open = False
        self.last_used = asyncio.get_running_loop().time()  # time of the last message of a call

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.open = transport, True
        self.on_opened(self)

    def data_received(self, data: bytes) -> None:
        self.framer.feed(data)
        for message in self.framer.messages():
            if isinstance(message, Message):
                if message.cseq()[1] != "OPTIONS":
                    self.last_used = asyncio.get_running_loop().time()
                self.on_message(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self.on_closed(self)

    def send(self, data: bytes) -> bool:
        """Write; False if the connection has ended."""
        if not self.open or self.transport is None or self.transport.is_closing():
            return False
        self.transport.write(data)
        return True

    def close(self, reset: bool = False) -> None:
        if self.transport is not None:
            self.transport.abort() if reset else self.transport.close()
