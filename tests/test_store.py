"""Records on a disk that lies: whole or not there, and found."""

import errno
import random
from pathlib import Path

import pytest

from seamlb.agree.council import Voter
from seamlb.agree.kept import PersistedState, decode_state
from seamlb.store import record
from tests.council import LEASE, founding_version
from tests.lying import FaultyFiles


def test_a_record_torn_at_any_byte_is_found(tmp_path: Path) -> None:
    place, body = tmp_path / "vote", b"what was promised"
    record.write(place, body)
    whole = len(place.read_bytes())
    for torn in range(whole):
        record.write(place, body, FaultyFiles(torn=torn))
        with pytest.raises(record.RecordError, match="vote"):
            record.read(place)
    record.write(place, body)
    assert record.read(place) == body


def test_a_record_with_any_byte_changed_is_found(tmp_path: Path) -> None:
    place = tmp_path / "vote"
    record.write(place, b"what was promised")
    whole = place.read_bytes()
    for at in range(len(whole)):
        place.write_bytes(whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :])
        with pytest.raises(record.RecordError):
            record.read(place)


@pytest.mark.parametrize("failing_call", ["write", "fsync", "replace"])
@pytest.mark.parametrize("code", [errno.EIO, errno.ENOSPC])
def test_a_failed_write_is_told_and_leaves_the_record_before(tmp_path: Path, failing_call: str, code: int) -> None:
    place = tmp_path / "vote"
    record.write(place, b"old")
    with pytest.raises(OSError, match=errno.errorcode[code]):
        record.write(place, b"new", FaultyFiles(failing_call, code))
    assert record.read(place) == b"old" and [one.name for one in tmp_path.iterdir()] == ["vote"]


def test_a_record_that_cannot_be_read_is_no_missing_one(tmp_path: Path) -> None:
    place = tmp_path / "vote"
    assert record.read(place) is None
    record.write(place, b"old")
    with pytest.raises(record.RecordError):
        record.read(place, FaultyFiles("read"))


@pytest.mark.parametrize("failing_call", ["write", "fsync", "replace"])
def test_a_member_tells_no_vote_that_its_disk_may_not_have(tmp_path: Path, failing_call: str) -> None:
    first, place, files = founding_version(3, 3), tmp_path / "vote", FaultyFiles()
    record.write(place, PersistedState(first, first).encode())
    voter = Voter(
        "a000",
        1,
        LEASE,
        PersistedState(first, first),
        -2 * LEASE,
        lambda body: record.write(place, body, files),
        random.Random(1),
    )
    voter.cleared = dict.fromkeys(first.voters, 1)
    why, out = voter.propose(0.0, first.with_values(limit=20))
    assert why == "" and len(out) == 3
    files.failing_call = failing_call
    assert [voter.on_message(0.0, message) for to, message in out if to == "a000"] == [[]]
    assert "the disk failed" in voter.halt_reason and voter.tick(1.0) == []
    state = record.read(place)
    assert state and decode_state(state).promised == (0, "")
