"""Stub servers: a server has one listener per agent, which tells it the agent of each connection."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from seamlb.emulator.audit import CUT_RELEASE_WITHIN_S
from seamlb.protocol.sip import Message, response
from tests.loopback import SDP, bye, reply
from tests.soak.record import Record
from tests.soak.wire import SipConnection, reserve

SETUP_WORK_S = 0.003  # processor time of a set-up
STATE_INTERVAL_S = 0.3  # between two state reports
FULL_SHARE, FAULT_SHARE = 0.03, 0.01  # shares of the set-ups that are refused as full and that fail
SLOW_ANSWER_S = (0.2, 0.8)  # delay of a slow server's answers
PIECE_COUNT, PIECE_INTERVAL_S = 3, 0.03  # number of writes of a message, and seconds between them
LINE_COUNT = 200
NORMAL_CLEARING = 16  # Q.850 cause


@dataclass
class ServerCall:
    """A pending set-up, and after its answer the established call."""

    agent: int
    connection: SipConnection
    established: bool = False


class Server:
    """The successive processes of a server under one name."""

    def __init__(self, name: str, agents: int, holding_s: float, record: Record, rng: random.Random) -> None:
        self.name, self.agents, self.holding_s, self.record, self.rng = name, agents, holding_s, record, rng
        self.loop = asyncio.get_running_loop()
        self.hung, self.slow, self.in_pieces = False, False, False
        self.calls: dict[str, ServerCall] = {}
        self.connections: defaultdict[int, list[SipConnection]] = defaultdict(list)  # by agent
        self.unsent_releases: defaultdict[int, list[str]] = defaultdict(list)  # by agent: calls to release
        self.unconfirmed_releases: dict[str, tuple[SipConnection, float]] = {}  # without a 200: sent on, at
        self.outgoing: dict[SipConnection, asyncio.Queue[tuple[bytes, Callable[[], None]]]] = {}
        self.deferred: list[Callable[[], None]] = []  # work of a hung process to do on waking
        self.unannounced: list[tuple[int, SipConnection]] = []  # connections made during a hang
        self.listeners: list[asyncio.Server] = []
        self.addresses = [reserve() for _ in range(agents)]  # reserved while no process listens
        self.ports = [address.getsockname()[1] for address in self.addresses]
        self.generation = 0  # work of an earlier process is dropped
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start a process: listen, and report the state regularly."""
        self.generation += 1
        for agent in range(self.agents):
            listener = await self.loop.create_server(self._accept(agent), "127.0.0.1", self.ports[agent])
            self.listeners.append(listener)
        self._spawn(self._report_state(self.generation))

    def _spawn(self, work: object) -> None:
        task = self.loop.create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _accept(self, agent: int) -> Callable[[], SipConnection]:
        return lambda: SipConnection(
            lambda connection, message: self._received(agent, connection, message),
            lambda connection: self._ended(agent, connection),
            lambda connection: self._opened(agent, connection),
        )

    def _opened(self, agent: int, connection: SipConnection) -> None:
        """Report the state on a new connection, then send the releases that waited for one."""
        self.connections[agent].append(connection)
        self.outgoing[connection] = asyncio.Queue()
        self._spawn(self._write(connection))
        if self.hung:
            self.unannounced.append((agent, connection))
        else:
            self._announce(agent, connection)

    def _announce(self, agent: int, connection: SipConnection) -> None:
        self.send(connection, self._state_message())
        for ident in self.unsent_releases.pop(agent, ()) if connection.open else ():
            self._send_release(connection, ident)

    def _send_release(self, connection: SipConnection, ident: str) -> None:
        self.record.note(ident, self.name, "release")
        self.unconfirmed_releases[ident] = connection, self.loop.time()
        self.send(
            connection, bye(ident, NORMAL_CLEARING), lambda: self.record.audit.call_ended(self.loop.time(), ident)
        )

    def send(self, connection: SipConnection, message: Message, on_sent: Callable[[], None] = lambda: None) -> None:
        """Queue a message, sent in pieces if `in_pieces`; `on_sent` is called when all of it is written."""
        self.outgoing[connection].put_nowait((message.encode(), on_sent))

    async def _write(self, connection: SipConnection) -> None:
        while True:
            data, on_sent = await self.outgoing[connection].get()
            size = -(-len(data) // PIECE_COUNT) if self.in_pieces else len(data)
            sent = True
            for at in range(0, len(data), size):
                sent = connection.send(data[at : at + size]) and sent
                if self.in_pieces:
                    await asyncio.sleep(PIECE_INTERVAL_S)
            if sent:  # the connection had not ended
                on_sent()

    def _state_message(self) -> Message:
        free = max(0, LINE_COUNT - sum(call.established for call in self.calls.values()))
        occupancy = f"idle:{free};circuits:{LINE_COUNT};avg_ms:1"
        return Message(
            "NOTIFY", "sip:exchange@net", headers=[("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", occupancy)]
        )

    async def _report_state(self, generation: int) -> None:
        while self.generation == generation:
            await asyncio.sleep(STATE_INTERVAL_S)
            for connection in [c for group in self.connections.values() for c in group] if not self.hung else ():
                self.send(connection, self._state_message())

    # -- calls ----------------------------------------------------------------------------------

    def _key(self, agent: int) -> str:
        return f"{self.name}@{agent}"

    def _received(self, agent: int, connection: SipConnection, message: Message) -> None:
        ident, now = message.get("call-id"), self.loop.time()
        match message.method:
            case "INVITE":
                self.record.note(ident, self.name, "set-up")
                self.record.audit.attempt_started(now, ident, self._key(agent))
                self.calls[ident] = ServerCall(agent, connection)
                delay = self.rng.uniform(*SLOW_ANSWER_S) if self.slow else 0.0
                self._later(SETUP_WORK_S + delay, lambda: self._decide(ident, connection, message))
            case "CANCEL":
                self.record.note(ident, self.name, "CANCEL")
                call = self.calls.get(ident)
                if call and not call.established and call.agent == agent:
                    self._end_attempt(ident, "cancelled")
            case "BYE":
                self.record.note(ident, self.name, "BYE")
                self.calls.pop(ident, None)
                self._when_awake(lambda: self.send(connection, response(message, 200)))
            case "":
                self.unconfirmed_releases.pop(ident, None)
            case "OPTIONS":
                self._when_awake(lambda: self.send(connection, response(message, 200)))

    def _later(self, seconds: float, then: Callable[[], None]) -> None:
        generation = self.generation
        self.loop.call_later(seconds, lambda: self._when_awake(then) if self.generation == generation else None)

    def _when_awake(self, then: Callable[[], None]) -> None:
        if self.hung:
            self.deferred.append(then)
        else:
            then()

    def _end_attempt(self, ident: str, outcome: str) -> None:
        call = self.calls.pop(ident)
        self.record.audit.attempt_ended(self.loop.time(), ident, self._key(call.agent), outcome)

    def _decide(self, ident: str, connection: SipConnection, message: Message) -> None:
        call = self.calls.get(ident)
        if call is None or call.connection is not connection or call.established:
            return
        draw = self.rng.random()
        if draw < FULL_SHARE + FAULT_SHARE:
            status, diagnosis = (503, "atb") if draw < FULL_SHARE else (500, "")
            self._end_attempt(ident, "answered")
            self.record.note(ident, self.name, str(status))
            return self.send(connection, reply(message, status, ("X-Diagnosis", diagnosis)))
        call.established = True
        self.record.audit.attempt_ended(self.loop.time(), ident, self._key(call.agent), "answered")
        self.record.note(ident, self.name, "200")
        self.send(connection, reply(message, 200, body=SDP))
        self._later(0.1 + self.rng.expovariate(1.0 / self.holding_s), lambda: self._release(ident, call))

    def _release(self, ident: str, call: ServerCall) -> None:
        """The call has ended: send the release on its connection, another one, or the next one."""
        if self.calls.get(ident) is not call:
            return
        del self.calls[ident]
        # The deadline is shorter once the release is sent.
        self.record.audit.call_ended(self.loop.time(), ident, CUT_RELEASE_WITHIN_S)
        if call.connection.open:
            self._send_release(call.connection, ident)
        else:
            self._release_anywhere(call.agent, ident)

    def _release_anywhere(self, agent: int, ident: str) -> None:
        if connection := next((each for each in self.connections[agent] if each.open), None):
            self._send_release(connection, ident)
        else:
            self.record.note(ident, self.name, "release waits for a connection")
            self.unsent_releases[agent].append(ident)

    def _ended(self, agent: int, connection: SipConnection) -> None:
        self.connections[agent].remove(connection)
        for ident, (sent_on, sent_at) in list(self.unconfirmed_releases.items()):
            if sent_on is connection:  # the release may be lost with the connection: resend it on another
                del self.unconfirmed_releases[ident]
                self.record.note(ident, self.name, "release crossed the end of its connection")
                self.record.audit.postpone_release(ident, sent_at + CUT_RELEASE_WITHIN_S)
                self._release_anywhere(agent, ident)
        for ident, call in list(self.calls.items()):
            if call.connection is connection and not call.established:
                self.record.note(ident, self.name, "its connection ended")
                self._end_attempt(ident, "reset")

    # -- faults ---------------------------------------------------------------------------------

    def wake(self) -> None:
        """Resume after a hang and do the deferred work."""
        self.hung, deferred, self.deferred = False, self.deferred, []
        unannounced, self.unannounced = self.unannounced, []
        for agent, connection in unannounced:
            self._announce(agent, connection)
        for then in deferred:
            then()

    async def stop(self) -> None:
        """End the process: reset its connections and cut off its calls."""
        self.generation += 1
        self.hung, self.deferred, self.unannounced = False, [], []
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()
        now = self.loop.time()
        for ident, call in list(self.calls.items()):
            self.record.note(ident, self.name, "the server's process ends")
            if call.established:
                del self.calls[ident]
                self.record.cut_calls.add(ident)
                self.record.audit.call_ended(now, ident, CUT_RELEASE_WITHIN_S)
            else:
                self._end_attempt(ident, "reset")
        self.record.cut_calls.update(self.unconfirmed_releases, *self.unsent_releases.values())
        self.unsent_releases.clear()
        self.unconfirmed_releases.clear()
        for connections in self.connections.values():
            for connection in connections[:]:
                connection.close(reset=True)
        for task in list(self.tasks):
            task.cancel()
