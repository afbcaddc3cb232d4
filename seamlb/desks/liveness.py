"""What is believed of one server, and when its established calls count as cut.

Pure state: all times are loop times in seconds. A byte on any connection of the server is a sign of life, so a
connection that comes up and reports is one too. A connection that only comes up is none, as a kernel still accepts
some as its host goes; but it proves that the host was there shortly before, and that a process may only hang.
"""

from __future__ import annotations

import math
from enum import StrEnum

RELEASE_WITHIN = 8.0  # seconds from a server's end to the release that its callers get (protocol)
CUT_AFTER = 7.0  # seconds after the last sign of life; a network that is cut for 6 s keeps its calls
ACCEPT_AGE = 2.0  # seconds by which the last accepted connection may be younger than the end of its host
ON_TIME = 1.0  # seconds that a time-out may be late and still tell of the server; more is a pause of this process


class Belief(StrEnum):
    """What is believed of a server."""

    REACHABLE = "reachable"
    SUSPECT = "suspect"  # no new connection is usable: set-ups go elsewhere, established calls stay
    GONE = "gone"  # its established calls were cut


class Liveness:
    """The signs of life of one server."""

    def __init__(self, now: float) -> None:
        self.belief = Belief.REACHABLE
        self.last_sign = now
        self.last_accept = -math.inf
        self.last_failure = -math.inf  # start of the latest attempt to connect that failed

    def sign_of_life(self, now: float) -> None:
        """A byte has arrived."""
        self.last_sign = now

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
        if now - due <= ON_TIME:
            self.last_failure = max(self.last_failure, started)

    @property
    def cut_due(self) -> float:
        """When the established calls count as cut, unless there is another sign of life."""
        return max(self.last_sign, self.last_accept - ACCEPT_AGE) + CUT_AFTER

    def has_vanished(self, now: float) -> bool:
        """Whether the server is to be given up; silence alone, without an attempt that failed, is no reason."""
        return now >= self.cut_due and self.last_failure > self.last_sign
