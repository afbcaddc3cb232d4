"""Upgrades, quarantine, observations and stored state of plug-ins."""

import random
from collections import deque

import pytest

from seamlb.plugins.chain import MAX_QUEUED, PROBATION_MS, SHADOW_CALLS
from seamlb.plugins.host import Grant
from seamlb.plugins.supervisor import (
    MIN_BACKOFF_MS,
    QUARANTINE_FAULTS,
    TRIAL_SAMPLE,
    TRIAL_SUCCESSES,
    Health,
    Supervisor,
)
from seamlb.plugins.windows import SLICES, VariableStore, Window
from tests.plugin_modules import FAULTY_MODULES, Log, call_facts, make_chain, rules_plugin, wasm_plugin

COUNTS = "counter seen over 1 h\nkeep k of office = 0\nrule o on classify then count seen, set k to k + 1"


def test_an_upgrade_runs_in_shadow_and_takes_over_state_at_the_switch() -> None:
    chain, log = make_chain(rules_plugin(COUNTS))
    for number in range(10):
        chain.advise(float(number), call_facts(number))
    upgrade = rules_plugin(COUNTS + "\nrule r on classify when seen >= 10 then precedence", version=2)
    assert chain.load(10.0, upgrade) == "shadow"
    priorities = [chain.advise(10.0 + n, call_facts(100 + n)).priority for n in range(SHADOW_CALLS + 3)]
    assert set(priorities[:SHADOW_CALLS]) == {0} and set(priorities[SHADOW_CALLS:]) == {1}
    (fields,) = [fields for name, fields in log.lines if name == "plugin_switched"]
    assert fields["differed"] == SHADOW_CALLS and fields["version"] == 2
    state = chain.slots["p"].active.state
    assert state.counters["seen"].count(300.0) == 10 + SHADOW_CALLS + 3 == state.variables["k"].get("x")
    chain.roll_back(999.0, "p")
    assert chain.slots["p"].active.program.version == 1
    assert chain.slots["p"].active.state.variables["k"].get("x") == 10 + SHADOW_CALLS + 3
    with pytest.raises(KeyError, match="no version to go back to"):
        chain.roll_back(999.0, "p")


def test_a_version_that_faults_in_shadow_is_never_activated() -> None:
    chain, log = make_chain(rules_plugin("rule r on admit then spare", name="bad"))
    chain.load(0.0, wasm_plugin(FAULTY_MODULES["trap"]))
    for number in range(SHADOW_CALLS + 5):
        assert chain.advise(float(number), call_facts(number)).priority == 1
    assert chain.slots["bad"].shadow is None and chain.slots["bad"].active.program.version == 1
    assert log.names().count("plugin_shadow_fault") == 1 and "plugin_rolled_back" in log.names()
    assert chain.supervisor.record("bad").total_faults == 0


def test_faults_soon_after_a_switch_cause_a_rollback() -> None:
    chain, log = make_chain(rules_plugin("rule r on admit then spare", name="bad"))
    chain.load(0.0, wasm_plugin(FAULTY_MODULES["trap"]))
    chain.switch(0.0, "bad")  # by the operator, before the faults in shadow drop it
    for number in range(QUARANTINE_FAULTS):
        chain.advise(float(number), call_facts(number))
    assert chain.advise(50.0, call_facts(99)).priority == 1
    assert "faults after the switch" in str(log.lines[-2:])
    # After the probation there is no rollback, only a quarantine.
    chain.load(0.0, wasm_plugin(FAULTY_MODULES["trap"]))
    chain.switch(100.0, "bad")
    for number in range(QUARANTINE_FAULTS):
        chain.advise(100.0 + PROBATION_MS + number, call_facts(200 + number))
    assert chain.supervisor.record("bad").health is Health.QUARANTINE


def test_state_declared_differently_is_not_taken_over() -> None:
    old = rules_plugin("keep a = 1\nkeep b = 1 s\ncounter c over 5 s")
    old.state.variables["a"].put("", 7.0)
    new = rules_plugin("keep a = 2\nkeep b = 1\ncounter c over 6 s", version=2)
    assert new.take_over_state(old) == ["b", "c"] and new.state.variables["a"].get() == 7.0
    stateless = rules_plugin("keep a = 1", grant=Grant(keep_state=False))
    assert stateless.take_over_state(old) == ["a", "b", "c"] and stateless.state.variables["a"].get() == 1.0


def test_the_queue_of_observations_is_bounded() -> None:
    chain, _ = make_chain(rules_plugin("counter seen over 1 h\nrule o on observe then count seen"))
    for number in range(MAX_QUEUED + 10):
        chain.observe(call_facts(number))
    assert chain.dropped == 10 and len(chain.queue) == MAX_QUEUED
    assert chain.drain(0.0, 64) == 64 and chain.slots["p"].active.state.counters["seen"].count(0.0) == 64
    empty, _ = make_chain()
    empty.observe(call_facts(1))
    assert not empty.queue


def test_disabled_and_unloaded_plugins_do_not_run() -> None:
    chain, log = make_chain(rules_plugin("rule r on admit then spare"))
    chain.enable("p", False)
    assert chain.advise(0.0, call_facts(1)).priority == 0
    chain.enable("p", True)
    assert chain.advise(0.0, call_facts(1)).priority == 1
    chain.unload("p")
    assert chain.advise(0.0, call_facts(1)).priority == 0
    for command in (chain.unload, lambda name: chain.enable(name, True), lambda name: chain.switch(0.0, name)):
        with pytest.raises(KeyError, match="no plug-in"):
            command("p")
    assert log.names() == ["plugin_loaded", "plugin_health", "plugin_health", "plugin_unloaded"]


def test_quarantine_doubles_and_a_trial_ends_it() -> None:
    log = Log()
    supervisor, now = Supervisor(0.1, log), 0.0
    quarantines = []
    for _ in range(3):
        while supervisor.may_run(now, "p") or supervisor.record("p").health is not Health.QUARANTINE:
            supervisor.add_fault(now, "p", "trap")
            now += 10.0
        quarantines.append(supervisor.record("p").quarantined_until - now + 10.0)
        now = supervisor.record("p").quarantined_until
    assert quarantines == pytest.approx([MIN_BACKOFF_MS, 2 * MIN_BACKOFF_MS, 4 * MIN_BACKOFF_MS], abs=50.0)
    calls = 0
    while supervisor.record("p").health is not Health.ON:
        if supervisor.may_run(now, "p"):
            supervisor.add_success(now, "p")
        calls += 1
        now += 1.0
    assert calls == pytest.approx(TRIAL_SAMPLE * TRIAL_SUCCESSES, abs=TRIAL_SAMPLE)
    assert [fields["now"] for _, fields in log.lines] == ["quarantine", "trial"] * 3 + ["on"]


def test_rare_faults_cause_no_quarantine() -> None:
    supervisor = Supervisor(0.1, Log())
    for at in range(50):
        assert not supervisor.add_fault(at * 3000.0, "p", "trap") and supervisor.may_run(at * 3000.0, "p")


def test_too_much_use_of_the_core_pauses_all_plugins() -> None:
    log = Log()
    supervisor = Supervisor(0.1, log)
    for at in range(100):
        supervisor.add_cost(at * 10.0, 1.0)  # a tenth of the core
    assert supervisor.may_run(1000.0, "p")
    supervisor.add_cost(1001.0, 450.0)
    assert not supervisor.may_run(1002.0, "p") and log.names() == ["plugins_paused"]
    assert supervisor.may_run(1001.0 + MIN_BACKOFF_MS, "p")


def test_windows_are_exact_up_to_one_slice() -> None:
    rng, window, times, now = random.Random(3), Window(10_000.0), deque[float](), 0.0
    for _ in range(5000):
        now += rng.expovariate(1 / 20.0) if rng.random() < 0.999 else 9000.0
        window.add(now, "k")
        times.append(now)
        exact = sum(at > now - 10_000.0 for at in times)
        least = sum(at > now - 10_000.0 * (SLICES - 1) / SLICES for at in times)
        assert least <= window.count(now, "k") <= exact
        while times[0] <= now - 10_000.0:
            times.popleft()
    assert window.count(now + 10_000.0, "k") == 0 and window.count(now, "never") == 0


def test_windows_and_variable_stores_evict_keys() -> None:
    window, store = Window(1000.0, max_keys=10), VariableStore(5.0, max_keys=10)
    for n in range(100):
        window.add(0.0, str(n))
        store.put(str(n), float(n))
        store.get("0")
    assert len(window.rings) == 10 and window.evicted == 90
    assert len(store.values) == 10 and store.get("0") == 0.0 and store.get("1") == 5.0
