"""Records on a disk that lies: whole or not there, and found."""

import errno
import random
from pathlib import Path

import pytest

from seamlb.agree.council import Member
from seamlb.agree.kept import Kept, read_kept
from seamlb.store import record
from tests.council import LEASE, founding
from tests.lying import LyingFiles


def test_a_record_torn_at_any_byte_is_found(tmp_path: Path) -> None:
    place, body = tmp_path / "vote", b"what was promised"
    record.write(place, body)
    whole = len(place.read_bytes())
    for torn in range(whole):
        record.write(place, body, LyingFiles(torn=torn))
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


@pytest.mark.parametrize("fails", ["write", "fsync", "replace"])
@pytest.mark.parametrize("code", [errno.EIO, errno.ENOSPC])
def test_a_failed_write_is_told_and_leaves_the_record_before(tmp_path: Path, fails: str, code: int) -> None:
    place = tmp_path / "vote"
    record.write(place, b"old")
    with pytest.raises(OSError, match=errno.errorcode[code]):
        record.write(place, b"new", LyingFiles(fails, code))
    assert record.read(place) == b"old" and [one.name for one in tmp_path.iterdir()] == ["vote"]


def test_a_record_that_cannot_be_read_is_no_missing_one(tmp_path: Path) -> None:
    place = tmp_path / "vote"
    assert record.read(place) is None
    record.write(place, b"old")
    with pytest.raises(record.RecordError):
        record.read(place, LyingFiles("read"))


@pytest.mark.parametrize("fails", ["write", "fsync", "replace"])
def test_a_member_tells_no_vote_that_its_disk_may_not_have(tmp_path: Path, fails: str) -> None:
    first, place, files = founding(3, 3), tmp_path / "vote", LyingFiles()
    record.write(place, Kept(first, first).encode())
    member = Member(
        "a000",
        1,
        LEASE,
        Kept(first, first),
        -2 * LEASE,
        lambda body: record.write(place, body, files),
        random.Random(1),
    )
    member.cleared = dict.fromkeys(first.council, 1)
    why, out = member.propose(0.0, first.next(limit=20))
    assert why == "" and len(out) == 3
    files.fails = fails
    assert [member.received(0.0, note) for to, note in out if to == "a000"] == [[]]
    assert "the disk failed" in member.out_of_it and member.tick(1.0) == []
    kept = record.read(place)
    assert kept and read_kept(kept).promised == (0, "")
