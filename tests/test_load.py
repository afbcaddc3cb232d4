"""The load tool's audit finds what it is for, and a short load on each front keeps the rules."""

import asyncio
import random
from pathlib import Path

import pytest

from seamlb.emulator.audit import Audit
from seamlb.emulator.load import FRONTS, Load, play, read_site


def audit() -> Audit:
    made = Audit()
    made.call_requested(0.0, "c", "low", 2.0)
    return made


def rules(made: Audit) -> list[str]:
    made.finish()
    return sorted(made.counts)


def test_a_good_call_breaks_nothing() -> None:
    made = audit()
    made.attempt_started(0.1, "c", "x")
    made.attempt_ended(0.2, "c", "x", "answered")
    made.attempt_started(0.2, "c", "y")  # refused there: elsewhere at once
    made.attempt_ended(0.3, "c", "y", "cancelled")
    made.attempt_started(0.61, "c", "z")
    made.attempt_ended(0.7, "c", "z", "answered")
    made.call_answered(0.7, "c", 200)
    assert rules(made) == []


def test_each_rule_is_seen() -> None:
    made = audit()
    assert rules(made) == ["no final answer"]
    made = audit()
    made.call_answered(2.1, "c", 503)
    made.call_answered(2.2, "c", 200)
    made.attempt_started(2.3, "c", "x")
    made.call_answered(2.3, "nobody", 200)
    made.attempt_started(2.3, "nobody", "x")
    assert rules(made) == [
        "late answer",
        "set-up after the answer",
        "two final answers",
        "unknown answer",
        "unknown set-up",
    ]
    made = audit()
    made.attempt_started(0.0, "c", "x")
    made.attempt_started(0.1, "c", "y")
    assert "two attempts at once" in rules(made)
    for how in ("cancelled", "reset"):
        made = audit()
        made.attempt_started(0.0, "c", "x")
        made.attempt_ended(0.1, "c", "x", how)
        made.attempt_started(0.3, "c", "y")
        assert "attempt within 300 ms" in rules(made)
    made = audit()
    made.drain_announced(0.0, "x")
    made.attempt_started(0.5, "c", "x")
    assert "drain" not in made.counts
    made.attempt_started(0.6, "c", "x")
    assert "drain" in rules(made)
    made = audit()
    for number in range(7):
        made.attempt_started(float(number) / 10, "c", "x")
        made.attempt_ended(float(number) / 10, "c", "x", "answered")
    assert "too many attempts" in rules(made)
    made = Audit()
    made.desk_started_cold(0.0, "x", 2.0)
    for number in range(10):
        made.call_requested(0.0, f"c{number}", "low", 2.0)
        made.attempt_started(0.1, f"c{number}", "x")
    assert made.counts["cold desk"] == 1  # three times 2 a second for 1.5 s are 9


@pytest.mark.parametrize("front", FRONTS)
def test_a_short_load_on_each_front(front: str) -> None:
    """No figure of time is judged here: machines that run tests are busy."""
    faults = ((0.3, "desk-1", "reset"), (0.5, "desk-2", "full"), (0.8, "desk-2", "empty"))
    report = asyncio.run(play(Load(rate=40.0, seconds=1.5, front=front, faults=faults)))
    assert report.exit_code == 0 and report.calls > 30
    assert sum(report.results.values()) == report.calls and report.results["stood"] > 0
    assert not {"two attempts at once", "two final answers", "no final answer", "drain"} & report.counts.keys()


def drawn(classes: int, offices: int) -> str:
    rng = random.Random(classes * 100 + offices)
    rows = [
        f'[[classes]]\nname = "c{n}"\npart = {rng.uniform(0.1, 1.0)}\nworth = {rng.choice([0.5, 1, 20])}\n'
        f"on_time_ms = {rng.randint(500, 2000)}\ndeadline_ms = 6000\n"
        for n in range(classes)
    ]
    rows += [f'[[offices]]\nname = "o{n}"\npart = {rng.uniform(0.1, 1.0)}\n' for n in range(offices)]
    return "".join(rows)


@pytest.mark.parametrize(("classes", "offices"), [(1, 1), (5, 1), (12, 40)])
def test_a_load_on_a_drawn_site_keeps_the_rules(tmp_path: Path, classes: int, offices: int) -> None:
    (tmp_path / "site.toml").write_text(drawn(classes, offices))
    load = Load(rate=30.0, seconds=1.0, site=read_site(tmp_path / "site.toml"))
    report = asyncio.run(play(load))
    assert report.violations == [] and report.exit_code == 0
    assert report.results.total() == report.calls > 0
    assert report.answer_delay_ms.keys() == {f"c{n}" for n in range(classes)}


ONE, TWO = drawn(1, 1), drawn(2, 1)


@pytest.mark.parametrize(
    ("text", "says"),
    [
        (ONE.replace('"c0"', '""'), r"classes\[0\].name: missing"),
        (ONE.replace("worth", "worht"), r"classes\[0\].worth"),
        (TWO.replace("c1", "c0"), r"classes\[1\].name"),
        (ONE + "x = 1\n", r"offices\[0\].x: unknown key"),
        ("patience_ms = 0\n" + ONE, "patience_ms"),
        ("", "classes: at least one"),
        ("people = 1", "unknown key 'people'"),
    ],
)
def test_a_site_that_cannot_be_used_is_named(tmp_path: Path, text: str, says: str) -> None:
    (tmp_path / "site.toml").write_text(text)
    with pytest.raises(ValueError, match=says):
        read_site(tmp_path / "site.toml")


def test_the_audit_finds_what_is_owed_after_a_call_or_its_caller_has_gone() -> None:
    made = audit()
    made.caller_left(0.1, "c")
    made.attempt_started(0.2, "c", "x")
    assert rules(made) == []
    made.attempt_started(0.3, "c", "x")
    assert "attempt after the caller left" in rules(made)
    made = audit()
    made.caller_left(0.1, "c")
    made.finish(9.0)
    assert rules(made) == []  # no answer is owed to who left
    made = audit()
    made.call_answered(0.1, "c", 200)
    made.call_ended(1.0, "c")
    made.finish(1.5)
    assert rules(made) == []  # not due yet
    made.finish(2.5)
    assert rules(made) == ["no release"]
    made.call_released(2.5, "c")
    assert rules(made) == ["late release", "no release"]
    made = audit()
    made.call_answered(0.1, "c", 200)
    made.call_ended(1.0, "c")
    made.postpone_release("c", 9.0)
    made.call_released(8.0, "c")
    made.finish(10.0)
    assert rules(made) == []
