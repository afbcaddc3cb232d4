"""Agreed versions on sockets: carries notes between agents and the council, and has the agent act by the rules.

Each process dials the members of the council that it has something for, and answers on the connection by which it was
asked, as only members have an address. A note that finds no connection is lost; all of them are said again in time.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from seamlb import log
from seamlb.agree.acting import Acting
from seamlb.agree.council import Out
from seamlb.agree.frames import Codec, FrameError, Reader
from seamlb.agree.notes import ANSWERED, ANSWERS, Note
from seamlb.agree.seat import Said, Seat
from seamlb.agree.table import Agreed
from seamlb.net.connection import Connection
from seamlb.net.dial import ConnectError, connect
from seamlb.net.listener import Listener
from seamlb.net.reason import CloseReason

STEPS = 20  # looks a lease
SILENT = 1.0  # leases after which a connection on which requests have no answer is dialled anew
AGAIN = 0.3  # leases between two tries to reach a member
UNSENT = 8  # notes that wait for a connection to come up; of more the newest, as notes are said again
SPARE = 64  # connections beyond one an agent


def clock() -> float:
    """Seconds that also count while the machine sleeps, and that nobody sets."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class AgreeLink:
    """One process among a site's agents."""

    def __init__(self, config: Agreed, name: str, zones: tuple[str, ...], look: Callable[[], None]) -> None:
        self.config, self.name = config, name
        self.look = look  # has the agent act on what `acting` says now
        self.codec = Codec(name, config.first.digest, config.taken, config.send)
        self.seat = Seat(name, config.first, config.lease, config.state, clock, self._post)
        self.acting = Acting(self.seat.holder, zones, clock)
        self.listener = Listener("agree", len(config.first.agents) + SPARE, self._accepted)
        self.dialled: dict[str, Connection] = {}  # ours, by member
        self.asked: dict[str, float] = {}  # when we first sent a request on it with nothing heard since
        self.unsent: dict[str, deque[bytes]] = {}  # by member that is being dialled
        self.tasks: set[asyncio.Task[None]] = set()
        self.routes: dict[str, Connection] = {}  # by which others came, by name
        self.loop: asyncio.AbstractEventLoop | None = None
        self.dropped = 0

    async def run(self) -> None:
        """Take the folder, listen, and go on until cancelled."""
        self.loop = asyncio.get_running_loop()
        step = self.config.lease / STEPS
        while not self.seat.begin():
            self.say()
            await asyncio.sleep(step)  # the process before this one has it; until it ends this one acts alone
        while self.config.listen and not self.listener.port:
            try:
                self.listener.bind_and_listen(self.config.listen)
            except OSError as error:
                log.event("agree_wait", address=self.config.listen, error=error.strerror)
                await asyncio.sleep(max(step, 0.5))
        log.event("agree", name=self.name, listen=self.config.listen, charter=self.seat.holder.newest.number)
        while True:
            try:
                self.seat.tick()
                self.say()
            except Exception as error:  # must not end the calls, nor the versions
                log.event("fault", where="agree", error=repr(error), trace=log.trace(error))
            await asyncio.sleep(step)

    def say(self) -> None:
        """Log what is acted on, where that has changed, and what was dropped."""
        self.look()
        for stance, charter, since in self.acting.news:
            log.event(
                "agree_acts",
                stance=stance.value,
                charter=charter.number,
                digest=charter.digest,
                since=round(since, 4),
            )
        self.acting.news.clear()
        if (dropped := sum(self.codec.dropped.values())) > 2 * self.dropped:
            self.dropped = dropped
            log.event("agree_dropped", **self.codec.dropped)

    # -- notes --------------------------------------------------------------------------------

    def _post(self, out: Out, said: Said) -> None:
        if self.loop and (out or said):
            self.loop.call_soon_threadsafe(self._send, out, said)

    def _send(self, out: Out, said: Said) -> None:
        for event, facts in said:
            log.event(event, **facts)
        for to, note in out:
            if to == self.name:
                self._received(note)
            else:
                self._send_to(to, note)

    def _send_to(self, to: str, note: Note) -> None:
        """An answer goes back on the connection by which its receiver dialled us; requests go to members only."""
        data, route = self.codec.encode(to, note), self.routes.get(to)
        answers = note.kind in ANSWERS and route is not None and not route.closed
        if to in self.config.council and not answers:
            self._to_member(to, data, note.kind in ANSWERED)
        elif route:
            route.send(data)

    def _received(self, note: Note) -> None:
        """Have the agent act on what a note brings before any answer to it leaves.

        Once we have said that we know a charter, the one before it may go out of force at any moment; what we act on
        until the next step, and log as acted on, must not be the one before.
        """
        self.seat.received(note)
        self.look()

    def _to_member(self, to: str, data: bytes, answered: bool) -> None:
        """Send on a connection of ours, which is dialled anew if a request on it has had no answer for too long."""
        connection, now = self.dialled.get(to), clock()
        if connection and not connection.closed and now - self.asked.get(to, now) > SILENT * self.config.lease:
            connection.close(CloseReason.SILENT)
        if connection and not connection.closed:
            if answered:
                self.asked.setdefault(to, now)
            connection.send(data)
            return
        if to not in self.unsent and self.loop:
            self.unsent[to] = deque(maxlen=UNSENT)
            task = self.loop.create_task(self._dial(to))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self.unsent[to].append(data)

    async def _dial(self, to: str) -> None:
        try:
            connection = await connect(self.config.council[to], "agree", self.config.lease)
        except ConnectError:
            await asyncio.sleep(AGAIN * self.config.lease)  # each try leaves a line in the log
            return
        finally:
            unsent = self.unsent.pop(to)
        self.dialled[to] = connection
        self.asked.pop(to, None)
        for data in unsent:
            connection.send(data)
        await self._read(connection)

    async def _accepted(self, connection: Connection) -> None:
        await self._read(connection)
        self.routes = {name: one for name, one in self.routes.items() if one is not connection}

    async def _read(self, connection: Connection) -> None:
        reader = Reader(self.codec)

        def received(data: bytes) -> None:
            messages = 0
            try:
                for note in reader.feed(data):
                    messages += 1
                    self._heard(connection, note.sender)
                    self._received(note)
            except FrameError as error:
                log.event("malformed", kind="agree", peer=connection.peer, error=str(error))
                return connection.close(CloseReason.MALFORMED)
            connection.messages_read(messages, reader.partial)
            if messages:
                self.listener.mark_used(connection)

        await connection.run(received)

    def _heard(self, connection: Connection, sender: str) -> None:
        if self.dialled.get(sender) is connection:
            self.asked.pop(sender, None)
        else:
            self.routes[sender] = connection

    def rotate(self, taken: Mapping[int, bytes], send: int) -> None:
        """Other keys from now on."""
        self.codec.rotate(taken, send)

    def propose(self, asked: str) -> str:
        """Put rules to the vote; why not, or empty."""
        return self.seat.propose(asked.encode())

    def table(self) -> dict[str, Any]:
        """What `/admin/agree` shows."""
        self.look()
        return self.seat.table() | {"dropped": dict(self.codec.dropped)}

    def close(self) -> None:
        """End all connections and let go of the folder."""
        self.listener.stop()
        for connection in {*self.listener.connections, *self.dialled.values()}:
            connection.close(CloseReason.SHUTDOWN)
        for task in self.tasks:
            task.cancel()
        self.seat.close()
