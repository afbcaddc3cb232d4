"""A scripted desk whose host can vanish or hang: open connections stay silent, and new ones do or do not come up."""

from __future__ import annotations

import asyncio
import socket

from tests.loopback import Script, ScriptedDesk

BACKLOG = 100  # connections that the kernel accepts for a process that hangs


class VanishingDesk(ScriptedDesk):
    """A desk on a listening socket of its own, whose backlog decides whether new connections come up."""

    def __init__(self, script: Script | None = None) -> None:
        super().__init__(script)
        self.answers_tests = True
        self.fillers: list[socket.socket] = []

    async def start(self, port: int = 0) -> str:
        self.listener = socket.create_server(("127.0.0.1", port), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.accepting = asyncio.create_task(self._accept())
        return self.address

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=accepted)
            self.serving = asyncio.create_task(self._serve(reader, writer))

    def hang(self) -> None:
        """Stop the process: its kernel still accepts connections, but nothing is sent on any."""
        self.accepting.cancel()
        self.hangs = True
        for peer in self.peers:
            peer.writer.transport.pause_reading()

    def wake(self) -> None:
        """Continue after a hang, or reconnect the host after it was cut off."""
        for filler in self.fillers:
            filler.close()
        self.listener.listen(BACKLOG)
        self.hangs = False
        for peer in self.peers:
            peer.writer.transport.resume_reading()
        self.accepting = asyncio.create_task(self._accept())

    def restart(self, resets: bool = True) -> None:
        """Run a new process, with its host back if it had vanished; it resets the connections from before or none."""
        self.accepting.cancel()
        former, self.peers = self.peers, []
        for peer in former if resets else ():
            peer.reset()
        self.wake()

    def vanish(self, accepted_last: int = 0) -> None:
        """Cut the host off without a word; its kernel still accepts `accepted_last` (0 or 1) connections."""
        self.hang()
        self._fill_backlog(1 - accepted_last)

    def _fill_backlog(self, connections: int) -> None:
        self.listener.listen(0)
        for _ in range(connections):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def close_accepted(self) -> None:
        """Accept connections and close them at once, as a proxy does whose server cannot be reached."""

        async def accept() -> None:
            while True:
                accepted, _ = await asyncio.get_running_loop().sock_accept(self.listener)
                accepted.close()

        self.accepting = asyncio.create_task(accept())

    def refuse_connections(self) -> None:
        """Close the listener, as a server that drains does: open connections stay, and tests on them are answered."""
        self.accepting.cancel()
        self.listener.close()

    def cut_new_connections(self) -> None:
        """Let no new connection come up, while the open ones work."""
        self.accepting.cancel()
        self._fill_backlog(1)

    async def stop(self) -> None:
        self.accepting.cancel()
        self.listener.close()
        for filler in self.fillers:
            filler.close()
        for peer in self.peers:
            peer.reset()
