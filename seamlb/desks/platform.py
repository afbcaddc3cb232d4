"""Desk client for the platform's SIP dialect over TCP: one connection a desk, spares where it falls silent."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any

from seamlb import log
from seamlb.net.connection import Connection
from seamlb.net.dial import ConnectError, connect
from seamlb.net.reason import CloseReason
from seamlb.protocol.report import NOTES, parse_report
from seamlb.protocol.sip import Framer, Message, SipError, parameter, releases, response
from seamlb.routing.model import Answer, Attempt, Availability, Desk, Heard, Outcome, Status

MAX_CONNECTIONS = 4  # a desk tells the state of its group on four at most
STATUSES = {503: Status.FULL, 486: Status.ERROR, 500: Status.ERROR, 480: Status.MOOT, 504: Status.RESET}
CUT = 41  # Q.850 cause of a call that was cut
NORMAL = 16
RETRY_FIRST, RETRY_MOST = 0.1, 1.0  # seconds between tries to connect
SUSPECT = 0.25  # seconds without a byte, with a set-up out, before a second connection tests the first
QUIET = 2.0  # the same where only calls stand, which may be quiet
UNREACHABLE = 6.0  # seconds without a way to a desk before its standing calls count as cut
DEAF = 0.1  # seconds for news of the state to come on the other connections too, as a desk tells it on each
SALVAGE = 0.25  # seconds for releases that were on their way when a connection of no use was given up
SALVAGE_BYTES = 64 * 1024
PART_WITHIN = 0.25  # seconds for the rest of a message: an answer that stops short makes its connection useless
BROKEN = (CloseReason.PEER_RESET, CloseReason.PEER_CLOSED)  # a new connection's bad luck, once: no sign of the desk
REMEMBER = 30.0  # seconds for which a leg that is over is known


@dataclass(slots=True)
class Leg:
    """An attempt on the wire, then the call that stands by it."""

    attempt: Attempt
    heard: Heard
    connection: Connection | None = None  # None: waits for one
    stands: bool = False
    sent: float = 0.0


@dataclass(slots=True)
class Link:
    """All connections to one desk."""

    desk: Desk
    open: list[Connection] = field(default_factory=list)  # the last one carries what is new
    keeper: asyncio.Task[None] | None = None
    wanted: asyncio.Event = field(default_factory=asyncio.Event)
    told: asyncio.Event = field(default_factory=asyncio.Event)  # a new connection brought the state
    waiting: list[Leg] = field(default_factory=list)
    releases: list[bytes] = field(default_factory=list)  # for the next connection
    lost_at: float | None = None  # since when no connection to the desk comes up
    dead: bool = False  # the last try failed: set-ups are not kept waiting for the next
    tells: bool = False  # it has told its state, as each new connection must then do first
    gone: bool = False


class PlatformDesks:
    """Carries attempts to desks at the addresses that the list gives."""

    def __init__(
        self,
        fields: Sequence[str],
        connect_timeout: float,
        sampled: Callable[[str, tuple[float, ...]], None],
        stray: Callable[[str, int], None],
        relayed: Callable[[], None] = lambda: None,
    ) -> None:
        self.fields = fields
        self.connect_timeout = connect_timeout
        self.sampled = sampled
        self.relayed = relayed  # an attempt has left whole
        self.stray = stray  # the release of a call that this process never knew
        self.links: dict[str, Link] = {}
        self.legs: dict[tuple[str, str], Leg] = {}
        self.over: dict[tuple[str, str], float] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.closing = False

    # -- asked by the core --------------------------------------------------------------------

    def listed(self, desk: Desk) -> None:
        """Keep a connection to each listed desk: the state of its group comes on it."""
        link = self.links.get(desk.ident)
        if link is not None and (link.desk.address != desk.address or desk.availability == Availability.GONE):
            self._drop(link)
            link = None
        if desk.availability == Availability.GONE:
            return
        if link is None:
            link = self.links[desk.ident] = Link(desk)
            link.keeper = self._spawn(self._keep(link))
        elif desk.since_ms != link.desk.since_ms:
            self._cut_standing(link)  # its process is a new one: what stood at the old one is cut
        link.desk = desk
        if desk.availability != Availability.READY:
            self._fail_waiting(link)  # a connection that comes up late must not carry them to a desk that drains

    def set_up(self, attempt: Attempt, heard: Heard) -> None:
        leg = Leg(attempt, heard, sent=asyncio.get_running_loop().time())
        link = self.links.get(attempt.desk)
        if link is None:
            heard(attempt.leg, Outcome(Status.CONNECT_FAILED))
            return
        self.legs[self._key(attempt)] = leg
        usable = self._usable(link)
        if usable and not (link.dead and leg.sent - usable.last_read > QUIET):
            self._invite(leg, usable)
        elif link.dead:
            self._over(self._key(attempt))
            heard(attempt.leg, Outcome(Status.CONNECT_FAILED))
        else:
            link.waiting.append(leg)
            link.wanted.set()

    def give_up(self, attempt: Attempt) -> None:
        leg = self._over(self._key(attempt))
        link = self.links.get(attempt.desk)
        if leg and leg.connection:
            leg.connection.send(self._request("CANCEL", attempt).encode())
        elif leg and link and leg in link.waiting:
            link.waiting.remove(leg)
        if link:
            link.wanted.set()

    def release(self, attempt: Attempt, cause: int) -> None:
        if self._over(self._key(attempt)) is None:
            return
        if link := self.links.get(attempt.desk):
            self._bye(link, attempt, cause)

    def free(self, desk: str) -> None:
        if link := self.links.get(desk):
            for connection in link.open[:-1]:
                if not self._legs_on(connection):
                    connection.close(CloseReason.IDLE)

    async def known(self) -> None:
        """Wait until each listed desk has told its state or turned out to be out of reach."""
        while not all(link.tells or link.dead for link in self.links.values()):
            await asyncio.sleep(0.02)

    def close(self) -> None:
        self.closing = True
        for link in list(self.links.values()):
            for connection in link.open[:]:
                connection.finish(CloseReason.SHUTDOWN)
        for task in self.tasks:
            task.cancel()

    # -- connections --------------------------------------------------------------------------

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _keep(self, link: Link) -> None:
        """Hold a connection to the desk until it is gone; a fault is logged and must not leave it without one."""
        while not link.gone:
            try:
                await self._hold(link)
            except Exception as error:
                log.event("fault", where="desk", error=repr(error), trace=log.trace(error))
                await asyncio.sleep(RETRY_MOST)

    async def _hold(self, link: Link) -> None:
        """Hold a connection to the desk, and test with another one when it falls silent."""
        loop = asyncio.get_running_loop()
        pause, broke = RETRY_FIRST, False
        while not link.gone:
            if link.open and not self._suspect(link):
                link.dead = False
                for old in link.open[:-1]:
                    if not self._legs_on(old):
                        old.close(CloseReason.IDLE)
                link.wanted.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(link.wanted.wait(), SUSPECT / 2)
                continue
            if len(link.open) >= MAX_CONNECTIONS:
                spare = next((one for one in link.open if not self._legs_on(one)), None)
                if spare is None:  # each carries set-ups: their time-outs make room, a close would break them
                    await asyncio.sleep(RETRY_MOST)
                    continue
                spare.close(CloseReason.SILENT)
            reason = await self._try(link)
            if link.gone:
                return
            if reason is None:
                pause, broke = RETRY_FIRST, False
            elif reason in BROKEN and not broke:
                broke = True
            else:
                self._unreachable(link, reason, loop.time())
                link.wanted.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(link.wanted.wait(), pause)
                pause = min(2 * pause, RETRY_MOST)

    async def _try(self, link: Link) -> CloseReason | None:
        """Open a connection; why it is of no use, or None. It carries set-ups once the desk has told its state on it.

        Guards against a process that hangs: its connections come up, and nothing comes on them.
        """
        try:
            connection = await connect(link.desk.address, "desk", self.connect_timeout)
        except ConnectError as failed:
            return failed.reason
        if link.gone:
            connection.close(CloseReason.REPLACED)
            return CloseReason.REPLACED
        serving = self._spawn(self._serve(link, connection))
        if not link.tells:
            self._opened(link, connection)
        else:
            told = self._spawn(self._told(link, connection))
            await asyncio.wait((serving, told), timeout=self.connect_timeout, return_when=asyncio.FIRST_COMPLETED)
            told.cancel()
            if connection not in link.open:
                connection.close(CloseReason.SILENT)
                return connection.reason
        return None

    async def _told(self, link: Link, connection: Connection) -> None:
        while connection not in link.open:
            link.told.clear()
            await link.told.wait()

    def _suspect(self, link: Link) -> bool:
        """Is a set-up out on the newest connection, or does a call stand at the desk, and not a byte back for long?

        A connection that has fallen silent brings neither its process's end nor the releases, and at a desk that
        drains no set-up goes out that would show it.
        """
        now = asyncio.get_running_loop().time()
        newest = link.open[-1]
        silent = now - newest.last_read
        if silent <= SUSPECT:
            return False
        return any(now - leg.sent > SUSPECT for leg in self._legs_on(newest)) or (
            silent > QUIET and any(True for _ in self._standing(link))
        )

    def _deaf(self, link: Link, told: float) -> None:
        """The desk told its state at `told`: a connection that this did not come on is of no use any more.

        Guards the set-ups on it, which would wait for their time-outs while the desk answers on another one.
        """
        for connection in link.open[:]:
            if connection.last_read < told - DEAF:
                connection.close(CloseReason.SILENT)

    def _opened(self, link: Link, connection: Connection) -> None:
        link.open.append(connection)
        link.lost_at, link.dead = None, False
        for old in link.open[:-1]:
            if not self._legs_on(old):
                old.close(CloseReason.SILENT)
        for data in link.releases:
            connection.send(data)
        link.releases.clear()
        waiting, link.waiting = link.waiting, []
        for leg in waiting:
            self._invite(leg, connection)

    def _unreachable(self, link: Link, reason: CloseReason, now: float) -> None:
        """No connection comes up, or a new one stays silent: what waits never ran; a refusal tells of a dead process.

        A process that only hangs keeps what stands there, so silence cuts nothing. Nor does a refusal while a
        connection is open: a desk that drains refuses new ones and has its calls, and a dying process resets. Only
        when nothing has come on it for long either has it fallen silent, and its process has ended unheard: callers
        are owed the end of a call that was cut within 8 s. Until then it stays open, also when a new one does not
        come up in time, which may happen once at a desk that refuses all others: what stands there ends on it.
        """
        link.dead = True
        heard = max((one.last_read for one in link.open), default=now)
        refused = reason == CloseReason.REFUSED
        quiet = bool(link.open) and now - heard < UNREACHABLE
        if reason == CloseReason.SILENT or (refused and quiet):
            link.lost_at = None
        elif link.lost_at is None:
            link.lost_at = heard + 0.5 if now - heard > QUIET else now  # lost somewhere in that quiet
        for connection in link.open[:]:
            # Silent too: the machine is gone or cut off, or hangs, or its set-ups would wait for their time-outs.
            if now - connection.last_read > SUSPECT and (not quiet or self._legs_on(connection)):
                connection.close(CloseReason.SILENT)
        self._fail_waiting(link)
        if (refused and not link.open) or (link.lost_at is not None and now - link.lost_at > UNREACHABLE):
            self._cut_standing(link)

    async def _serve(self, link: Link, connection: Connection) -> None:
        framer = Framer(whole=True)
        rest = bytearray()
        connection.message_within, connection.linger = PART_WITHIN, SALVAGE

        def salvage(data: bytes) -> None:
            """Releases of calls that stand, in bytes that can't be framed: the desk sends them once only."""
            rest.extend(data)
            for message in releases(bytes(rest)):
                key = (link.desk.ident, message.get("call-id"))
                if (leg := self.legs.get(key)) and leg.stands:
                    if not message.get("reason"):  # cut off before it
                        message.headers.append(("Reason", f"Q.850;cause={NORMAL}"))
                    self._released(key, leg, message)
            if len(rest) > SALVAGE_BYTES:
                connection.close(connection.ending or CloseReason.MALFORMED)

        def leave(reason: CloseReason, left: bytes) -> None:
            """The connection is of no use any more; what stands there may yet be released on it."""
            if self._standing(link):
                connection.residue = salvage
                connection.refuse(reason)
                self._lost(link, connection)
                salvage(left)
            else:
                connection.close(reason)

        def good(message: Message) -> None:
            if not connection.closed:
                self._message(link, connection, message)

        def malformed(error: SipError) -> None:
            # After one answer that can't be read none can be trusted: the set-ups on it end now, not by time-out.
            log.event("malformed", kind="desk", peer=connection.peer, error=str(error))
            leave(CloseReason.MALFORMED, framer.left)

        connection.late = lambda: leave(CloseReason.SLOW, bytes(framer.data))

        def received(data: bytes) -> None:
            whole = framer.take(data, good, malformed)
            connection.took(whole, bool(framer.data))

        try:
            await connection.run(received)
        finally:
            self._lost(link, connection)

    def _lost(self, link: Link, connection: Connection) -> None:
        """Set-ups that had no answer on a connection end with it."""
        if connection in link.open:
            link.open.remove(connection)
        if not self.closing:
            for leg in self._legs_on(connection):
                self._over(self._key(leg.attempt))
                leg.heard(leg.attempt.leg, Outcome(Status.RESET))
            link.wanted.set()

    def _drop(self, link: Link) -> None:
        """The desk is gone from the list, or another machine has its name: all it had is cut."""
        link.gone = True
        del self.links[link.desk.ident]
        link.wanted.set()
        self._fail_waiting(link)
        for key, leg in list(self.legs.items()):
            if key[0] == link.desk.ident:
                if leg.stands:
                    self._bye(link, leg.attempt, CUT)  # it may still live, and hold an agent
                self._over(key)
                leg.heard(leg.attempt.leg, Outcome(Status.RESET, cause=CUT))
        for connection in link.open[:]:
            connection.finish(CloseReason.REPLACED)

    def _fail_waiting(self, link: Link) -> None:
        """Set-ups that wait for a connection end as never run."""
        waiting, link.waiting = link.waiting, []
        for leg in waiting:
            self._over(self._key(leg.attempt))
            leg.heard(leg.attempt.leg, Outcome(Status.CONNECT_FAILED))

    def _cut_standing(self, link: Link) -> None:
        for key, leg in self._standing(link):
            self._over(key)
            leg.heard(leg.attempt.leg, Outcome(Status.RESET, cause=CUT))

    def _standing(self, link: Link) -> list[tuple[tuple[str, str], Leg]]:
        return [(key, leg) for key, leg in self.legs.items() if key[0] == link.desk.ident and leg.stands]

    def _usable(self, link: Link) -> Connection | None:
        return next((one for one in reversed(link.open) if not one.over()), None)

    def _legs_on(self, connection: Connection) -> list[Leg]:
        return [leg for leg in self.legs.values() if leg.connection is connection and not leg.stands]

    # -- messages -----------------------------------------------------------------------------

    def _key(self, attempt: Attempt) -> tuple[str, str]:
        return attempt.desk, attempt.request.ident

    def _key_at(self, link: Link, ident: str) -> tuple[str, str]:
        """The leg of this call that what came on a link's connection is about.

        Where a new desk has the address of one whose end we have not been told of, the old one's link has come up to
        the new process, which may send there what concerns its calls.
        """
        key = (link.desk.ident, ident)
        if key in self.legs or key in self.over:
            return key
        names = (other.desk.ident for other in self.links.values() if other.desk.address == link.desk.address)
        return next(((name, ident) for name in names if (name, ident) in self.legs), key)

    def _over(self, key: tuple[str, str]) -> Leg | None:
        """Take a leg off; it is remembered for a while, so that late word of it is known as such."""
        now = asyncio.get_running_loop().time()
        while self.over and next(iter(self.over.values())) < now - REMEMBER:
            del self.over[next(iter(self.over))]
        leg = self.legs.pop(key, None)
        if leg is not None:
            self.over.pop(key, None)
            self.over[key] = now
        return leg

    def _request(self, method: str, attempt: Attempt, *extra: tuple[str, str], body: bytes = b"") -> Message:
        return self._named(method, attempt.request.ident, attempt.request.number, *extra, body=body)

    def _named(self, method: str, ident: str, number: str, *extra: tuple[str, str], body: bytes = b"") -> Message:
        sequence = 2 if method == "BYE" else 1
        headers = [
            ("Via", f"SIP/2.0/TCP seamlb;branch=z9hG4bK{ident}-{sequence}"),
            ("Call-ID", ident),
            ("CSeq", f"{sequence} {method}"),
            *extra,
        ]
        return Message(method, f"sip:{number}@net", headers=headers, body=body)

    def _invite(self, leg: Leg, connection: Connection) -> None:
        leg.connection, leg.sent = connection, asyncio.get_running_loop().time()
        request = leg.attempt.request
        waited = max(1, int(leg.attempt.within_ms))
        message = self._request(
            "INVITE",
            leg.attempt,
            ("X-Cos", request.class_name),
            ("X-Timer-Ms", str(waited)),
            body=request.description,
        )
        if not connection.send(message.encode(), self.relayed):
            self._over(self._key(leg.attempt))
            leg.heard(leg.attempt.leg, Outcome(Status.RESET))

    def _bye(self, link: Link, attempt: Attempt, cause: int) -> None:
        data = self._request("BYE", attempt, ("Reason", f"Q.850;cause={cause}")).encode()
        connection = self._usable(link)
        if connection is None or not connection.send(data):
            link.releases.append(data)
            link.wanted.set()

    def _message(self, link: Link, connection: Connection, message: Message) -> None:
        ident = message.get("call-id")
        key = self._key_at(link, ident)
        leg = self.legs.get(key)
        if message.method == "NOTIFY":
            link.tells = True
            if connection not in link.open and not link.gone:
                self._opened(link, connection)
                link.told.set()
            elif len(link.open) > 1:
                loop = asyncio.get_running_loop()
                loop.call_later(DEAF, self._deaf, link, loop.time())
            if report := parse_report(message.get("x-occupancy"), self.fields):
                self.sampled(link.desk.ident, report)
        elif message.method == "BYE":
            connection.send(response(message, 200).encode())
            self._released(key, leg, message)
        elif message.method == "OPTIONS":
            connection.send(response(message, 200).encode())
        elif message.status >= 200 and message.cseq()[1] == "INVITE":
            # A desk answers by Call-ID and method alone: the number in CSeq is its own. Matching by it had
            # every answer to a second attempt taken down as one that crossed our CANCEL.
            if leg is None and key not in self.over:
                return  # an id that this process never had there: more than belongs to us
            connection.send(self._named("ACK", ident, "call").encode())
            if message.status < 300:
                self._answered(connection, ident, leg, message)
            elif leg and not leg.stands:
                self._over(key)
                leg.heard(
                    leg.attempt.leg,
                    Outcome(
                        STATUSES.get(message.status, Status.ERROR),
                        NOTES.get(message.get("x-diagnosis"), 0),
                        parse_report(message.get("x-occupancy"), self.fields),
                    ),
                )

    def _answered(self, connection: Connection, ident: str, leg: Leg | None, message: Message) -> None:
        if leg is None:
            # The answer crossed our CANCEL: nobody waits for it, so it is taken down, never passed on.
            bye = self._named("BYE", ident, "call", ("Reason", f"Q.850;cause={NORMAL}"))
            connection.send(bye.encode())
        elif not leg.stands:
            leg.stands = True
            leg.heard(leg.attempt.leg, Answer(message.body))

    def _released(self, key: tuple[str, str], leg: Leg | None, message: Message) -> None:
        told = parameter(message.get("reason"), "cause")
        cause = int(told) if told.isdigit() else CUT
        if leg is not None:
            self._over(key)
            # Before its answer too: the call stood there and has come to its end, only its answer is late or lost.
            status = Status.OK if cause == NORMAL else Status.RESET
            report = parse_report(message.get("x-occupancy"), self.fields)
            leg.heard(leg.attempt.leg, Outcome(status, 0, report, cause))
        elif key not in self.over:
            # A call that stood before this process started: its client still has to hear of its end.
            self.stray(key[1], cause)
