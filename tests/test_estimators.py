"""General estimators."""

import math

import pytest

from seamlb.estimators import DecayingValue, TokenBucket


def test_a_value_decays_by_its_time_constant_and_is_replaced() -> None:
    value = DecayingValue(100.0)
    assert value.get(50.0) == 0.0
    value.put(50.0, 8.0)
    assert value.get(50.0) == 8.0
    assert value.get(150.0) == pytest.approx(8.0 / math.e)
    value.put(150.0, 2.0)
    assert value.get(150.0) == 2.0


def test_what_is_added_joins_what_is_left() -> None:
    value = DecayingValue(100.0)
    value.add(0.0, 3.0)
    value.add(100.0, 1.0)
    assert value.get(100.0) == pytest.approx(3.0 / math.e + 1.0)


def test_events_counted_by_the_time_constant_become_their_rate() -> None:
    value = DecayingValue(1000.0)
    for turn in range(2000):
        value.add(turn * 5.0, 1.0 / value.span)
    assert value.get(10_000.0) == pytest.approx(0.2, rel=0.01)


def test_a_bucket_gives_what_has_come_and_no_more_than_its_depth() -> None:
    bucket = TokenBucket(2.0, 0.0)
    assert [bucket.take(0.0, 0.1, 2.0) for _ in range(3)] == [True, True, False]
    assert not bucket.take(9.0, 0.1, 2.0)
    assert bucket.take(10.0, 0.1, 2.0)
    assert [bucket.take(1000.0, 0.1, 2.0) for _ in range(3)] == [True, True, False]
