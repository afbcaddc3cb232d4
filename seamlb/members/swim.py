"""Failure detection and dissemination of the SWIM family (Das, Gupta, Motivala 2002), with a local health score.

Does no I/O: callers pass in the time (seconds) and a random generator, and send the (address, message) pairs that are
returned, over a network that may lose, duplicate, delay or reorder. docs/design/members.md: which part is from where.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from seamlb.members.wire import MAX_META_BYTES, Datagram, Kind, Record, Status

PERIOD_S = 1.0  # between two probes by this instance
RETRY_SHARE = 0.3  # of the probe timeout, from the ping to the first retry and from there to the next
MAX_PROBE_RETRIES = 2  # each pings the target again and asks others to ping it
INDIRECT_PROBES = 3  # members that are asked to ping the target
SUSPICION_PERIODS = 6.0  # probe periods, times log10 of the group size, from suspicion to death
SUSPECT_PROBERS = 10  # expected number of members that probe a suspect next when they learn of the suspicion
RETRANSMIT_FACTOR = 3.0  # times log2 of the group size: how often a member's record is piggybacked
MAX_HEALTH = 8  # highest local health score; timeouts are multiplied by 1 + score
STALL_S = 2.0  # between two ticks: from here on this process counts as stalled
RECONNECT_INTERVAL_S = 3.0  # between two pings to a dead member or a seed, which heal a partition
JOIN_INTERVAL_S = 0.25  # between two such pings while no peer is alive, and between two syncs while joining
SYNC_INTERVAL_S = 5.0  # mean time between two exchanges of records with a random peer
JOIN_PHASE_S = 5.0  # after a start: sync every JOIN_INTERVAL_S
MAX_JOIN_PHASE_S = 60.0  # the same, as long as a new member was discovered within GROWTH_WINDOW_S
GROWTH_WINDOW_S = 2.0
DEAD_RETENTION_S = 300.0  # for which the records of dead members are kept
MAX_DEAD_MEMBERS = 256  # records of dead members that are kept
DUPLICATE_TTL_S = 30.0  # for which a report of a second process with this name counts
CONFLICT_CONFIRM_S = 1.0  # for which an older process must keep sending: a single datagram may only be delayed

Outgoing = list[tuple[str, Datagram]]


@dataclass(slots=True)
class Member:
    """Another instance's latest record."""

    record: Record
    since: float  # when the status was set, s
    expiry: float = math.inf  # when a suspicion expires, s


@dataclass(slots=True)
class Probe:
    """The probe in flight; times in seconds."""

    target: str
    sequence: int
    retry_at: float
    deadline: float
    retries: int = 0


@dataclass(slots=True)
class Relay:
    """A ping sent on behalf of another member."""

    requester: str  # address
    sequence: int  # of the request
    target: str
    expires_at: float  # s


@dataclass(slots=True)
class Swim:
    """One instance's view of the group."""

    name: str
    address: str
    seeds: Sequence[str]
    incarnation: int  # Unix ms of the start, so that it rises over restarts under one name
    rng: random.Random
    now: float  # s
    members: dict[str, Member] = field(default_factory=dict)  # the other instances by name
    meta: bytes = b""
    meta_version: int = 0
    health: int = 0  # local health score: 0 is healthy, higher is slower
    duplicate: tuple[str, float] = ("", -math.inf)  # another process with this name: address, last report (s)
    pending_events: list[tuple[str, dict[str, object]]] = field(default_factory=list)  # to be logged
    left: bool = False
    probe: Probe | None = None
    probe_order: list[str] = field(default_factory=list)  # probed from the end
    relays: dict[int, Relay] = field(default_factory=dict)  # by sequence number of the relayed ping
    broadcasts: dict[str, int] = field(default_factory=dict)  # names of records to piggyback -> times sent
    conflicts: dict[tuple[str, str], float] = field(default_factory=dict)  # (name, address) -> first seen (s)
    last_sequence: int = 0
    next_probe: float = 0.0
    next_reconnect: float = 0.0
    next_sync: float = 0.0
    started_at: float = 0.0
    last_growth: float = -math.inf  # when a new member was last discovered

    def __post_init__(self) -> None:
        self.started_at = self.now
        self.next_probe = self.now + self.rng.random() * PERIOD_S  # spread over instances started together
        self.next_sync = self.now + self.rng.random() * JOIN_INTERVAL_S
        self.broadcasts[self.name] = 0

    # -- view of the group --------------------------------------------------------------------

    @property
    def own(self) -> Record:
        """This instance's own record."""
        status = Status.LEFT if self.left else Status.ALIVE
        return Record(self.name, self.address, self.incarnation, status, self.meta_version, self.meta)

    def alive_names(self) -> list[str]:
        """Sorted names of members that are alive or suspected, with this instance unless it has left."""
        found = [name for name, one in self.members.items() if one.record.status <= Status.SUSPECT]
        return sorted([*found, self.name] if not self.left else found)

    @property
    def has_duplicate(self) -> bool:
        """Whether another process uses this name; then neither may perform singleton duties."""
        return self.now - self.duplicate[1] < DUPLICATE_TTL_S

    def _group_size(self) -> int:
        return 1 + sum(one.record.status <= Status.SUSPECT for one in self.members.values())

    # -- this instance's own state ------------------------------------------------------------

    def set_metadata(self, meta: bytes) -> None:
        """Publish metadata of at most MAX_META_BYTES with this instance's record."""
        if len(meta) > MAX_META_BYTES:
            raise ValueError("metadata exceeds the maximum size")
        if meta != self.meta:
            self.meta, self.meta_version = meta, (self.meta_version + 1) & 0xFFFF
            self.broadcasts[self.name] = 0

    def leave(self, now: float) -> Outgoing:
        """Announce a graceful leave; the returned messages must be sent before the process exits."""
        self.now, self.left = now, True
        self.broadcasts[self.name] = 0
        recipients = self.rng.sample(self._alive_peers(), min(INDIRECT_PROBES * 2, len(self._alive_peers())))
        return [self._message(self.members[name].record.address, Kind.SYNC) for name in recipients]

    # -- timers -------------------------------------------------------------------------------

    def tick(self, now: float) -> Outgoing:
        """Run all timers; to be called ten times a second."""
        stalled, self.now = now - self.now > STALL_S, now
        if self.left:
            return []
        out: Outgoing = []
        if stalled:
            # Messages were missed because this process stalled, so no other member is suspected for it.
            self._degrade_health(2)
            self.probe = None
            for one in self.members.values():
                one.expiry = max(one.expiry, now + PERIOD_S * 2) if one.record.status == Status.SUSPECT else math.inf
        self.relays = {sequence: one for sequence, one in self.relays.items() if one.expires_at > now}
        for name, one in list(self.members.items()):
            if one.record.status == Status.SUSPECT and now >= one.expiry:
                self._apply_record(_with_status(one.record, Status.DEAD))
            elif one.record.status >= Status.DEAD and now - one.since > DEAD_RETENTION_S:
                del self.members[name]
        self._prune_dead()
        out += self._step_probe()
        if now >= self.next_reconnect:
            out += self._reconnect()
        if now >= self.next_sync:
            out += self._start_sync()
        return out

    def _step_probe(self) -> Outgoing:
        now, probe, out = self.now, self.probe, Outgoing()
        if probe and probe.retries < MAX_PROBE_RETRIES and now >= probe.retry_at:
            # A packet loss of a few per cent must cause no suspicion: each one is disseminated to the whole group.
            probe.retries += 1
            probe.retry_at += PERIOD_S * RETRY_SHARE * (1 + self.health)
            if member := self.members.get(probe.target):
                out.append(self._message(member.record.address, Kind.PING, probe.sequence, probe.target))
            helpers = [name for name in self._alive_peers() if name != probe.target]
            for name in self.rng.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
                out.append(self._message(self.members[name].record.address, Kind.ASK, probe.sequence, probe.target))
        if probe and now >= probe.deadline:
            self.probe = None
            self._degrade_health(1)  # the fault may be on this side
            member = self.members.get(probe.target)
            if member and member.record.status == Status.ALIVE:
                self._apply_record(_with_status(member.record, Status.SUSPECT))
        if self.probe is None and now >= self.next_probe:
            self.next_probe = now + PERIOD_S
            if target := self._next_target():
                scale = 1 + self.health
                sequence = self._next_sequence()
                self.probe = Probe(target, sequence, now + PERIOD_S * RETRY_SHARE * scale, now + PERIOD_S * scale)
                record = self.members[target].record
                # A suspect gets its own record with the ping, so that it can refute the suspicion at once.
                priority = (record,) if record.status == Status.SUSPECT else ()
                out.append(self._message(record.address, Kind.PING, sequence, target, priority=priority))
        return out

    def _next_target(self) -> str:
        """The next member to probe: each one once per round, in an order shuffled by this instance; or ""."""
        while self.probe_order:
            name = self.probe_order.pop()
            if name in self.members and self.members[name].record.status <= Status.SUSPECT:
                return name
        self.probe_order = self._alive_peers()
        self.rng.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else ""

    def _reconnect(self) -> Outgoing:
        """Ping a dead member or a seed: after a partition, this merges both sides again."""
        isolated = not self._alive_peers()
        self.next_reconnect = self.now + (JOIN_INTERVAL_S if isolated else RECONNECT_INTERVAL_S)
        known = {one.record.address for one in self.members.values() if one.record.status <= Status.SUSPECT}
        targets = [one.record.address for one in self.members.values() if one.record.status == Status.DEAD]
        targets += [one for one in self.seeds if one != self.address and one not in known]
        return [self._message(self.rng.choice(targets), Kind.PING, self._next_sequence())] if targets else []

    def _start_sync(self) -> Outgoing:
        """Exchange a sample of records with a random peer: anti-entropy for updates that gossip has lost."""
        age = self.now - self.started_at
        joining = age < JOIN_PHASE_S or (age < MAX_JOIN_PHASE_S and self.now - self.last_growth < GROWTH_WINDOW_S)
        self.next_sync = self.now + (JOIN_INTERVAL_S if joining else SYNC_INTERVAL_S * (0.5 + self.rng.random()))
        peers = self._alive_peers()
        if not peers:
            return []
        return [self._message(self.members[self.rng.choice(peers)].record.address, Kind.SYNC, 1, sample=True)]

    def _prune_dead(self) -> None:
        dead = [name for name, one in self.members.items() if one.record.status >= Status.DEAD]
        for name in sorted(dead, key=lambda name: self.members[name].since)[: max(0, len(dead) - MAX_DEAD_MEMBERS)]:
            del self.members[name]

    # -- messages -----------------------------------------------------------------------------

    def received(self, now: float, address: str, message: Datagram) -> Outgoing:
        """Handle an authenticated message from an address; returns the messages to send."""
        self.now = max(self.now, now) if now - self.now <= STALL_S else self.now  # `tick` must detect the stall
        if self.left:
            return []
        out = self._note_sender(address, message)
        for record in message.records:
            self._merge_record(record)
        match message.kind:
            case Kind.PING:
                out.append(self._message(address, Kind.ACK, message.sequence, self.name))
            case Kind.ASK:
                if member := self.members.get(message.target):
                    sequence = self._next_sequence()
                    self.relays[sequence] = Relay(address, message.sequence, message.target, self.now + 2 * PERIOD_S)
                    out.append(self._message(member.record.address, Kind.PING, sequence, message.target))
            case Kind.ACK:
                if self.probe and (self.probe.sequence, self.probe.target) == (message.sequence, message.target):
                    self.probe = None
                    self.health = max(0, self.health - 1)
                elif relay := self.relays.pop(message.sequence, None):
                    out.append(self._message(relay.requester, Kind.ACK, relay.sequence, relay.target))
            case Kind.SYNC:
                if message.sequence:
                    out.append(self._message(address, Kind.SYNC, 0, sample=True))
            case Kind.CONFLICT:
                for record in message.records:
                    if record.name == self.name and record.address != self.address:
                        if not self.has_duplicate:
                            self.pending_events.append(("member_twin", {"address": record.address}))
                        self.duplicate = record.address, self.now
        return out

    def _note_sender(self, address: str, message: Datagram) -> Outgoing:
        """Take a message as proof that its sender is alive; only a new member or incarnation changes its record."""
        if message.sender == self.name:
            return []
        known = self.members.get(message.sender)
        if known is None or message.incarnation > known.record.incarnation:
            version, meta = (known.record.meta_version, known.record.meta) if known else (0, b"")
            self._apply_record(Record(message.sender, address, message.incarnation, Status.ALIVE, version, meta))
            return []
        if known.record.status != Status.ALIVE:
            # The sender may not know that it is suspected or dead here: its record lets it refute that.
            return [self._message(address, Kind.SYNC, priority=(known.record,))]
        if known.record.address != address and message.incarnation < known.record.incarnation:
            return self._report_conflict(known.record, address, message.incarnation)
        return []

    def _report_conflict(self, record: Record, address: str, incarnation: int) -> Outgoing:
        """An older process still sends under a known member's name: report each of the two to the other."""
        self.conflicts = {key: at for key, at in self.conflicts.items() if self.now - at < DUPLICATE_TTL_S}
        first = self.conflicts.setdefault((record.name, address), self.now)
        if self.now - first < CONFLICT_CONFIRM_S:
            return []
        other = Record(record.name, address, incarnation, Status.ALIVE)
        return [
            self._message(address, Kind.CONFLICT, priority=(record,)),
            self._message(record.address, Kind.CONFLICT, priority=(other,)),
        ]

    def _merge_record(self, record: Record) -> None:
        """Handle a record from a message; a wrong one of this instance is refuted with a higher incarnation."""
        if record.name != self.name:
            return self._apply_record(record)
        if record.address != self.address and record.incarnation < self.incarnation:
            return  # an earlier process with this name
        if record.status != Status.ALIVE and record.incarnation >= self.incarnation:
            self.incarnation = record.incarnation + 1
            self.broadcasts[self.name] = 0
            self._degrade_health(1)
            self.pending_events.append(("member_refuted", {"status": record.status.name.lower()}))

    def _apply_record(self, new: Record) -> None:
        """Accept another member's record if it is newer than the known one."""
        known = self.members.get(new.name)
        if known is not None:
            old = known.record
            newer = (new.incarnation, new.status) > (old.incarnation, old.status)
            fresher = (
                new.incarnation == old.incarnation and 0 < (new.meta_version - old.meta_version) & 0xFFFF < 0x8000
            )
            if not newer and not fresher:
                return
            if not newer:
                new = _with_status(new, old.status)
            elif not fresher and new.incarnation == old.incarnation:
                new = Record(new.name, new.address, new.incarnation, new.status, old.meta_version, old.meta)
        elif new.status >= Status.DEAD:
            return  # dead members that were never known are ignored
        changed = known is None or known.record.status != new.status
        alive_again = known is not None and known.record.status >= Status.DEAD and new.status <= Status.SUSPECT
        if known is None or changed:
            self.members[new.name] = Member(new, self.now)
        else:
            known.record = new
        member = self.members[new.name]
        if new.status == Status.SUSPECT and changed:
            member.expiry = self.now + SUSPICION_PERIODS * PERIOD_S * max(1.0, math.log10(self._group_size()))
            if self.rng.random() * self._group_size() < SUSPECT_PROBERS:
                self.probe_order.append(new.name)  # probed next: it must learn of the suspicion to refute it
        self.broadcasts[new.name] = 0
        if known is None:
            self.last_growth = self.now
        if known is None or alive_again:
            self.pending_events.append(("member_joined", {"name": new.name, "address": new.address}))
        elif changed and new.status >= Status.SUSPECT:
            self.pending_events.append((f"member_{new.status.name.lower()}", {"name": new.name}))

    # -- sending ------------------------------------------------------------------------------

    def _alive_peers(self) -> list[str]:
        return [name for name, one in self.members.items() if one.record.status <= Status.SUSPECT]

    def _degrade_health(self, penalty: int) -> None:
        self.health = min(MAX_HEALTH, self.health + penalty)

    def _next_sequence(self) -> int:
        self.last_sequence = (self.last_sequence + 1) & 0x7FFFFFFF
        return self.last_sequence

    def _message(
        self,
        address: str,
        kind: Kind,
        sequence: int = 0,
        target: str = "",
        sample: bool = False,
        priority: tuple[Record, ...] = (),
    ) -> tuple[str, Datagram]:
        """Build a message filled with pending broadcasts, least-sent first; `sample` adds up to 8 random records."""
        records = list(priority)
        message = Datagram(kind, self.name, self.incarnation, sequence, target)
        room = message.room() - sum(len(one.encode()) for one in records)
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(self._group_size() + 1))
        included = {one.name for one in records}
        for name in sorted(self.broadcasts, key=self.broadcasts.__getitem__):
            if name in included:
                continue
            record = self.own if name == self.name else (self.members[name].record if name in self.members else None)
            if record is None or self.broadcasts[name] >= limit:
                del self.broadcasts[name]
                continue
            if len(record.encode()) > room:
                break
            room -= len(record.encode())
            records.append(record)
            included.add(name)
            self.broadcasts[name] += 1
        if sample:
            candidates = [self.own, *(one.record for one in self.members.values())]
            for record in self.rng.sample(candidates, min(8, len(candidates))):
                if record.name not in included and len(record.encode()) <= room:
                    room -= len(record.encode())
                    records.append(record)
        return address, Datagram(kind, self.name, self.incarnation, sequence, target, tuple(records))


def _with_status(record: Record, status: Status) -> Record:
    return Record(record.name, record.address, record.incarnation, status, record.meta_version, record.meta)
