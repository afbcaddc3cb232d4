"""Who is alive: probes, suspicion and gossip in the SWIM family (Das, Gupta, Motivala 2002), with local health.

Pure: time is seconds given in, randomness a seed; messages come back as (address, message) and whoever carries them
may lose, double, delay or reorder them. docs/design/members.md says what was taken from which variant.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from seamlb.members.wire import META_MOST, Datagram, Item, Kind, Status

PERIOD = 1.0  # seconds between two probes of ours
DIRECT = 0.3  # of a probe's time, after which it is asked again and others are asked to try, and so once more
TRIES = 2  # how often
HELPERS = 3  # whom we ask
SUSPICION = 6.0  # periods times log10 of the fleet's size, before who is suspected counts as dead
ASKERS = 10  # how many of those who hear of a suspicion ask the suspect next
SPREAD = 3.0  # times log2 of the fleet's size: how often word of one instance is passed on
HEALTH_MOST = 8  # the slower we are ourselves, the longer we wait for others: so many times more at most
STALL = 2.0  # seconds between two looks at the clock that tell of a stall of ours
KNOCK = 3.0  # seconds between two words to one who is dead or a seed, which heal a partition
HURRY = 0.25  # the same while we know nobody
SYNC = 5.0  # seconds between two exchanges of a part of the list with somebody
JOINING = 5.0  # seconds after a start in which we ask for parts of the list every HURRY,
JOINED = 60.0  # and at most, while somebody new was heard of within GREW
GREW = 2.0
TOMB = 300.0  # seconds for which the dead are remembered
TOMBS = 256  # dead that are remembered at most
TWIN = 30.0  # seconds for which a second process with our name is believed in
STALE = 1.0  # seconds over which an old process with a name must be heard to be no late datagram

Out = list[tuple[str, Datagram]]


@dataclass(slots=True)
class Member:
    """What is believed of one instance."""

    item: Item
    since: float  # of its status
    dead_at: float = math.inf  # when suspicion ends


@dataclass(slots=True)
class Probe:
    """A question that is out."""

    target: str
    number: int
    ask_at: float
    over_at: float
    asked: int = 0  # how often others were


@dataclass(slots=True)
class Relay:
    """A probe that is somebody else's."""

    asker: str  # address
    number: int
    target: str
    until: float


@dataclass(slots=True)
class Swim:
    """One instance's view of all."""

    name: str
    address: str
    seeds: Sequence[str]
    incarnation: int  # Unix milliseconds of the start: a name's next process is above all that it ever had
    rng: random.Random
    now: float
    members: dict[str, Member] = field(default_factory=dict)  # the others
    meta: bytes = b""
    meta_version: int = 0
    health: int = 0  # 0: well
    twin: tuple[str, float] = ("", -math.inf)  # address of another process with our name, and when it was heard of
    pending_events: list[tuple[str, dict[str, object]]] = field(default_factory=list)  # log lines that are due
    left: bool = False
    probe: Probe | None = None
    ring: list[str] = field(default_factory=list)
    relays: dict[int, Relay] = field(default_factory=dict)
    news: dict[str, int] = field(default_factory=dict)  # whose word is passed on, and how often it was
    stale: dict[tuple[str, str], float] = field(default_factory=dict)
    numbers: int = 0
    next_probe: float = 0.0
    next_knock: float = 0.0
    next_sync: float = 0.0
    began: float = 0.0
    grew: float = -math.inf  # when somebody new was heard of

    def __post_init__(self) -> None:
        self.began = self.now
        self.next_probe = self.now + self.rng.random() * PERIOD  # not all at the same moment
        self.next_sync = self.now + self.rng.random() * HURRY
        self.news[self.name] = 0

    # -- what follows -------------------------------------------------------------------------

    @property
    def own(self) -> Item:
        """Word of ourselves."""
        status = Status.LEFT if self.left else Status.ALIVE
        return Item(self.name, self.address, self.incarnation, status, self.meta_version, self.meta)

    def living(self) -> list[str]:
        """Who is not known to be gone, ourselves included: who is suspected counts as alive."""
        found = [name for name, one in self.members.items() if one.item.status <= Status.SUSPECT]
        return sorted([*found, self.name] if not self.left else found)

    @property
    def twinned(self) -> bool:
        """Has another process our name? Then neither may serve a duty."""
        return self.now - self.twin[1] < TWIN

    def _size(self) -> int:
        return 1 + sum(one.item.status <= Status.SUSPECT for one in self.members.values())

    # -- what we say of ourselves -------------------------------------------------------------

    def set_metadata(self, meta: bytes) -> None:
        """What the others are to know of us, META_MOST bytes at most."""
        if len(meta) > META_MOST:
            raise ValueError("more than a datagram holds")
        if meta != self.meta:
            self.meta, self.meta_version = meta, (self.meta_version + 1) & 0xFFFF
            self.news[self.name] = 0

    def leave(self, now: float) -> Out:
        """Say that we go; what comes back is to be sent before the process ends."""
        self.now, self.left = now, True
        self.news[self.name] = 0
        near = self.rng.sample(self._living(), min(HELPERS * 2, len(self._living())))
        return [self._send(self.members[name].item.address, Kind.SYNC) for name in near]

    # -- time ---------------------------------------------------------------------------------

    def tick(self, now: float) -> Out:
        """Time has passed; call it ten times a second."""
        stalled, self.now = now - self.now > STALL, now
        if self.left:
            return []
        out: Out = []
        if stalled:
            # What we did not hear meanwhile is our own fault: nobody is accused of it.
            self._ail(2)
            self.probe = None
            for one in self.members.values():
                one.dead_at = max(one.dead_at, now + PERIOD * 2) if one.item.status == Status.SUSPECT else math.inf
        self.relays = {number: one for number, one in self.relays.items() if one.until > now}
        for name, one in list(self.members.items()):
            if one.item.status == Status.SUSPECT and now >= one.dead_at:
                self._believe(_with(one.item, Status.DEAD))
            elif one.item.status >= Status.DEAD and now - one.since > TOMB:
                del self.members[name]
        self._bury()
        out += self._probe()
        if now >= self.next_knock:
            out += self._knock()
        if now >= self.next_sync:
            out += self._sync()
        return out

    def _probe(self) -> Out:
        now, probe, out = self.now, self.probe, Out()
        if probe and probe.asked < TRIES and now >= probe.ask_at:
            # A loss of a few in a hundred must accuse nobody: word of each suspicion goes round the whole fleet.
            probe.asked += 1
            probe.ask_at += PERIOD * DIRECT * (1 + self.health)
            if member := self.members.get(probe.target):
                out.append(self._send(member.item.address, Kind.PING, probe.number, probe.target))
            helpers = [name for name in self._living() if name != probe.target]
            for name in self.rng.sample(helpers, min(HELPERS, len(helpers))):
                out.append(self._send(self.members[name].item.address, Kind.ASK, probe.number, probe.target))
        if probe and now >= probe.over_at:
            self.probe = None
            self._ail(1)  # perhaps it is us
            member = self.members.get(probe.target)
            if member and member.item.status == Status.ALIVE:
                self._believe(_with(member.item, Status.SUSPECT))
        if self.probe is None and now >= self.next_probe:
            self.next_probe = now + PERIOD
            if target := self._next():
                slow = 1 + self.health
                number = self._number()
                self.probe = Probe(target, number, now + PERIOD * DIRECT * slow, now + PERIOD * slow)
                item = self.members[target].item
                # Who is suspected is told so first: it can say no at once.
                first = (item,) if item.status == Status.SUSPECT else ()
                out.append(self._send(item.address, Kind.PING, number, target, first=first))
        return out

    def _next(self) -> str:
        """Whom to probe: everybody once in a round, in an order of our own."""
        while self.ring:
            name = self.ring.pop()
            if name in self.members and self.members[name].item.status <= Status.SUSPECT:
                return name
        self.ring = self._living()
        self.rng.shuffle(self.ring)
        return self.ring.pop() if self.ring else ""

    def _knock(self) -> Out:
        """A word to somebody who is dead, or to a seed: if it was a partition, both sides learn of each other."""
        alone = not self._living()
        self.next_knock = self.now + (HURRY if alone else KNOCK)
        known = {one.item.address for one in self.members.values() if one.item.status <= Status.SUSPECT}
        doors = [one.item.address for one in self.members.values() if one.item.status == Status.DEAD]
        doors += [one for one in self.seeds if one != self.address and one not in known]
        return [self._send(self.rng.choice(doors), Kind.PING, self._number())] if doors else []

    def _sync(self) -> Out:
        """Give a part of the list to somebody, who gives a part of its own: what gossip lost comes round."""
        age = self.now - self.began
        joining = age < JOINING or (age < JOINED and self.now - self.grew < GREW)
        self.next_sync = self.now + (HURRY if joining else SYNC * (0.5 + self.rng.random()))
        living = self._living()
        if not living:
            return []
        return [self._send(self.members[self.rng.choice(living)].item.address, Kind.SYNC, 1, some=True)]

    def _bury(self) -> None:
        dead = [name for name, one in self.members.items() if one.item.status >= Status.DEAD]
        for name in sorted(dead, key=lambda name: self.members[name].since)[: max(0, len(dead) - TOMBS)]:
            del self.members[name]

    # -- messages -----------------------------------------------------------------------------

    def received(self, now: float, address: str, message: Datagram) -> Out:
        """A message that may be believed, from an address."""
        self.now = max(self.now, now) if now - self.now <= STALL else self.now  # a stall is for `tick` to find
        if self.left:
            return []
        out = self._met(address, message)
        for item in message.items:
            self._hear(item)
        match message.kind:
            case Kind.PING:
                out.append(self._send(address, Kind.ACK, message.number, self.name))
            case Kind.ASK:
                if member := self.members.get(message.target):
                    number = self._number()
                    self.relays[number] = Relay(address, message.number, message.target, self.now + 2 * PERIOD)
                    out.append(self._send(member.item.address, Kind.PING, number, message.target))
            case Kind.ACK:
                if self.probe and (self.probe.number, self.probe.target) == (message.number, message.target):
                    self.probe = None
                    self.health = max(0, self.health - 1)
                elif relay := self.relays.pop(message.number, None):
                    out.append(self._send(relay.asker, Kind.ACK, relay.number, relay.target))
            case Kind.SYNC:
                if message.number:
                    out.append(self._send(address, Kind.SYNC, 0, some=True))
            case Kind.CONFLICT:
                for item in message.items:
                    if item.name == self.name and item.address != self.address:
                        if not self.twinned:
                            self.pending_events.append(("member_twin", {"address": item.address}))
                        self.twin = item.address, self.now
        return out

    def _met(self, address: str, message: Datagram) -> Out:
        """Who speaks lives: news only of somebody new or come back, as the rest is for word of its own."""
        if message.sender == self.name:
            return []
        known = self.members.get(message.sender)
        if known is None or message.incarnation > known.item.incarnation:
            version, meta = (known.item.meta_version, known.item.meta) if known else (0, b"")
            self._believe(Item(message.sender, address, message.incarnation, Status.ALIVE, version, meta))
            return []
        if known.item.status != Status.ALIVE:
            # It does not know what is said of it: told directly, it can say no.
            return [self._send(address, Kind.SYNC, first=(known.item,))]
        if known.item.address != address and message.incarnation < known.item.incarnation:
            return self._twins(known.item, address, message.incarnation)
        return []

    def _twins(self, item: Item, address: str, incarnation: int) -> Out:
        """An older process of a name speaks beside the one that is known: both are told of each other."""
        self.stale = {key: at for key, at in self.stale.items() if self.now - at < TWIN}
        first = self.stale.setdefault((item.name, address), self.now)
        if self.now - first < STALE:
            return []
        other = Item(item.name, address, incarnation, Status.ALIVE)
        return [
            self._send(address, Kind.CONFLICT, first=(item,)),
            self._send(item.address, Kind.CONFLICT, first=(other,)),
        ]

    def _hear(self, item: Item) -> None:
        """Word of somebody, from anybody."""
        if item.name != self.name:
            return self._believe(item)
        if item.address != self.address and item.incarnation < self.incarnation:
            return  # what we were before
        if item.status != Status.ALIVE and item.incarnation >= self.incarnation:
            self.incarnation = item.incarnation + 1
            self.news[self.name] = 0
            self._ail(1)
            self.pending_events.append(("member_refuted", {"status": item.status.name.lower()}))

    def _believe(self, item: Item) -> None:
        """Take word of another instance, if it is newer than what is known."""
        known = self.members.get(item.name)
        if known is not None:
            was = known.item
            newer = (item.incarnation, item.status) > (was.incarnation, was.status)
            fresher = (
                item.incarnation == was.incarnation and 0 < (item.meta_version - was.meta_version) & 0xFFFF < 0x8000
            )
            if not newer and not fresher:
                return
            if not newer:
                item = _with(item, was.status)
            elif not fresher and item.incarnation == was.incarnation:
                item = Item(item.name, item.address, item.incarnation, item.status, was.meta_version, was.meta)
        elif item.status >= Status.DEAD:
            return  # nothing to bury
        changed = known is None or known.item.status != item.status
        alive_again = known is not None and known.item.status >= Status.DEAD and item.status <= Status.SUSPECT
        if known is None or changed:
            self.members[item.name] = Member(item, self.now)
        else:
            known.item = item
        member = self.members[item.name]
        if item.status == Status.SUSPECT and changed:
            member.dead_at = self.now + SUSPICION * PERIOD * max(1.0, math.log10(self._size()))
            if self.rng.random() * self._size() < ASKERS:
                self.ring.append(item.name)  # the next one that we probe: it has to hear of it to say no
        self.news[item.name] = 0
        if known is None:
            self.grew = self.now
        if known is None or alive_again:
            self.pending_events.append(("member_joined", {"name": item.name, "address": item.address}))
        elif changed and item.status >= Status.SUSPECT:
            self.pending_events.append((f"member_{item.status.name.lower()}", {"name": item.name}))

    # -- sending ------------------------------------------------------------------------------

    def _living(self) -> list[str]:
        return [name for name, one in self.members.items() if one.item.status <= Status.SUSPECT]

    def _ail(self, more: int) -> None:
        self.health = min(HEALTH_MOST, self.health + more)

    def _number(self) -> int:
        self.numbers = (self.numbers + 1) & 0x7FFFFFFF
        return self.numbers

    def _send(
        self,
        address: str,
        kind: Kind,
        number: int = 0,
        target: str = "",
        some: bool = False,
        first: tuple[Item, ...] = (),
    ) -> tuple[str, Datagram]:
        """A message with as much word of others as it holds, the least told first; `some`: of any others too."""
        items = list(first)
        message = Datagram(kind, self.name, self.incarnation, number, target)
        room = message.room() - sum(len(one.encode()) for one in items)
        limit = SPREAD * math.ceil(math.log2(self._size() + 1))
        named = {one.name for one in items}
        for name in sorted(self.news, key=self.news.__getitem__):
            if name in named:
                continue
            item = self.own if name == self.name else (self.members[name].item if name in self.members else None)
            if item is None or self.news[name] >= limit:
                del self.news[name]
                continue
            if len(item.encode()) > room:
                break
            room -= len(item.encode())
            items.append(item)
            named.add(name)
            self.news[name] += 1
        if some:
            pool = [self.own, *(one.item for one in self.members.values())]
            for item in self.rng.sample(pool, min(8, len(pool))):
                if item.name not in named and len(item.encode()) <= room:
                    room -= len(item.encode())
                    items.append(item)
        return address, Datagram(kind, self.name, self.incarnation, number, target, tuple(items))


def _with(item: Item, status: Status) -> Item:
    return Item(item.name, item.address, item.incarnation, status, item.meta_version, item.meta)
