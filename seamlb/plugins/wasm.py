"""Compiles a checked program to a WebAssembly module (core specification 2.0, binary format; ABI in `abi.py`)."""

from __future__ import annotations

import struct

from seamlb.plugins.abi import MANIFEST_SECTION, MAX_ANSWERS, PAGE_BYTES, ModuleError, encode_manifest
from seamlb.plugins.type_checker import POINTS, Clause, Expr, Program

I32, F64, NO_RESULT = 0x7F, 0x7C, 0x40
IF, ELSE, END, RETURN = 0x04, 0x05, 0x0B, 0x0F
LOCAL_GET, LOCAL_SET = 0x20, 0x21
F64_LOAD, F64_STORE = 0x2B, 0x39
I32_CONST, F64_CONST = 0x41, 0x44
I32_EQZ, I32_EQ, I32_ADD, I32_MUL = 0x45, 0x46, 0x6A, 0x6C
F64_NE = 0x62
COMPARISON_OPS = {"==": 0x61, "!=": 0x62, "<": 0x63, ">": 0x64, "<=": 0x65, ">=": 0x66}
ARITHMETIC_OPS = {"+": 0xA0, "-": 0xA1, "*": 0xA2, "/": 0xA3}
F64_NEG, F64_CONVERT = 0x9A, 0xB7
POINT, COUNT = 0, 1  # indexes of the locals: the parameter and the number of answers


def unsigned(value: int) -> bytes:
    """An unsigned integer in LEB128."""
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
    """Code that pushes an f64; truth values are 0 and 1."""
    if expr.op == "const":
        return bytes([F64_CONST]) + struct.pack("<d", expr.value)
    if expr.op == "input":
        return bytes([I32_CONST]) + signed(0) + bytes([F64_LOAD, 3]) + unsigned(8 * int(expr.value))
    if expr.op in ARITHMETIC_OPS:
        return _value(expr.operands[0]) + _value(expr.operands[1]) + bytes([ARITHMETIC_OPS[expr.op]])
    if expr.op == "neg":
        return _value(expr.operands[0]) + bytes([F64_NEG])
    return _truth(expr) + bytes([F64_CONVERT])


def _truth(expr: Expr) -> bytes:
    """Code that pushes an i32 of 0 or 1; `and` and `or` evaluate no more operands than needed."""
    if expr.op in COMPARISON_OPS:
        return _value(expr.operands[0]) + _value(expr.operands[1]) + bytes([COMPARISON_OPS[expr.op]])
    if expr.op == "not":
        return _truth(expr.operands[0]) + bytes([I32_EQZ])
    if expr.op in ("and", "or"):
        # Two blocks left by branches; one block per operand would nest as deep as there are operands.
        br_if, body = 0x0D, b""
        for operand in expr.operands:
            body += _truth(operand) + (bytes([I32_EQZ]) if expr.op == "and" else b"") + bytes([br_if, 0])
        result = int(expr.op == "and")
        inner = bytes([0x02, NO_RESULT]) + body + bytes([I32_CONST, result, 0x0C, 1, END])
        return bytes([0x02, I32]) + inner + bytes([I32_CONST, 1 - result, END])
    return _value(expr) + bytes([F64_CONST]) + struct.pack("<d", 0.0) + bytes([F64_NE])


def _clause(clause: Clause, answers_at: int) -> bytes:
    body = b""
    for step in clause.steps:
        for offset, value in ((0, Expr("const", float(step.answer))), (8, step.value or Expr("const", 1.0))):
            body += bytes([LOCAL_GET, COUNT, I32_CONST]) + signed(16) + bytes([I32_MUL])
            body += _value(value) + bytes([F64_STORE, 3]) + unsigned(answers_at + offset)
        body += bytes([LOCAL_GET, COUNT, I32_CONST, 1, I32_ADD, LOCAL_SET, COUNT])
    if clause.stops:
        body += bytes([LOCAL_GET, COUNT, RETURN])
    if clause.when is None:
        return body
    return _truth(clause.when) + bytes([IF, NO_RESULT]) + body + bytes([END])


def compile_program(program: Program) -> bytes:
    """The bytes of the module; deterministic for a given program."""
    for point, clauses in program.points.items():
        steps = sum(len(clause.steps) for clause in clauses)
        if steps > MAX_ANSWERS:
            raise ModuleError(f"{point} has {steps} actions, at most {MAX_ANSWERS} are allowed")
    answers_at = 8 * len(program.inputs)
    pages = -(-(answers_at + 16 * MAX_ANSWERS) // PAGE_BYTES)
    code = b""
    for point, clauses in sorted(program.points.items(), key=lambda item: POINTS.index(item[0])):
        code += bytes([LOCAL_GET, POINT, I32_CONST]) + signed(POINTS.index(point)) + bytes([I32_EQ, IF, NO_RESULT])
        code += b"".join(_clause(clause, answers_at) for clause in clauses) + bytes([END])
    code += bytes([LOCAL_GET, COUNT, END])
    body = _vector([unsigned(1) + bytes([I32])]) + code
    return b"\0asm\1\0\0\0" + b"".join(
        (
            _section(1, _vector([bytes([0x60]) + _vector([bytes([I32])]) + _vector([bytes([I32])])])),
            _section(3, _vector([unsigned(0)])),
            _section(5, _vector([bytes([1]) + unsigned(pages) + unsigned(pages)])),
            _section(7, _vector([_string("memory") + bytes([2, 0]), _string("run") + bytes([0, 0])])),
            _section(10, _vector([unsigned(len(body)) + body])),
            _section(0, _string(MANIFEST_SECTION) + encode_manifest(program)),
        )
    )
