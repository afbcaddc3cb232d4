"""Crashes, stalls, partitions and proposals at random, for a fleet on a virtual clock."""

import random
from collections.abc import Callable

from seamlb.agree.charter import ConfigVersion
from tests.council import LEASE, World, random_successor


def newest_version(world: World) -> ConfigVersion:
    return max((one.voter.newest for one in world.nodes.values() if one.voter), key=lambda one: one.number)


def partition(side: set[str], one_way: bool) -> Callable[[str, str], bool]:
    """Who is in `side` does not hear, or is not heard by, who is not."""
    return lambda a, b: (a in side) > (b in side) if one_way else (a in side) != (b in side)


def inject_faults(world: World, rng: random.Random, seconds: float) -> None:
    """Crashes, stalls, partitions and proposals, all at random."""
    names = list(world.nodes)
    end = world.now + seconds
    while world.now < end:
        world.run(rng.uniform(0.1, LEASE))
        one = rng.choice(names)
        match rng.randrange(6):
            case 0:
                world.crash(one)
            case 1:
                world.restart_all()
            case 2:
                world.stall(one, rng.choice([0.5, LEASE, 10.0]))
            case 3:
                world.is_cut = partition(set(rng.sample(names, len(names) // 2)), rng.random() < 0.3)
            case 4:
                world.is_cut = lambda a, b: False
            case _:
                proposer = rng.choice(world.first.voters)
                world.propose(proposer, random_successor(newest_version(world), rng))


def recover(world: World) -> None:
    """All faults end, and what was begun comes to its end; who was stalled for longest is back too."""
    world.is_cut, world.loss = lambda a, b: False, 0.0
    world.restart_all()
    world.run(10.0 + 5 * LEASE)
