"""ABI between the host and a plug-in, version 1, and the manifest in a module.

A module exports a memory, `memory`, and a function, `run(point: i32) -> i32`; it has no imports. Before a call of
`run`, the host writes the inputs as little-endian f64 values from address 0. `run` writes its answers directly after
them, each as two f64 values: the number of the answer and its value; it returns how many answers it has written. The
custom section `seamlb` holds the manifest as JSON.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

import orjson

from seamlb.plugins.syntax import Declaration, Position
from seamlb.plugins.type_checker import MAX_INPUTS, MAX_TEXT_LENGTH, POINTS, Input, Program

ABI = 1
MANIFEST_SECTION = "seamlb"
MAX_ANSWERS = 64  # of one run
MAX_MODULE_BYTES = 4 << 20
PAGE_BYTES = 65536
ACTIONS = ("precedence", "to_class", "to_office", "refuse", "spare", "prefer", "count", "set", "alarm")
INPUT_KINDS = ("fact", "is", "starts", "table", "state", "count", "rate", "keep")
Answers = list[tuple[int, float]]


class PluginError(Exception):
    """A plug-in failed or gave an invalid answer; `kind` is one word, by which faults are counted."""

    def __init__(self, kind: str, detail: str = "") -> None:
        super().__init__(f"{kind}: {detail}" if detail else kind)
        self.kind = kind


class Engine(Protocol):
    """Runs one plug-in's code."""

    def run(self, point: int, inputs: Sequence[float], fuel: int) -> tuple[Answers, int]:
        """Run a point; returns its answers and the fuel used. Raises PluginError only, whatever the code does."""


class ModuleError(Exception):
    """A module that cannot be used; the message is one line."""


def encode_manifest(program: Program) -> bytes:
    """The manifest of a program as JSON: all that the host needs to run it."""
    return orjson.dumps(
        {
            "abi": ABI,
            "name": program.name,
            "version": program.version,
            "inputs": [[item.kind, item.name, item.text] for item in program.inputs],
            "answers": [list(answer) for answer in program.answers],
            "points": sorted(program.points, key=POINTS.index),
            "declared": [
                [item.kind, item.name, item.key_fact, item.number, item.unit, [list(row) for row in item.rows]]
                for item in program.declarations.values()
            ],
        }
    )


def decode_manifest(data: bytes) -> Program:
    """The program described by a manifest, without its code; ModuleError if the manifest is invalid."""
    try:
        raw: Any = orjson.loads(data)
        if raw["abi"] != ABI:
            raise ValueError(f"ABI {raw['abi']!r} is not supported, this host has {ABI}")
        program = Program(_checked_name(raw["name"]), int(raw["version"]))
        program.inputs = [
            Input(_checked_choice(kind, INPUT_KINDS), _checked_text(name), _checked_text(text))
            for kind, name, text in raw["inputs"]
        ]
        program.answers = [(_checked_choice(kind, ACTIONS), _checked_text(text)) for kind, text in raw["answers"]]
        program.points = {_checked_choice(point, POINTS): [] for point in raw["points"]}
        for kind, name, key_fact, number, unit, rows in raw["declared"]:
            kind = _checked_choice(kind, ("state", "table", "counter", "keep"))
            program.declarations[_checked_name(name)] = Declaration(
                kind,
                name,
                Position(1, 1),
                _checked_text(key_fact),
                float(number),
                _checked_text(unit),
                tuple((_checked_text(key), float(value), _checked_text(row_unit)) for key, value, row_unit in rows),
            )
        declared_kinds = {"table": "table", "state": "state", "count": "counter", "rate": "counter", "keep": "keep"}
        for item in program.inputs:
            if (
                item.kind in declared_kinds
                and getattr(program.declarations.get(item.name), "kind", "") != declared_kinds[item.kind]
            ):
                raise ValueError(f"input {item.name!r} is not declared")
        for action, text in program.answers:
            if action in ("count", "set") and text not in program.declarations:
                raise ValueError(f"{action} {text!r} is not declared")
        if len(program.inputs) > MAX_INPUTS:
            raise ValueError(f"{len(program.inputs)} inputs, at most {MAX_INPUTS} are allowed")
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
        raise ModuleError(f"invalid manifest: {error!s}"[:300].replace("\n", " ")) from None
    return program


def _checked_text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise ValueError("a text is missing or too long")
    return value


def _checked_name(value: Any) -> str:
    if not _checked_text(value).replace("_", "a").isalnum():
        raise ValueError(f"{value!r} is not a valid name")
    return str(value)


def _checked_choice(value: Any, choices: Sequence[str]) -> str:
    if value not in choices:
        raise ValueError(f"{value!r} is not one of {', '.join(choices)}")
    return str(value)


def custom_section(module: bytes, name: str = MANIFEST_SECTION) -> bytes:
    """Content of a custom section; ModuleError if it is missing or the module malformed (WebAssembly core, 5.5)."""
    if len(module) > MAX_MODULE_BYTES:
        raise ModuleError(f"{len(module)} bytes exceed the maximum size of a module ({MAX_MODULE_BYTES})")
    if module[:8] != b"\0asm\1\0\0\0":
        raise ModuleError("not a WebAssembly module")
    offset = 8
    while offset < len(module):
        section = module[offset]
        size, offset = _read_leb128(module, offset + 1)
        end = offset + size
        if end > len(module):
            break
        if section == 0:
            length, start = _read_leb128(module, offset)
            if start + length <= end and module[start : start + length] == name.encode():
                return module[start + length : end]
        offset = end
    raise ModuleError(f"it has no section {name!r}, or is truncated")


def _read_leb128(data: bytes, offset: int) -> tuple[int, int]:
    value = shift = 0
    while True:
        if offset >= len(data) or shift > 28:
            raise ModuleError("it contains a truncated or oversized number")
        byte = data[offset]
        offset += 1
        value |= (byte & 0x7F) << shift
        shift += 7
        if byte < 0x80:
            return value, offset
