"""The inbox of one request: what is pending is taken by precedence, in whatever order it was put there.

After a pause of the process, or in a busy turn of the loop, several events of one request are pending at once, and
their order is that of timers and sockets in the loop, not of what happened. The rule is in docs/design/races.md.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import cast

from seamlb import api
from seamlb.routing.model import Answer, Outcome
from seamlb.routing.news import (
    AttemptNews,
    AttemptUpdate,
    CallerLeft,
    CallNews,
    Decision,
    News,
    Overdue,
    Shutdown,
    TimedOut,
)


class Wait(Enum):
    """Where the coroutine of a request waits; each value is the order in which it takes what is pending there."""

    DECISION = (CallerLeft, api.Refuse, api.Fail, Shutdown, Overdue, api.SendSetUp)
    SERVER = (Answer, Outcome, CallerLeft, api.Cancel, TimedOut, Shutdown)
    RELEASE = (Outcome, CallerLeft)


def precedence(wait: Wait, leg: int, news: News) -> int | None:
    """The place of `news` in the order of a wait, 0 first; None: it is no news there.

    `leg` numbers the attempt that is out: word of another one never counts.
    """
    match news:
        case AttemptUpdate(about, what):
            kind: type = type(what)
        case TimedOut(about) | api.Cancel(_, about):
            kind = type(news)
        case _:
            about, kind = leg, type(news)
    return wait.value.index(kind) if about == leg and kind in wait.value else None


class Inbox:
    """Pending news of one request; one reader."""

    def __init__(self) -> None:
        self.pending: list[News] = []
        self._arrived = asyncio.Event()

    def put_nowait(self, news: News) -> None:
        """Add news; never blocks."""
        self.pending.append(news)
        self._arrived.set()

    def word_from_server(self) -> bool:
        """Is something pending that a server has said?"""
        return any(isinstance(one, AttemptUpdate) for one in self.pending)

    async def decision(self) -> Decision:
        """Wait for a decision, with no attempt out."""
        return cast(Decision, await self._take(Wait.DECISION, -1))

    async def attempt(self, leg: int) -> AttemptNews:
        """Wait for what becomes of the attempt that is out."""
        return cast(AttemptNews, await self._take(Wait.SERVER, leg))

    async def release(self, leg: int) -> CallNews:
        """Wait for the end of a call that stands."""
        return cast(CallNews, await self._take(Wait.RELEASE, leg))

    async def _take(self, wait: Wait, leg: int) -> News:
        """The first by precedence of what is pending; what is no news in this wait stays for a later one."""
        while True:
            ranked = [
                (place, at)
                for at, one in enumerate(self.pending)
                if (place := precedence(wait, leg, one)) is not None
            ]
            if ranked:
                return self.pending.pop(min(ranked)[1])
            self._arrived.clear()
            await self._arrived.wait()
