"""Records on a faulty disk: whole or not there, and damage is detected."""

import errno
import random
from pathlib import Path

import pytest

from seamlb.agree.persisted_state import PersistedState, decode_state
from seamlb.agree.voter import Voter
from seamlb.store import record
from tests.agree_simulation import LEASE, founding_version
from tests.faulty_files import FaultyFiles


def test_a_record_torn_at_any_byte_is_detected(tmp_path: Path) -> None:
    path, body = tmp_path / "vote", b"what was promised"
    record.write(path, body)
    size = len(path.read_bytes())
    for torn in range(size):
        record.write(path, body, FaultyFiles(torn=torn))
        with pytest.raises(record.RecordError, match="vote"):
            record.read(path)
    record.write(path, body)
    assert record.read(path) == body


def test_a_record_with_any_byte_changed_is_detected(tmp_path: Path) -> None:
    path = tmp_path / "vote"
    record.write(path, b"what was promised")
    size = path.read_bytes()
    for at in range(len(size)):
        path.write_bytes(size[:at] + bytes([size[at] ^ 1]) + size[at + 1 :])
        with pytest.raises(record.RecordError):
            record.read(path)


@pytest.mark.parametrize("failing_call", ["write", "fsync", "replace"])
@pytest.mark.parametrize("code", [errno.EIO, errno.ENOSPC])
def test_a_failed_write_raises_and_leaves_the_old_record(tmp_path: Path, failing_call: str, code: int) -> None:
    path = tmp_path / "vote"
    record.write(path, b"old")
    with pytest.raises(OSError, match=errno.errorcode[code]):
        record.write(path, b"new", FaultyFiles(failing_call, code))
    assert record.read(path) == b"old" and [file.name for file in tmp_path.iterdir()] == ["vote"]


def test_an_unreadable_record_is_not_taken_for_a_missing_one(tmp_path: Path) -> None:
    path = tmp_path / "vote"
    assert record.read(path) is None
    record.write(path, b"old")
    with pytest.raises(record.RecordError):
        record.read(path, FaultyFiles("read"))


@pytest.mark.parametrize("failing_call", ["write", "fsync", "replace"])
def test_a_voter_sends_no_vote_that_its_disk_may_not_have(tmp_path: Path, failing_call: str) -> None:
    first, path, files = founding_version(3, 3), tmp_path / "vote", FaultyFiles()
    record.write(path, PersistedState(first, first).encode())
    voter = Voter(
        "a000",
        1,
        LEASE,
        PersistedState(first, first),
        -2 * LEASE,
        lambda body: record.write(path, body, files),
        random.Random(1),
    )
    voter.cleared = dict.fromkeys(first.voters, 1)
    reason, out = voter.propose(0.0, first.with_values(limit=20))
    assert reason == "" and len(out) == 3
    files.failing_call = failing_call
    assert [voter.on_message(0.0, message) for to, message in out if to == "a000"] == [[]]
    assert "the disk failed" in voter.halt_reason and voter.tick(1.0) == []
    state = record.read(path)
    assert state and decode_state(state).promised == (0, "")
