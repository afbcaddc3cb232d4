"""Erlang's loss and delay formulas, and their inverses by search.

A. K. Erlang, "Solution of some problems in the theory of probabilities of significance in automatic telephone
exchanges" (1917). Loads are in erlangs, group sizes in agents. Both formulas are accurate to eight significant digits
from 0.001 to 10,000 erlangs (tests/test_erlang.py compares them with exact sums).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import lru_cache


def erlang_b(agents: int, load: float) -> float:
    """Erlang B: the probability that a call finds no free agent and is lost.

    Uses the recurrence of 1/B, which only adds and so loses no digits: 1/B(n) = 1 + (n / A) / B(n - 1).
    Raises ValueError for a negative group size or load.
    """
    if agents < 0 or not 0.0 <= load < math.inf:
        raise ValueError(f"invalid group size or load: {agents} agents, {load} erlangs")
    if load == 0.0:
        return 0.0 if agents else 1.0
    inverse = 1.0
    for n in range(1, agents + 1):
        inverse = 1.0 + inverse * n / load
        if inverse == math.inf:
            return 0.0  # below the smallest positive float
    return 1.0 / inverse


def erlang_c(agents: int, load: float) -> float:
    """Erlang C: the probability that a call has to wait; 1 where the queue would grow without bound."""
    if load >= agents:
        erlang_b(agents, load)  # raises the same errors for invalid arguments
        return 1.0 if load or not agents else 0.0
    lost = erlang_b(agents, load)
    return agents * lost / (agents - load * (1.0 - lost))


def wait_exceedance(agents: int, load: float, holding_ms: float, wait_ms: float) -> float:
    """The probability that a call waits longer than `wait_ms` (M/M/n, first come, first served)."""
    if load >= agents:
        return erlang_c(agents, load)
    return erlang_c(agents, load) * math.exp(-(agents - load) * wait_ms / holding_ms)


def largest(holds: Callable[[int], bool], top: int) -> int:
    """The largest k in 0..top with holds(k), for a predicate that never becomes true again; -1 if there is none."""
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
    """The largest load in milli-erlangs at which no more than `target_ppm` of a million calls are lost.

    The target must be below one million. Found by bisection, as the probability of loss increases with the load.
    """
    _check_target(target_ppm)
    top = 1000 * (agents + 1) * 1_000_000 // (1_000_000 - target_ppm) + 1000  # carried load is below the agents
    return largest(lambda milli: erlang_b(agents, milli / 1000.0) * 1e6 <= target_ppm, top) if agents else 0


@lru_cache(maxsize=65536)
def load_for_wait(agents: int, target_ppm: int, holding_ms: int, wait_ms: int) -> int:
    """The largest load in milli-erlangs at which no more than `target_ppm` of a million calls wait over `wait_ms`."""
    _check_target(target_ppm)
    if not agents:
        return 0
    return largest(
        lambda milli: wait_exceedance(agents, milli / 1000.0, holding_ms, wait_ms) * 1e6 <= target_ppm,
        1000 * agents - 1,
    )


@lru_cache(maxsize=65536)
def agents_for_loss(load_milli: int, target_ppm: int) -> int:
    """The smallest group that loses no more than `target_ppm` of a million calls at a load in milli-erlangs."""
    _check_target(target_ppm, least=1)
    load, agents, inverse = load_milli / 1000.0, 0, 1.0
    if not load_milli:
        return 0
    while 1e6 / inverse > target_ppm:
        agents += 1
        inverse = 1.0 + inverse * agents / load
    return agents


def agents_for_wait(load_milli: int, target_ppm: int, holding_ms: int, wait_ms: int) -> int:
    """The smallest group at which no more than `target_ppm` of a million calls wait longer than `wait_ms`."""
    _check_target(target_ppm, least=1)
    low = load_milli // 1000 + 1
    high = low
    while wait_exceedance(high, load_milli / 1000.0, holding_ms, wait_ms) * 1e6 > target_ppm:
        high *= 2
    failing = largest(
        lambda n: wait_exceedance(low + n, load_milli / 1000.0, holding_ms, wait_ms) * 1e6 > target_ppm, high - low
    )
    return low + failing + 1 if load_milli else 0


def _check_target(target_ppm: int, least: int = 0) -> None:
    if not least <= target_ppm < 1_000_000:
        raise ValueError(f"invalid target: {target_ppm} calls per million")
