"""State machine of one agent's processes: which one serves, which one starts beside it, which ones drain. Pure.

Times are in seconds. Processes are identified by numbers that the state machine assigns; the supervisor that executes
its actions reports what became of each process.
"""

from __future__ import annotations

from dataclasses import dataclass, field

READY_TIMEOUT_S = 10.0  # for a process that starts beside another one
DRAIN_TIMEOUT_S = 7.0  # from SIGTERM to SIGKILL: the longest drain, and a margin
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.5, 8.0  # before a crashed process is restarted, doubled each time
BACKOFF_RESET_S = 60.0  # without a crash, after which the back-off starts at its initial value again


@dataclass(slots=True, frozen=True)
class Start:
    """Start a revision as this process, on the listening socket."""

    process: int
    revision: str


@dataclass(slots=True, frozen=True)
class Terminate:
    """Send SIGTERM: the process drains and exits."""

    process: int


@dataclass(slots=True, frozen=True)
class Kill:
    """Send SIGKILL."""

    process: int


Action = Start | Terminate | Kill


@dataclass(slots=True)
class ManagedProcess:
    """A process that was started."""

    number: int
    revision: str
    started_at: float
    ready: bool = False


@dataclass(slots=True)
class ProcessStateMachine:
    """The processes of one agent; `revision` is the one in force, which is restarted when it crashes."""

    revision: str
    current: ManagedProcess | None = None
    starting: ManagedProcess | None = None
    draining: dict[int, float] = field(default_factory=dict)  # when each is killed
    desired: str = ""  # the revision of the last order
    failure: str = ""  # why the last order failed; empty if it did not
    crashes: int = 0
    process_count: int = 0  # started so far
    start_at: float | None = 0.0  # when the revision in force is started, if it does not run
    backoff_s: float = INITIAL_BACKOFF_S
    shutting_down: bool = False

    # -- events -------------------------------------------------------------------------------

    def order(self, now: float, revision: str) -> list[Action]:
        """Switch to a revision. Repeating an order has no effect, and the last order counts."""
        if self.shutting_down:
            return []
        repeated = self.desired == revision and not self.failure
        self.desired = revision
        if repeated and (self.starting or self.revision == revision):
            return []
        self.failure = ""
        actions: list[Action] = []
        if self.starting:  # it was never ready and has no calls, so it can be terminated at once
            actions.append(self._terminate(now, self.starting))
            self.starting = None
        if revision == self.revision:
            return actions
        self.starting = self._new_process(now, revision)
        return [*actions, Start(self.starting.number, revision)]

    def mark_ready(self, now: float, number: int) -> list[Action]:
        """A process is ready to serve."""
        if self.current and self.current.number == number:
            self.current.ready = True
        if self.starting is None or self.starting.number != number:
            return []
        old, self.current, self.starting = self.current, self.starting, None
        self.current.ready = True
        self.revision, self.start_at, self.backoff_s = self.current.revision, None, INITIAL_BACKOFF_S
        return [self._terminate(now, old)] if old else []

    def mark_unready(self, number: int) -> None:
        """A process that served reports that it is not ready, or doesn't answer."""
        if self.current and self.current.number == number:
            self.current.ready = False

    def exited(self, now: float, number: int, reason: str) -> list[Action]:
        """A process has exited."""
        if self.draining.pop(number, None) is not None:
            return []
        if self.starting and self.starting.number == number:
            self.starting, self.failure = None, f"exited before it was ready: {reason}"
        elif self.current and self.current.number == number:
            if now - self.current.started_at > BACKOFF_RESET_S:
                self.backoff_s = INITIAL_BACKOFF_S
            self.current = None
            if not self.shutting_down:
                self.crashes += 1
                self.start_at = now + self.backoff_s
                self.backoff_s = min(MAX_BACKOFF_S, 2.0 * self.backoff_s)
        return []

    def tick(self, now: float) -> list[Action]:
        """Apply the timeouts that have expired."""
        actions: list[Action] = []
        for number, deadline in list(self.draining.items()):
            if now >= deadline:
                self.draining[number] = now + DRAIN_TIMEOUT_S
                actions.append(Kill(number))
        if self.starting and now - self.starting.started_at > READY_TIMEOUT_S:
            self.failure = f"not ready within {READY_TIMEOUT_S:g} s"
            self.draining[self.starting.number] = now + DRAIN_TIMEOUT_S
            actions.append(Kill(self.starting.number))
            self.starting = None
        if self.start_at is not None and now >= self.start_at and not self.shutting_down:
            self.current, self.start_at = self._new_process(now, self.revision), None
            actions.append(Start(self.current.number, self.revision))
        return actions

    def shut_down(self, now: float) -> list[Action]:
        """Drain all processes, as the supervisor itself ends."""
        self.shutting_down, self.start_at = True, None
        processes = [one for one in (self.current, self.starting) if one]
        self.current = self.starting = None
        return [self._terminate(now, one) for one in processes]

    # -- derived state ------------------------------------------------------------------------

    @property
    def running(self) -> str:
        """The revision that serves; empty if none does."""
        return self.current.revision if self.current else ""

    def _new_process(self, now: float, revision: str) -> ManagedProcess:
        self.process_count += 1
        return ManagedProcess(self.process_count, revision, now)

    def _terminate(self, now: float, process: ManagedProcess) -> Action:
        self.draining[process.number] = now + DRAIN_TIMEOUT_S
        return Terminate(process.number)
