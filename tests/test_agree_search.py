"""Searches the orders in which votes may arrive, with crashes in between, using the real code of the voters."""

import random
from contextlib import AbstractContextManager
from copy import copy
from dataclasses import replace
from hashlib import blake2b
from typing import Any
from unittest import mock

import pytest

from seamlb.agree.messages import NO_BALLOT, Kind, Message
from seamlb.agree.persisted_state import PersistedState, decode_state
from seamlb.agree.voter import Voter
from tests.agree_simulation import LEASE, founding_version

FIRST = founding_version(3, 3)
RIVALS = {"a000": FIRST.with_values(limit=20), "a002": FIRST.with_values(limit=30)}
VOTING = {Kind.PREPARE, Kind.PROMISE, Kind.ACCEPT, Kind.ACCEPTED, Kind.CHOSEN}


class Disk:
    """What a voter has written; copied along with it."""

    def __init__(self, body: bytes) -> None:
        self(body)

    def __call__(self, body: bytes) -> None:
        self.body = body
        state = decode_state(body)
        # Without the count of writes.
        self.stored = state.promised, state.accepted_ballot, state.accepted, state.newest.digest


class State:
    """Voters, messages in flight, and all versions that were chosen."""

    def __init__(self) -> None:
        self.voters = {
            name: self._start(name, 1, Disk(PersistedState(FIRST, FIRST).encode())) for name in FIRST.voters
        }
        self.in_flight: list[tuple[str, Message]] = []
        self.crashes, self.chosen = 1, {FIRST.digest}
        for name, version in RIVALS.items():
            reason, out = self.voters[name].propose(0.0, version)
            assert reason == ""
            self._send(out)

    def _start(self, name: str, epoch: int, disk: Disk) -> Voter:
        voter = Voter(name, epoch, LEASE, decode_state(disk.body), -2 * LEASE, disk, random.Random(0))
        voter.cleared = dict.fromkeys(FIRST.voters, 1)
        return voter

    def _send(self, out: list[tuple[str, Message]]) -> None:
        self.in_flight += [envelope for envelope in out if envelope[1].kind in VOTING]

    def key(self) -> bytes:
        """Identifies the state: of several states with one key, only one is explored."""
        parts: list[Any] = [self.crashes, sorted(self.chosen)]
        for name, voter in sorted(self.voters.items()):
            state, proposal = voter.state, voter.proposal
            assert isinstance(voter.save, Disk)
            parts.append(
                (name, state.newest.digest, state.promised, state.accepted_ballot, state.accepted, voter.save.stored)
            )
            if proposal:
                value = proposal.value.digest if proposal.value else ""
                parts.append(
                    (proposal.ballot, value, sorted(proposal.promises.items()), sorted(proposal.accepted_by))
                )
        messages = sorted((to, n.kind, n.sender, n.ballot, n.accepted_ballot, n.body) for to, n in self.in_flight)
        return blake2b(repr((parts, messages)).encode()).digest()

    def copy(self) -> "State":
        new = copy(self)
        new.voters, new.in_flight, new.chosen = dict(self.voters), list(self.in_flight), set(self.chosen)
        return new

    def deliver(self, index: int) -> None:
        """Delivers the message at that index."""
        to, message = self.in_flight.pop(index)
        voter = self.voters[to] = copy(self.voters[to])
        assert isinstance(voter.save, Disk)
        voter.state, voter.save, voter.fences = replace(voter.state), copy(voter.save), dict(voter.fences)
        if proposal := voter.proposal:
            voter.proposal = replace(
                proposal, promises=dict(proposal.promises), accepted_by=set(proposal.accepted_by)
            )
        self._send(voter.on_message(0.0, message))
        self.chosen.add(voter.newest.digest)

    def crash(self, name: str) -> None:
        """Kills a voter and restarts it from its disk."""
        voter = self.voters[name]
        assert isinstance(voter.save, Disk)
        self.voters[name] = self._start(name, voter.epoch + 1, voter.save)
        self.crashes -= 1

    def successor(self, choice: int) -> "State":
        """The state after a choice: an index of a message to deliver, or beyond them the voter that crashes."""
        new = self.copy()
        if choice < len(new.in_flight):
            new.deliver(choice)
        else:
            new.crash(sorted(new.voters)[choice - len(new.in_flight)])
        return new

    def choices(self) -> int:
        return len(self.in_flight) + (len(self.voters) if self.crashes else 0)


def search(max_states: int, seed: int) -> tuple[int, bool]:
    """Number of states seen, and whether one slot got two versions; depth first, in a random order."""
    rng, start = random.Random(seed), State()
    seen, stack = {start.key()}, [start]
    while stack and len(seen) < max_states:
        state = stack.pop()
        for choice in rng.sample(range(state.choices()), state.choices()):
            new = state.successor(choice)
            if len(new.chosen) > 2:
                return len(seen), True
            if (key := new.key()) not in seen:
                seen.add(key)
                stack.append(new)
    return len(seen), False


def random_walk(seed: int) -> bool:
    """One random order, with lost messages and one crash; did one slot get two versions?"""
    rng, state = random.Random(seed), State()
    while state.in_flight and len(state.chosen) < 3:
        index = rng.randrange(len(state.in_flight))
        if rng.random() < 0.05:
            del state.in_flight[index]
        elif state.crashes and rng.random() < 0.2:
            state.crash(rng.choice(FIRST.voters))
        else:
            state.deliver(index)
    return len(state.chosen) > 2


def votes_before_it_persists() -> AbstractContextManager[Any]:  # A1
    def persist(self: Voter, **change: object) -> bool:
        for name, value in change.items():
            setattr(self.state, name, value)
        if "newest" in change:
            self.save(self.state.encode())
        return True

    return mock.patch.object(Voter, "_persist", persist)


def ignores_accepted_versions() -> AbstractContextManager[Any]:  # A6
    promised = Voter._on_promise

    def without_accepted(self: Voter, message: Message) -> list[tuple[str, Message]]:
        return promised(
            self,
            Message(
                message.kind, message.sender, slot=message.slot, ballot=message.ballot, accepted_ballot=NO_BALLOT
            ),
        )

    return mock.patch.object(Voter, "_on_promise", without_accepted)


def test_no_order_of_votes_and_crashes_chooses_two_versions() -> None:
    seen, violated = search(2_000, 1)
    assert not violated and seen >= 2_000
    assert not any(random_walk(seed) for seed in range(1000))


@pytest.mark.parametrize("bug", [votes_before_it_persists, ignores_accepted_versions])
def test_a_seeded_vote_bug_is_found(bug: Any) -> None:
    with bug():
        assert any(random_walk(seed) for seed in range(1000))
