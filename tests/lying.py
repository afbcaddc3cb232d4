"""Files that do wrong what a disk can do wrong."""

import errno
from pathlib import Path

from seamlb.store.files import Files


class LyingFiles(Files):
    """`fails`: the call ("write", "fsync", "replace", "read") that fails with `code`; `torn`: bytes that arrive."""

    def __init__(self, fails: str = "", code: int = errno.EIO, torn: int | None = None) -> None:
        self.fails, self.code, self.torn = fails, code, torn

    def _may(self, call: str) -> None:
        if call == self.fails:
            raise OSError(self.code, errno.errorcode[self.code])

    def write(self, path: Path, data: bytes) -> None:
        self._may("write")
        super().write(path, data if self.torn is None else data[: self.torn])
        self._may("fsync")

    def replace(self, new: Path, path: Path) -> None:
        self._may("replace")
        super().replace(new, path)

    def read(self, path: Path) -> bytes:
        self._may("read")
        return super().read(path)
