"""Client of the notice board: polls it continuously and passes changes of the desk list to the core."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from seamlb import log
from seamlb.discovery.poller import Poller, PollError
from seamlb.net.close_reason import CloseReason
from seamlb.protocol.notices import Notice, NoticeError, parse_notices
from seamlb.routing.model import Availability, Desk, DeskListCallback, Scope

POLL_WAIT = 2.0  # seconds the board may hold a poll until there is an event
SILENCE_MARGIN = 1.5  # seconds after that until a poll times out; a drain must be known within 7 s
# Seconds between retries; with the connect time they stay below 2 s, after which events missed in an outage count as
# known.
RETRY_MIN, RETRY_MAX = 0.1, 0.5
MAX_LAG = 7.0  # seconds the board may be late; its events count as known after that
PHASES = {"Ready": Availability.READY, "Terminating": Availability.DRAINING, "Gone": Availability.GONE}


class Board:
    """Follows the list of desks with long polls on one connection."""

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
        self.address_changed = asyncio.Event()

    def apply(self, raw: Mapping[str, Any]) -> None:
        """Apply events from the configuration or the board; known events are skipped.

        A board whose event numbers went back was restarted and would never send the events that the poll waits for,
        so all events are requested again. For MAX_LAG seconds the board may just be late: until then a list older
        than the current one is ignored, as it could bring removed servers back.
        """
        last, notices = parse_notices(raw)
        if last < self.rev:
            log.event("board_restarted", rev=self.rev, told=last)
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
        """Switch to another address of the board; the event numbers continue."""
        if address != self.address:
            self.address = address
            self.address_changed.set()

    async def run(self) -> None:
        """Follow the board until cancelled; a new address interrupts the current poll, pause or connect."""
        while True:
            self.address_changed.clear()
            address_changed = asyncio.ensure_future(self.address_changed.wait())
            polling = asyncio.ensure_future(self._poll(self.address)) if self.address else address_changed
            try:
                await asyncio.wait((polling, address_changed), return_when=asyncio.FIRST_COMPLETED)
                if polling.done():
                    polling.result()  # it ends only by an exception, which the daemon logs
            finally:
                address_changed.cancel()
                polling.cancel()
                await asyncio.gather(polling, address_changed, return_exceptions=True)

    async def _poll(self, address: str) -> None:
        """Poll until cancelled; a connection that ends or falls silent is replaced."""
        poller = Poller(address, "board")
        pause = 0.0
        try:
            while True:
                await asyncio.sleep(pause)
                pause = min(max(2 * pause, RETRY_MIN), RETRY_MAX)
                self._accept_older_lists()
                wait_ms = 0 if self.skip_first_wait and not self.caught_up.is_set() else int(POLL_WAIT * 1000)
                path = f"/board/poll?watch={self.rev}&linger={wait_ms}"
                try:
                    answer = await poller.get(path, POLL_WAIT + SILENCE_MARGIN)
                    if answer.status != 200:
                        raise NoticeError(f"status {answer.status}")
                    self.apply(orjson.loads(answer.body))
                    self.caught_up.set()
                except PollError:
                    continue
                except (NoticeError, orjson.JSONDecodeError) as error:
                    log.event("malformed", kind="board", error=str(error))
                    poller.close(CloseReason.MALFORMED)
                    continue
                pause = 0.0
        finally:
            poller.close(CloseReason.SHUTDOWN if address == self.address else CloseReason.REPLACED)
