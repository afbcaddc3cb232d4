"""UDP endpoints on asyncio (Tornado has no UDP stream)."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from seamlb import log
from seamlb.net.address import address_family, split_address

DatagramHandler = Callable[[bytes, tuple[str, int]], None]  # data, sender's address


class DatagramEndpoint(asyncio.DatagramProtocol):
    """One bound address; an exception in the handler is logged and loses only that datagram."""

    def __init__(self, kind: str, handler: DatagramHandler) -> None:
        self.kind = kind
        self.handler = handler
        self.transport: asyncio.DatagramTransport | None = None
        self.address = ("", 0)

    @classmethod
    async def bind(cls, address: str, kind: str, handler: DatagramHandler, shared: bool = False) -> DatagramEndpoint:
        """Bind an address; if `shared`, other processes may bind it too, and the last one gets the datagrams."""
        host, port = split_address(address)
        sock = socket.socket(address_family(host), socket.SOCK_DGRAM)
        try:
            if shared:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        loop = asyncio.get_running_loop()
        _, endpoint = await loop.create_datagram_endpoint(lambda: cls(kind, handler), sock=sock)
        return endpoint

    def connection_made(self, transport: Any) -> None:
        """Store the transport and the bound address (asyncio callback)."""
        self.transport = transport
        self.address = transport.get_extra_info("sockname")[:2]

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Pass a datagram to the handler and log an exception in it (asyncio callback)."""
        try:
            self.handler(data, (addr[0], addr[1]))
        except Exception as error:
            log.event("fault", where=self.kind, error=repr(error), trace=log.trace(error))

    def error_received(self, exc: Exception) -> None:
        """Log the error of an earlier send (asyncio callback)."""
        log.event("datagram_error", kind=self.kind, error=repr(exc))

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram if the socket is open."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
