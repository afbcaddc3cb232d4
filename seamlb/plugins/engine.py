"""Engine that runs modules in wasmtime: fuel in instructions, bounded memory and stack, and no imports."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from functools import cache
from typing import Any

import wasmtime

from seamlb.plugins.abi import MAX_ANSWERS, PAGE_BYTES, Answers, ModuleError, PluginError

MAX_MEMORY_BYTES = 4 << 20  # of a plug-in
MAX_STACK_BYTES = 256 << 10


@cache
def _engine() -> wasmtime.Engine:
    config = wasmtime.Config()
    config.consume_fuel = True
    config.cranelift_nan_canonicalization = True  # the same bits of NaN on every machine
    config.max_wasm_stack = MAX_STACK_BYTES
    config.wasm_threads = False
    config.wasm_memory64 = False
    config.memory_reservation = MAX_MEMORY_BYTES
    config.memory_guard_size = PAGE_BYTES
    config.parallel_compilation = False
    return wasmtime.Engine(config)


def _reason(error: Exception) -> str:
    """The last line of the library's message, which follows a backtrace."""
    return str(error).strip().splitlines()[-1].strip()[:200]


class WasmEngine:
    """Runs one module in its own store; after a fault it is instantiated again, with fresh memory."""

    def __init__(self, module: bytes, input_count: int) -> None:
        self.input_count = input_count
        self.layout = struct.Struct(f"<{input_count}d")
        try:
            self.module = wasmtime.Module(_engine(), module)
            if self.module.imports:
                raise ModuleError(f"it imports {self.module.imports[0].name!r}, but imports are not allowed")
            self._instantiate()
        except wasmtime.WasmtimeError as error:
            raise ModuleError(_reason(error)) from None

    def _instantiate(self) -> None:
        self.store = wasmtime.Store(_engine())
        self.store.set_limits(memory_size=MAX_MEMORY_BYTES, instances=1, memories=1, tables=1, table_elements=10_000)
        self.store.set_fuel(100_000)  # bounds a start function
        try:
            exports = wasmtime.Instance(self.store, self.module, []).exports(self.store)
        except (wasmtime.Trap, wasmtime.WasmtimeError) as error:
            raise ModuleError(f"it cannot be instantiated: {_reason(error)}") from None
        memory, run = exports.get("memory"), exports.get("run")
        if not isinstance(memory, wasmtime.Memory) or not isinstance(run, wasmtime.Func):
            raise ModuleError("it does not export a memory `memory` and a function `run`")
        signature = run.type(self.store)
        if [str(param) for param in signature.params] != ["i32"] or [str(result) for result in signature.results] != [
            "i32"
        ]:
            raise ModuleError("`run` must take an i32 and return an i32")
        if memory.data_len(self.store) < 8 * self.input_count + 16 * MAX_ANSWERS:
            raise ModuleError("its memory is too small for its inputs and answers")
        self.memory, self.function = memory, run
        self.needs_restart = False

    def run(self, point: int, inputs: Sequence[float], fuel: int) -> tuple[Answers, int]:
        """Run a point; returns its answers and the fuel used. Raises PluginError."""
        try:
            if self.needs_restart:
                self._instantiate()
            self.needs_restart = True  # unless this run succeeds
            self.store.set_fuel(fuel)
            self.memory.write(self.store, self.layout.pack(*inputs), 0)
            count: Any = self.function(self.store, point)
            used = fuel - self.store.get_fuel()
            if not 0 <= count <= MAX_ANSWERS:
                raise PluginError("answers", f"{count} answers, the maximum is {MAX_ANSWERS}")
            data = bytes(self.memory.read(self.store, 8 * self.input_count, 8 * self.input_count + 16 * count))
        except wasmtime.Trap as error:
            raise PluginError(
                "fuel" if error.trap_code == wasmtime.TrapCode.OUT_OF_FUEL else "trap", _reason(error)
            ) from None
        except ModuleError as error:
            raise PluginError("start", str(error)) from None
        except wasmtime.WasmtimeError as error:
            raise PluginError("fuel" if "fuel" in str(error) else "trap", _reason(error)) from None
        self.needs_restart = False
        answers = []
        for number, value in struct.iter_unpack("<dd", data):
            if not 0 <= number < 1e9 or number != int(number):
                raise PluginError("answers", f"invalid answer number: {number}")
            answers.append((int(number), value))
        return answers, used
