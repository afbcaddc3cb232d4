"""Generates dense plans: many faults of servers, network, discovery and callers within one short run."""

from __future__ import annotations

import random

from tests.soak.draw import CALLS_FOR_S, FIRST_FAULT_S, Fault, Plan

LAST_FAULT_S = 7.0  # after the start
SERVER_FAULTS = (
    "hang",
    "slow",
    "pieces",
    "crash",
    "late connections",
    "closed early",
    "resets",
    "second answers",
    "spoilt answers",
)
NETWORK_FAULTS = ("vanish", "vanish, one accepted", "cut off")
BOARD_FAULTS = ("board refuses", "board silent", "board swallows", "board slow")
MOVE_GAP_S = 0.005  # longest time between two new configurations in a row


def make_dense_plan(seed: int) -> Plan:
    """Generate the plan of a seed."""
    rng = random.Random(f"dense {seed}")
    agents, servers = rng.randint(3, 5), rng.randint(3, 4)
    deadline = rng.choice((0.4, 0.8, 1.5, 3.0))
    at = lambda: rng.uniform(FIRST_FAULT_S, LAST_FAULT_S)  # noqa: E731
    faults = [Fault(at(), rng.choice(NETWORK_FAULTS), rng.randrange(servers), rng.uniform(2.0, 6.0))]
    faults += [
        Fault(at(), kind, rng.randrange(servers), rng.uniform(0.5, 2.5))
        for kind in rng.sample(SERVER_FAULTS, rng.randint(2, 4))
    ]
    faults += [
        Fault(at(), "moves", agent, rng.choice((0.0006, MOVE_GAP_S, MOVE_GAP_S)))
        for agent in range(agents)
        for _ in range(rng.randint(1, 3))
    ]
    outage = Fault(at(), rng.choice(BOARD_FAULTS), 0, rng.uniform(1.0, 4.0))
    drain_at = outage.at_s + outage.duration_s + rng.uniform(-0.3, 0.3)
    faults += [outage, Fault(drain_at, "drain", rng.randrange(servers)), Fault(at(), "drain", rng.randrange(servers))]
    if rng.random() < 0.6:
        begins = at()
        faults += [
            Fault(begins, "hang", rng.randrange(servers), rng.uniform(2.0, 4.0)),
            Fault(begins + 0.2, "rolling restart", 0, rng.uniform(0.2, 0.5)),
        ]
    return Plan(
        seed,
        (False,) * agents,
        servers,
        rng.uniform(30.0, 80.0),
        min(deadline, rng.choice((0.4, 0.6, 1.0))),
        deadline,
        rng.uniform(0.5, 4.0),
        (0, 0),
        tuple(sorted(faults, key=lambda fault: fault.at_s)),
    )


assert LAST_FAULT_S < CALLS_FOR_S
