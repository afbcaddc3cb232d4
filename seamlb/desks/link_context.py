"""What the client of the platform's servers shares with the links to each of them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from seamlb.desks.legs import LegTable
from seamlb.net.connection import Connection
from seamlb.protocol.sip import Message

if TYPE_CHECKING:
    from seamlb.desks.link import Link


class LinkContext:
    """What the desk client shares with all its links."""

    def __init__(
        self,
        connect_timeout: float,
        on_relayed: Callable[[], None],
        on_message: Callable[[Link, Connection, Message], None],
        on_salvaged: Callable[[Link, Message], None],
    ) -> None:
        self.connect_timeout = connect_timeout
        self.on_relayed = on_relayed  # called when the last byte of a set-up is written
        self.on_message = on_message
        self.on_salvaged = on_salvaged
        self.legs = LegTable()
        self.tasks: set[asyncio.Task[None]] = set()
        self.calls_cut: Counter[str] = Counter()  # established calls that were cut, by reason
        self.closing = False

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task and keep a reference to it until it is done."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
