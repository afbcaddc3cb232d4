"""A bytecode interpreter of our own, for installations without wasmtime: the same answers, counted step by step."""

from __future__ import annotations

from collections.abc import Sequence

from seamlb.plugins.abi import MOST_ANSWERS, Answers, PluginError
from seamlb.plugins.checking import CALCULATED, COMPARED, POINTS, Expr, Program

CONST, INPUT, NOT, NEG, DYAD, SKIP_IF, SKIP_UNLESS, TRUTH, ANSWER, STOP = range(10)
DYADS = [*COMPARED.values(), *CALCULATED.values()]
NUMBERS = {name: place for place, name in enumerate([*COMPARED, *CALCULATED])}
Code = list[tuple[int, float]]


def assemble(program: Program) -> dict[int, Code]:
    """Flat code by point."""
    out = {}
    for point, clauses in program.points.items():
        code: Code = []
        for clause in clauses:
            hole = -1
            if clause.when is not None:
                _emit(clause.when, code)
                hole = len(code)
                code.append((SKIP_UNLESS, 0.0))
            for step in clause.steps:
                _emit(step.value or Expr("const", 1.0), code)
                code.append((ANSWER, float(step.answer)))
            if clause.stops:
                code.append((STOP, 0.0))
            if hole >= 0:
                code[hole] = SKIP_UNLESS, float(len(code))
        out[POINTS.index(point)] = code
    return out


def _emit(expr: Expr, code: Code) -> None:
    if expr.op in ("const", "input"):
        code.append((CONST if expr.op == "const" else INPUT, expr.value))
    elif expr.op in ("and", "or"):
        holes = []
        for part in expr.parts:
            _emit(part, code)
            holes.append(len(code))
            code.append((SKIP_UNLESS if expr.op == "and" else SKIP_IF, 0.0))
        code.append((CONST, float(expr.op == "and")))
        code.append((TRUTH, 0.0))  # over the other outcome
        for hole in holes:
            code[hole] = code[hole][0], float(len(code))
        code.append((CONST, float(expr.op == "or")))
    else:
        for part in expr.parts:
            _emit(part, code)
        code.append(
            (NOT if expr.op == "not" else NEG, 0.0) if expr.op in ("not", "neg") else (DYAD, float(NUMBERS[expr.op]))
        )


class Interpreter:
    """An Engine over flat code; a step costs one unit of fuel."""

    def __init__(self, program: Program) -> None:
        self.code = assemble(program)

    def run(self, point: int, inputs: Sequence[float], fuel: int) -> tuple[Answers, int]:
        """Its answers and the fuel used. Raises PluginError."""
        code, stack, answers = self.code.get(point, []), list[float](), Answers()
        at = steps = 0
        while at < len(code):
            steps += 1
            if steps > fuel:
                raise PluginError("fuel", f"{fuel} steps")
            op, value = code[at]
            at += 1
            if op == CONST:
                stack.append(value)
            elif op == INPUT:
                stack.append(inputs[int(value)])
            elif op == DYAD:
                right = stack.pop()
                stack[-1] = float(DYADS[int(value)](stack[-1], right))
            elif op == SKIP_UNLESS:
                at = at if stack.pop() != 0.0 else int(value)
            elif op == SKIP_IF:
                at = int(value) if stack.pop() != 0.0 else at
            elif op == TRUTH:
                at += 1
            elif op == NOT:
                stack[-1] = float(stack[-1] == 0.0)
            elif op == NEG:
                stack[-1] = -stack[-1]
            elif op == ANSWER:
                if len(answers) >= MOST_ANSWERS:
                    raise PluginError("answers", f"more than {MOST_ANSWERS}")
                answers.append((int(value), stack.pop()))
            else:
                break
        return answers, steps
