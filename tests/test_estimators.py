"""Tests of the general estimators."""

import math

import pytest

from seamlb.estimators import AwakeClock, DecayingValue, TokenBucket, max_poisson_mean


def test_a_value_decays_with_its_time_constant_and_can_be_replaced() -> None:
    value = DecayingValue(100.0)
    assert value.get(50.0) == 0.0
    value.set(50.0, 8.0)
    assert value.get(50.0) == 8.0
    assert value.get(150.0) == pytest.approx(8.0 / math.e)
    value.set(150.0, 2.0)
    assert value.get(150.0) == 2.0


def test_an_amount_is_added_to_the_decayed_value() -> None:
    value = DecayingValue(100.0)
    value.add(0.0, 3.0)
    value.add(100.0, 1.0)
    assert value.get(100.0) == pytest.approx(3.0 / math.e + 1.0)


def test_events_weighted_by_the_time_constant_estimate_their_rate() -> None:
    value = DecayingValue(1000.0)
    for turn in range(2000):
        value.add(turn * 5.0, 1.0 / value.time_constant)
    assert value.get(10_000.0) == pytest.approx(0.2, rel=0.01)


def test_a_bucket_refills_at_its_rate_up_to_its_depth() -> None:
    bucket = TokenBucket(2.0, 0.0)
    assert [bucket.take(0.0, 0.1, 2.0) for _ in range(3)] == [True, True, False]
    assert not bucket.take(9.0, 0.1, 2.0)
    assert bucket.take(10.0, 0.1, 2.0)
    assert [bucket.take(1000.0, 0.1, 2.0) for _ in range(3)] == [True, True, False]


def test_the_awake_clock_leaves_out_stalls_and_records_the_latest() -> None:
    clock = AwakeClock(250.0)
    for now in (100.0, 350.0, 400.0):
        clock.advance(now)
    assert (clock.awake, clock.stalled_at) == (400.0, -1.0)
    clock.advance(1000.0)
    assert (clock.awake, clock.stalled_at) == (400.0, 1000.0)
    clock.advance(1010.0)
    assert (clock.awake, clock.stalled_at) == (410.0, 1000.0)


@pytest.mark.parametrize("bound", [2.0, 10.0, 75.0, 900.0])
@pytest.mark.parametrize("probability", [1e-1, 1e-3, 1e-6])
def test_a_poisson_count_of_the_mean_exceeds_the_bound_with_at_most_the_probability(
    bound: float, probability: float
) -> None:
    mean = max_poisson_mean(bound, probability)

    def exponent(candidate: float) -> float:  # of the Chernoff bound; rises with the mean
        return bound - candidate - bound * math.log(bound / candidate)

    assert exponent(mean) <= math.log(probability) + 1e-9 < exponent(mean * 1.0001)
    below = sum(math.exp(k * math.log(mean) - mean - math.lgamma(k + 1)) for k in range(int(bound) + 1))
    assert 0.0 < mean < bound and 1.0 - below <= probability
