"""Lists out of several sources: nobody brings back what a newer revision took out."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.agree.lists import Listed, Lists, Word

SOURCES = ("board", "consul", "held")
DESKS = ("d1", "d2", "d3")


def history(seed: int) -> dict[str, list[dict[str, Listed]]]:
    """Each source's revisions, as changes."""
    rng = random.Random(seed)
    return {
        name: [{desk: rng.choice(list(Listed)) for desk in rng.sample(DESKS, rng.randint(1, 3))} for _ in range(6)]
        for name in SOURCES
    }


def whole(changes: list[dict[str, Listed]]) -> dict[str, Listed]:
    now: dict[str, Listed] = {}
    for change in changes:
        now |= change
    return {desk: state for desk, state in now.items() if state != Listed.GONE}


def strictest(facts: dict[str, dict[str, tuple[int, Listed]]], desk: str) -> Listed:
    said = [one[desk][1] for one in facts.values() if desk in one and one[desk][1] != Listed.GONE]
    return max(said, default=Listed.GONE)


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 10_000), st.integers(0, 10_000))
def test_an_agent_goes_by_the_newest_that_it_heard_by_any_way(seed: int, order: int) -> None:
    made, rng = history(seed), random.Random(order)
    agents = [Lists(SOURCES), Lists(SOURCES)]
    facts: list[dict[str, dict[str, tuple[int, Listed]]]] = [{name: {} for name in SOURCES} for _ in agents]

    def fact(who: int, name: str, revision: int, desk: str, listed: Listed) -> None:
        facts[who][name][desk] = max(facts[who][name].get(desk, (0, Listed.READY)), (revision, listed))

    for _ in range(60):
        who, name, revision = rng.randrange(2), rng.choice(SOURCES), rng.randint(1, 6)
        change = made[name][revision - 1]
        if rng.random() < 0.3:
            for word in agents[1 - who].out():
                agents[who].told(word)
                fact(who, word.source, word.revision, word.desk, word.listed)
        elif rng.random() < 0.3:  # a whole list, perhaps an old one
            desks = whole(made[name][:revision])
            agents[who].heard(name, revision, desks, True)
            for desk in DESKS:
                fact(who, name, revision, desk, desks.get(desk, Listed.GONE))
        else:
            agents[who].heard(name, revision, change, False)
            for desk, listed in change.items():
                fact(who, name, revision, desk, listed)
        for agent, known in zip(agents, facts, strict=True):
            assert {desk: agent.state(desk) for desk in DESKS} == {desk: strictest(known, desk) for desk in DESKS}
            if rng.random() < 0.1:
                agent.forget([one.vector for one in agents])
    for agent in agents:  # all that there is: both see the same
        for name in SOURCES:
            agent.heard(name, 6, whole(made[name]), True)
            assert agent.vector[name] == 6
    assert agents[0].desks() == agents[1].desks()
    agents[0].forget([agents[1].vector])
    assert agents[0].desks() == agents[1].desks()
    assert all(word.listed != Listed.GONE for word in agents[0].out())  # nothing is left of those that are gone


def test_the_first_word_of_a_drain_from_any_source_holds() -> None:
    lists = Lists(SOURCES)
    lists.heard("board", 5, {"d1": Listed.READY}, True)
    assert lists.told(Word("consul", 9, "d1", Listed.DRAINING)) and lists.state("d1") is Listed.DRAINING
    lists.heard("consul", 7, {"d1": Listed.READY}, True)  # behind: the drain stays
    assert lists.state("d1") is Listed.DRAINING
    assert lists.heard("consul", 10, {"d1": Listed.READY}, True) == {"d1"} and lists.state("d1") is Listed.READY


@pytest.mark.parametrize("whole_list", [True, False])
def test_an_old_list_brings_nothing_back(whole_list: bool) -> None:
    lists = Lists(SOURCES)
    lists.heard("board", 1, {"d1": Listed.READY, "d2": Listed.READY}, True)
    lists.heard("board", 2, {"d1": Listed.GONE}, False)
    assert lists.heard("board", 1, {"d1": Listed.READY, "d2": Listed.READY}, whole_list) == set()
    assert lists.desks() == {"d2": Listed.READY} and lists.vector["board"] == 2
    lists.forget([{"board": 2}])
    assert lists.told(Word("board", 1, "d1", Listed.READY)) is False and "d1" not in lists.desks()


def test_a_gap_is_told_by_the_vector_and_its_words_count_all_the_same() -> None:
    lists = Lists(SOURCES)
    lists.heard("board", 1, {"d1": Listed.READY, "d2": Listed.READY}, True)
    lists.heard("board", 3, {"d2": Listed.DRAINING}, False)
    assert lists.vector["board"] == 1 and lists.state("d2") is Listed.DRAINING
    lists.heard("board", 2, {"d1": Listed.GONE}, False)
    assert lists.desks() == {"d2": Listed.DRAINING} and lists.told(Word("unknown", 1, "d1", Listed.READY)) is False
