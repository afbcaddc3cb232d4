"""The transactions of an endpoint with their timers, and those without a final response by connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from seamlb.memory import MemoryBudget
from seamlb.net.connection import Connection
from seamlb.protocol.transaction import Deliver, Effects, Failed, Key, Send
from seamlb.sip.transactions import TransactionEntry

TIMER_SLACK_S = 0.001  # by which a timer may fire early


def now() -> float:
    """The time of the event loop in seconds."""
    return asyncio.get_running_loop().time()


class TransactionTable:
    """All transactions; `on_unused` gets each connection as its last transaction has a final response."""

    def __init__(self, on_unused: Callable[[Connection], None], memory: MemoryBudget) -> None:
        self.incoming: dict[Key, TransactionEntry] = {}
        self.outgoing: dict[Key, TransactionEntry] = {}
        self.unanswered: dict[Connection, set[TransactionEntry]] = {}  # by the connection that carries them
        self.on_unused = on_unused
        self.memory = memory
        self.closing = False

    def close(self) -> None:
        """Cancel all timers and start no other."""
        self.closing = True
        for entry in (*self.incoming.values(), *self.outgoing.values()):
            if entry.timer:
                entry.timer.cancel()

    def apply(self, entry: TransactionEntry, effects: Effects) -> None:
        """Carry out the effects of an input to a transaction."""
        for effect in effects:
            match effect:
                case Send(message):
                    entry.send(message)
                case Deliver(message):
                    entry.on_message(message)
                case Failed(timeout):
                    entry.on_failure("timeout" if timeout else "lost")
        self.update(entry)

    def update(self, entry: TransactionEntry) -> None:
        """Schedules the next poll of the transaction, or removes it once it has ended."""
        if entry.timer:
            entry.timer.cancel()
            entry.timer = None
        if not entry.is_unanswered:
            self._no_longer_unanswered(entry)
        if entry.machine.terminated:
            self.remove(entry)
        elif entry.machine.timers and not self.closing:
            loop = asyncio.get_running_loop()
            entry.timer = loop.call_at(entry.machine.due, self._timer_fired, entry)

    def add_incoming(self, entry: TransactionEntry, held_bytes: int) -> None:
        """Keep a server transaction."""
        self.incoming[entry.key] = entry
        entry.held_bytes = held_bytes
        self.memory.charge(held_bytes)

    def remove(self, entry: TransactionEntry) -> None:
        """Forget a transaction, whether it has ended or not."""
        if entry.timer:
            entry.timer.cancel()
            entry.timer = None
        self._no_longer_unanswered(entry)
        for table in (self.incoming, self.outgoing):
            if table.get(entry.key) is entry:
                del table[entry.key]
        self.memory.charge(-entry.held_bytes)
        entry.held_bytes = 0
        entry.break_reference_cycles()

    def _timer_fired(self, entry: TransactionEntry) -> None:
        entry.timer = None
        self.apply(entry, entry.machine.poll(now() + TIMER_SLACK_S))

    def carry(self, entry: TransactionEntry, connection: Connection | None) -> None:
        """Record the connection that carries a transaction."""
        self._no_longer_unanswered(entry)
        entry.connection = connection
        if connection and entry.is_unanswered:
            self.unanswered.setdefault(connection, set()).add(entry)

    def _no_longer_unanswered(self, entry: TransactionEntry) -> None:
        connection = entry.connection
        if connection is None or entry not in (entries := self.unanswered.get(connection, set())):
            return
        entries.discard(entry)
        if not entries:
            del self.unanswered[connection]
            self.on_unused(connection)
