"""Charters, the council and what agents act on, on a virtual clock."""

import random

import pytest

from seamlb.agree.charter import Charter
from seamlb.agree.holder import Holder, Stance
from seamlb.agree.notes import Kind, Note
from tests.council import LEASE, World, founding
from tests.faults import faults, newest, rest


def settled(agents: int = 5, council: int = 3, seed: int = 1, loss: float = 0.0) -> World:
    world = World(seed, agents, council, loss)
    world.run(3 * LEASE)
    assert not world.broken
    return world


@pytest.mark.parametrize(("agents", "council"), [(1, 1), (5, 3), (40, 5), (50, 7)])
def test_a_charter_comes_in_force_everywhere_and_nobody_contradicts(agents: int, council: int) -> None:
    world = settled(agents, council)
    assert world.in_force(1) == agents
    assert world.propose("a000", newest(world).next(limit=20)) == ""
    world.run(2 * LEASE)
    assert world.in_force(2) == agents and not world.broken
    assert world.nodes["a000"].holder.values(world.now)["limit"] == 20


def test_an_agent_cut_off_acts_alone_and_the_others_wait_for_its_lease_only() -> None:
    world = settled()
    world.cut = lambda a, b: ("a004" in (a, b)) and a != b
    assert world.propose("a000", newest(world).next(limit=20)) == ""
    world.run(0.5)
    assert world.in_force(2) == 0  # the one cut off may still act on the old one
    assert world.nodes["a001"].holder.stance(world.now) is Stance.GUARD
    world.run(LEASE * 1.5)
    assert world.in_force(2) == 4
    lost = world.nodes["a004"].holder
    assert lost.stance(world.now) is Stance.ALONE and lost.values(world.now)["limit"] == 10
    world.cut = lambda a, b: False
    world.run(LEASE)
    assert world.in_force(2) == 5 and not world.broken


def test_without_a_majority_all_serve_on_by_what_they_may_do_alone() -> None:
    world = settled()
    for name in ("a001", "a002"):
        world.crash(name)
    world.propose("a000", newest(world).next(limit=20))
    world.run(3 * LEASE)
    assert newest(world).number == 1
    assert {one.holder.stance(world.now) for one in world.nodes.values() if one.up} == {Stance.ALONE}
    assert world.nodes["a004"].holder.values(world.now)["limit"] == 10
    world.restart("a001")
    world.run(4 * LEASE)
    assert world.in_force(2) + world.in_force(1) == 4 and not world.broken


def test_a_proposer_killed_in_mid_vote_leaves_no_slot_open() -> None:
    world = settled()
    world.propose("a000", newest(world).next(limit=20))
    while not any(one.member and one.member.kept.accepted for one in world.nodes.values()):
        world.step()
    world.crash("a000")
    world.run(6 * LEASE)
    assert world.in_force(2) == 4 and not world.broken


def test_a_change_that_cannot_contradict_is_acted_on_at_once() -> None:
    world = settled()
    world.cut = lambda a, b: ("a004" in (a, b)) and a != b
    world.propose("a000", newest(world).next(note="anything"))
    world.run(0.6)
    assert world.in_force(2) == 4 and not world.broken


def test_leases_are_granted_where_a_round_trip_takes_longer_than_the_time_between_two_requests() -> None:
    """RENEW / 3 of a lease is 0.2 s here. Each request made the answers to the one before worthless."""
    world = World(1, 5, 3)
    world.delay = lambda: 0.3
    world.run(10 * LEASE)
    in_force = []
    for _ in range(100):
        world.step()
        in_force.append(world.in_force(1))
    assert sum(in_force) / len(in_force) > 4.0 and not world.broken


def test_an_answer_to_the_process_before_gives_no_lease() -> None:
    first = founding(3, 3)
    old, new = (Holder("a000", LEASE, first, first, at, int(at * 1_000_000)) for at in (1.0, 9.0))
    late = [Note(Kind.GRANT, member, slot=1, ask=note.ask, cleared=1) for member, note in old.tick(1.0)]
    asked = new.tick(9.0)
    for note in late:
        new.received(9.1, note)
    assert new.stance(9.1) is Stance.ALONE
    for member, question in asked[:2]:
        new.received(9.2, Note(Kind.GRANT, member, slot=1, ask=question.ask, cleared=1))
    assert new.stance(9.2) is Stance.PLAIN and new.stance(9.0 + LEASE) is Stance.ALONE  # counted from the question


def test_council_members_are_replaced_one_at_a_time() -> None:
    world = settled()
    now = newest(world)
    assert "council" in Charter(2, now.digest, ("a002", "a003", "a004"), now.agents, now.fields).follows(now)
    moved = Charter(2, now.digest, ("a001", "a002", "a003"), now.agents, now.fields)
    assert moved.follows(now) == "" and world.propose("a001", moved) == ""
    world.run(3 * LEASE)
    # The one that came has to be told by the operator's hand to take part: until then the other two carry it.
    assert newest(world).council == ("a001", "a002", "a003") and not world.broken
    assert world.propose("a000", newest(world).next(limit=20)) == "not a member of the council"


@pytest.mark.parametrize(("agents", "council", "seeds"), [(5, 3, 40), (5, 5, 20), (20, 5, 6)])
def test_under_random_faults_nobody_contradicts_and_it_comes_to_rest(agents: int, council: int, seeds: int) -> None:
    passed = 0
    for seed in range(seeds):
        world, rng = World(seed, agents, council, loss=0.1), random.Random(seed)
        faults(world, rng, 30.0)
        assert not world.broken, (seed, world.broken[:3])
        rest(world)
        passed += newest(world).number - 1
        assert not world.broken, (seed, world.broken[:3])
        assert world.in_force(newest(world).number) == agents, seed
    assert passed > seeds  # more than one charter a run came in force
