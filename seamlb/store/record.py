"""A state on disk that is whole or not there: written beside, synced, renamed, with a checksum over all of it."""

from __future__ import annotations

import fcntl
import os
from hashlib import blake2b
from pathlib import Path

from seamlb.store.files import DISK, Files

MAGIC = b"seamlb-record 1 "


class RecordError(Exception):
    """A file that can't be trusted; its text names file and reason."""


def lock(folder: Path) -> int | None:
    """Be the only process at work in a folder: a descriptor, held until it is closed or the process ends, or None."""
    descriptor = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        return None
    return descriptor


def write(path: Path, body: bytes, files: Files = DISK) -> None:
    """Replace a record. OSError: it is not known which of the two is there; a torn one never is."""
    digest = blake2b(body, digest_size=16).hexdigest().encode()
    files.write_atomic(path, MAGIC + digest + b" %d\n" % len(body) + body)


def read(path: Path, files: Files = DISK) -> bytes | None:
    """The body; None if there is no file, RecordError if it is torn or lies."""
    try:
        data = files.read(path)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise RecordError(f"{path}: {error.strerror}") from None
    head, newline, body = data.partition(b"\n")
    words = head.removeprefix(MAGIC).split(b" ")
    if not head.startswith(MAGIC) or not newline or len(words) != 2 or not words[1].isdigit():
        raise RecordError(f"{path}: no record")
    if len(body) != int(words[1]):
        raise RecordError(f"{path}: cut off: {len(body)} bytes of {int(words[1])}")
    if blake2b(body, digest_size=16).hexdigest().encode() != words[0]:
        raise RecordError(f"{path}: checksum wrong")
    return body
