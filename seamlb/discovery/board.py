"""The notice board: polls it without pause, and gives the core what it tells."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from seamlb import log
from seamlb.discovery.poller import Poller, PollError
from seamlb.net.reason import CloseReason
from seamlb.protocol.notices import Notice, NoticeError, parse_notices
from seamlb.routing.model import Availability, Desk, DeskListCallback, Scope

LINGER = 2.0  # seconds that the board may wait for news
SILENCE = 1.5  # seconds beyond that before a poll counts as silent; a drain must be known within 7 s
RETRY_FIRST, RETRY_MOST = 0.1, 0.5  # with the time to connect, under 2 s: what a break hides counts as told then
LATE = 7.0  # seconds by which a board may be late: what it has to tell counts as told then
PHASES = {"Ready": Availability.READY, "Terminating": Availability.DRAINING, "Gone": Availability.GONE}


class Board:
    """Follows the list of desks by long polls on one connection."""

    def __init__(
        self, address: str, zones: Sequence[str], changed: DeskListCallback, skip_first_wait: bool = False
    ) -> None:
        self.address = address
        self.caught_up = asyncio.Event()  # the board has answered once: nothing older is unknown
        self.skip_first_wait = skip_first_wait  # have the first answer without a wait
        self.zones = {name: place for place, name in enumerate(zones)}
        self.changed = changed
        self.rev = 0
        self.revision = 0  # the newest of the list itself that was told
        self.behind_until = math.inf  # after its numbers went back: when it is believed though its list seems older
        self.skipped = False  # has it told an older list since then?
        self.told = False
        self.moved = asyncio.Event()

    def apply(self, raw: Mapping[str, Any]) -> None:
        """Take a list of notices, the configuration's or the board's; those known already are skipped.

        A board whose numbers went back has begun anew, and would never tell what we wait for: it is asked for
        everything. For as long as it may only be late, a list older than the one that we have brings no server back.
        """
        last, notices = parse_notices(raw)
        if last < self.rev:
            log.event("board_restarted", rev=self.rev, told=last)
            self.rev, self.behind_until = 0, asyncio.get_running_loop().time() + LATE
            return
        for notice in notices:
            if notice.event_number > self.rev:
                self.rev = notice.event_number
                if self.behind_until < math.inf and notice.list_revision < self.revision:
                    self.skipped = True
                    continue
                self.revision = max(self.revision, notice.list_revision)
                self._tell(notice)
        self.rev = max(self.rev, last)

    def _believe(self) -> None:
        """What still tells older lists after that long has begun to count anew: it is asked for everything again."""
        if asyncio.get_running_loop().time() < self.behind_until:
            return
        self.behind_until = math.inf
        if self.skipped:
            self.rev = self.revision = 0
            self.skipped = False

    def _tell(self, notice: Notice) -> None:
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
        first, self.told = not self.told, True
        self.changed(Scope.CACHED if first else Scope.FULL if notice.complete else Scope.DELTA, desks)
        log.event("list", rev=notice.event_number, complete=notice.complete, desks=len(desks))

    def set_address(self, address: str) -> None:
        """Follow the board at another address from now on; the numbers of the events continue."""
        if address != self.address:
            self.address = address
            self.moved.set()

    async def run(self) -> None:
        """Follow the board until cancelled; a move ends the poll, the pause or the connect that is under way."""
        while True:
            self.moved.clear()
            moved = asyncio.ensure_future(self.moved.wait())
            polling = asyncio.ensure_future(self._poll(self.address)) if self.address else moved
            try:
                await asyncio.wait((polling, moved), return_when=asyncio.FIRST_COMPLETED)
                if polling.done():
                    polling.result()  # it ends by a fault alone, which is the daemon's to log
            finally:
                moved.cancel()
                polling.cancel()
                await asyncio.gather(polling, moved, return_exceptions=True)

    async def _poll(self, address: str) -> None:
        """Poll until cancelled; a connection that ends or falls silent is opened anew."""
        poller = Poller(address, "board")
        pause = 0.0
        try:
            while True:
                await asyncio.sleep(pause)
                pause = min(max(2 * pause, RETRY_FIRST), RETRY_MOST)
                self._believe()
                linger = 0 if self.skip_first_wait and not self.caught_up.is_set() else int(LINGER * 1000)
                path = f"/board/poll?watch={self.rev}&linger={linger}"
                try:
                    answer = await poller.get(path, LINGER + SILENCE)
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
