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
PREFERENCE_WAIT = 0.5  # seconds a release waits for a connection with a served caller, within RELEASE_DEADLINE
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
class ReleaseSender:
    """A caller connection and the releases sent on it that were not confirmed."""

    connection: Connection
    unconfirmed: dict[str, Release] = field(default_factory=dict)
    acked: bool = True  # False while an answer on it has no ACK: its caller may not be reading

    def answered(self) -> None:
        """Record that a call was set up on this connection."""
        self.connection.trust = SERVED
        self.acked = False

    def send(self, release: Release) -> bool:
        """Send a release; False if the connection has ended on either side."""
        if self.connection.has_ended() or not self.connection.send(release.data):
            return False
        self._drop_expired()
        self.unconfirmed[release.ident] = release
        release.on_sent()
        return True

    def confirm(self, ident: str) -> None:
        """Record that the caller has confirmed a release."""
        self.unconfirmed.pop(ident, None)

    def take_unconfirmed(self) -> list[Release]:
        """Return the latest unconfirmed releases of a connection that has ended; sending them twice is harmless."""
        self._drop_expired()
        unconfirmed = [replace(one, on_sent=lambda: None) for one in self.unconfirmed.values()]
        self.unconfirmed.clear()
        return unconfirmed

    def _drop_expired(self) -> None:
        oldest = asyncio.get_running_loop().time() - RELEASE_DEADLINE
        while self.unconfirmed and next(iter(self.unconfirmed.values())).ended_at < oldest:
            del self.unconfirmed[next(iter(self.unconfirmed))]


class ReleaseQueue:
    """Releases that wait for a caller connection."""

    def __init__(self) -> None:
        self.pending: deque[Release] = deque(maxlen=MAX_PENDING)

    def flush(self, senders: Iterable[ReleaseSender], immediately: bool = False) -> None:
        """Send the waiting releases on these connections, preferring those on which a call was set up.

        A caller that has only sent a request, like one of a crowd, may lose a release; such a connection is used only
        after PREFERENCE_WAIT, or `immediately`. Connections whose caller may not be reading are used last.
        """
        if not self.pending:
            return
        now = asyncio.get_running_loop().time()
        ranked = sorted(senders, key=lambda one: (one.acked, one.connection.trust), reverse=True)
        served = [one for one in ranked if one.acked and one.connection.trust >= SERVED]
        usable = [one for one in ranked if one.connection.trust >= ASKED]
        while self.pending:
            release = self.pending[0]
            wait = not immediately and now - release.ended_at < PREFERENCE_WAIT - TIMER_SLACK
            if not any(one.send(release) for one in (served if wait else usable)):
                return
            self.pending.popleft()
