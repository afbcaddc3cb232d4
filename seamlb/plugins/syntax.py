"""Syntax tree of a rule file, as built by the parser."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


class RuleError(Exception):
    """A rule file that cannot be used; the message is one line with file, line, column and a hint."""


@dataclass(slots=True, frozen=True)
class Position:
    """Line and column in the file, counted from 1."""

    line: int
    column: int


@dataclass(slots=True, frozen=True)
class Node:
    """An expression before type checking."""

    kind: str  # alias of the grammar rule
    pos: Position
    value: Any = None  # of a literal, a text, a name; the operator of a comparison, sum or product
    operands: tuple[Node, ...] = ()


@dataclass(slots=True, frozen=True)
class Action:
    """One action of a rule, with its position."""

    kind: str
    pos: Position
    value: str = ""
    expr: Node | None = None


@dataclass(slots=True, frozen=True)
class Rule:
    """One rule: the point at which it is evaluated, its condition and its actions."""

    name: str
    point: str
    pos: Position
    when: Node | None
    actions: tuple[Action, ...]


@dataclass(slots=True, frozen=True)
class Declaration:
    """A declared state, table, counter or variable (`keep`)."""

    kind: str
    name: str
    pos: Position
    key_fact: str = ""  # the text fact by which it is keyed; empty: a single value
    number: float = 0.0  # span of a counter, default of a table, initial value of a variable
    unit: str = ""
    rows: tuple[tuple[str, float, str], ...] = ()


@dataclass(slots=True)
class RuleFile:
    """A parsed rule file."""

    path: str
    name: str
    version: int
    declarations: list[Declaration] = field(default_factory=list)
    rules: list[Rule] = field(default_factory=list)


def error_at(path: str, pos: Position, problem: str, hint: str = "") -> RuleError:
    """An error with file, line and column, and a hint if there is one."""
    return RuleError(f"{path}:{pos.line}:{pos.column}: {problem}" + (f" ({hint})" if hint else ""))
