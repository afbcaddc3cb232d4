"""Several plug-ins asked in order: bounds, contradictions, shared fuel."""

from typing import Any

import pytest

from seamlb.plugins.abi import Engine, PluginError
from seamlb.plugins.checking import compile_rules
from seamlb.plugins.host import Grant, Plugin
from tests.plugin_modules import ALL, FAULTY_MODULES, build_module, call, chain, rules, wasm


def test_a_plugin_that_refuses_everything_is_bounded_and_never_touches_the_dearest() -> None:
    made, _ = chain(rules("rule r on admit then refuse", grant=Grant(max_share=0.1)))
    told = [made.advise(float(n), call(n, "top" if n % 20 == 0 else "low")) for n in range(1000)]
    assert 50 <= sum(one.standing < 0 for one in told) <= 100
    assert all(one.standing == 0 for one in told[::20])


def test_bounds_are_by_office() -> None:
    made, _ = chain(rules("rule r on classify then precedence", grant=Grant(max_share=0.5)))
    told = [made.advise(float(n), call(n, office="y" if n % 10 == 0 else "x")) for n in range(400)]
    moved = {office: sum(one.standing for one in told if one.office == office) for office in "xy"}
    assert 150 <= moved["x"] <= 180 and 15 <= moved["y"] <= 20


def test_contradictions_first_has_its_way_and_sparing_outweighs() -> None:
    text = 'rule r on classify then class "{}"\nrule a on admit then {}\nrule d on prefer then prefer "{}"'
    first = rules(text.format("mid", "refuse", "d1"))
    second = rules(text.format("top", "spare", "d2"), name="q")
    made, _ = chain(first, second)
    told = made.advise(0.0, call(1))
    assert (told.class_name, told.standing, told.desk) == ("mid", 1, "d1")
    assert made.slots["q"].conflicts == 3
    made.order(["q", "p"])
    assert made.advise(1.0, call(2)).class_name == "top"


def test_verdicts_for_what_does_not_exist_do_nothing() -> None:
    made, _ = chain(rules('rule r on classify then class "nothing", office "nowhere"'))
    told = made.advise(0.0, call(1))
    assert (told.class_name, told.office) == ("low", "x")


def test_a_redial_is_advised_as_its_first_try() -> None:
    """A plug-in that flips its verdict from call to call."""
    flips = """keep n = 0
    rule a on classify when n == 0 then precedence, set n to 1, stop
    rule b on classify then set n to 0"""
    made, _ = chain(rules(flips))
    told = [made.advise(float(at), call(1)).standing for at in (0, 100, 5000)]
    assert told == [1, 1, 1]
    assert [made.advise(6000.0 + n, call(n)).standing for n in range(2, 6)] == [0, 1, 0, 1]
    assert made.advise(16_000.0, call(1)).standing == 0  # long after, it is a new caller


def test_fuel_is_shared_and_one_can_not_eat_what_others_were_to_have() -> None:
    made, _ = chain(wasm(FAULTY_MODULES["fuel"]), rules("rule r on admit then spare", name="good"), fuel=10_000)
    assert made.advise(0.0, call(1)).standing == 1
    hungry = build_module(
        "(local i32) (loop $l (local.set 1 (i32.add (local.get 1) (i32.const 1)))"
        "(br_if $l (i32.lt_u (local.get 1) (i32.const 1100)))) (i32.const 0)"
    )
    made, _ = chain(wasm(hungry), rules("rule r on admit then spare", name="good"), fuel=10_000)
    for number in range(100):  # just below the bound on every call
        assert made.advise(float(number), call(number)).standing == 1
    assert 8_000 < made.slots["bad"].active.most_used < 10_000 and not made.supervisor.record("bad").total


def test_a_fault_drops_all_of_the_call_s_answers() -> None:
    class Late:
        def run(self, point: int, inputs: Any, fuel: int) -> tuple[list[tuple[int, float]], int]:
            if point == 1:
                raise PluginError("trap")
            return [(0, 1.0)], 1

    program = compile_rules("plugin p version 1\nrule c on classify then precedence\nrule a on admit then spare")
    engine: Engine = Late()
    made, _ = chain(Plugin(program, engine, ALL))
    assert made.advise(0.0, call(1)).standing == 0


def test_states_are_the_operators_word() -> None:
    made, log = chain(rules("state evacuation of office\nrule r on classify when evacuation then precedence"))
    assert made.advise(0.0, call(1)).standing == 0
    made.set_state("evacuation", "x", True)
    assert made.advise(1.0, call(1)).standing == 1 and made.advise(1.0, call(2, office="y")).standing == 0
    made.set_state("evacuation", "x", False)
    assert made.advise(2.0, call(1)).standing == 0 and not made.states
    with pytest.raises(KeyError, match="no plug-in has a state"):
        made.set_state("flood", "x", True)
    assert log.names().count("plugin_state") == 2
