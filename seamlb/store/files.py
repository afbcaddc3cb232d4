"""The one way to the disk of all state that is kept: what it may do wrong is done wrong here by the tests."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path


class Files:
    """The file system as it is; every call may raise OSError."""

    def write(self, path: Path, data: bytes) -> None:
        """A new file, its bytes on the disk when this returns."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())  # an error here means lost, whatever a second try says: it is told, not repeated

    def replace(self, new: Path, path: Path) -> None:
        """Put one file in another's place, on the disk when this returns."""
        os.replace(new, path)
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def write_atomic(self, path: Path, data: bytes) -> None:
        """Replace a file, whole or not at all. OSError: it is not known which of the two is there."""
        temporary = path.with_name(f".{path.name}.{os.getpid()}")
        try:
            self.write(temporary, data)
            self.replace(temporary, path)
        except OSError:
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise

    def read(self, path: Path) -> bytes:
        """The bytes of a file; OSError."""
        return path.read_bytes()


DISK = Files()
