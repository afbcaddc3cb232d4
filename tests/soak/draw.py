"""What one seed draws: the fleet, its traffic and its faults, all of it before the run begins."""

from __future__ import annotations

import random
from dataclasses import dataclass

SECONDS = 9.0  # in which new calls come
FIRST_FAULT = 1.0  # seconds after the start
KILL_AFTER = 0.7  # seconds beyond the longest deadline, from SIGTERM to SIGKILL
DEADLINE_MOST = 3.0  # seconds for which a longer deadline counts there

STAYING = ("reload", "reloads", "quiesce")
RESTARTS = ("restart", "restart, SIGTERM twice", "restart, SIGHUP in the drain")
UPGRADES = ("upgrade", "two upgrades")  # where the listening socket is handed down
SERVER_FAULTS = ("drain", "hang", "crash", "slow", "pieces")


@dataclass(frozen=True)
class Fault:
    """One fault of the timeline."""

    at: float  # seconds from the start
    kind: str
    target: int = 0  # the agent or the server
    seconds: float = 0.0


@dataclass(frozen=True)
class Plan:
    """A run."""

    seed: int
    inherited: tuple[bool, ...]  # by agent: is its listening socket handed down?
    servers: int
    rate: float  # calls a second, all agents together
    short: float  # seconds, deadline of the class that is wanted sooner
    longest: float
    holding: float  # mean seconds
    crowd: tuple[int, int]  # callers that never read, that leave early; both at once
    faults: tuple[Fault, ...]

    @property
    def kill_after(self) -> float:
        """Seconds from SIGTERM to SIGKILL: the earliest moment that the pages allow."""
        return min(self.longest, DEADLINE_MOST) + KILL_AFTER


def draw(seed: int) -> Plan:
    """The run of a seed."""
    rng = random.Random(seed)
    agents, servers = rng.randint(2, 4), rng.randint(2, 4)
    inherited = tuple(rng.random() < 0.5 for _ in range(agents))
    faults = []
    for agent in range(agents):
        kinds = STAYING + (UPGRADES * 2 if inherited[agent] else RESTARTS)
        faults += [
            Fault(rng.uniform(FIRST_FAULT, SECONDS), rng.choice(kinds), agent, rng.uniform(0.2, 0.4))
            for _ in range(2)
        ]
    faults += [
        Fault(
            rng.uniform(FIRST_FAULT, SECONDS),
            rng.choice(SERVER_FAULTS),
            rng.randrange(servers),
            rng.uniform(0.5, 2.0),
        )
        for _ in range(rng.randint(1, 4))
    ]
    if rng.random() < 0.5:
        faults.append(Fault(rng.uniform(FIRST_FAULT, SECONDS), "board hangs", 0, rng.uniform(1.0, 4.0)))
    crowd = (rng.randint(5, 40), rng.randint(20, 80)) if rng.random() < 0.5 else (0, 0)
    if any(crowd):
        faults.append(Fault(rng.uniform(FIRST_FAULT, SECONDS), "crowd"))
    return Plan(
        seed,
        inherited,
        servers,
        rng.uniform(15.0, 60.0),
        rng.choice((0.6, 1.0, 1.5)),
        rng.choice((1.5, 3.0, 9.0)),
        rng.uniform(0.2, 1.5),
        crowd,
        tuple(sorted(faults, key=lambda one: one.at)),
    )
