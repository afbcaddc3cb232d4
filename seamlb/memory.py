"""The memory budget of the process: what callers and servers may make it hold beside what it needs itself."""

from __future__ import annotations

import math
import os
from pathlib import Path

USABLE_SHARE = 0.8  # of what the limit leaves; the rest is for what is not counted, and for the allocator's gaps
MIN_BUDGET = 2 * 1024 * 1024  # bytes, where the limit leaves less
BYTES_PER_MB = 1_000_000  # `limits.memory_mb` by its smaller meaning
NEW_WORK_SHARE = 0.85  # of the budget, beyond which no new call is taken: the rest is for what is open
CONNECTION_BYTES = 24 * 1024  # of an open connection, beside the data in its buffers
CALL_BYTES = 8 * 1024  # of an open call, beside its description
TRANSACTION_BYTES = 6 * 1024  # of a SIP transaction


class MemoryBudget:
    """Counts estimated bytes against a limit; whoever is charged decides what to do where there is no room."""

    def __init__(self) -> None:
        self.limit = math.inf  # bytes
        self.used = 0  # bytes

    def set_limit(self, memory_mb: float, resident: int) -> None:
        """Set the limit from `limits.memory_mb` (0: none) and the bytes that the process has without any caller."""
        if memory_mb > 0:
            self.limit = max(MIN_BUDGET, (memory_mb * BYTES_PER_MB - resident) * USABLE_SHARE)

    def charge(self, size: int) -> None:
        """Count bytes that are held from now on, or no longer if `size` is negative."""
        self.used += size

    def stats(self) -> dict[str, float]:
        """The content of `/admin/stats`: bytes charged and their limit."""
        return {"memory_charged": self.used, "memory_budget": self.limit}

    def has_room(self, size: int = 0) -> bool:
        """Whether this many bytes more are within the limit."""
        return self.used + size <= self.limit

    def admits(self, size: int) -> bool:
        """Whether new work that holds this many bytes may be taken."""
        return self.used + size <= self.limit * NEW_WORK_SHARE


def resident_bytes() -> int:
    """Return the memory of this process as the platform sees it; 0 if that can't be told."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0
