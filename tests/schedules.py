"""All schedules of faults and proposals up to a depth, for three agents that are their own council, and one more."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from tests.council import LEASE, World
from tests.faults import newest, parted

ROUND = 0.25 * LEASE  # what was lent before the first step still holds in the last
STARTS = ("apart", "whole")  # a002 and a003 have not heard each other for two leases; all hear all
DOES = ("nothing", "cut a003", "heal", "crash a001", "stall a003", "propose a000", "propose a002")


def act(world: World, does: str) -> None:
    """One step of a schedule; a crash is a kill and a start from the disk at once."""
    what, _, who = does.rpartition(" ")
    match what:
        case "cut":
            world.cut = parted({who}, False)
        case "crash":
            world.crash(who)
            world.restart(who)
        case "stall":
            world.stall(who, 1.5 * LEASE)
        case "propose":
            charter = newest(world)
            world.propose(who, charter.next(limit=10 + (charter.number * 37 + (who == "a000")) % 90))
        case "" if who == "heal":
            world.cut = lambda a, b: False


def state(world: World) -> tuple[object, ...]:
    """What tells two states apart: what each knows, votes, acts on and has lent, in tenths of a lease."""

    def left(until: float, now: float) -> int:
        return max(0, round((until - now) / LEASE * 10))

    found: list[object] = []
    for node in world.nodes.values():
        now = world.now * node.rate
        found.append(
            (
                node.holder.newest.digest,
                node.holder.stance(now),
                left(node.holder.until, now),
                left(node.stalled_until, world.now),
            )
        )
        if one := node.member:
            found.append(
                (
                    one.kept.promised,
                    one.kept.voted,
                    one.newest.digest,
                    one.cleared.get(one.name),
                    left(one.quiet_until, now),
                    sorted((who, number, left(until, now)) for who, (number, until) in one.grants.items()),
                )
            )
    return tuple(map(repr, found))


def schedules(depth: int) -> Iterator[tuple[str, ...]]:
    """A start, and then steps of which the first is a change or a fault: the others are shorter ones."""
    steps = [one for one in itertools.product(DOES, repeat=depth) if one[0] not in ("nothing", "heal")]
    return ((start, *one) for start in STARTS for one in steps)


def play(schedule: tuple[str, ...], seen: set[tuple[object, ...]]) -> World:
    """Play one; its states are added to `seen`, and what was broken is in the world's `broken`."""
    world = World(1, 4, 3)
    if schedule[0] == "apart":
        world.cut = lambda a, b: {a, b} == {"a002", "a003"}
    world.run(2 * LEASE)
    for does in schedule[1:]:
        act(world, does)
        world.run(ROUND)
        seen.add(state(world))
    world.run(0.8 * LEASE)  # until what was lent before the first step is over
    return world
