"""The load tool's audit finds what it is for, and a short load on each front keeps the rules."""

import asyncio

import pytest

from seamlb.emulator.audit import Audit
from seamlb.emulator.load import FRONTS, Load, play


def audit() -> Audit:
    made = Audit()
    made.asked(0.0, "c", "low", 2.0)
    return made


def rules(made: Audit) -> list[str]:
    made.finish()
    return sorted(made.counts)


def test_a_good_call_breaks_nothing() -> None:
    made = audit()
    made.attempt(0.1, "c", "x")
    made.ended(0.2, "c", "x", "answered")
    made.attempt(0.2, "c", "y")  # refused there: elsewhere at once
    made.ended(0.3, "c", "y", "cancelled")
    made.attempt(0.61, "c", "z")
    made.ended(0.7, "c", "z", "answered")
    made.answered(0.7, "c", 200)
    assert rules(made) == []


def test_each_rule_is_seen() -> None:
    made = audit()
    assert rules(made) == ["no final answer"]
    made = audit()
    made.answered(2.1, "c", 503)
    made.answered(2.2, "c", 200)
    made.attempt(2.3, "c", "x")
    made.answered(2.3, "nobody", 200)
    made.attempt(2.3, "nobody", "x")
    assert rules(made) == ["late answer", "set-up after the answer", "two final answers", "unknown answer",
                           "unknown set-up"]
    made = audit()
    made.attempt(0.0, "c", "x")
    made.attempt(0.1, "c", "y")
    assert "two attempts out" in rules(made)
    for how in ("cancelled", "reset"):
        made = audit()
        made.attempt(0.0, "c", "x")
        made.ended(0.1, "c", "x", how)
        made.attempt(0.3, "c", "y")
        assert "300 ms bar" in rules(made)
    made = audit()
    made.drains(0.0, "x")
    made.attempt(0.5, "c", "x")
    assert "drain" not in made.counts
    made.attempt(0.6, "c", "x")
    assert "drain" in rules(made)
    made = audit()
    for number in range(7):
        made.attempt(float(number) / 10, "c", "x")
        made.ended(float(number) / 10, "c", "x", "answered")
    assert "more than six attempts" in rules(made)
    made = Audit()
    made.starts_cold(0.0, "x", 2.0)
    for number in range(10):
        made.asked(0.0, f"c{number}", "low", 2.0)
        made.attempt(0.1, f"c{number}", "x")
    assert made.counts["cold desk"] == 1  # three times 2 a second for 1.5 s are 9


@pytest.mark.parametrize("front", FRONTS)
def test_a_short_load_on_each_front(front: str) -> None:
    """No figure of time is judged here: machines that run tests are busy."""
    faults = ((0.3, "desk-1", "reset"), (0.5, "desk-2", "full"), (0.8, "desk-2", "empty"))
    report = asyncio.run(play(Load(rate=40.0, seconds=1.5, front=front, faults=faults)))
    assert report.exit_code == 0 and report.calls > 30
    assert sum(report.results.values()) == report.calls and report.results["stood"] > 0
    assert not {"two attempts out", "two final answers", "no final answer", "drain"} & report.counts.keys()
