"""Agreed versions on sockets: carries notes between agents and the council, and has the agent act by the rules.

Each process dials the members of the council that it has something for, and answers on the connection by which it was
asked, as only members have an address. A note that finds no connection is lost; all of them are said again in time.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from seamlb import log
from seamlb.agree.acting import RuleEnforcer
from seamlb.agree.council import Outgoing
from seamlb.agree.frames import Codec, FrameError, FrameReader
from seamlb.agree.notes import REPLIES, REQUESTS, Message
from seamlb.agree.seat import LogLines, Participant
from seamlb.agree.table import AgreeSettings
from seamlb.net.connection import Connection
from seamlb.net.dial import ConnectError, connect
from seamlb.net.listener import Listener
from seamlb.net.reason import CloseReason

STEPS_PER_LEASE = 20  # looks a lease
MAX_SILENT_LEASES = 1.0  # leases after which a connection on which requests have no answer is dialled anew
REDIAL_DELAY = 0.3  # leases between two tries to reach a member
MAX_UNSENT = 8  # notes that wait for a connection to come up; of more the newest, as notes are said again
SPARE_CONNECTIONS = 64  # connections beyond one an agent


def clock() -> float:
    """Seconds that also count while the machine sleeps, and that nobody sets."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class AgreementService:
    """One process among a site's agents."""

    def __init__(self, config: AgreeSettings, name: str, zones: tuple[str, ...], look: Callable[[], None]) -> None:
        self.config, self.name = config, name
        self.look = look  # has the agent act on what `acting` says now
        self.codec = Codec(name, config.first.digest, config.accepted_keys, config.signing_key)
        self.participant = Participant(name, config.first, config.lease, config.state, clock, self._post)
        self.enforcer = RuleEnforcer(self.participant.holder, zones, clock)
        self.listener = Listener("agree", len(config.first.agents) + SPARE_CONNECTIONS, self._on_accept)
        self.outbound: dict[str, Connection] = {}  # ours, by member
        self.unanswered_since: dict[str, float] = {}  # when we first sent a request on it with nothing heard since
        self.unsent: dict[str, deque[bytes]] = {}  # by member that is being dialled
        self.tasks: set[asyncio.Task[None]] = set()
        self.inbound: dict[str, Connection] = {}  # by which others came, by name
        self.loop: asyncio.AbstractEventLoop | None = None
        self.dropped = 0

    async def run(self) -> None:
        """Take the folder, listen, and go on until cancelled."""
        self.loop = asyncio.get_running_loop()
        step = self.config.lease / STEPS_PER_LEASE
        while not self.participant.start():
            self.log_changes()
            await asyncio.sleep(step)  # the process before this one has it; until it ends this one acts alone
        while self.config.listen and not self.listener.port:
            try:
                self.listener.bind_and_listen(self.config.listen)
            except OSError as error:
                log.event("agree_wait", address=self.config.listen, error=error.strerror)
                await asyncio.sleep(max(step, 0.5))
        log.event("agree", name=self.name, listen=self.config.listen, charter=self.participant.holder.newest.number)
        while True:
            try:
                self.participant.tick()
                self.log_changes()
            except Exception as error:  # must not end the calls, nor the versions
                log.event("fault", where="agree", error=repr(error), trace=log.trace(error))
            await asyncio.sleep(step)

    def log_changes(self) -> None:
        """Log what is acted on, where that has changed, and what was dropped."""
        self.look()
        for lease_state, version, since in self.enforcer.state_changes:
            log.event(
                "agree_acts",
                stance=lease_state.value,
                charter=version.number,
                digest=version.digest,
                since=round(since, 4),
            )
        self.enforcer.state_changes.clear()
        if (dropped := sum(self.codec.dropped.values())) > 2 * self.dropped:
            self.dropped = dropped
            log.event("agree_dropped", **self.codec.dropped)

    # -- notes --------------------------------------------------------------------------------

    def _post(self, out: Outgoing, log_lines: LogLines) -> None:
        if self.loop and (out or log_lines):
            self.loop.call_soon_threadsafe(self._send, out, log_lines)

    def _send(self, out: Outgoing, log_lines: LogLines) -> None:
        for event, facts in log_lines:
            log.event(event, **facts)
        for to, message in out:
            if to == self.name:
                self._on_message(message)
            else:
                self._send_to(to, message)

    def _send_to(self, to: str, message: Message) -> None:
        """An answer goes back on the connection by which its receiver dialled us; requests go to members only."""
        data, route = self.codec.encode(to, message), self.inbound.get(to)
        is_reply = message.kind in REPLIES and route is not None and not route.closed
        if to in self.config.voter_addresses and not is_reply:
            self._send_to_voter(to, data, message.kind in REQUESTS)
        elif route:
            route.send(data)

    def _on_message(self, message: Message) -> None:
        """Have the agent act on what a note brings before any answer to it leaves.

        Once we have said that we know a charter, the one before it may go out of force at any moment; what we act on
        until the next step, and log as acted on, must not be the one before.
        """
        self.participant.on_message(message)
        self.look()

    def _send_to_voter(self, to: str, data: bytes, expects_reply: bool) -> None:
        """Send on a connection of ours, which is dialled anew if a request on it has had no answer for too long."""
        connection, now = self.outbound.get(to), clock()
        if (
            connection
            and not connection.closed
            and now - self.unanswered_since.get(to, now) > MAX_SILENT_LEASES * self.config.lease
        ):
            connection.close(CloseReason.SILENT)
        if connection and not connection.closed:
            if expects_reply:
                self.unanswered_since.setdefault(to, now)
            connection.send(data)
            return
        if to not in self.unsent and self.loop:
            self.unsent[to] = deque(maxlen=MAX_UNSENT)
            task = self.loop.create_task(self._dial(to))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self.unsent[to].append(data)

    async def _dial(self, to: str) -> None:
        try:
            connection = await connect(self.config.voter_addresses[to], "agree", self.config.lease)
        except ConnectError:
            await asyncio.sleep(REDIAL_DELAY * self.config.lease)  # each try leaves a line in the log
            return
        finally:
            unsent = self.unsent.pop(to)
        self.outbound[to] = connection
        self.unanswered_since.pop(to, None)
        for data in unsent:
            connection.send(data)
        await self._read(connection)

    async def _on_accept(self, connection: Connection) -> None:
        await self._read(connection)
        self.inbound = {name: one for name, one in self.inbound.items() if one is not connection}

    async def _read(self, connection: Connection) -> None:
        reader = FrameReader(self.codec)

        def on_data(data: bytes) -> None:
            count = 0
            try:
                for message in reader.feed(data):
                    count += 1
                    self._record_sender(connection, message.sender)
                    self._on_message(message)
            except FrameError as error:
                log.event("malformed", kind="agree", peer=connection.peer, error=str(error))
                return connection.close(CloseReason.MALFORMED)
            connection.messages_read(count, reader.partial)
            if count:
                self.listener.mark_used(connection)

        await connection.run(on_data)

    def _record_sender(self, connection: Connection, sender: str) -> None:
        if self.outbound.get(sender) is connection:
            self.unanswered_since.pop(sender, None)
        else:
            self.inbound[sender] = connection

    def rotate(self, accepted_keys: Mapping[int, bytes], signing_key: int) -> None:
        """Other keys from now on."""
        self.codec.rotate(accepted_keys, signing_key)

    def propose(self, body: str) -> str:
        """Put rules to the vote; why not, or empty."""
        return self.participant.propose(body.encode())

    def status(self) -> dict[str, Any]:
        """What `/admin/agree` shows."""
        self.look()
        return self.participant.status() | {"dropped": dict(self.codec.dropped)}

    def close(self) -> None:
        """End all connections and let go of the folder."""
        self.listener.stop()
        for connection in {*self.listener.connections, *self.outbound.values()}:
            connection.close(CloseReason.SHUTDOWN)
        for task in self.tasks:
            task.cancel()
        self.participant.close()
