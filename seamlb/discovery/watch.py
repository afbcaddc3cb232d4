"""Follows one resource of a discovery server with long polls, so that a silent or dead connection hides no change."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from seamlb.discovery.poller import Poller, PollError
from seamlb.discovery.polls import PATIENCE, Poll, PollRequest, Polls
from seamlb.net.close_reason import CloseReason
from seamlb.protocol.http import Response

LEAVE_WAIT = 0.02  # seconds for an answer that has arrived from an address that is left


class ResponseError(Exception):
    """A response that can't be used; the text says why."""


class Resource(Protocol):
    """What is followed: it makes the requests and takes the responses."""

    def next_request(self) -> PollRequest:
        """The request of the poll that is sent now."""

    def apply(self, poll: Poll, response: Response) -> None:
        """Apply the response to a poll; ResponseError if it can't be used."""

    def poll_failed(self, poll: Poll, reason: str) -> None:
        """Log a poll that failed or has become overdue."""


class Watch:
    """Keeps a poll of one resource under way at an address, and others beside it while that one is not answered.

    `kind` names the connections in the log. Without an address nothing is asked until there is one.
    """

    def __init__(self, address: str, kind: str, resource: Resource, polls: Polls | None = None) -> None:
        self.address = address
        self.kind = kind
        self.resource = resource
        self.polls = polls or Polls()
        self.caught_up = asyncio.Event()  # set after the first answer, which brings all earlier changes
        self.answered_at: float | None = None  # loop time of the last answer
        self.address_changed: asyncio.Future[None] | None = None  # what `run` waits for

    def set_address(self, address: str) -> None:
        """Switch to another address at once."""
        self.address = address
        if self.address_changed and not self.address_changed.done():
            self.address_changed.set_result(None)

    def seconds_unanswered(self) -> float | None:
        """Seconds since the last answer; None before the first."""
        if self.answered_at is None:
            return None
        return round(asyncio.get_running_loop().time() - self.answered_at, 3)

    async def run(self) -> None:
        """Follow the resource until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self.address_changed = loop.create_future()
                await self._leave_old_address()
                if self.address and loop.time() >= self.polls.next_due:
                    self._send_poll(loop.time())
                waits: set[asyncio.Future[Any]] = {
                    self.address_changed,
                    *(poll.task for poll in self.polls.under_way),
                }
                timeout = max(0.0, self.polls.next_due - loop.time()) if self.address else None
                await asyncio.wait(waits, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
                self._process_polls(loop.time())
        finally:
            tasks = [poll.task for poll in self.polls.under_way]
            self.polls.close(CloseReason.SHUTDOWN)
            for task in tasks:
                task.cancel()

    async def _leave_old_address(self) -> None:
        """Close the polls if the address has changed since they were sent; what has arrived still counts."""
        left = [poll.task for poll in self.polls.under_way if poll.poller.address != self.address]
        if left:
            await asyncio.wait(left, timeout=LEAVE_WAIT, return_when=asyncio.FIRST_COMPLETED)
            self._process_polls(asyncio.get_running_loop().time())
            self.polls.close(CloseReason.REPLACED)

    def _send_poll(self, now: float, poller: Poller | None = None) -> None:
        """Send a poll, on the connection of one that was answered or on another one."""
        request = self.resource.next_request()
        poller = poller or Poller(self.address, self.kind)
        task = asyncio.get_running_loop().create_task(poller.get(request.path, PATIENCE))
        task.add_done_callback(lambda task: task.cancelled() or task.exception())  # retrieved if nobody waits
        self.polls.add(Poll(poller, request, now, task))

    def _process_polls(self, now: float) -> None:
        """Apply the answers, and log the polls that failed or have become overdue."""
        for poll in self.polls.take_overdue(now):
            self.resource.poll_failed(poll, "silent" if poll.poller.connected else "connecting")
        for poll in self.polls.take_answered():
            error = self._apply_answer(poll)
            if poll.poller.address != self.address:
                poll.poller.close(CloseReason.REPLACED)
            elif error:
                poll.poller.close(CloseReason.MALFORMED)
                self.polls.failed(now)
                self.resource.poll_failed(poll, error)
            else:
                self._continue(poll, now)

    def _apply_answer(self, poll: Poll) -> str:
        """Apply the answer to a poll; returns why there is none, or ""."""
        try:
            self.resource.apply(poll, poll.task.result())
        except (PollError, ResponseError) as error:
            return str(error)
        self.answered_at = asyncio.get_running_loop().time()
        self.caught_up.set()
        self.polls.answered()
        return ""

    def _continue(self, poll: Poll, now: float) -> None:
        """Send the next poll on the connection of an answered one, unless a later one is still under way."""
        if now >= self.polls.next_due and poll.poller.connected:
            self._send_poll(now, poll.poller)
        elif self.polls.under_way:
            poll.poller.close(CloseReason.IDLE)
