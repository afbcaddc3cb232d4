"""The legs of one desk client: attempts sent to servers, and the calls established by them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from seamlb.net.connection import Connection
from seamlb.routing.model import Attempt, AttemptCallback, Outcome

CLOSED_LEG_TTL = 30.0  # seconds a leg that has ended is still known

Key = tuple[str, str]  # server, Call-ID


@dataclass(slots=True)
class Leg:
    """An attempt sent to a server, then the call established by it."""

    attempt: Attempt
    notify: AttemptCallback
    connection: Connection | None = None  # None: waits for a connection
    established: bool = False
    sent_at: float = 0.0  # loop time in seconds

    @property
    def key(self) -> Key:
        """The attempt's server and Call-ID."""
        return self.attempt.desk, self.attempt.request.ident

    def is_on_connection_before(self, opened_at: float) -> bool:
        """Whether the connection of the set-up was opened before that loop time."""
        return self.connection is not None and self.connection.opened_at < opened_at

    def end(self, outcome: Outcome) -> None:
        """Report how the attempt or the established call ended."""
        self.notify(self.attempt.leg, outcome)


class LegTable:
    """All legs by server and Call-ID; those that have ended stay known for a while."""

    def __init__(self) -> None:
        self.open: dict[Key, Leg] = {}
        self.closed: dict[Key, float] = {}  # loop time of the end, the oldest first

    def __len__(self) -> int:
        return len(self.open)

    def add(self, leg: Leg) -> None:
        """Add a new leg."""
        self.open[leg.key] = leg

    def get(self, key: Key) -> Leg | None:
        """Return the open leg with this key."""
        return self.open.get(key)

    def known(self, key: Key) -> bool:
        """Whether the leg is open or ended a short while ago."""
        return key in self.open or key in self.closed

    def remove(self, key: Key) -> Leg | None:
        """Remove and return a leg; its key stays known for a while, so that late messages are recognised."""
        now = asyncio.get_running_loop().time()
        while self.closed and next(iter(self.closed.values())) < now - CLOSED_LEG_TTL:
            del self.closed[next(iter(self.closed))]
        leg = self.open.pop(key, None)
        if leg is not None:
            self.closed.pop(key, None)
            self.closed[key] = now
        return leg

    def end(self, leg: Leg, outcome: Outcome) -> None:
        """Remove a leg and report how it ended."""
        self.remove(leg.key)
        leg.end(outcome)

    def at_server(self, server: str) -> list[Leg]:
        """Return all legs at a server."""
        return [leg for leg in self.open.values() if leg.attempt.desk == server]

    def established(self, server: str) -> list[Leg]:
        """Return the established calls at a server."""
        return [leg for leg in self.at_server(server) if leg.established]

    def unanswered(self, connection: Connection) -> list[Leg]:
        """Return the set-ups on a connection that have no answer."""
        return [leg for leg in self.open.values() if leg.connection is connection and not leg.established]
