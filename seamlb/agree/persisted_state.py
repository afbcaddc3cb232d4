"""The state that a voter writes to disk before it sends a message that depends on it; pure."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from seamlb.agree.messages import NO_BALLOT, Ballot
from seamlb.agree.version import ConfigVersion, decode


@dataclass(slots=True)
class PersistedState:
    """`promised` and `accepted*` are about the open slot; `writes` counts the writes to disk and only grows."""

    newest: ConfigVersion
    previous: ConfigVersion
    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    accepted: bytes = b""
    writes: int = 0

    def encode(self) -> bytes:
        """Serializes the state."""
        return orjson.dumps(
            [
                self.newest.body.decode(),
                self.previous.body.decode(),
                self.promised,
                self.accepted_ballot,
                self.accepted.decode(),
                self.writes,
            ]
        )


def decode_state(body: bytes) -> PersistedState:
    """Parses a serialized state; raises ValueError."""
    newest, previous, promised, accepted_ballot, accepted, writes = orjson.loads(body)
    return PersistedState(
        decode(newest.encode()),
        decode(previous.encode()),
        (promised[0], promised[1]),
        (accepted_ballot[0], accepted_ballot[1]),
        accepted.encode(),
        writes,
    )
