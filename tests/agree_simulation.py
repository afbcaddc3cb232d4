"""Simulated agents and voters on a virtual clock: lost, doubled and delayed messages, crashes, stalls, disks."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from seamlb.agree.lease import LeaseHolder, LeaseState
from seamlb.agree.messages import Message, decode
from seamlb.agree.persisted_state import PersistedState, decode_state
from seamlb.agree.relations import RELATIONS
from seamlb.agree.version import ConfigVersion, Rule
from seamlb.agree.voter import Voter

LEASE = 2.0  # s
TICK = 0.1  # s
MEAN_DELAY = 0.05  # s, of a message
ZONES = ["east", "north", "south", "west"]


def founding_version(agents: int, voters: int) -> ConfigVersion:
    names = tuple(f"a{n:03}" for n in range(agents))
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
    """The next version, with one or two rules changed at random."""
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
    """One agent, perhaps a voter, with a clock that is slightly fast or slow (`clock_rate`)."""

    name: str
    clock_rate: float
    holder: LeaseHolder
    voter: Voter | None = None
    disk: bytes = b""
    running: bool = True
    stalled_until: float = 0.0
    inbox: list[Message] = field(default_factory=list)


class World:
    """Runs in steps of TICK; `is_cut(sender, receiver)` tells whether messages between the two are lost."""

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
        """Starts a process from what is on its disk."""

        def save(body: bytes) -> None:
            node.disk = body

        now = self.now * node.clock_rate
        state = decode_state(node.disk) if node.disk else None
        first = state.newest if state else self.first
        request_id = int(self.now * 1_000_000)
        node.holder = LeaseHolder(node.name, LEASE, first, state.previous if state else self.first, now, request_id)
        if state:
            node.voter = Voter(node.name, int(self.now * 1000) + 1, LEASE, state, now, save, self.rng)

    def crash(self, name: str) -> None:
        self.nodes[name].running = False

    def restart(self, name: str) -> None:
        node = self.nodes[name]
        node.running, node.inbox, node.stalled_until = True, [], 0.0
        self._start(node)

    def restart_all(self) -> None:
        """Restarts all agents that are down."""
        for name, node in self.nodes.items():
            if not node.running:
                self.restart(name)

    def stall(self, name: str, seconds: float) -> None:
        self.nodes[name].stalled_until = self.now + seconds

    def send(self, sender: Node, out: list[tuple[str, Message]]) -> None:
        for to, message in out:
            data = message.encode()
            self.bytes += len(data)
            for _ in range(2 if self.rng.random() < 0.02 else 1):
                if to == sender.name or self.rng.random() >= self.loss:
                    self.count += 1
                    delay_s = 0.0 if to == sender.name else self.delay()
                    heapq.heappush(self.in_flight, (self.now + delay_s, self.count, f"{sender.name} {to}", data))

    def propose(self, name: str, version: ConfigVersion) -> str:
        node = self.nodes[name]
        if not node.running or node.voter is None or self.now < node.stalled_until:
            return "not running"
        reason, out = node.voter.propose(self.now * node.clock_rate, version)
        self.send(node, out)
        return reason

    def step(self) -> None:
        self.now += TICK
        while self.in_flight and self.in_flight[0][0] <= self.now:
            _, _, route, data = heapq.heappop(self.in_flight)
            sender, to = route.split(" ")
            if not self.is_cut(sender, to) and self.nodes[to].running:
                self.nodes[to].inbox.append(decode(data))
        for node in self.nodes.values():
            if not node.running or self.now < node.stalled_until:
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

    def _record_chosen(self, node: Node) -> None:
        newest = node.voter.newest if node.voter else self.first
        if self.chosen.setdefault(newest.number, newest.digest) != newest.digest:
            self.violations.append(f"{self.now:.1f}: two versions have number {newest.number}")

    def audit(self) -> None:
        """Records agents whose values violate a version that another agent applies as in force."""
        active = [node for node in self.nodes.values() if node.running and self.now >= node.stalled_until]
        in_force = {}
        for node in active:
            if node.holder.lease_state(self.now * node.clock_rate) is LeaseState.IN_FORCE:
                in_force[node.holder.newest.number] = node.holder.newest
        if len(in_force) == 1 and all(node.holder.newest.number in in_force for node in active):
            return
        for node in active:
            values = node.holder.values(self.now * node.clock_rate)
            for number, version in in_force.items():
                for name, rule in version.rules.items():
                    if not RELATIONS[rule.kind].complies(node.name, values[name], rule.value):
                        self.violations.append(f"{self.now:.1f}: {node.name} violates {name} of {number}")

    def count_in_force(self, number: int) -> int:
        """The number of agents that apply this version as in force."""
        return sum(
            node.running
            and node.holder.newest.number == number
            and node.holder.lease_state(self.now * node.clock_rate) is LeaseState.IN_FORCE
            for node in self.nodes.values()
        )
