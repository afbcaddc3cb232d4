"""Reads what a server sends on one connection, and saves releases out of one that can't be read any more."""

from __future__ import annotations

from typing import Protocol

from seamlb import log
from seamlb.net.connection import Connection
from seamlb.net.reason import CloseReason
from seamlb.protocol.sip import Framer, Message, SipError, find_byes

PART_WITHIN = 0.25  # seconds for the rest of a message: an answer that stops short makes its connection useless
SALVAGE = 0.25  # seconds for releases that were on their way when a connection of no use was given up
SALVAGE_BYTES = 64 * 1024


class ReaderOwner(Protocol):
    """What the server's link does with what is read."""

    def received(self, connection: Connection, message: Message) -> None:
        """A whole message came."""

    def salvaged(self, message: Message) -> None:
        """The release of a call, perhaps cut off behind its id, out of bytes that can't be framed."""

    def has_standing(self) -> bool:
        """Do calls stand at the server, whose releases may yet come?"""

    def lost(self, connection: Connection) -> None:
        """The connection carries no set-up any more."""


class ServerReader:
    """The receiving side of one connection."""

    def __init__(self, owner: ReaderOwner, connection: Connection) -> None:
        self.owner, self.connection = owner, connection
        self.framer = Framer(check_bodies=True)
        self.residue = bytearray()  # what came once the connection could not be read any more
        connection.message_within, connection.linger = PART_WITHIN, SALVAGE
        connection.late = self._stopped_short
        connection.in_use = lambda: bool(self.framer.data)  # a message is half read

    async def run(self) -> None:
        """Read until the connection ends."""
        try:
            await self.connection.run(self._received)
        finally:
            self.owner.lost(self.connection)

    def _received(self, data: bytes) -> None:
        whole = self.framer.feed_and_dispatch(data, self._message, self._malformed)
        self.connection.messages_read(whole, bool(self.framer.data))

    def _message(self, message: Message) -> None:
        if not self.connection.closed:
            self.owner.received(self.connection, message)

    def _malformed(self, error: SipError) -> None:
        # After one answer that can't be read none can be trusted: the set-ups on it end now, not by time-out.
        log.event("malformed", kind="desk", peer=self.connection.peer, error=str(error))
        self._leave(CloseReason.MALFORMED, self.framer.unparsed)

    def _stopped_short(self) -> None:
        self._leave(CloseReason.SLOW, bytes(self.framer.data))

    def _leave(self, reason: CloseReason, left: bytes) -> None:
        """The connection is of no use any more; what stands there may yet be released on it."""
        if self.owner.has_standing():
            self.connection.residue = self._salvage
            self.connection.lingering_close(reason)
            self.owner.lost(self.connection)
            self._salvage(left)
        else:
            self.connection.close(reason)

    def _salvage(self, data: bytes) -> None:
        """Releases of calls that stand, in bytes that can't be framed: the server sends them once only."""
        self.residue.extend(data)
        for message in find_byes(bytes(self.residue)):
            self.owner.salvaged(message)
        if len(self.residue) > SALVAGE_BYTES:
            self.connection.close(self.connection.ending or CloseReason.MALFORMED)
