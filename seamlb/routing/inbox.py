"""The inbox of one request: pending messages are taken by precedence, independent of their order of arrival.

After a pause of the process, or in a busy iteration of the event loop, several messages for one request are pending
at once. They are then in the order in which the loop served timers and sockets, not in the order of the underlying
events. docs/design/races.md describes the rule.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import cast

from seamlb import api
from seamlb.routing.messages import (
    AttemptMessage,
    AttemptUpdate,
    CallerGone,
    CallMessage,
    DecisionMessage,
    Overdue,
    SessionMessage,
    Shutdown,
    TimedOut,
)
from seamlb.routing.model import Answer, Outcome


class WaitState(Enum):
    """States in which the coroutine of a request waits; the value lists accepted message types by precedence."""

    DECISION = (CallerGone, api.Refuse, api.Fail, Shutdown, Overdue, api.SendSetUp)
    SERVER = (Answer, Outcome, CallerGone, api.Cancel, TimedOut, Shutdown)
    RELEASE = (Outcome, CallerGone)


def precedence(state: WaitState, leg: int, message: SessionMessage) -> int | None:
    """The rank of `message` in a wait state, 0 first; None if it is not accepted there.

    `leg` numbers the current attempt: messages about another attempt are never accepted.
    """
    match message:
        case AttemptUpdate(message_leg, result):
            kind: type = type(result)
        case TimedOut(message_leg) | api.Cancel(_, message_leg):
            kind = type(message)
        case _:
            message_leg, kind = leg, type(message)
    return state.value.index(kind) if message_leg == leg and kind in state.value else None


class Inbox:
    """Pending messages of one request; it has a single reader."""

    def __init__(self) -> None:
        self.pending: list[SessionMessage] = []
        self._arrived = asyncio.Event()

    def put_nowait(self, message: SessionMessage) -> None:
        """Add a message; never blocks."""
        self.pending.append(message)
        self._arrived.set()

    def has_desk_update(self) -> bool:
        """Is an update from a desk client pending?"""
        return any(isinstance(message, AttemptUpdate) for message in self.pending)

    async def decision(self) -> DecisionMessage:
        """Wait for a decision while no attempt is in progress."""
        return cast(DecisionMessage, await self._take(WaitState.DECISION, -1))

    async def attempt(self, leg: int) -> AttemptMessage:
        """Wait for the answer or the end of the current attempt."""
        return cast(AttemptMessage, await self._take(WaitState.SERVER, leg))

    async def release(self, leg: int) -> CallMessage:
        """Wait for the end of an established call."""
        return cast(CallMessage, await self._take(WaitState.RELEASE, leg))

    async def _take(self, state: WaitState, leg: int) -> SessionMessage:
        """Take the pending message of highest precedence; those not accepted in this state remain pending."""
        while True:
            ranked = [
                (rank, index)
                for index, message in enumerate(self.pending)
                if (rank := precedence(state, leg, message)) is not None
            ]
            if ranked:
                return self.pending.pop(min(ranked)[1])
            self._arrived.clear()
            await self._arrived.wait()
