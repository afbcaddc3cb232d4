"""File operations with the faults that a disk can have."""

import errno
from pathlib import Path

from seamlb.store.files import Files


class FaultyFiles(Files):
    """`failing_call` ("write", "fsync", "replace", "read") fails with `code`; only `torn` bytes of a write arrive."""

    def __init__(self, failing_call: str = "", code: int = errno.EIO, torn: int | None = None) -> None:
        self.failing_call, self.code, self.torn = failing_call, code, torn

    def _raise_if_failing(self, call: str) -> None:
        if call == self.failing_call:
            raise OSError(self.code, errno.errorcode[self.code])

    def write(self, path: Path, data: bytes) -> None:
        self._raise_if_failing("write")
        super().write(path, data if self.torn is None else data[: self.torn])
        self._raise_if_failing("fsync")

    def replace(self, new: Path, path: Path) -> None:
        self._raise_if_failing("replace")
        super().replace(new, path)

    def read(self, path: Path) -> bytes:
        self._raise_if_failing("read")
        return super().read(path)
