"""HTTP client with one persistent connection and one GET at a time, used for long polls of the board and Consul."""

from __future__ import annotations

import asyncio

from seamlb.net.close_reason import CloseReason
from seamlb.net.connecting import ConnectError, connect
from seamlb.net.connection import Connection
from seamlb.protocol.http import HttpError, Response, ResponseReader, get_request

CONNECT_TIMEOUT = 3.0  # seconds; a SYN that was lost is repeated after 1 and 3 s


class PollError(Exception):
    """There was no usable response; the log event of the connection has the reason."""


class Poller:
    """Keeps a connection to one address and reopens it when a poll needs it."""

    def __init__(self, address: str, kind: str) -> None:
        self.address = address
        self.kind = kind
        self.connection: Connection | None = None
        self.reading: asyncio.Task[CloseReason] | None = None
        self.responses: asyncio.Queue[Response] = asyncio.Queue()
        self.closed: CloseReason | None = None  # set by `close`

    @property
    def connected(self) -> bool:
        """Whether its connection is open."""
        return self.connection is not None and not self.connection.closed

    async def get(self, path: str, timeout: float) -> Response:
        """Return the response to a GET; PollError if there is none `timeout` seconds after it was sent."""
        connection, reading = await self._connected()
        connection.send(get_request(path, self.address))
        next_response = asyncio.get_running_loop().create_task(self.responses.get())
        try:
            await asyncio.wait((next_response, reading), timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
            if not next_response.done():
                await asyncio.sleep(0)  # a response and the end of its connection may arrive together
            if not next_response.done():
                connection.close(CloseReason.SILENT)
                raise PollError(str(connection.reason))
            response = next_response.result()
        finally:
            next_response.cancel()
        if not response.keep_alive:
            connection.close(CloseReason.PEER_CLOSED)
        return response

    async def _connected(self) -> tuple[Connection, asyncio.Task[CloseReason]]:
        """Return an open connection and its reading task; PollError if there is none or `close` was called."""
        if self.connection is None or self.reading is None or self.connection.closed:
            try:
                self.connection = await connect(self.address, self.kind, CONNECT_TIMEOUT)
            except ConnectError as error:
                raise PollError(str(error)) from None
            self.responses = asyncio.Queue()
            self.reading = asyncio.get_running_loop().create_task(self._read(self.connection, self.responses))
        if self.closed is not None:
            self.connection.close(self.closed)
            raise PollError(str(self.closed))
        return self.connection, self.reading

    async def _read(self, connection: Connection, responses: asyncio.Queue[Response]) -> CloseReason:
        reader = ResponseReader()

        def received(data: bytes) -> None:
            try:
                response = reader.feed(data)
                while response:
                    responses.put_nowait(response)
                    response = reader.feed(b"")
            except HttpError:
                connection.close(CloseReason.MALFORMED)

        return await connection.run(received)

    def disconnect(self, reason: CloseReason) -> None:
        """Close the connection if one is open; the next poll opens another."""
        if self.connection:
            self.connection.close(reason)

    def close(self, reason: CloseReason) -> None:
        """End the poll that is under way, or that still connects, and allow no other."""
        self.closed = reason
        self.disconnect(reason)
