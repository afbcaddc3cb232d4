"""What council members and agents tell each other; pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import orjson

Ballot = tuple[int, str]  # a round and who began it; of two the greater holds
NO_BALLOT: Ballot = (0, "")
MAX_CLOCK_DRIFT = 0.02  # part by which two clocks' speeds may differ


class Kind(IntEnum):
    """What a note is for."""

    PREPARE = 1  # a member asks for promises of a slot
    PROMISE = 2  # given; with what was accepted there, if anything was
    ACCEPT = 3  # accept this charter for the slot
    ACCEPTED = 4
    REJECTED = 5  # a higher ballot was promised, or the slot is not open here
    STATE = 6  # the newest charter that a member knows, and of which one all leases that it gave are over
    FETCH = 7  # tell me your newest charter
    CHOSEN = 8  # the newest charter and the one before
    LEASE_REQUEST = 9  # an agent asks for a lease on the newest charter that it knows
    LEASE_GRANT = 10  # given if both know the same
    ROLLED_BACK = 11  # your disk has gone back: `saved` is what you had told already


REQUESTS = frozenset({Kind.PREPARE, Kind.ACCEPT, Kind.LEASE_REQUEST})  # requests that a member answers at once
REPLIES = frozenset({Kind.PROMISE, Kind.ACCEPTED, Kind.REJECTED, Kind.CHOSEN, Kind.LEASE_GRANT, Kind.ROLLED_BACK})


@dataclass(slots=True, frozen=True)
class Message:
    """`born` and `saved` fence: a process's start and its count of records on the disk only go up."""

    kind: Kind
    sender: str
    epoch: int = 0
    writes: int = 0
    slot: int = 0  # of a vote; else the number of the sender's newest charter
    ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT  # of what was accepted before
    cleared: int = 0
    request_id: int = 0  # names an agent's question, and the answers to it
    body: bytes = b""
    previous: bytes = b""  # the charter before it

    def encode(self) -> bytes:
        """The message's bytes, before it is signed."""
        return orjson.dumps(
            [
                int(self.kind),
                self.sender,
                self.epoch,
                self.writes,
                self.slot,
                self.ballot,
                self.accepted_ballot,
                self.cleared,
                self.request_id,
                self.body.decode(),
                self.previous.decode(),
            ]
        )


def decode(data: bytes) -> Message:
    """A note from its bytes; ValueError."""
    try:
        kind, sender, epoch, writes, slot, ballot, accepted_ballot, cleared, request_id, body, previous = (
            orjson.loads(data)
        )
        return Message(
            Kind(kind),
            str(sender),
            int(epoch),
            int(writes),
            int(slot),
            (int(ballot[0]), str(ballot[1])),
            (int(accepted_ballot[0]), str(accepted_ballot[1])),
            int(cleared),
            int(request_id),
            body.encode(),
            previous.encode(),
        )
    except (TypeError, AttributeError, IndexError, KeyError) as error:
        raise ValueError(f"not a note: {error}") from None
