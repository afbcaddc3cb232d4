"""For each kind of rule, which values conflict with each other; pure.

Each kind defines when a value that an agent applies complies with the value in another version (`complies`). Two
versions conflict if an agent on one of them may violate the other. `strictest` gives a value that complies with two
others. The fallback value of a rule is fixed and has to comply with the value in every version: an agent applies it
once its lease has expired, for as long as it reaches no voters.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

Value = Any  # as in JSON: numbers, text, lists of text, objects


@dataclass(slots=True, frozen=True)
class Relation:
    """One kind of rule."""

    check: Callable[[Value], str]  # the reason why a value is invalid; empty if it is valid
    complies: Callable[[str, Value, Value], bool]  # (agent, value applied, value in the other version)
    strictest: Callable[[Value, Value], Value]  # complies with both
    # (fallback, value in a version): the reason why the fallback doesn't comply; empty if it does
    check_fallback: Callable[[Value, Value], str]

    def conflict(self, agents: tuple[str, ...], old: Value, new: Value) -> bool:
        """May an agent on one of the two violate the other? In either direction, as both are applied for a while."""
        return not all(self.complies(agent, old, new) and self.complies(agent, new, old) for agent in agents or ("",))


def _check_number(value: Value) -> str:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return "" if is_number and 0 <= value < float("inf") else "must be a finite number, at least 0"


def _check_names(value: Value) -> str:
    is_list = isinstance(value, list) and all(isinstance(name, str) for name in value)
    return "" if is_list and value == sorted(set(value)) else "must be a sorted list of distinct names"


def _check_share(value: Value) -> str:
    """`whole` is the sum to divide, `parts` the shares by agent; agents without one have a share of 0."""
    if not isinstance(value, dict) or set(value) != {"whole", "parts"} or not isinstance(value["parts"], dict):
        return "must have whole and parts"
    if reason := next(filter(None, map(_check_number, (value["whole"], *value["parts"].values()))), ""):
        return reason
    given = sum(value["parts"].values())
    return (
        f"the sum of parts is {given}, above the whole of {value['whole']}" if given > value["whole"] + 1e-9 else ""
    )


def _check_left(value: Value) -> str:
    """`zones` are all zones, `left` those that get no new calls."""
    if not isinstance(value, dict) or set(value) != {"zones", "left"}:
        return "must have zones and left"
    if reason := _check_names(value["zones"]) or _check_names(value["left"]):
        return reason
    if not set(value["left"]) <= set(value["zones"]):
        return "left has a zone that is not in zones"
    return "" if set(value["left"]) < set(value["zones"]) else "left must not have all zones"


def _check_numbers(value: Value) -> str:
    if not isinstance(value, dict) or any(_check_number(number) for number in value.values()):
        return "must have a number for each name"
    return "two names have the same number" if len(set(value.values())) != len(value) else ""


def _smaller_parts(a: Mapping[str, Value], b: Mapping[str, Value]) -> Value:
    both = sorted(a["parts"].keys() & b["parts"].keys())
    parts = {agent: min(a["parts"][agent], b["parts"][agent]) for agent in both}
    return {"whole": min(a["whole"], b["whole"]), "parts": parts}


def _zone_remains(a: Mapping[str, Value], b: Mapping[str, Value]) -> bool:
    """Does a zone remain that neither side has left?"""
    return bool(set(a["zones"]) & set(b["zones"]) - set(a["left"]) - set(b["left"]))


def _combine_left(a: Mapping[str, Value], b: Mapping[str, Value]) -> Value:
    left = set(a["left"]) | set(b["left"]) if _zone_remains(a, b) else set(a["left"]) & set(b["left"])
    zones = set(a["zones"]) | set(b["zones"])
    return {"zones": sorted(zones), "left": sorted(left & zones)}


def _numbers_compatible(a: Mapping[str, int], b: Mapping[str, int]) -> bool:
    """Does every name have the same number on both sides, and every number the same name?"""
    names = {number: name for name, number in a.items()}
    return all(a.get(name, number) == number and names.get(number, name) == name for name, number in b.items())


RELATIONS: Mapping[str, Relation] = {
    # An upper limit for each agent: the lower one.
    "limit": Relation(
        _check_number,
        lambda _, own, other: own <= other,
        min,
        lambda fallback, value: "" if fallback <= value else f"below the fallback value {fallback}",
    ),
    # A minimum that each agent guarantees: the higher one.
    "floor": Relation(
        _check_number,
        lambda _, own, other: own >= other,
        max,
        lambda fallback, value: "" if fallback >= value else f"above the fallback value {fallback}",
    ),
    # Shares whose sum over the agents must not exceed the whole: for each agent the smaller share.
    "share": Relation(
        _check_share,
        lambda agent, own, other: own["parts"].get(agent, 0) <= other["parts"].get(agent, 0) + 1e-9,
        _smaller_parts,
        lambda fallback, value: next(
            (
                f"{agent} has less than its fallback share of {part}"
                for agent, part in fallback["parts"].items()
                if part > value["parts"].get(agent, 0) + 1e-9
            ),
            "",
        ),
    ),
    # Desks that must not be used: those of both lists.
    "held": Relation(
        _check_names,
        lambda _, own, other: set(own) >= set(other),
        lambda a, b: sorted({*a, *b}),
        lambda fallback, value: next(
            (f"{desk} is not in the fallback value" for desk in value if desk not in fallback), ""
        ),
    ),
    # One owner, or none: none if the two differ.
    "owner": Relation(
        lambda value: "" if isinstance(value, str) else "not a name",
        lambda agent, own, other: own in ("", other),
        lambda a, b: a if a == b else "",
        lambda fallback, value: "" if not fallback else "the fallback value must be empty",
    ),
    # Zones that operators have left, of which one must remain: those left on either side or, if then no zone would
    # remain, those left on both.
    "left": Relation(
        _check_left,
        lambda _, own, other: _zone_remains(own, other),
        _combine_left,
        lambda fallback, value: (
            ""
            if _zone_remains(fallback, value)
            else "no zone remains that neither this nor the fallback value has left"
        ),
    ),
    # Numbers of classes: they may be added and removed, but not reassigned; a version that does so is refused.
    "numbers": Relation(
        _check_numbers,
        lambda _, own, other: _numbers_compatible(own, other),
        lambda a, b: {name: number for name, number in a.items() if b.get(name) == number},
        lambda fallback, value: (
            "" if _numbers_compatible(fallback, value) else "a number in the fallback value has been reassigned"
        ),
    ),
    # Any value: nothing conflicts.
    "free": Relation(lambda _: "", lambda *_: True, lambda _, b: b, lambda *_: ""),
}
