"""Every schedule of faults and proposals up to a depth: nobody acts beyond what another has in force."""

from typing import Any

import pytest

from tests.schedules import run_schedule, schedules
from tests.test_agree_bugs import (
    a_restart_is_not_quiet,
    acts_on_after_its_lease,
    in_force_by_its_own_word,
    lends_on_what_is_old,
)

DEPTH = 3


def test_no_schedule_has_anybody_act_beyond_what_is_in_force() -> None:
    seen: set[tuple[object, ...]] = set()
    for schedule in schedules(DEPTH):
        assert not run_schedule(schedule, seen).violations, schedule
    assert len(seen) > 300


@pytest.mark.parametrize(
    "bug", [in_force_by_its_own_word, lends_on_what_is_old, acts_on_after_its_lease, a_restart_is_not_quiet]
)
def test_a_seeded_bug_is_found_by_some_schedule(bug: Any) -> None:
    with bug():
        assert any(run_schedule(schedule, set()).violations for schedule in schedules(DEPTH))
