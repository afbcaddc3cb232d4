"""Formats rule files, and describes a checked program rule by rule."""

from __future__ import annotations

from seamlb.plugins.syntax import Action, Declaration, Node, RuleFile
from seamlb.plugins.type_checker import Expr, Program

BINDING_STRENGTH = {  # of operators, by kind of node; higher binds tighter
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
KEYWORDS = {"to_class": "class", "to_office": "office"}  # of actions whose kind is not their keyword


def format_number(value: float, unit: str = "") -> str:
    """A number in the language's notation, with its unit."""
    return f"{value:.10g}" + (f" {unit}" if unit and unit != "%" else unit)


def format_expression(node: Node, context: int = 0) -> str:
    """An expression with no more parentheses than needed below an operator of binding strength `context`."""
    strength = BINDING_STRENGTH.get(node.kind, 9)
    match node.kind:
        case "literal":
            text = format_number(*node.value)
        case "text":
            text = f'"{node.value}"'
        case "truth":
            text = "true" if node.value else "false"
        case "name":
            text = str(node.value)
        case "negation":
            text = f"not {format_expression(node.operands[0], strength)}"
        case "negative":
            text = f"-{format_expression(node.operands[0], strength)}"
        case "among":
            texts = ", ".join(f'"{value}"' for value in node.value)
            text = f"{format_expression(node.operands[0], strength)} in ({texts})"
        case "starts":
            text = f'{format_expression(node.operands[0], strength)} starts with "{node.value}"'
        case "any_of" | "all_of":
            operator = " or " if node.kind == "any_of" else " and "
            text = operator.join(format_expression(operand, strength + 1) for operand in node.operands)
        case _:
            left, right = node.operands
            first = format_expression(left, strength + (node.kind == "comparison"))
            text = f"{first} {node.value} {format_expression(right, strength + 1)}"
    return f"({text})" if strength < context else text


def format_action(action: Action) -> str:
    """An action in the language's notation."""
    keyword = KEYWORDS.get(action.kind, action.kind)
    if action.kind == "set" and action.expr is not None:
        return f"set {action.value} to {format_expression(action.expr)}"
    if action.kind == "count":
        return f"count {action.value}"
    return f'{keyword} "{action.value}"' if action.kind in ("to_class", "to_office", "prefer", "alarm") else keyword


def format_declaration(item: Declaration) -> str:
    """A declaration in the language's notation."""
    of = f" of {item.key_fact}" if item.key_fact else ""
    if item.kind == "state":
        return f"state {item.name}{of}"
    if item.kind == "counter":
        return f"counter {item.name}{of} over {format_number(item.number, item.unit)}"
    if item.kind == "keep":
        return f"keep {item.name}{of} = {format_number(item.number, item.unit)}"
    rows = "".join(f'  "{key}" = {format_number(value, unit)}\n' for key, value, unit in item.rows)
    return f"table {item.name}{of} default {format_number(item.number, item.unit)} {{\n{rows}}}"


def format_file(file: RuleFile) -> str:
    """A rule file in canonical form, without its comments."""
    blocks = [f"plugin {file.name} version {file.version}"]
    if file.declarations:
        blocks.append("\n".join(format_declaration(item) for item in file.declarations))
    for rule in file.rules:
        when = f"\n  when {format_expression(rule.when)}" if rule.when is not None else ""
        blocks.append(
            f"rule {rule.name} on {rule.point}{when}\n  then {', '.join(format_action(a) for a in rule.actions)}"
        )
    return "\n\n".join(blocks) + "\n"


def explain_program(program: Program) -> list[str]:
    """The facts that a program reads, and each rule with its condition and answers, one line each."""
    lines = [
        f"{program.name} version {program.version}",
        f"reads {', '.join(sorted(program.facts_read())) or 'no facts'}; {len(program.inputs)} inputs",
    ]
    for point, clauses in program.points.items():
        for clause in clauses:
            when = _explain_expression(clause.when, program) if clause.when is not None else "always"
            steps = ", ".join(" ".join(filter(None, program.answers[step.answer])) for step in clause.steps)
            lines.append(
                f"on {point}: {clause.name}: when {when}: {steps or 'nothing'}"
                + ("; ends this point" if clause.stops else "")
            )
    return lines


def _explain_expression(expr: Expr, program: Program) -> str:
    if expr.op == "const":
        return f"{expr.value:g}"
    if expr.op == "input":
        item = program.inputs[int(expr.value)]
        return {
            "is": f'{item.name} is "{item.text}"',
            "starts": f'{item.name} starts with "{item.text}"',
            "rate": f"rate of {item.name}",
            "count": f"count of {item.name}",
        }.get(item.kind, item.name)
    operands = [_explain_expression(operand, program) for operand in expr.operands]
    if expr.op in ("not", "neg"):
        return f"{'not ' if expr.op == 'not' else '-'}{operands[0]}"
    return "(" + f" {expr.op} ".join(operands) + ")"
