"""Callers of the platform's front: their connections, and each call as the core sees its caller."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from seamlb.fronts.releases import Receiver
from seamlb.net.connection import Connection
from seamlb.protocol.sip import Framer, Message, response
from seamlb.routing.agent import CallSession

if TYPE_CHECKING:
    from seamlb.fronts.platform import PlatformFront


@dataclass(slots=True, eq=False)
class Client:
    """A connection from callers."""

    connection: Connection
    receiver: Receiver
    framer: Framer = field(default_factory=Framer)
    open: dict[str, Call] = field(default_factory=dict)  # set-ups not answered yet


@dataclass(slots=True, eq=False)
class Call:
    """The caller of one request, as the core sees it."""

    front: PlatformFront
    client: Client
    invite: Message
    ident: str
    life: CallSession | None = None

    def _final(self, message: Message) -> bool:
        self.client.open.pop(self.ident, None)
        return self.client.connection.send(message.encode())

    def established(self, description: bytes) -> bool:
        """Pass the answer on; False if the caller can no longer be told."""
        told = self._final(response(self.invite, 200, body=description))
        if told:
            self.client.receiver.answered()
        return told

    def refused(self, back_off_ms: float) -> None:
        """Answer 503, with the time to come back after if there is one."""
        extra = [("Retry-After", str(math.ceil(back_off_ms / 1000.0)))] if back_off_ms > 0 else []
        self._final(response(self.invite, 503, *extra))

    def failed(self) -> None:
        """Answer 500."""
        self._final(response(self.invite, 500))

    def released(self, cause: int) -> None:
        """Tell the caller that the call that stood is over."""
        self.front.release(self.ident, cause, self.client)
