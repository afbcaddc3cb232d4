"""Stand-in servers: one logical server listens once for each agent, so that it knows whose connection is whose."""

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
from tests.soak.wire import Wire, reserve

SET_UP = 0.003  # seconds of work for a set-up
STATE_EVERY = 0.3  # seconds between two tellings of the state
FULL, FAULT = 0.03, 0.01  # chance that a set-up is turned away, that it fails
SLOW = (0.2, 0.8)  # seconds by which a slow server's answers are late
PIECES, PIECE_EVERY = 3, 0.03  # how many, and seconds between them
LINES = 200
NORMAL = 16  # Q.850 cause


@dataclass
class Standing:
    """A set-up that is out, then the call that stands by it."""

    agent: int
    wire: Wire
    stands: bool = False


class Server:
    """One server process after another, under one name."""

    def __init__(self, name: str, agents: int, holding: float, record: Record, rng: random.Random) -> None:
        self.name, self.agents, self.holding, self.record, self.rng = name, agents, holding, record, rng
        self.loop = asyncio.get_running_loop()
        self.hung, self.slow, self.in_pieces = False, False, False
        self.calls: dict[str, Standing] = {}
        self.wires: defaultdict[int, list[Wire]] = defaultdict(list)  # by agent
        self.untold: defaultdict[int, list[str]] = defaultdict(list)  # calls to release on an agent's next connection
        self.unheard: dict[str, tuple[Wire, float]] = {}  # releases without their 200, and since when
        self.outgoing: dict[
            Wire, asyncio.Queue[tuple[bytes, Callable[[], None]]]
        ] = {}  # and what to do once it is out
        self.woken: list[Callable[[], None]] = []  # what a hung process does once it wakes
        self.ungreeted: list[tuple[int, Wire]] = []  # connections that came up during a hang
        self.listeners: list[asyncio.Server] = []
        self.addresses = [reserve() for _ in range(agents)]  # held while no process listens there
        self.ports = [one.getsockname()[1] for one in self.addresses]
        self.life = 0  # of the process: what an earlier one had to do is void
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start a process."""
        self.life += 1
        for agent in range(self.agents):
            listener = await self.loop.create_server(self._accept(agent), "127.0.0.1", self.ports[agent])
            self.listeners.append(listener)
        self._spawn(self._tell_state(self.life))

    def _spawn(self, work: object) -> None:
        task = self.loop.create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _accept(self, agent: int) -> Callable[[], Wire]:
        return lambda: Wire(
            lambda one, message: self._took(agent, one, message),
            lambda one: self._ended(agent, one),
            lambda one: self._opened(agent, one),
        )

    def _opened(self, agent: int, wire: Wire) -> None:
        """Tell the state on a new connection, then the releases that had to wait for one."""
        self.wires[agent].append(wire)
        self.outgoing[wire] = asyncio.Queue()
        self._spawn(self._write(wire))
        if self.hung:
            self.ungreeted.append((agent, wire))
        else:
            self._greet(agent, wire)

    def _greet(self, agent: int, wire: Wire) -> None:
        self.say(wire, self._state())
        for ident in self.untold.pop(agent, ()) if wire.open else ():
            self._tell_release(wire, ident)

    def _tell_release(self, wire: Wire, ident: str) -> None:
        self.record.note(ident, self.name, "release")
        self.unheard[ident] = wire, self.loop.time()
        self.say(wire, bye(ident, NORMAL), lambda: self.record.audit.call_ended(self.loop.time(), ident))

    def say(self, wire: Wire, message: Message, out: Callable[[], None] = lambda: None) -> None:
        """Send a message, in pieces where this server does so now; `out` is called once it has left whole."""
        self.outgoing[wire].put_nowait((message.encode(), out))

    async def _write(self, wire: Wire) -> None:
        while True:
            data, out = await self.outgoing[wire].get()
            size = -(-len(data) // PIECES) if self.in_pieces else len(data)
            for at in range(0, len(data), size):
                wire.send(data[at : at + size])
                if self.in_pieces:
                    await asyncio.sleep(PIECE_EVERY)
            out()

    def _state(self) -> Message:
        free = max(0, LINES - sum(one.stands for one in self.calls.values()))
        told = f"idle:{free};circuits:{LINES};avg_ms:1"
        return Message(
            "NOTIFY", "sip:exchange@net", headers=[("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", told)]
        )

    async def _tell_state(self, life: int) -> None:
        while self.life == life:
            await asyncio.sleep(STATE_EVERY)
            for wire in [one for wires in self.wires.values() for one in wires] if not self.hung else ():
                self.say(wire, self._state())

    # -- calls ----------------------------------------------------------------------------------

    def _key(self, agent: int) -> str:
        return f"{self.name}@{agent}"

    def _took(self, agent: int, wire: Wire, message: Message) -> None:
        ident, now = message.get("call-id"), self.loop.time()
        match message.method:
            case "INVITE":
                self.record.note(ident, self.name, "set-up")
                self.record.audit.attempt_started(now, ident, self._key(agent))
                self.calls[ident] = Standing(agent, wire)
                late = self.rng.uniform(*SLOW) if self.slow else 0.0
                self._later(SET_UP + late, lambda: self._decide(ident, wire, message))
            case "CANCEL":
                self.record.note(ident, self.name, "CANCEL")
                one = self.calls.get(ident)
                if one and not one.stands and one.agent == agent:
                    self._off(ident, "cancelled")
            case "BYE":
                self.record.note(ident, self.name, "BYE")
                self.calls.pop(ident, None)
                self._when_awake(lambda: self.say(wire, response(message, 200)))
            case "":
                self.unheard.pop(ident, None)
            case "OPTIONS":
                self._when_awake(lambda: self.say(wire, response(message, 200)))

    def _later(self, seconds: float, then: Callable[[], None]) -> None:
        life = self.life
        self.loop.call_later(seconds, lambda: self._when_awake(then) if self.life == life else None)

    def _when_awake(self, then: Callable[[], None]) -> None:
        if self.hung:
            self.woken.append(then)
        else:
            then()

    def _off(self, ident: str, how: str) -> None:
        one = self.calls.pop(ident)
        self.record.audit.attempt_ended(self.loop.time(), ident, self._key(one.agent), how)

    def _decide(self, ident: str, wire: Wire, message: Message) -> None:
        one = self.calls.get(ident)
        if one is None or one.wire is not wire or one.stands:
            return
        chance = self.rng.random()
        if chance < FULL + FAULT:
            status, note = (503, "atb") if chance < FULL else (500, "")
            self._off(ident, "answered")
            self.record.note(ident, self.name, str(status))
            return self.say(wire, reply(message, status, ("X-Diagnosis", note)))
        one.stands = True
        self.record.audit.attempt_ended(self.loop.time(), ident, self._key(one.agent), "answered")
        self.record.note(ident, self.name, "200")
        self.say(wire, reply(message, 200, body=SDP))
        self._later(0.1 + self.rng.expovariate(1.0 / self.holding), lambda: self._release(ident, one))

    def _release(self, ident: str, one: Standing) -> None:
        """The call has come to its end: told on its connection, another one, or the next."""
        if self.calls.get(ident) is not one:
            return
        del self.calls[ident]
        self.record.audit.call_ended(
            self.loop.time(), ident, CUT_RELEASE_WITHIN_S
        )  # sooner once the release has left
        if one.wire.open:
            self._tell_release(one.wire, ident)
        else:
            self._tell_somewhere(one.agent, ident)

    def _tell_somewhere(self, agent: int, ident: str) -> None:
        if wire := next((each for each in self.wires[agent] if each.open), None):
            self._tell_release(wire, ident)
        else:
            self.record.note(ident, self.name, "release waits for a connection")
            self.untold[agent].append(ident)

    def _ended(self, agent: int, wire: Wire) -> None:
        self.wires[agent].remove(wire)
        for ident, (on, since) in list(self.unheard.items()):
            if on is wire:  # it crossed the end of its connection: sent on the next one as well
                del self.unheard[ident]
                self.record.note(ident, self.name, "release crossed the end of its connection")
                self.record.audit.postpone_release(ident, since + CUT_RELEASE_WITHIN_S)
                self._tell_somewhere(agent, ident)
        for ident, one in list(self.calls.items()):
            if one.wire is wire and not one.stands:
                self.record.note(ident, self.name, "its connection ended")
                self._off(ident, "reset")

    # -- faults ---------------------------------------------------------------------------------

    def wake(self) -> None:
        """Go on after a hang."""
        self.hung, woken, self.woken = False, self.woken, []
        ungreeted, self.ungreeted = self.ungreeted, []
        for agent, wire in ungreeted:
            self._greet(agent, wire)
        for then in woken:
            then()

    async def stop(self) -> None:
        """End the process: connections are reset, calls cut."""
        self.life += 1
        self.hung, self.woken, self.ungreeted = False, [], []
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()
        now = self.loop.time()
        for ident, one in list(self.calls.items()):
            self.record.note(ident, self.name, "the server's process ends")
            if one.stands:
                del self.calls[ident]
                self.record.cut.add(ident)
                self.record.audit.call_ended(now, ident, CUT_RELEASE_WITHIN_S)
            else:
                self._off(ident, "reset")
        self.record.cut.update(self.unheard, *self.untold.values())
        self.untold.clear()
        self.unheard.clear()
        for wires in self.wires.values():
            for wire in wires[:]:
                wire.close(reset=True)
        for task in list(self.tasks):
            task.cancel()
