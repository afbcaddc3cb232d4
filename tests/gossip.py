"""A network of instances on a virtual clock: delay, loss, doubles, partitions, stalls, restarts; all by a seed."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from typing import Any

from seamlb.members.guard import Guard
from seamlb.members.swim import Out, Swim
from seamlb.members.wire import Status

KEY = {1: b"k" * 32}
TICK = 0.1
EPOCH = 1_000_000.0  # Unix time of the clock's nought


class VirtualNetwork:
    """Instances i0, i1, ..., each with its view; what they send goes through the wire's bytes."""

    def __init__(
        self,
        size: int,
        seed: int = 1,
        loss: float = 0.0,
        delay: float = 0.02,
        doubles: float = 0.0,
        wire: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.now, self.loss, self.delay, self.doubles, self.wire = 0.0, loss, delay, doubles, wire
        self.queue: list[tuple[float, int, str, str, Any]] = []
        self.order = itertools.count()
        self.swims: dict[str, Swim] = {}  # by address
        self.guards: dict[str, Guard] = {}
        self.cut: set[tuple[str, str]] = set()  # (from, to): nothing gets through
        self.stalled: dict[str, float] = {}  # until when an instance does nothing
        self.bytes_sent: Counter[str] = Counter()  # bytes
        self.logged: list[tuple[float, str, str, dict[str, object]]] = []  # when, who, event, facts
        self.due: dict[str, float] = {}
        for number in range(size):
            self.start(f"i{number}")

    def address(self, name: str) -> str:
        number = int(name[1:])
        return f"10.0.{number // 250}.{number % 250 + 1}:7946"

    def start(self, name: str, address: str = "", seeds: tuple[str, ...] = ("i0", "i1", "i2")) -> Swim:
        """Start an instance, anew if there was one."""
        at = address or self.address(name)
        swim = Swim(
            name,
            at,
            [self.address(one) for one in seeds],
            int((EPOCH + self.now) * 1000),
            random.Random(self.rng.random()),
            self.now,
        )
        self.swims[at], self.guards[at] = swim, Guard(KEY, 1, EPOCH + self.now)
        self.due[at] = self.now + self.rng.random() * TICK
        return swim

    def kill(self, name: str) -> None:
        at = self.address(name)
        del self.swims[at], self.due[at]

    def of(self, name: str) -> Swim:
        return self.swims[self.address(name)]

    def partition(self, *sides: set[str]) -> None:
        """Names on different sides don't hear each other; without sides all is well."""
        self.cut = {
            (self.address(a), self.address(b))
            for one in sides
            for other in sides
            if one is not other
            for a in one
            for b in other
        }

    def send(self, source: str, out: Out) -> None:
        for target, message in out:
            data: Any = self.guards[source].seal(message, EPOCH + self.now) if self.wire else message
            self.bytes_sent[source] += len(data) if self.wire else 0
            if (source, target) in self.cut or self.rng.random() < self.loss:
                continue
            for _ in range(1 + (self.rng.random() < self.doubles)):
                at = self.now + self.delay * self.rng.expovariate(1.0)
                heapq.heappush(self.queue, (at, next(self.order), source, target, data))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            tick_at, who = min(((at, who) for who, at in self.due.items()), default=(end, ""))
            if self.queue and self.queue[0][0] <= min(tick_at, end):
                self.now, _, source, target, data = heapq.heappop(self.queue)
                self._deliver(source, target, data)
            elif tick_at < end:
                self.now = tick_at
                self.due[who] = tick_at + TICK
                if self.now >= self.stalled.get(who, 0.0):
                    self._done(who, self.swims[who].tick(self.now))
            else:
                self.now = end
                return

    def _deliver(self, source: str, target: str, data: Any) -> None:
        swim = self.swims.get(target)
        if swim is None:
            return
        if self.now < self.stalled.get(target, 0.0):  # waits in its socket
            heapq.heappush(self.queue, (self.stalled[target] + 0.001, next(self.order), source, target, data))
            return
        message = self.guards[target].open(data, source, EPOCH + self.now) if self.wire else data
        if message:
            self._done(target, swim.received(self.now, source, message))

    def _done(self, who: str, out: Out) -> None:
        swim = self.swims[who]
        self.logged += [(self.now, swim.name, event, facts) for event, facts in swim.pending_events]
        swim.pending_events.clear()
        self.send(who, out)

    # -- what is seen -------------------------------------------------------------------------

    def converged(self, names: set[str], among: set[str] | None = None) -> bool:
        """Do they all know just these as living?"""
        return all(
            set(swim.living()) == names
            for swim in self.swims.values()
            if swim.name in (among if among is not None else names)
        )

    def run_until_converged(self, names: set[str], most: float = 120.0, among: set[str] | None = None) -> float:
        """Seconds until they do; most if they don't."""
        began = self.now
        while not self.converged(names, among) and self.now - began < most:
            self.run(0.25)
        return self.now - began

    def events(self, event: str, name: str = "") -> list[tuple[float, str]]:
        """When, and who said so; of one instance if it is named."""
        return [
            (at, who)
            for at, who, what, facts in self.logged
            if what == event and (not name or facts.get("name") == name)
        ]

    def status(self, who: str, of: str) -> Status | None:
        member = self.of(who).members.get(of)
        return member.item.status if member else None
