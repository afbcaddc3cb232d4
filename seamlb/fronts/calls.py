"""Caller connections of the platform front, and the caller's side of each call as the core sees it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from seamlb.fronts.releases import ReleaseSender
from seamlb.net.connection import Connection
from seamlb.protocol.framing import Framer
from seamlb.protocol.sip import Message, response
from seamlb.routing.agent import CallSession

if TYPE_CHECKING:
    from seamlb.fronts.platform import PlatformFront


@dataclass(slots=True, eq=False)
class Client:
    """A connection from callers."""

    connection: Connection
    release_sender: ReleaseSender
    framer: Framer = field(default_factory=Framer)
    unanswered: dict[str, Call] = field(default_factory=dict)  # set-ups without a final answer, by Call-ID


@dataclass(slots=True, eq=False)
class Call:
    """The caller of one request, as the core sees it."""

    front: PlatformFront
    client: Client
    invite: Message  # without what no response needs
    ident: str
    session: CallSession | None = None

    def _send_final(self, message: Message) -> bool:
        self.client.unanswered.pop(self.ident, None)
        is_sent = self.client.connection.send(message.encode())
        self.front.end_if_answered(self.client)
        return is_sent

    def established(self, description: bytes) -> bool:
        """Answer 200 with the desk's session description; False if the connection has ended."""
        sent = self._send_final(response(self.invite, 200, body=description))
        if sent:
            self.client.release_sender.answered()
        return sent

    def refused(self, back_off_ms: float) -> None:
        """Answer 503, with Retry-After if `back_off_ms` is not 0."""
        extra = [("Retry-After", str(math.ceil(back_off_ms / 1000.0)))] if back_off_ms > 0 else []
        self._send_final(response(self.invite, 503, *extra))

    def failed(self) -> None:
        """Answer 500."""
        self._send_final(response(self.invite, 500))

    def released(self, cause: int) -> None:
        """Send the release of an established call to the caller."""
        self.front.release(self.ident, cause, self.client)
