"""Shares the event loop among connections that have more data than one turn may process."""

from __future__ import annotations

import asyncio
from collections import deque

MESSAGES_PER_TURN = 8  # of one connection, before other events are served
TURNS_PER_ITERATION = 4  # of the event loop, over all connections that wait for a further turn


class Turns:
    """Grants further turns in the order in which they are asked for, a few in each iteration of the event loop.

    Without it, hundreds of connections with unprocessed data would each process some of it before any other event.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    def request(self) -> asyncio.Future[None]:
        """Ask for a turn; the result is set as it comes. Whoever needs it no more cancels the request."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._grant)
        return turn

    def _grant(self) -> None:
        granted = 0
        while self._waiting and granted < TURNS_PER_ITERATION:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                granted += 1
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._grant)
