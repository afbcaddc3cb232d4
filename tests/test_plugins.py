"""Plug-ins at work: faulty ones are dropped, bounds hold, upgrades are shadowed, health is kept."""

import pytest

from seamlb.plugins.abi import ModuleError, PluginError
from seamlb.plugins.checking import compile_rules
from seamlb.plugins.engine import MEMORY, WasmEngine
from seamlb.plugins.host import Facts, Grant, GrantError
from seamlb.plugins.machine import Interpreter
from seamlb.plugins.supervisor import FAULTS, Health
from tests.plugin_modules import FAULTY_MODULES, build_module, call, chain, rules, wasm


@pytest.mark.parametrize("name", FAULTY_MODULES)
def test_a_faulty_module_is_as_if_it_were_not_there(name: str) -> None:
    good = rules("rule r on admit then spare", name="good")
    made, _ = chain(wasm(FAULTY_MODULES[name]), good)
    for number in range(20):
        told = made.advise(float(number), call(number))
        assert (told.class_name, told.office, told.standing) == ("low", "x", 1)
    assert made.supervisor.record("bad").total >= FAULTS
    assert made.supervisor.record("bad").health is Health.QUARANTINE
    assert made.supervisor.record("good").total == 0


def test_a_fault_leaves_no_trace_in_the_next_call() -> None:
    """Faults on every second call; what it had written before the trap is gone afterwards."""
    body = """(i32.store (i32.const 4096) (i32.add (i32.load (i32.const 4096)) (i32.const 1)))
        (if (i32.eq (i32.load (i32.const 4096)) (i32.const 2)) (then unreachable)) (i32.const 0)"""
    plugin = wasm(build_module(body))
    told = []
    for _ in range(8):
        try:
            plugin.ask(0.0, "classify", Facts(), {}, 10_000)
            told.append("ok")
        except PluginError as error:
            told.append(error.kind)
    assert told == ["ok", "trap"] * 4


def test_fuel_is_counted_in_instructions() -> None:
    """The same figure on each run, and exactly that much is enough."""
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
    grows = build_module("(drop (memory.grow (i32.const 60000))) (i32.const 0)")
    engine = WasmEngine(grows, 1)
    engine.run(0, [1.0], 10_000)
    assert engine.memory.data_len(engine.store) <= MEMORY
    with pytest.raises(ModuleError):
        WasmEngine(build_module("(i32.const 0)", memory='(memory (export "memory") 60000)'), 1)


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (b"", "not a WebAssembly module"),
        (b"\0asm\1\0\0\0", "no section"),
        (build_module("(i32.const 0)", extra='(import "wasi" "exit" (func))'), "nothing may be imported"),
        (build_module("(i32.const 0)", memory="(memory 1)"), "exports no memory"),
        (build_module("(i32.const 0)", extra="(func $s (loop $l (br $l))) (start $s)"), "fuel"),
        (build_module("(i32.const 0)", abi=2), "ABI 2"),
        (build_module("(i32.const 0)", points=["send"]), "'send' is none of"),
        (build_module("(i32.const 0)", answers=[["send", ""]]), "'send' is none of"),
        (build_module("(i32.const 0)", answers=[["alarm", "x" * 300]]), "too long"),
        (build_module("(i32.const 0)", inputs=[["keep", "k", ""]]), "not declared"),
        (build_module("(i32.const 0)", answers=[["count", "k"]]), "not declared"),
        (build_module("(i32.const 0)", inputs=[["fact", "hour"]]), "manifest"),
        (build_module("(i32.const 0)", declared=[["keep", "k", "", "x", "", []]]), "manifest"),
    ],
)
def test_a_module_that_does_not_fit_is_one_line(data: bytes, says: str) -> None:
    with pytest.raises(ModuleError) as caught:
        wasm(data)
    assert says in str(caught.value) and "\n" not in str(caught.value)


def test_grants_bound_points_and_facts() -> None:
    text = 'rule r on classify when office == "x" then precedence'
    for grant, says in (
        (Grant(points=frozenset({"admit"})), "answers on classify"),
        (Grant(facts=frozenset({"class"})), "reads office"),
    ):
        with pytest.raises(GrantError, match=says):
            rules(text, grant=grant)
    rules(text, grant=Grant(points=frozenset({"classify"}), facts=frozenset({"office"})))
