"""Generates the plan of a run from its seed: the fleet, its traffic and its faults."""

from __future__ import annotations

import random
from dataclasses import dataclass

CALLS_FOR_S = 9.0  # new calls arrive for this long
FIRST_FAULT_S = 1.0  # after the start
KILL_MARGIN_S = 0.7  # from SIGTERM to SIGKILL, in addition to the longest deadline
MAX_KILL_DEADLINE_S = 3.0  # cap on the deadline that delays SIGKILL

AGENT_FAULTS = ("reload", "reloads", "quiesce")
RESTART_FAULTS = ("restart", "restart, SIGTERM twice", "restart, SIGHUP in the drain")
UPGRADE_FAULTS = ("upgrade", "two upgrades")  # only with an inherited listening socket
SERVER_FAULTS = ("drain", "hang", "crash", "slow", "pieces")


@dataclass(frozen=True)
class Fault:
    """One fault of the timeline."""

    at_s: float  # seconds from the start
    kind: str
    target: int = 0  # number of the agent or the server
    duration_s: float = 0.0


@dataclass(frozen=True)
class Plan:
    """The parameters of a run."""

    seed: int
    inherited: tuple[bool, ...]  # by agent: whether it inherits its listening socket
    server_count: int
    calls_per_s: float  # of all agents together
    short_deadline_s: float  # of the class `soon`
    longest_deadline_s: float  # of the class `later`
    holding_s: float  # mean
    crowd: tuple[int, int]  # numbers of callers that never read and that leave early
    faults: tuple[Fault, ...]

    @property
    def kill_after_s(self) -> float:
        """Seconds from SIGTERM to SIGKILL: the shortest time that the documentation permits."""
        return min(self.longest_deadline_s, MAX_KILL_DEADLINE_S) + KILL_MARGIN_S


def make_plan(seed: int) -> Plan:
    """Generate the plan of a seed."""
    rng = random.Random(seed)
    agents, servers = rng.randint(2, 4), rng.randint(2, 4)
    inherited = tuple(rng.random() < 0.5 for _ in range(agents))
    faults = []
    for agent in range(agents):
        kinds = AGENT_FAULTS + (UPGRADE_FAULTS * 2 if inherited[agent] else RESTART_FAULTS)
        faults += [
            Fault(rng.uniform(FIRST_FAULT_S, CALLS_FOR_S), rng.choice(kinds), agent, rng.uniform(0.2, 0.4))
            for _ in range(2)
        ]
    faults += [
        Fault(
            rng.uniform(FIRST_FAULT_S, CALLS_FOR_S),
            rng.choice(SERVER_FAULTS),
            rng.randrange(servers),
            rng.uniform(0.5, 2.0),
        )
        for _ in range(rng.randint(1, 4))
    ]
    if rng.random() < 0.5:
        faults.append(Fault(rng.uniform(FIRST_FAULT_S, CALLS_FOR_S), "board hangs", 0, rng.uniform(1.0, 4.0)))
    crowd = (rng.randint(5, 40), rng.randint(20, 80)) if rng.random() < 0.5 else (0, 0)
    if any(crowd):
        faults.append(Fault(rng.uniform(FIRST_FAULT_S, CALLS_FOR_S), "crowd"))
    return Plan(
        seed,
        inherited,
        servers,
        rng.uniform(15.0, 60.0),
        rng.choice((0.6, 1.0, 1.5)),
        rng.choice((1.5, 3.0, 9.0)),
        rng.uniform(0.2, 1.5),
        crowd,
        tuple(sorted(faults, key=lambda fault: fault.at_s)),
    )
