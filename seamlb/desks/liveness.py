"""What is believed of one server, and when its established calls count as cut.

Pure state: all times are loop times in seconds. A byte on any connection of the server is a sign of life, so a
connection that comes up and reports is one too. A connection that only comes up is none, as a kernel still accepts
some as its host goes; but it proves that the host was there shortly before, and that a process may only hang.

A host that could not be reached may come back with another process, at the same address and under the same name. A
connection belongs to one process for good, so only a byte on a connection from before such an outage, or a message
about a call from before it, proves that this is still the same process.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

RELEASE_WITHIN = 8.0  # seconds from a server's end to the release that its callers get (protocol)
CUT_AFTER = 7.0  # seconds after the last sign of life; a network that is cut for 6 s keeps its calls
ACCEPT_AGE = 2.0  # seconds by which the last accepted connection may be younger than the end of its host
PROOF_WAIT = 0.25  # seconds for which a server that is back may still prove that its process is the same
ON_TIME = 1.0  # seconds that a time-out may be late and still tell of the server; more is a pause of this process


class Belief(StrEnum):
    """What is believed of a server."""

    REACHABLE = "reachable"
    SUSPECT = "suspect"  # no new connection is usable: set-ups go elsewhere, established calls stay
    GONE = "gone"  # its established calls were cut


@dataclass(frozen=True, slots=True)
class Outage:
    """A time in which a server could not be reached: connections opened up to `noticed_at` are from before it."""

    last_seen: float
    noticed_at: float  # start of the first attempt to connect that failed


@dataclass(frozen=True, slots=True)
class UnprovenOutage:
    """An outage after which only new connections were heard: `cut_due` is when its calls from before count as cut."""

    outage: Outage
    cut_due: float


class Liveness:
    """The signs of life of one server."""

    def __init__(self, now: float) -> None:
        self.belief = Belief.REACHABLE
        self.last_sign = now
        self.last_accept = -math.inf
        self.last_failure = -math.inf  # start of the latest attempt to connect that failed
        self.outage: Outage | None = None  # since the last sign of life
        self.unproven: list[UnprovenOutage] = []

    def sign_of_life(self, now: float, opened_at: float) -> bool:
        """A byte has arrived on a connection; returns whether it leaves open if this is the process from before."""
        self.last_sign = now
        self.same_process(opened_at)
        outage, self.outage = self.outage, None
        if outage is None:
            return False
        self.unproven.append(UnprovenOutage(outage, max(outage.last_seen + CUT_AFTER, now + PROOF_WAIT)))
        return True

    def same_process(self, opened_at: float) -> None:
        """The process to which a connection was opened then is alive: it has outlived the outages since."""
        if self.outage and opened_at <= self.outage.noticed_at:
            self.outage = None
        self.unproven = [one for one in self.unproven if opened_at > one.outage.noticed_at]

    def is_witness(self, opened_at: float) -> bool:
        """Whether a byte on a connection opened then would prove that the process is the same as before an outage."""
        outages = [one.outage for one in self.unproven]
        if self.outage:
            outages.append(self.outage)
        return any(opened_at <= outage.noticed_at for outage in outages)

    def accepted(self, now: float) -> None:
        """A connection has come up."""
        self.last_accept = max(self.last_accept, now)

    def closed_unheard(self, last_accept: float) -> None:
        """A connection that came up was closed by the peer without a byte: no process that hangs does that.

        `last_accept` is restored: a proxy may accept connections for a host that has vanished.
        """
        self.last_accept = last_accept

    def attempt_failed(self, started: float, due: float, now: float) -> None:
        """There is no connection by `due`, or one was turned down; a late time-out tells of this process only."""
        if now - due > ON_TIME:
            return
        self.last_failure = max(self.last_failure, started)
        if self.outage is None and started >= max(self.last_sign, self.last_accept):
            self.outage = Outage(self._last_seen, started)

    @property
    def _last_seen(self) -> float:
        return max(self.last_sign, self.last_accept - ACCEPT_AGE)

    @property
    def cut_due(self) -> float:
        """When the established calls count as cut, unless there is another sign of life."""
        return self._last_seen + CUT_AFTER

    @property
    def next_due(self) -> float:
        """When the first established calls count as cut."""
        return min(self.cut_due, *(one.cut_due for one in self.unproven), math.inf)

    def forget(self, outage: Outage) -> None:
        """The calls from before an outage were cut."""
        self.unproven = [one for one in self.unproven if one.outage != outage]

    def overdue(self, now: float) -> list[Outage]:
        """Returns the outages whose calls from before count as cut."""
        return [one.outage for one in self.unproven if now >= one.cut_due]

    def has_vanished(self, now: float) -> bool:
        """Whether the server is to be given up; silence alone, without an attempt that failed, is no reason."""
        return now >= self.cut_due and self.last_failure > self.last_sign
