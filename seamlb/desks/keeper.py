"""Keeps one connection to a server that carries set-ups, and tests it with another one when it falls silent."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from seamlb import log
from seamlb.desks.reader import ServerReader
from seamlb.net.connection import Connection
from seamlb.net.dial import ConnectError, connect
from seamlb.net.reason import CloseReason

if TYPE_CHECKING:
    from seamlb.desks.link import Link

MAX_CONNECTIONS = 4  # a server tells the state of its group on four at most
RETRY_FIRST, RETRY_MOST = 0.1, 1.0  # seconds between tries to connect
SUSPECT = 0.25  # seconds without a byte, with a set-up out, before a second connection tests the first
QUIET = 2.0  # the same where only calls stand, which may be quiet
UNREACHABLE = 6.0  # seconds without a way to a server before its standing calls count as cut
BROKEN = (CloseReason.PEER_RESET, CloseReason.PEER_CLOSED)  # a new connection's bad luck, once: no sign of the server


class Keeper:
    """Opens and closes the connections of one link."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.lost_at: float | None = None  # since when no connection to the server comes up

    async def run(self) -> None:
        """Hold a connection to the server until it is gone; a fault is logged and must not leave it without one."""
        while not self.link.gone:
            try:
                await self._hold()
            except Exception as error:
                log.event("fault", where="desk", error=repr(error), trace=log.trace(error))
                await asyncio.sleep(RETRY_MOST)

    async def _hold(self) -> None:
        """Hold a connection to the server, and test with another one when it falls silent."""
        pause, broke = RETRY_FIRST, False
        while not self.link.gone:
            if self.link.open and not self._suspect():
                self.link.dead = False
                self.link.free_idle(CloseReason.IDLE)
                await self._look_within(SUSPECT / 2)
                continue
            if len(self.link.open) >= MAX_CONNECTIONS and not self._make_room():
                await asyncio.sleep(RETRY_MOST)
                continue
            reason = await self._try()
            if self.link.gone:
                return
            if reason is None:
                pause, broke = RETRY_FIRST, False
            elif reason in BROKEN and not broke:
                broke = True
            else:
                self._unreachable(reason, asyncio.get_running_loop().time())
                await self._look_within(pause)
                pause = min(2 * pause, RETRY_MOST)

    async def _look_within(self, seconds: float) -> None:
        """Wait until there is a reason to look at the connections, or for so long."""
        self.link.wanted.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.link.wanted.wait(), seconds)

    def _make_room(self) -> bool:
        """Close a connection without set-ups; False if each has some, as their time-outs will make room."""
        useless = (one for one in self.link.open if not self.link.legs.unanswered(one))
        spare = next((one for one in useless if not (one.in_use() or one.has_unread_data())), None)
        if spare is None:
            return False
        spare.close(CloseReason.SILENT)
        return True

    async def _try(self) -> CloseReason | None:
        """Open a connection; why it is of no use, or None. It carries set-ups once the server's state came on it.

        Guards against a process that hangs: its connections come up, and nothing comes on them.
        """
        try:
            connection = await connect(self.link.desk.address, "desk", self.link.owner.connect_timeout)
        except ConnectError as failed:
            return failed.reason
        if self.link.gone:
            connection.close(CloseReason.REPLACED)
            return CloseReason.REPLACED
        serving = self.link.owner.spawn(ServerReader(self.link, connection).run())
        if not self.link.tells:
            self.link.opened(connection)
            return None
        told = self.link.owner.spawn(self._state_on(connection))
        first = asyncio.FIRST_COMPLETED
        await asyncio.wait((serving, told), timeout=self.link.owner.connect_timeout, return_when=first)
        told.cancel()
        if connection in self.link.open:
            return None
        connection.close(CloseReason.SILENT)
        return connection.reason

    async def _state_on(self, connection: Connection) -> None:
        """Wait until the server has told its state on a new connection."""
        while connection not in self.link.open:
            self.link.told.clear()
            await self.link.told.wait()

    def _suspect(self) -> bool:
        """Is a set-up out on the newest connection, or does a call stand at the server, and not a byte back for long?

        A connection that has fallen silent brings neither its process's end nor the releases, and at a server that
        drains no set-up goes out that would show it.
        """
        now = asyncio.get_running_loop().time()
        newest = self.link.open[-1]
        silent = now - newest.last_read
        if silent <= SUSPECT:
            return False
        waits = any(now - leg.sent > SUSPECT for leg in self.link.legs.unanswered(newest))
        return waits or (silent > QUIET and self.link.has_standing())

    def _unreachable(self, reason: CloseReason, now: float) -> None:
        """No connection comes up, or a new one stays silent: what waits never ran; a refusal tells of a dead process.

        A process that only hangs keeps what stands there, so silence cuts nothing. Nor does a refusal while a
        connection is open: a server that drains refuses new ones and has its calls, and a dying process resets. Only
        when nothing has come on it for long either has it fallen silent, and its process has ended unheard: callers
        are owed the end of a call that was cut within 8 s. Until then it stays open, also when a new one does not
        come up in time, which may happen once at a server that refuses all others: what stands there ends on it.
        """
        self.link.dead = True
        heard = max((one.last_read for one in self.link.open), default=now)
        refused = reason == CloseReason.REFUSED
        quiet = bool(self.link.open) and now - heard < UNREACHABLE
        if reason == CloseReason.SILENT or (refused and quiet):
            self.lost_at = None
        elif self.lost_at is None:
            self.lost_at = heard + 0.5 if now - heard > QUIET else now  # lost somewhere in that quiet
        for connection in self.link.open[:]:
            if now - connection.last_read <= SUSPECT or connection.has_unread_data():
                continue
            # Silent too: the machine is gone or cut off, or hangs, or its set-ups would wait for their time-outs.
            if not quiet or self.link.legs.unanswered(connection):
                connection.close(CloseReason.SILENT)
        self.link.fail_waiting()
        if (refused and not self.link.open) or (self.lost_at is not None and now - self.lost_at > UNREACHABLE):
            self.link.cut_standing()
