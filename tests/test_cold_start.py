"""Rule 4 for the fleet: what all processes together send a cold server in a window stays below where it falls."""

import math
from collections.abc import Callable
from unittest import mock

import pytest

from seamlb.policy import routing
from seamlb.policy.cold_start import OVERLOAD_PROBABILITY, cold_budget
from tests.cold_fleet import Case, ColdFleet

FALLS = 2.0  # roots of N, above N + 2
SEEDS = range(6)
DEMANDS: dict[str, Callable[[float], float]] = {
    "as much as it bears once warm": lambda now: 1.0,
    "three times that": lambda now: 3.0,
    "nearly all of the fleet's": lambda now: 7.0,
    "little, then three times that": lambda now: 0.3 if now < 4000.0 else 3.0,
    "as much, then four times that": lambda now: 1.0 if now < 4000.0 else 4.0,
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
def test_a_cold_server_does_not_fall_under_the_sum_of_all(
    nodes: int, capacity: float, demand: Callable[[float], float]
) -> None:
    for case in cases(nodes, capacity, demand):
        for seed in SEEDS:
            assert ColdFleet(case, seed).play().overrun() <= FALLS, (case, seed)


@pytest.mark.parametrize("nodes", [5, 20, 30, 200])
def test_a_budget_that_is_too_large_is_caught(nodes: int) -> None:
    # All of N and a third more, with three calls saved up: what the test above must not let through.
    with mock.patch.object(routing, "cold_budget", lambda allowed, nodes: (4.0 / 3.0, 3.0)):
        plays = [
            ColdFleet(case, seed).play().overrun()
            for case in cases(nodes, 30.0, DEMANDS["nearly all of the fleet's"])
            for seed in range(2)
        ]
    assert max(plays) > FALLS


@pytest.mark.parametrize("nodes", [1, 5, 20, 30, 200, 1000])
@pytest.mark.parametrize("allowed", [0.5, 2.0, 10.0, 50.0, 400.0])
def test_few_nodes_keep_below_the_fall_whatever_comes_and_many_use_less(allowed: float, nodes: int) -> None:
    used, saved = cold_budget(allowed, nodes)
    assert 0.0 < used < 1.0
    if saved > 1.0:  # what all have saved up, and what all get in the window
        assert nodes * saved + used * allowed <= allowed + 2.0 * allowed**0.5 + 2.0 + 1e-9
    # Sends of many nodes, of which each sends seldom, are Poisson at most.
    mean, falls = used * allowed, allowed + 2.0 * allowed**0.5 + 2.0
    below = sum(math.exp(count * math.log(mean) - mean - math.lgamma(count + 1)) for count in range(int(falls) + 1))
    assert 1.0 - below <= OVERLOAD_PROBABILITY
