"""What council members and agents tell each other; pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import orjson

Ballot = tuple[int, str]  # a round and who began it; of two the greater holds
NONE: Ballot = (0, "")
DRIFT = 0.02  # part by which two clocks' speeds may differ


class Kind(IntEnum):
    """What a note is for."""

    PREPARE = 1  # a member asks for promises of a slot
    PROMISE = 2  # given; with what was accepted there, if anything was
    ACCEPT = 3  # accept this charter for the slot
    ACCEPTED = 4
    TURNED_DOWN = 5  # a higher ballot was promised, or the slot is not open here
    STATE = 6  # the newest charter that a member knows, and of which one all leases that it gave are over
    FETCH = 7  # tell me your newest charter
    CHOSEN = 8  # the newest charter and the one before
    ASK = 9  # an agent asks for a lease on the newest charter that it knows
    GRANT = 10  # given if both know the same
    BACK = 11  # your disk has gone back: `saved` is what you had told already


ANSWERED = frozenset({Kind.PREPARE, Kind.ACCEPT, Kind.ASK})  # requests that a member answers at once
ANSWERS = frozenset({Kind.PROMISE, Kind.ACCEPTED, Kind.TURNED_DOWN, Kind.CHOSEN, Kind.GRANT, Kind.BACK})


@dataclass(slots=True, frozen=True)
class Note:
    """`born` and `saved` fence: a process's start and its count of records on the disk only go up."""

    kind: Kind
    sender: str
    born: int = 0
    saved: int = 0
    slot: int = 0  # of a vote; else the number of the sender's newest charter
    ballot: Ballot = NONE
    voted: Ballot = NONE  # of what was accepted before
    cleared: int = 0
    ask: int = 0  # names an agent's question, and the answers to it
    body: bytes = b""
    before: bytes = b""  # the charter before it

    def encode(self) -> bytes:
        """The message's bytes, before it is signed."""
        return orjson.dumps(
            [
                int(self.kind),
                self.sender,
                self.born,
                self.saved,
                self.slot,
                self.ballot,
                self.voted,
                self.cleared,
                self.ask,
                self.body.decode(),
                self.before.decode(),
            ]
        )


def decode(data: bytes) -> Note:
    """A note from its bytes; ValueError."""
    try:
        kind, sender, born, saved, slot, ballot, voted, cleared, ask, body, before = orjson.loads(data)
        return Note(
            Kind(kind),
            str(sender),
            int(born),
            int(saved),
            int(slot),
            (int(ballot[0]), str(ballot[1])),
            (int(voted[0]), str(voted[1])),
            int(cleared),
            int(ask),
            body.encode(),
            before.encode(),
        )
    except (TypeError, AttributeError, IndexError, KeyError) as error:
        raise ValueError(f"not a note: {error}") from None
