"""Rule files in one form, and what a checked program would do in words."""

from __future__ import annotations

from seamlb.plugins.checking import Expr, Program
from seamlb.plugins.syntax import Action, Declaration, File, Node

RANK = {
    "any_of": 1,
    "all_of": 2,
    "negation": 3,
    "comparison": 4,
    "among": 4,
    "starts": 4,
    "adding": 5,
    "scaling": 6,
    "negative": 7,
}
WORDS = {"to_class": "class", "to_office": "office"}


def number(value: float, unit: str = "") -> str:
    """A number as the language writes it, with its unit."""
    return f"{value:.10g}" + (f" {unit}" if unit and unit != "%" else unit)


def expression(node: Node, above: int = 0) -> str:
    """An expression with no more parentheses than it needs."""
    rank = RANK.get(node.kind, 9)
    match node.kind:
        case "literal":
            text = number(*node.value)
        case "text":
            text = f'"{node.value}"'
        case "truth":
            text = "true" if node.value else "false"
        case "name":
            text = str(node.value)
        case "negation":
            text = f"not {expression(node.parts[0], rank)}"
        case "negative":
            text = f"-{expression(node.parts[0], rank)}"
        case "among":
            listed = ", ".join(f'"{one}"' for one in node.value)
            text = f"{expression(node.parts[0], rank)} in ({listed})"
        case "starts":
            text = f'{expression(node.parts[0], rank)} starts with "{node.value}"'
        case "any_of" | "all_of":
            word = " or " if node.kind == "any_of" else " and "
            text = word.join(expression(one, rank + 1) for one in node.parts)
        case _:
            left, right = node.parts
            first = expression(left, rank + (node.kind == "comparison"))
            text = f"{first} {node.value} {expression(right, rank + 1)}"
    return f"({text})" if rank < above else text


def action(one: Action) -> str:
    """An action as the language writes it."""
    word = WORDS.get(one.kind, one.kind)
    if one.kind == "set" and one.expr is not None:
        return f"set {one.value} to {expression(one.expr)}"
    if one.kind == "count":
        return f"count {one.value}"
    return f'{word} "{one.value}"' if one.kind in ("to_class", "to_office", "prefer", "alarm") else word


def declaration(one: Declaration) -> str:
    """A declaration as the language writes it."""
    of = f" of {one.of}" if one.of else ""
    if one.kind == "state":
        return f"state {one.name}{of}"
    if one.kind == "counter":
        return f"counter {one.name}{of} over {number(one.number, one.unit)}"
    if one.kind == "keep":
        return f"keep {one.name}{of} = {number(one.number, one.unit)}"
    rows = "".join(f'  "{key}" = {number(value, unit)}\n' for key, value, unit in one.rows)
    return f"table {one.name}{of} default {number(one.number, one.unit)} {{\n{rows}}}"


def formatted(file: File) -> str:
    """The file in one form; comments are not kept."""
    blocks = [f"plugin {file.name} version {file.version}"]
    if file.declarations:
        blocks.append("\n".join(declaration(one) for one in file.declarations))
    for rule in file.rules:
        when = f"\n  when {expression(rule.when)}" if rule.when is not None else ""
        blocks.append(f"rule {rule.name} on {rule.point}{when}\n  then {', '.join(action(a) for a in rule.actions)}")
    return "\n\n".join(blocks) + "\n"


def explained(program: Program) -> list[str]:
    """What it reads, what it may answer, and each rule as it is carried out."""
    lines = [
        f"{program.name} version {program.version}",
        f"reads {', '.join(sorted(program.uses())) or 'no facts'}; {len(program.inputs)} inputs",
    ]
    for point, clauses in program.points.items():
        for clause in clauses:
            when = _told(clause.when, program) if clause.when is not None else "always"
            steps = ", ".join(" ".join(filter(None, program.answers[one.answer])) for one in clause.steps)
            lines.append(
                f"on {point}: {clause.name}: when {when}: {steps or 'nothing'}"
                + ("; ends this point" if clause.stops else "")
            )
    return lines


def _told(expr: Expr, program: Program) -> str:
    if expr.op == "const":
        return f"{expr.value:g}"
    if expr.op == "input":
        one = program.inputs[int(expr.value)]
        return {
            "is": f'{one.name} is "{one.text}"',
            "starts": f'{one.name} starts with "{one.text}"',
            "rate": f"rate of {one.name}",
            "count": f"count of {one.name}",
        }.get(one.kind, one.name)
    parts = [_told(one, program) for one in expr.parts]
    if expr.op in ("not", "neg"):
        return f"{'not ' if expr.op == 'not' else '-'}{parts[0]}"
    return "(" + f" {expr.op} ".join(parts) + ")"
