"""The connections to one server, what waits for one, and what stands there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from seamlb.desks.keeper import QUIET, Keeper
from seamlb.desks.legs import Leg, Legs
from seamlb.desks.requests import bye, invite
from seamlb.net.connection import Connection
from seamlb.net.reason import CloseReason
from seamlb.protocol.sip import Message
from seamlb.routing.model import Attempt, Desk, Outcome, Status

CUT = 41  # Q.850 cause of a call that was cut
DEAF = 0.1  # seconds for news of the state to come on the other connections too, as a server tells it on each


class LinkOwner:
    """What a link's owner gives it, the same for all links."""

    def __init__(
        self,
        connect_timeout: float,
        relayed: Callable[[], None],
        message: Callable[[Link, Connection, Message], None],
        salvaged: Callable[[Link, Message], None],
    ) -> None:
        self.connect_timeout = connect_timeout
        self.relayed = relayed  # an attempt has left whole
        self.message = message
        self.salvaged = salvaged
        self.legs = Legs()
        self.tasks: set[asyncio.Task[None]] = set()
        self.closing = False

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that `tasks` holds until it is done."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


class Link:
    """All connections to one server."""

    def __init__(self, desk: Desk, owner: LinkOwner) -> None:
        self.desk, self.owner, self.legs = desk, owner, owner.legs
        self.open: list[Connection] = []  # the last one carries what is new
        self.wanted = asyncio.Event()  # there is a reason to look at the connections
        self.told = asyncio.Event()  # a new connection brought the state
        self.waiting: list[Leg] = []  # set-ups without a connection
        self.releases: list[bytes] = []  # for the next connection
        self.dead = False  # the last try failed: set-ups are not kept waiting for the next
        self.tells = False  # it has told its state, as each new connection must then do first
        self.gone = False
        self.keeper = Keeper(self)
        owner.spawn(self.keeper.run())

    # -- asked by the client ------------------------------------------------------------------

    def usable(self) -> Connection | None:
        """The connection for what is new."""
        return next((one for one in reversed(self.open) if not one.over()), None)

    def set_up(self, leg: Leg) -> None:
        """Send a set-up, keep it until a connection is there, or end it where none comes up."""
        self.legs.add(leg)
        usable = self.usable()
        if usable and not (self.dead and leg.sent - usable.last_read > QUIET):
            self._invite(leg, usable)
        elif self.dead:
            self.legs.end(leg, Outcome(Status.CONNECT_FAILED))
        else:
            self.waiting.append(leg)
            self.wanted.set()

    def release(self, attempt: Attempt, cause: int) -> None:
        """Send a release, now or on the next connection."""
        data = bye(attempt, cause).encode()
        connection = self.usable()
        if connection is None or not connection.send(data):
            self.releases.append(data)
            self.wanted.set()

    def free_idle(self, reason: CloseReason) -> None:
        """Close the connections but the newest that carry no set-up, and no message that is half read or unread.

        A release is sent once: one that was broken off here was lost.
        """
        for connection in self.open[:-1]:
            if not self.legs.unanswered(connection) and connection.quiet(0.0):
                connection.close(reason)

    def drop(self) -> None:
        """The server is gone from the list, or another machine has its name: all it had is cut."""
        self.gone = True
        self.wanted.set()
        self.fail_waiting()
        for leg in self.legs.at(self.desk.ident):
            if leg.stands:
                self.release(leg.attempt, CUT)  # it may still live, and hold a line
            self.legs.end(leg, Outcome(Status.RESET, cause=CUT))
        for connection in self.open[:]:
            connection.flush_and_close(CloseReason.REPLACED)

    def fail_waiting(self) -> None:
        """Set-ups that wait for a connection end as never run."""
        waiting, self.waiting = self.waiting, []
        for leg in waiting:
            self.legs.end(leg, Outcome(Status.CONNECT_FAILED))

    def cut_standing(self) -> None:
        """The server's process has ended: the calls that stood there are over."""
        for leg in self.legs.standing(self.desk.ident):
            self.legs.end(leg, Outcome(Status.RESET, cause=CUT))

    def state_told(self, connection: Connection) -> None:
        """The server told its state on a connection."""
        self.tells = True
        if connection not in self.open and not self.gone:
            self.opened(connection)
            self.told.set()
        elif len(self.open) > 1:
            loop = asyncio.get_running_loop()
            loop.call_later(DEAF, self._close_deaf, loop.time())

    # -- what the reader says -----------------------------------------------------------------

    def received(self, connection: Connection, message: Message) -> None:
        """A whole message came."""
        self.owner.message(self, connection, message)

    def salvaged(self, message: Message) -> None:
        """A release was found in bytes that can't be framed."""
        self.owner.salvaged(self, message)

    def has_standing(self) -> bool:
        """Do calls stand at the server?"""
        return bool(self.legs.standing(self.desk.ident))

    def lost(self, connection: Connection) -> None:
        """Set-ups that had no answer on a connection end with it."""
        if connection in self.open:
            self.open.remove(connection)
        if not self.owner.closing:
            for leg in self.legs.unanswered(connection):
                self.legs.end(leg, Outcome(Status.RESET))
            self.wanted.set()

    # -- connections --------------------------------------------------------------------------

    def opened(self, connection: Connection) -> None:
        """A connection carries what is new from now on, and first what has waited for one."""
        self.open.append(connection)
        self.keeper.lost_at, self.dead = None, False
        self.free_idle(CloseReason.SILENT)
        for data in self.releases:
            connection.send(data)
        self.releases.clear()
        waiting, self.waiting = self.waiting, []
        for leg in waiting:
            self._invite(leg, connection)

    def _invite(self, leg: Leg, connection: Connection) -> None:
        leg.connection, leg.sent = connection, asyncio.get_running_loop().time()
        if not connection.send(invite(leg.attempt).encode(), self.owner.relayed):
            self.legs.end(leg, Outcome(Status.RESET))

    def _close_deaf(self, told: float) -> None:
        """The server told its state at `told`: a connection that this did not come on is of no use any more.

        Guards the set-ups on it, which would wait for their time-outs while the server answers on another one.
        """
        for connection in self.open[:]:
            if connection.last_read < told - DEAF and not (connection.in_use() or connection.has_unread_data()):
                connection.close(CloseReason.SILENT)
