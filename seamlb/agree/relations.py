"""What contradicts what, a kind of field at a time; pure.

Each kind says when a value that an agent acts on keeps within another version's value (`keeps`). Two versions
contradict where an agent on one of them may not keep within the other. The guard of two values keeps within both, and
`alone`, which a field carries for good, has to keep within every version's value: it is what an agent acts on that
has heard from nobody for longer than its lease, for as long as that lasts.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

Value = Any  # as JSON has it: numbers, text, lists of text, objects


@dataclass(slots=True, frozen=True)
class Relation:
    """One kind of field."""

    check: Callable[[Value], str]  # why a value can't be one; empty if it can
    complies: Callable[[str, Value, Value], bool]  # (agent, acted on, the other version's): within it?
    strictest: Callable[[Value, Value], Value]  # keeps within both
    check_fallback: Callable[
        [Value, Value], str
    ]  # (alone, a version's): why it does not keep within it; empty if it does

    def conflict(self, agents: tuple[str, ...], old: Value, new: Value) -> bool:
        """May an agent on one of the two break the other? Either way counts: both are acted on for a while."""
        return not all(self.complies(one, old, new) and self.complies(one, new, old) for one in agents or ("",))


def _check_number(value: Value) -> str:
    plain = isinstance(value, (int, float)) and not isinstance(value, bool)
    return "" if plain and 0 <= value < float("inf") else "not a number from 0"


def _check_names(value: Value) -> str:
    whole = isinstance(value, list) and all(isinstance(one, str) for one in value)
    return "" if whole and value == sorted(set(value)) else "not a sorted list of names, each once"


def _check_share(value: Value) -> str:
    """`whole` to be divided, `parts` by agent; who is not named has nothing."""
    if not isinstance(value, dict) or set(value) != {"whole", "parts"} or not isinstance(value["parts"], dict):
        return "not whole and parts"
    if reason := next(filter(None, map(_check_number, (value["whole"], *value["parts"].values()))), ""):
        return reason
    given = sum(value["parts"].values())
    return f"the parts are {given}, above the whole of {value['whole']}" if given > value["whole"] + 1e-9 else ""


def _check_left(value: Value) -> str:
    """`zones` that there are, `left` those that nobody goes to."""
    if not isinstance(value, dict) or set(value) != {"zones", "left"}:
        return "not zones and left"
    if reason := _check_names(value["zones"]) or _check_names(value["left"]):
        return reason
    if not set(value["left"]) <= set(value["zones"]):
        return "a zone is left that there is not"
    return "" if set(value["left"]) < set(value["zones"]) else "no zone stays"


def _check_numbers(value: Value) -> str:
    if not isinstance(value, dict) or any(_check_number(one) for one in value.values()):
        return "not names with their numbers"
    return "two names have one number" if len(set(value.values())) != len(value) else ""


def _smaller_parts(a: Mapping[str, Value], b: Mapping[str, Value]) -> Value:
    both = sorted(a["parts"].keys() & b["parts"].keys())
    parts = {one: min(a["parts"][one], b["parts"][one]) for one in both}
    return {"whole": min(a["whole"], b["whole"]), "parts": parts}


def _zone_remains(a: Mapping[str, Value], b: Mapping[str, Value]) -> bool:
    """Is a zone left over that neither has left?"""
    return bool(set(a["zones"]) & set(b["zones"]) - set(a["left"]) - set(b["left"]))


def _combine_left(a: Mapping[str, Value], b: Mapping[str, Value]) -> Value:
    left = set(a["left"]) | set(b["left"]) if _zone_remains(a, b) else set(a["left"]) & set(b["left"])
    zones = set(a["zones"]) | set(b["zones"])
    return {"zones": sorted(zones), "left": sorted(left & zones)}


def _numbers_compatible(a: Mapping[str, int], b: Mapping[str, int]) -> bool:
    """Does no name shift, and no number change its name?"""
    named = {number: name for name, number in a.items()}
    return all(a.get(name, number) == number and named.get(number, name) == name for name, number in b.items())


RELATIONS: Mapping[str, Relation] = {
    # A bound that each agent keeps: the lower one.
    "limit": Relation(
        _check_number,
        lambda _, own, other: own <= other,
        min,
        lambda fallback, value: "" if fallback <= value else f"below {fallback}, which who is alone goes up to",
    ),
    # What each agent guarantees: the higher one.
    "floor": Relation(
        _check_number,
        lambda _, own, other: own >= other,
        max,
        lambda fallback, value: "" if fallback >= value else f"above {fallback}, which who is alone guarantees",
    ),
    # Sums over agents that must stay within a whole: each agent the smaller of its parts.
    "share": Relation(
        _check_share,
        lambda agent, own, other: own["parts"].get(agent, 0) <= other["parts"].get(agent, 0) + 1e-9,
        _smaller_parts,
        lambda fallback, value: next(
            (
                f"{agent} has less than {part}, which it goes up to alone"
                for agent, part in fallback["parts"].items()
                if part > value["parts"].get(agent, 0) + 1e-9
            ),
            "",
        ),
    ),
    # Desks that are not to be used: one that is held in either is held.
    "held": Relation(
        _check_names,
        lambda _, own, other: set(own) >= set(other),
        lambda a, b: sorted({*a, *b}),
        lambda fallback, value: next((f"{one} is used by who is alone" for one in value if one not in fallback), ""),
    ),
    # One owner, or none: who may be two is none.
    "owner": Relation(
        lambda value: "" if isinstance(value, str) else "not a name",
        lambda agent, own, other: own in ("", other),
        lambda a, b: a if a == b else "",
        lambda fallback, value: "" if not fallback else "who is alone can't own it",
    ),
    # Zones left by hand, of which one must stay: both sides' unless none would stay, else what both have left.
    "left": Relation(
        _check_left,
        lambda _, own, other: _zone_remains(own, other),
        _combine_left,
        lambda fallback, value: (
            "" if _zone_remains(fallback, value) else "no zone stays beside what who is alone has left"
        ),
    ),
    # Numbers of classes: they may be added and dropped, never shift. A charter that shifts one is refused.
    "numbers": Relation(
        _check_numbers,
        lambda _, own, other: _numbers_compatible(own, other),
        lambda a, b: {name: number for name, number in a.items() if b.get(name) == number},
        lambda fallback, value: (
            "" if _numbers_compatible(fallback, value) else "a number that who is alone knows has shifted"
        ),
    ),
    # What each agent may have as it likes: nothing of it contradicts.
    "free": Relation(lambda _: "", lambda *_: True, lambda _, b: b, lambda *_: ""),
}
