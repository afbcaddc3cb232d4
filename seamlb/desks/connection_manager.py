"""Maintains the connections to one server: keeps one open for set-ups and tests a silent one with another."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from seamlb import log
from seamlb.desks.connection_attempt import ConnectionAttempt
from seamlb.desks.liveness import Belief, Liveness
from seamlb.desks.requests import ping
from seamlb.net.close_reason import CloseReason
from seamlb.net.message_timer import GRACE_TURNS

if TYPE_CHECKING:
    from seamlb.desks.link import Link

MAX_CONNECTIONS = 4  # a server reports the state of its group on at most four connections
MAX_ATTEMPTS = 2  # at once: one for the set-ups that wait, and one that is late
RETRY_MIN, RETRY_MAX = 0.1, 1.0  # seconds between connect attempts
RETRY_MAX_WITH_CALLS = 0.5  # the same while calls are established, so that a server that returns keeps them
SETUP_SILENCE = (
    0.25  # seconds without a byte, with a set-up unanswered, before a second connection is opened as a test
)
CALL_SILENCE = 2.0  # the same with established calls only, on which no messages are normal
RECHECK = 0.05  # seconds until an overdue server is looked at again
TRANSIENT_REASONS = (CloseReason.PEER_RESET, CloseReason.PEER_CLOSED)  # retried once before the server is suspected


class ConnectionManager:
    """Opens and closes the connections of one link."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.loop = asyncio.get_running_loop()
        self.liveness = Liveness(self.loop.time())
        self.attempts: list[ConnectionAttempt] = []
        self.pinged_at = 0.0  # loop time
        self.cut_timer: asyncio.Handle | None = None

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
            self._remove_ended_attempts()
            if self.is_served():
                self.believe(Belief.REACHABLE, "heard")
                self.link.close_idle(CloseReason.IDLE)
                pause = RETRY_MIN
                await self._wait_for_wakeup(SETUP_SILENCE / 2)
                continue
            if self.link.displaced:  # a new connection would lead to another server
                if not self.link.connections and self.link.has_established():
                    self._give_up("displaced")
                await self._wait_for_wakeup(SETUP_SILENCE / 2)
                continue
            full = len(self.link.connections) >= MAX_CONNECTIONS and not self._close_unused()
            if full or len(self.attempts) >= MAX_ATTEMPTS:
                await self._wait_for_wakeup(SETUP_SILENCE / 2)
                continue
            self.attempts.append(attempt := ConnectionAttempt(self))
            reason = await attempt.result(self.link.context.connect_timeout)
            if self.link.removed:
                return
            if reason is None:
                pause, was_reset = RETRY_MIN, False
            elif reason in TRANSIENT_REASONS and not was_reset:
                was_reset = True
            else:
                self._connect_failed(reason, self.loop.time())
                await self._wait_for_wakeup(pause)
                pause = min(2 * pause, RETRY_MAX_WITH_CALLS if self.link.has_established() else RETRY_MAX)

    def _remove_ended_attempts(self) -> None:
        """Forget the attempts that have ended; raises what one of them raised after its connect time."""
        ended = [attempt for attempt in self.attempts if attempt.task.done()]
        self.attempts = [attempt for attempt in self.attempts if not attempt.task.done()]
        for attempt in ended:
            if attempt.late:
                attempt.task.result()

    async def _wait_for_wakeup(self, seconds: float) -> None:
        """Wait until the connections have to be checked, at most this many seconds."""
        self.link.wakeup.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.link.wakeup.wait()

    def is_served(self) -> bool:
        """Whether there is a connection that has not fallen silent."""
        return bool(self.link.connections) and not self._is_silent()

    def _close_unused(self) -> bool:
        """Close one connection without set-ups; False if all have some, which will time out and free a connection."""
        spare = [one for one in self.link.connections if not self.link.is_witness(one)]
        unused = (one for one in spare if not self.link.legs.unanswered(one))
        connection = next((one for one in unused if not (one.in_use() or one.has_unread_data())), None)
        if connection is None:
            return False
        connection.close(CloseReason.SILENT)
        return True

    def _is_silent(self) -> bool:
        """Whether nothing arrived on the newest connection for too long, with set-ups or established calls there.

        A connection that has fallen silent reports neither the end of its process nor releases, and a draining
        server gets no set-ups whose timeouts would reveal it.
        """
        now = self.loop.time()
        newest = self.link.connections[-1]
        silent = now - newest.last_read
        if silent <= SETUP_SILENCE:
            return False
        if self.link.is_unanswering(newest):
            return not newest.has_unread_data()
        overdue = any(now - leg.sent_at > SETUP_SILENCE for leg in self.link.legs.unanswered(newest))
        silent_with_calls = silent > CALL_SILENCE and self.link.has_established()
        return (overdue or silent_with_calls) and not newest.has_unread_data()

    # -- what is believed of the server ----------------------------------------------------------

    def believe(self, belief: Belief, why: str, calls_cut: int = 0) -> None:
        """Take a belief about the server; each change leaves one log line."""
        if belief == self.liveness.belief:
            return
        self.liveness.belief = belief
        self._log_state(why, calls_cut)

    def _log_state(self, why: str, calls_cut: int) -> None:
        log.event(
            "server_state",
            desk=self.link.desk.ident,
            state=self.liveness.belief.value,
            why=why,
            silent_s=round(self.loop.time() - self.liveness.last_sign, 3),
            calls_cut=calls_cut,
        )

    def _connect_failed(self, reason: CloseReason, now: float) -> None:
        """Handle a connect attempt that failed or is late, or a new connection on which no state arrived.

        Waiting set-ups fail, because they never ran. A refused connection shows that the process has ended, unless
        another connection is open: a draining server refuses new connections and keeps its calls, and a process that
        ends resets the open ones. Anything else cuts nothing before the deadline that `watch_calls` has set: the
        releases of its calls arrive on the open connection, which therefore stays open.
        """
        ended = reason == CloseReason.REFUSED and not self.link.connections
        if not ended and self.liveness.belief != Belief.GONE:
            self.believe(Belief.SUSPECT, reason.value)
        for connection in self.link.connections[:]:
            if now - connection.last_read <= SETUP_SILENCE or connection.has_unread_data():
                continue
            if not self.link.legs.unanswered(connection):
                continue
            # Also silent: the host is down, cut off or hangs. Its set-ups need not wait until they time out. One
            # connection stays open for the established calls: only there can their process show that it lives.
            if self.link.has_established() and connection is self.link.connections[-1]:
                self.link.cancel_set_ups(connection)
            else:
                connection.close(CloseReason.SILENT)
        if ended:
            self._give_up("refused")
        else:
            self._ping(now)
        self.link.fail_waiting()

    def _ping(self, now: float) -> None:
        """Ask on the open connection whether the server lives: one that drains refuses all others and says little."""
        connection = self.link.usable_connection()
        if connection and self.link.has_established() and now - self.pinged_at > CALL_SILENCE:
            self.pinged_at = now
            connection.send(ping().encode())

    def test_witnesses(self) -> None:
        """Ask on the connections from before an outage whether their process lives."""
        if not self.link.has_established():
            self.liveness.unproven.clear()
        for connection in self.link.connections:
            if self.link.is_witness(connection):
                connection.send(ping().encode())

    def _give_up(self, why: str) -> None:
        """The server has ended: close what is open to it, and cut its calls.

        Their releases wait for the next connection, as the server may only have been cut off.
        """
        self.believe(Belief.GONE, why, len(self.link.established()))
        for connection in self.link.connections[:]:
            if not connection.has_unread_data():
                connection.close(CloseReason.SILENT)
        self.link.cut(self.link.established(), why)

    def _cut_unproven(self, now: float) -> None:
        """Cut the calls from before an outage whose process has not shown that it outlived it."""
        for outage in self.liveness.overdue(now):
            witnesses = [one for one in self.link.connections if one.opened_at <= outage.noticed_at]
            if any(one.has_unread_data() for one in witnesses):
                continue
            legs = [leg for leg in self.link.established() if leg.is_on_connection_before(outage.noticed_at)]
            self.liveness.forget(outage)
            if legs:
                self._log_state("replaced", len(legs))
            self.link.cut(legs, "replaced")
            for connection in witnesses:
                connection.close(CloseReason.SILENT)

    # -- the deadline for the release of calls ---------------------------------------------------

    def watch_calls(self) -> None:
        """Set the deadline after which the established calls of a server that has vanished are cut."""
        if self.cut_timer is None:
            self.cut_timer = self.loop.call_at(self.liveness.next_due, self._cut_due, GRACE_TURNS)

    def _cut_due(self, turns: int) -> None:
        """Cut the calls, unless there was a sign of life; bytes that have arrived reach their readers first."""
        now = self.loop.time()
        self.cut_timer = None
        if self.link.removed or not self.link.has_established():
            return
        if now < self.liveness.next_due:
            return self.watch_calls()
        if turns:
            self.cut_timer = self.loop.call_soon(self._cut_due, turns - 1)
            return
        self._cut_unproven(now)
        if self.liveness.has_vanished(now) and not any(one.has_unread_data() for one in self.link.connections):
            self._give_up("vanished")
        else:
            self.cut_timer = self.loop.call_later(RECHECK, self._cut_due, GRACE_TURNS)
