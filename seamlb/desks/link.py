"""The connections to one server, the set-ups that wait for one, and the calls established there."""

from __future__ import annotations

import asyncio
import time

from seamlb.desks.connection_manager import CALL_SILENCE, ConnectionManager
from seamlb.desks.legs import Leg
from seamlb.desks.link_context import LinkContext
from seamlb.desks.liveness import Belief
from seamlb.desks.requests import bye, invite, request
from seamlb.net.close_reason import CloseReason
from seamlb.net.connection import Connection
from seamlb.protocol.sip import Message
from seamlb.routing.model import Attempt, Desk, Outcome, Status

MS_PER_SECOND = 1000.0
CAUSE_CUT = 41  # Q.850 cause of a call that was cut (temporary failure)
STATE_SPREAD = 0.1  # seconds in which a state update arrives on all connections: a server sends it on each of them


def _loop_time(unix_ms: float) -> float:
    """The time of the event loop at a Unix time in milliseconds."""
    return asyncio.get_running_loop().time() - (time.time() - unix_ms / MS_PER_SECOND)


class Link:
    """All connections to one server."""

    def __init__(self, desk: Desk, context: LinkContext) -> None:
        self.desk, self.context, self.legs = desk, context, context.legs
        self.connections: list[Connection] = []  # new messages go to the last one
        self.wakeup = asyncio.Event()  # the connections have to be checked
        self.unreported: dict[Connection, asyncio.Future[None]] = {}  # connections that wait for the first state
        self.waiting: list[Leg] = []  # set-ups without a connection
        self.releases: list[bytes] = []  # sent on the next connection
        self.unanswering: dict[Connection, float] = {}  # given up for set-ups while `last_read` stays at this time
        self.reports_state = False  # the server has reported its state, and must do so on each new connection
        self.removed = False
        self.displaced = False  # another server of the list has this address: nothing more is sent to it
        self.manager = ConnectionManager(self)
        context.spawn(self.manager.run())

    @property
    def unreachable(self) -> bool:
        """Whether the last connect attempt failed: set-ups do not wait for the next one."""
        return self.manager.liveness.belief != Belief.REACHABLE

    # -- called by the desk client ------------------------------------------------------------

    def usable_connection(self) -> Connection | None:
        """Return the connection for new messages."""
        return next((one for one in reversed(self.connections) if not one.has_ended()), None)

    def set_up(self, leg: Leg) -> None:
        """Send a set-up, queue it until there is a connection, or end it if the server is unreachable."""
        self.legs.add(leg)
        usable = None if self.displaced else self.usable_connection()
        if usable and not self._is_suspect(usable, leg.sent_at):
            self._invite(leg, usable)
        elif self.unreachable or self.displaced or self.context.closing:
            self.legs.end(leg, Outcome(Status.CONNECT_FAILED))
        else:
            self.waiting.append(leg)
            self.wakeup.set()

    def release(self, attempt: Attempt, cause: int) -> None:
        """Send a release, now or on the next connection."""
        data = bye(attempt, cause).encode()
        connection = self.usable_connection()
        is_sent = connection is not None and connection.send(data)
        if connection is None or not is_sent or self.is_unanswering(connection):
            self.releases.append(data)
            self.wakeup.set()

    def close_idle(self, reason: CloseReason) -> None:
        """Close the connections but the newest that carry no set-up and no partly received or unread message.

        A release is sent only once, so one that is interrupted here would be lost.
        """
        for connection in self.connections[:-1]:
            if not self.legs.unanswered(connection) and connection.is_idle(0.0) and not self.is_witness(connection):
                connection.close(reason)

    def drop(self, why: str) -> None:
        """Cut all calls: the server was removed from the list, or another host has its name now."""
        self.removed = True
        self.wakeup.set()
        self.fail_waiting()
        self.cut(self.established(), why)
        for leg in self.legs.at_server(self.desk.ident):
            self.legs.end(leg, Outcome(Status.RESET, cause=CAUSE_CUT))
        for connection in self.connections[:]:
            connection.flush_and_close(CloseReason.REPLACED)

    def fail_waiting(self) -> None:
        """End the set-ups that wait for a connection; they never ran."""
        waiting, self.waiting = self.waiting, []
        for leg in waiting:
            self.legs.end(leg, Outcome(Status.CONNECT_FAILED))

    def displace(self, since_ms: float) -> None:
        """Send nothing more, as the list tells of another server at this address since then (Unix ms, 0: unknown).

        A connection opened since leads to that server and is closed. One from before still carries releases.
        """
        self.displaced = True
        self.fail_waiting()
        started_at = _loop_time(since_ms)
        for connection in self.connections[:]:
            if since_ms and connection.opened_at >= started_at:
                self.cut([leg for leg in self.established() if leg.connection is connection], "displaced")
                connection.close(CloseReason.REPLACED)
        self.wakeup.set()

    def restore(self) -> None:
        """Use the address again: no other server of the list has it any more."""
        self.displaced = False
        self.wakeup.set()

    def process_started(self, since_ms: float) -> None:
        """Cut the calls of the process before the one that started then (Unix milliseconds), as the list tells.

        The list may be seconds late: a call on a connection opened after the start is one of the new process.
        """
        started_at = _loop_time(since_ms)
        self.cut([leg for leg in self.established() if leg.is_on_connection_before(started_at)], "restarted")

    def cut(self, legs: list[Leg], why: str) -> None:
        """End established calls and release them at the server as well, whose process may be alive after all."""
        for leg in legs:
            self.context.calls_cut[why] += 1
            self.release(leg.attempt, CAUSE_CUT)
            self.legs.end(leg, Outcome(Status.RESET, cause=CAUSE_CUT))

    def established(self) -> list[Leg]:
        """Return the calls established at the server."""
        return self.legs.established(self.desk.ident)

    def is_witness(self, connection: Connection) -> bool:
        """Whether the connection is kept as it may prove that established calls have outlived an outage.

        That is the newest one from before it; the others can be closed, as only some may be open at once.
        """
        is_witness = self.manager.liveness.is_witness
        if not is_witness(connection.opened_at) or not self.has_established():
            return False
        return connection is next(one for one in reversed(self.connections) if is_witness(one.opened_at))

    def cancel_set_ups(self, connection: Connection) -> None:
        """Cancel the unanswered set-ups of a silent connection, which gets no more of them until it is heard."""
        self.unanswering[connection] = connection.last_read
        for leg in self.legs.unanswered(connection):
            connection.send(request("CANCEL", leg.attempt).encode())
            self.legs.end(leg, Outcome(Status.RESET))

    def is_unanswering(self, connection: Connection) -> bool:
        """Whether set-ups were cancelled on the connection and nothing has arrived on it since."""
        return self.unanswering.get(connection) == connection.last_read

    def _is_suspect(self, connection: Connection, now: float) -> bool:
        """Whether the connection is not to be used for set-ups."""
        silent_for = now - connection.last_read
        return self.is_unanswering(connection) or (self.unreachable and silent_for > CALL_SILENCE)

    def expect_state(self, connection: Connection) -> asyncio.Future[None]:
        """Return what is done once the server has reported its state on a new connection."""
        return self.unreported.setdefault(connection, asyncio.get_running_loop().create_future())

    def state_reported(self, connection: Connection) -> None:
        """Record that the server has reported its state on a connection."""
        self.reports_state = True
        if connection not in self.connections and not self.removed:
            self.opened(connection)
            if reported := self.unreported.pop(connection, None):
                reported.set_result(None)
        elif len(self.connections) > 1:
            loop = asyncio.get_running_loop()
            loop.call_later(STATE_SPREAD, self._close_stalled, loop.time())

    # -- called by the reader (ReaderOwner) ---------------------------------------------------

    def heard(self, connection: Connection) -> None:
        """Record that bytes have arrived on a connection."""
        now = asyncio.get_running_loop().time()
        if self.manager.liveness.sign_of_life(now, connection.opened_at):
            self.manager.test_witnesses()

    def received(self, connection: Connection, message: Message) -> None:
        """Handle a complete message."""
        self.context.on_message(self, connection, message)

    def salvaged(self, message: Message) -> None:
        """Handle a release found in unframed data."""
        self.context.on_salvaged(self, message)

    def has_established(self) -> bool:
        """Whether the server has established calls."""
        return bool(self.established())

    def lost(self, connection: Connection) -> None:
        """Remove a connection and end its unanswered set-ups."""
        self.unreported.pop(connection, None)
        self.unanswering.pop(connection, None)
        if connection in self.connections:
            self.connections.remove(connection)
        if not self.context.closing:
            for leg in self.legs.unanswered(connection):
                self.legs.end(leg, Outcome(Status.RESET))
            self.wakeup.set()

    # -- connections --------------------------------------------------------------------------

    def opened(self, connection: Connection) -> None:
        """Use a connection for new messages, and send first what waited for one."""
        if self.displaced:  # it was being opened as the list told of another server at the address
            return connection.close(CloseReason.REPLACED)
        self.connections.append(connection)
        self.manager.believe(Belief.REACHABLE, "connected")
        self.close_idle(CloseReason.SILENT)
        for data in self.releases:
            connection.send(data)
        self.releases.clear()
        waiting, self.waiting = self.waiting, []
        for leg in waiting:
            self._invite(leg, connection)

    def _invite(self, leg: Leg, connection: Connection) -> None:
        leg.connection, leg.sent_at = connection, asyncio.get_running_loop().time()
        leg.attempt.record.connection = connection.ident
        if not connection.send(invite(leg.attempt).encode(), self.context.on_relayed):
            self.legs.end(leg, Outcome(Status.RESET))

    def _close_stalled(self, reported_at: float) -> None:
        """Close the connections on which the state update of `reported_at` (loop time in seconds) did not arrive.

        Their set-ups would otherwise wait for their timeouts while the server answers on another connection.
        """
        for connection in self.connections[:]:
            is_stalled = connection.last_read < reported_at - STATE_SPREAD
            is_needed = connection.in_use() or connection.has_unread_data() or self.is_witness(connection)
            if is_stalled and not is_needed:
                connection.close(CloseReason.SILENT)
