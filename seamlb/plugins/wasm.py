"""A checked program as a WebAssembly module (core specification 2.0, binary format), against `abi.py`."""

from __future__ import annotations

import struct

from seamlb.plugins.abi import MOST_ANSWERS, PAGE, SECTION, ModuleError, manifest
from seamlb.plugins.checking import POINTS, Clause, Expr, Program

I32, F64, VOID = 0x7F, 0x7C, 0x40
BLOCK_IF, ELSE, END, RETURN = 0x04, 0x05, 0x0B, 0x0F
GET, SET = 0x20, 0x21
F64_LOAD, F64_STORE = 0x2B, 0x39
I32_CONST, F64_CONST = 0x41, 0x44
I32_EQZ, I32_EQ, I32_ADD, I32_MUL = 0x45, 0x46, 0x6A, 0x6C
F64_NE = 0x62
COMPARES = {"==": 0x61, "!=": 0x62, "<": 0x63, ">": 0x64, "<=": 0x65, ">=": 0x66}
SUMS = {"+": 0xA0, "-": 0xA1, "*": 0xA2, "/": 0xA3}
F64_NEG, F64_CONVERT = 0x9A, 0xB7
POINT, COUNT = 0, 1  # locals


def unsigned(value: int) -> bytes:
    """LEB128."""
    out = bytearray()
    while True:
        out.append(value & 0x7F | (0x80 if value > 0x7F else 0))
        value >>= 7
        if not value:
            return bytes(out)


def signed(value: int) -> bytes:
    """A signed integer in LEB128."""
    out = bytearray()
    while True:
        byte, value = value & 0x7F, value >> 7
        last = value == (-1 if byte & 0x40 else 0)
        out.append(byte if last else byte | 0x80)
        if last:
            return bytes(out)


def _vector(items: list[bytes]) -> bytes:
    return unsigned(len(items)) + b"".join(items)


def _section(number: int, body: bytes) -> bytes:
    return bytes([number]) + unsigned(len(body)) + body


def _string(text: str) -> bytes:
    return unsigned(len(text.encode())) + text.encode()


def _value(expr: Expr) -> bytes:
    """Leaves an f64; truths are 0 and 1."""
    if expr.op == "const":
        return bytes([F64_CONST]) + struct.pack("<d", expr.value)
    if expr.op == "input":
        return bytes([I32_CONST]) + signed(0) + bytes([F64_LOAD, 3]) + unsigned(8 * int(expr.value))
    if expr.op in SUMS:
        return _value(expr.parts[0]) + _value(expr.parts[1]) + bytes([SUMS[expr.op]])
    if expr.op == "neg":
        return _value(expr.parts[0]) + bytes([F64_NEG])
    return _truth(expr) + bytes([F64_CONVERT])


def _truth(expr: Expr) -> bytes:
    """Leaves an i32 of 0 or 1; `and` and `or` look no further than they need."""
    if expr.op in COMPARES:
        return _value(expr.parts[0]) + _value(expr.parts[1]) + bytes([COMPARES[expr.op]])
    if expr.op == "not":
        return _truth(expr.parts[0]) + bytes([I32_EQZ])
    if expr.op in ("and", "or"):
        # Each part in a block of its own would nest as deep as there are parts; flat: a block left by branches.
        leave, body = 0x0D, b""
        for part in expr.parts:
            body += _truth(part) + (bytes([I32_EQZ]) if expr.op == "and" else b"") + bytes([leave, 0])
        ends = int(expr.op == "and")
        inner = bytes([0x02, VOID]) + body + bytes([I32_CONST, ends, 0x0C, 1, END])
        return bytes([0x02, I32]) + inner + bytes([I32_CONST, 1 - ends, END])
    return _value(expr) + bytes([F64_CONST]) + struct.pack("<d", 0.0) + bytes([F64_NE])


def _clause(clause: Clause, base: int) -> bytes:
    body = b""
    for step in clause.steps:
        for offset, value in ((0, Expr("const", float(step.answer))), (8, step.value or Expr("const", 1.0))):
            body += bytes([GET, COUNT, I32_CONST]) + signed(16) + bytes([I32_MUL])
            body += _value(value) + bytes([F64_STORE, 3]) + unsigned(base + offset)
        body += bytes([GET, COUNT, I32_CONST, 1, I32_ADD, SET, COUNT])
    if clause.stops:
        body += bytes([GET, COUNT, RETURN])
    if clause.when is None:
        return body
    return _truth(clause.when) + bytes([BLOCK_IF, VOID]) + body + bytes([END])


def compile_program(program: Program) -> bytes:
    """The module's bytes; the same program always gives the same ones."""
    for point, clauses in program.points.items():
        steps = sum(len(one.steps) for one in clauses)
        if steps > MOST_ANSWERS:
            raise ModuleError(f"{point} has {steps} actions, {MOST_ANSWERS} at most")
    base = 8 * len(program.inputs)
    pages = -(-(base + 16 * MOST_ANSWERS) // PAGE)
    code = b""
    for point, clauses in sorted(program.points.items(), key=lambda one: POINTS.index(one[0])):
        code += bytes([GET, POINT, I32_CONST]) + signed(POINTS.index(point)) + bytes([I32_EQ, BLOCK_IF, VOID])
        code += b"".join(_clause(one, base) for one in clauses) + bytes([END])
    code += bytes([GET, COUNT, END])
    body = _vector([unsigned(1) + bytes([I32])]) + code
    return b"\0asm\1\0\0\0" + b"".join(
        (
            _section(1, _vector([bytes([0x60]) + _vector([bytes([I32])]) + _vector([bytes([I32])])])),
            _section(3, _vector([unsigned(0)])),
            _section(5, _vector([bytes([1]) + unsigned(pages) + unsigned(pages)])),
            _section(7, _vector([_string("memory") + bytes([2, 0]), _string("run") + bytes([0, 0])])),
            _section(10, _vector([unsigned(len(body)) + body])),
            _section(0, _string(SECTION) + manifest(program)),
        )
    )
