"""The state retained by an agent does not grow with time, replaced desks, callers or reloads; on a virtual clock."""

import asyncio
import random
import unittest
from collections import deque
from typing import Any

from seamlb import api, log
from seamlb.emulator.clock import run
from seamlb.routing.agent import Agent
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Desk, Outcome, Request, Status
from tests.support import RAW, settings

CELLS = 4
CALLS_PER_ROUND = 12
ROUND_S = 5.0


class RandomDesks:
    """Answer most calls for a random time, and fail the others with every status."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def set_up(self, attempt: Attempt, on_update: AttemptCallback) -> None:
        loop, status = asyncio.get_running_loop(), self.rng.choice(list(Status))
        if self.rng.random() < 0.8:
            loop.call_later(0.01, on_update, attempt.leg, Answer(b""))
            loop.call_later(0.01 + self.rng.expovariate(1.0), on_update, attempt.leg, Outcome(Status.OK))
        elif status is not Status.TIMEOUT:
            loop.call_later(0.02, on_update, attempt.leg, Outcome(status))

    def desk_changed(self, desk: Desk) -> None: ...
    def cancel(self, attempt: Attempt) -> None: ...
    def release(self, attempt: Attempt, cause: int) -> None: ...
    def close_idle(self, desk: str) -> None: ...


class IgnoringCaller:
    def established(self, description: bytes) -> bool:
        return True

    def refused(self, back_off_ms: float) -> None: ...
    def failed(self) -> None: ...
    def released(self, cause: int) -> None: ...


def count_elements(item: Any, seen: set[int]) -> int:
    """Count the elements of all containers reachable from an object of this package."""
    if id(item) in seen or isinstance(item, (str, bytes, int, float, type(None))):
        return 0
    seen.add(id(item))
    if isinstance(item, dict):
        return len(item) + sum(count_elements(value, seen) for value in item.values())
    if isinstance(item, (list, tuple, set, frozenset, deque)):
        return len(item) + sum(count_elements(value, seen) for value in item)
    if not type(item).__module__.startswith("seamlb"):
        return 0
    slots = (name for kind in type(item).__mro__ for name in getattr(kind, "__slots__", ()))
    names = [*getattr(item, "__dict__", ()), *slots]
    return sum(count_elements(getattr(item, name, None), seen) for name in names)


async def run_rounds(rounds: int, leak: bool = False) -> list[int]:
    """The number of retained elements after each fifth of the rounds, with no open calls."""
    rng, loop, counts = random.Random(4), asyncio.get_running_loop(), list[int]()
    tenants = [{"Name": "t", "Share": 1.0, "AllowancePerS": 50.0}]
    base = settings(Tenants=tenants)
    # No class is dropped and added again: by design it would get a new number each time.
    settings_versions = [
        base,
        settings(Classes=[item | {"Deadline": 8000.0} for item in RAW["Classes"]], Tenants=tenants),
    ]
    agent = Agent(base, 1, clock=lambda: 1e12 + loop.time() * 1000.0)
    agent.desks, leaked = RandomDesks(rng), list[Any]()
    for round_number in range(rounds):
        desks = [
            Desk(f"d{round_number}.{cell}", f"10.0.0.1:{cell}", 0, cell, api.Availability.READY, agent.clock())
            for cell in range(CELLS)
        ]
        if round_number % 3 == 0:
            agent.list_changed(api.Scope.FULL, desks)
        else:
            removed = [
                Desk(item.ident, item.address, 0, item.cell, api.Availability.GONE, 0.0)
                for item in agent.listed.values()
            ]
            agent.list_changed(api.Scope.DELTA, [*removed, *desks])
        if round_number % 4 == 3:
            agent.apply_settings(settings_versions[round_number // 4 % 2].following(agent.settings))
        for _ in range(CALLS_PER_ROUND):
            await asyncio.sleep(ROUND_S / CALLS_PER_ROUND * rng.random())
            session = agent.accept(
                Request(
                    f"{rng.getrandbits(64):x}",
                    rng.randrange(2),
                    "ab"[rng.randrange(2)],
                    0,
                    str(rng.getrandbits(32)),
                    2000.0,
                    rng.randrange(CELLS),
                ),
                IgnoringCaller(),
            )
            if session and rng.random() < 0.1:
                loop.call_later(0.5, agent.caller_hung_up, session)
            if leak:
                leaked.append(session)
        if (round_number + 1) % (rounds // 5) == 0:
            await asyncio.sleep(60.0)
            assert not agent.sessions and not agent.tasks, (agent.sessions, agent.tasks)
            counts.append(count_elements(agent, set()) + len(leaked))
    return counts


class RetainedState(unittest.TestCase):
    def test_retained_state_does_not_grow_with_replaced_desks_callers_and_reloads(self) -> None:
        with log.muted():
            counts = run(run_rounds(500))
        self.assertLess(max(counts[1:]), 1.1 * counts[0] + 20, counts)

    def test_a_leak_is_detected(self) -> None:
        with log.muted():
            counts = run(run_rounds(100, leak=True))
        self.assertGreater(counts[-1], 1.1 * counts[0] + 20, counts)
