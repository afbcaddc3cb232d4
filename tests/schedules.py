"""All schedules of faults and proposals up to a depth, for four agents of which three are the voters."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from tests.agree_faults import newest_version, partition
from tests.agree_simulation import LEASE, World

STEP_S = 0.25 * LEASE  # a lease that was granted before the first step is valid up to the last
STARTS = ("apart", "whole")  # a002 and a003 are separated for two leases; no faults
ACTIONS = ("nothing", "cut a003", "heal", "crash a001", "stall a003", "propose a000", "propose a002")


def perform(world: World, action: str) -> None:
    """Performs one step of a schedule; a crash is a kill and a restart from disk at once."""
    what, _, name = action.rpartition(" ")
    match what:
        case "cut":
            world.is_cut = partition({name}, False)
        case "crash":
            world.crash(name)
            world.restart(name)
        case "stall":
            world.stall(name, 1.5 * LEASE)
        case "propose":
            version = newest_version(world)
            world.propose(name, version.with_values(limit=10 + (version.number * 37 + (name == "a000")) % 90))
        case "" if name == "heal":
            world.is_cut = lambda a, b: False


def fingerprint(world: World) -> tuple[object, ...]:
    """What distinguishes states: versions, votes, rules applied and leases granted, in tenths of a lease."""

    def remaining(until: float, now: float) -> int:
        return max(0, round((until - now) / LEASE * 10))

    parts: list[object] = []
    for node in world.nodes.values():
        now = world.now * node.clock_rate
        parts.append(
            (
                node.holder.newest.digest,
                node.holder.lease_state(now),
                remaining(node.holder.expires_at, now),
                remaining(node.stalled_until, world.now),
            )
        )
        if voter := node.voter:
            parts.append(
                (
                    voter.state.promised,
                    voter.state.accepted_ballot,
                    voter.newest.digest,
                    voter.cleared.get(voter.name),
                    remaining(voter.inactive_until, now),
                    sorted((name, number, remaining(until, now)) for name, (number, until) in voter.grants.items()),
                )
            )
    return tuple(map(repr, parts))


def schedules(depth: int) -> Iterator[tuple[str, ...]]:
    """A start and steps; the first step is a change or a fault, as otherwise a shorter schedule would be the same."""
    sequences = [steps for steps in itertools.product(ACTIONS, repeat=depth) if steps[0] not in ("nothing", "heal")]
    return ((start, *steps) for start in STARTS for steps in sequences)


def run_schedule(schedule: tuple[str, ...], seen: set[tuple[object, ...]]) -> World:
    """Runs a schedule; adds its states to `seen`, and violations are in the world's `violations`."""
    world = World(1, 4, 3)
    if schedule[0] == "apart":
        world.is_cut = lambda a, b: {a, b} == {"a002", "a003"}
    world.run(2 * LEASE)
    for action in schedule[1:]:
        perform(world, action)
        world.run(STEP_S)
        seen.add(fingerprint(world))
    world.run(0.8 * LEASE)  # until the leases granted before the first step have expired
    return world
