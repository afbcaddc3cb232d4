"""What the peers of the agents saw: the audit, each call's trace, and how late this process itself was."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from pathlib import Path

from seamlb.emulator.audit import SLACK_S, Audit, Violation

LOOK = 0.005  # seconds between two looks at the clock
BEFORE = 4.0  # seconds before a violation in which a late observer may have caused it
TRACE_LINES = 40


class Record:
    """The audit of a run, with what is needed to read it."""

    def __init__(self, folder: Path, attempts_cap: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.folder = folder
        self.audit = Audit(attempts_cap)
        self.seen: defaultdict[str, list[str]] = defaultdict(list)
        self.cut: set[str] = set()  # calls that stood as their server's process ended
        self.late: list[tuple[float, float]] = []  # when it was late by more than the slack, and by how many seconds
        self.latest = 0.0  # the most that it was late
        self.notes: list[str] = []  # what concerns no call
        self.watching = self.loop.create_task(self._watch())

    def note(self, call: str, who: str, what: str) -> None:
        """Add a line to a call's trace; to all that is known of the run where `call` is empty."""
        self.seen[call].append(f"{self.loop.time() - self.began:8.3f} {who}: {what}")

    async def _watch(self) -> None:
        while True:
            due = self.loop.time() + LOOK
            await asyncio.sleep(LOOK)
            late = self.loop.time() - due
            self.latest = max(self.latest, late)
            if late > SLACK_S:
                self.late.append((due, late))

    def disturbed(self, one: Violation) -> bool:
        """Was this process late by more than the slack just then, so that it may be what broke the bound?"""
        return one.is_timing and any(one.at - BEFORE <= due <= one.at for due, _ in self.late)

    def trace(self, call: str) -> list[str]:
        """All that is known of a call: what peers saw, and the agents' log lines."""
        lines = list(self.seen[call])
        for path in sorted(self.folder.glob("*.log")):
            lines += [f"{path.stem}: {line}" for line in path.read_text().splitlines() if call and call in line]
        return lines[:TRACE_LINES]
