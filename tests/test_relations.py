"""Relations of values: a transition value complies with both sides, a fallback value with every version."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.agree.relations import RELATIONS
from seamlb.agree.version import ConfigVersion, Rule, VersionError, decode
from tests.agree_simulation import founding_version

AGENTS = ["a", "b", "c"]
ZONES = ["east", "north", "south"]
NAMES = st.lists(st.sampled_from(["d1", "d2", "d3", "d4"]), unique=True).map(sorted)
PART = st.integers(0, 10).map(float)
VALUES: dict[str, st.SearchStrategy[Any]] = {
    "limit": st.integers(0, 1000),
    "floor": st.integers(0, 1000),
    "held": NAMES,
    "share": st.dictionaries(st.sampled_from(AGENTS), PART).map(lambda parts: {"whole": 30.0, "parts": parts}),
    "owner": st.sampled_from(["", *AGENTS]),
    "left": st.lists(st.sampled_from(ZONES), unique=True, max_size=2).map(
        lambda left: {"zones": ZONES, "left": sorted(left)}
    ),
    "numbers": st.dictionaries(st.sampled_from(["x", "y", "z"]), st.integers(0, 5)).filter(
        lambda numbers: len(set(numbers.values())) == len(numbers)
    ),
}


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(sorted(VALUES)).flatmap(lambda kind: st.tuples(st.just(kind), VALUES[kind], VALUES[kind])))
def test_the_strictest_value_complies_with_both_and_is_itself_valid(case: tuple[str, Any, Any]) -> None:
    kind, a, b = case
    relation = RELATIONS[kind]
    assert relation.check(a) == relation.check(b) == ""
    strictest = relation.strictest(a, b)
    assert relation.check(strictest) == ""
    for agent in AGENTS:
        assert relation.complies(agent, strictest, a) and relation.complies(agent, strictest, b)
        assert relation.complies(agent, a, a)
    assert relation.conflict(tuple(AGENTS), a, b) == relation.conflict(tuple(AGENTS), b, a)
    assert not relation.conflict(tuple(AGENTS), a, a)


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(sorted(VALUES)).flatmap(lambda kind: st.tuples(st.just(kind), VALUES[kind], VALUES[kind])))
def test_a_fallback_value_complies_with_the_version_or_the_version_is_refused(case: tuple[str, Any, Any]) -> None:
    kind, fallback, value = case
    relation = RELATIONS[kind]
    try:
        ConfigVersion(1, "", ("a",), tuple(AGENTS), {"rule": Rule(kind, value, fallback)})
    except VersionError as error:
        assert str(error).startswith("rule: ")
    else:
        assert all(relation.complies(agent, fallback, value) for agent in AGENTS)


@pytest.mark.parametrize(
    ("kind", "value"),
    [
        ("limit", -1),
        ("limit", True),
        ("limit", "5"),
        ("limit", float("inf")),
        ("held", ["b", "a"]),
        ("held", ["a", "a"]),
        ("owner", 3),
        ("new", 1),
        ("numbers", {"x": 1, "y": 1}),
        ("share", {"whole": 1.0, "parts": {"a": 0.6, "b": 0.6}}),
        ("share", {"parts": {}}),
        ("left", {"zones": ["x"], "left": ["x"]}),
        ("left", {"zones": ["x"], "left": ["y"]}),
    ],
)
def test_a_value_that_is_invalid_for_its_kind_is_refused(kind: str, value: Any) -> None:
    with pytest.raises(VersionError, match="^rule: "):
        ConfigVersion(1, "", ("a",), ("a",), {"rule": Rule(kind, value, value)})


def test_a_version_has_one_serialization() -> None:
    first = founding_version(5, 3)
    assert decode(first.body).digest == first.digest
    for corrupt in (b"", b"{}", first.body[:-1], first.body + b" ", b"[]"):
        with pytest.raises(VersionError):
            decode(corrupt)


def test_which_versions_may_follow() -> None:
    first = founding_version(5, 3)
    second = first.with_values(limit=50)
    assert second.succession_error(first) == "" and "another version" in first.with_values(limit=50).with_values(
        limit=60
    ).succession_error(first)
    assert second.conflicts_with(first) == ["limit"] and first.with_values(note="x").conflicts_with(first) == []
    rules = dict(second.rules) | {"limit": Rule("limit", 50, 20)}
    assert "can't be changed" in ConfigVersion(2, first.digest, first.voters, first.agents, rules).succession_error(
        first
    )
    del rules["limit"]
    assert "can't be removed" in ConfigVersion(2, first.digest, first.voters, first.agents, rules).succession_error(
        first
    )
    with pytest.raises(VersionError, match="limit: below the fallback value 10"):
        first.with_values(limit=5)
    with pytest.raises(VersionError, match="unknown rule"):
        first.with_values(other=5)
