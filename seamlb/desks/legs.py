"""Attempts on the wire and the calls that stand by them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from seamlb.net.connection import Connection
from seamlb.routing.model import Attempt, AttemptCallback, Outcome

REMEMBER = 30.0  # seconds for which a leg that is over is known

Key = tuple[str, str]  # server, Call-ID


@dataclass(slots=True)
class Leg:
    """An attempt on the wire, then the call that stands by it."""

    attempt: Attempt
    heard: AttemptCallback
    connection: Connection | None = None  # None: waits for one
    stands: bool = False
    sent: float = 0.0

    @property
    def key(self) -> Key:
        """Where the attempt goes, and its call."""
        return self.attempt.desk, self.attempt.request.ident

    def end(self, outcome: Outcome) -> None:
        """Tell what became of the attempt, or of the call that stood."""
        self.heard(self.attempt.leg, outcome)


class Legs:
    """All legs by server and call; those that are over are known for a while."""

    def __init__(self) -> None:
        self.open: dict[Key, Leg] = {}
        self.over: dict[Key, float] = {}

    def __len__(self) -> int:
        return len(self.open)

    def add(self, leg: Leg) -> None:
        """Take a new leg."""
        self.open[leg.key] = leg

    def get(self, key: Key) -> Leg | None:
        """The leg that is open there."""
        return self.open.get(key)

    def known(self, key: Key) -> bool:
        """Is it open, or was it a short while ago?"""
        return key in self.open or key in self.over

    def take_off(self, key: Key) -> Leg | None:
        """Take a leg off; it is remembered for a while, so that late word of it is known as such."""
        now = asyncio.get_running_loop().time()
        while self.over and next(iter(self.over.values())) < now - REMEMBER:
            del self.over[next(iter(self.over))]
        leg = self.open.pop(key, None)
        if leg is not None:
            self.over.pop(key, None)
            self.over[key] = now
        return leg

    def end(self, leg: Leg, outcome: Outcome) -> None:
        """Take a leg off and tell what became of it."""
        self.take_off(leg.key)
        leg.end(outcome)

    def at(self, server: str) -> list[Leg]:
        """All legs at a server."""
        return [leg for leg in self.open.values() if leg.attempt.desk == server]

    def standing(self, server: str) -> list[Leg]:
        """The calls that stand at a server."""
        return [leg for leg in self.at(server) if leg.stands]

    def unanswered(self, connection: Connection) -> list[Leg]:
        """The set-ups on a connection that have no answer."""
        return [leg for leg in self.open.values() if leg.connection is connection and not leg.stands]
