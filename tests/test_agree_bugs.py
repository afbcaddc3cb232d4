"""Breaks each invariant of docs/design/agree.md on purpose: the audit of the simulated fleet has to detect it."""

import random
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

import pytest

from seamlb.agree.lease import LeaseHolder
from seamlb.agree.messages import Kind, Message
from seamlb.agree.voter import Proposal, Voter
from tests.agree_faults import inject_faults, newest_version
from tests.agree_simulation import LEASE, World, random_successor

Bug = Callable[[], AbstractContextManager[Any]]


def in_force_without_majorities() -> AbstractContextManager[Any]:  # A2
    return mock.patch.object(Voter, "in_force", lambda self: self.cleared.get(self.name, 0) >= self.newest.number)


def votes_at_once_after_a_restart() -> AbstractContextManager[Any]:  # A3
    start = Voter.__init__

    def begin(self: Voter, *args: Any) -> None:
        start(self, *args)
        self.inactive_until = 0.0

    return mock.patch.object(Voter, "__init__", begin)


def grants_leases_on_old_versions() -> AbstractContextManager[Any]:  # A4
    def grant(self: Voter, now: float, message: Message) -> list[tuple[str, Message]]:
        return [
            (
                message.sender,
                self._message(
                    Kind.LEASE_GRANT, slot=message.slot, request_id=message.request_id, cleared=message.slot
                ),
            )
        ]

    return mock.patch.object(Voter, "_grant_lease", grant)


def starts_the_lease_at_the_reply() -> AbstractContextManager[Any]:  # A7
    on_message = LeaseHolder.on_message

    def grant_late(self: LeaseHolder, now: float, message: Message) -> list[tuple[str, Message]]:
        for request in self.requests.values():
            request.sent_at = now + LEASE * 0.5
        return on_message(self, now, message)

    return mock.patch.object(LeaseHolder, "on_message", grant_late)


def applies_rules_after_the_lease() -> AbstractContextManager[Any]:  # A8
    lease_state = LeaseHolder.lease_state
    return mock.patch.object(
        LeaseHolder, "lease_state", lambda self, now: lease_state(self, min(now, self.expires_at - 0.01))
    )


def random_runs(seeds: int) -> Iterator[World]:
    for seed in range(seeds):
        world, rng = World(seed, 5, 3, loss=0.1), random.Random(seed)
        inject_faults(world, rng, 30.0)
        yield world


@pytest.mark.parametrize(
    "bug", [grants_leases_on_old_versions, starts_the_lease_at_the_reply, applies_rules_after_the_lease]
)
def test_a_seeded_bug_is_caught(bug: Bug) -> None:
    with bug():
        assert any(world.violations for world in random_runs(60))


def grants_of_two_voters(restarts: bool) -> World:
    """Two voters grant an agent a lease, it is isolated, the third proposes a version, one of the two restarts."""
    world = World(7, 5, 3)
    world.is_cut = lambda a, b: {a, b} == {"a002", "a004"}
    world.run(3 * LEASE)
    world.is_cut = lambda a, b: "a004" in (a, b) and a != b
    assert world.propose("a002", newest_version(world).with_values(limit=20)) == ""
    world.run(0.3)
    assert newest_version(world).number == 2
    if restarts:
        world.crash("a001")
        world.restart("a001")
    world.run(2 * LEASE)
    return world


@pytest.mark.parametrize(
    ("bug", "restarts"), [(in_force_without_majorities, False), (votes_at_once_after_a_restart, True)]
)
def test_a_seeded_lease_bug_is_caught(bug: Bug, restarts: bool) -> None:
    world = grants_of_two_voters(restarts)
    assert not world.violations and world.count_in_force(2) == 4
    with bug():
        assert grants_of_two_voters(restarts).violations


def test_a_voter_whose_disk_was_rolled_back_is_fenced_off_and_does_not_vote_again() -> None:
    """A5: without fencing, the vote of the rolled back voter would give one number to two versions."""
    world = World(3, 3, 3)
    world.run(3 * LEASE)
    old_disk = world.nodes["a001"].disk
    world.is_cut = lambda a, b: "a002" in (a, b) and a != b
    assert world.propose("a000", random_successor(newest_version(world), random.Random(1))) == ""
    world.run(4 * LEASE)
    assert newest_version(world).number == 2
    world.crash("a001")
    world.nodes["a001"].disk = old_disk
    world.is_cut = lambda a, b: False
    world.restart("a001")
    world.run(4 * LEASE)
    outdated = world.nodes["a001"].voter
    assert outdated is not None and "the disk was rolled back" in outdated.halt_reason
    assert not world.violations and world.count_in_force(2) == 3


def test_a_voter_whose_disk_fails_sends_no_more_messages() -> None:
    world = World(4, 3, 3)
    world.run(3 * LEASE)
    faulty = world.nodes["a001"].voter
    assert faulty is not None

    def fail(body: bytes) -> None:
        raise OSError(5, "Input/output error")

    faulty.save = fail
    assert world.propose("a000", newest_version(world).with_values(limit=20)) == ""
    world.run(3 * LEASE)
    assert faulty.halt_reason == "the disk failed: Input/output error" and faulty.newest.number == 1
    assert newest_version(world).number == 2 and world.count_in_force(2) >= 2 and not world.violations


def test_two_votes_in_one_slot_never_both_succeed() -> None:
    for seed in range(60):
        world = World(seed, 3, 3, loss=0.2)
        world.run(3 * LEASE)
        rng = random.Random(seed)
        for name in world.first.voters:
            world.propose(name, random_successor(newest_version(world), rng))
        world.run(5 * LEASE)
        assert not world.violations and newest_version(world).number == 2
        assert all(not isinstance(node.voter.proposal, Proposal) for node in world.nodes.values() if node.voter)
