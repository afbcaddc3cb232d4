"""Client of servers that speak the platform's SIP dialect over TCP: attempts, answers and releases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from seamlb.desks.legs import Key, Leg
from seamlb.desks.link import CUT, Link, LinkOwner
from seamlb.desks.requests import named, reason, request
from seamlb.net.connection import Connection
from seamlb.net.reason import CloseReason
from seamlb.protocol.report import DIAGNOSES, parse_load_report
from seamlb.protocol.sip import Message, parameter, response
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Availability, Desk, Outcome, Status

STATUSES = {503: Status.FULL, 486: Status.ERROR, 500: Status.ERROR, 480: Status.NOT_RUN, 504: Status.RESET}
NORMAL = 16  # Q.850 cause of a call that was released


class PlatformDesks:
    """Carries attempts to servers at the addresses that the list gives."""

    def __init__(
        self,
        fields: Sequence[str],
        connect_timeout: float,
        sampled: Callable[[str, tuple[float, ...]], None],
        stray: Callable[[str, int, Callable[[], object]], None],
        relayed: Callable[[], None] = lambda: None,
    ) -> None:
        self.fields = fields
        self.sampled = sampled
        self.stray = stray  # the release of a call that this process never knew; to be called back once it is told
        self.context = LinkOwner(connect_timeout, relayed, self._message, self._salvaged)
        self.legs, self.tasks = self.context.legs, self.context.tasks
        self.links: dict[str, Link] = {}

    # -- asked by the core --------------------------------------------------------------------

    def desk_changed(self, desk: Desk) -> None:
        """Keep a connection to each listed server: the state of its group comes on it."""
        link = self.links.get(desk.ident)
        if link is not None and (link.desk.address != desk.address or desk.availability == Availability.GONE):
            del self.links[desk.ident]
            link.drop()
            link = None
        if desk.availability == Availability.GONE:
            return
        if link is None:
            link = self.links[desk.ident] = Link(desk, self.context)
        elif desk.since_ms != link.desk.since_ms:
            link.cut_standing()  # its process is a new one: what stood at the old one is cut
        link.desk = desk
        if desk.availability != Availability.READY:
            link.fail_waiting()  # a connection that comes up late must not carry them to a server that drains

    def set_up(self, attempt: Attempt, heard: AttemptCallback) -> None:
        """Start an attempt; `heard` is told at most an Answer and then exactly one Outcome."""
        if link := self.links.get(attempt.desk):
            link.set_up(Leg(attempt, heard, sent=asyncio.get_running_loop().time()))
        else:
            heard(attempt.leg, Outcome(Status.CONNECT_FAILED))

    def cancel(self, attempt: Attempt) -> None:
        """Call an attempt off; nothing more is told of it."""
        leg = self.legs.take_off(_key(attempt))
        link = self.links.get(attempt.desk)
        if leg and leg.connection:
            leg.connection.send(request("CANCEL", attempt).encode())
        elif leg and link and leg in link.waiting:
            link.waiting.remove(leg)
        if link:
            link.wanted.set()

    def release(self, attempt: Attempt, cause: int) -> None:
        """End a call that stands; nothing more is told of it."""
        if self.legs.take_off(_key(attempt)) is None:
            return
        if link := self.links.get(attempt.desk):
            link.release(attempt, cause)

    def close_idle(self, desk: str) -> None:
        """Close idle connections."""
        if link := self.links.get(desk):
            link.free_idle(CloseReason.IDLE)

    async def wait_for_states(self) -> None:
        """Wait until each listed server has told its state or turned out to be out of reach."""
        while not all(link.tells or link.dead for link in self.links.values()):
            await asyncio.sleep(0.02)

    def has_unread_data(self) -> bool:
        """Has a server sent bytes that were not read yet? A release may be among them, and is sent once."""
        return any(connection.has_unread_data() for link in self.links.values() for connection in link.open)

    def close(self) -> None:
        """End all connections; may be called again."""
        self.context.closing = True
        for link in list(self.links.values()):
            for connection in link.open[:]:
                connection.flush_and_close(CloseReason.SHUTDOWN)
        for task in self.tasks:
            task.cancel()

    # -- messages -----------------------------------------------------------------------------

    def _key_at(self, link: Link, ident: str) -> Key:
        """The leg of this call that what came on a link's connection is about.

        Where a new server has the address of one whose end we have not been told of, the old one's link has come up
        to the new process, which may send there what concerns its calls.
        """
        key = (link.desk.ident, ident)
        if self.legs.known(key):
            return key
        names = (other.desk.ident for other in self.links.values() if other.desk.address == link.desk.address)
        return next(((name, ident) for name in names if self.legs.get((name, ident))), key)

    def _message(self, link: Link, connection: Connection, message: Message) -> None:
        if message.method == "NOTIFY":
            link.state_told(connection)
            if report := self._report(message):
                self.sampled(link.desk.ident, report)
        elif message.method == "OPTIONS":
            connection.send(response(message, 200).encode())
        elif message.method == "BYE":
            self._released(
                self._key_at(link, message.get("call-id")),
                message,
                lambda: connection.send(response(message, 200).encode()),
            )
        elif message.status >= 200 and message.cseq()[1] == "INVITE":
            self._final(link, connection, message)

    def _final(self, link: Link, connection: Connection, message: Message) -> None:
        """A final answer to a set-up.

        A server answers by Call-ID and method alone: the number in CSeq is its own. Matching by it had every answer
        to a second attempt taken down as one that crossed our CANCEL.
        """
        ident = message.get("call-id")
        key = self._key_at(link, ident)
        if not self.legs.known(key):
            return  # an id that this process never had there: more than belongs to us
        leg = self.legs.get(key)
        connection.send(named("ACK", ident, "call").encode())
        if message.status < 300:
            self._answered(connection, ident, leg, message)
        elif leg and not leg.stands:
            status, note = STATUSES.get(message.status, Status.ERROR), DIAGNOSES.get(message.get("x-diagnosis"), 0)
            self.legs.end(leg, Outcome(status, note, self._report(message)))

    def _answered(self, connection: Connection, ident: str, leg: Leg | None, message: Message) -> None:
        if leg is None:
            # The answer crossed our CANCEL: nobody waits for it, so it is taken down, never passed on.
            connection.send(named("BYE", ident, "call", reason(NORMAL)).encode())
        elif not leg.stands:
            leg.stands = True
            leg.heard(leg.attempt.leg, Answer(message.body))

    def _released(self, key: Key, message: Message, confirm: Callable[[], object]) -> None:
        told = parameter(message.get("reason"), "cause")
        cause = int(told) if told.isdigit() else CUT
        if not self.legs.known(key):
            # A call that stood before this process started. Confirmed once its client has heard of its end: until
            # then it is the server's to tell, as this process may end before it has a client at all.
            return self.stray(key[1], cause, confirm)
        confirm()
        if leg := self.legs.get(key):
            # Before its answer too: the call stood there and has come to its end, only its answer is late or lost.
            status = Status.OK if cause == NORMAL else Status.RESET
            self.legs.end(leg, Outcome(status, 0, self._report(message), cause))

    def _salvaged(self, link: Link, message: Message) -> None:
        """A release out of bytes that can't be framed counts for a call that stands."""
        key = (link.desk.ident, message.get("call-id"))
        if (leg := self.legs.get(key)) and leg.stands:
            if not message.get("reason"):  # cut off before it
                message.headers.append(reason(NORMAL))
            self._released(key, message, lambda: None)

    def _report(self, message: Message) -> tuple[float, ...]:
        return parse_load_report(message.get("x-occupancy"), self.fields)


def _key(attempt: Attempt) -> Key:
    return attempt.desk, attempt.request.ident
