"""A short, seeded soak test of restarts; `make soak SEEDS=50` runs the long one."""

import pytest

from tests.soak.run import play

SEEDS = (2, 3, 4, 6)


@pytest.mark.parametrize("seed", SEEDS)
def test_every_call_is_answered_and_released_through_restarts(seed: int) -> None:
    verdict = play(seed)
    if verdict.status == "disturbed":
        pytest.skip("\n".join(verdict.lines()))  # the observing process was itself delayed: neither passed nor failed
    assert verdict.status == "passed", "\n".join(verdict.lines())
