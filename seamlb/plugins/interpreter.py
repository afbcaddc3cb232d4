"""Bytecode interpreter for installations without wasmtime; gives the same answers and counts each step as fuel."""

from __future__ import annotations

from collections.abc import Sequence

from seamlb.plugins.abi import MAX_ANSWERS, Answers, PluginError
from seamlb.plugins.type_checker import ARITHMETIC, COMPARISONS, POINTS, Expr, Program

CONST, INPUT, NOT, NEG, BINARY, JUMP_IF, JUMP_UNLESS, SKIP_NEXT, ANSWER, STOP = range(10)
BINARY_FUNCTIONS = [*COMPARISONS.values(), *ARITHMETIC.values()]
BINARY_NUMBERS = {op: number for number, op in enumerate([*COMPARISONS, *ARITHMETIC])}
Code = list[tuple[int, float]]


def assemble(program: Program) -> dict[int, Code]:
    """Compile to flat code, by index of the point in POINTS."""
    codes = {}
    for point, clauses in program.points.items():
        code: Code = []
        for clause in clauses:
            jump = -1
            if clause.when is not None:
                _emit(clause.when, code)
                jump = len(code)
                code.append((JUMP_UNLESS, 0.0))
            for step in clause.steps:
                _emit(step.value or Expr("const", 1.0), code)
                code.append((ANSWER, float(step.answer)))
            if clause.stops:
                code.append((STOP, 0.0))
            if jump >= 0:
                code[jump] = JUMP_UNLESS, float(len(code))
        codes[POINTS.index(point)] = code
    return codes


def _emit(expr: Expr, code: Code) -> None:
    if expr.op in ("const", "input"):
        code.append((CONST if expr.op == "const" else INPUT, expr.value))
    elif expr.op in ("and", "or"):
        jumps = []
        for operand in expr.operands:
            _emit(operand, code)
            jumps.append(len(code))
            code.append((JUMP_UNLESS if expr.op == "and" else JUMP_IF, 0.0))
        code.append((CONST, float(expr.op == "and")))
        code.append((SKIP_NEXT, 0.0))  # past the short-circuit result
        for jump in jumps:
            code[jump] = code[jump][0], float(len(code))
        code.append((CONST, float(expr.op == "or")))
    else:
        for operand in expr.operands:
            _emit(operand, code)
        code.append(
            (NOT if expr.op == "not" else NEG, 0.0)
            if expr.op in ("not", "neg")
            else (BINARY, float(BINARY_NUMBERS[expr.op]))
        )


class Interpreter:
    """Engine that executes flat code; each step costs one unit of fuel."""

    def __init__(self, program: Program) -> None:
        self.code = assemble(program)

    def run(self, point: int, inputs: Sequence[float], fuel: int) -> tuple[Answers, int]:
        """Execute a point; returns its answers and the fuel used. Raises PluginError."""
        code, stack, answers = self.code.get(point, []), list[float](), Answers()
        pc = steps = 0
        while pc < len(code):
            steps += 1
            if steps > fuel:
                raise PluginError("fuel", f"{fuel} steps")
            op, value = code[pc]
            pc += 1
            if op == CONST:
                stack.append(value)
            elif op == INPUT:
                stack.append(inputs[int(value)])
            elif op == BINARY:
                right = stack.pop()
                stack[-1] = float(BINARY_FUNCTIONS[int(value)](stack[-1], right))
            elif op == JUMP_UNLESS:
                pc = pc if stack.pop() != 0.0 else int(value)
            elif op == JUMP_IF:
                pc = int(value) if stack.pop() != 0.0 else pc
            elif op == SKIP_NEXT:
                pc += 1
            elif op == NOT:
                stack[-1] = float(stack[-1] == 0.0)
            elif op == NEG:
                stack[-1] = -stack[-1]
            elif op == ANSWER:
                if len(answers) >= MAX_ANSWERS:
                    raise PluginError("answers", f"more than {MAX_ANSWERS}")
                answers.append((int(value), stack.pop()))
            else:
                break
        return answers, steps
