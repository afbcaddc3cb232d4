"""Several plug-ins in one chain: limits, conflicts, shared fuel."""

from typing import Any

import pytest

from seamlb.plugins.abi import Engine, PluginError
from seamlb.plugins.host import Grant, Plugin
from seamlb.plugins.type_checker import compile_rules
from tests.plugin_modules import (
    FAULTY_MODULES,
    UNLIMITED,
    build_module,
    call_facts,
    make_chain,
    rules_plugin,
    wasm_plugin,
)


def test_refusals_are_limited_and_never_affect_the_top_class() -> None:
    chain, _ = make_chain(rules_plugin("rule r on admit then refuse", grant=Grant(max_share=0.1)))
    advice = [chain.advise(float(n), call_facts(n, "top" if n % 20 == 0 else "low")) for n in range(1000)]
    assert 50 <= sum(item.priority < 0 for item in advice) <= 100
    assert all(item.priority == 0 for item in advice[::20])


def test_limits_apply_per_office() -> None:
    chain, _ = make_chain(rules_plugin("rule r on classify then precedence", grant=Grant(max_share=0.5)))
    advice = [chain.advise(float(n), call_facts(n, office="y" if n % 10 == 0 else "x")) for n in range(400)]
    affected = {office: sum(item.priority for item in advice if item.office == office) for office in "xy"}
    assert 150 <= affected["x"] <= 180 and 15 <= affected["y"] <= 20


def test_conflicts_the_first_plugin_wins_and_sparing_outweighs_refusal() -> None:
    text = 'rule r on classify then class "{}"\nrule a on admit then {}\nrule d on prefer then prefer "{}"'
    first = rules_plugin(text.format("mid", "refuse", "d1"))
    second = rules_plugin(text.format("top", "spare", "d2"), name="q")
    chain, _ = make_chain(first, second)
    advice = chain.advise(0.0, call_facts(1))
    assert (advice.class_name, advice.priority, advice.desk) == ("mid", 1, "d1")
    assert chain.slots["q"].conflicts == 3
    chain.reorder(["q", "p"])
    assert chain.advise(1.0, call_facts(2)).class_name == "top"


def test_unknown_classes_and_offices_have_no_effect() -> None:
    chain, _ = make_chain(rules_plugin('rule r on classify then class "nothing", office "nowhere"'))
    advice = chain.advise(0.0, call_facts(1))
    assert (advice.class_name, advice.office) == ("low", "x")


def test_a_redial_gets_the_same_advice_as_the_first_attempt() -> None:
    """With a plug-in whose answer alternates from call to call."""
    alternating = """keep n = 0
    rule a on classify when n == 0 then precedence, set n to 1, stop
    rule b on classify then set n to 0"""
    chain, _ = make_chain(rules_plugin(alternating))
    priorities = [chain.advise(float(at), call_facts(1)).priority for at in (0, 100, 5000)]
    assert priorities == [1, 1, 1]
    assert [chain.advise(6000.0 + n, call_facts(n)).priority for n in range(2, 6)] == [0, 1, 0, 1]
    assert chain.advise(16_000.0, call_facts(1)).priority == 0  # too late to count as a redial


def test_a_plugin_that_uses_all_its_fuel_leaves_enough_for_later_ones() -> None:
    chain, _ = make_chain(
        wasm_plugin(FAULTY_MODULES["fuel"]), rules_plugin("rule r on admit then spare", name="good"), fuel=10_000
    )
    assert chain.advise(0.0, call_facts(1)).priority == 1
    expensive = build_module(
        "(local i32) (loop $l (local.set 1 (i32.add (local.get 1) (i32.const 1)))"
        "(br_if $l (i32.lt_u (local.get 1) (i32.const 1100)))) (i32.const 0)"
    )
    chain, _ = make_chain(
        wasm_plugin(expensive), rules_plugin("rule r on admit then spare", name="good"), fuel=10_000
    )
    for number in range(100):  # just below the fuel limit on every call
        assert chain.advise(float(number), call_facts(number)).priority == 1
    assert 8_000 < chain.slots["bad"].active.max_fuel < 10_000 and not chain.supervisor.record("bad").total_faults


def test_a_fault_discards_all_answers_for_the_call() -> None:
    class FailsAtAdmit:
        def run(self, point: int, inputs: Any, fuel: int) -> tuple[list[tuple[int, float]], int]:
            if point == 1:
                raise PluginError("trap")
            return [(0, 1.0)], 1

    program = compile_rules("plugin p version 1\nrule c on classify then precedence\nrule a on admit then spare")
    engine: Engine = FailsAtAdmit()
    chain, _ = make_chain(Plugin(program, engine, UNLIMITED))
    assert chain.advise(0.0, call_facts(1)).priority == 0


def test_the_operator_sets_and_clears_states() -> None:
    chain, log = make_chain(
        rules_plugin("state evacuation of office\nrule r on classify when evacuation then precedence")
    )
    assert chain.advise(0.0, call_facts(1)).priority == 0
    chain.set_state("evacuation", "x", True)
    assert (
        chain.advise(1.0, call_facts(1)).priority == 1 and chain.advise(1.0, call_facts(2, office="y")).priority == 0
    )
    chain.set_state("evacuation", "x", False)
    assert chain.advise(2.0, call_facts(1)).priority == 0 and not chain.states
    with pytest.raises(KeyError, match="no plug-in has a state"):
        chain.set_state("flood", "x", True)
    assert log.names().count("plugin_state") == 2
