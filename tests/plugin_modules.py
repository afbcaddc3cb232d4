"""Plug-ins good and faulty, and a chain of them."""

from typing import Any

import orjson
import wasmtime

from seamlb.plugins.abi import SECTION, custom_section, read_manifest
from seamlb.plugins.chain import Chain
from seamlb.plugins.checking import compile_rules
from seamlb.plugins.engine import WasmEngine
from seamlb.plugins.host import Facts, Grant, Plugin
from seamlb.plugins.machine import Interpreter
from seamlb.plugins.wasm import unsigned

ALL = Grant(max_share=1.0)


def rules(text: str, name: str = "p", version: int = 1, grant: Grant = ALL) -> Plugin:
    program = compile_rules(f"plugin {name} version {version}\n{text}")
    return Plugin(program, Interpreter(program), grant)


def build_module(
    body: str,
    answers: list[list[str]] | None = None,
    memory: str = '(memory (export "memory") 1)',
    extra: str = "",
    **change: Any,
) -> bytes:
    """A hand-made module whose `run` has this body."""
    wat = f'(module {extra} {memory} (func $run (export "run") (param i32) (result i32) {body}))'
    told = {
        "abi": 1,
        "name": "bad",
        "version": 1,
        "inputs": [["fact", "hour", ""]],
        "points": ["classify"],
        "answers": answers or [["precedence", ""]],
        "declared": [],
    } | change
    custom = unsigned(len(SECTION)) + SECTION.encode() + orjson.dumps(told)
    return bytes(wasmtime.wat2wasm(wat)) + b"\0" + unsigned(len(custom)) + custom


def wasm(data: bytes, grant: Grant = ALL) -> Plugin:
    program = read_manifest(custom_section(data))
    return Plugin(program, WasmEngine(data, len(program.inputs)), grant)


ANSWER = "(f64.store (i32.const 8) (f64.const {n})) (f64.store (i32.const 16) (f64.const {v})) (i32.const 1)"


LOOP = "(loop $l (br $l)) (i32.const 0)"


FAULTY_MODULES = {
    "fuel": build_module(LOOP),
    "trap": build_module("unreachable"),
    "recursion": build_module("(call $run (local.get 0))"),
    "division": build_module("(i32.div_u (i32.const 1) (local.get 0))"),
    "outside": build_module("(i32.load (i32.const 2000000000))"),
    "too many": build_module("(i32.const 65)"),
    "below nought": build_module("(i32.const -1)"),
    "no such answer": build_module(ANSWER.format(n="7", v="1")),
    "half an answer": build_module(ANSWER.format(n="0.5", v="1")),
    "nan": build_module(ANSWER.format(n="0", v="nan")),
    "infinite": build_module(ANSWER.format(n="0", v="inf")),
    "nan number": build_module(ANSWER.format(n="nan", v="1")),
}


class Log:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def __call__(self, name: str, facts: dict[str, object]) -> None:
        self.lines.append((name, facts))

    def names(self) -> list[str]:
        return [name for name, _ in self.lines]


def chain(*plugins: Plugin, fuel: int = 20_000, timer: Any = lambda: 0.0) -> tuple[Chain, Log]:
    log = Log()
    made = Chain(fuel, 0.1, ("low", "mid", "top"), ("x", "y"), "top", 15_000.0, log, timer)
    for one in plugins:
        made.load(0.0, one)
    return made, log


def call(number: int, kind: str = "low", office: str = "x") -> Facts:
    return Facts(kind, office, f"n{number}", 5000.0)
