"""All orders in which votes may arrive, and a crash of any member in between, with the real code of the members."""

import random
from contextlib import AbstractContextManager
from copy import copy
from dataclasses import replace
from hashlib import blake2b
from typing import Any
from unittest import mock

import pytest

from seamlb.agree.council import Voter
from seamlb.agree.kept import PersistedState, decode_state
from seamlb.agree.notes import NO_BALLOT, Kind, Message
from tests.council import LEASE, founding_version

FIRST = founding_version(3, 3)
RIVALS = {"a000": FIRST.with_values(limit=20), "a002": FIRST.with_values(limit=30)}
VOTING = {Kind.PREPARE, Kind.PROMISE, Kind.ACCEPT, Kind.ACCEPTED, Kind.CHOSEN}


class Disk:
    """What a member put there; it can be copied with it."""

    def __init__(self, body: bytes) -> None:
        self(body)

    def __call__(self, body: bytes) -> None:
        self.body = body
        state = decode_state(body)
        self.stored = (
            state.promised,
            state.accepted_ballot,
            state.accepted,
            state.newest.digest,
        )  # but for the count of records


class State:
    """Members, what is under way, and what was ever chosen."""

    def __init__(self) -> None:
        self.voters = {
            name: self._start(name, 1, Disk(PersistedState(FIRST, FIRST).encode())) for name in FIRST.voters
        }
        self.in_flight: list[tuple[str, Message]] = []
        self.crashes, self.chosen = 1, {FIRST.digest}
        for name, version in RIVALS.items():
            why, out = self.voters[name].propose(0.0, version)
            assert why == ""
            self._send(out)

    def _start(self, name: str, epoch: int, disk: Disk) -> Voter:
        voter = Voter(name, epoch, LEASE, decode_state(disk.body), -2 * LEASE, disk, random.Random(0))
        voter.cleared = dict.fromkeys(FIRST.voters, 1)
        return voter

    def _send(self, out: list[tuple[str, Message]]) -> None:
        self.in_flight += [one for one in out if one[1].kind in VOTING]

    def key(self) -> bytes:
        """Of two states with one key, one is enough."""
        parts: list[Any] = [self.crashes, sorted(self.chosen)]
        for name, one in sorted(self.voters.items()):
            state, proposal = one.state, one.proposal
            assert isinstance(one.save, Disk)
            parts.append(
                (name, state.newest.digest, state.promised, state.accepted_ballot, state.accepted, one.save.stored)
            )
            if proposal:
                value = proposal.value.digest if proposal.value else ""
                parts.append(
                    (proposal.ballot, value, sorted(proposal.promises.items()), sorted(proposal.accepted_by))
                )
        fly = sorted((to, n.kind, n.sender, n.ballot, n.accepted_ballot, n.body) for to, n in self.in_flight)
        return blake2b(repr((parts, fly)).encode()).digest()

    def copy(self) -> "State":
        new = copy(self)
        new.voters, new.in_flight, new.chosen = dict(self.voters), list(self.in_flight), set(self.chosen)
        return new

    def arrives(self, place: int) -> None:
        """The note of that place under way reaches its member."""
        to, message = self.in_flight.pop(place)
        voter = self.voters[to] = copy(self.voters[to])
        assert isinstance(voter.save, Disk)
        voter.state, voter.save, voter.fences = replace(voter.state), copy(voter.save), dict(voter.fences)
        if proposal := voter.proposal:
            voter.proposal = replace(
                proposal, promises=dict(proposal.promises), accepted_by=set(proposal.accepted_by)
            )
        self._send(voter.on_message(0.0, message))
        self.chosen.add(voter.newest.digest)

    def crashed(self, name: str) -> None:
        """A member is killed and starts from its disk."""
        voter = self.voters[name]
        assert isinstance(voter.save, Disk)
        self.voters[name] = self._start(name, voter.epoch + 1, voter.save)
        self.crashes -= 1

    def after(self, choice: int) -> "State":
        """The state after the note of that place arrived, or with one past them all a crash of that member."""
        new = self.copy()
        if choice < len(new.in_flight):
            new.arrives(choice)
        else:
            new.crashed(sorted(new.voters)[choice - len(new.in_flight)])
        return new

    def choices(self) -> int:
        return len(self.in_flight) + (len(self.voters) if self.crashes else 0)


def search(most: int, seed: int) -> tuple[int, bool]:
    """States seen and whether two charters were chosen in one slot; deepest first, in an order drawn by the seed."""
    rng, start = random.Random(seed), State()
    seen, stack = {start.key()}, [start]
    while stack and len(seen) < most:
        state = stack.pop()
        for choice in rng.sample(range(state.choices()), state.choices()):
            new = state.after(choice)
            if len(new.chosen) > 2:
                return len(seen), True
            if (key := new.key()) not in seen:
                seen.add(key)
                stack.append(new)
    return len(seen), False


def walk(seed: int) -> bool:
    """One order drawn at random, with some notes lost and one crash; were two charters chosen in one slot?"""
    rng, state = random.Random(seed), State()
    while state.in_flight and len(state.chosen) < 3:
        place = rng.randrange(len(state.in_flight))
        if rng.random() < 0.05:
            del state.in_flight[place]
        elif state.crashes and rng.random() < 0.2:
            state.crashed(rng.choice(FIRST.voters))
        else:
            state.arrives(place)
    return len(state.chosen) > 2


def votes_before_the_disk_has_them() -> AbstractContextManager[Any]:  # A1
    def keep(self: Voter, **change: object) -> bool:
        for name, value in change.items():
            setattr(self.state, name, value)
        if "newest" in change:
            self.save(self.state.encode())
        return True

    return mock.patch.object(Voter, "_persist", keep)


def forgets_what_was_voted_for() -> AbstractContextManager[Any]:  # A6
    promised = Voter._on_promise

    def own(self: Voter, message: Message) -> list[tuple[str, Message]]:
        return promised(
            self,
            Message(
                message.kind, message.sender, slot=message.slot, ballot=message.ballot, accepted_ballot=NO_BALLOT
            ),
        )

    return mock.patch.object(Voter, "_on_promise", own)


def test_no_order_of_votes_and_no_crash_chooses_two() -> None:
    seen, broken = search(2_000, 1)
    assert not broken and seen >= 2_000
    assert not any(walk(seed) for seed in range(1000))


@pytest.mark.parametrize("bug", [votes_before_the_disk_has_them, forgets_what_was_voted_for])
def test_a_seeded_bug_of_votes_is_found(bug: Any) -> None:
    with bug():
        assert any(walk(seed) for seed in range(1000))
