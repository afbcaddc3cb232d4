"""A connection of a stand-in: whole messages in, bytes out, its end told once."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from seamlb.protocol.sip import Framer, Message


def reserve() -> socket.socket:
    """A socket that holds an address for a process that will listen there, or be handed the socket."""
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind(("127.0.0.1", 0))
    return made


class Wire(asyncio.Protocol):
    """One side of a TCP connection that speaks the platform's dialect."""

    def __init__(
        self,
        took: Callable[[Wire, Message], None],
        ended: Callable[[Wire], None],
        opened: Callable[[Wire], None] = lambda wire: None,
    ) -> None:
        self.took, self.ended, self.opened = took, ended, opened
        self.framer = Framer()
        self.transport: asyncio.Transport | None = None
        self.open = False
        self.used = asyncio.get_running_loop().time()  # when a call last had a message on it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.open = transport, True
        self.opened(self)

    def data_received(self, data: bytes) -> None:
        self.framer.feed(data)
        for message in self.framer.messages():
            if isinstance(message, Message):
                if message.cseq()[1] != "OPTIONS":
                    self.used = asyncio.get_running_loop().time()
                self.took(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self.ended(self)

    def send(self, data: bytes) -> bool:
        """Write; False once the connection has ended."""
        if not self.open or self.transport is None or self.transport.is_closing():
            return False
        self.transport.write(data)
        return True

    def close(self, reset: bool = False) -> None:
        if self.transport is not None:
            self.transport.abort() if reset else self.transport.close()
