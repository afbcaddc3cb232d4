"""Leases and fencing of rollout controllers: an agent takes orders from one controller at a time, never a stale one.

Pure; one instance per agent. There is no agreement protocol between agents: a controller needs leases from more than
half of them to begin, so two can't both have them, and each agent rejects orders of a controller without its lease.
"""

from __future__ import annotations

from dataclasses import dataclass

LEASE_S = 10.0  # how long a lease is valid without being renewed


@dataclass(slots=True)
class Fence:
    """One agent's lease and the newest rollout state it has seen.

    `change`, `seq` and `over` are persisted across restarts of its supervisor.
    """

    change: str = ""
    seq: int = 0
    over: bool = True
    holder: str = ""
    expires_at: float = 0.0  # seconds

    def acquire(self, now: float, holder: str, change: str, seq: int, over: bool = False, after: str = "") -> str:
        """Acquire or renew the lease; returns why it is refused, or an empty text.

        `over`: the rollout has finished, and its lease is released. `after`: the previous rollout, which the
        controller knows to have finished even if this agent does not.
        """
        if self.holder != holder and now < self.expires_at:
            return f"lease held by {self.holder} for another {self.expires_at - now:.0f} s"
        if change != self.change and not self.over and self.change != after:
            return f"rollout {self.change} has not finished"
        if change == self.change and seq < self.seq:
            return f"stale rollout state: sequence number {seq} after {self.seq}"
        self.change, self.seq, self.over = change, seq, over
        self.holder, self.expires_at = ("", 0.0) if over else (holder, now + LEASE_S)
        return ""

    def holds(self, now: float, holder: str) -> bool:
        """Whether this controller has the lease and may give orders."""
        return self.holder == holder and now < self.expires_at
