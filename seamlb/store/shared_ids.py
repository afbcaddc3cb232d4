"""Ids of requests, shared by the processes that accept from one inherited socket, in files of a common folder.

Each process appends what it takes to the file of the current minute and reads what the others have appended. Ids are
kept for one to two minutes, longer than an upgrade takes.
"""

from __future__ import annotations

import os
import secrets
import time
from pathlib import Path

PERIOD_S = 60  # of one file
ID_BYTES, OWNER_BYTES = 8, 4
RECORD_BYTES = ID_BYTES + OWNER_BYTES
CHUNK_BYTES = RECORD_BYTES * 4096


class SharedIdsError(Exception):
    """The folder can't be used; the text is one line for the log."""


class SharedIdFiles:
    """The ids in one folder; an id has 16 hex digits."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.owner = secrets.token_bytes(OWNER_BYTES)  # of the records of this process
        self._read: dict[int, int] = {}  # bytes read, by period
        self._elsewhere: dict[int, set[bytes]] = {}  # ids of other processes, by period
        self._descriptors: dict[int, int] = {}  # by period
        try:
            folder.mkdir(mode=0o700, exist_ok=True)
            if folder.is_symlink() or folder.stat().st_uid != os.getuid():
                raise SharedIdsError(f"{folder}: not a folder of this user")
            self._descriptor(self._period())
        except OSError as error:
            raise SharedIdsError(f"{folder}: {error.strerror}") from None

    @staticmethod
    def _period() -> int:
        return int(time.time() // PERIOD_S)

    def _descriptor(self, period: int) -> int:
        if period not in self._descriptors:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
            self._descriptors[period] = os.open(self.folder / str(period), flags, 0o600)
            self._drop_before(period - 1)
        return self._descriptors[period]

    def _drop_before(self, period: int) -> None:
        for old in [one for one in self._descriptors if one < period]:
            os.close(self._descriptors.pop(old))
            self._read.pop(old, None)
            self._elsewhere.pop(old, None)
        for path in self.folder.iterdir():
            if path.name.isdigit() and int(path.name) < period:
                path.unlink(missing_ok=True)

    def add(self, ident: str) -> None:
        """Tell the other processes of an id."""
        os.write(self._descriptor(self._period()), bytes.fromhex(ident) + self.owner)

    def is_taken_elsewhere(self, ident: str) -> bool:
        """Whether another process has taken this id in this period or the one before."""
        key, current = bytes.fromhex(ident), self._period()
        return any(key in self._taken(period) for period in (current - 1, current))

    def _taken(self, period: int) -> set[bytes]:
        """Read what was appended to the file of a period, and return the ids of other processes in it."""
        taken = self._elsewhere.setdefault(period, set())
        descriptor = self._descriptor(period)
        while data := os.pread(descriptor, CHUNK_BYTES, self._read.get(period, 0)):
            whole = len(data) - len(data) % RECORD_BYTES
            for start in range(0, whole, RECORD_BYTES):
                if data[start + ID_BYTES : start + RECORD_BYTES] != self.owner:
                    taken.add(data[start : start + ID_BYTES])
            self._read[period] = self._read.get(period, 0) + whole
            if whole < CHUNK_BYTES:
                break
        return taken

    def close(self) -> None:
        """Close the files."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()
