"""A charter: one immutable, numbered, checksummed version of all rules that a site's agents agree on. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b
from typing import Any

import orjson

from seamlb.agree.relations import KINDS, Value

MOST = 48 * 1024  # bytes of a charter
COUNCILS = (1, 3, 5, 7)  # members; one is for a site that has one agent


class CharterError(ValueError):
    """A charter that can't be one, or can't follow the one before; one line with field and reason."""


@dataclass(frozen=True)
class Field:
    """One rule: its kind, its value, and what who is alone acts on, which never changes."""

    kind: str
    value: Value
    alone: Value


@dataclass(frozen=True)
class Charter:
    """`before` is the digest of the charter that this one follows, so two histories never mix."""

    number: int
    before: str
    council: tuple[str, ...]  # names
    agents: tuple[str, ...]  # all that act on it
    fields: Mapping[str, Field] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for names, what in ((self.council, "council"), (self.agents, "agents")):
            if not names or list(names) != sorted(set(names)):
                raise CharterError(f"{what}: not sorted names, each once")
        if len(self.council) not in COUNCILS:
            raise CharterError(f"council: {len(self.council)} members, not 1, 3, 5 or 7")
        for name, one in self.fields.items():
            if one.kind not in KINDS:
                raise CharterError(f"{name}: unknown kind {one.kind!r}")
            relation = KINDS[one.kind]
            if why := relation.check(one.value) or relation.check(one.alone) or relation.alone(one.alone, one.value):
                raise CharterError(f"{name}: {why}")

    @cached_property
    def body(self) -> bytes:
        """The same bytes wherever it is written."""
        table: dict[str, Any] = {
            "number": self.number,
            "before": self.before,
            "council": self.council,
            "agents": self.agents,
            "fields": {name: [one.kind, one.value, one.alone] for name, one in self.fields.items()},
        }
        return orjson.dumps(table, option=orjson.OPT_SORT_KEYS)

    @cached_property
    def digest(self) -> str:
        """Names this version: a hash of its bytes."""
        return blake2b(self.body, digest_size=16).hexdigest()

    @property
    def majority(self) -> int:
        """How many members are more than half."""
        return len(self.council) // 2 + 1

    def next(self, **values: Value) -> Charter:
        """The charter that follows with other values, of fields that there are."""
        return self.altered(values)

    def altered(
        self, values: Mapping[str, Value], council: Sequence[str] = (), agents: Sequence[str] = ()
    ) -> Charter:
        """The charter that follows, with other values of fields that there are, another council or other agents."""
        if unknown := sorted(values.keys() - self.fields.keys()):
            raise CharterError(f"{unknown[0]}: unknown field")
        fields = {name: Field(one.kind, values.get(name, one.value), one.alone) for name, one in self.fields.items()}
        return Charter(
            self.number + 1,
            self.digest,
            tuple(sorted(council)) or self.council,
            tuple(sorted(agents)) or self.agents,
            fields,
        )

    def same_content(self, other: Charter) -> bool:
        """Do both name the same members, agents and values, whatever their numbers?"""
        return (self.council, self.agents, self.fields) == (other.council, other.agents, other.fields)

    def follows(self, old: Charter) -> str:
        """Why this one can't come after `old`; empty if it can."""
        if (self.number, self.before) != (old.number + 1, old.digest):
            return f"it was made after another charter than number {old.number}"
        if len(self.body) > MOST:
            return f"{len(self.body)} bytes, more than {MOST}"
        if len(set(self.council) ^ set(old.council)) > 2:
            return "council: more than one is replaced, or two come or go"
        for name, one in self.fields.items():
            had = old.fields.get(name)
            if had and (had.kind, had.alone) != (one.kind, one.alone):
                return f"{name}: its kind and what who is alone acts on never change"
            if had and one.kind == "numbers" and not KINDS["numbers"].keeps("", one.value, had.value):
                return f"{name}: a number shifts"
        if lost := sorted(set(old.fields) - set(self.fields)):
            return f"{lost[0]}: a field never goes"
        return ""

    def contradicts(self, other: Charter) -> list[str]:
        """Fields in which agents on one of the two may break the other."""
        agents = tuple(sorted({*self.agents, *other.agents}))
        return [
            name
            for name, one in sorted(self.fields.items())
            if name in other.fields and KINDS[one.kind].contradict(agents, other.fields[name].value, one.value)
        ]


def decode(body: bytes) -> Charter:
    """A charter from its bytes; CharterError."""
    try:
        table = orjson.loads(body)
        fields = {name: Field(*one) for name, one in table["fields"].items()}
        found = Charter(
            int(table["number"]), str(table["before"]), tuple(table["council"]), tuple(table["agents"]), fields
        )
    except CharterError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise CharterError(f"not a charter: {error}") from None
    if found.body != body:
        raise CharterError("not in its own form")
    return found


def guarded(old: Charter, new: Charter) -> dict[str, Value]:
    """What is acted on between two charters: for each rule what keeps within both."""
    return {
        name: KINDS[one.kind].guard(old.fields[name].value, one.value) if name in old.fields else one.value
        for name, one in new.fields.items()
    }


def alone(charter: Charter) -> dict[str, Value]:
    """What is acted on without a lease: what keeps within every charter that can follow."""
    return {name: one.value if one.kind == "free" else one.alone for name, one in charter.fields.items()}
