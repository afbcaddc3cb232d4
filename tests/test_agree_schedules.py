"""No schedule of faults and proposals up to a depth makes an agent violate a version that is in force."""

from typing import Any

import pytest

from tests.schedules import run_schedule, schedules
from tests.test_agree_bugs import (
    applies_rules_after_the_lease,
    grants_leases_on_old_versions,
    in_force_without_majorities,
    votes_at_once_after_a_restart,
)

DEPTH = 3


def test_no_schedule_causes_a_violation() -> None:
    seen: set[tuple[object, ...]] = set()
    for schedule in schedules(DEPTH):
        assert not run_schedule(schedule, seen).violations, schedule
    assert len(seen) > 300


@pytest.mark.parametrize(
    "bug",
    [
        in_force_without_majorities,
        grants_leases_on_old_versions,
        applies_rules_after_the_lease,
        votes_at_once_after_a_restart,
    ],
)
def test_a_seeded_bug_is_found_by_some_schedule(bug: Any) -> None:
    with bug():
        assert any(run_schedule(schedule, set()).violations for schedule in schedules(DEPTH))
