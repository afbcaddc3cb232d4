"""A voter: votes on the next version, grants leases on the newest, reports when older leases have expired.

Pure. Version n is decided as one value by majority (Lamport's single-decree synod, one slot per version number); slot
n + 1 opens once version n is in force. docs/design/agree.md has the invariants that the comments name: A1 to A5.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from seamlb.agree.messages import MAX_CLOCK_DRIFT, NO_BALLOT, Ballot, Kind, Message
from seamlb.agree.persisted_state import PersistedState
from seamlb.agree.version import ConfigVersion, VersionError, decode

Outgoing = list[tuple[str, Message]]
STATE_INTERVAL = 0.2  # of a lease, between two STATE messages to the other voters
VOTE_TIMEOUT = 0.1  # of a lease, until a vote without a result is retried; times a random factor from 1 to 2
MAX_BACKOFF = 8.0  # the timeout doubles up to this factor, so that a vote's four messages get through a slow network


@dataclass(slots=True)
class Proposal:
    """A vote that this voter has started."""

    ballot: Ballot
    wanted: ConfigVersion | None  # what we propose; None: only to finish a vote that another voter left open
    retry_at: float  # seconds
    backoff: float
    promises: dict[str, tuple[Ballot, bytes]] = field(default_factory=dict)
    value: ConfigVersion | None = None  # sent in ACCEPT: `wanted`, or what may have been chosen already
    accepted_by: set[str] = field(default_factory=set)


class Voter:
    """`save` writes bytes to disk and raises OSError unless they are known to be there; times are in seconds."""

    def __init__(
        self,
        name: str,
        epoch: int,
        lease: float,
        state: PersistedState,
        now: float,
        save: Callable[[bytes], None],
        rng: random.Random,
    ) -> None:
        self.name, self.epoch, self.lease, self.state, self.save, self.rng = name, epoch, lease, state, save, rng
        self.halt_reason = ""  # why we don't vote anymore; needs a restart, on a disk that works
        # After a restart we don't know which leases we granted; until those have expired (A3) we neither vote nor
        # grant, and voters that saw a later state of ours than our disk has can tell us so (A5).
        self.inactive_until = now + lease * (1 + MAX_CLOCK_DRIFT)
        self.grants: dict[str, tuple[int, float]] = {}  # by agent: version number of its lease, and the expiry
        self.cleared: dict[str, int] = {}  # by voter: all its leases on versions before this number have expired
        self.fences: dict[str, tuple[int, int]] = {}  # by voter: the highest `epoch` and `writes` seen
        self.proposal: Proposal | None = None
        self.state_due_at = now
        self.log_lines: list[tuple[str, dict[str, object]]] = []
        self.accepted_at = now  # when we last accepted a version in the open slot

    @property
    def newest(self) -> ConfigVersion:
        """The newest version that is known to be chosen."""
        return self.state.newest

    def in_force(self) -> bool:
        """Have all leases on earlier versions expired, according to majorities of the old and new voters? (A2)"""
        expired = {voter for voter, number in self.cleared.items() if number >= self.newest.number}
        return all(
            len(expired & set(version.voters)) >= version.majority for version in (self.state.previous, self.newest)
        )

    def _persist(self, **change: object) -> bool:
        """Writes a change to disk; False if that failed, and then no message may reveal the change. (A1)"""
        if self.halt_reason:
            return False
        new = replace(self.state, writes=self.state.writes + 1, **change)  # type: ignore[arg-type]
        try:
            self.save(new.encode())
        except OSError as error:
            self._halt(f"the disk failed: {error.strerror or error}")
            return False
        self.state = new
        return True

    def _halt(self, reason: str) -> None:
        if not self.halt_reason:
            self.halt_reason, self.proposal = reason, None
            self.log_lines.append(("council_out", {"reason": reason}))

    def _message(self, kind: Kind, **more: object) -> Message:
        return Message(kind, self.name, self.epoch, self.state.writes, **({"slot": self.newest.number} | more))  # type: ignore[arg-type]

    def _other_voters(self) -> list[str]:
        return sorted({*self.newest.voters, *self.state.previous.voters} - {self.name})

    def tick(self, now: float) -> Outgoing:
        """Advances time; must be called at least ten times per lease."""
        if self.halt_reason:
            return []
        self.grants = {agent: grant for agent, grant in self.grants.items() if grant[1] > now}
        out: Outgoing = []
        number, old_leases = self.newest.number, any(on < self.newest.number for on, _ in self.grants.values())
        if self.cleared.get(self.name, 0) < number and now >= self.inactive_until and not old_leases:
            self.cleared[self.name], self.state_due_at = number, now
        if now >= self.state_due_at:
            self.state_due_at = now + self.lease * STATE_INTERVAL
            message = self._message(Kind.STATE, cleared=self.cleared.get(self.name, 0))
            out += [(voter, message) for voter in self._other_voters()]
        if self.proposal and now >= self.proposal.retry_at:
            out += self._start_ballot(now, self.proposal.wanted)
        elif self.proposal is None and self.state.accepted and now - self.accepted_at > self.lease * VOTE_TIMEOUT * 5:
            out += self._start_ballot(now, None)  # the voter that started the vote is gone
        return out

    def propose(self, now: float, version: ConfigVersion) -> tuple[str, Outgoing]:
        """Starts a vote: the reason for a refusal or "", and messages to send. `newest` shows what was chosen."""
        if self.halt_reason:
            return self.halt_reason, []
        if self.name not in self.newest.voters:
            return "not a voter", []
        if reason := version.succession_error(self.newest):
            return reason, []
        if not self.in_force():
            return f"version {self.newest.number} is not in force yet", []
        return "", self._start_ballot(now, version)

    def _start_ballot(self, now: float, wanted: ConfigVersion | None) -> Outgoing:
        if not self.in_force():
            self.proposal = None
            return []
        ballot = (max(self.state.promised[0], self.proposal.ballot[0] if self.proposal else 0) + 1, self.name)
        backoff = min(2.0 * self.proposal.backoff, MAX_BACKOFF) if self.proposal else 1.0
        self.proposal = Proposal(
            ballot, wanted, now + self.lease * VOTE_TIMEOUT * backoff * (1 + self.rng.random()), backoff
        )
        message = self._message(Kind.PREPARE, slot=self.newest.number + 1, ballot=ballot)
        return [(voter, message) for voter in self.newest.voters]

    def _is_open(self, slot: int) -> bool:
        return slot == self.newest.number + 1 and self.in_force()

    def _on_request(self, now: float, message: Message) -> Outgoing:
        """Answers PREPARE or ACCEPT."""
        if now < self.inactive_until:
            return []
        if not self._is_open(message.slot) or message.ballot < self.state.promised:
            return [(message.sender, self._message(Kind.REJECTED, slot=message.slot, ballot=self.state.promised))]
        if message.kind == Kind.PREPARE:
            if not self._persist(promised=message.ballot):
                return []
            return [
                (
                    message.sender,
                    self._message(
                        Kind.PROMISE,
                        slot=message.slot,
                        ballot=message.ballot,
                        accepted_ballot=self.state.accepted_ballot,
                        body=self.state.accepted,
                    ),
                )
            ]
        try:
            error_text = decode(message.body).succession_error(self.newest)
        except VersionError as error:
            error_text = str(error)
        if error_text:
            self.log_lines.append(("council_refused", {"from": message.sender, "reason": error_text}))
            return []
        if not self._persist(promised=message.ballot, accepted_ballot=message.ballot, accepted=message.body):
            return []
        self.accepted_at = now
        return [(message.sender, self._message(Kind.ACCEPTED, slot=message.slot, ballot=message.ballot))]

    def _on_promise(self, message: Message) -> Outgoing:
        ours = self.proposal
        if ours is None or ours.ballot != message.ballot or ours.value or message.slot != self.newest.number + 1:
            return []
        ours.promises[message.sender] = message.accepted_ballot, message.body
        if len(ours.promises.keys() & set(self.newest.voters)) < self.newest.majority:
            return []
        last = max(ours.promises.values())[1]  # it may have been chosen already, so nothing else may be proposed
        ours.value = decode(last) if last else ours.wanted
        if ours.value is None:
            self.proposal = None
            return []
        accept = self._message(Kind.ACCEPT, slot=message.slot, ballot=ours.ballot, body=ours.value.body)
        return [(voter, accept) for voter in self.newest.voters]

    def _on_accepted(self, now: float, message: Message) -> Outgoing:
        ours = self.proposal
        if ours is None or ours.ballot != message.ballot or ours.value is None:
            return []
        ours.accepted_by.add(message.sender)
        if len(ours.accepted_by & set(self.newest.voters)) < self.newest.majority:
            return []
        # Only the winner notifies the agents, so that each gets one message; if lost, the next request repairs that.
        agents = sorted(self.grants.keys() - set(self._other_voters()))
        out = self._adopt(now, ours.value, self.newest)
        return out + [(agent, self._chosen_message()) for agent in agents if out]

    def _adopt(self, now: float, version: ConfigVersion, previous: ConfigVersion) -> Outgoing:
        """Takes over a chosen version; from now on we grant no lease on an earlier one. (A4)"""
        if version.number <= self.newest.number or not self._persist(
            newest=version, previous=previous, promised=NO_BALLOT, accepted_ballot=NO_BALLOT, accepted=b""
        ):
            return []
        self.proposal = None
        self.log_lines.append(("charter_chosen", {"number": version.number, "digest": version.digest}))
        self.state_due_at = now
        return [(voter, self._chosen_message()) for voter in self._other_voters()]

    def _chosen_message(self) -> Message:
        return self._message(Kind.CHOSEN, body=self.newest.body, previous=self.state.previous.body)

    def on_message(self, now: float, message: Message) -> Outgoing:
        """Processes a message that has been authenticated."""
        if self.halt_reason:
            return []
        if message.kind == Kind.LEASE_REQUEST:
            return self._grant_lease(now, message)
        epoch, writes = self.fences.get(message.sender, (0, 0))
        if message.epoch < epoch or (message.epoch > epoch and message.writes < writes):
            # An earlier process of this voter, or one whose disk was rolled back: it may have promised more. (A5)
            self.log_lines.append(
                ("council_fenced", {"from": message.sender, "born": message.epoch, "saved": message.writes})
            )
            return [
                (message.sender, Message(Kind.ROLLED_BACK, self.name, self.epoch, writes, request_id=message.epoch))
            ]
        self.fences[message.sender] = message.epoch, max(writes, message.writes)
        match message.kind:
            case Kind.PREPARE | Kind.ACCEPT:
                return self._on_request(now, message)
            case Kind.PROMISE:
                return self._on_promise(message)
            case Kind.ACCEPTED:
                return self._on_accepted(now, message)
            case Kind.REJECTED:
                if self.proposal and message.ballot > self.proposal.ballot:
                    self.proposal.ballot = (message.ballot[0], self.name)  # the next ballot gets a higher number
            case Kind.STATE:
                self.cleared[message.sender] = max(self.cleared.get(message.sender, 0), message.cleared)
                if message.slot > self.newest.number:
                    return [(message.sender, self._message(Kind.FETCH))]
            case Kind.ROLLED_BACK:
                if message.request_id == self.epoch and message.writes > self.state.writes:
                    self._halt(f"the disk was rolled back: state {self.state.writes} after {message.writes}")
            case Kind.FETCH:
                return [(message.sender, self._chosen_message())]
            case Kind.CHOSEN:
                try:
                    return self._adopt(now, decode(message.body), decode(message.previous))
                except VersionError as error:
                    self.log_lines.append(("council_refused", {"from": message.sender, "reason": str(error)}))
        return []

    def _grant_lease(self, now: float, message: Message) -> Outgoing:
        """Grants a lease on the newest version to an agent that has it; others get that version instead."""
        number = self.newest.number
        if message.slot < number:
            return [(message.sender, self._chosen_message())]
        if message.slot > number or now < self.inactive_until:
            return []
        self.grants[message.sender] = number, now + self.lease * (1 + MAX_CLOCK_DRIFT)
        cleared = number if self.in_force() else 0
        return [(message.sender, self._message(Kind.LEASE_GRANT, request_id=message.request_id, cleared=cleared))]
