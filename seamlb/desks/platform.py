"""Client of servers that speak the platform's SIP dialect over TCP: attempts, answers and releases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from seamlb.desks.address_owner import address_owner
from seamlb.desks.legs import Key, Leg
from seamlb.desks.link import CAUSE_CUT, Link
from seamlb.desks.link_context import LinkContext
from seamlb.desks.requests import call_request, reason_header, request
from seamlb.net.close_reason import CloseReason
from seamlb.net.connection import Connection
from seamlb.protocol.report import DIAGNOSES, parse_load_report
from seamlb.protocol.sip import Message, parameter, response
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Availability, Desk, Outcome, Status

STATUSES = {503: Status.FULL, 486: Status.ERROR, 500: Status.ERROR, 480: Status.NOT_RUN, 504: Status.RESET}
CAUSE_NORMAL = 16  # Q.850: normal call clearing


class PlatformDesks:
    """Sends attempts to the servers of the list."""

    def __init__(
        self,
        fields: Sequence[str],
        connect_timeout: float,
        on_report: Callable[[str, tuple[float, ...]], None],
        on_unknown_release: Callable[[str, int, Callable[[], object]], None],
        on_relayed: Callable[[], None] = lambda: None,
    ) -> None:
        self.fields = fields
        self.on_report = on_report
        # Gets the releases of calls that this process never had, and calls back after each was sent to a caller.
        self.on_unknown_release = on_unknown_release
        self.context = LinkContext(connect_timeout, on_relayed, self._message, self._salvaged)
        self.legs, self.tasks = self.context.legs, self.context.tasks
        self.links: dict[str, Link] = {}

    # -- called by the core -------------------------------------------------------------------

    def desk_changed(self, desk: Desk) -> None:
        """Keep a connection to each listed server, on which it reports the state of its group."""
        link = self.links.get(desk.ident)
        addresses = {desk.address, link.desk.address} if link else {desk.address}
        self._update_link(desk, link)
        for address in addresses:
            self._update_displaced(address)

    def _update_displaced(self, address: str) -> None:
        """Let only the server that is at an address now be used there, where several of the list have it."""
        owner = address_owner(address, (link.desk for link in self.links.values()))
        for link in self.links.values():
            if owner is None or link.desk.address != address:
                continue
            if link.desk is owner and link.displaced:
                link.restore()
            elif link.desk is not owner and not link.displaced:
                link.displace(owner.since_ms)

    def _update_link(self, desk: Desk, link: Link | None) -> None:
        if link is not None and (link.desk.address != desk.address or desk.availability == Availability.GONE):
            del self.links[desk.ident]
            link.drop("removed" if desk.availability == Availability.GONE else "moved")
            link = None
        if desk.availability == Availability.GONE or (link is None and self.context.closing):
            return  # a server that is connected to as the process ends would send releases that no caller gets
        if link is None:
            link = self.links[desk.ident] = Link(desk, self.context)
        elif desk.since_ms != link.desk.since_ms:
            link.process_started(desk.since_ms)
        link.desk = desk
        if desk.availability != Availability.READY:
            link.fail_waiting()  # a connection that opens late must not carry set-ups to a draining server

    def set_up(self, attempt: Attempt, notify: AttemptCallback) -> None:
        """Start an attempt; `notify` gets at most one Answer and then exactly one Outcome."""
        if link := self.links.get(attempt.desk):
            link.set_up(Leg(attempt, notify, sent_at=asyncio.get_running_loop().time()))
        else:
            notify(attempt.leg, Outcome(Status.CONNECT_FAILED))

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt, without further notification."""
        leg = self.legs.remove(_attempt_key(attempt))
        link = self.links.get(attempt.desk)
        if leg and leg.connection:
            leg.connection.send(request("CANCEL", attempt).encode())
        elif leg and link and leg in link.waiting:
            link.waiting.remove(leg)
        if link:
            link.wakeup.set()

    def release(self, attempt: Attempt, cause: int) -> None:
        """Release an established call, without further notification."""
        if self.legs.remove(_attempt_key(attempt)) is None:
            return
        if link := self.links.get(attempt.desk):
            link.release(attempt, cause)

    def close_idle(self, desk: str) -> None:
        """Close idle connections to a desk."""
        if link := self.links.get(desk):
            link.close_idle(CloseReason.IDLE)

    async def wait_for_states(self) -> None:
        """Wait until each listed server has reported its state or is unreachable."""
        while not all(link.reports_state or link.unreachable for link in self.links.values()):
            await asyncio.sleep(0.02)

    def stats(self) -> dict[str, Any]:
        """What is believed of each server, the seconds since its last sign of life, and calls cut by reason."""
        now = asyncio.get_running_loop().time()
        servers = {
            name: {
                "state": link.manager.liveness.belief.value,
                "last_sign_age_s": round(now - link.manager.liveness.last_sign, 3),
            }
            for name, link in self.links.items()
        }
        return {"servers": servers, "calls_cut": dict(self.context.calls_cut)}

    def has_unread_data(self) -> bool:
        """Whether data from a server is unread: it may contain a release, which is sent only once."""
        return any(connection.has_unread_data() for link in self.links.values() for connection in link.connections)

    def close(self) -> None:
        """Close all connections; may be called again."""
        self.context.closing = True
        for link in list(self.links.values()):
            for connection in link.connections[:]:
                connection.flush_and_close(CloseReason.SHUTDOWN)
        for task in self.tasks:
            task.cancel()

    # -- messages -----------------------------------------------------------------------------

    def _leg_key(self, link: Link, ident: str) -> Key:
        """Return the key of the leg that a message with this Call-ID, received on a connection of `link`, is for.

        If a new server has the address of one that is still listed, because the list is late, the old server's link
        has connected to the new process, which may send messages about its own calls there.
        """
        key = (link.desk.ident, ident)
        if self.legs.known(key):
            return key
        names = (other.desk.ident for other in self.links.values() if other.desk.address == link.desk.address)
        return next(((name, ident) for name in names if self.legs.get((name, ident))), key)

    def _message(self, link: Link, connection: Connection, message: Message) -> None:
        if message.method == "NOTIFY":
            link.state_reported(connection)
            if report := self._report(message):
                self.on_report(link.desk.ident, report)
        elif message.method == "OPTIONS":
            connection.send(response(message, 200).encode())
        elif message.method == "BYE":
            self._released(
                self._leg_key(link, message.get("call-id")),
                message,
                lambda: connection.send(response(message, 200).encode()),
            )
        elif message.status >= 200 and message.cseq()[1] == "INVITE":
            self._final_answer(link, connection, message)

    def _final_answer(self, link: Link, connection: Connection, message: Message) -> None:
        """Handle a final answer to a set-up.

        It is matched by Call-ID and method only, because a server puts a number of its own into CSeq. When the number
        was matched too, every answer to a second attempt was released as if it had crossed a CANCEL.
        """
        ident = message.get("call-id")
        key = self._leg_key(link, ident)
        if not self.legs.known(key):
            return  # this process never had a leg with this Call-ID there
        leg = self.legs.get(key)
        connection.send(call_request("ACK", ident, "call").encode())
        if message.status < 300:
            self._answered(connection, ident, leg, message)
        elif leg and not leg.established:
            status, note = STATUSES.get(message.status, Status.ERROR), DIAGNOSES.get(message.get("x-diagnosis"), 0)
            self.legs.end(leg, Outcome(status, note, self._report(message)))

    def _answered(self, connection: Connection, ident: str, leg: Leg | None, message: Message) -> None:
        if leg is None:
            # The answer crossed the CANCEL: nobody waits for it, so its call is released.
            connection.send(call_request("BYE", ident, "call", reason_header(CAUSE_NORMAL)).encode())
        elif not leg.established:
            leg.established = True
            if link := self.links.get(leg.attempt.desk):
                link.manager.watch_calls()
            leg.notify(leg.attempt.leg, Answer(message.body))

    def _released(self, key: Key, message: Message, confirm: Callable[[], object]) -> None:
        value = parameter(message.get("reason"), "cause")
        cause = int(value) if value.isdigit() else CAUSE_CUT
        if not self.legs.known(key):
            # A call from before this process started. The release is confirmed only after it was sent to a caller:
            # this process may end before it has a caller, and the server must then send the release again.
            return self.on_unknown_release(key[1], cause, confirm)
        confirm()
        if leg := self.legs.get(key):
            if leg.connection and (link := self.links.get(key[0])):
                link.manager.liveness.same_process(leg.connection.opened_at)
            # Also before the answer: the call was established there and has ended, and its answer is late or lost.
            status = Status.OK if cause == CAUSE_NORMAL else Status.RESET
            self.legs.end(leg, Outcome(status, 0, self._report(message), cause))

    def _salvaged(self, link: Link, message: Message) -> None:
        """Accept a release from unframed data for an established call."""
        key = (link.desk.ident, message.get("call-id"))
        if (leg := self.legs.get(key)) and leg.established:
            if not message.get("reason"):  # cut off before the Reason header
                message.headers.append(reason_header(CAUSE_NORMAL))
            self._released(key, message, lambda: None)

    def _report(self, message: Message) -> tuple[float, ...]:
        return parse_load_report(message.get("x-occupancy"), self.fields)


def _attempt_key(attempt: Attempt) -> Key:
    return attempt.desk, attempt.request.ident
