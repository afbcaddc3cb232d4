"""Each invariant of docs/design/agree.md broken on purpose: the audit of the virtual fleet has to find it."""

import random
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

import pytest

from seamlb.agree.council import Proposal, Voter
from seamlb.agree.holder import LeaseHolder
from seamlb.agree.notes import Kind, Message
from tests.council import LEASE, World, random_successor
from tests.faults import inject_faults, newest_version

Bug = Callable[[], AbstractContextManager[Any]]


def in_force_by_its_own_word() -> AbstractContextManager[Any]:  # A2
    return mock.patch.object(Voter, "in_force", lambda self: self.cleared.get(self.name, 0) >= self.newest.number)


def a_restart_is_not_quiet() -> AbstractContextManager[Any]:  # A3
    start = Voter.__init__

    def begin(self: Voter, *args: Any) -> None:
        start(self, *args)
        self.inactive_until = 0.0

    return mock.patch.object(Voter, "__init__", begin)


def lends_on_what_is_old() -> AbstractContextManager[Any]:  # A4
    def lend(self: Voter, now: float, message: Message) -> list[tuple[str, Message]]:
        return [
            (
                message.sender,
                self._message(
                    Kind.LEASE_GRANT, slot=message.slot, request_id=message.request_id, cleared=message.slot
                ),
            )
        ]

    return mock.patch.object(Voter, "_grant_lease", lend)


def counts_the_lease_from_the_answer() -> AbstractContextManager[Any]:  # A7
    on_message = LeaseHolder.on_message

    def late(self: LeaseHolder, now: float, message: Message) -> list[tuple[str, Message]]:
        for request in self.requests.values():
            request.sent_at = now + LEASE * 0.5
        return on_message(self, now, message)

    return mock.patch.object(LeaseHolder, "on_message", late)


def acts_on_after_its_lease() -> AbstractContextManager[Any]:  # A8
    lease_state = LeaseHolder.lease_state
    return mock.patch.object(
        LeaseHolder, "lease_state", lambda self, now: lease_state(self, min(now, self.expires_at - 0.01))
    )


def runs(seeds: int) -> Iterator[World]:
    for seed in range(seeds):
        world, rng = World(seed, 5, 3, loss=0.1), random.Random(seed)
        inject_faults(world, rng, 30.0)
        yield world


@pytest.mark.parametrize("bug", [lends_on_what_is_old, counts_the_lease_from_the_answer, acts_on_after_its_lease])
def test_a_seeded_bug_is_caught(bug: Bug) -> None:
    with bug():
        assert any(world.violations for world in runs(60))


def one_lent_to_by_two(restarts: bool) -> World:
    """An agent lent to by two members is cut off, the third brings something new, and one of the two restarts."""
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


@pytest.mark.parametrize(("bug", "restarts"), [(in_force_by_its_own_word, False), (a_restart_is_not_quiet, True)])
def test_a_seeded_bug_of_leases_is_caught(bug: Bug, restarts: bool) -> None:
    world = one_lent_to_by_two(restarts)
    assert not world.violations and world.count_in_force(2) == 4
    with bug():
        assert one_lent_to_by_two(restarts).violations


def test_a_member_whose_disk_went_back_is_fenced_and_votes_no_second_time() -> None:
    """A5: three members, of whom one lies; without the fence two charters would have one number."""
    world = World(3, 3, 3)
    world.run(3 * LEASE)
    back = world.nodes["a001"].disk
    world.is_cut = lambda a, b: "a002" in (a, b) and a != b
    assert world.propose("a000", random_successor(newest_version(world), random.Random(1))) == ""
    world.run(4 * LEASE)
    assert newest_version(world).number == 2
    world.crash("a001")
    world.nodes["a001"].disk = back
    world.is_cut = lambda a, b: False
    world.restart("a001")
    world.run(4 * LEASE)
    liar = world.nodes["a001"].voter
    assert liar is not None and "the disk has gone back" in liar.halt_reason
    assert not world.violations and world.count_in_force(2) == 3


def test_a_member_whose_disk_fails_tells_nothing_more() -> None:
    world = World(4, 3, 3)
    world.run(3 * LEASE)
    sick = world.nodes["a001"].voter
    assert sick is not None

    def fail(body: bytes) -> None:
        raise OSError(5, "Input/output error")

    sick.save = fail
    assert world.propose("a000", newest_version(world).with_values(limit=20)) == ""
    world.run(3 * LEASE)
    assert sick.halt_reason == "the disk failed: Input/output error" and sick.newest.number == 1
    assert newest_version(world).number == 2 and world.count_in_force(2) >= 2 and not world.violations


def test_two_votes_of_one_slot_never_both_win() -> None:
    for seed in range(60):
        world = World(seed, 3, 3, loss=0.2)
        world.run(3 * LEASE)
        rng = random.Random(seed)
        for name in world.first.voters:
            world.propose(name, random_successor(newest_version(world), rng))
        world.run(5 * LEASE)
        assert not world.violations and newest_version(world).number == 2
        assert all(not isinstance(one.voter.proposal, Proposal) for one in world.nodes.values() if one.voter)
