"""Erlang's loss and delay formulas, and their inverses by search.

A. K. Erlang, "Solution of some problems in the theory of probabilities of significance in automatic telephone
exchanges" (1917). Loads are erlangs, group sizes are agents; both formulas hold to eight significant figures from
0.001 to 10,000 erlangs (tests/test_erlang.py compares them with exact sums).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import lru_cache


def loss(agents: int, load: float) -> float:
    """Erlang B: the probability that a call finds no free agent and is lost.

    Runs the recurrence on 1/B, which only adds and so loses no figures: 1/B(n) = 1 + (n / A) / B(n - 1).
    Raises ValueError for a negative group or load.
    """
    if agents < 0 or not 0.0 <= load < math.inf:
        raise ValueError(f"no such group: {agents} agents, {load} erlangs")
    if load == 0.0:
        return 0.0 if agents else 1.0
    inverse = 1.0
    for n in range(1, agents + 1):
        inverse = 1.0 + inverse * n / load
        if inverse == math.inf:
            return 0.0  # below the least number a float has
    return 1.0 / inverse


def waits(agents: int, load: float) -> float:
    """Erlang C: the probability that a call has to wait; 1 where the queue would grow without end."""
    if load >= agents:
        loss(agents, load)  # the same errors for impossible figures
        return 1.0 if load or not agents else 0.0
    lost = loss(agents, load)
    return agents * lost / (agents - load * (1.0 - lost))


def waits_longer(agents: int, load: float, holding_ms: float, wait_ms: float) -> float:
    """The probability that a call waits longer than `wait_ms` (M/M/n, first come first served)."""
    if load >= agents:
        return waits(agents, load)
    return waits(agents, load) * math.exp(-(agents - load) * wait_ms / holding_ms)


def largest(holds: Callable[[int], bool], top: int) -> int:
    """The largest k in 0..top with holds(k), where holds never becomes true again; -1 if there is none."""
    low, high = -1, top
    while low < high:
        middle = (low + high + 1) // 2
        if holds(middle):
            low = middle
        else:
            high = middle - 1
    return low


@lru_cache(maxsize=65536)
def load_for_loss(agents: int, target_ppm: int) -> int:
    """The largest load in milli-erlangs at which no more than `target_ppm` in a million calls are lost.

    For targets below all calls; found by bisection on the formula, as it rises with the load.
    """
    _check_target(target_ppm)
    top = 1000 * (agents + 1) * 1_000_000 // (1_000_000 - target_ppm) + 1000  # carried load is below the agents
    return largest(lambda milli: loss(agents, milli / 1000.0) * 1e6 <= target_ppm, top) if agents else 0


@lru_cache(maxsize=65536)
def load_for_wait(agents: int, target_ppm: int, holding_ms: int, wait_ms: int) -> int:
    """The largest load in milli-erlangs at which no more than `target_ppm` in a million calls wait over `wait_ms`."""
    _check_target(target_ppm)
    if not agents:
        return 0
    return largest(
        lambda milli: waits_longer(agents, milli / 1000.0, holding_ms, wait_ms) * 1e6 <= target_ppm, 1000 * agents - 1
    )


@lru_cache(maxsize=65536)
def agents_for_loss(load_milli: int, target_ppm: int) -> int:
    """The smallest group that loses no more than `target_ppm` in a million calls of a load in milli-erlangs."""
    _check_target(target_ppm, least=1)
    load, agents, inverse = load_milli / 1000.0, 0, 1.0
    if not load_milli:
        return 0
    while 1e6 / inverse > target_ppm:
        agents += 1
        inverse = 1.0 + inverse * agents / load
    return agents


def agents_for_wait(load_milli: int, target_ppm: int, holding_ms: int, wait_ms: int) -> int:
    """The smallest group at which no more than `target_ppm` in a million calls wait longer than `wait_ms`."""
    _check_target(target_ppm, least=1)
    low = load_milli // 1000 + 1
    high = low
    while waits_longer(high, load_milli / 1000.0, holding_ms, wait_ms) * 1e6 > target_ppm:
        high *= 2
    failing = largest(
        lambda n: waits_longer(low + n, load_milli / 1000.0, holding_ms, wait_ms) * 1e6 > target_ppm, high - low
    )
    return low + failing + 1 if load_milli else 0


def _check_target(target_ppm: int, least: int = 0) -> None:
    if not least <= target_ppm < 1_000_000:
        raise ValueError(f"a target of {target_ppm} in a million can't be met or missed")
