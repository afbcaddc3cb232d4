"""A record on disk, whole or not there: written to a temporary file, synced, renamed, and with a checksum."""

from __future__ import annotations

import fcntl
import os
from hashlib import blake2b
from pathlib import Path

from seamlb.store.files import DISK, Files

MAGIC = b"seamlb-record 1 "


class RecordError(Exception):
    """A corrupt or unreadable record; the message has file and reason."""


def lock(folder: Path) -> int | None:
    """Locks a folder for this process; returns a descriptor that holds the lock until closed, or None if taken."""
    descriptor = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        return None
    return descriptor


def write(path: Path, body: bytes, files: Files = DISK) -> None:
    """Replaces a record. After an OSError either version may be on disk, but never a torn one."""
    digest = blake2b(body, digest_size=16).hexdigest().encode()
    files.write_atomic(path, MAGIC + digest + b" %d\n" % len(body) + body)


def read(path: Path, files: Files = DISK) -> bytes | None:
    """Returns the body, or None if there is no file; raises RecordError if the record is corrupt."""
    try:
        data = files.read(path)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise RecordError(f"{path}: {error.strerror}") from None
    head, newline, body = data.partition(b"\n")
    fields = head.removeprefix(MAGIC).split(b" ")
    if not head.startswith(MAGIC) or not newline or len(fields) != 2 or not fields[1].isdigit():
        raise RecordError(f"{path}: not a record")
    if len(body) != int(fields[1]):
        raise RecordError(f"{path}: cut off: {len(body)} bytes of {int(fields[1])}")
    if blake2b(body, digest_size=16).hexdigest().encode() != fields[0]:
        raise RecordError(f"{path}: checksum wrong")
    return body
