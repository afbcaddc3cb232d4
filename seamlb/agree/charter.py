"""A charter: one immutable, numbered, checksummed version of all rules that a site's agents agree on. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b
from typing import Any

import orjson

from seamlb.agree.relations import RELATIONS, Value

MAX_VERSION_BYTES = 48 * 1024  # bytes of a charter
VOTER_COUNTS = (1, 3, 5, 7)  # members; one is for a site that has one agent


class VersionError(ValueError):
    """A charter that can't be one, or can't follow the one before; one line with field and reason."""


@dataclass(frozen=True)
class Rule:
    """One rule: its kind, its value, and what who is alone acts on, which never changes."""

    kind: str
    value: Value
    fallback: Value


@dataclass(frozen=True)
class ConfigVersion:
    """`before` is the digest of the charter that this one follows, so two histories never mix."""

    number: int
    previous_digest: str
    voters: tuple[str, ...]  # names
    agents: tuple[str, ...]  # all that act on it
    rules: Mapping[str, Rule] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for names, key in ((self.voters, "council"), (self.agents, "agents")):
            if not names or list(names) != sorted(set(names)):
                raise VersionError(f"{key}: not sorted names, each once")
        if len(self.voters) not in VOTER_COUNTS:
            raise VersionError(f"council: {len(self.voters)} members, not 1, 3, 5 or 7")
        for name, rule in self.rules.items():
            if rule.kind not in RELATIONS:
                raise VersionError(f"{name}: unknown kind {rule.kind!r}")
            relation = RELATIONS[rule.kind]
            if (
                reason := relation.check(rule.value)
                or relation.check(rule.fallback)
                or relation.check_fallback(rule.fallback, rule.value)
            ):
                raise VersionError(f"{name}: {reason}")

    @cached_property
    def body(self) -> bytes:
        """The same bytes wherever it is written."""
        table: dict[str, Any] = {
            "number": self.number,
            "before": self.previous_digest,
            "council": self.voters,
            "agents": self.agents,
            "fields": {name: [rule.kind, rule.value, rule.fallback] for name, rule in self.rules.items()},
        }
        return orjson.dumps(table, option=orjson.OPT_SORT_KEYS)

    @cached_property
    def digest(self) -> str:
        """Names this version: a hash of its bytes."""
        return blake2b(self.body, digest_size=16).hexdigest()

    @property
    def majority(self) -> int:
        """How many members are more than half."""
        return len(self.voters) // 2 + 1

    def with_values(self, **values: Value) -> ConfigVersion:
        """The charter that follows with other values, of fields that there are."""
        return self.successor(values)

    def successor(
        self, values: Mapping[str, Value], voters: Sequence[str] = (), agents: Sequence[str] = ()
    ) -> ConfigVersion:
        """The charter that follows, with other values of fields that there are, another council or other agents."""
        if unknown := sorted(values.keys() - self.rules.keys()):
            raise VersionError(f"{unknown[0]}: unknown field")
        rules = {
            name: Rule(rule.kind, values.get(name, rule.value), rule.fallback) for name, rule in self.rules.items()
        }
        return ConfigVersion(
            self.number + 1,
            self.digest,
            tuple(sorted(voters)) or self.voters,
            tuple(sorted(agents)) or self.agents,
            rules,
        )

    def same_content(self, other: ConfigVersion) -> bool:
        """Do both name the same members, agents and values, whatever their numbers?"""
        return (self.voters, self.agents, self.rules) == (other.voters, other.agents, other.rules)

    def succession_error(self, old: ConfigVersion) -> str:
        """Why this one can't come after `old`; empty if it can."""
        if (self.number, self.previous_digest) != (old.number + 1, old.digest):
            return f"it was made after another charter than number {old.number}"
        if len(self.body) > MAX_VERSION_BYTES:
            return f"{len(self.body)} bytes, more than {MAX_VERSION_BYTES}"
        if len(set(self.voters) ^ set(old.voters)) > 2:
            return "council: more than one is replaced, or two come or go"
        for name, rule in self.rules.items():
            old_rule = old.rules.get(name)
            if old_rule and (old_rule.kind, old_rule.fallback) != (rule.kind, rule.fallback):
                return f"{name}: its kind and what who is alone acts on never change"
            if (
                old_rule
                and rule.kind == "numbers"
                and not RELATIONS["numbers"].complies("", rule.value, old_rule.value)
            ):
                return f"{name}: a number shifts"
        if removed := sorted(set(old.rules) - set(self.rules)):
            return f"{removed[0]}: a field never goes"
        return ""

    def conflicts_with(self, other: ConfigVersion) -> list[str]:
        """Fields in which agents on one of the two may break the other."""
        agents = tuple(sorted({*self.agents, *other.agents}))
        return [
            name
            for name, rule in sorted(self.rules.items())
            if name in other.rules and RELATIONS[rule.kind].conflict(agents, other.rules[name].value, rule.value)
        ]


def decode(body: bytes) -> ConfigVersion:
    """A charter from its bytes; CharterError."""
    try:
        table = orjson.loads(body)
        rules = {name: Rule(*rule) for name, rule in table["fields"].items()}
        found = ConfigVersion(
            int(table["number"]), str(table["before"]), tuple(table["council"]), tuple(table["agents"]), rules
        )
    except VersionError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise VersionError(f"not a charter: {error}") from None
    if found.body != body:
        raise VersionError("not in its own form")
    return found


def transition_values(old: ConfigVersion, new: ConfigVersion) -> dict[str, Value]:
    """What is acted on between two charters: for each rule what keeps within both."""
    return {
        name: RELATIONS[rule.kind].strictest(old.rules[name].value, rule.value) if name in old.rules else rule.value
        for name, rule in new.rules.items()
    }


def fallback_values(version: ConfigVersion) -> dict[str, Value]:
    """What is acted on without a lease: what keeps within every charter that can follow."""
    return {name: rule.value if rule.kind == "free" else rule.fallback for name, rule in version.rules.items()}
