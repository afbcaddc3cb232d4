"""What one agent acts on now: a charter, the guard of two, or what it may do alone. Pure.

It counts by its own clock, which must not stop while the machine sleeps, and looks at it whenever it acts.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from seamlb.agree.charter import ConfigVersion, VersionError, decode, fallback_values, transition_values
from seamlb.agree.notes import Kind, Message
from seamlb.agree.relations import Value

RENEW_AFTER = 0.3  # part of a lease between two questions for the next
Outgoing = list[tuple[str, Message]]


class LeaseState(StrEnum):
    """By what right an agent acts."""

    IN_FORCE = "in force"
    TRANSITION = "guard"
    FALLBACK = "alone"


@dataclass(slots=True)
class LeaseRequest:
    """One request for a lease on the newest charter, and the members that have granted it."""

    sent_at: float
    granted_by: frozenset[str] = frozenset()


@dataclass(slots=True)
class LeaseHolder:
    """One agent; `newest` and `before` may be what a restart found on the disk, as they give no right to act.

    `ask` begins above all that the process before can have reached (Unix microseconds do): an answer to one of its
    questions would else give a lease that nobody knows of.
    """

    name: str
    lease: float  # seconds
    newest: ConfigVersion
    previous: ConfigVersion
    now: float
    request_id: int
    expires_at: float = 0.0  # end of the lease, by our clock
    newest_in_force: int = 0  # the newest charter that is known to be in force
    requests: dict[int, LeaseRequest] = field(default_factory=dict)  # by `ask`, those younger than a lease
    next_request_at: float = 0.0
    conflicting: bool = (
        False  # do the two charters contradict? Looked at once a charter, as `stance` is asked all the time
    )

    def __post_init__(self) -> None:
        self._set_versions(self.newest, self.previous)

    def restore(self, newest: ConfigVersion, previous: ConfigVersion) -> None:
        """What a restart found on the disk: no right to act, but where to begin."""
        self._set_versions(newest, previous)

    def _set_versions(self, newest: ConfigVersion, previous: ConfigVersion) -> None:
        self.newest, self.previous, self.conflicting = newest, previous, bool(newest.conflicts_with(previous))
        self.requests = {}  # they asked for leases on the charter before

    def lease_state(self, now: float) -> LeaseState:
        """What holds at this moment; ask anew for each thing done."""
        if now >= self.expires_at:
            return LeaseState.FALLBACK
        if self.newest_in_force >= self.newest.number or not self.conflicting:
            return LeaseState.IN_FORCE
        return LeaseState.TRANSITION

    def values(self, now: float) -> Mapping[str, Value]:
        """The rules to act on at this moment, by field."""
        match self.lease_state(now):
            case LeaseState.IN_FORCE:
                return {name: one.value for name, one in self.newest.rules.items()}
            case LeaseState.TRANSITION:
                return transition_values(self.previous, self.newest)
        return fallback_values(self.newest)

    def tick(self, now: float) -> Outgoing:
        """Time has passed; call it ten times a lease, or oftener."""
        self.now = now
        return self._request_lease(now) if now >= self.next_request_at else []

    def _request_lease(self, now: float) -> Outgoing:
        # Who has no lease, or waits for a charter to come in force, asks more often.
        self.next_request_at = now + self.lease * (
            RENEW_AFTER if self.lease_state(now) is LeaseState.IN_FORCE else RENEW_AFTER / 3
        )
        self.request_id += 1
        # Requests that are out stay valid: a round trip may take longer than the time to the next request.
        self.requests = {
            request_id: one for request_id, one in self.requests.items() if one.sent_at + self.lease > now
        }
        self.requests[self.request_id] = LeaseRequest(now)
        message = Message(Kind.LEASE_REQUEST, self.name, slot=self.newest.number, request_id=self.request_id)
        return [(one, message) for one in sorted({*self.newest.voters, *self.previous.voters})]

    def on_message(self, now: float, message: Message) -> Outgoing:
        """A member's answer, or word of a newer charter."""
        self.now = now
        if message.kind == Kind.CHOSEN:
            try:
                newest, previous = decode(message.body), decode(message.previous)
            except VersionError:
                return []
            if newest.number <= self.newest.number:
                return []
            if newest.number > self.newest.number + 1 or newest.voters != self.newest.voters:
                self.expires_at = 0.0  # what lies between is not known, or others will say that our lease is over
            # Else the lease goes on: the guard keeps within the charter that it is for, and the next but one can't
            # come in force before a majority, so one at least of those who gave it, have seen it end.
            self._set_versions(newest, previous)
            return self._request_lease(now)
        if message.kind == Kind.LEASE_GRANT and message.slot == self.newest.number:
            self._on_grant(message)
        return []

    def _on_grant(self, message: Message) -> None:
        """A member has granted one of our requests; a majority's grants make the lease, counted from the request."""
        request = self.requests.get(message.request_id)
        if request is None:
            return
        request.granted_by |= {message.sender}
        self.newest_in_force = max(self.newest_in_force, message.cleared)
        if len(request.granted_by & set(self.newest.voters)) >= self.newest.majority:
            self.expires_at = max(self.expires_at, request.sent_at + self.lease)
