"""The ABI between the host and a plug-in, version 1, and the manifest that a module carries.

A module exports a memory, `memory`, and a function, `run(point: i32) -> i32`; it imports nothing. Before a call the
host writes the inputs as little-endian f64 from address 0 on. `run` writes its answers behind them, each two f64: the
answer's number and its value, and returns how many. The custom section `seamlb` holds the manifest as JSON.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

import orjson

from seamlb.plugins.checking import MOST_INPUTS, MOST_TEXT, POINTS, Input, Program
from seamlb.plugins.syntax import At, Declaration

ABI = 1
SECTION = "seamlb"
MOST_ANSWERS = 64  # answers of one call
MOST_MODULE = 4 << 20  # bytes of a module
PAGE = 65536
ACTIONS = ("precedence", "to_class", "to_office", "refuse", "spare", "prefer", "count", "set", "alarm")
KINDS = ("fact", "is", "starts", "table", "state", "count", "rate", "keep")
Answers = list[tuple[int, float]]


class PluginError(Exception):
    """A plug-in did not answer as it must; `kind` is one word for counting."""

    def __init__(self, kind: str, why: str = "") -> None:
        super().__init__(f"{kind}: {why}" if why else kind)
        self.kind = kind


class Engine(Protocol):
    """Runs one plug-in's code."""

    def run(self, point: int, inputs: Sequence[float], fuel: int) -> tuple[Answers, int]:
        """Its answers and the fuel used. Raises PluginError, and only that, for whatever the code does."""


class ModuleError(Exception):
    """A module that can't be taken; its text is one line."""


def manifest(program: Program) -> bytes:
    """What the host must know of a program, as JSON."""
    return orjson.dumps(
        {
            "abi": ABI,
            "name": program.name,
            "version": program.version,
            "inputs": [[one.kind, one.name, one.text] for one in program.inputs],
            "answers": [list(one) for one in program.answers],
            "points": sorted(program.points, key=POINTS.index),
            "declared": [
                [one.kind, one.name, one.of, one.number, one.unit, [list(row) for row in one.rows]]
                for one in program.declarations.values()
            ],
        }
    )


def read_manifest(data: bytes) -> Program:
    """The program that a manifest describes, without its code; ModuleError says what is wrong."""
    try:
        raw: Any = orjson.loads(data)
        if raw["abi"] != ABI:
            raise ValueError(f"ABI {raw['abi']!r}, this host has {ABI}")
        out = Program(_name(raw["name"]), int(raw["version"]))
        out.inputs = [Input(_one_of(kind, KINDS), _text(name), _text(text)) for kind, name, text in raw["inputs"]]
        out.answers = [(_one_of(kind, ACTIONS), _text(text)) for kind, text in raw["answers"]]
        out.points = {_one_of(point, POINTS): [] for point in raw["points"]}
        for kind, name, of, number, unit, rows in raw["declared"]:
            kind = _one_of(kind, ("state", "table", "counter", "keep"))
            out.declarations[_name(name)] = Declaration(
                kind,
                name,
                At(1, 1),
                _text(of),
                float(number),
                _text(unit),
                tuple((_text(k), float(v), _text(u)) for k, v, u in rows),
            )
        held = {"table": "table", "state": "state", "count": "counter", "rate": "counter", "keep": "keep"}
        for one in out.inputs:
            if one.kind in held and getattr(out.declarations.get(one.name), "kind", "") != held[one.kind]:
                raise ValueError(f"input {one.name!r} is not declared")
        for action, text in out.answers:
            if action in ("count", "set") and text not in out.declarations:
                raise ValueError(f"{action} {text!r} is not declared")
        if len(out.inputs) > MOST_INPUTS:
            raise ValueError(f"{len(out.inputs)} inputs, {MOST_INPUTS} at most")
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
        raise ModuleError(f"its manifest can't be used: {error!s}"[:300].replace("\n", " ")) from None
    return out


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MOST_TEXT:
        raise ValueError("a text is missing or too long")
    return value


def _name(value: Any) -> str:
    if not _text(value).replace("_", "a").isalnum():
        raise ValueError(f"{value!r} is no name")
    return str(value)


def _one_of(value: Any, known: Sequence[str]) -> str:
    if value not in known:
        raise ValueError(f"{value!r} is none of {', '.join(known)}")
    return str(value)


def custom_section(module: bytes, name: str = SECTION) -> bytes:
    """A module's custom section; ModuleError if it has none or can't be walked (WebAssembly core, 5.5)."""
    if len(module) > MOST_MODULE:
        raise ModuleError(f"{len(module)} bytes are more than a module may have ({MOST_MODULE})")
    if module[:8] != b"\0asm\1\0\0\0":
        raise ModuleError("not a WebAssembly module")
    at = 8
    while at < len(module):
        section = module[at]
        size, at = _leb(module, at + 1)
        end = at + size
        if end > len(module):
            break
        if section == 0:
            length, start = _leb(module, at)
            if start + length <= end and module[start : start + length] == name.encode():
                return module[start + length : end]
        at = end
    raise ModuleError(f"it has no section {name!r}, or is cut off")


def _leb(data: bytes, at: int) -> tuple[int, int]:
    value = shift = 0
    while True:
        if at >= len(data) or shift > 28:
            raise ModuleError("a number in it is cut off or too large")
        byte = data[at]
        at += 1
        value |= (byte & 0x7F) << shift
        shift += 7
        if byte < 0x80:
            return value, at
