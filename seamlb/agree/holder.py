"""What one agent acts on now: a charter, the guard of two, or what it may do alone. Pure.

It counts by its own clock, which must not stop while the machine sleeps, and looks at it whenever it acts.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from seamlb.agree.charter import Charter, CharterError, alone, decode, guarded
from seamlb.agree.notes import Kind, Note
from seamlb.agree.relations import Value

RENEW = 0.3  # part of a lease between two questions for the next
Out = list[tuple[str, Note]]


class Stance(StrEnum):
    """By what right an agent acts."""

    PLAIN = "in force"
    GUARD = "guard"
    ALONE = "alone"


@dataclass(slots=True)
class LeaseRequest:
    """One request for a lease on the newest charter, and the members that have granted it."""

    sent_at: float
    granted_by: frozenset[str] = frozenset()


@dataclass(slots=True)
class Holder:
    """One agent; `newest` and `before` may be what a restart found on the disk, as they give no right to act.

    `ask` begins above all that the process before can have reached (Unix microseconds do): an answer to one of its
    questions would else give a lease that nobody knows of.
    """

    name: str
    lease: float  # seconds
    newest: Charter
    before: Charter
    now: float
    ask: int
    until: float = 0.0  # end of the lease, by our clock
    cleared: int = 0  # the newest charter that is known to be in force
    requests: dict[int, LeaseRequest] = field(default_factory=dict)  # by `ask`, those younger than a lease
    next_ask: float = 0.0
    apart: bool = False  # do the two charters contradict? Looked at once a charter, as `stance` is asked all the time

    def __post_init__(self) -> None:
        self._know(self.newest, self.before)

    def restore(self, newest: Charter, before: Charter) -> None:
        """What a restart found on the disk: no right to act, but where to begin."""
        self._know(newest, before)

    def _know(self, newest: Charter, before: Charter) -> None:
        self.newest, self.before, self.apart = newest, before, bool(newest.contradicts(before))
        self.requests = {}  # they asked for leases on the charter before

    def stance(self, now: float) -> Stance:
        """What holds at this moment; ask anew for each thing done."""
        if now >= self.until:
            return Stance.ALONE
        if self.cleared >= self.newest.number or not self.apart:
            return Stance.PLAIN
        return Stance.GUARD

    def values(self, now: float) -> Mapping[str, Value]:
        """The rules to act on at this moment, by field."""
        match self.stance(now):
            case Stance.PLAIN:
                return {name: one.value for name, one in self.newest.fields.items()}
            case Stance.GUARD:
                return guarded(self.before, self.newest)
        return alone(self.newest)

    def tick(self, now: float) -> Out:
        """Time has passed; call it ten times a lease, or oftener."""
        self.now = now
        return self._ask(now) if now >= self.next_ask else []

    def _ask(self, now: float) -> Out:
        # Who has no lease, or waits for a charter to come in force, asks more often.
        self.next_ask = now + self.lease * (RENEW if self.stance(now) is Stance.PLAIN else RENEW / 3)
        self.ask += 1
        # Requests that are out stay valid: a round trip may take longer than the time to the next request.
        self.requests = {ask: one for ask, one in self.requests.items() if one.sent_at + self.lease > now}
        self.requests[self.ask] = LeaseRequest(now)
        note = Note(Kind.ASK, self.name, slot=self.newest.number, ask=self.ask)
        return [(one, note) for one in sorted({*self.newest.council, *self.before.council})]

    def received(self, now: float, note: Note) -> Out:
        """A member's answer, or word of a newer charter."""
        self.now = now
        if note.kind == Kind.CHOSEN:
            try:
                newest, before = decode(note.body), decode(note.before)
            except CharterError:
                return []
            if newest.number <= self.newest.number:
                return []
            if newest.number > self.newest.number + 1 or newest.council != self.newest.council:
                self.until = 0.0  # what lies between is not known, or others will say that our lease is over
            # Else the lease goes on: the guard keeps within the charter that it is for, and the next but one can't
            # come in force before a majority, so one at least of those who gave it, have seen it end.
            self._know(newest, before)
            return self._ask(now)
        if note.kind == Kind.GRANT and note.slot == self.newest.number:
            self._granted(note)
        return []

    def _granted(self, note: Note) -> None:
        """A member has granted one of our requests; a majority's grants make the lease, counted from the request."""
        request = self.requests.get(note.ask)
        if request is None:
            return
        request.granted_by |= {note.sender}
        self.cleared = max(self.cleared, note.cleared)
        if len(request.granted_by & set(self.newest.council)) >= self.newest.majority:
            self.until = max(self.until, request.sent_at + self.lease)
