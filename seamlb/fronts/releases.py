"""Releases on their way to callers: which connection they are told on, and again where its end crossed them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from seamlb.net.connection import Connection
from seamlb.protocol.sip import Message

MAX_PENDING = 4096  # releases that wait for a connection
TELL_WITHIN = 1.0  # seconds from a call's end within which its caller has to be told
UNTOLD = 0.5  # seconds that a release waits for a caller known to be one; it must be told within TELL_WITHIN
SERVED, ASKED = 2, 1  # a connection's credit: a call was set up on it, or a whole message has come
TIMER_SLACK = 0.01  # seconds by which a timer may be early


@dataclass(slots=True, frozen=True)
class Release:
    """A call that is over, of which its caller has to be told."""

    since: float  # loop time at which it was over
    ident: str
    data: bytes
    told: Callable[[], object] = lambda: None  # called once it has been told

    @classmethod
    def of(cls, ident: str, cause: int, told: Callable[[], object] = lambda: None) -> Release:
        """The release of a call that is over now, with its Q.850 cause."""
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
        return cls(asyncio.get_running_loop().time(), ident, message.encode(), told)


@dataclass(slots=True, eq=False)
class Receiver:
    """A callers' connection, and the releases that were told on it and not heard of."""

    connection: Connection
    unheard: dict[str, Release] = field(default_factory=dict)
    confirmed: bool = True  # no: an answer on it has had no ACK yet, and its caller may not read

    def answered(self) -> None:
        """A call was set up on it."""
        self.connection.credit = SERVED
        self.confirmed = False

    def tell(self, release: Release) -> bool:
        """Tell a release; False if the connection has ended, or the other side has ended it."""
        if self.connection.over() or not self.connection.send(release.data):
            return False
        self._forget_old()
        self.unheard[release.ident] = release
        release.told()
        return True

    def heard(self, ident: str) -> None:
        """The other side has confirmed a release."""
        self.unheard.pop(ident, None)

    def crossed(self) -> list[Release]:
        """The connection has ended: what was told just before may not have been read. Told twice it does no harm."""
        self._forget_old()
        crossed = [replace(one, told=lambda: None) for one in self.unheard.values()]
        self.unheard.clear()
        return crossed

    def _forget_old(self) -> None:
        oldest = asyncio.get_running_loop().time() - TELL_WITHIN
        while self.unheard and next(iter(self.unheard.values())).since < oldest:
            del self.unheard[next(iter(self.unheard))]


class ReleaseQueue:
    """Releases that wait for a connection of callers."""

    def __init__(self) -> None:
        self.pending: deque[Release] = deque(maxlen=MAX_PENDING)

    def flush(self, receivers: Iterable[Receiver], at_once: bool = False) -> None:
        """Tell what waits on these connections, the best first: whoever had a call set up, in need whoever asked.

        On one that only asks, as a crowd does, a release may be lost: a better one is waited for, unless it has to
        be `at_once`. One whose caller may not read comes last.
        """
        if not self.pending:
            return
        now = asyncio.get_running_loop().time()
        able = sorted(receivers, key=lambda one: (one.confirmed, one.connection.credit), reverse=True)
        good = [one for one in able if one.confirmed and one.connection.credit >= SERVED]
        asked = [one for one in able if one.connection.credit >= ASKED]
        while self.pending:
            release = self.pending[0]
            wait = not at_once and now - release.since < UNTOLD - TIMER_SLACK
            if not any(one.tell(release) for one in (good if wait else asked)):
                return
            self.pending.popleft()
