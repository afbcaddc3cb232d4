"""The life of the process, decided in one place: what is listened to, what is ready, which connections go when.

Pure: events come in as calls, time as an argument (seconds that never go back), and it holds no socket.
"""

from __future__ import annotations

import math
from enum import StrEnum

KEEP_TAKING = 0.7  # seconds after SIGTERM in which new connections still come
DRAIN_MOST = 3.0  # seconds: SIGKILL comes no sooner than the longest deadline, or this, and KEEP_TAKING after SIGTERM
UPGRADE_MOST = 5.0  # the same where another process takes over: there the longest deadline counts up to this
DRAIN_MARGIN = 0.3  # of that, kept for the last answers' way out
SETTLE = 0.4  # seconds in which the front may still send new connections after it was told to stop
CALM = 0.2  # seconds without a byte after which a connection is closed with the least risk of crossing a set-up
HURRY = 1.5  # seconds after which a connection goes at its first moment without an open set-up
REFUSE = 2.0  # seconds after which set-ups on connections that never had such a moment are refused


class Phase(StrEnum):
    """Where the process is in its life."""

    STARTING = "starting"
    READY = "ready"
    QUIESCING = "quiescing"  # an operator empties it; it may come back
    DRAINING = "draining"  # it ends
    ENDED = "ended"


class Lifecycle:
    """The state; `shared` says that another process may hold the same listening socket."""

    def __init__(self, longest: float, shared: bool = False) -> None:
        self.longest = longest  # seconds a caller may wait at most
        self.shared = shared
        self.phase = Phase.STARTING
        self.since = 0.0

    # -- events -------------------------------------------------------------------------------

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase, self.since = phase, now

    def started(self, now: float) -> None:
        """Everything is bound and known that serving needs."""
        if self.phase is Phase.STARTING:
            self._enter(Phase.READY, now)

    def quiesce(self, now: float) -> bool:
        """Empty the process; False if it is not in service. Asked again it goes on as it is."""
        if self.phase is Phase.READY:
            self._enter(Phase.QUIESCING, now)
        return self.phase is Phase.QUIESCING

    def resume(self, now: float) -> bool:
        """Back to work; False if it has not begun or ends."""
        if self.phase is Phase.QUIESCING:
            self._enter(Phase.READY, now)
        return self.phase is Phase.READY

    def terminate(self, now: float) -> None:
        """SIGTERM: no way back from here; a second one changes nothing."""
        if self.phase not in (Phase.DRAINING, Phase.ENDED):
            self._enter(Phase.DRAINING, now)

    def ended(self, now: float) -> None:
        """Nothing is left."""
        self._enter(Phase.ENDED, now)

    # -- what follows from it -----------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """What tests and operators are told."""
        return self.phase is Phase.READY

    def accepts_connections(self, now: float) -> bool:
        """Are new connections accepted? On a shared socket the process that doesn't leaves them to the other one."""
        match self.phase:
            case Phase.STARTING:
                return not self.shared
            case Phase.READY | Phase.QUIESCING:
                return True
            case Phase.DRAINING:
                return not self.shared and now < self.since + KEEP_TAKING
            case _:
                return False

    def quiet_limit(self, now: float) -> float:
        """How long a connection without an open set-up may have been quiet and stay; infinite: all of them stay.

        Guards set-ups that cross the close: the front stops sending new connections first, and a connection in
        use is given the chance of a pause. A process that ends with its socket keeps all until its listener closes,
        as callers have nowhere else to go before the front has noticed; then each goes at its first moment without
        an open set-up, and not with the process, which would break off a set-up that is half read.
        """
        after = now - self.since
        if self.phase is Phase.QUIESCING or (self.phase is Phase.DRAINING and self.shared):
            return math.inf if after < SETTLE else CALM if after < HURRY else 0.0
        return 0.0 if self.phase is Phase.DRAINING and now >= self.since + KEEP_TAKING else math.inf

    @property
    def keeps_established_calls(self) -> bool:
        """Does a connection stay on which a call was set up that still stands? It is the way of its release.

        When another process takes over, callers must come to that one: it is the one that is told of releases then.
        """
        return self.phase is Phase.QUIESCING

    def accepts_requests(self, now: float) -> bool:
        """Are set-ups taken that come on connections which should be gone by now?"""
        return self.phase is not Phase.QUIESCING or now < self.since + REFUSE

    def answers_by(self) -> float:
        """When whoever still waits is told that the call failed, as the process is killed soon after."""
        most = UPGRADE_MOST if self.shared else DRAIN_MOST
        return self.since + KEEP_TAKING + max(0.0, min(self.longest, most) - DRAIN_MARGIN)

    def may_exit(self, now: float, unanswered: int, connections: int) -> bool:
        """May the process end? Only without callers, as nobody else can serve those it has."""
        if self.phase is not Phase.DRAINING:
            return self.phase is Phase.ENDED
        if now >= self.answers_by():
            return True
        return unanswered == connections == 0 and (self.shared or now >= self.since + KEEP_TAKING)
