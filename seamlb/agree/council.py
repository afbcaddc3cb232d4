"""A council member: votes on the next charter, gives leases on the newest, says when the one before is out of use.

Pure. A charter of number n is decided as one value by majority (Lamport's single-decree synod, a slot a number); slot
n + 1 opens once n is in force. docs/design/agree.md has the invariants, A1 to A5, that the comments name.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from seamlb.agree.charter import ConfigVersion, VersionError, decode
from seamlb.agree.kept import PersistedState
from seamlb.agree.notes import MAX_CLOCK_DRIFT, NO_BALLOT, Ballot, Kind, Message

Outgoing = list[tuple[str, Message]]
STATE_INTERVAL = 0.2  # part of a lease between two words to the other members
VOTE_TIMEOUT = 0.1  # of a lease: delay before a vote without a result is retried, times a random 1 to 2
MAX_BACKOFF = 8.0  # the delay doubles with each retry up to this factor, for networks with long delays


@dataclass(slots=True)
class Proposal:
    """One that we have begun."""

    ballot: Ballot
    wanted: ConfigVersion | None  # what we want; None: only to end what another left open
    retry_at: float
    backoff: float
    promises: dict[str, tuple[Ballot, bytes]] = field(default_factory=dict)
    value: ConfigVersion | None = None  # what we must put to the vote
    accepted_by: set[str] = field(default_factory=set)


class Voter:
    """One member; `save` puts bytes on the disk and raises OSError if it is not known to be there."""

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
        self.halt_reason = ""  # why we vote no more; the process has to be started anew on a disk that holds
        # What we granted before our start is forgotten: it is over only by then. (A3) Until then we vote and lend
        # nothing, and whoever remembers more of us than our disk has can say so. (A5)
        self.inactive_until = now + lease * (1 + MAX_CLOCK_DRIFT)
        self.grants: dict[str, tuple[int, float]] = {}  # agent: the charter it may act on, and until when
        self.cleared: dict[str, int] = {}  # member: the charter before whose number all its leases are over
        self.fences: dict[str, tuple[int, int]] = {}  # member: the highest `born` and `saved` heard
        self.proposal: Proposal | None = None
        self.state_due_at = now
        self.log_lines: list[tuple[str, dict[str, object]]] = []
        self.accepted_at = now  # when something was accepted in the open slot

    @property
    def newest(self) -> ConfigVersion:
        """The newest version that is known to be chosen."""
        return self.state.newest

    def in_force(self) -> bool:
        """Are all leases on what came before over, as majorities of both councils say? (A2)"""
        over = {one for one, number in self.cleared.items() if number >= self.newest.number}
        return all(len(over & set(one.voters)) >= one.majority for one in (self.state.previous, self.newest))

    def _persist(self, **change: object) -> bool:
        """Put a change on the disk; False if the disk failed, and then nothing of it may be told. (A1)"""
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

    def _halt(self, why: str) -> None:
        if not self.halt_reason:
            self.halt_reason, self.proposal = why, None
            self.log_lines.append(("council_out", {"reason": why}))

    def _message(self, kind: Kind, **more: object) -> Message:
        return Message(kind, self.name, self.epoch, self.state.writes, **({"slot": self.newest.number} | more))  # type: ignore[arg-type]

    def _other_voters(self) -> list[str]:
        return sorted({*self.newest.voters, *self.state.previous.voters} - {self.name})

    def tick(self, now: float) -> Outgoing:
        """Time has passed; call it ten times a lease, or oftener."""
        if self.halt_reason:
            return []
        self.grants = {agent: one for agent, one in self.grants.items() if one[1] > now}
        out: Outgoing = []
        number, still = self.newest.number, any(on < self.newest.number for on, _ in self.grants.values())
        if self.cleared.get(self.name, 0) < number and now >= self.inactive_until and not still:
            self.cleared[self.name], self.state_due_at = number, now
        if now >= self.state_due_at:
            self.state_due_at = now + self.lease * STATE_INTERVAL
            message = self._message(Kind.STATE, cleared=self.cleared.get(self.name, 0))
            out += [(one, message) for one in self._other_voters()]
        if self.proposal and now >= self.proposal.retry_at:
            out += self._start_ballot(now, self.proposal.wanted)
        elif self.proposal is None and self.state.accepted and now - self.accepted_at > self.lease * VOTE_TIMEOUT * 5:
            out += self._start_ballot(now, None)  # whoever began it is gone
        return out

    def propose(self, now: float, version: ConfigVersion) -> tuple[str, Outgoing]:
        """Put a charter to the vote: why not, or empty, and what to send. Whether it is chosen shows in `newest`."""
        if self.halt_reason:
            return self.halt_reason, []
        if self.name not in self.newest.voters:
            return "not a member of the council", []
        if why := version.succession_error(self.newest):
            return why, []
        if not self.in_force():
            return f"charter {self.newest.number} is not in force yet", []
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
        return [(one, message) for one in self.newest.voters]

    def _is_open(self, slot: int) -> bool:
        return slot == self.newest.number + 1 and self.in_force()

    def _on_request(self, now: float, message: Message) -> Outgoing:
        """PREPARE or ACCEPT."""
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
            wrong = decode(message.body).succession_error(self.newest)
        except VersionError as error:
            wrong = str(error)
        if wrong:
            self.log_lines.append(("council_refused", {"from": message.sender, "reason": wrong}))
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
        last = max(ours.promises.values())[1]  # it may have been chosen already: nothing else may be
        ours.value = decode(last) if last else ours.wanted
        if ours.value is None:
            self.proposal = None
            return []
        put = self._message(Kind.ACCEPT, slot=message.slot, ballot=ours.ballot, body=ours.value.body)
        return [(one, put) for one in self.newest.voters]

    def _on_accepted(self, now: float, message: Message) -> Outgoing:
        ours = self.proposal
        if ours is None or ours.ballot != message.ballot or ours.value is None:
            return []
        ours.accepted_by.add(message.sender)
        if len(ours.accepted_by & set(self.newest.voters)) < self.newest.majority:
            return []
        # Agents are told by who won, lest all members tell all of them; who misses it learns of it when it asks.
        agents = sorted(self.grants.keys() - set(self._other_voters()))
        out = self._adopt(now, ours.value, self.newest)
        return out + [(one, self._chosen_message()) for one in agents if out]

    def _adopt(self, now: float, version: ConfigVersion, previous: ConfigVersion) -> Outgoing:
        """It is decided; from now on nobody gets a lease on less from us. (A4)"""
        if version.number <= self.newest.number or not self._persist(
            newest=version, previous=previous, promised=NO_BALLOT, accepted_ballot=NO_BALLOT, accepted=b""
        ):
            return []
        self.proposal = None
        self.log_lines.append(("charter_chosen", {"number": version.number, "digest": version.digest}))
        self.state_due_at = now
        return [(one, self._chosen_message()) for one in self._other_voters()]

    def _chosen_message(self) -> Message:
        return self._message(Kind.CHOSEN, body=self.newest.body, previous=self.state.previous.body)

    def on_message(self, now: float, message: Message) -> Outgoing:
        """A note that may be believed."""
        if self.halt_reason:
            return []
        if message.kind == Kind.LEASE_REQUEST:
            return self._grant_lease(now, message)
        epoch, writes = self.fences.get(message.sender, (0, 0))
        if message.epoch < epoch or (message.epoch > epoch and message.writes < writes):
            # A process before its present one, or one whose disk went back: it may have promised more. (A5)
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
                    self.proposal.ballot = (message.ballot[0], self.name)  # the next round begins above it
            case Kind.STATE:
                self.cleared[message.sender] = max(self.cleared.get(message.sender, 0), message.cleared)
                if message.slot > self.newest.number:
                    return [(message.sender, self._message(Kind.FETCH))]
            case Kind.ROLLED_BACK:
                if message.request_id == self.epoch and message.writes > self.state.writes:
                    self._halt(f"the disk has gone back: {self.state.writes} after {message.writes}")
            case Kind.FETCH:
                return [(message.sender, self._chosen_message())]
            case Kind.CHOSEN:
                try:
                    return self._adopt(now, decode(message.body), decode(message.previous))
                except VersionError as error:
                    self.log_lines.append(("council_refused", {"from": message.sender, "reason": str(error)}))
        return []

    def _grant_lease(self, now: float, message: Message) -> Outgoing:
        """A lease on the newest charter, to an agent that knows it; else word of it."""
        number = self.newest.number
        if message.slot < number:
            return [(message.sender, self._chosen_message())]
        if message.slot > number or now < self.inactive_until:
            return []
        self.grants[message.sender] = number, now + self.lease * (1 + MAX_CLOCK_DRIFT)
        cleared = number if self.in_force() else 0
        return [(message.sender, self._message(Kind.LEASE_GRANT, request_id=message.request_id, cleared=cleared))]
