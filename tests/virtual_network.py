"""Simulated network of member instances on a virtual clock, with faults drawn from a seed.

Faults: delay, loss, duplicates, partitions, stalls and restarts.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from typing import Any

from seamlb.members.authentication import DatagramAuthenticator
from seamlb.members.swim import Outgoing, Swim
from seamlb.members.wire import Status

KEY = {1: b"k" * 32}
TICK_S = 0.1
EPOCH = 1_000_000.0  # Unix time (s) at the virtual clock's zero


class VirtualNetwork:
    """Instances i0, i1, ... that exchange datagrams; with `wire`, encoded and signed as on a real network."""

    def __init__(
        self,
        size: int,
        seed: int = 1,
        loss: float = 0.0,
        delay: float = 0.02,
        duplicates: float = 0.0,
        wire: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.now, self.loss, self.delay, self.duplicates, self.wire = 0.0, loss, delay, duplicates, wire
        self.queue: list[tuple[float, int, str, str, Any]] = []
        self.order = itertools.count()
        self.swims: dict[str, Swim] = {}  # by address
        self.authenticators: dict[str, DatagramAuthenticator] = {}
        self.blocked_links: set[tuple[str, str]] = set()  # (from, to)
        self.stalled_until: dict[str, float] = {}  # by address: end of a stalled process's stall
        self.bytes_sent: Counter[str] = Counter()
        self.logged: list[tuple[float, str, str, dict[str, object]]] = []  # time (s), instance, event, fields
        self.next_tick: dict[str, float] = {}
        for number in range(size):
            self.start(f"i{number}")

    def address(self, name: str) -> str:
        number = int(name[1:])
        return f"10.0.{number // 250}.{number % 250 + 1}:7946"

    def start(self, name: str, address: str = "", seeds: tuple[str, ...] = ("i0", "i1", "i2")) -> Swim:
        """Start or restart an instance."""
        at = address or self.address(name)
        swim = Swim(
            name,
            at,
            [self.address(one) for one in seeds],
            int((EPOCH + self.now) * 1000),
            random.Random(self.rng.random()),
            self.now,
        )
        self.swims[at], self.authenticators[at] = swim, DatagramAuthenticator(KEY, 1, EPOCH + self.now)
        self.next_tick[at] = self.now + self.rng.random() * TICK_S
        return swim

    def kill(self, name: str) -> None:
        at = self.address(name)
        del self.swims[at], self.next_tick[at]

    def instance(self, name: str) -> Swim:
        return self.swims[self.address(name)]

    def partition(self, *sides: set[str]) -> None:
        """Block all links between different sides; without arguments, unblock all links."""
        self.blocked_links = {
            (self.address(a), self.address(b))
            for one in sides
            for other in sides
            if one is not other
            for a in one
            for b in other
        }

    def send(self, source: str, out: Outgoing) -> None:
        for target, message in out:
            data: Any = self.authenticators[source].seal(message, EPOCH + self.now) if self.wire else message
            self.bytes_sent[source] += len(data) if self.wire else 0
            if (source, target) in self.blocked_links or self.rng.random() < self.loss:
                continue
            for _ in range(1 + (self.rng.random() < self.duplicates)):
                at = self.now + self.delay * self.rng.expovariate(1.0)
                heapq.heappush(self.queue, (at, next(self.order), source, target, data))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            tick_at, address = min(((at, address) for address, at in self.next_tick.items()), default=(end, ""))
            if self.queue and self.queue[0][0] <= min(tick_at, end):
                self.now, _, source, target, data = heapq.heappop(self.queue)
                self._deliver(source, target, data)
            elif tick_at < end:
                self.now = tick_at
                self.next_tick[address] = tick_at + TICK_S
                if self.now >= self.stalled_until.get(address, 0.0):
                    self._flush(address, self.swims[address].tick(self.now))
            else:
                self.now = end
                return

    def _deliver(self, source: str, target: str, data: Any) -> None:
        swim = self.swims.get(target)
        if swim is None:
            return
        if self.now < self.stalled_until.get(target, 0.0):  # stays in the socket's buffer
            heapq.heappush(self.queue, (self.stalled_until[target] + 0.001, next(self.order), source, target, data))
            return
        message = self.authenticators[target].open(data, source, EPOCH + self.now) if self.wire else data
        if message:
            self._flush(target, swim.received(self.now, source, message))

    def _flush(self, address: str, out: Outgoing) -> None:
        swim = self.swims[address]
        self.logged += [(self.now, swim.name, event, fields) for event, fields in swim.pending_events]
        swim.pending_events.clear()
        self.send(address, out)

    # -- assertions ---------------------------------------------------------------------------

    def converged(self, names: set[str], among: set[str] | None = None) -> bool:
        """Whether exactly `names` are alive in the view of each instance in `among` (by default, in `names`)."""
        return all(
            set(swim.alive_names()) == names
            for swim in self.swims.values()
            if swim.name in (among if among is not None else names)
        )

    def run_until_converged(self, names: set[str], timeout: float = 120.0, among: set[str] | None = None) -> float:
        """Run until `converged` or for `timeout` s; returns the virtual seconds that have passed."""
        began = self.now
        while not self.converged(names, among) and self.now - began < timeout:
            self.run(0.25)
        return self.now - began

    def events(self, event: str, name: str = "") -> list[tuple[float, str]]:
        """Time (s) and logging instance of each such event, or only of those about the member `name`."""
        return [
            (at, instance)
            for at, instance, what, fields in self.logged
            if what == event and (not name or fields.get("name") == name)
        ]

    def status(self, observer: str, name: str) -> Status | None:
        member = self.instance(observer).members.get(name)
        return member.record.status if member else None
