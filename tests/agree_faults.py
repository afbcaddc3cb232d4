"""Random crashes, stalls, partitions and proposals for a simulated fleet on a virtual clock."""

import random
from collections.abc import Callable

from seamlb.agree.version import ConfigVersion
from tests.agree_simulation import LEASE, World, random_successor


def newest_version(world: World) -> ConfigVersion:
    return max((node.voter.newest for node in world.nodes.values() if node.voter), key=lambda version: version.number)


def partition(side: set[str], one_way: bool) -> Callable[[str, str], bool]:
    """Separates the agents in `side` from all others, in both directions or only from `side` to the others."""
    return lambda a, b: (a in side) > (b in side) if one_way else (a in side) != (b in side)


def inject_faults(world: World, rng: random.Random, seconds: float) -> None:
    """Injects crashes, stalls, partitions and proposals at random."""
    names = list(world.nodes)
    end = world.now + seconds
    while world.now < end:
        world.run(rng.uniform(0.1, LEASE))
        name = rng.choice(names)
        match rng.randrange(6):
            case 0:
                world.crash(name)
            case 1:
                world.restart_all()
            case 2:
                world.stall(name, rng.choice([0.5, LEASE, 10.0]))
            case 3:
                world.is_cut = partition(set(rng.sample(names, len(names) // 2)), rng.random() < 0.3)
            case 4:
                world.is_cut = lambda a, b: False
            case _:
                proposer = rng.choice(world.first.voters)
                world.propose(proposer, random_successor(newest_version(world), rng))


def recover(world: World) -> None:
    """Ends all faults and runs until every vote is finished and the longest stall is over."""
    world.is_cut, world.loss = lambda a, b: False, 0.0
    world.restart_all()
    world.run(10.0 + 5 * LEASE)
