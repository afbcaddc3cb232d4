"""File operations for all persisted state, in one class, so that tests can replace it by one with disk faults."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path


class Files:
    """The real file system; every call may raise OSError."""

    def write(self, path: Path, data: bytes) -> None:
        """Writes a new file; its bytes are on disk when this returns."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())  # after an error the data may be lost even if a retry succeeds, so there is none

    def replace(self, new: Path, path: Path) -> None:
        """Moves a file over another; the result is on disk when this returns."""
        os.replace(new, path)
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def write_atomic(self, path: Path, data: bytes) -> None:
        """Replaces a file as a whole or not at all. After an OSError either version may be on disk."""
        temporary = path.with_name(f".{path.name}.{os.getpid()}")
        try:
            self.write(temporary, data)
            self.replace(temporary, path)
        except OSError:
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise

    def read(self, path: Path) -> bytes:
        """Reads a file."""
        return path.read_bytes()


DISK = Files()
