"""wasmtime as an Engine: fuel in instructions, a memory cap, a bounded stack, no imports at all."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from functools import cache
from typing import Any

import wasmtime

from seamlb.plugins.abi import MOST_ANSWERS, PAGE, Answers, ModuleError, PluginError

MEMORY = 4 << 20  # bytes a plug-in may hold
STACK = 256 << 10


@cache
def _engine() -> wasmtime.Engine:
    config = wasmtime.Config()
    config.consume_fuel = True
    config.cranelift_nan_canonicalization = True  # the same bits on every machine
    config.max_wasm_stack = STACK
    config.wasm_threads = False
    config.wasm_memory64 = False
    config.memory_reservation = MEMORY
    config.memory_guard_size = PAGE
    config.parallel_compilation = False
    return wasmtime.Engine(config)


def _reason(error: Exception) -> str:
    """The last line of what the library says, behind its backtrace."""
    return str(error).strip().splitlines()[-1].strip()[:200]


class WasmEngine:
    """One module in a store of its own; after a fault it begins anew, with fresh memory."""

    def __init__(self, module: bytes, inputs: int) -> None:
        self.inputs = inputs
        self.layout = struct.Struct(f"<{inputs}d")
        try:
            self.module = wasmtime.Module(_engine(), module)
            if self.module.imports:
                raise ModuleError(f"it imports {self.module.imports[0].name!r}, and nothing may be imported")
            self._begin()
        except wasmtime.WasmtimeError as error:
            raise ModuleError(_reason(error)) from None

    def _begin(self) -> None:
        self.store = wasmtime.Store(_engine())
        self.store.set_limits(memory_size=MEMORY, instances=1, memories=1, tables=1, table_elements=10_000)
        self.store.set_fuel(100_000)  # a start function is bounded too
        try:
            exports = wasmtime.Instance(self.store, self.module, []).exports(self.store)
        except (wasmtime.Trap, wasmtime.WasmtimeError) as error:
            raise ModuleError(f"it does not start: {_reason(error)}") from None
        memory, run = exports.get("memory"), exports.get("run")
        if not isinstance(memory, wasmtime.Memory) or not isinstance(run, wasmtime.Func):
            raise ModuleError("it exports no memory `memory` and function `run`")
        kind = run.type(self.store)
        if [str(one) for one in kind.params] != ["i32"] or [str(one) for one in kind.results] != ["i32"]:
            raise ModuleError("`run` must take an i32 and return an i32")
        if memory.data_len(self.store) < 8 * self.inputs + 16 * MOST_ANSWERS:
            raise ModuleError("its memory has no room for its inputs and answers")
        self.memory, self.function = memory, run
        self.broken = False

    def run(self, point: int, inputs: Sequence[float], fuel: int) -> tuple[Answers, int]:
        """Its answers and the fuel used. Raises PluginError."""
        try:
            if self.broken:
                self._begin()
            self.broken = True  # until it has answered
            self.store.set_fuel(fuel)
            self.memory.write(self.store, self.layout.pack(*inputs), 0)
            count: Any = self.function(self.store, point)
            used = fuel - self.store.get_fuel()
            if not 0 <= count <= MOST_ANSWERS:
                raise PluginError("answers", f"{count} of {MOST_ANSWERS}")
            data = bytes(self.memory.read(self.store, 8 * self.inputs, 8 * self.inputs + 16 * count))
        except wasmtime.Trap as error:
            raise PluginError(
                "fuel" if error.trap_code == wasmtime.TrapCode.OUT_OF_FUEL else "trap", _reason(error)
            ) from None
        except ModuleError as error:
            raise PluginError("start", str(error)) from None
        except wasmtime.WasmtimeError as error:
            raise PluginError("fuel" if "fuel" in str(error) else "trap", _reason(error)) from None
        self.broken = False
        answers = []
        for number, value in struct.iter_unpack("<dd", data):
            if not 0 <= number < 1e9 or number != int(number):
                raise PluginError("answers", f"no such answer: {number}")
            answers.append((int(number), value))
        return answers, used
