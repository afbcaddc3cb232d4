"""The rule language: its grammar and its tree. `docs/operators/plugins.md` is the reference.

Only the shape is checked here; `checking.py` gives names and types their meaning.
"""

from __future__ import annotations

import re
from functools import cache
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

from seamlb.plugins.syntax import Action, At, Declaration, File, Node, Rule, RuleError, fail

GRAMMAR = r"""
start: header item*
header: "plugin" NAME "version" INT
?item: state | table | counter | keep | rule
state: "state" NAME of?
table: "table" NAME of "default" number ROWS
counter: "counter" NAME of? "over" number
keep: "keep" NAME of? "=" number
of: "of" NAME
rule: "rule" NAME "on" NAME ("when" expr)? "then" action ("," action)*

?action: "precedence" -> precedence
       | "class" STRING -> to_class
       | "office" STRING -> to_office
       | "refuse" -> refuse
       | "spare" -> spare
       | "prefer" STRING -> prefer
       | "count" NAME -> count
       | "set" NAME "to" expr -> set
       | "alarm" STRING -> alarm
       | "stop" -> stop

?expr: both | both ("or" both)+ -> any_of
?both: negated | negated ("and" negated)+ -> all_of
?negated: "not" negated -> negation
        | compared
?compared: sum
         | sum COMPARE sum -> comparison
         | sum "in" "(" STRING ("," STRING)* ")" -> among
         | sum "starts" "with" STRING -> starts
?sum: product | product (ADD product)+ -> adding
?product: unary | unary (TIMES unary)+ -> scaling
?unary: "-" unary -> negative
      | atom
?atom: number -> literal
     | STRING -> text
     | "true" -> true
     | "false" -> false
     | NAME "(" ")" -> call
     | NAME -> name
     | "(" expr ")"
number: SIGNED UNIT?

COMPARE: "==" | "!=" | "<=" | ">=" | "<" | ">"
ADD: "+" | "-"
TIMES: "*" | "/"
UNIT: "ms" | "s" | "min" | "h" | "per s" | "per min" | "%"
SIGNED: /[0-9]+(\.[0-9]+)?/
INT: /[0-9]+/
NAME: /[a-z][a-z0-9_]*/
STRING: /"[^"\n]*"/
ROWS: /\{(?:#[^\n]*|"[^"\n]*"|[^{}"#])*\}/
%import common.WS
%ignore WS
%ignore /#[^\n]*/
"""


# Rows are read beside the grammar: a table of 100,000 takes it 6 s, and a daemon reads its files while it serves.
ROW = re.compile(r'"([^"\n]*)"\s*=\s*([0-9]+(?:\.[0-9]+)?)(?:\s*(per s\b|per min\b|ms\b|s\b|min\b|h\b|%))?')
BETWEEN = re.compile(r"(?:\s|#[^\n]*)*")
MOST_BYTES = 8 << 20
DEEPEST = 60  # nested parentheses and negations: beyond this a rule can't be read, and engines' stacks are bounded


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True)


def parse(text: str, path: str = "rules") -> File:
    """Read a rule file; RuleError tells where it can't be read and what could stand there."""
    if len(text) > MOST_BYTES:
        raise RuleError(f"{path}:1:1: {len(text)} characters are more than a file may have ({MOST_BYTES})")
    try:
        tree = _parser().parse(text)
    except UnexpectedEOF as error:
        raise RuleError(
            f"{path}:{text.count(chr(10)) + 1}:1: the file ends too soon (expected {_expected(error.expected)})"
        ) from None
    except UnexpectedToken as error:
        if error.token.type == "$END":
            at = At(text.count("\n") + 1, 1)
            raise fail(path, at, "the file ends too soon", f"expected {_expected(error.expected)}") from None
        raise fail(
            path,
            At(error.line, error.column),
            f"{str(error.token)!r} can't stand here",
            f"expected {_expected(error.expected)}",
        ) from None
    except UnexpectedCharacters as error:
        raise fail(
            path,
            At(error.line, error.column),
            f"{text[error.pos_in_stream or 0]!r} can't be read",
            "texts stand in double quotes, names in lower case",
        ) from None
    except UnexpectedInput as error:
        raise fail(path, At(error.line, error.column), "can't be read") from None
    return _file(tree, path)


def _expected(names: Any) -> str:
    terminals = {one.name: one.pattern.value for one in _parser().terminals}
    return ", ".join(
        sorted(
            terminals.get(one, one)
            if one.isupper() and "\\" not in terminals.get(one, "") and "[" not in terminals.get(one, "")
            else one.lower()
            for one in names
        )[:8]
    )


def _at(tree: Tree[Token] | Token) -> At:
    if isinstance(tree, Token):
        return At(tree.line or 1, tree.column or 1)
    return At(getattr(tree.meta, "line", 1), getattr(tree.meta, "column", 1))


def _file(tree: Tree[Token], path: str) -> File:
    header, *items = tree.children
    assert isinstance(header, Tree)
    out = File(path, str(header.children[0]), int(str(header.children[1])))
    for item in items:
        assert isinstance(item, Tree)
        if item.data == "rule":
            out.rules.append(_rule(item, path))
        else:
            out.declarations.append(_declared(item, path))
    return out


def _number(tree: Any) -> tuple[float, str]:
    return float(tree.children[0]), str(tree.children[1]) if len(tree.children) > 1 else ""


def _text(token: Any) -> str:
    return str(token)[1:-1]


def _rows(token: Token, path: str) -> list[tuple[str, float, str]]:
    """The rows of a table, between its braces."""
    text, rows = str(token), []
    at = BETWEEN.match(text, 1).end()  # type: ignore[union-attr]
    while at < len(text) - 1:
        row = ROW.match(text, at)
        if row is None:
            line = text.count("\n", 0, at)
            column = at - text.rfind("\n", 0, at) if line else (token.column or 1) + at
            raise fail(path, At((token.line or 1) + line, column), "no row of a table", 'like "key" = 3')
        rows.append((row[1], float(row[2]), row[3] or ""))
        at = BETWEEN.match(text, row.end()).end()  # type: ignore[union-attr]
    return rows


def _declared(item: Tree[Token], path: str) -> Declaration:
    kind, at, of, rows = str(item.data), _at(item), "", list[tuple[str, float, str]]()
    number, unit = 0.0, ""
    for part in item.children[1:]:
        if isinstance(part, Token):
            rows = _rows(part, path)
        elif part.data == "of":
            of = str(part.children[0])
        else:
            number, unit = _number(part)
    return Declaration(kind, str(item.children[0]), at, of, number, unit, tuple(rows))


def _rule(item: Tree[Token], path: str) -> Rule:
    name, point, *rest = item.children
    when, actions = None, []
    for part in rest:
        assert isinstance(part, Tree)
        if part.data in ACTIONS:
            value = part.children[0] if part.children else ""
            expr = _node(part.children[1], path, 0) if part.data == "set" else None
            word = _text(value) if str(value).startswith('"') else str(value)
            actions.append(Action(str(part.data), _at(part), word, expr))
        else:
            when = _node(part, path, 0)
    return Rule(str(name), str(point), _at(item), when, tuple(actions))


ACTIONS = {"precedence", "to_class", "to_office", "refuse", "spare", "prefer", "count", "set", "alarm", "stop"}


def _node(tree: Any, path: str, depth: int) -> Node:
    at, kind = _at(tree), str(tree.data)
    if depth > DEEPEST:
        raise fail(path, at, "nested too deeply", f"{DEEPEST} levels at most")

    def below(part: Any) -> Node:
        return _node(part, path, depth + 1)

    match kind:
        case "literal":
            return Node("literal", at, _number(tree.children[0]))
        case "text":
            return Node("text", at, _text(tree.children[0]))
        case "true" | "false":
            return Node("truth", at, kind == "true")
        case "call" | "name":
            return Node("name", at, str(tree.children[0]))
        case "negation" | "negative":
            return Node(kind, at, None, (below(tree.children[0]),))
        case "among":
            return Node("among", at, tuple(_text(one) for one in tree.children[1:]), (below(tree.children[0]),))
        case "starts":
            return Node("starts", at, _text(tree.children[1]), (below(tree.children[0]),))
        case "any_of" | "all_of":
            return Node(kind, at, None, tuple(below(one) for one in tree.children))
        case _:  # comparison, adding, scaling: operands with operators between them, from the left
            left = below(tree.children[0])
            for place in range(1, len(tree.children), 2):
                left = Node(kind, at, str(tree.children[place]), (left, below(tree.children[place + 1])))
            return left
