"""Grammar and parser of the rule language; `docs/operators/plugins.md` is the reference.

Only the syntax is checked here; names, types and units are checked in `checking.py`.
"""

from __future__ import annotations

import re
from functools import cache
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

from seamlb.plugins.syntax import Action, Declaration, Node, Position, Rule, RuleError, RuleFile, error_at

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

?expr: conjunction | conjunction ("or" conjunction)+ -> any_of
?conjunction: factor | factor ("and" factor)+ -> all_of
?factor: "not" factor -> negation
        | relation
?relation: sum
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


# Table rows are parsed by a regular expression: the grammar takes 6 s for 100,000 rows, and a daemon that reloads its
# rule files serves calls meanwhile.
TABLE_ROW = re.compile(r'"([^"\n]*)"\s*=\s*([0-9]+(?:\.[0-9]+)?)(?:\s*(per s\b|per min\b|ms\b|s\b|min\b|h\b|%))?')
ROW_SEPARATOR = re.compile(r"(?:\s|#[^\n]*)*")
MAX_FILE_SIZE = 8 << 20  # bytes of a file, characters of its text
MAX_DEPTH = 60  # nested parentheses and negations; keeps rules legible and within the engines' bounded stacks


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True)


def parse(text: str, path: str = "rules") -> RuleFile:
    """Parse a rule file; RuleError gives the position of the first syntax error and what was expected there."""
    if len(text) > MAX_FILE_SIZE:
        raise RuleError(f"{path}:1:1: {len(text)} characters exceed the maximum size of a file ({MAX_FILE_SIZE})")
    try:
        tree = _parser().parse(text)
    except UnexpectedEOF as error:
        raise RuleError(
            f"{path}:{text.count(chr(10)) + 1}:1: unexpected end of file (expected {_expected(error.expected)})"
        ) from None
    except UnexpectedToken as error:
        if error.token.type == "$END":
            pos = Position(text.count("\n") + 1, 1)
            raise error_at(path, pos, "unexpected end of file", f"expected {_expected(error.expected)}") from None
        raise error_at(
            path,
            Position(error.line, error.column),
            f"{str(error.token)!r} is not allowed here",
            f"expected {_expected(error.expected)}",
        ) from None
    except UnexpectedCharacters as error:
        raise error_at(
            path,
            Position(error.line, error.column),
            f"{text[error.pos_in_stream or 0]!r} is not a valid character here",
            "texts are in double quotes, names in lower case",
        ) from None
    except UnexpectedInput as error:
        raise error_at(path, Position(error.line, error.column), "syntax error") from None
    return _file(tree, path)


def _expected(names: Any) -> str:
    patterns = {terminal.name: terminal.pattern.value for terminal in _parser().terminals}
    return ", ".join(
        sorted(
            patterns.get(name, name)
            if name.isupper() and "\\" not in patterns.get(name, "") and "[" not in patterns.get(name, "")
            else name.lower()
            for name in names
        )[:8]
    )


def _position(tree: Tree[Token] | Token) -> Position:
    if isinstance(tree, Token):
        return Position(tree.line or 1, tree.column or 1)
    return Position(getattr(tree.meta, "line", 1), getattr(tree.meta, "column", 1))


def _file(tree: Tree[Token], path: str) -> RuleFile:
    header, *items = tree.children
    assert isinstance(header, Tree)
    file = RuleFile(path, str(header.children[0]), int(str(header.children[1])))
    for item in items:
        assert isinstance(item, Tree)
        if item.data == "rule":
            file.rules.append(_rule(item, path))
        else:
            file.declarations.append(_declaration(item, path))
    return file


def _number(tree: Any) -> tuple[float, str]:
    """The value of a number as written, and its unit (`ms`, `per s`, `%`); empty without one."""
    return float(tree.children[0]), str(tree.children[1]) if len(tree.children) > 1 else ""


def _text(token: Any) -> str:
    return str(token)[1:-1]


def _rows(token: Token, path: str) -> list[tuple[str, float, str]]:
    """Parse the rows of a table; the token includes the braces."""
    text, rows = str(token), []
    offset = ROW_SEPARATOR.match(text, 1).end()  # type: ignore[union-attr]
    while offset < len(text) - 1:
        row = TABLE_ROW.match(text, offset)
        if row is None:
            line = text.count("\n", 0, offset)
            column = offset - text.rfind("\n", 0, offset) if line else (token.column or 1) + offset
            raise error_at(path, Position((token.line or 1) + line, column), "not a table row", 'expected "key" = 3')
        rows.append((row[1], float(row[2]), row[3] or ""))
        offset = ROW_SEPARATOR.match(text, row.end()).end()  # type: ignore[union-attr]
    return rows


def _declaration(item: Tree[Token], path: str) -> Declaration:
    kind, pos, key_fact, rows = str(item.data), _position(item), "", list[tuple[str, float, str]]()
    number, unit = 0.0, ""
    for part in item.children[1:]:
        if isinstance(part, Token):
            rows = _rows(part, path)
        elif part.data == "of":
            key_fact = str(part.children[0])
        else:
            number, unit = _number(part)
    return Declaration(kind, str(item.children[0]), pos, key_fact, number, unit, tuple(rows))


def _rule(item: Tree[Token], path: str) -> Rule:
    name, point, *rest = item.children
    when, actions = None, []
    for part in rest:
        assert isinstance(part, Tree)
        if part.data in ACTION_KINDS:
            value = part.children[0] if part.children else ""
            expr = _node(part.children[1], path, 0) if part.data == "set" else None
            argument = _text(value) if str(value).startswith('"') else str(value)
            actions.append(Action(str(part.data), _position(part), argument, expr))
        else:
            when = _node(part, path, 0)
    return Rule(str(name), str(point), _position(item), when, tuple(actions))


ACTION_KINDS = {"precedence", "to_class", "to_office", "refuse", "spare", "prefer", "count", "set", "alarm", "stop"}


def _node(tree: Any, path: str, depth: int) -> Node:
    pos, kind = _position(tree), str(tree.data)
    if depth > MAX_DEPTH:
        raise error_at(path, pos, "nested too deeply", f"{MAX_DEPTH} levels at most")

    def child(part: Any) -> Node:
        return _node(part, path, depth + 1)

    match kind:
        case "literal":
            return Node("literal", pos, _number(tree.children[0]))
        case "text":
            return Node("text", pos, _text(tree.children[0]))
        case "true" | "false":
            return Node("truth", pos, kind == "true")
        case "call" | "name":
            return Node("name", pos, str(tree.children[0]))
        case "negation" | "negative":
            return Node(kind, pos, None, (child(tree.children[0]),))
        case "among":
            return Node("among", pos, tuple(_text(token) for token in tree.children[1:]), (child(tree.children[0]),))
        case "starts":
            return Node("starts", pos, _text(tree.children[1]), (child(tree.children[0]),))
        case "any_of" | "all_of":
            return Node(kind, pos, None, tuple(child(operand) for operand in tree.children))
        case _:  # comparison, adding, scaling: operands and operators alternate; left-associative
            left = child(tree.children[0])
            for index in range(1, len(tree.children), 2):
                left = Node(kind, pos, str(tree.children[index]), (left, child(tree.children[index + 1])))
            return left
