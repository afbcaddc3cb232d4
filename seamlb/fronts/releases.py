"""Sends the releases of calls to callers, and repeats them where the end of a connection may have lost them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from seamlb.net.connection import Connection
from seamlb.protocol.sip import Message

MAX_PENDING = 4096  # releases that wait for a connection
RELEASE_DEADLINE = 1.0  # seconds from the end of a call in which its caller has to get the release
RELEASE_LIMIT = 8.0  # seconds from the end of a call after which its release is of no use to its caller
PREFERENCE_WAIT = 0.5  # seconds a release waits for a connection with a served caller, within RELEASE_DEADLINE
RESEND_AFTER = 0.4  # seconds without a confirmation until a release is sent on another connection
MAX_SENDS = 4  # connections on which one release is sent
SERVED, ASKED = 2, 1  # `Connection.trust`: a call was set up on it, or only a complete message was received
TIMER_SLACK = 0.01  # seconds a timer may fire early


@dataclass(slots=True, frozen=True)
class Release:
    """The BYE of a call that has ended, for its caller."""

    ended_at: float  # loop time in seconds
    ident: str
    data: bytes
    on_sent: Callable[[], object] = lambda: None

    @classmethod
    def of(cls, ident: str, cause: int, on_sent: Callable[[], object] = lambda: None) -> Release:
        """Create the release of a call that has just ended, with its Q.850 cause."""
        message = Message(
            "BYE",
            f"sip:{ident}@net",
            headers=[
                ("Via", f"SIP/2.0/TCP seamlb;branch=z9hG4bK{ident}-b"),
                ("Call-ID", ident),
                ("CSeq", "1 BYE"),
                ("Reason", f"Q.850;cause={cause}"),
            ],
        )
        return cls(asyncio.get_running_loop().time(), ident, message.encode(), on_sent)


@dataclass(slots=True, eq=False)
class UnconfirmedRelease:
    """A release that was sent and that its caller has not confirmed."""

    release: Release
    sent_at: float  # loop time of the latest send in seconds
    sent_on: list[ReleaseSender] = field(default_factory=list)

    @property
    def is_told(self) -> bool:
        """Whether its connection was heard since then and never carried a confirmation: it needs no other one."""
        latest = self.sent_on[-1]
        return not latest.confirms and latest.connection.last_read > self.sent_at


@dataclass(slots=True, eq=False)
class ReleaseSender:
    """A caller connection and the releases sent on it that were not confirmed."""

    connection: Connection
    unconfirmed: dict[str, UnconfirmedRelease] = field(default_factory=dict)
    acked: bool = True  # False while an answer on it has no ACK: its caller may not be reading
    confirms: bool = False  # a release was confirmed on it: one that is not confirmed has not arrived

    def answered(self) -> None:
        """Record that a call was set up on this connection."""
        self.connection.trust = SERVED
        self.acked = False

    def send(self, release: Release) -> bool:
        """Send a release; False if the connection has ended on either side."""
        return not self.connection.has_ended() and self.connection.send(release.data)

    def drop_expired(self, now: float) -> None:
        """Forget the releases that are of no use any more, the oldest first."""
        while self.unconfirmed:
            ident, oldest = next(iter(self.unconfirmed.items()))
            if now < oldest.release.ended_at + RELEASE_LIMIT:
                return
            del self.unconfirmed[ident]


class ReleaseQueue:
    """Releases that wait for a caller connection, and those that were sent and are not confirmed.

    A release is kept until its caller confirms it. Until then it goes out on other connections: at once as its
    connection ends, and after RESEND_AFTER as a connection may be quiet yet open. Confirmations are optional
    (PROTOCOL), so a connection that is heard after a release and never carried one counts as having told it.
    """

    def __init__(self, senders: Callable[[], Iterable[ReleaseSender]], is_ending: Callable[[], bool]) -> None:
        self.senders = senders  # of the open connections, the latest used first
        self.is_ending = is_ending  # whether the process ends and does not wait for better connections
        self.pending: deque[Release] = deque(maxlen=MAX_PENDING)
        self.unconfirmed: dict[str, UnconfirmedRelease] = {}  # by Call-ID, the one sent longest ago first
        self._resend_timer: asyncio.TimerHandle | None = None

    def add(self, release: Release, preferred: ReleaseSender | None = None) -> None:
        """Send a release on the preferred connection, on another one, or on the next that becomes usable."""
        if preferred is None or not self.send(release, preferred):
            self.pending.append(release)
            self._flush_soon()

    def close(self) -> None:
        """Stop the timer."""
        if self._resend_timer:
            self._resend_timer.cancel()

    def _flush_soon(self) -> None:
        """Send the waiting releases now, and again once they may use any connection."""
        self.flush()
        if self.pending:
            asyncio.get_running_loop().call_later(PREFERENCE_WAIT, self.flush)

    def send(self, release: Release, sender: ReleaseSender) -> bool:
        """Send a release on a connection for the first time; False if that has ended."""
        if not sender.send(release):
            return False
        self._record(UnconfirmedRelease(release, 0.0), sender)
        release.on_sent()
        return True

    def confirm(self, ident: str, sender: ReleaseSender) -> None:
        """Record that the caller on this connection has confirmed a release that was sent on it."""
        sender.confirms = True
        if ident in sender.unconfirmed:
            self._forget(sender.unconfirmed[ident])

    def connection_ended(self, sender: ReleaseSender) -> None:
        """Let the releases that were sent last on this connection wait for another; two of one call are harmless."""
        now = asyncio.get_running_loop().time()
        for ident, unconfirmed in list(sender.unconfirmed.items()):
            if unconfirmed.sent_on[-1] is not sender:
                continue
            is_owed = (
                self.unconfirmed.get(ident) is unconfirmed and now < unconfirmed.release.ended_at + RELEASE_LIMIT
            )
            # One that counts as told may have crossed the end of its connection.
            if is_owed or now < unconfirmed.release.ended_at + RELEASE_DEADLINE:
                self.pending.append(replace(unconfirmed.release, on_sent=_ignore))
            self._forget(unconfirmed)
        sender.unconfirmed.clear()
        self._flush_soon()

    def flush(self) -> None:
        """Send the waiting releases on open connections, preferring those on which a call was set up.

        A caller that has only sent a request, like one of a crowd, may lose a release; such a connection is used only
        after PREFERENCE_WAIT, or as the process ends. Connections whose caller may not be reading are used last.
        """
        if not self.pending:
            return
        now = asyncio.get_running_loop().time()
        ranked = sorted(self.senders(), key=lambda one: (one.acked, one.connection.trust), reverse=True)
        served = [one for one in ranked if one.acked and one.connection.trust >= SERVED]
        usable = [one for one in ranked if one.connection.trust >= ASKED]
        while self.pending:
            release = self.pending[0]
            wait = not self.is_ending() and now - release.ended_at < PREFERENCE_WAIT - TIMER_SLACK
            if not any(self.send(release, one) for one in (served if wait else usable)):
                return
            self.pending.popleft()

    def _start_resend_timer(self) -> None:
        """Start the timer for the release that was sent longest ago, unless it runs."""
        oldest = next(iter(self.unconfirmed.values()), None)
        if oldest and self._resend_timer is None:
            loop = asyncio.get_running_loop()
            self._resend_timer = loop.call_at(oldest.sent_at + RESEND_AFTER, self._resend_overdue)

    def _resend_overdue(self) -> None:
        """Send each overdue release on a connection that it was not sent on yet, the best first."""
        self._resend_timer = None
        now = asyncio.get_running_loop().time()
        usable = [one for one in self.senders() if one.connection.trust >= ASKED]
        usable.sort(key=lambda one: (one.acked, one.connection.trust, one.connection.last_read), reverse=True)
        while self.unconfirmed:
            ident, overdue = next(iter(self.unconfirmed.items()))
            if overdue.sent_at + RESEND_AFTER > now + TIMER_SLACK:
                break
            del self.unconfirmed[ident]
            is_useful = len(overdue.sent_on) < MAX_SENDS and now < overdue.release.ended_at + RELEASE_LIMIT
            if is_useful and not overdue.is_told:
                others = (one for one in usable if one not in overdue.sent_on)
                self._record(overdue, next((one for one in others if one.send(overdue.release)), None))
        self._start_resend_timer()

    def _record(self, unconfirmed: UnconfirmedRelease, sender: ReleaseSender | None) -> None:
        """Remember a release as sent now on `sender`, or as not sent again as there was no connection."""
        unconfirmed.sent_at = asyncio.get_running_loop().time()
        ident = unconfirmed.release.ident
        self.unconfirmed.pop(ident, None)
        self.unconfirmed[ident] = unconfirmed
        if sender:
            sender.drop_expired(unconfirmed.sent_at)
            unconfirmed.sent_on.append(sender)
            sender.unconfirmed[ident] = unconfirmed
        self._start_resend_timer()

    def _forget(self, unconfirmed: UnconfirmedRelease) -> None:
        ident = unconfirmed.release.ident
        for one in unconfirmed.sent_on:
            one.unconfirmed.pop(ident, None)
        if self.unconfirmed.get(ident) is unconfirmed:
            del self.unconfirmed[ident]


def _ignore() -> None:
    """Report no second sending of a release."""
