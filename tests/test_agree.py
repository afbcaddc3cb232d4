"""Versions, voters, and the rules that agents apply, on a virtual clock."""

import random

import pytest

from seamlb.agree.lease import LeaseHolder, LeaseState
from seamlb.agree.messages import Kind, Message
from seamlb.agree.version import ConfigVersion
from tests.agree_faults import inject_faults, newest_version, recover
from tests.agree_simulation import LEASE, World, founding_version


def settled(agents: int = 5, voters: int = 3, seed: int = 1, loss: float = 0.0) -> World:
    world = World(seed, agents, voters, loss)
    world.run(3 * LEASE)
    assert not world.violations
    return world


@pytest.mark.parametrize(("agents", "voters"), [(1, 1), (5, 3), (40, 5), (50, 7)])
def test_a_version_comes_into_force_at_all_agents_without_violations(agents: int, voters: int) -> None:
    world = settled(agents, voters)
    assert world.count_in_force(1) == agents
    assert world.propose("a000", newest_version(world).with_values(limit=20)) == ""
    world.run(2 * LEASE)
    assert world.count_in_force(2) == agents and not world.violations
    assert world.nodes["a000"].holder.values(world.now)["limit"] == 20


def test_an_isolated_agent_uses_fallback_values_and_the_others_wait_only_for_its_lease() -> None:
    world = settled()
    world.is_cut = lambda a, b: ("a004" in (a, b)) and a != b
    assert world.propose("a000", newest_version(world).with_values(limit=20)) == ""
    world.run(0.5)
    assert world.count_in_force(2) == 0  # the isolated agent may still apply version 1
    assert world.nodes["a001"].holder.lease_state(world.now) is LeaseState.TRANSITION
    world.run(LEASE * 1.5)
    assert world.count_in_force(2) == 4
    isolated = world.nodes["a004"].holder
    assert isolated.lease_state(world.now) is LeaseState.FALLBACK and isolated.values(world.now)["limit"] == 10
    world.is_cut = lambda a, b: False
    world.run(LEASE)
    assert world.count_in_force(2) == 5 and not world.violations


def test_without_a_majority_all_agents_use_fallback_values() -> None:
    world = settled()
    for name in ("a001", "a002"):
        world.crash(name)
    world.propose("a000", newest_version(world).with_values(limit=20))
    world.run(3 * LEASE)
    assert newest_version(world).number == 1
    assert {node.holder.lease_state(world.now) for node in world.nodes.values() if node.running} == {
        LeaseState.FALLBACK
    }
    assert world.nodes["a004"].holder.values(world.now)["limit"] == 10
    world.restart("a001")
    world.run(4 * LEASE)
    assert world.count_in_force(2) + world.count_in_force(1) == 4 and not world.violations


def test_a_vote_is_finished_after_its_proposer_was_killed() -> None:
    world = settled()
    world.propose("a000", newest_version(world).with_values(limit=20))
    while not any(node.voter and node.voter.state.accepted for node in world.nodes.values()):
        world.step()
    world.crash("a000")
    world.run(6 * LEASE)
    assert world.count_in_force(2) == 4 and not world.violations


def test_a_change_without_conflicts_is_applied_at_once() -> None:
    world = settled()
    world.is_cut = lambda a, b: ("a004" in (a, b)) and a != b
    world.propose("a000", newest_version(world).with_values(note="anything"))
    world.run(0.6)
    assert world.count_in_force(2) == 4 and not world.violations


def test_leases_are_granted_where_a_round_trip_takes_longer_than_the_time_between_two_requests() -> None:
    """Here RENEW_AFTER / 3 of a lease is 0.2 s; each request used to invalidate the replies to the one before."""
    world = World(1, 5, 3)
    world.delay = lambda: 0.3
    world.run(10 * LEASE)
    in_force = []
    for _ in range(100):
        world.step()
        in_force.append(world.count_in_force(1))
    assert sum(in_force) / len(in_force) > 4.0 and not world.violations


def test_a_reply_to_the_previous_process_gives_no_lease() -> None:
    first = founding_version(3, 3)
    old, new = (LeaseHolder("a000", LEASE, first, first, at, int(at * 1_000_000)) for at in (1.0, 9.0))
    late = [
        Message(Kind.LEASE_GRANT, voter, slot=1, request_id=message.request_id, cleared=1)
        for voter, message in old.tick(1.0)
    ]
    requests = new.tick(9.0)
    for message in late:
        new.on_message(9.1, message)
    assert new.lease_state(9.1) is LeaseState.FALLBACK
    for voter, request in requests[:2]:
        new.on_message(9.2, Message(Kind.LEASE_GRANT, voter, slot=1, request_id=request.request_id, cleared=1))
    # The lease is counted from the request.
    assert new.lease_state(9.2) is LeaseState.IN_FORCE and new.lease_state(9.0 + LEASE) is LeaseState.FALLBACK


def test_voters_are_replaced_one_at_a_time() -> None:
    world = settled()
    version = newest_version(world)
    assert "council" in ConfigVersion(
        2, version.digest, ("a002", "a003", "a004"), version.agents, version.rules
    ).succession_error(version)
    replaced = ConfigVersion(2, version.digest, ("a001", "a002", "a003"), version.agents, version.rules)
    assert replaced.succession_error(version) == "" and world.propose("a001", replaced) == ""
    world.run(3 * LEASE)
    # The simulation starts no voter on the new voter's node: the other two form the majority.
    assert newest_version(world).voters == ("a001", "a002", "a003") and not world.violations
    assert world.propose("a000", newest_version(world).with_values(limit=20)) == "not a voter"


@pytest.mark.parametrize(("agents", "voters", "seeds"), [(5, 3, 40), (5, 5, 20), (20, 5, 6)])
def test_random_faults_cause_no_violations_and_all_agents_recover(agents: int, voters: int, seeds: int) -> None:
    versions = 0
    for seed in range(seeds):
        world, rng = World(seed, agents, voters, loss=0.1), random.Random(seed)
        inject_faults(world, rng, 30.0)
        assert not world.violations, (seed, world.violations[:3])
        recover(world)
        versions += newest_version(world).number - 1
        assert not world.violations, (seed, world.violations[:3])
        assert world.count_in_force(newest_version(world).number) == agents, seed
    assert versions > seeds  # more than one version per run came into force
