"""The notice board: polls it without pause, and gives the core what it tells."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import orjson

from seamlb import log
from seamlb.net.connection import ConnectFailed, Connection, connect
from seamlb.net.reason import CloseReason
from seamlb.protocol.http import HttpError, Response, ResponseReader, get
from seamlb.protocol.notices import Notice, NoticeError, parse_notices
from seamlb.routing.model import Availability, Desk, Scope

LINGER = 2.0  # seconds that the board may wait for news
SILENCE = 1.5  # seconds beyond that before a poll counts as silent; a drain must be known within 7 s
CONNECT_TIMEOUT = 1.0
RETRY_FIRST, RETRY_MOST = 0.1, 1.0
PHASES = {"Ready": Availability.READY, "Terminating": Availability.DRAINING, "Gone": Availability.GONE}

Changed = Callable[[Scope, Sequence[Desk]], None]


class Board:
    """Follows the list of desks by long polls on one connection."""

    def __init__(self, address: str, zones: Sequence[str], changed: Changed) -> None:
        self.address = address
        self.zones = {name: place for place, name in enumerate(zones)}
        self.changed = changed
        self.rev = 0
        self.told = False

    def known(self, raw: Mapping[str, Any]) -> None:
        """Take a list of notices, the configuration's or the board's; those known already are skipped."""
        last, notices = parse_notices(raw)
        for notice in notices:
            if notice.rev > self.rev:
                self.rev = notice.rev
                self._tell(notice)
        self.rev = max(self.rev, last)

    def _tell(self, notice: Notice) -> None:
        desks = []
        for member in notice.members:
            if member.phase not in PHASES:
                log.event("unknown_phase", desk=member.ident, phase=member.phase)
            desks.append(Desk(
                member.ident, member.address, self.zones.get(member.locality, 0), member.cell,
                PHASES.get(member.phase, Availability.DRAINING), member.since_ms,
            ))
        first, self.told = not self.told, True
        self.changed(Scope.CACHED if first else Scope.FULL if notice.complete else Scope.DELTA, desks)
        log.event("list", rev=notice.rev, complete=notice.complete, desks=len(desks))

    async def run(self) -> None:
        """Poll until cancelled; a connection that ends or falls silent is opened anew."""
        pause = 0.0
        while True:
            await asyncio.sleep(pause)
            pause = min(max(2 * pause, RETRY_FIRST), RETRY_MOST)
            try:
                connection = await connect(self.address, "board", CONNECT_TIMEOUT)
            except ConnectFailed:
                continue
            if await self._follow(connection):
                pause = 0.0

    async def _follow(self, connection: Connection) -> bool:
        """Poll on one connection until it ends; did it bring anything?"""
        answers: asyncio.Queue[Response] = asyncio.Queue()
        reader = ResponseReader()

        def received(data: bytes) -> None:
            try:
                answer = reader.feed(data)
                while answer:
                    answers.put_nowait(answer)
                    answer = reader.feed(b"")
            except HttpError as error:
                log.event("malformed", kind="board", error=str(error))
                connection.close(CloseReason.MALFORMED)

        reading = asyncio.get_running_loop().create_task(connection.run(received))
        served = False
        try:
            while not connection.closed:
                path = f"/board/poll?watch={self.rev}&linger={int(LINGER * 1000)}"
                connection.send(get(path, self.address))
                taking = asyncio.get_running_loop().create_task(answers.get())
                done, _ = await asyncio.wait(
                    (taking, reading), timeout=LINGER + SILENCE, return_when=asyncio.FIRST_COMPLETED
                )
                if taking not in done:
                    taking.cancel()
                    connection.close(CloseReason.SILENT)
                    break
                answer = taking.result()
                if answer.status != 200:
                    log.event("board_status", status=answer.status)
                    connection.close(CloseReason.ERROR)
                    break
                self.known(orjson.loads(answer.body))
                served = True
                if not answer.keeps:
                    connection.close(CloseReason.PEER_CLOSED)
        except (NoticeError, orjson.JSONDecodeError) as error:
            log.event("malformed", kind="board", error=str(error))
            connection.close(CloseReason.MALFORMED)
        finally:
            connection.close(CloseReason.SHUTDOWN)
            reading.cancel()
        return served
