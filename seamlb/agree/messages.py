"""The messages that voters and agents exchange; pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import orjson

Ballot = tuple[int, str]  # round and the name of the proposer; the greater one has precedence
NO_BALLOT: Ballot = (0, "")
MAX_CLOCK_DRIFT = 0.02  # relative difference between the speeds of two clocks


class Kind(IntEnum):
    """Message types; the values are on the wire."""

    PREPARE = 1  # asks voters for promises in a slot
    PROMISE = 2  # with the version that the sender has accepted in the slot, if any
    ACCEPT = 3  # asks voters to accept this version in the slot
    ACCEPTED = 4
    REJECTED = 5  # a higher ballot has been promised, or the slot is not open at the sender
    STATE = 6  # the sender's newest version, and the version before which all leases that it granted have expired
    FETCH = 7  # asks for the receiver's newest version
    CHOSEN = 8  # the newest version and the one before
    LEASE_REQUEST = 9  # an agent asks for a lease on the newest version that it has
    LEASE_GRANT = 10  # sent if that is the voter's newest version too
    ROLLED_BACK = 11  # the receiver's disk was rolled back: `writes` is what it had sent before


REQUESTS = frozenset({Kind.PREPARE, Kind.ACCEPT, Kind.LEASE_REQUEST})  # a voter answers them at once
REPLIES = frozenset({Kind.PROMISE, Kind.ACCEPTED, Kind.REJECTED, Kind.CHOSEN, Kind.LEASE_GRANT, Kind.ROLLED_BACK})


@dataclass(slots=True, frozen=True)
class Message:
    """`epoch` (number of the process start) and `writes` (to its disk) only grow; they fence off outdated senders."""

    kind: Kind
    sender: str
    epoch: int = 0
    writes: int = 0
    slot: int = 0  # of a vote; otherwise the number of the sender's newest version
    ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT  # in which the sender accepted `body`
    # STATE: the version before which all leases of the sender have expired; LEASE_GRANT: the slot if in force, or 0
    cleared: int = 0
    request_id: int = 0  # of a lease request, and of the replies to it; in ROLLED_BACK the receiver's `epoch`
    body: bytes = b""  # a version
    previous: bytes = b""  # the version before it

    def encode(self) -> bytes:
        """Serializes the message, which is signed afterwards."""
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
    """Parses a message; raises ValueError."""
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
        raise ValueError(f"invalid message: {error}") from None
