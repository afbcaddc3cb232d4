"""The load tool: its audit detects each violation, and short loads on each front keep the rules."""

import asyncio
import random
from pathlib import Path

import pytest

from seamlb.emulator.audit import Audit
from seamlb.emulator.load import FRONTS, Load, play, read_site


def make_audit() -> Audit:
    audit = Audit()
    audit.call_requested(0.0, "c", "low", 2.0)
    return audit


def violated_rules(audit: Audit) -> list[str]:
    audit.finish()
    return sorted(audit.counts)


def test_a_correct_call_violates_no_rule() -> None:
    audit = make_audit()
    audit.attempt_started(0.1, "c", "x")
    audit.attempt_ended(0.2, "c", "x", "answered")
    audit.attempt_started(0.2, "c", "y")  # refused at x: the next attempt may start at once
    audit.attempt_ended(0.3, "c", "y", "cancelled")
    audit.attempt_started(0.61, "c", "z")
    audit.attempt_ended(0.7, "c", "z", "answered")
    audit.call_answered(0.7, "c", 200)
    assert violated_rules(audit) == []


def test_each_violation_is_detected() -> None:
    audit = make_audit()
    assert violated_rules(audit) == ["no final answer"]
    audit = make_audit()
    audit.call_answered(2.1, "c", 503)
    audit.call_answered(2.2, "c", 200)
    audit.attempt_started(2.3, "c", "x")
    audit.call_answered(2.3, "nobody", 200)
    audit.attempt_started(2.3, "nobody", "x")
    assert violated_rules(audit) == [
        "late answer",
        "set-up after the answer",
        "two final answers",
        "unknown answer",
        "unknown set-up",
    ]
    audit = make_audit()
    audit.attempt_started(0.0, "c", "x")
    audit.attempt_started(0.1, "c", "y")
    assert "two attempts at once" in violated_rules(audit)
    for outcome in ("cancelled", "reset"):
        audit = make_audit()
        audit.attempt_started(0.0, "c", "x")
        audit.attempt_ended(0.1, "c", "x", outcome)
        audit.attempt_started(0.3, "c", "y")
        assert "attempt within 300 ms" in violated_rules(audit)
    audit = make_audit()
    audit.drain_announced(0.0, "x")
    audit.attempt_started(0.5, "c", "x")
    assert "drain" not in audit.counts
    audit.attempt_started(0.6, "c", "x")
    assert "drain" in violated_rules(audit)
    audit = make_audit()
    for number in range(7):
        audit.attempt_started(float(number) / 10, "c", "x")
        audit.attempt_ended(float(number) / 10, "c", "x", "answered")
    assert "too many attempts" in violated_rules(audit)
    audit = Audit()
    audit.desk_started_cold(0.0, "x", 2.0)
    for number in range(10):
        audit.call_requested(0.0, f"c{number}", "low", 2.0)
        audit.attempt_started(0.1, f"c{number}", "x")
    assert audit.counts["cold desk"] == 1  # the limit is 3 times 2/s for 1.5 s, which is 9


@pytest.mark.parametrize("front", FRONTS)
def test_a_short_load_on_each_front_keeps_the_rules(front: str) -> None:
    """Checks no timing, as the machine that runs the tests may be busy."""
    faults = ((0.3, "desk-1", "reset"), (0.5, "desk-2", "full"), (0.8, "desk-2", "empty"))
    report = asyncio.run(play(Load(rate=40.0, seconds=1.5, front=front, faults=faults)))
    assert report.exit_code == 0 and report.calls > 30
    assert sum(report.results.values()) == report.calls and report.results["stood"] > 0
    assert not {"two attempts at once", "two final answers", "no final answer", "drain"} & report.counts.keys()


def random_site(classes: int, offices: int) -> str:
    rng = random.Random(classes * 100 + offices)
    rows = [
        f'[[classes]]\nname = "c{n}"\npart = {rng.uniform(0.1, 1.0)}\nworth = {rng.choice([0.5, 1, 20])}\n'
        f"on_time_ms = {rng.randint(500, 2000)}\ndeadline_ms = 6000\n"
        for n in range(classes)
    ]
    rows += [f'[[offices]]\nname = "o{n}"\npart = {rng.uniform(0.1, 1.0)}\n' for n in range(offices)]
    return "".join(rows)


@pytest.mark.parametrize(("classes", "offices"), [(1, 1), (5, 1), (12, 40)])
def test_a_load_on_a_random_site_keeps_the_rules(tmp_path: Path, classes: int, offices: int) -> None:
    (tmp_path / "site.toml").write_text(random_site(classes, offices))
    load = Load(rate=30.0, seconds=1.0, site=read_site(tmp_path / "site.toml"))
    report = asyncio.run(play(load))
    assert report.violations == [] and report.exit_code == 0
    assert report.results.total() == report.calls > 0
    assert report.answer_delay_ms.keys() == {f"c{n}" for n in range(classes)}


ONE_CLASS, TWO_CLASSES = random_site(1, 1), random_site(2, 1)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (ONE_CLASS.replace('"c0"', '""'), r"classes\[0\].name: missing"),
        (ONE_CLASS.replace("worth", "worht"), r"classes\[0\].worth"),
        (TWO_CLASSES.replace("c1", "c0"), r"classes\[1\].name"),
        (ONE_CLASS + "x = 1\n", r"offices\[0\].x: unknown key"),
        ("patience_ms = 0\n" + ONE_CLASS, "patience_ms"),
        ("", "classes: at least one"),
        ("people = 1", "unknown key 'people'"),
    ],
)
def test_an_invalid_site_names_the_key_and_the_reason(tmp_path: Path, text: str, message: str) -> None:
    (tmp_path / "site.toml").write_text(text)
    with pytest.raises(ValueError, match=message):
        read_site(tmp_path / "site.toml")


def test_releases_and_answers_are_required_only_while_they_are_due() -> None:
    audit = make_audit()
    audit.caller_left(0.1, "c")
    audit.attempt_started(0.2, "c", "x")
    assert violated_rules(audit) == []
    audit.attempt_started(0.3, "c", "x")
    assert "attempt after the caller left" in violated_rules(audit)
    audit = make_audit()
    audit.caller_left(0.1, "c")
    audit.finish(9.0)
    assert violated_rules(audit) == []  # a caller who left needs no answer
    audit = make_audit()
    audit.call_answered(0.1, "c", 200)
    audit.call_ended(1.0, "c")
    audit.finish(1.5)
    assert violated_rules(audit) == []  # not due yet
    audit.finish(2.5)
    assert violated_rules(audit) == ["no release"]
    audit.call_released(2.5, "c")
    assert violated_rules(audit) == ["late release", "no release"]
    audit = make_audit()
    audit.call_answered(0.1, "c", 200)
    audit.call_ended(1.0, "c")
    audit.postpone_release("c", 9.0)
    audit.call_released(8.0, "c")
    audit.finish(10.0)
    assert violated_rules(audit) == []
