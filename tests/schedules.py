"""All schedules of faults and proposals up to a depth, for three agents that are their own council, and one more."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from tests.council import LEASE, World
from tests.faults import newest_version, partition

STEP_S = 0.25 * LEASE  # what was lent before the first step still holds in the last
STARTS = ("apart", "whole")  # a002 and a003 have not heard each other for two leases; all hear all
ACTIONS = ("nothing", "cut a003", "heal", "crash a001", "stall a003", "propose a000", "propose a002")


def perform(world: World, action: str) -> None:
    """One step of a schedule; a crash is a kill and a start from the disk at once."""
    what, _, who = action.rpartition(" ")
    match what:
        case "cut":
            world.is_cut = partition({who}, False)
        case "crash":
            world.crash(who)
            world.restart(who)
        case "stall":
            world.stall(who, 1.5 * LEASE)
        case "propose":
            version = newest_version(world)
            world.propose(who, version.with_values(limit=10 + (version.number * 37 + (who == "a000")) % 90))
        case "" if who == "heal":
            world.is_cut = lambda a, b: False


def fingerprint(world: World) -> tuple[object, ...]:
    """What tells two states apart: what each knows, votes, acts on and has lent, in tenths of a lease."""

    def left(until: float, now: float) -> int:
        return max(0, round((until - now) / LEASE * 10))

    found: list[object] = []
    for node in world.nodes.values():
        now = world.now * node.clock_rate
        found.append(
            (
                node.holder.newest.digest,
                node.holder.lease_state(now),
                left(node.holder.expires_at, now),
                left(node.stalled_until, world.now),
            )
        )
        if one := node.voter:
            found.append(
                (
                    one.state.promised,
                    one.state.accepted_ballot,
                    one.newest.digest,
                    one.cleared.get(one.name),
                    left(one.inactive_until, now),
                    sorted((who, number, left(until, now)) for who, (number, until) in one.grants.items()),
                )
            )
    return tuple(map(repr, found))


def schedules(depth: int) -> Iterator[tuple[str, ...]]:
    """A start, and then steps of which the first is a change or a fault: the others are shorter ones."""
    steps = [one for one in itertools.product(ACTIONS, repeat=depth) if one[0] not in ("nothing", "heal")]
    return ((start, *one) for start in STARTS for one in steps)


def run_schedule(schedule: tuple[str, ...], seen: set[tuple[object, ...]]) -> World:
    """Play one; its states are added to `seen`, and what was broken is in the world's `broken`."""
    world = World(1, 4, 3)
    if schedule[0] == "apart":
        world.is_cut = lambda a, b: {a, b} == {"a002", "a003"}
    world.run(2 * LEASE)
    for action in schedule[1:]:
        perform(world, action)
        world.run(STEP_S)
        seen.add(fingerprint(world))
    world.run(0.8 * LEASE)  # until what was lent before the first step is over
    return world
