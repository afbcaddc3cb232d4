"""One GET at a time on one kept connection: what both kinds of discovery poll with."""

from __future__ import annotations

import asyncio

from seamlb.net.connection import Connection
from seamlb.net.dial import ConnectError, connect
from seamlb.net.reason import CloseReason
from seamlb.protocol.http import HttpError, Response, ResponseReader, get_request

CONNECT_TIMEOUT = 1.0


class PollError(Exception):
    """No usable answer; the connection's log line tells more."""


class Poller:
    """Keeps a connection to one address, and opens it anew when a poll needs it."""

    def __init__(self, address: str, kind: str) -> None:
        self.address = address
        self.kind = kind
        self.connection: Connection | None = None
        self.reading: asyncio.Task[CloseReason] | None = None
        self.answers: asyncio.Queue[Response] = asyncio.Queue()

    async def get(self, path: str, timeout: float) -> Response:
        """The answer to a GET; PollError if none comes within `timeout` seconds."""
        if self.connection is None or self.reading is None or self.connection.closed:
            try:
                self.connection = await connect(self.address, self.kind, CONNECT_TIMEOUT)
            except ConnectError as failed:
                raise PollError(str(failed)) from None
            self.answers = asyncio.Queue()
            self.reading = asyncio.get_running_loop().create_task(self._read(self.connection, self.answers))
        connection = self.connection
        connection.send(get_request(path, self.address))
        taking = asyncio.get_running_loop().create_task(self.answers.get())
        try:
            await asyncio.wait((taking, self.reading), timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
            if not taking.done():
                await asyncio.sleep(0)  # an answer and the end of its connection may come together
            if not taking.done():
                connection.close(CloseReason.SILENT)
                raise PollError(str(connection.reason))
            answer = taking.result()
        finally:
            taking.cancel()
        if not answer.keep_alive:
            connection.close(CloseReason.PEER_CLOSED)
        return answer

    async def _read(self, connection: Connection, answers: asyncio.Queue[Response]) -> CloseReason:
        reader = ResponseReader()

        def received(data: bytes) -> None:
            try:
                answer = reader.feed(data)
                while answer:
                    answers.put_nowait(answer)
                    answer = reader.feed(b"")
            except HttpError:
                connection.close(CloseReason.MALFORMED)

        return await connection.run(received)

    def close(self, reason: CloseReason) -> None:
        """End the connection, if one is open."""
        if self.connection:
            self.connection.close(reason)
