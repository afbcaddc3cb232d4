"""Exact integer min-cost flow, and the canonical flow among those of minimum cost.

Successive shortest paths with potentials (Ahuja, Magnanti and Orlin, Network Flows, 1993, sections 9.7 and 10.2).
Costs are Python integers, so one cost can encode several objectives in lexicographic order. Used by the solver for
the flows of a fixed placement, and by the repair, which runs without a solver.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

INFINITE = 1 << 62


@dataclass(slots=True)
class Network:
    """A directed network; arc 2k is an added arc, arc 2k+1 its reverse in the residual network."""

    out: list[list[int]] = field(default_factory=list)
    head: list[int] = field(default_factory=list)
    residual: list[int] = field(default_factory=list)  # residual capacity
    cost: list[int] = field(default_factory=list)

    def node(self) -> int:
        """Add a node; returns its number."""
        self.out.append([])
        return len(self.out) - 1

    def arc(self, tail: int, head: int, capacity: int, cost: int = 0) -> int:
        """Add an arc; returns its number."""
        number = len(self.head)
        self.head += [head, tail]
        self.residual += [capacity, 0]
        self.cost += [cost, -cost]
        self.out[tail].append(number)
        self.out[head].append(number + 1)
        return number

    def flow(self, arc: int) -> int:
        """Flow on an arc."""
        return self.residual[arc ^ 1]

    def push(self, arc: int, amount: int) -> None:
        """Increase the flow on an arc."""
        self.residual[arc] -= amount
        self.residual[arc ^ 1] += amount


def _bellman_ford(net: Network, source: int) -> list[int]:
    """Distances from the source along residual arcs, which must have no cycle of negative cost (Bellman-Ford)."""
    distance = [INFINITE] * len(net.out)
    distance[source] = 0
    queue, queued = deque([source]), {source}
    while queue:
        tail = queue.popleft()
        queued.discard(tail)
        tail_distance = distance[tail]
        for arc in net.out[tail]:
            head = net.head[arc]
            if net.residual[arc] and tail_distance + net.cost[arc] < distance[head]:
                distance[head] = tail_distance + net.cost[arc]
                if head not in queued:
                    queued.add(head)
                    queue.append(head)
    return distance


def min_cost_flow(net: Network, source: int, sink: int) -> list[int]:
    """Push flow from source to sink while that lowers the cost; returns potentials that prove the flow optimal.

    Initially the residual arcs must have no cycle of negative cost: a network without flow and without cycles, or the
    result of an earlier call with arcs added or flow removed.
    """
    potential = _bellman_ford(net, source)
    max_distance = max((p for p in potential if p < INFINITE), default=0)
    potential = [p if p < INFINITE else max_distance for p in potential]
    while True:
        distance = _dijkstra(net, source, potential)
        sink_distance = distance[sink] if distance[sink] < INFINITE else None
        # Unreachable nodes are moved as far as the sink, so that no reduced cost becomes negative.
        limit = sink_distance if sink_distance is not None else max((d for d in distance if d < INFINITE), default=0)
        potential = [p + min(d, limit) for p, d in zip(potential, distance, strict=True)]
        if sink_distance is None or potential[sink] - potential[source] >= 0:
            return potential
        _augment(net, source, sink, potential)


def _dijkstra(net: Network, source: int, potential: list[int]) -> list[int]:
    """Distances from the source by reduced cost."""
    distance = [INFINITE] * len(net.out)
    distance[source] = 0
    heap = [(0, source)]
    head, residual, cost = net.head, net.residual, net.cost
    while heap:
        reduced_distance, tail = heapq.heappop(heap)
        if reduced_distance > distance[tail]:
            continue
        tail_distance = reduced_distance + potential[tail]
        for arc in net.out[tail]:
            if residual[arc]:
                head_node = head[arc]
                head_distance = tail_distance + cost[arc] - potential[head_node]
                if head_distance < distance[head_node]:
                    distance[head_node] = head_distance
                    heapq.heappush(heap, (head_distance, head_node))
    return distance


def _augment(net: Network, source: int, sink: int, potential: list[int]) -> None:
    """Push all flow that arcs of reduced cost zero admit: blocking flows by level (Dinic) until no path is left."""
    while True:
        level = [-1] * len(net.out)
        level[source] = 0
        queue = deque([source])
        while queue and level[sink] < 0:
            tail = queue.popleft()
            for arc in net.out[tail]:
                head = net.head[arc]
                if net.residual[arc] and level[head] < 0 and net.cost[arc] + potential[tail] == potential[head]:
                    level[head] = level[tail] + 1
                    queue.append(head)
        if level[sink] < 0:
            return
        tried = [0] * len(net.out)
        while path := _advance(net, source, sink, potential, level, tried):
            amount = min(net.residual[arc] for arc in path)
            for arc in path:
                net.push(arc, amount)


def _advance(
    net: Network, source: int, sink: int, potential: list[int], level: list[int], tried: list[int]
) -> list[int]:
    """One path of the blocking flow by depth-first search; `tried` skips arcs that turned out to be dead ends."""
    path: list[int] = []
    node = source
    while node != sink:
        arcs = net.out[node]
        while tried[node] < len(arcs):
            arc = arcs[tried[node]]
            head = net.head[arc]
            if (
                net.residual[arc]
                and level[head] == level[node] + 1
                and net.cost[arc] + potential[node] == potential[head]
            ):
                path.append(arc)
                node = head
                break
            tried[node] += 1
        else:
            if not path:
                return []
            node = net.head[path.pop() ^ 1]
            tried[node] += 1
    return path


def canonicalize(net: Network, potential: list[int], order: list[int], back: tuple[int, int]) -> None:
    """Change a flow of minimum cost into the one whose flows along `order` are lexicographically greatest.

    Two flows of minimum cost differ only by cycles of residual arcs of reduced cost zero. `back` is (sink, source):
    an arc between them closes the circulation, so that the total flow may change where that costs nothing.
    """
    sink, source = back
    through = sum(net.flow(arc) for arc in net.out[source] if not arc & 1)
    net.residual[net.arc(sink, source, INFINITE) ^ 1] = through  # closes the circulation
    tight = [net.cost[a] + potential[net.head[a ^ 1]] == potential[net.head[a]] for a in range(len(net.head))]
    component = _components(net, tight)
    fixed = [False] * (len(net.head) // 2)
    for arc in order:
        tail, head = net.head[arc ^ 1], net.head[arc]
        if tight[arc] and component[tail] == component[head]:
            while net.residual[arc] and (path := _tight_path(net, head, tail, tight, fixed, arc)):
                amount = min(net.residual[arc], *(net.residual[step] for step in path))
                for step in (arc, *path):
                    net.push(step, amount)
        fixed[arc // 2] = True


def _tight_path(net: Network, source: int, sink: int, tight: list[bool], fixed: list[bool], skip: int) -> list[int]:
    """A shortest path of tight residual arcs without fixed flow, other than `skip`; empty if there is none."""
    via = {source: -1}
    queue = deque([source])
    while queue:
        tail = queue.popleft()
        for arc in net.out[tail]:
            head = net.head[arc]
            if net.residual[arc] and tight[arc] and not fixed[arc // 2] and arc // 2 != skip // 2 and head not in via:
                via[head] = arc
                if head == sink:
                    path = [arc]
                    while (tail := net.head[path[-1] ^ 1]) != source:
                        path.append(via[tail])
                    return path
                queue.append(head)
    return []


def _components(net: Network, tight: list[bool]) -> list[int]:
    """Strongly connected components of the tight residual arcs (Tarjan 1972, without recursion).

    Flows can only change within a component, so that most arcs need no search for a cycle.
    """
    count = len(net.out)
    index, low, component = [-1] * count, [0] * count, [-1] * count
    stack: list[int] = []
    visited = component_count = 0
    for root in range(count):
        if index[root] >= 0:
            continue
        frames = [(root, 0)]
        while frames:
            node, position = frames.pop()
            if position == 0:
                index[node] = low[node] = visited
                visited += 1
                stack.append(node)
            arcs, descended = net.out[node], False
            while position < len(arcs):
                arc = arcs[position]
                position += 1
                if not (net.residual[arc] and tight[arc]):
                    continue
                head = net.head[arc]
                if index[head] < 0:
                    frames += [(node, position), (head, 0)]
                    descended = True
                    break
                if component[head] < 0:
                    low[node] = min(low[node], index[head])
            if descended:
                continue
            if low[node] == index[node]:
                while True:
                    member = stack.pop()
                    component[member] = component_count
                    if member == node:
                        break
                component_count += 1
            if frames:
                parent = frames[-1][0]
                low[parent] = min(low[parent], low[node])
    return component
