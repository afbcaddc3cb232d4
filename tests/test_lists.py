"""Lists out of several sources: nobody brings back what a newer revision took out."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.agree.lists import DeskLists, DeskStatus, Entry

SOURCES = ("board", "consul", "held")
DESKS = ("d1", "d2", "d3")


def history(seed: int) -> dict[str, list[dict[str, DeskStatus]]]:
    """Each source's revisions, as changes."""
    rng = random.Random(seed)
    return {
        name: [
            {desk: rng.choice(list(DeskStatus)) for desk in rng.sample(DESKS, rng.randint(1, 3))} for _ in range(6)
        ]
        for name in SOURCES
    }


def whole(changes: list[dict[str, DeskStatus]]) -> dict[str, DeskStatus]:
    now: dict[str, DeskStatus] = {}
    for change in changes:
        now |= change
    return {desk: status for desk, status in now.items() if status != DeskStatus.GONE}


def strictest(facts: dict[str, dict[str, tuple[int, DeskStatus]]], desk: str) -> DeskStatus:
    said = [one[desk][1] for one in facts.values() if desk in one and one[desk][1] != DeskStatus.GONE]
    return max(said, default=DeskStatus.GONE)


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 10_000), st.integers(0, 10_000))
def test_an_agent_goes_by_the_newest_that_it_heard_by_any_way(seed: int, order: int) -> None:
    made, rng = history(seed), random.Random(order)
    agents = [DeskLists(SOURCES), DeskLists(SOURCES)]
    facts: list[dict[str, dict[str, tuple[int, DeskStatus]]]] = [{name: {} for name in SOURCES} for _ in agents]

    def fact(who: int, name: str, revision: int, desk: str, status: DeskStatus) -> None:
        facts[who][name][desk] = max(facts[who][name].get(desk, (0, DeskStatus.READY)), (revision, status))

    for _ in range(60):
        who, name, revision = rng.randrange(2), rng.choice(SOURCES), rng.randint(1, 6)
        change = made[name][revision - 1]
        if rng.random() < 0.3:
            for entry in agents[1 - who].drained_or_gone():
                agents[who].apply_entry(entry)
                fact(who, entry.source, entry.revision, entry.desk, entry.status)
        elif rng.random() < 0.3:  # a whole list, perhaps an old one
            desks = whole(made[name][:revision])
            agents[who].apply_revision(name, revision, desks, True)
            for desk in DESKS:
                fact(who, name, revision, desk, desks.get(desk, DeskStatus.GONE))
        else:
            agents[who].apply_revision(name, revision, change, False)
            for desk, status in change.items():
                fact(who, name, revision, desk, status)
        for agent, known in zip(agents, facts, strict=True):
            assert {desk: agent.status(desk) for desk in DESKS} == {desk: strictest(known, desk) for desk in DESKS}
            if rng.random() < 0.1:
                agent.discard_gone([one.vector for one in agents])
    for agent in agents:  # all that there is: both see the same
        for name in SOURCES:
            agent.apply_revision(name, 6, whole(made[name]), True)
            assert agent.vector[name] == 6
    assert agents[0].desks() == agents[1].desks()
    agents[0].discard_gone([agents[1].vector])
    assert agents[0].desks() == agents[1].desks()
    assert all(
        entry.status != DeskStatus.GONE for entry in agents[0].drained_or_gone()
    )  # nothing is left of those that are gone


def test_the_first_word_of_a_drain_from_any_source_holds() -> None:
    desk_lists = DeskLists(SOURCES)
    desk_lists.apply_revision("board", 5, {"d1": DeskStatus.READY}, True)
    assert (
        desk_lists.apply_entry(Entry("consul", 9, "d1", DeskStatus.DRAINING))
        and desk_lists.status("d1") is DeskStatus.DRAINING
    )
    desk_lists.apply_revision("consul", 7, {"d1": DeskStatus.READY}, True)  # behind: the drain stays
    assert desk_lists.status("d1") is DeskStatus.DRAINING
    assert (
        desk_lists.apply_revision("consul", 10, {"d1": DeskStatus.READY}, True) == {"d1"}
        and desk_lists.status("d1") is DeskStatus.READY
    )


@pytest.mark.parametrize("whole_list", [True, False])
def test_an_old_list_brings_nothing_back(whole_list: bool) -> None:
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


def test_a_gap_is_told_by_the_vector_and_its_words_count_all_the_same() -> None:
    desk_lists = DeskLists(SOURCES)
    desk_lists.apply_revision("board", 1, {"d1": DeskStatus.READY, "d2": DeskStatus.READY}, True)
    desk_lists.apply_revision("board", 3, {"d2": DeskStatus.DRAINING}, False)
    assert desk_lists.vector["board"] == 1 and desk_lists.status("d2") is DeskStatus.DRAINING
    desk_lists.apply_revision("board", 2, {"d1": DeskStatus.GONE}, False)
    assert (
        desk_lists.desks() == {"d2": DeskStatus.DRAINING}
        and desk_lists.apply_entry(Entry("unknown", 1, "d1", DeskStatus.READY)) is False
    )
