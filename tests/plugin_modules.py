"""Helpers of the plug-in tests: rule plug-ins, faulty WebAssembly modules, and a chain."""

from typing import Any

import orjson
import wasmtime

from seamlb.plugins.abi import MANIFEST_SECTION, custom_section, decode_manifest
from seamlb.plugins.chain import Chain
from seamlb.plugins.engine import WasmEngine
from seamlb.plugins.host import Facts, Grant, Plugin
from seamlb.plugins.interpreter import Interpreter
from seamlb.plugins.type_checker import compile_rules
from seamlb.plugins.wasm import unsigned

UNLIMITED = Grant(max_share=1.0)


def rules_plugin(text: str, name: str = "p", version: int = 1, grant: Grant = UNLIMITED) -> Plugin:
    program = compile_rules(f"plugin {name} version {version}\n{text}")
    return Plugin(program, Interpreter(program), grant)


def build_module(
    body: str,
    answers: list[list[str]] | None = None,
    memory: str = '(memory (export "memory") 1)',
    extra: str = "",
    **manifest: Any,
) -> bytes:
    """A module from WAT source whose `run` has this body; keywords replace keys of its manifest."""
    wat = f'(module {extra} {memory} (func $run (export "run") (param i32) (result i32) {body}))'
    values = {
        "abi": 1,
        "name": "bad",
        "version": 1,
        "inputs": [["fact", "hour", ""]],
        "points": ["classify"],
        "answers": answers or [["precedence", ""]],
        "declared": [],
    } | manifest
    custom = unsigned(len(MANIFEST_SECTION)) + MANIFEST_SECTION.encode() + orjson.dumps(values)
    return bytes(wasmtime.wat2wasm(wat)) + b"\0" + unsigned(len(custom)) + custom


def wasm_plugin(data: bytes, grant: Grant = UNLIMITED) -> Plugin:
    program = decode_manifest(custom_section(data))
    return Plugin(program, WasmEngine(data, len(program.inputs)), grant)


ANSWER = "(f64.store (i32.const 8) (f64.const {n})) (f64.store (i32.const 16) (f64.const {v})) (i32.const 1)"


LOOP = "(loop $l (br $l)) (i32.const 0)"


FAULTY_MODULES = {
    "fuel": build_module(LOOP),
    "trap": build_module("unreachable"),
    "recursion": build_module("(call $run (local.get 0))"),
    "division": build_module("(i32.div_u (i32.const 1) (local.get 0))"),
    "out of bounds": build_module("(i32.load (i32.const 2000000000))"),
    "too many answers": build_module("(i32.const 65)"),
    "negative count": build_module("(i32.const -1)"),
    "unknown answer": build_module(ANSWER.format(n="7", v="1")),
    "fractional number": build_module(ANSWER.format(n="0.5", v="1")),
    "nan": build_module(ANSWER.format(n="0", v="nan")),
    "infinite": build_module(ANSWER.format(n="0", v="inf")),
    "nan number": build_module(ANSWER.format(n="nan", v="1")),
}


class Log:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def __call__(self, name: str, fields: dict[str, object]) -> None:
        self.lines.append((name, fields))

    def names(self) -> list[str]:
        return [name for name, _ in self.lines]


def make_chain(*plugins: Plugin, fuel: int = 20_000, timer: Any = lambda: 0.0) -> tuple[Chain, Log]:
    log = Log()
    chain = Chain(fuel, 0.1, ("low", "mid", "top"), ("x", "y"), "top", 15_000.0, log, timer)
    for plugin in plugins:
        chain.load(0.0, plugin)
    return chain, log


def call_facts(number: int, class_name: str = "low", office: str = "x") -> Facts:
    return Facts(class_name, office, f"n{number}", 5000.0)
