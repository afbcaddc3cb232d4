"""Agents and their council on a virtual clock: a network that loses, doubles and delays, crashes, stalls, disks."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from seamlb.agree.charter import Charter, Field
from seamlb.agree.council import Member
from seamlb.agree.holder import Holder, Stance
from seamlb.agree.kept import Kept, read_kept
from seamlb.agree.notes import Note, decode
from seamlb.agree.relations import KINDS

LEASE = 2.0
TICK = 0.1
MEAN_DELAY = 0.05  # seconds of a note on its way
ZONES = ["east", "north", "south", "west"]


def founding(agents: int, council: int) -> Charter:
    names = tuple(f"a{place:03}" for place in range(agents))
    parts = dict.fromkeys(names, 1.0)
    return Charter(
        1,
        "",
        names[:council],
        names,
        {
            "divisor": Field(
                "share",
                {"whole": 2.0 * agents, "parts": parts},
                {"whole": 2.0 * agents, "parts": dict.fromkeys(names, 0.25)},
            ),
            "held": Field("held", [], ["d1", "d2", "d3"]),
            "limit": Field("limit", 100, 10),
            "owner": Field("owner", names[0], ""),
            "left": Field("left", {"zones": ZONES, "left": []}, {"zones": ZONES, "left": []}),
            "note": Field("free", "", ""),
        },
    )


def changed(charter: Charter, rng: random.Random) -> Charter:
    """A charter that follows, with one or two of its rules changed."""
    whole = len(charter.agents) * 2.0
    parts = {name: 0.25 + rng.random() for name in charter.agents}
    values = {
        "divisor": {"whole": whole, "parts": parts},
        "held": sorted(rng.sample(["d1", "d2", "d3"], rng.randint(0, 3))),
        "limit": rng.randint(10, 200),
        "owner": rng.choice(charter.agents),
        "left": {"zones": ZONES, "left": sorted(rng.sample(ZONES, rng.randint(0, 3)))},
        "note": str(rng.random()),
    }
    return charter.next(**{name: values[name] for name in rng.sample(sorted(values), rng.randint(1, 2))})


@dataclass
class Node:
    """One agent, perhaps a member of the council; its clock runs a little too fast or slow."""

    name: str
    rate: float
    holder: Holder
    member: Member | None = None
    disk: bytes = b""
    up: bool = True
    stalled_until: float = 0.0
    inbox: list[Note] = field(default_factory=list)


class World:
    """Steps of TICK; `cut` says which of two nodes can't hear each other."""

    def __init__(self, seed: int, agents: int, council: int, loss: float = 0.0) -> None:
        self.rng, self.loss, self.now, self.count = random.Random(seed), loss, 0.0, 0
        self.delay: Callable[[], float] = lambda: self.rng.expovariate(1.0 / MEAN_DELAY)
        self.first = founding(agents, council)
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.flying: list[tuple[float, int, str, bytes]] = []
        self.chosen: dict[int, str] = {1: self.first.digest}
        self.broken: list[str] = []
        self.bytes = 0
        self.nodes = {name: self._node(name) for name in self.first.agents}

    def _node(self, name: str) -> Node:
        node = Node(name, 1.0 + self.rng.uniform(-0.009, 0.009), Holder(name, LEASE, self.first, self.first, 0.0, 0))
        if name in self.first.council:
            node.disk = Kept(self.first, self.first).encode()
            self._wake(node)
        return node

    def _wake(self, node: Node) -> None:
        """Start a process from what its disk has."""

        def save(body: bytes) -> None:
            node.disk = body

        now = self.now * node.rate
        kept = read_kept(node.disk) if node.disk else None
        first = kept.newest if kept else self.first
        asked = int(self.now * 1_000_000)
        node.holder = Holder(node.name, LEASE, first, kept.before if kept else self.first, now, asked)
        if kept:
            node.member = Member(node.name, int(self.now * 1000) + 1, LEASE, kept, now, save, self.rng)

    # -- faults -------------------------------------------------------------------------------

    def crash(self, name: str) -> None:
        self.nodes[name].up = False

    def restart(self, name: str) -> None:
        node = self.nodes[name]
        node.up, node.inbox, node.stalled_until = True, [], 0.0
        self._wake(node)

    def restart_all(self) -> None:
        """Whoever is down."""
        for name, node in self.nodes.items():
            if not node.up:
                self.restart(name)

    def stall(self, name: str, seconds: float) -> None:
        self.nodes[name].stalled_until = self.now + seconds

    # -- time ---------------------------------------------------------------------------------

    def send(self, sender: Node, out: list[tuple[str, Note]]) -> None:
        for to, note in out:
            data = note.encode()
            self.bytes += len(data)
            for _ in range(2 if self.rng.random() < 0.02 else 1):
                if to == sender.name or self.rng.random() >= self.loss:
                    self.count += 1
                    wait = 0.0 if to == sender.name else self.delay()
                    heapq.heappush(self.flying, (self.now + wait, self.count, f"{sender.name} {to}", data))

    def propose(self, name: str, charter: Charter) -> str:
        node = self.nodes[name]
        if not node.up or node.member is None or self.now < node.stalled_until:
            return "not there"
        why, out = node.member.propose(self.now * node.rate, charter)
        self.send(node, out)
        return why

    def step(self) -> None:
        self.now += TICK
        while self.flying and self.flying[0][0] <= self.now:
            _, _, way, data = heapq.heappop(self.flying)
            sender, to = way.split(" ")
            if not self.cut(sender, to) and self.nodes[to].up:
                self.nodes[to].inbox.append(decode(data))
        for node in self.nodes.values():
            if not node.up or self.now < node.stalled_until:
                continue
            now = self.now * node.rate
            inbox, node.inbox = node.inbox, []
            for note in inbox:
                self.send(node, node.holder.received(now, note))
                if node.member:
                    self.send(node, node.member.received(now, note))
                    self._chose(node)
            self.send(node, node.holder.tick(now))
            if node.member:
                self.send(node, node.member.tick(now))
        self.audit()

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.step()

    # -- what is counted ----------------------------------------------------------------------

    def _chose(self, node: Node) -> None:
        newest = node.member.newest if node.member else self.first
        if self.chosen.setdefault(newest.number, newest.digest) != newest.digest:
            self.broken.append(f"{self.now:.1f}: two charters have number {newest.number}")

    def audit(self) -> None:
        """Whoever acts on a charter as in force finds nobody who acts beyond it."""
        acting = [one for one in self.nodes.values() if one.up and self.now >= one.stalled_until]
        plain = {}
        for node in acting:
            if node.holder.stance(self.now * node.rate) is Stance.PLAIN:
                plain[node.holder.newest.number] = node.holder.newest
        if len(plain) == 1 and all(one.holder.newest.number in plain for one in acting):
            return
        for node in acting:
            values = node.holder.values(self.now * node.rate)
            for number, charter in plain.items():
                for name, rule in charter.fields.items():
                    if not KINDS[rule.kind].keeps(node.name, values[name], rule.value):
                        self.broken.append(f"{self.now:.1f}: {node.name} is beyond {name} of {number}")

    def in_force(self, number: int) -> int:
        """How many act on it as in force."""
        return sum(
            one.up and one.holder.newest.number == number and one.holder.stance(self.now * one.rate) is Stance.PLAIN
            for one in self.nodes.values()
        )
