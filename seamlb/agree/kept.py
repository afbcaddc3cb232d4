"""What a council member has on the disk before it tells anything of it; pure."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from seamlb.agree.charter import Charter, decode
from seamlb.agree.notes import NONE, Ballot


@dataclass(slots=True)
class Kept:
    """`promised`, `voted` and `accepted` are of the open slot; `saved` counts records and only goes up."""

    newest: Charter
    before: Charter
    promised: Ballot = NONE
    voted: Ballot = NONE
    accepted: bytes = b""
    saved: int = 0

    def encode(self) -> bytes:
        """The record's bytes."""
        return orjson.dumps(
            [
                self.newest.body.decode(),
                self.before.body.decode(),
                self.promised,
                self.voted,
                self.accepted.decode(),
                self.saved,
            ]
        )


def read_kept(body: bytes) -> Kept:
    """From a record; ValueError."""
    newest, before, promised, voted, accepted, saved = orjson.loads(body)
    return Kept(
        decode(newest.encode()),
        decode(before.encode()),
        (promised[0], promised[1]),
        (voted[0], voted[1]),
        accepted.encode(),
        saved,
    )
