"""Stub servers whose host vanishes or is cut off, and that close, reset, repeat or spoil what they send."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import cast

from seamlb.emulator.audit import CUT_RELEASE_WITHIN_S
from seamlb.protocol.sip import Message
from tests.loopback import SDP, reply
from tests.soak.record import Record
from tests.soak.servers import Server
from tests.soak.wire import SipConnection

BACKLOG = 100
EARLY_CLOSE_SHARE, RESET_SHARE, SPOILT_SHARE = 0.5, 0.3, 0.2
SECOND_ANSWER_S = (0.0, 0.03)  # after the first one
DOOR_S = 0.7  # for which connections do not come up, or do, while they come up late
SPOILT = b"SIP/2.0 2x0 ?\r\nContent-Length: x\r\n\r\n"


class FaultyServer(Server):
    """A server on sockets of its own, whose backlog decides whether new connections come up."""

    def __init__(self, name: str, agents: int, holding_s: float, record: Record, rng: random.Random) -> None:
        super().__init__(name, agents, holding_s, record, rng)
        self.sockets: list[socket.socket] = []
        self.fillers: list[socket.socket] = []
        self.faults: set[str] = set()  # those in progress
        self.vanished = False

    async def start(self) -> None:
        self.generation += 1
        self.vanished = False
        for agent in range(self.agents):
            listener = socket.create_server(("127.0.0.1", self.ports[agent]), backlog=BACKLOG)
            listener.setblocking(False)
            self.sockets.append(listener)
        self.open_door()
        self._spawn(self._report_state(self.generation))

    async def stop(self) -> None:
        for listener in self.sockets:
            self.loop.remove_reader(listener)
        for each in (*self.sockets, *self.fillers):
            each.close()
        self.sockets.clear()
        self.fillers.clear()
        await super().stop()

    # -- new connections ------------------------------------------------------------------------

    def open_door(self) -> None:
        """Let new connections come up."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        for agent, listener in enumerate(self.sockets):
            listener.listen(BACKLOG)
            self.loop.add_reader(listener, self._accept_waiting, agent, listener)

    def close_door(self, accepted_last: int = 0) -> None:
        """Let no new connection come up, but the next `accepted_last` (0 or 1), which nobody serves."""
        for listener in self.sockets:
            self.loop.remove_reader(listener)
            listener.listen(0)
            for _ in range(1 - accepted_last):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
                self.fillers.append(filler)

    def _accept_waiting(self, agent: int, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):  # it was closed by its peer
            accepted, _ = listener.accept()
            accepted.setblocking(False)
            self._spawn(self._serve(agent, accepted))

    async def _serve(self, agent: int, accepted: socket.socket) -> None:
        await self.loop.connect_accepted_socket(self._accept(agent), accepted)

    # -- the host -------------------------------------------------------------------------------

    def _fall_silent(self) -> None:
        """Send nothing, read nothing, and count the attempts as over: nothing that concerns them arrives any more."""
        self.hung = True
        for connections in self.connections.values():
            for connection in connections:
                cast(asyncio.Transport, connection.transport).pause_reading()
        for ident, call in list(self.calls.items()):
            if not call.established:
                self.record.note(ident, self.name, "its host is cut off")
                self._end_attempt(ident, "reset")

    def vanish(self, accepted_last: int) -> None:
        """The host is gone, without a word; its calls have ended."""
        self._fall_silent()
        self.close_door(accepted_last)
        self.vanished = True
        now = self.loop.time()
        for ident in list(self.calls):
            self.record.note(ident, self.name, "its host vanishes")
            self.record.cut_calls.add(ident)
            self.record.audit.call_ended(now, ident, CUT_RELEASE_WITHIN_S)
        self.calls.clear()

    async def cut_off(self, seconds: float) -> None:
        """The host hears and says nothing for a while; the connections of before are reset then, its calls live."""
        self._fall_silent()
        self.close_door()
        await asyncio.sleep(seconds)
        for connections in self.connections.values():
            for connection in connections[:]:
                connection.close(reset=True)
        self.open_door()
        self.wake()

    async def come_up_late(self, seconds: float) -> None:
        """New connections come up when their SYN is repeated, about a second later."""
        until = self.loop.time() + seconds
        while self.loop.time() < until and not self.vanished:
            self.close_door()
            await asyncio.sleep(DOOR_S)
            if not self.vanished and self.sockets:
                self.open_door()
                await asyncio.sleep(DOOR_S)

    # -- what it sends --------------------------------------------------------------------------

    def _opened(self, agent: int, connection: SipConnection) -> None:
        super()._opened(agent, connection)
        if "closed early" in self.faults and self.rng.random() < EARLY_CLOSE_SHARE:
            self.loop.call_later(self.rng.choice((0.0, 0.02)), connection.close, self.rng.random() < 0.5)

    def _received(self, agent: int, connection: SipConnection, message: Message) -> None:
        super()._received(agent, connection, message)
        if message.method == "INVITE" and "resets" in self.faults and self.rng.random() < RESET_SHARE:
            self.record.note(message.get("call-id"), self.name, "resets the connection")
            connection.close(reset=True)

    def _decide(self, ident: str, connection: SipConnection, message: Message) -> None:
        call = self.calls.get(ident)
        pending = call is not None and call.connection is connection and not call.established
        if pending and "spoilt answers" in self.faults and self.rng.random() < SPOILT_SHARE:
            self.record.note(ident, self.name, "spoilt answer")
            self._end_attempt(ident, "reset")
            self.outgoing[connection].put_nowait((SPOILT, lambda: None))
            return
        super()._decide(ident, connection, message)
        if pending and call and call.established and "second answers" in self.faults:
            delay = self.rng.uniform(*SECOND_ANSWER_S)
            self.loop.call_later(delay, self.send, connection, reply(message, 200, body=SDP))
