"""What the agents' peers observed: the audit, a trace of each call, and delays of this process itself."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from pathlib import Path

from seamlb.emulator.audit import SLACK_S, Audit, Violation

CLOCK_INTERVAL_S = 0.005  # between two readings of the clock
DISTURBANCE_S = 4.0  # before a violation, in which a delay of this process may have caused it
MAX_TRACE_LINES = 40


class Record:
    """The audit of a run, with the traces needed to interpret it."""

    def __init__(self, folder: Path, attempts_cap: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.folder = folder
        self.audit = Audit(attempts_cap)
        self.traces: defaultdict[str, list[str]] = defaultdict(list)
        self.cut_calls: set[str] = set()  # calls that were established when their server's process ended
        self.delays: list[tuple[float, float]] = []  # delays beyond SLACK_S: due time, seconds
        self.max_delay = 0.0  # seconds
        self.notes: list[str] = []  # lines that belong to no call
        self.clock_task = self.loop.create_task(self._watch_clock())

    def note(self, call: str, party: str, text: str) -> None:
        """Add a line to the trace of a call; an empty `call` stands for the whole run."""
        self.traces[call].append(f"{self.loop.time() - self.started_at:8.3f} {party}: {text}")

    async def _watch_clock(self) -> None:
        while True:
            due = self.loop.time() + CLOCK_INTERVAL_S
            await asyncio.sleep(CLOCK_INTERVAL_S)
            delay = self.loop.time() - due
            self.max_delay = max(self.max_delay, delay)
            if delay > SLACK_S:
                self.delays.append((due, delay))

    def disturbed(self, violation: Violation) -> bool:
        """Whether this process itself was delayed shortly before, which may have caused the violation."""
        return violation.is_timing and any(
            violation.at - DISTURBANCE_S <= due <= violation.at for due, _ in self.delays
        )

    def trace(self, call: str) -> list[str]:
        """The trace of a call: what the peers observed, and the agents' log lines."""
        lines = list(self.traces[call])
        for path in sorted(self.folder.glob("*.log")):
            lines += [f"{path.stem}: {line}" for line in path.read_text().splitlines() if call and call in line]
        return lines[:MAX_TRACE_LINES]
