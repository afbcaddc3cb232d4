"""Client of the notice board: polls it without a pause and passes changes of the desk list to the core."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from seamlb import log
from seamlb.discovery.poller import Poller, PollError
from seamlb.discovery.polls import PATIENCE, Poll, Polls
from seamlb.net.close_reason import CloseReason
from seamlb.protocol.notices import Notice, NoticeError, parse_notices
from seamlb.routing.model import Availability, Desk, DeskListCallback, Scope

MAX_LAG = 7.0  # seconds the board may be late; its events count as known after that
LEAVE_WAIT = 0.02  # seconds for an answer that has arrived from an address that is left
PHASES = {"Ready": Availability.READY, "Terminating": Availability.DRAINING, "Gone": Availability.GONE}


class Board:
    """Follows the list of desks with long polls; the address is read anew for each of them."""

    def __init__(
        self, address: str, zones: Sequence[str], on_change: DeskListCallback, skip_first_wait: bool = False
    ) -> None:
        self.address = address
        self.caught_up = asyncio.Event()  # set after the first answer, which brings all earlier events
        self.skip_first_wait = skip_first_wait  # the first poll is answered immediately
        self.zones = {name: index for index, name in enumerate(zones)}
        self.on_change = on_change
        self.rev = 0  # the number of the latest event
        self.revision = 0  # the newest revision of the list itself
        self.ignore_older_until = math.inf  # loop time; set when event numbers went back
        self.skipped = False  # an older list was ignored since then
        self.published = False
        self.polls = Polls()
        self.numbering = 0  # counts how often the event numbers have begun anew
        self.answered_at: float | None = None  # loop time of the last answer
        self.address_changed: asyncio.Future[None] | None = None  # what `run` waits for

    def apply(self, raw: Mapping[str, Any], watch: int | None = None) -> None:
        """Apply events from the configuration or the board; known events are skipped.

        `watch`: the latest event that was known as they were asked for, if others may have come since.

        A board whose event numbers went back was restarted and would never send the events that the poll waits for,
        so all events are requested again. For MAX_LAG seconds the board may just be late: until then a list older
        than the current one is ignored, as it could bring removed servers back.
        """
        last, notices = parse_notices(raw)
        if last < (self.rev if watch is None else watch):
            log.event("board_restarted", rev=self.rev, told=last)
            self.numbering += 1
            self.rev, self.ignore_older_until = 0, asyncio.get_running_loop().time() + MAX_LAG
            return
        for notice in notices:
            if notice.event_number > self.rev:
                self.rev = notice.event_number
                if self.ignore_older_until < math.inf and notice.list_revision < self.revision:
                    self.skipped = True
                    continue
                self.revision = max(self.revision, notice.list_revision)
                self._publish(notice)
        self.rev = max(self.rev, last)

    def _accept_older_lists(self) -> None:
        """Request all events again if the board still sends older lists after MAX_LAG: its numbering started anew."""
        if asyncio.get_running_loop().time() < self.ignore_older_until:
            return
        self.ignore_older_until = math.inf
        if self.skipped:
            self.rev = self.revision = 0
            self.skipped = False

    def _publish(self, notice: Notice) -> None:
        desks = []
        for member in notice.members:
            if member.phase not in PHASES:
                log.event("unknown_phase", desk=member.ident, phase=member.phase)
            desks.append(
                Desk(
                    member.ident,
                    member.address,
                    self.zones.get(member.locality, 0),
                    member.cell,
                    PHASES.get(member.phase, Availability.DRAINING),
                    member.since_ms,
                )
            )
        first, self.published = not self.published, True
        self.on_change(Scope.CACHED if first else Scope.FULL if notice.complete else Scope.DELTA, desks)
        log.event("list", rev=notice.event_number, complete=notice.complete, desks=len(desks))

    def set_address(self, address: str) -> None:
        """Switch to another address of the board, at once; the event numbers continue."""
        if address != self.address:
            log.event("discovery_address", old=self.address, new=address, rev=self.rev)
            self.address = address
            if self.address_changed and not self.address_changed.done():
                self.address_changed.set_result(None)

    def stats(self) -> dict[str, Any]:
        """The age of the list for operators: seconds since the board's last answer, None before the first."""
        now = asyncio.get_running_loop().time()
        return {"list_age_s": None if self.answered_at is None else round(now - self.answered_at, 3)}

    async def run(self) -> None:
        """Follow the board until cancelled."""
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
        self._accept_older_lists()
        wait = 0.0 if self.skip_first_wait and not self.caught_up.is_set() else self.polls.wait
        path = f"/board/poll?watch={self.rev}&linger={int(wait * 1000)}"
        poller = poller or Poller(self.address, "board")
        task = asyncio.get_running_loop().create_task(poller.get(path, PATIENCE))
        task.add_done_callback(lambda task: task.cancelled() or task.exception())  # retrieved if nobody waits
        self.polls.add(Poll(poller, self.rev, wait, self.numbering, now, task))

    def _process_polls(self, now: float) -> None:
        """Apply the answers, and log the polls that failed or have become overdue."""
        for poll in self.polls.take_overdue(now):
            self._log_failure(poll, "silent" if poll.poller.connected else "connecting")
        for poll in self.polls.take_answered():
            error = self._apply_answer(poll)
            if poll.poller.address != self.address:
                poll.poller.close(CloseReason.REPLACED)
            elif error:
                poll.poller.close(CloseReason.MALFORMED)
                self._log_failure(poll, error)
                self.polls.failed(now)
            else:
                self._continue(poll, now)

    def _apply_answer(self, poll: Poll) -> str:
        """Apply the answer to a poll; returns why there is none, or ""."""
        try:
            response = poll.task.result()
            if response.status != 200:
                raise NoticeError(f"status {response.status}")
            raw = orjson.loads(response.body)
            left = poll.poller.address != self.address
            if poll.numbering == self.numbering:  # else the numbers of its events are those before a restart
                self.apply(raw, 0 if left else poll.watch)  # a board that was left is not asked again for anything
        except PollError as error:
            return str(error)
        except (NoticeError, orjson.JSONDecodeError) as error:
            log.event("malformed", kind="board", error=str(error))
            return "malformed"
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

    def _log_failure(self, poll: Poll, why: str) -> None:
        """One line for a poll that failed; `unheard_s`: seconds since the last answer, if there was one."""
        now = asyncio.get_running_loop().time()
        unheard = None if self.answered_at is None else round(now - self.answered_at, 3)
        log.event("poll_failed", address=poll.poller.address, rev=poll.watch, why=why, unheard_s=unheard)
