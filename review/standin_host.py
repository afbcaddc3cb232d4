"""The network of a host: relays connections to the process that runs there; the host can vanish and come back.

A host that has vanished says nothing: open connections stay open and silent, and new ones never come up. When it
comes back it knows nothing of the connections from before, and resets one as soon as anything comes on it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

BACKLOG = 64
FILLERS = 2  # connections that fill the shortest backlog, so that others don't come up


class Host:
    """One address, before one process at a port of its own."""

    def __init__(self, process: int, log: Callable[..., None]) -> None:
        self.process, self.log = process, log
        self.relayed: set[socket.socket] = set()  # connections that the host knows
        self.gone = False
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def _start(self, work: Callable[[], object]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work())  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def listen(self, port: int) -> None:
        """Listen."""
        self.listener = socket.create_server(("127.0.0.1", port), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.accepting = self._start(self._accept)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self.listener)
            self._start(lambda accepted=accepted: self._relay(accepted))

    async def _relay(self, outside: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        outside.setblocking(False)
        outside.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))  # a close is a reset
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.process)
        except OSError:
            outside.close()
            return
        self.relayed.add(outside)

        async def outward() -> None:
            with contextlib.suppress(OSError):
                while data := await reader.read(65536):
                    if outside not in self.relayed:
                        return
                    await loop.sock_sendall(outside, data)
            if outside in self.relayed:
                outside.close()

        async def inward() -> None:
            with contextlib.suppress(OSError):
                while data := await loop.sock_recv(outside, 65536):
                    if outside not in self.relayed:
                        break
                    writer.write(data)
            if outside not in self.relayed:
                while self.gone:
                    await asyncio.sleep(0.02)
                self.log("unknown_connection_reset")
            writer.close()
            outside.close()

        await asyncio.gather(outward(), inward())

    def vanish(self) -> None:
        """Nothing comes from the host any more; who runs its process ends that."""
        self.gone = True
        self.accepting.cancel()
        self.relayed.clear()
        self.listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def come_back(self) -> None:
        """The host is there again, with a new process."""
        self.gone = False
        for filler in self.fillers:
            filler.close()
        self.listener.listen(BACKLOG)
        self.accepting = self._start(self._accept)
