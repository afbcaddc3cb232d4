"""Erlang's formulas against exact sums, published tables, and their own inverses."""

from fractions import Fraction

import pytest

from seamlb.planning import erlang


def exact_loss(agents: int, load: Fraction) -> Fraction:
    term = total = Fraction(1)
    for k in range(1, agents + 1):
        term = term * load / k
        total += term
    return term / total


def exact_wait(agents: int, load: Fraction) -> Fraction:
    if load >= agents:
        return Fraction(1)
    lost = exact_loss(agents, load)
    return agents * lost / (agents - load * (1 - lost))


@pytest.mark.parametrize("agents", [0, 1, 2, 3, 10, 60, 200])
@pytest.mark.parametrize("milli", [1, 10, 999, 1000, 1001, 5000, 60_000, 250_000])
def test_formulas_match_exact_sums_to_eight_digits(agents: int, milli: int) -> None:
    load = Fraction(milli, 1000)
    for computed, exact in (
        (erlang.erlang_b(agents, milli / 1000), exact_loss(agents, load)),
        (erlang.erlang_c(agents, milli / 1000), exact_wait(agents, load)),
    ):
        assert computed == pytest.approx(float(exact), rel=1e-8, abs=1e-300)


@pytest.mark.parametrize(("agents", "load"), [(10_000, 10_000.0), (9_000, 10_000.0), (10_100, 10_000.0)])
def test_large_groups_match_the_sum_of_falling_products(agents: int, load: float) -> None:
    """1/B(n, A) is the sum of the falling products n/A * (n-1)/A * ..., summed here from k = n down."""
    total = term = 1.0
    for k in range(agents, 0, -1):
        term *= k / load
        total += term
        if term < 1e-30 * total:
            break
    assert erlang.erlang_b(agents, load) == pytest.approx(1.0 / total, rel=1e-8)


@pytest.mark.parametrize(
    ("agents", "target", "load"),
    [
        (1, 0.01, 0.0101),
        (5, 0.01, 1.36),
        (10, 0.01, 4.46),
        (20, 0.02, 13.2),
        (30, 0.01, 20.3),
        (100, 0.01, 84.1),
    ],
)
def test_published_traffic_tables(agents: int, target: float, load: float) -> None:
    """Offered traffic from published Erlang B tables, to the three digits that they print."""
    assert erlang.erlang_b(agents, load) == pytest.approx(target, rel=2e-2)  # the load has three digits
    assert erlang.load_for_loss(agents, round(target * 1e6)) / 1000 == pytest.approx(load, rel=5e-3, abs=1e-3)


def test_edge_cases_of_the_formulas() -> None:
    assert erlang.erlang_b(0, 0.0) == erlang.erlang_b(0, 5.0) == 1.0 and erlang.erlang_b(3, 0.0) == 0.0
    assert erlang.erlang_c(0, 0.001) == 1.0 and erlang.erlang_c(1, 0.5) == pytest.approx(0.5)
    assert erlang.erlang_c(10, 12.0) == 1.0  # above 100 % load every call waits
    assert erlang.erlang_b(5000, 0.001) == 0.0  # below the smallest float, not an error
    for bad in ((-1, 1.0), (1, -0.1), (1, float("nan")), (1, float("inf"))):
        with pytest.raises(ValueError, match="invalid group size"):
            erlang.erlang_b(*bad)


@pytest.mark.parametrize("agents", [1, 2, 7, 40, 300])
def test_inverse_is_the_largest_load_that_meets_the_target(agents: int) -> None:
    for target in (1000, 50_000, 300_000, 900_000):
        milli = erlang.load_for_loss(agents, target)
        assert (
            erlang.erlang_b(agents, milli / 1000) * 1e6 <= target < erlang.erlang_b(agents, (milli + 1) / 1000) * 1e6
        )
        milli = erlang.load_for_wait(agents, target, 8000, 1500)
        over = erlang.wait_exceedance(agents, (milli + 1) / 1000, 8000, 1500) * 1e6
        assert erlang.wait_exceedance(agents, milli / 1000, 8000, 1500) * 1e6 <= target
        assert over > target or milli == 1000 * agents - 1


def test_inverses_by_group_size() -> None:
    for milli in (1, 500, 10_000, 96_500):
        agents = erlang.agents_for_loss(milli, 10_000)
        assert erlang.erlang_b(agents, milli / 1000) <= 0.01 < erlang.erlang_b(agents - 1, milli / 1000)
        agents = erlang.agents_for_wait(milli, 10_000, 8000, 1500)
        assert erlang.wait_exceedance(agents, milli / 1000, 8000, 1500) <= 0.01
        assert agents == 1 or erlang.wait_exceedance(agents - 1, milli / 1000, 8000, 1500) > 0.01
    assert erlang.agents_for_loss(0, 10_000) == erlang.agents_for_wait(0, 10_000, 8000, 0) == 0
    for bad in (-1, 1_000_000):
        with pytest.raises(ValueError, match="target"):
            erlang.load_for_loss(3, bad)
