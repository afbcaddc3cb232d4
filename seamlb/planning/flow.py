"""Exact integer flows: the cheapest through a network, and the canonical one among the cheapest.

Successive shortest paths with potentials (Ahuja, Magnanti and Orlin, Network Flows, 1993, sections 9.7 and 10.2);
costs are Python integers, so one cost can hold several objectives in lexicographic order. Serves the solver, which
needs the flows of a fixed placement, and the repair, which has no solver at hand.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

INFINITE = 1 << 62


@dataclass(slots=True)
class Network:
    """A directed network; arc 2k is an arc as it was added, arc 2k+1 its reverse in the residual network."""

    out: list[list[int]] = field(default_factory=list)
    head: list[int] = field(default_factory=list)
    room: list[int] = field(default_factory=list)  # residual capacity
    cost: list[int] = field(default_factory=list)

    def node(self) -> int:
        """Add a node; returns its number."""
        self.out.append([])
        return len(self.out) - 1

    def arc(self, tail: int, head: int, room: int, cost: int = 0) -> int:
        """Add an arc; returns its number."""
        number = len(self.head)
        self.head += [head, tail]
        self.room += [room, 0]
        self.cost += [cost, -cost]
        self.out[tail].append(number)
        self.out[head].append(number + 1)
        return number

    def flow(self, arc: int) -> int:
        """What flows on an arc."""
        return self.room[arc ^ 1]

    def push(self, arc: int, amount: int) -> None:
        """Send more over an arc."""
        self.room[arc] -= amount
        self.room[arc ^ 1] += amount


def _acyclic_potentials(net: Network, source: int) -> list[int]:
    """Distances from the source along arcs with room, where these make no cycle of negative cost (Bellman-Ford)."""
    far = [INFINITE] * len(net.out)
    far[source] = 0
    queue, waiting = deque([source]), {source}
    while queue:
        tail = queue.popleft()
        waiting.discard(tail)
        base = far[tail]
        for arc in net.out[tail]:
            head = net.head[arc]
            if net.room[arc] and base + net.cost[arc] < far[head]:
                far[head] = base + net.cost[arc]
                if head not in waiting:
                    waiting.add(head)
                    queue.append(head)
    return far


def cheapest(net: Network, source: int, sink: int) -> list[int]:
    """Push from source to sink while that lowers the cost; returns potentials that prove the flow cheapest.

    The arcs with room must make no cycle of negative cost to begin with (a network without flow and without cycles,
    or the outcome of an earlier call with arcs added or flow taken off).
    """
    potential = _acyclic_potentials(net, source)
    reach = max((p for p in potential if p < INFINITE), default=0)
    potential = [p if p < INFINITE else reach for p in potential]
    while True:
        far = _dijkstra(net, source, potential)
        last = far[sink] if far[sink] < INFINITE else None
        # Nodes out of reach move as far as the sink, which keeps every reduced cost at nought or above.
        limit = last if last is not None else max((f for f in far if f < INFINITE), default=0)
        potential = [p + min(f, limit) for p, f in zip(potential, far, strict=True)]
        if last is None or potential[sink] - potential[source] >= 0:
            return potential
        _augment(net, source, sink, potential)


def _dijkstra(net: Network, source: int, potential: list[int]) -> list[int]:
    far = [INFINITE] * len(net.out)
    far[source] = 0
    heap = [(0, source)]
    head, room, cost = net.head, net.room, net.cost
    while heap:
        at, tail = heapq.heappop(heap)
        if at > far[tail]:
            continue
        base = at + potential[tail]
        for arc in net.out[tail]:
            if room[arc]:
                there = head[arc]
                new = base + cost[arc] - potential[there]
                if new < far[there]:
                    far[there] = new
                    heapq.heappush(heap, (new, there))
    return far


def _augment(net: Network, source: int, sink: int, potential: list[int]) -> None:
    """All that fits along arcs of reduced cost nought: blocking flows by level (Dinic), until there is no path."""
    while True:
        level = [-1] * len(net.out)
        level[source] = 0
        queue = deque([source])
        while queue and level[sink] < 0:
            tail = queue.popleft()
            for arc in net.out[tail]:
                head = net.head[arc]
                if net.room[arc] and level[head] < 0 and net.cost[arc] + potential[tail] == potential[head]:
                    level[head] = level[tail] + 1
                    queue.append(head)
        if level[sink] < 0:
            return
        tried = [0] * len(net.out)
        while path := _advance(net, source, sink, potential, level, tried):
            amount = min(net.room[arc] for arc in path)
            for arc in path:
                net.push(arc, amount)


def _advance(
    net: Network, source: int, sink: int, potential: list[int], level: list[int], tried: list[int]
) -> list[int]:
    """One path of the blocking flow, by depth first; an arc that leads nowhere is not tried again."""
    path: list[int] = []
    at = source
    while at != sink:
        arcs = net.out[at]
        while tried[at] < len(arcs):
            arc = arcs[tried[at]]
            head = net.head[arc]
            if net.room[arc] and level[head] == level[at] + 1 and net.cost[arc] + potential[at] == potential[head]:
                path.append(arc)
                at = head
                break
            tried[at] += 1
        else:
            if not path:
                return []
            at = net.head[path.pop() ^ 1]
            tried[at] += 1
    return path


def canonical(net: Network, potential: list[int], order: list[int], back: tuple[int, int]) -> None:
    """Among the flows of least cost, the one whose flows along `order` come greatest, compared in that order.

    A flow of least cost uses no residual arc but those of reduced cost nought, so any other one is reached along
    cycles of such arcs. `back` is (sink, source): the flow through may change where that costs nothing.
    """
    sink, source = back
    through = sum(net.flow(arc) for arc in net.out[source] if not arc & 1)
    net.room[net.arc(sink, source, INFINITE) ^ 1] = through  # closes the circulation
    tight = [net.cost[a] + potential[net.head[a ^ 1]] == potential[net.head[a]] for a in range(len(net.head))]
    component = _components(net, tight)
    frozen = [False] * (len(net.head) // 2)
    for arc in order:
        tail, head = net.head[arc ^ 1], net.head[arc]
        if tight[arc] and component[tail] == component[head]:
            while net.room[arc] and (path := _way(net, head, tail, tight, frozen, arc)):
                amount = min(net.room[arc], *(net.room[one] for one in path))
                for one in (arc, *path):
                    net.push(one, amount)
        frozen[arc // 2] = True


def _way(net: Network, source: int, sink: int, tight: list[bool], frozen: list[bool], arc: int) -> list[int]:
    """A shortest path of tight arcs with room that are not fixed yet, other than `arc`; empty if there is none."""
    via = {source: -1}
    queue = deque([source])
    while queue:
        tail = queue.popleft()
        for one in net.out[tail]:
            head = net.head[one]
            if net.room[one] and tight[one] and not frozen[one // 2] and one // 2 != arc // 2 and head not in via:
                via[head] = one
                if head == sink:
                    path = [one]
                    while (tail := net.head[path[-1] ^ 1]) != source:
                        path.append(via[tail])
                    return path
                queue.append(head)
    return []


def _components(net: Network, tight: list[bool]) -> list[int]:
    """Strongly connected components of the tight arcs with room (Tarjan 1972, without recursion).

    Flows can only change inside one, which spares most arcs a search.
    """
    count = len(net.out)
    index, low, component = [-1] * count, [0] * count, [-1] * count
    stack: list[int] = []
    visits = found = 0
    for root in range(count):
        if index[root] >= 0:
            continue
        work = [(root, 0)]
        while work:
            node, place = work.pop()
            if place == 0:
                index[node] = low[node] = visits
                visits += 1
                stack.append(node)
            arcs, deeper = net.out[node], False
            while place < len(arcs):
                arc = arcs[place]
                place += 1
                if not (net.room[arc] and tight[arc]):
                    continue
                head = net.head[arc]
                if index[head] < 0:
                    work += [(node, place), (head, 0)]
                    deeper = True
                    break
                if component[head] < 0:
                    low[node] = min(low[node], index[head])
            if deeper:
                continue
            if low[node] == index[node]:
                while True:
                    one = stack.pop()
                    component[one] = found
                    if one == node:
                        break
                found += 1
            if work:
                parent = work[-1][0]
                low[parent] = min(low[parent], low[node])
    return component
