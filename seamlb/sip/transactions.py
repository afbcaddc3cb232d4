"""A transaction of an endpoint: its state machine, and the callbacks, timer and connection that belong to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from seamlb.net.connection import Connection
from seamlb.protocol.client_transaction import InviteClient, NonInviteClient
from seamlb.protocol.server_transaction import InviteServer, NonInviteServer
from seamlb.protocol.sip import Message
from seamlb.protocol.transaction import Key, State

ServerTransaction = InviteServer | NonInviteServer
ClientTransaction = InviteClient | NonInviteClient


@dataclass(slots=True, eq=False)
class TransactionEntry:
    """A transaction with its callbacks, its timer and the TCP connection that carries it."""

    key: Key
    machine: ServerTransaction | ClientTransaction
    send: Callable[[Message], None]
    on_message: Callable[[Message], None]
    on_failure: Callable[[str], None]
    timer: asyncio.TimerHandle | None = None
    connection: Connection | None = None
    held_bytes: int = 0  # charged to the memory budget
    resend: Callable[[], None] | None = None  # sends a BYE over TCP on a new connection, once

    @property
    def is_unanswered(self) -> bool:
        """Whether no final response was sent or received."""
        return self.machine.state in (State.TRYING, State.PROCEEDING)

    def break_reference_cycles(self) -> None:
        """Let an ended transaction be freed at once: its callbacks refer to it and to the call that it is part of."""
        self.send = self.on_message = _ignore_message
        self.on_failure, self.resend = _ignore_failure, None


def _ignore_message(message: Message) -> None:
    """Neither send nor deliver a message of a transaction that has ended."""


def _ignore_failure(cause: str) -> None:
    """Report no failure of a transaction that has ended."""
