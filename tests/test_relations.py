"""The relation table: guards keep within both sides, what is alone within all."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.agree.charter import Charter, CharterError, Field, decode
from seamlb.agree.relations import KINDS
from tests.council import founding

WHO = ["a", "b", "c"]
ZONES = ["east", "north", "south"]
NAMES = st.lists(st.sampled_from(["d1", "d2", "d3", "d4"]), unique=True).map(sorted)
PART = st.integers(0, 10).map(float)
VALUES: dict[str, st.SearchStrategy[Any]] = {
    "limit": st.integers(0, 1000),
    "floor": st.integers(0, 1000),
    "held": NAMES,
    "share": st.dictionaries(st.sampled_from(WHO), PART).map(lambda parts: {"whole": 30.0, "parts": parts}),
    "owner": st.sampled_from(["", *WHO]),
    "left": st.lists(st.sampled_from(ZONES), unique=True, max_size=2).map(
        lambda left: {"zones": ZONES, "left": sorted(left)}
    ),
    "numbers": st.dictionaries(st.sampled_from(["x", "y", "z"]), st.integers(0, 5)).filter(
        lambda one: len(set(one.values())) == len(one)
    ),
}


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(sorted(VALUES)).flatmap(lambda kind: st.tuples(st.just(kind), VALUES[kind], VALUES[kind])))
def test_a_guard_keeps_within_both_and_is_itself_a_value(case: tuple[str, Any, Any]) -> None:
    kind, a, b = case
    relation = KINDS[kind]
    assert relation.check(a) == relation.check(b) == ""
    guard = relation.guard(a, b)
    assert relation.check(guard) == ""
    for who in WHO:
        assert relation.keeps(who, guard, a) and relation.keeps(who, guard, b)
        assert relation.keeps(who, a, a)
    assert relation.contradict(tuple(WHO), a, b) == relation.contradict(tuple(WHO), b, a)
    assert not relation.contradict(tuple(WHO), a, a)


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(sorted(VALUES)).flatmap(lambda kind: st.tuples(st.just(kind), VALUES[kind], VALUES[kind])))
def test_a_charter_leaves_room_for_who_is_alone_or_is_refused(case: tuple[str, Any, Any]) -> None:
    kind, alone, value = case
    relation = KINDS[kind]
    try:
        Charter(1, "", ("a",), tuple(WHO), {"rule": Field(kind, value, alone)})
    except CharterError as error:
        assert str(error).startswith("rule: ")
    else:
        assert all(relation.keeps(who, alone, value) for who in WHO)


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
def test_a_value_that_its_kind_cannot_have_is_refused(kind: str, value: Any) -> None:
    with pytest.raises(CharterError, match="^rule: "):
        Charter(1, "", ("a",), ("a",), {"rule": Field(kind, value, value)})


def test_a_charter_is_the_same_bytes_wherever_it_is_written() -> None:
    first = founding(5, 3)
    assert decode(first.body).digest == first.digest
    for spoilt in (b"", b"{}", first.body[:-1], first.body + b" ", b"[]"):
        with pytest.raises(CharterError):
            decode(spoilt)


def test_what_may_follow() -> None:
    first = founding(5, 3)
    second = first.next(limit=50)
    assert second.follows(first) == "" and "another charter" in first.next(limit=50).next(limit=60).follows(first)
    assert second.contradicts(first) == ["limit"] and first.next(note="x").contradicts(first) == []
    fields = dict(second.fields) | {"limit": Field("limit", 50, 20)}
    assert "never change" in Charter(2, first.digest, first.council, first.agents, fields).follows(first)
    del fields["limit"]
    assert "never goes" in Charter(2, first.digest, first.council, first.agents, fields).follows(first)
    with pytest.raises(CharterError, match="limit: below 10"):
        first.next(limit=5)
    with pytest.raises(CharterError, match="unknown field"):
        first.next(other=5)
