"""The long polls of one watch that are under way: when another one is due beside those that are not answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from seamlb.discovery.poller import Poller
from seamlb.net.close_reason import CloseReason
from seamlb.protocol.http import Response

POLL_WAIT = 2.0  # seconds the server may hold a poll until there is a change
SILENCE_MARGIN = 1.5  # seconds after that until another poll is sent; a drain must be known within 7 s
CONNECT_MARGIN = 1.0  # seconds until another poll is sent if no connection came up
PATIENCE = 30.0  # seconds for which the answer to a poll still counts: a crowded server may take long
MAX_POLLS = 3  # under way at once
# Seconds between retries after an error. Events missed in an outage count as known 2 s after it, so they stay well
# below that.
RETRY_MIN, RETRY_MAX = 0.1, 0.5


@dataclass(slots=True, frozen=True)
class PollRequest:
    """What a poll asks for."""

    path: str
    watch: int  # the latest event, or index, that is known
    wait: float  # longest time in seconds for which the server holds it
    numbering: int = 0  # of the board's event numbers; a board that was restarted begins another one


@dataclass(slots=True, eq=False)
class Poll:
    """One poll that is under way."""

    poller: Poller
    request: PollRequest
    started: float  # loop time
    task: asyncio.Task[Response]
    overdue: bool = False

    @property
    def overdue_at(self) -> float:
        """Loop time from which the poll no longer shows that the server is reachable."""
        return self.started + (self.request.wait + SILENCE_MARGIN if self.poller.connected else CONNECT_MARGIN)


def _no_jitter() -> float:
    return 1.0


class Polls:
    """All polls under way, the oldest first.

    A poll that is overdue stays: the server may be slow, and its answer still counts. Others are sent beside it on
    connections of their own, as a connection may be dead. If there are too many, the second one gives way: the oldest
    is the next that a slow server answers, the newest the one that a server which returns answers.

    `retry_min` and `retry_max`: seconds between a failure and the next poll, doubled from one to the other;
    `jitter` returns the part of them that is waited.
    """

    def __init__(
        self, retry_min: float = RETRY_MIN, retry_max: float = RETRY_MAX, jitter: Callable[[], float] = _no_jitter
    ) -> None:
        self.retry_min, self.retry_max, self.jitter = retry_min, retry_max, jitter
        self.under_way: list[Poll] = []
        self.failures = 0  # since the last answer
        self.backoff = 0.0  # seconds between the last failure and the next poll, without jitter
        self.retry_at = 0.0  # loop time

    @property
    def wait(self) -> float:
        """Seconds for which the server may hold the next poll; after a failure it is asked to answer at once."""
        return 0.0 if self.failures else POLL_WAIT

    @property
    def next_due(self) -> float:
        """Loop time at which the next poll is due."""
        return max(self.retry_at, self.under_way[-1].overdue_at) if self.under_way else self.retry_at

    def add(self, poll: Poll) -> None:
        """Add a poll, and close one if there are too many."""
        self.under_way.append(poll)
        if len(self.under_way) > MAX_POLLS:
            self.under_way.pop(1).poller.close(CloseReason.SILENT)

    def take_answered(self) -> list[Poll]:
        """Remove and return the polls that have ended, the oldest first."""
        ended = [poll for poll in self.under_way if poll.task.done()]
        self.under_way = [poll for poll in self.under_way if not poll.task.done()]
        return ended

    def take_overdue(self, now: float) -> list[Poll]:
        """Return the polls that have become overdue, each once."""
        found = [poll for poll in self.under_way if not poll.overdue and poll.overdue_at <= now]
        for poll in found:
            poll.overdue = True
            self.failures += 1
        return found

    def answered(self) -> None:
        """Record an answer: the next poll is due at once."""
        self.failures, self.backoff, self.retry_at = 0, 0.0, 0.0

    def failed(self, now: float) -> None:
        """Record a failure: the next poll is due after a pause that doubles."""
        self.failures += 1
        self.backoff = min(max(2 * self.backoff, self.retry_min), self.retry_max)
        self.retry_at = now + self.backoff * self.jitter()

    def close(self, reason: CloseReason) -> None:
        """Close all polls; their answers no longer count, and the next one is due at once."""
        for poll in self.under_way:
            poll.poller.close(reason)
        self.under_way.clear()
        self.answered()
