"""Rule 4 for the fleet: all processes together send a cold server less in a window than makes it fail."""

import math
from collections.abc import Callable
from unittest import mock

import pytest

from seamlb.policy import routing
from seamlb.policy.cold_start import OVERLOAD_PROBABILITY, cold_budget
from tests.cold_fleet import Case, ColdFleet

OVERLOAD = 2.0  # excess over N + 2 at which the server fails, in units of sqrt(N)
SEEDS = range(6)
DEMANDS: dict[str, Callable[[float], float]] = {
    "capacity of the warm server": lambda now: 1.0,
    "three times the capacity": lambda now: 3.0,
    "nearly the capacity of the fleet": lambda now: 7.0,
    "little, then three times the capacity": lambda now: 0.3 if now < 4000.0 else 3.0,
    "the capacity, then four times that": lambda now: 1.0 if now < 4000.0 else 4.0,
}


def cases(nodes: int, capacity: float, demand: Callable[[float], float]) -> list[Case]:
    return [
        Case(nodes, capacity, demand),
        Case(nodes, capacity, demand, uneven=True, restarts=True),
        Case(nodes, capacity, demand, uneven=True, upgrades=True),
    ]


@pytest.mark.parametrize("demand", DEMANDS.values(), ids=DEMANDS.keys())
@pytest.mark.parametrize("capacity", [5.0, 30.0])
@pytest.mark.parametrize("nodes", [5, 20, 30, 200])
def test_all_nodes_together_do_not_overload_a_cold_server(
    nodes: int, capacity: float, demand: Callable[[float], float]
) -> None:
    for case in cases(nodes, capacity, demand):
        for seed in SEEDS:
            assert ColdFleet(case, seed).run().worst_excess() <= OVERLOAD, (case, seed)


@pytest.mark.parametrize("nodes", [5, 20, 30, 200])
def test_the_simulation_detects_a_budget_that_is_too_large(nodes: int) -> None:
    # A third more than N and a burst of three tokens per node: the test above must fail on this.
    with mock.patch.object(routing, "cold_budget", lambda allowed, nodes: (4.0 / 3.0, 3.0)):
        excesses = [
            ColdFleet(case, seed).run().worst_excess()
            for case in cases(nodes, 30.0, DEMANDS["nearly the capacity of the fleet"])
            for seed in range(2)
        ]
    assert max(excesses) > OVERLOAD


@pytest.mark.parametrize("nodes", [1, 5, 20, 30, 200, 1000])
@pytest.mark.parametrize("allowed", [0.5, 2.0, 10.0, 50.0, 400.0])
def test_the_budget_keeps_few_nodes_below_the_overload_limit_and_many_nodes_further_below(
    allowed: float, nodes: int
) -> None:
    used, burst = cold_budget(allowed, nodes)
    assert 0.0 < used < 1.0
    if burst > 1.0:  # the bursts of all nodes, and their rate during the window
        assert nodes * burst + used * allowed <= allowed + 2.0 * allowed**0.5 + 2.0 + 1e-9
    # The sends of many nodes that each send rarely vary no more than a Poisson process.
    mean, overload = used * allowed, allowed + 2.0 * allowed**0.5 + 2.0
    below = sum(
        math.exp(count * math.log(mean) - mean - math.lgamma(count + 1)) for count in range(int(overload) + 1)
    )
    assert 1.0 - below <= OVERLOAD_PROBABILITY
