"""Faulty plug-ins are contained, limits of fuel and memory hold, and invalid modules are rejected."""

import pytest

from seamlb.plugins.abi import ModuleError, PluginError
from seamlb.plugins.engine import MAX_MEMORY_BYTES, WasmEngine
from seamlb.plugins.host import Facts, Grant, GrantError
from seamlb.plugins.interpreter import Interpreter
from seamlb.plugins.supervisor import QUARANTINE_FAULTS, Health
from seamlb.plugins.type_checker import compile_rules
from tests.plugin_modules import FAULTY_MODULES, build_module, call_facts, make_chain, rules_plugin, wasm_plugin


@pytest.mark.parametrize("name", FAULTY_MODULES)
def test_a_faulty_module_has_no_effect_and_is_quarantined(name: str) -> None:
    good = rules_plugin("rule r on admit then spare", name="good")
    chain, _ = make_chain(wasm_plugin(FAULTY_MODULES[name]), good)
    for number in range(20):
        advice = chain.advise(float(number), call_facts(number))
        assert (advice.class_name, advice.office, advice.priority) == ("low", "x", 1)
    assert chain.supervisor.record("bad").total_faults >= QUARANTINE_FAULTS
    assert chain.supervisor.record("bad").health is Health.QUARANTINE
    assert chain.supervisor.record("good").total_faults == 0


def test_memory_is_fresh_after_a_fault() -> None:
    """The module counts its runs in memory and traps on the second: every second run fails, not every later one."""
    body = """(i32.store (i32.const 4096) (i32.add (i32.load (i32.const 4096)) (i32.const 1)))
        (if (i32.eq (i32.load (i32.const 4096)) (i32.const 2)) (then unreachable)) (i32.const 0)"""
    plugin = wasm_plugin(build_module(body))
    results = []
    for _ in range(8):
        try:
            plugin.run(0.0, "classify", Facts(), {}, 10_000)
            results.append("ok")
        except PluginError as error:
            results.append(error.kind)
    assert results == ["ok", "trap"] * 4


def test_fuel_is_counted_in_instructions() -> None:
    """Fuel used is the same on each run, and exactly that amount suffices."""
    for engine in (
        WasmEngine(build_module("(i32.const 0)"), 1),
        Interpreter(compile_rules("plugin p version 1\nrule r on classify when hour > 3 then precedence")),
    ):
        runs = {engine.run(0, [5.0], 10_000)[1] for _ in range(3)}
        assert len(runs) == 1
        (used,) = runs
        engine.run(0, [5.0], used)
        with pytest.raises(PluginError, match="fuel"):
            engine.run(0, [5.0], used - 1)


def test_memory_is_bounded() -> None:
    module = build_module("(drop (memory.grow (i32.const 60000))) (i32.const 0)")
    engine = WasmEngine(module, 1)
    engine.run(0, [1.0], 10_000)
    assert engine.memory.data_len(engine.store) <= MAX_MEMORY_BYTES
    with pytest.raises(ModuleError):
        WasmEngine(build_module("(i32.const 0)", memory='(memory (export "memory") 60000)'), 1)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", "not a WebAssembly module"),
        (b"\0asm\1\0\0\0", "no section"),
        (build_module("(i32.const 0)", extra='(import "wasi" "exit" (func))'), "imports are not allowed"),
        (build_module("(i32.const 0)", memory="(memory 1)"), "does not export a memory"),
        (build_module("(i32.const 0)", extra="(func $s (loop $l (br $l))) (start $s)"), "fuel"),
        (build_module("(i32.const 0)", abi=2), "ABI 2"),
        (build_module("(i32.const 0)", points=["send"]), "'send' is not one of"),
        (build_module("(i32.const 0)", answers=[["send", ""]]), "'send' is not one of"),
        (build_module("(i32.const 0)", answers=[["alarm", "x" * 300]]), "too long"),
        (build_module("(i32.const 0)", inputs=[["keep", "k", ""]]), "not declared"),
        (build_module("(i32.const 0)", answers=[["count", "k"]]), "not declared"),
        (build_module("(i32.const 0)", inputs=[["fact", "hour"]]), "manifest"),
        (build_module("(i32.const 0)", declared=[["keep", "k", "", "x", "", []]]), "manifest"),
    ],
)
def test_an_invalid_module_gives_a_one_line_error(data: bytes, expected: str) -> None:
    with pytest.raises(ModuleError) as caught:
        wasm_plugin(data)
    assert expected in str(caught.value) and "\n" not in str(caught.value)


def test_grants_limit_points_and_facts() -> None:
    text = 'rule r on classify when office == "x" then precedence'
    for grant, expected in (
        (Grant(points=frozenset({"admit"})), "answers on classify"),
        (Grant(facts=frozenset({"class"})), "reads office"),
    ):
        with pytest.raises(GrantError, match=expected):
            rules_plugin(text, grant=grant)
    rules_plugin(text, grant=Grant(points=frozenset({"classify"}), facts=frozenset({"office"})))
