"""An immutable, numbered and checksummed version of all rules that the agents of a site agree on. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b
from typing import Any

import orjson

from seamlb.agree.relations import RELATIONS, Value

MAX_VERSION_BYTES = 48 * 1024
VOTER_COUNTS = (1, 3, 5, 7)  # one is for a site with a single agent


class VersionError(ValueError):
    """An invalid version, or one that can't follow its predecessor; the message is one line with rule and reason."""


@dataclass(frozen=True)
class Rule:
    """One rule: its kind, its value, and the value that an agent without a lease uses, which never changes."""

    kind: str
    value: Value
    fallback: Value


@dataclass(frozen=True)
class ConfigVersion:
    """`previous_digest` is the digest of the version that this one follows, so that two histories never mix."""

    number: int
    previous_digest: str
    voters: tuple[str, ...]  # names of the agents that vote on the next version: `council` in JSON and in settings
    agents: tuple[str, ...]  # names of all agents that apply this version
    rules: Mapping[str, Rule] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for names, key in ((self.voters, "council"), (self.agents, "agents")):
            if not names or list(names) != sorted(set(names)):
                raise VersionError(f"{key}: must be a sorted list of distinct names")
        if len(self.voters) not in VOTER_COUNTS:
            raise VersionError(f"council: {len(self.voters)} members, must be 1, 3, 5 or 7")
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
        """The canonical serialization: the same bytes on every agent."""
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
        """Identifies this version: a hash of its bytes."""
        return blake2b(self.body, digest_size=16).hexdigest()

    @property
    def majority(self) -> int:
        """The smallest number of voters that is more than half of them."""
        return len(self.voters) // 2 + 1

    def with_values(self, **values: Value) -> ConfigVersion:
        """The next version, with the given rules set to other values."""
        return self.successor(values)

    def successor(
        self, values: Mapping[str, Value], voters: Sequence[str] = (), agents: Sequence[str] = ()
    ) -> ConfigVersion:
        """The next version, with other values of existing rules, and other voters or agents if any are given."""
        if unknown := sorted(values.keys() - self.rules.keys()):
            raise VersionError(f"{unknown[0]}: unknown rule")
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
        """Do both have the same voters, agents and rules, whatever their numbers?"""
        return (self.voters, self.agents, self.rules) == (other.voters, other.agents, other.rules)

    def succession_error(self, old: ConfigVersion) -> str:
        """The reason why this version can't follow `old`; empty if it can."""
        if (self.number, self.previous_digest) != (old.number + 1, old.digest):
            return f"based on another version than number {old.number}"
        if len(self.body) > MAX_VERSION_BYTES:
            return f"{len(self.body)} bytes, more than {MAX_VERSION_BYTES}"
        if len(set(self.voters) ^ set(old.voters)) > 2:
            return "council: more than two names are added or removed; replace one member at a time"
        for name, rule in self.rules.items():
            old_rule = old.rules.get(name)
            if old_rule and (old_rule.kind, old_rule.fallback) != (rule.kind, rule.fallback):
                return f"{name}: its kind and its fallback value (`alone`) can't be changed"
            if (
                old_rule
                and rule.kind == "numbers"
                and not RELATIONS["numbers"].complies("", rule.value, old_rule.value)
            ):
                return f"{name}: a number that is in use can't be reassigned"
        if removed := sorted(set(old.rules) - set(self.rules)):
            return f"{removed[0]}: a rule can't be removed"
        return ""

    def conflicts_with(self, other: ConfigVersion) -> list[str]:
        """Names of the rules that an agent on one of the two versions may violate in the other."""
        agents = tuple(sorted({*self.agents, *other.agents}))
        return [
            name
            for name, rule in sorted(self.rules.items())
            if name in other.rules and RELATIONS[rule.kind].conflict(agents, other.rules[name].value, rule.value)
        ]


def decode(body: bytes) -> ConfigVersion:
    """Parses a serialized version; raises VersionError."""
    try:
        table = orjson.loads(body)
        rules = {name: Rule(*rule) for name, rule in table["fields"].items()}
        version = ConfigVersion(
            int(table["number"]), str(table["before"]), tuple(table["council"]), tuple(table["agents"]), rules
        )
    except VersionError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise VersionError(f"invalid version: {error}") from None
    if version.body != body:
        raise VersionError("not in canonical form")
    return version


def transition_values(old: ConfigVersion, new: ConfigVersion) -> dict[str, Value]:
    """The values in use between two versions: for each rule, a value that complies with both."""
    return {
        name: RELATIONS[rule.kind].strictest(old.rules[name].value, rule.value) if name in old.rules else rule.value
        for name, rule in new.rules.items()
    }


def fallback_values(version: ConfigVersion) -> dict[str, Value]:
    """The values in use without a lease: they comply with every version that can follow."""
    return {name: rule.value if rule.kind == "free" else rule.fallback for name, rule in version.rules.items()}
