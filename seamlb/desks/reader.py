"""Reads the messages of a server on one connection, and recovers releases from data that can no longer be framed."""

from __future__ import annotations

from typing import Protocol

from seamlb import log
from seamlb.net.close_reason import CloseReason
from seamlb.net.connection import Connection
from seamlb.protocol.framing import Framer, find_byes
from seamlb.protocol.sip import Message, SipError

PARTIAL_MESSAGE_TIMEOUT = 0.25  # seconds; after a truncated answer the connection is unusable
SALVAGE_TIME = 0.25  # seconds in which releases are still read from an abandoned connection
SALVAGE_BYTES = 64 * 1024


class ReaderOwner(Protocol):
    """Receives the messages and events of a reader."""

    def heard(self, connection: Connection) -> None:
        """Handle the arrival of bytes: a sign of life."""

    def received(self, connection: Connection, message: Message) -> None:
        """Handle a complete message."""

    def salvaged(self, message: Message) -> None:
        """Handle the release of a call found in unframed data; it may be cut off after its Call-ID."""

    def has_established(self) -> bool:
        """Whether the server has established calls, whose releases may still arrive."""

    def lost(self, connection: Connection) -> None:
        """Handle a connection that can no longer carry set-ups."""


class ServerReader:
    """The receiving side of one connection."""

    def __init__(self, owner: ReaderOwner, connection: Connection) -> None:
        self.owner, self.connection = owner, connection
        self.framer = Framer(strict=True)
        self.residual = bytearray()  # data received after the framing was lost
        connection.message_timeout, connection.lingering.time = PARTIAL_MESSAGE_TIMEOUT, SALVAGE_TIME
        connection.on_message_timeout = self._message_timed_out
        connection.in_use = lambda: bool(self.framer.data)  # a message is partly read

    async def run(self) -> None:
        """Read until the connection ends."""
        try:
            await self.connection.run(self._received)
        finally:
            self.owner.lost(self.connection)

    def _received(self, data: bytes) -> None:
        self.owner.heard(self.connection)
        messages = self.framer.feed_and_dispatch(data, self._message, self._malformed)
        self.connection.messages_read(messages, len(self.framer.data))

    def _message(self, message: Message) -> None:
        if not self.connection.closed:
            self.owner.received(self.connection, message)

    def _malformed(self, error: SipError) -> None:
        # After one malformed answer none can be trusted: its set-ups end now, not when they time out.
        log.event("malformed", kind="desk", peer=self.connection.peer, error=str(error))
        self._abandon(CloseReason.MALFORMED, self.framer.unparsed)

    def _message_timed_out(self) -> None:
        self._abandon(CloseReason.SLOW, bytes(self.framer.data))

    def _abandon(self, reason: CloseReason, unread: bytes) -> None:
        """Stop using the connection, but keep reading releases while the server has established calls."""
        if self.owner.has_established():
            self.connection.on_residual_data = self._salvage
            self.connection.lingering_close(reason)
            self.owner.lost(self.connection)
            self._salvage(unread)
        else:
            self.connection.close(reason)

    def _salvage(self, data: bytes) -> None:
        """Find releases of established calls in unframed data: the server sends each release only once."""
        self.owner.heard(self.connection)
        self.residual.extend(data)
        for message in find_byes(bytes(self.residual)):
            self.owner.salvaged(message)
        if len(self.residual) > SALVAGE_BYTES:
            self.connection.close(self.connection.lingering.reason or CloseReason.MALFORMED)
