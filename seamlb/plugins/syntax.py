"""What a file of rules consists of, as the parser gives it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


class RuleError(Exception):
    """A rule file that can't be used; its text is one line with file, line, column and a hint."""


@dataclass(slots=True, frozen=True)
class At:
    """Where something stands in its file, counted from 1."""

    line: int
    column: int


@dataclass(slots=True, frozen=True)
class Node:
    """An expression as it was written."""

    kind: str  # the grammar's name for it
    at: At
    value: Any = None  # of a literal, a text, a name; the operator of a comparison, sum or product
    parts: tuple[Node, ...] = ()


@dataclass(slots=True, frozen=True)
class Action:
    """One action of a rule, with the place where it stands."""

    kind: str
    at: At
    value: str = ""
    expr: Node | None = None


@dataclass(slots=True, frozen=True)
class Rule:
    """One rule: at which point it is asked, when it holds, and what it does."""

    name: str
    point: str
    at: At
    when: Node | None
    actions: tuple[Action, ...]


@dataclass(slots=True, frozen=True)
class Declaration:
    """A state, table, counter or kept value."""

    kind: str
    name: str
    at: At
    of: str = ""  # the fact it is held by
    number: float = 0.0
    unit: str = ""
    rows: tuple[tuple[str, float, str], ...] = ()


@dataclass(slots=True)
class File:
    """A whole rule file."""

    path: str
    name: str
    version: int
    declarations: list[Declaration] = field(default_factory=list)
    rules: list[Rule] = field(default_factory=list)


def fail(path: str, at: At, problem: str, hint: str = "") -> RuleError:
    """An error with file, line and column, and a hint if there is one."""
    return RuleError(f"{path}:{at.line}:{at.column}: {problem}" + (f" ({hint})" if hint else ""))
