"""Maintains the connections to one server: keeps one open for set-ups and tests a silent one with another."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from seamlb import log
from seamlb.desks.reader import ServerReader
from seamlb.net.close_reason import CloseReason
from seamlb.net.connecting import ConnectError, connect
from seamlb.net.connection import Connection

if TYPE_CHECKING:
    from seamlb.desks.link import Link

MAX_CONNECTIONS = 4  # a server reports the state of its group on at most four connections
RETRY_MIN, RETRY_MAX = 0.1, 1.0  # seconds between connect attempts
SETUP_SILENCE = (
    0.25  # seconds without a byte, with a set-up unanswered, before a second connection is opened as a test
)
CALL_SILENCE = 2.0  # the same with established calls only, on which no messages are normal
UNREACHABLE_AFTER = 6.0  # seconds without contact to a server before its established calls count as cut
TRANSIENT_REASONS = (CloseReason.PEER_RESET, CloseReason.PEER_CLOSED)  # retried once before the server is suspected


class ConnectionManager:
    """Opens and closes the connections of one link."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.unreachable_since: float | None = None  # loop time since when no connection could be opened

    async def run(self) -> None:
        """Maintain a connection until the server is removed; an exception is logged and must not end this."""
        while not self.link.removed:
            try:
                await self._maintain()
            except Exception as error:
                log.event("fault", where="desk", error=repr(error), trace=log.trace(error))
                await asyncio.sleep(RETRY_MAX)

    async def _maintain(self) -> None:
        """Keep a connection to the server open, and test it with another one when it falls silent."""
        pause, was_reset = RETRY_MIN, False
        while not self.link.removed:
            if self.link.connections and not self._is_silent():
                self.link.unreachable = False
                self.link.close_idle(CloseReason.IDLE)
                await self._wait_for_wakeup(SETUP_SILENCE / 2)
                continue
            if len(self.link.connections) >= MAX_CONNECTIONS and not self._close_unused():
                await asyncio.sleep(RETRY_MAX)
                continue
            reason = await self._open_connection()
            if self.link.removed:
                return
            if reason is None:
                pause, was_reset = RETRY_MIN, False
            elif reason in TRANSIENT_REASONS and not was_reset:
                was_reset = True
            else:
                self._connect_failed(reason, asyncio.get_running_loop().time())
                await self._wait_for_wakeup(pause)
                pause = min(2 * pause, RETRY_MAX)

    async def _wait_for_wakeup(self, seconds: float) -> None:
        """Wait until the connections have to be checked, at most this many seconds."""
        self.link.wakeup.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.link.wakeup.wait()

    def _close_unused(self) -> bool:
        """Close one connection without set-ups; False if all have some, which will time out and free a connection."""
        unused = (one for one in self.link.connections if not self.link.legs.unanswered(one))
        connection = next((one for one in unused if not (one.in_use() or one.has_unread_data())), None)
        if connection is None:
            return False
        connection.close(CloseReason.SILENT)
        return True

    async def _open_connection(self) -> CloseReason | None:
        """Open a connection and return None, or the reason why it is unusable.

        It carries set-ups only once the server has reported its state on it: a process that hangs still accepts
        connections but sends nothing on them.
        """
        try:
            connection = await connect(self.link.desk.address, "desk", self.link.context.connect_timeout)
        except ConnectError as error:
            return error.reason
        if self.link.removed:
            connection.close(CloseReason.REPLACED)
            return CloseReason.REPLACED
        reading = self.link.context.spawn(ServerReader(self.link, connection).run())
        if not self.link.reports_state:
            self.link.opened(connection)
            return None
        state = self.link.context.spawn(self._wait_for_state(connection))
        first = asyncio.FIRST_COMPLETED
        await asyncio.wait((reading, state), timeout=self.link.context.connect_timeout, return_when=first)
        state.cancel()
        if connection in self.link.connections:
            return None
        connection.close(CloseReason.SILENT)
        return connection.reason

    async def _wait_for_state(self, connection: Connection) -> None:
        """Wait until the server has reported its state on a new connection."""
        while connection not in self.link.connections:
            self.link.state_event.clear()
            await self.link.state_event.wait()

    def _is_silent(self) -> bool:
        """Whether nothing arrived on the newest connection for too long, with set-ups or established calls there.

        A connection that has fallen silent reports neither the end of its process nor releases, and a draining
        server gets no set-ups whose timeouts would reveal it.
        """
        now = asyncio.get_running_loop().time()
        newest = self.link.connections[-1]
        silent = now - newest.last_read
        if silent <= SETUP_SILENCE:
            return False
        overdue = any(now - leg.sent_at > SETUP_SILENCE for leg in self.link.legs.unanswered(newest))
        return overdue or (silent > CALL_SILENCE and self.link.has_established())

    def _connect_failed(self, reason: CloseReason, now: float) -> None:
        """Handle a connect attempt that failed, or a new connection on which no state arrived.

        Waiting set-ups fail, because they never ran. A refused connection shows that the process has ended, unless
        another connection is open: a draining server refuses new connections and keeps its calls, and a process that
        ends resets the open ones. A process that only hangs keeps its calls, so a silent new connection cuts nothing.

        If nothing has arrived on the open connection for long either, its process has ended unnoticed; callers have
        to be told of a cut call within 8 s. Until then it stays open, even if a new connection times out, which may
        happen once at a server that refuses all others: the releases of its calls arrive on the open one.
        """
        self.link.unreachable = True
        last_read = max((one.last_read for one in self.link.connections), default=now)
        refused = reason == CloseReason.REFUSED
        recent = bool(self.link.connections) and now - last_read < UNREACHABLE_AFTER
        if reason == CloseReason.SILENT or (refused and recent):
            self.unreachable_since = None
        elif self.unreachable_since is None:
            # After a long silence the server was lost at some time during it.
            self.unreachable_since = last_read + 0.5 if now - last_read > CALL_SILENCE else now
        for connection in self.link.connections[:]:
            if now - connection.last_read <= SETUP_SILENCE or connection.has_unread_data():
                continue
            # Also silent: the host is down, cut off or hangs. Close it rather than wait for its set-ups to time out.
            if not recent or self.link.legs.unanswered(connection):
                connection.close(CloseReason.SILENT)
        self.link.fail_waiting()
        if (refused and not self.link.connections) or (
            self.unreachable_since is not None and now - self.unreachable_since > UNREACHABLE_AFTER
        ):
            self.link.cut_established()
