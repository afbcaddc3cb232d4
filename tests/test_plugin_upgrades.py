"""Upgrades, quarantine, observations and stores of plug-ins."""

import random
from collections import deque

import pytest

from seamlb.plugins.chain import PROBATION_MS, QUEUE, SHADOW_CALLS
from seamlb.plugins.host import Grant
from seamlb.plugins.supervisor import FAULTS, FIRST_MS, SAMPLE, TRIALS, Health, Supervisor
from seamlb.plugins.windows import SLICES, Kept, Window
from tests.plugin_modules import FAULTY_MODULES, Log, call, chain, rules, wasm

COUNTS = "counter seen over 1 h\nkeep k of office = 0\nrule o on classify then count seen, set k to k + 1"


def test_an_upgrade_is_shadowed_then_switched_with_its_state() -> None:
    made, log = chain(rules(COUNTS))
    for number in range(10):
        made.advise(float(number), call(number))
    better = rules(COUNTS + "\nrule r on classify when seen >= 10 then precedence", version=2)
    assert made.load(10.0, better) == "shadow"
    told = [made.advise(10.0 + n, call(100 + n)).standing for n in range(SHADOW_CALLS + 3)]
    assert set(told[:SHADOW_CALLS]) == {0} and set(told[SHADOW_CALLS:]) == {1}
    (facts,) = [facts for name, facts in log.lines if name == "plugin_switched"]
    assert facts["differed"] == SHADOW_CALLS and facts["version"] == 2
    state = made.slots["p"].active.state
    assert state.counters["seen"].count(300.0) == 10 + SHADOW_CALLS + 3 == state.kept["k"].get("x")
    made.roll_back(999.0, "p")
    assert made.slots["p"].active.program.version == 1
    assert made.slots["p"].active.state.kept["k"].get("x") == 10 + SHADOW_CALLS + 3
    with pytest.raises(KeyError, match="no version to go back to"):
        made.roll_back(999.0, "p")


def test_a_shadow_that_faults_is_never_used() -> None:
    made, log = chain(rules("rule r on admit then spare", name="bad"))
    made.load(0.0, wasm(FAULTY_MODULES["trap"]))
    for number in range(SHADOW_CALLS + 5):
        assert made.advise(float(number), call(number)).standing == 1
    assert made.slots["bad"].shadow is None and made.slots["bad"].active.program.version == 1
    assert log.names().count("plugin_shadow_fault") == 1 and "plugin_rolled_back" in log.names()
    assert made.supervisor.record("bad").total == 0


def test_faults_soon_after_a_switch_roll_back() -> None:
    made, log = chain(rules("rule r on admit then spare", name="bad"))
    made.load(0.0, wasm(FAULTY_MODULES["trap"]))
    made.switch(0.0, "bad")  # by the operator, before its shadow has shown it
    for number in range(FAULTS):
        made.advise(float(number), call(number))
    assert made.advise(50.0, call(99)).standing == 1
    assert "faults after the switch" in str(log.lines[-2:])
    # Later a fault is the plug-in's own: it stays, in quarantine.
    made.load(0.0, wasm(FAULTY_MODULES["trap"]))
    made.switch(100.0, "bad")
    for number in range(FAULTS):
        made.advise(100.0 + PROBATION_MS + number, call(200 + number))
    assert made.supervisor.record("bad").health is Health.QUARANTINE


def test_state_that_differs_is_not_taken_over() -> None:
    old = rules("keep a = 1\nkeep b = 1 s\ncounter c over 5 s")
    old.state.kept["a"].put("", 7.0)
    new = rules("keep a = 2\nkeep b = 1\ncounter c over 6 s", version=2)
    assert new.inherit(old) == ["b", "c"] and new.state.kept["a"].get() == 7.0
    brief = rules("keep a = 1", grant=Grant(keep_state=False))
    assert brief.inherit(old) == ["a", "b", "c"] and brief.state.kept["a"].get() == 1.0


def test_observations_wait_in_bounds() -> None:
    made, _ = chain(rules("counter seen over 1 h\nrule o on observe then count seen"))
    for number in range(QUEUE + 10):
        made.observe(call(number))
    assert made.dropped == 10 and len(made.queue) == QUEUE
    assert made.drain(0.0, 64) == 64 and made.slots["p"].active.state.counters["seen"].count(0.0) == 64
    empty, _ = chain()
    empty.observe(call(1))
    assert not empty.queue


def test_disabled_and_unloaded_plugins_are_not_asked() -> None:
    made, log = chain(rules("rule r on admit then spare"))
    made.enable("p", False)
    assert made.advise(0.0, call(1)).standing == 0
    made.enable("p", True)
    assert made.advise(0.0, call(1)).standing == 1
    made.unload("p")
    assert made.advise(0.0, call(1)).standing == 0
    for act in (made.unload, lambda name: made.enable(name, True), lambda name: made.switch(0.0, name)):
        with pytest.raises(KeyError, match="no plug-in"):
            act("p")
    assert log.names() == ["plugin_loaded", "plugin_health", "plugin_health", "plugin_unloaded"]


def test_quarantine_grows_and_a_trial_brings_back() -> None:
    log = Log()
    made, now = Supervisor(0.1, log), 0.0
    waits = []
    for _ in range(3):
        while made.may_run(now, "p") or made.record("p").health is not Health.QUARANTINE:
            made.fault(now, "p", "trap")
            now += 10.0
        waits.append(made.record("p").until - now + 10.0)
        now = made.record("p").until
    assert waits == pytest.approx([FIRST_MS, 2 * FIRST_MS, 4 * FIRST_MS], abs=50.0)
    seen = 0
    while made.record("p").health is not Health.ON:
        if made.may_run(now, "p"):
            made.passed(now, "p")
        seen += 1
        now += 1.0
    assert seen == pytest.approx(SAMPLE * TRIALS, abs=SAMPLE)
    assert [facts["now"] for _, facts in log.lines] == ["quarantine", "trial"] * 3 + ["on"]


def test_slow_faults_are_forgiven() -> None:
    made = Supervisor(0.1, Log())
    for at in range(50):
        assert not made.fault(at * 3000.0, "p", "trap") and made.may_run(at * 3000.0, "p")


def test_too_much_of_the_core_pauses_all() -> None:
    log = Log()
    made = Supervisor(0.1, log)
    for at in range(100):
        made.spent(at * 10.0, 1.0)  # a tenth
    assert made.may_run(1000.0, "p")
    made.spent(1001.0, 450.0)
    assert not made.may_run(1002.0, "p") and log.names() == ["plugins_paused"]
    assert made.may_run(1001.0 + FIRST_MS, "p")


def test_windows_count_as_a_plain_list_would_but_for_one_slice() -> None:
    rng, window, plain, now = random.Random(3), Window(10_000.0), deque[float](), 0.0
    for _ in range(5000):
        now += rng.expovariate(1 / 20.0) if rng.random() < 0.999 else 9000.0
        window.add(now, "k")
        plain.append(now)
        exact = sum(at > now - 10_000.0 for at in plain)
        least = sum(at > now - 10_000.0 * (SLICES - 1) / SLICES for at in plain)
        assert least <= window.count(now, "k") <= exact
        while plain[0] <= now - 10_000.0:
            plain.popleft()
    assert window.count(now + 10_000.0, "k") == 0 and window.count(now, "never") == 0


def test_windows_and_stores_are_bounded() -> None:
    window, kept = Window(1000.0, most=10), Kept(5.0, most=10)
    for n in range(100):
        window.add(0.0, str(n))
        kept.put(str(n), float(n))
        kept.get("0")
    assert len(window.rings) == 10 and window.evicted == 90
    assert len(kept.values) == 10 and kept.get("0") == 0.0 and kept.get("1") == 5.0
