"""Client of the notice board: polls it without a pause and passes changes of the desk list to the core."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from seamlb import log
from seamlb.discovery.polls import Poll, PollRequest
from seamlb.discovery.watch import ResponseError, Watch
from seamlb.protocol.http import Response
from seamlb.protocol.notices import Notice, NoticeError, parse_notices
from seamlb.routing.model import Availability, Desk, DeskListCallback, Scope

MAX_LAG = 7.0  # seconds the board may be late; its events count as known after that
PHASES = {"Ready": Availability.READY, "Terminating": Availability.DRAINING, "Gone": Availability.GONE}


class Board:
    """Follows the list of desks with long polls."""

    def __init__(
        self, address: str, zones: Sequence[str], on_change: DeskListCallback, skip_first_wait: bool = False
    ) -> None:
        self.watch = Watch(address, "board", self)
        self.skip_first_wait = skip_first_wait  # the first poll is answered immediately
        self.zones = {name: index for index, name in enumerate(zones)}
        self.on_change = on_change
        self.rev = 0  # the number of the latest event
        self.revision = 0  # the newest revision of the list itself
        self.ignore_older_until = math.inf  # loop time; set when event numbers went back
        self.skipped = False  # an older list was ignored since then
        self.published = False
        self.numbering = 0  # counts how often the event numbers have begun anew

    @property
    def caught_up(self) -> asyncio.Event:
        """Set after the first answer, which brings all earlier events."""
        return self.watch.caught_up

    def apply_notices(self, raw: Mapping[str, Any], watch: int | None = None) -> None:
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
        if address != self.watch.address:
            log.event("discovery_address", old=self.watch.address, new=address, rev=self.rev)
            self.watch.set_address(address)

    def stats(self) -> dict[str, Any]:
        """The age of the list for operators: seconds since the board's last answer, None before the first."""
        return {"list_age_s": self.watch.seconds_unanswered()}

    async def run(self) -> None:
        """Follow the board until cancelled."""
        await self.watch.run()

    def next_request(self) -> PollRequest:
        """The request of the poll that is sent now."""
        self._accept_older_lists()
        wait = 0.0 if self.skip_first_wait and not self.caught_up.is_set() else self.watch.polls.wait
        path = f"/board/poll?watch={self.rev}&linger={int(wait * 1000)}"
        return PollRequest(path, self.rev, wait, self.numbering)

    def apply(self, poll: Poll, response: Response) -> None:
        """Apply the response to a poll; ResponseError if it can't be used."""
        try:
            if response.status != 200:
                raise NoticeError(f"status {response.status}")
            raw = orjson.loads(response.body)
            left = poll.poller.address != self.watch.address
            if poll.request.numbering == self.numbering:  # else its events have the numbers from before a restart
                # A board that was left is not asked again for anything.
                self.apply_notices(raw, 0 if left else poll.request.watch)
        except (NoticeError, orjson.JSONDecodeError) as error:
            log.event("malformed", kind="board", error=str(error))
            raise ResponseError("malformed") from None

    def poll_failed(self, poll: Poll, reason: str) -> None:
        """One line for a poll that failed; `unheard_s`: seconds since the last answer, if there was one."""
        log.event(
            "poll_failed",
            address=poll.poller.address,
            rev=poll.request.watch,
            why=reason,
            unheard_s=self.watch.seconds_unanswered(),
        )
