"""One request on a virtual clock: brought into a wait state, then given several events in one loop iteration."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from seamlb import api
from seamlb.routing.agent import Agent
from seamlb.routing.call import CallSession, Overdue, TimedOut
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Desk, Outcome, Request
from tests.support import settings

PATIENCE_MS = 3000.0
CLEAR_WAIT_S = 0.3  # the wait after a reset before the next attempt (rule 5)
MAX_EVENTS = 4


@dataclass
class AttemptRecord:
    """One attempt as seen by the servers."""

    attempt: Attempt
    on_update: AttemptCallback
    started_at: float
    answered: bool = False
    endings: list[str] = field(default_factory=list)  # exactly one of "ended", "cancelled" and "released"


class ScriptedServers:
    """Two servers: the test decides on the first `scripted` attempts, later ones become short calls."""

    def __init__(self, scripted: int) -> None:
        self.scripted = scripted
        self.attempts: list[AttemptRecord] = []

    def set_up(self, attempt: Attempt, on_update: AttemptCallback) -> None:
        loop = asyncio.get_running_loop()
        self.attempts.append(AttemptRecord(attempt, on_update, loop.time()))
        if not attempt.desk:  # removed from the list since it was chosen
            self.report(Outcome(api.Status.CONNECT_FAILED))
        elif len(self.attempts) > self.scripted:
            loop.call_later(0.01, self.report, Answer(b""))
            loop.call_later(0.02, self.report, Outcome(api.Status.OK))

    def report(self, update: Answer | Outcome) -> None:
        """Report on the latest attempt, unless it has ended: a desk client reports nothing on a cancelled attempt."""
        record = self.attempts[-1]
        if not record.endings:
            record.answered |= isinstance(update, Answer)
            record.endings += ["ended"] * isinstance(update, Outcome)
            record.on_update(record.attempt.leg, update)

    def cancel(self, attempt: Attempt) -> None:
        self._record_end(attempt, "cancelled")

    def release(self, attempt: Attempt, cause: int) -> None:
        self._record_end(attempt, "released")

    def _record_end(self, attempt: Attempt, ending: str) -> None:
        (record,) = (item for item in self.attempts if item.attempt is attempt)
        if "ended" not in record.endings:  # a desk client ignores an attempt that has ended
            record.endings.append(ending)

    def desk_changed(self, desk: Desk) -> None: ...
    def close_idle(self, desk: str) -> None: ...


class RecordingCaller:
    def __init__(self) -> None:
        self.answers: list[str] = []
        self.after_hang_up: list[str] = []
        self.session: CallSession | None = None

    def _record(self, answer: str) -> None:
        (self.after_hang_up if self.session and self.session.caller_gone else self.answers).append(answer)

    def established(self, description: bytes) -> bool:
        self._record("established")
        return True

    def refused(self, back_off_ms: float) -> None:
        self._record("refused")

    def failed(self) -> None:
        self._record("failed")

    def released(self, cause: int) -> None:
        if self.session and self.session.caller_gone:
            self.after_hang_up.append("released")


class OneRequest:
    """An agent with two servers and one request."""

    def __init__(self, scripted: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.servers, self.caller = ScriptedServers(scripted), RecordingCaller()
        self.results: list[str] = []  # the results that are logged for the request
        self.agent = Agent(
            settings(Instances=1),
            1,
            clock=lambda: self.loop.time() * 1000.0,
            observe=lambda request, result, attempts: self.results.append(result),
        )
        self.agent.desks = self.servers
        self.agent.list_changed(api.Scope.CACHED, [Desk(f"d{number}", "x:1", 0, number, 1, 0.0) for number in (0, 1)])
        for server in self.agent.module.node.fleet.servers.values():
            server.tokens = 2.0  # enough for a second choice; the initial budget is random
        request = Request("a" * 16, 0, "a", 0, "1234", PATIENCE_MS, 0)
        session = self.agent.accept(request, self.caller)
        assert session is not None
        self.session = self.caller.session = session
        self.ended_at: float | None = None  # when no further attempt may begin

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(1.0):
            while not condition():
                await asyncio.sleep(0.0)

    async def attempt(self, number: int) -> None:
        await self.until(lambda: len(self.servers.attempts) == number)

    # -- events ---------------------------------------------------------------------------------

    @property
    def leg(self) -> int:
        return len(self.servers.attempts) - 1

    def inject(self, event: str) -> None:
        """Make the event of this name happen now."""
        match event:
            case "answer":
                self.servers.report(Answer(b""))
            case "release":
                self.servers.report(Outcome(api.Status.OK))
            case "full":
                self.servers.report(Outcome(api.Status.FULL))
            case "reset":
                self.servers.report(Outcome(api.Status.RESET))
            case "caller hung up":
                self.agent.caller_hung_up(self.session)
            case "shutdown":
                self.agent.fail_unanswered()
            case "timeout":
                self.session.inbox.put_nowait(TimedOut(self.leg))
            case "old timeout":
                self.session.inbox.put_nowait(TimedOut(self.leg - 1))
            case "cancel":
                self.session.inbox.put_nowait(api.Cancel(self.session.number, self.leg))
            case "old cancel":
                self.session.inbox.put_nowait(api.Cancel(self.session.number, self.leg - 1))
            case "overdue":
                self.session.inbox.put_nowait(Overdue())
            case "wait over":
                self.agent.notify(api.TimerFired(self.session.number))
            case "no server":
                self.agent.list_changed(api.Scope.CACHED, [])
                self.agent.notify(api.TimerFired(self.session.number))
            case _:
                raise ValueError(event)
        if event in ("caller hung up", "shutdown", "overdue") and self.ended_at is None:
            self.ended_at = self.loop.time()

    def disable_timers(self) -> None:
        """Deliver no timers to the module from now on."""
        self.agent._schedule_timer = lambda token, at: None  # type: ignore[method-assign]

    async def finish(self) -> None:
        """Run the request to its end; its server releases an established call."""
        async with asyncio.timeout(PATIENCE_MS / 1000.0 + 1.0):
            while self.agent.tasks:
                await asyncio.sleep(0.05)
                if self.session.established:
                    self.inject("release")
        self.disable_timers()

    def violations(self) -> list[str]:
        """Violated invariants, which hold for every order of events."""
        agent, attempts = self.agent, self.servers.attempts
        violations = [f"answered after the caller hung up: {answer}" for answer in self.caller.after_hang_up]
        violations += [
            f"attempt {record.attempt.leg} ended as {record.endings}"
            for record in attempts
            if len(record.endings) != 1
        ]
        violations += [
            f"attempt {record.attempt.leg} was answered and cancelled"
            for record in attempts
            if record.answered and "cancelled" in record.endings
        ]
        late = [record for record in attempts if self.ended_at is not None and record.started_at > self.ended_at]
        violations += [f"attempt {record.attempt.leg} began after the end" for record in late]
        if agent.unanswered or not agent.idle.is_set() or agent.sessions or agent.open_legs.total():
            violations.append(
                f"left behind: {agent.unanswered} unanswered, {len(agent.sessions)} sessions, {agent.open_legs}"
            )
        if agent.module.calls or any(server.pending for server in agent.module.node.fleet.servers.values()):
            violations.append("the module still has the call")
        return violations


def orders(events: tuple[str, ...], possible: Callable[[tuple[str, ...]], bool]) -> Iterator[tuple[str, ...]]:
    """All possible orders of one to four of these events."""
    lengths = range(1, MAX_EVENTS + 1)
    return filter(
        possible, itertools.chain.from_iterable(itertools.permutations(events, length) for length in lengths)
    )
