"""Desk lists of several sources: old revisions never bring back what a newer one removed."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.agree.desk_lists import DeskLists, DeskStatus, Entry

SOURCES = ("board", "consul", "held")
DESKS = ("d1", "d2", "d3")


def history(seed: int) -> dict[str, list[dict[str, DeskStatus]]]:
    """The changes in each revision of each source."""
    rng = random.Random(seed)
    return {
        name: [
            {desk: rng.choice(list(DeskStatus)) for desk in rng.sample(DESKS, rng.randint(1, 3))} for _ in range(6)
        ]
        for name in SOURCES
    }


def complete_list(changes: list[dict[str, DeskStatus]]) -> dict[str, DeskStatus]:
    now: dict[str, DeskStatus] = {}
    for change in changes:
        now |= change
    return {desk: status for desk, status in now.items() if status != DeskStatus.GONE}


def strictest(expected: dict[str, dict[str, tuple[int, DeskStatus]]], desk: str) -> DeskStatus:
    statuses = [desks[desk][1] for desks in expected.values() if desk in desks and desks[desk][1] != DeskStatus.GONE]
    return max(statuses, default=DeskStatus.GONE)


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 10_000), st.integers(0, 10_000))
def test_an_agent_uses_the_newest_revision_that_it_got_from_a_source_or_another_agent(seed: int, order: int) -> None:
    revisions, rng = history(seed), random.Random(order)
    agents = [DeskLists(SOURCES), DeskLists(SOURCES)]
    expected: list[dict[str, dict[str, tuple[int, DeskStatus]]]] = [{name: {} for name in SOURCES} for _ in agents]

    def expect(receiver: int, name: str, revision: int, desk: str, status: DeskStatus) -> None:
        expected[receiver][name][desk] = max(
            expected[receiver][name].get(desk, (0, DeskStatus.READY)), (revision, status)
        )

    for _ in range(60):
        receiver, name, revision = rng.randrange(2), rng.choice(SOURCES), rng.randint(1, 6)
        change = revisions[name][revision - 1]
        if rng.random() < 0.3:
            for entry in agents[1 - receiver].drained_or_gone():
                agents[receiver].apply_entry(entry)
                expect(receiver, entry.source, entry.revision, entry.desk, entry.status)
        elif rng.random() < 0.3:  # a complete list, perhaps an old one
            desks = complete_list(revisions[name][:revision])
            agents[receiver].apply_revision(name, revision, desks, True)
            for desk in DESKS:
                expect(receiver, name, revision, desk, desks.get(desk, DeskStatus.GONE))
        else:
            agents[receiver].apply_revision(name, revision, change, False)
            for desk, status in change.items():
                expect(receiver, name, revision, desk, status)
        for agent, known in zip(agents, expected, strict=True):
            assert {desk: agent.status(desk) for desk in DESKS} == {desk: strictest(known, desk) for desk in DESKS}
            if rng.random() < 0.1:
                agent.discard_gone([other.vector for other in agents])
    for agent in agents:  # with all revisions, both have the same list
        for name in SOURCES:
            agent.apply_revision(name, 6, complete_list(revisions[name]), True)
            assert agent.vector[name] == 6
    assert agents[0].desks() == agents[1].desks()
    agents[0].discard_gone([agents[1].vector])
    assert agents[0].desks() == agents[1].desks()
    # No entry remains for a desk that is gone.
    assert all(entry.status != DeskStatus.GONE for entry in agents[0].drained_or_gone())


def test_a_drain_counts_as_soon_as_it_arrives_from_any_source() -> None:
    desk_lists = DeskLists(SOURCES)
    desk_lists.apply_revision("board", 5, {"d1": DeskStatus.READY}, True)
    assert (
        desk_lists.apply_entry(Entry("consul", 9, "d1", DeskStatus.DRAINING))
        and desk_lists.status("d1") is DeskStatus.DRAINING
    )
    desk_lists.apply_revision("consul", 7, {"d1": DeskStatus.READY}, True)  # older: the desk still drains
    assert desk_lists.status("d1") is DeskStatus.DRAINING
    assert (
        desk_lists.apply_revision("consul", 10, {"d1": DeskStatus.READY}, True) == {"d1"}
        and desk_lists.status("d1") is DeskStatus.READY
    )


@pytest.mark.parametrize("whole_list", [True, False])
def test_an_old_list_brings_no_desk_back(whole_list: bool) -> None:
    desk_lists = DeskLists(SOURCES)
    desk_lists.apply_revision("board", 1, {"d1": DeskStatus.READY, "d2": DeskStatus.READY}, True)
    desk_lists.apply_revision("board", 2, {"d1": DeskStatus.GONE}, False)
    assert (
        desk_lists.apply_revision("board", 1, {"d1": DeskStatus.READY, "d2": DeskStatus.READY}, whole_list) == set()
    )
    assert desk_lists.desks() == {"d2": DeskStatus.READY} and desk_lists.vector["board"] == 2
    desk_lists.discard_gone([{"board": 2}])
    assert (
        desk_lists.apply_entry(Entry("board", 1, "d1", DeskStatus.READY)) is False and "d1" not in desk_lists.desks()
    )


def test_entries_after_a_gap_count_while_the_vector_stays() -> None:
    desk_lists = DeskLists(SOURCES)
    desk_lists.apply_revision("board", 1, {"d1": DeskStatus.READY, "d2": DeskStatus.READY}, True)
    desk_lists.apply_revision("board", 3, {"d2": DeskStatus.DRAINING}, False)
    assert desk_lists.vector["board"] == 1 and desk_lists.status("d2") is DeskStatus.DRAINING
    desk_lists.apply_revision("board", 2, {"d1": DeskStatus.GONE}, False)
    assert (
        desk_lists.desks() == {"d2": DeskStatus.DRAINING}
        and desk_lists.apply_entry(Entry("unknown", 1, "d1", DeskStatus.READY)) is False
    )
