"""Version agreement on sockets: exchanges messages between agents and voters, and has the agent apply the rules.

Each process connects to the voters that it has messages for. Replies use the connection that the request came on, as
only voters have an address. A message without a connection is lost; all messages are repeated periodically.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from seamlb import log
from seamlb.agree.enforcer import RuleEnforcer
from seamlb.agree.frames import Codec, FrameError, FrameReader
from seamlb.agree.messages import REPLIES, REQUESTS, Message
from seamlb.agree.participant import LogLines, Participant
from seamlb.agree.settings import AgreeSettings
from seamlb.agree.voter import Outgoing
from seamlb.net.close_reason import CloseReason
from seamlb.net.connecting import ConnectError, connect
from seamlb.net.connection import Connection
from seamlb.net.listener import Listener

STEPS_PER_LEASE = 20  # periodic steps
MAX_SILENT_LEASES = 1.0  # leases after which a connection with an unanswered request is replaced
REDIAL_DELAY = 0.3  # leases between two attempts to connect to a voter
MAX_UNSENT = 8  # messages that wait for a connection; older ones are dropped, as messages are repeated
SPARE_CONNECTIONS = 64  # connections in addition to one per agent


def clock() -> float:
    """Seconds on a clock that also counts while the machine sleeps and that is never adjusted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class AgreementService:
    """The agreement of one process with the other agents of its site."""

    def __init__(self, config: AgreeSettings, name: str, zones: tuple[str, ...], refresh: Callable[[], None]) -> None:
        self.config, self.name = config, name
        self.refresh = refresh  # has the agent apply what `enforcer` has now
        self.codec = Codec(name, config.first.digest, config.accepted_keys, config.signing_key)
        self.participant = Participant(name, config.first, config.lease, config.state, clock, self._post)
        self.enforcer = RuleEnforcer(self.participant.holder, zones, clock)
        self.listener = Listener("agree", len(config.first.agents) + SPARE_CONNECTIONS, self._on_accept)
        self.outbound: dict[str, Connection] = {}  # that we opened, by voter
        self.unanswered_since: dict[str, float] = {}  # by voter: seconds at the first request without an answer
        self.unsent: dict[str, deque[bytes]] = {}  # by voter that we are connecting to
        self.tasks: set[asyncio.Task[None]] = set()
        self.inbound: dict[str, Connection] = {}  # that others opened, by their names
        self.loop: asyncio.AbstractEventLoop | None = None
        self.dropped = 0

    async def run(self) -> None:
        """Locks the folder, listens, and runs until cancelled."""
        self.loop = asyncio.get_running_loop()
        step = self.config.lease / STEPS_PER_LEASE
        while not self.participant.start():
            self.log_changes()
            await asyncio.sleep(step)  # the previous process still has the folder; until it ends, use fallback values
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
            except Exception as error:  # must end neither the calls nor the agreement
                log.event("fault", where="agree", error=repr(error), trace=log.trace(error))
            await asyncio.sleep(step)

    def log_changes(self) -> None:
        """Logs changes of the rules in use, and dropped frames each time that their number has doubled."""
        self.refresh()
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

    def _post(self, out: Outgoing, log_lines: LogLines) -> None:
        if self.loop and (out or log_lines):
            self.loop.call_soon_threadsafe(self._send, out, log_lines)

    def _send(self, out: Outgoing, log_lines: LogLines) -> None:
        for event, fields in log_lines:
            log.event(event, **fields)
        for to, message in out:
            if to == self.name:
                self._on_message(message)
            else:
                self._send_to(to, message)

    def _send_to(self, to: str, message: Message) -> None:
        """Replies use the connection that the receiver opened; anything else goes to voters only."""
        data, route = self.codec.encode(to, message), self.inbound.get(to)
        is_reply = message.kind in REPLIES and route is not None and not route.closed
        if to in self.config.voter_addresses and not is_reply:
            self._send_to_voter(to, data, message.kind in REQUESTS)
        elif route:
            route.send(data)

    def _on_message(self, message: Message) -> None:
        """Has the agent apply the rules that a message brings before any reply is sent.

        Once we have confirmed a version, the one before may cease to be in force at any moment: we must not apply it,
        or log it as applied, until the next step.
        """
        self.participant.on_message(message)
        self.refresh()

    def _send_to_voter(self, to: str, data: bytes, expects_reply: bool) -> None:
        """Sends on a connection that we opened, and replaces that if a request has been unanswered for too long."""
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
            await asyncio.sleep(REDIAL_DELAY * self.config.lease)  # limits the log, as each attempt writes a line
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
        self.inbound = {name: route for name, route in self.inbound.items() if route is not connection}

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
        """Replaces the keys."""
        self.codec.rotate(accepted_keys, signing_key)

    def propose(self, body: str) -> str:
        """Proposes a change; returns the reason for a refusal, or ""."""
        return self.participant.propose(body.encode())

    def status(self) -> dict[str, Any]:
        """The content of `/admin/agree`."""
        self.refresh()
        return self.participant.status() | {"dropped": dict(self.codec.dropped)}

    def close(self) -> None:
        """Closes all connections and releases the folder."""
        self.listener.stop()
        for connection in {*self.listener.connections, *self.outbound.values()}:
            connection.close(CloseReason.SHUTDOWN)
        for task in self.tasks:
            task.cancel()
        self.participant.close()
