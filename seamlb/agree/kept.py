"""What a council member has on the disk before it tells anything of it; pure."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from seamlb.agree.charter import ConfigVersion, decode
from seamlb.agree.notes import NO_BALLOT, Ballot


@dataclass(slots=True)
class PersistedState:
    """`promised`, `voted` and `accepted` are of the open slot; `saved` counts records and only goes up."""

    newest: ConfigVersion
    previous: ConfigVersion
    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    accepted: bytes = b""
    writes: int = 0

    def encode(self) -> bytes:
        """The record's bytes."""
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
    """From a record; ValueError."""
    newest, previous, promised, accepted_ballot, accepted, writes = orjson.loads(body)
    return PersistedState(
        decode(newest.encode()),
        decode(previous.encode()),
        (promised[0], promised[1]),
        (accepted_ballot[0], accepted_ballot[1]),
        accepted.encode(),
        writes,
    )
