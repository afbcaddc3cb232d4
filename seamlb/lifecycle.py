"""The lifecycle of the process: whether it listens, whether it is ready, and when connections close.

Pure state without sockets: events are method calls, and time is an argument (monotonic seconds).
"""

from __future__ import annotations

import math
from enum import StrEnum

LISTEN_S = 0.7  # after SIGTERM, in which new connections are still accepted
# SIGKILL follows SIGTERM no sooner than after LISTEN_S plus the longest deadline. That deadline counts up to these
# limits: in a drain, and where another process takes over.
MAX_DRAIN_PATIENCE_S = 3.0
MAX_UPGRADE_PATIENCE_S = 5.0
ANSWER_MARGIN_S = 0.3  # of that time, reserved for sending the last answers
SETTLE_S = 0.4  # in which the front may still open connections after it was told to stop
QUIET_S = 0.2  # without a byte, after which closing a connection is least likely to cross a set-up
ANY_PAUSE_AFTER_S = 1.5  # after which a connection closes as soon as it has no open set-up
REFUSE_AFTER_S = 2.0  # after which set-ups are refused on connections that were never without one


class Phase(StrEnum):
    """Phases of the process."""

    STARTING = "starting"
    READY = "ready"
    QUIESCING = "quiescing"  # being emptied by an operator; may return to READY
    DRAINING = "draining"  # on its way to the exit
    ENDED = "ended"


class Lifecycle:
    """The state; `shared` if another process may hold the same listening socket."""

    def __init__(self, max_patience: float, shared: bool = False) -> None:
        self.max_patience = max_patience  # seconds that a caller waits at most
        self.drain_patience = max_patience  # that of the settings in force at SIGTERM, by which SIGKILL comes
        self.shared = shared
        self.phase = Phase.STARTING
        self.entered_at = 0.0

    # -- events -------------------------------------------------------------------------------

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase, self.entered_at = phase, now

    def started(self, now: float) -> None:
        """Everything needed for serving is bound and known."""
        if self.phase is Phase.STARTING:
            self._enter(Phase.READY, now)

    def quiesce(self, now: float) -> bool:
        """Start to empty the process; False if it is not in service. A repeated call changes nothing."""
        if self.phase is Phase.READY:
            self._enter(Phase.QUIESCING, now)
        return self.phase is Phase.QUIESCING

    def resume(self, now: float) -> bool:
        """Return to service; False if it has not started or is ending."""
        if self.phase is Phase.QUIESCING:
            self._enter(Phase.READY, now)
        return self.phase is Phase.READY

    def terminate(self, now: float) -> None:
        """SIGTERM: the process drains and cannot return to service; a second one changes nothing."""
        if self.phase not in (Phase.DRAINING, Phase.ENDED):
            self._enter(Phase.DRAINING, now)
            self.drain_patience = self.max_patience

    def ended(self, now: float) -> None:
        """The drain is complete."""
        self._enter(Phase.ENDED, now)

    # -- derived state ------------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """Readiness, as reported to health checks and operators."""
        return self.phase is Phase.READY

    def accepts_connections(self, now: float) -> bool:
        """Whether new connections are accepted; if not, those of a shared socket go to the other process."""
        match self.phase:
            case Phase.STARTING:
                return not self.shared
            case Phase.READY | Phase.QUIESCING:
                return True
            case Phase.DRAINING:
                return not self.shared and now < self.entered_at + LISTEN_S
            case _:
                return False

    def quiet_limit(self, now: float) -> float:
        """Quiet time in seconds after which a connection without an open set-up closes; infinite: none closes.

        Protects set-ups that cross the close: first the front stops opening connections, and connections in use get
        time for a pause. A process that ends with its socket keeps all connections until its listener closes, as
        callers have no other process before the front notices. Then each closes as soon as it has no open set-up;
        closing them all at the exit would cut a set-up that is only partly read.
        """
        elapsed = now - self.entered_at
        if self.phase is Phase.QUIESCING or (self.phase is Phase.DRAINING and self.shared):
            return math.inf if elapsed < SETTLE_S else QUIET_S if elapsed < ANY_PAUSE_AFTER_S else 0.0
        return 0.0 if self.phase is Phase.DRAINING and now >= self.entered_at + LISTEN_S else math.inf

    @property
    def keeps_established_calls(self) -> bool:
        """Whether a connection stays open for the release of an established call that was set up on it.

        When another process takes over, callers must connect to that one, as it then receives the releases.
        """
        return self.phase is Phase.QUIESCING

    def accepts_requests(self, now: float) -> bool:
        """Whether set-ups are accepted on connections that should have closed by now."""
        return self.phase is not Phase.QUIESCING or now < self.entered_at + REFUSE_AFTER_S

    def answer_deadline(self) -> float:
        """When open calls are failed: the process is killed soon after."""
        limit = MAX_UPGRADE_PATIENCE_S if self.shared else MAX_DRAIN_PATIENCE_S
        return self.entered_at + LISTEN_S + max(0.0, min(self.drain_patience, limit) - ANSWER_MARGIN_S)

    def may_exit(self, now: float, unanswered: int, connections: int) -> bool:
        """Whether the process may exit: not while it has callers, as no other process can serve them."""
        if self.phase is not Phase.DRAINING:
            return self.phase is Phase.ENDED
        if now >= self.answer_deadline():
            return True
        return unanswered == connections == 0 and (self.shared or now >= self.entered_at + LISTEN_S)
