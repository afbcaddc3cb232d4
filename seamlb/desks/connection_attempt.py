"""One attempt to open a connection to a server; it may succeed after the connect time of set-ups."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from seamlb.desks.reader import ServerReader
from seamlb.net.close_reason import CloseReason
from seamlb.net.connecting import ConnectError, connect
from seamlb.net.connection import Connection
from seamlb.net.message_timer import GRACE_TURNS

if TYPE_CHECKING:
    from seamlb.desks.connection_manager import ConnectionManager

MIN_PATIENCE = 1.5  # seconds; connections of a live server may take 1 s to come up
CLOSED_BY_PEER = (CloseReason.PEER_RESET, CloseReason.PEER_CLOSED)
MIN_STATE_WAIT = 0.5  # seconds for the state on a new connection


class ConnectionAttempt:
    """Opens a connection and waits for the server's state on it.

    It carries set-ups only once the server has reported its state on it: a process that hangs still accepts
    connections but sends nothing on them.
    """

    def __init__(self, manager: ConnectionManager) -> None:
        self.manager, self.link = manager, manager.link
        self.loop = asyncio.get_running_loop()
        self.started = self.loop.time()
        self.came_up: asyncio.Future[None] = self.loop.create_future()
        self.late = False  # set-ups no longer wait for it
        self.reason: CloseReason | None = None  # why it failed
        self.task = self.link.context.spawn(self._run())

    async def result(self, connect_timeout: float) -> CloseReason | None:
        """Return None once the connection is in use, or why it is not after the connect time: it is late then."""
        await asyncio.wait({self.task, self.came_up}, timeout=connect_timeout, return_when=asyncio.FIRST_COMPLETED)
        if not self.task.done() and self.came_up.done():
            await asyncio.wait({self.task}, timeout=connect_timeout)
        if self.task.done():
            self.task.result()  # raises what it raised
            return self.reason
        self.late = True
        return CloseReason.SILENT if self.came_up.done() else CloseReason.CONNECT_TIMEOUT

    async def _run(self) -> None:
        patience = max(self.link.context.connect_timeout, MIN_PATIENCE)
        try:
            connection = await connect(self.link.desk.address, "desk", patience)
        except ConnectError as error:
            self._failed(error.reason, patience)
            return
        last_accept = self.manager.liveness.last_accept
        self.manager.liveness.accepted(self.loop.time())
        self.came_up.set_result(None)
        if self.link.removed or self.link.displaced:
            connection.close(CloseReason.REPLACED)
        elif self.late and self.manager.is_served():
            connection.close(CloseReason.IDLE)
        else:
            await self._use(connection)
        self.reason = connection.reason
        if self.reason in CLOSED_BY_PEER and self.manager.liveness.last_sign < self.started:
            self.manager.liveness.closed_unheard(last_accept)
            self._failed(self.reason, patience)

    def _failed(self, reason: CloseReason, patience: float) -> None:
        self.reason = reason
        if reason != CloseReason.LIMIT:  # this process has no descriptor or port left, which tells of no server
            now = self.loop.time()
            due = self.started + patience if reason == CloseReason.CONNECT_TIMEOUT else now
            self.manager.liveness.attempt_failed(self.started, due, now)

    async def _use(self, connection: Connection) -> None:
        """Hand the connection to the link, at once or when the server has reported its state on it."""
        link = self.link
        reading = link.context.spawn(ServerReader(link, connection).run())
        if not link.reports_state:
            link.opened(connection)
            return
        reported = link.expect_state(connection)
        timeout = max(link.context.connect_timeout, MIN_STATE_WAIT)
        await asyncio.wait({reading, reported}, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        for _ in range(GRACE_TURNS):  # after a pause of this process the state may be there unread
            if not reported.done():
                await asyncio.sleep(0)
        if connection not in link.connections:
            connection.close(CloseReason.SILENT)
