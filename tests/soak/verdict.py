"""The result of a seed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from seamlb.emulator.audit import SLACK_S


@dataclass
class Verdict:
    """The result of one seed."""

    seed: int
    violations: list[str] = field(default_factory=list)
    disturbed: list[str] = field(default_factory=list)  # violations that a delay of this process may have caused
    command: str = "python -m tests.soak"
    max_delay: float = 0.0  # of this process, in seconds
    figures: dict[str, object] = field(default_factory=dict)

    @property
    def status(self) -> str:
        """passed, failed, or disturbed: neither, as this observing process was itself delayed."""
        return (
            "failed" if self.violations else "disturbed" if self.disturbed or self.max_delay > SLACK_S else "passed"
        )

    def lines(self) -> list[str]:
        """Format the verdict, with the command that reruns this seed."""
        head = f"seed {self.seed}: {self.status}, max observer delay {self.max_delay * 1000:.0f} ms, {self.figures}"
        rerun = [f"  rerun: {self.command} --first {self.seed} --seeds 1"] if self.status != "passed" else []
        return [head, *rerun, *self.violations, *(f"disturbed: {line}" for line in self.disturbed)]


def summarize(verdicts: list[Verdict]) -> str:
    """The number of runs by status."""
    counts = Counter(verdict.status for verdict in verdicts)
    return ", ".join(f"{counts[status]} {status}" for status in ("passed", "disturbed", "failed"))
