"""Charters, the council and what agents act on, on a virtual clock."""

import random

import pytest

from seamlb.agree.charter import ConfigVersion
from seamlb.agree.holder import LeaseHolder, LeaseState
from seamlb.agree.notes import Kind, Message
from tests.council import LEASE, World, founding_version
from tests.faults import inject_faults, newest_version, recover


def settled(agents: int = 5, voters: int = 3, seed: int = 1, loss: float = 0.0) -> World:
    world = World(seed, agents, voters, loss)
    world.run(3 * LEASE)
    assert not world.violations
    return world


@pytest.mark.parametrize(("agents", "voters"), [(1, 1), (5, 3), (40, 5), (50, 7)])
def test_a_charter_comes_in_force_everywhere_and_nobody_contradicts(agents: int, voters: int) -> None:
    world = settled(agents, voters)
    assert world.count_in_force(1) == agents
    assert world.propose("a000", newest_version(world).with_values(limit=20)) == ""
    world.run(2 * LEASE)
    assert world.count_in_force(2) == agents and not world.violations
    assert world.nodes["a000"].holder.values(world.now)["limit"] == 20


def test_an_agent_cut_off_acts_alone_and_the_others_wait_for_its_lease_only() -> None:
    world = settled()
    world.is_cut = lambda a, b: ("a004" in (a, b)) and a != b
    assert world.propose("a000", newest_version(world).with_values(limit=20)) == ""
    world.run(0.5)
    assert world.count_in_force(2) == 0  # the one cut off may still act on the old one
    assert world.nodes["a001"].holder.lease_state(world.now) is LeaseState.TRANSITION
    world.run(LEASE * 1.5)
    assert world.count_in_force(2) == 4
    lost = world.nodes["a004"].holder
    assert lost.lease_state(world.now) is LeaseState.FALLBACK and lost.values(world.now)["limit"] == 10
    world.is_cut = lambda a, b: False
    world.run(LEASE)
    assert world.count_in_force(2) == 5 and not world.violations


def test_without_a_majority_all_serve_on_by_what_they_may_do_alone() -> None:
    world = settled()
    for name in ("a001", "a002"):
        world.crash(name)
    world.propose("a000", newest_version(world).with_values(limit=20))
    world.run(3 * LEASE)
    assert newest_version(world).number == 1
    assert {one.holder.lease_state(world.now) for one in world.nodes.values() if one.up} == {LeaseState.FALLBACK}
    assert world.nodes["a004"].holder.values(world.now)["limit"] == 10
    world.restart("a001")
    world.run(4 * LEASE)
    assert world.count_in_force(2) + world.count_in_force(1) == 4 and not world.violations


def test_a_proposer_killed_in_mid_vote_leaves_no_slot_open() -> None:
    world = settled()
    world.propose("a000", newest_version(world).with_values(limit=20))
    while not any(one.voter and one.voter.state.accepted for one in world.nodes.values()):
        world.step()
    world.crash("a000")
    world.run(6 * LEASE)
    assert world.count_in_force(2) == 4 and not world.violations


def test_a_change_that_cannot_contradict_is_acted_on_at_once() -> None:
    world = settled()
    world.is_cut = lambda a, b: ("a004" in (a, b)) and a != b
    world.propose("a000", newest_version(world).with_values(note="anything"))
    world.run(0.6)
    assert world.count_in_force(2) == 4 and not world.violations


def test_leases_are_granted_where_a_round_trip_takes_longer_than_the_time_between_two_requests() -> None:
    """RENEW / 3 of a lease is 0.2 s here. Each request made the answers to the one before worthless."""
    world = World(1, 5, 3)
    world.delay = lambda: 0.3
    world.run(10 * LEASE)
    in_force = []
    for _ in range(100):
        world.step()
        in_force.append(world.count_in_force(1))
    assert sum(in_force) / len(in_force) > 4.0 and not world.violations


def test_an_answer_to_the_process_before_gives_no_lease() -> None:
    first = founding_version(3, 3)
    old, new = (LeaseHolder("a000", LEASE, first, first, at, int(at * 1_000_000)) for at in (1.0, 9.0))
    late = [
        Message(Kind.LEASE_GRANT, voter, slot=1, request_id=message.request_id, cleared=1)
        for voter, message in old.tick(1.0)
    ]
    asked = new.tick(9.0)
    for message in late:
        new.on_message(9.1, message)
    assert new.lease_state(9.1) is LeaseState.FALLBACK
    for voter, question in asked[:2]:
        new.on_message(9.2, Message(Kind.LEASE_GRANT, voter, slot=1, request_id=question.request_id, cleared=1))
    assert (
        new.lease_state(9.2) is LeaseState.IN_FORCE and new.lease_state(9.0 + LEASE) is LeaseState.FALLBACK
    )  # counted from the question


def test_council_members_are_replaced_one_at_a_time() -> None:
    world = settled()
    now = newest_version(world)
    assert "council" in ConfigVersion(
        2, now.digest, ("a002", "a003", "a004"), now.agents, now.rules
    ).succession_error(now)
    moved = ConfigVersion(2, now.digest, ("a001", "a002", "a003"), now.agents, now.rules)
    assert moved.succession_error(now) == "" and world.propose("a001", moved) == ""
    world.run(3 * LEASE)
    # The one that came has to be told by the operator's hand to take part: until then the other two carry it.
    assert newest_version(world).voters == ("a001", "a002", "a003") and not world.violations
    assert world.propose("a000", newest_version(world).with_values(limit=20)) == "not a member of the council"


@pytest.mark.parametrize(("agents", "voters", "seeds"), [(5, 3, 40), (5, 5, 20), (20, 5, 6)])
def test_under_random_faults_nobody_contradicts_and_it_comes_to_rest(agents: int, voters: int, seeds: int) -> None:
    passed = 0
    for seed in range(seeds):
        world, rng = World(seed, agents, voters, loss=0.1), random.Random(seed)
        inject_faults(world, rng, 30.0)
        assert not world.violations, (seed, world.violations[:3])
        recover(world)
        passed += newest_version(world).number - 1
        assert not world.violations, (seed, world.violations[:3])
        assert world.count_in_force(newest_version(world).number) == agents, seed
    assert passed > seeds  # more than one charter a run came in force
