"""The rules that one agent applies now: those of a version, of a transition, or the fallback values. Pure.

Time is the agent's own clock in seconds, which must also count while the machine sleeps. It is checked on every use
of the rules.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from seamlb.agree.messages import Kind, Message
from seamlb.agree.relations import Value
from seamlb.agree.version import ConfigVersion, VersionError, decode, fallback_values, transition_values

RENEW_AFTER = 0.3  # part of a lease between two requests for its renewal
Outgoing = list[tuple[str, Message]]


class LeaseState(StrEnum):
    """Which rules an agent may apply; the values appear in logs and in `/admin/agree`."""

    IN_FORCE = "in force"  # the newest version
    TRANSITION = "guard"  # values that comply with both the newest version and the one before
    FALLBACK = "alone"  # no lease: the fallback values


@dataclass(slots=True)
class LeaseRequest:
    """A request for a lease on the newest version, and the voters that have granted it."""

    sent_at: float  # seconds
    granted_by: frozenset[str] = frozenset()


@dataclass(slots=True)
class LeaseHolder:
    """The lease of one agent. `newest` and `previous` may come from disk, as they permit nothing without a lease.

    `request_id` must start above all IDs that the previous process can have used (Unix microseconds do): otherwise a
    reply to one of its requests would give this process a lease that the voters have no record of.
    """

    name: str
    lease: float  # seconds
    newest: ConfigVersion
    previous: ConfigVersion
    now: float
    request_id: int
    expires_at: float = 0.0  # seconds of our clock
    newest_in_force: int = 0  # number of the newest version that is known to be in force
    requests: dict[int, LeaseRequest] = field(default_factory=dict)  # by request ID, those younger than a lease
    next_request_at: float = 0.0
    conflicting: bool = False  # do the two versions conflict? Cached, as `lease_state` is called for every event

    def __post_init__(self) -> None:
        self._set_versions(self.newest, self.previous)

    def restore(self, newest: ConfigVersion, previous: ConfigVersion) -> None:
        """Uses versions that were loaded from disk; they give no lease."""
        self._set_versions(newest, previous)

    def _set_versions(self, newest: ConfigVersion, previous: ConfigVersion) -> None:
        self.newest, self.previous, self.conflicting = newest, previous, bool(newest.conflicts_with(previous))
        self.requests = {}  # they were for leases on the version before

    def lease_state(self, now: float) -> LeaseState:
        """The state at this moment; call it again before each use of the rules."""
        if now >= self.expires_at:
            return LeaseState.FALLBACK
        if self.newest_in_force >= self.newest.number or not self.conflicting:
            return LeaseState.IN_FORCE
        return LeaseState.TRANSITION

    def values(self, now: float) -> Mapping[str, Value]:
        """The rules to apply at this moment, by name."""
        match self.lease_state(now):
            case LeaseState.IN_FORCE:
                return {name: rule.value for name, rule in self.newest.rules.items()}
            case LeaseState.TRANSITION:
                return transition_values(self.previous, self.newest)
        return fallback_values(self.newest)

    def tick(self, now: float) -> Outgoing:
        """Advances time; must be called at least ten times per lease."""
        self.now = now
        return self._request_lease(now) if now >= self.next_request_at else []

    def _request_lease(self, now: float) -> Outgoing:
        # Without a lease, or while a version is not yet in force, requests are sent more often.
        self.next_request_at = now + self.lease * (
            RENEW_AFTER if self.lease_state(now) is LeaseState.IN_FORCE else RENEW_AFTER / 3
        )
        self.request_id += 1
        # Earlier requests stay valid: a round trip may take longer than the time to the next request.
        self.requests = {
            request_id: request for request_id, request in self.requests.items() if request.sent_at + self.lease > now
        }
        self.requests[self.request_id] = LeaseRequest(now)
        message = Message(Kind.LEASE_REQUEST, self.name, slot=self.newest.number, request_id=self.request_id)
        return [(voter, message) for voter in sorted({*self.newest.voters, *self.previous.voters})]

    def on_message(self, now: float, message: Message) -> Outgoing:
        """Processes a reply of a voter or the notification of a newer version."""
        self.now = now
        if message.kind == Kind.CHOSEN:
            try:
                newest, previous = decode(message.body), decode(message.previous)
            except VersionError:
                return []
            if newest.number <= self.newest.number:
                return []
            if newest.number > self.newest.number + 1 or newest.voters != self.newest.voters:
                self.expires_at = 0.0  # unknown versions lie between, or other voters decide when our lease is over
            # Otherwise the lease continues: the transition values comply with the version it was granted for, and
            # the version after next can't come into force before a majority of the voters, and so at least one that
            # granted the lease, has seen it expire.
            self._set_versions(newest, previous)
            return self._request_lease(now)
        if message.kind == Kind.LEASE_GRANT and message.slot == self.newest.number:
            self._on_grant(message)
        return []

    def _on_grant(self, message: Message) -> None:
        """Counts a voter's grant; with those of a majority the lease is valid, starting when the request was sent."""
        request = self.requests.get(message.request_id)
        if request is None:
            return
        request.granted_by |= {message.sender}
        self.newest_in_force = max(self.newest_in_force, message.cleared)
        if len(request.granted_by & set(self.newest.voters)) >= self.newest.majority:
            self.expires_at = max(self.expires_at, request.sent_at + self.lease)
