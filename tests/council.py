"""Agents and their council on a virtual clock: a network that loses, doubles and delays, crashes, stalls, disks."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from seamlb.agree.charter import ConfigVersion, Rule
from seamlb.agree.council import Voter
from seamlb.agree.holder import LeaseHolder, LeaseState
from seamlb.agree.kept import PersistedState, decode_state
from seamlb.agree.notes import Message, decode
from seamlb.agree.relations import RELATIONS

LEASE = 2.0
TICK = 0.1
MEAN_DELAY = 0.05  # seconds of a note on its way
ZONES = ["east", "north", "south", "west"]


def founding_version(agents: int, voters: int) -> ConfigVersion:
    names = tuple(f"a{place:03}" for place in range(agents))
    parts = dict.fromkeys(names, 1.0)
    return ConfigVersion(
        1,
        "",
        names[:voters],
        names,
        {
            "divisor": Rule(
                "share",
                {"whole": 2.0 * agents, "parts": parts},
                {"whole": 2.0 * agents, "parts": dict.fromkeys(names, 0.25)},
            ),
            "held": Rule("held", [], ["d1", "d2", "d3"]),
            "limit": Rule("limit", 100, 10),
            "owner": Rule("owner", names[0], ""),
            "left": Rule("left", {"zones": ZONES, "left": []}, {"zones": ZONES, "left": []}),
            "note": Rule("free", "", ""),
        },
    )


def random_successor(version: ConfigVersion, rng: random.Random) -> ConfigVersion:
    """A charter that follows, with one or two of its rules changed."""
    whole = len(version.agents) * 2.0
    parts = {name: 0.25 + rng.random() for name in version.agents}
    values = {
        "divisor": {"whole": whole, "parts": parts},
        "held": sorted(rng.sample(["d1", "d2", "d3"], rng.randint(0, 3))),
        "limit": rng.randint(10, 200),
        "owner": rng.choice(version.agents),
        "left": {"zones": ZONES, "left": sorted(rng.sample(ZONES, rng.randint(0, 3)))},
        "note": str(rng.random()),
    }
    return version.with_values(**{name: values[name] for name in rng.sample(sorted(values), rng.randint(1, 2))})


@dataclass
class Node:
    """One agent, perhaps a member of the council; its clock runs a little too fast or slow."""

    name: str
    clock_rate: float
    holder: LeaseHolder
    voter: Voter | None = None
    disk: bytes = b""
    up: bool = True
    stalled_until: float = 0.0
    inbox: list[Message] = field(default_factory=list)


class World:
    """Steps of TICK; `cut` says which of two nodes can't hear each other."""

    def __init__(self, seed: int, agents: int, voters: int, loss: float = 0.0) -> None:
        self.rng, self.loss, self.now, self.count = random.Random(seed), loss, 0.0, 0
        self.delay: Callable[[], float] = lambda: self.rng.expovariate(1.0 / MEAN_DELAY)
        self.first = founding_version(agents, voters)
        self.is_cut: Callable[[str, str], bool] = lambda a, b: False
        self.in_flight: list[tuple[float, int, str, bytes]] = []
        self.chosen: dict[int, str] = {1: self.first.digest}
        self.violations: list[str] = []
        self.bytes = 0
        self.nodes = {name: self._node(name) for name in self.first.agents}

    def _node(self, name: str) -> Node:
        node = Node(
            name, 1.0 + self.rng.uniform(-0.009, 0.009), LeaseHolder(name, LEASE, self.first, self.first, 0.0, 0)
        )
        if name in self.first.voters:
            node.disk = PersistedState(self.first, self.first).encode()
            self._start(node)
        return node

    def _start(self, node: Node) -> None:
        """Start a process from what its disk has."""

        def save(body: bytes) -> None:
            node.disk = body

        now = self.now * node.clock_rate
        state = decode_state(node.disk) if node.disk else None
        first = state.newest if state else self.first
        request_id = int(self.now * 1_000_000)
        node.holder = LeaseHolder(node.name, LEASE, first, state.previous if state else self.first, now, request_id)
        if state:
            node.voter = Voter(node.name, int(self.now * 1000) + 1, LEASE, state, now, save, self.rng)

    # -- faults -------------------------------------------------------------------------------

    def crash(self, name: str) -> None:
        self.nodes[name].up = False

    def restart(self, name: str) -> None:
        node = self.nodes[name]
        node.up, node.inbox, node.stalled_until = True, [], 0.0
        self._start(node)

    def restart_all(self) -> None:
        """Whoever is down."""
        for name, node in self.nodes.items():
            if not node.up:
                self.restart(name)

    def stall(self, name: str, seconds: float) -> None:
        self.nodes[name].stalled_until = self.now + seconds

    # -- time ---------------------------------------------------------------------------------

    def send(self, sender: Node, out: list[tuple[str, Message]]) -> None:
        for to, message in out:
            data = message.encode()
            self.bytes += len(data)
            for _ in range(2 if self.rng.random() < 0.02 else 1):
                if to == sender.name or self.rng.random() >= self.loss:
                    self.count += 1
                    wait = 0.0 if to == sender.name else self.delay()
                    heapq.heappush(self.in_flight, (self.now + wait, self.count, f"{sender.name} {to}", data))

    def propose(self, name: str, version: ConfigVersion) -> str:
        node = self.nodes[name]
        if not node.up or node.voter is None or self.now < node.stalled_until:
            return "not there"
        why, out = node.voter.propose(self.now * node.clock_rate, version)
        self.send(node, out)
        return why

    def step(self) -> None:
        self.now += TICK
        while self.in_flight and self.in_flight[0][0] <= self.now:
            _, _, route, data = heapq.heappop(self.in_flight)
            sender, to = route.split(" ")
            if not self.is_cut(sender, to) and self.nodes[to].up:
                self.nodes[to].inbox.append(decode(data))
        for node in self.nodes.values():
            if not node.up or self.now < node.stalled_until:
                continue
            now = self.now * node.clock_rate
            inbox, node.inbox = node.inbox, []
            for message in inbox:
                self.send(node, node.holder.on_message(now, message))
                if node.voter:
                    self.send(node, node.voter.on_message(now, message))
                    self._record_chosen(node)
            self.send(node, node.holder.tick(now))
            if node.voter:
                self.send(node, node.voter.tick(now))
        self.audit()

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.step()

    # -- what is counted ----------------------------------------------------------------------

    def _record_chosen(self, node: Node) -> None:
        newest = node.voter.newest if node.voter else self.first
        if self.chosen.setdefault(newest.number, newest.digest) != newest.digest:
            self.violations.append(f"{self.now:.1f}: two charters have number {newest.number}")

    def audit(self) -> None:
        """Whoever acts on a charter as in force finds nobody who acts beyond it."""
        running = [one for one in self.nodes.values() if one.up and self.now >= one.stalled_until]
        plain = {}
        for node in running:
            if node.holder.lease_state(self.now * node.clock_rate) is LeaseState.IN_FORCE:
                plain[node.holder.newest.number] = node.holder.newest
        if len(plain) == 1 and all(one.holder.newest.number in plain for one in running):
            return
        for node in running:
            values = node.holder.values(self.now * node.clock_rate)
            for number, version in plain.items():
                for name, rule in version.rules.items():
                    if not RELATIONS[rule.kind].complies(node.name, values[name], rule.value):
                        self.violations.append(f"{self.now:.1f}: {node.name} is beyond {name} of {number}")

    def count_in_force(self, number: int) -> int:
        """How many act on it as in force."""
        return sum(
            one.up
            and one.holder.newest.number == number
            and one.holder.lease_state(self.now * one.clock_rate) is LeaseState.IN_FORCE
            for one in self.nodes.values()
        )
