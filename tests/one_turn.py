"""One request on the virtual clock: brought to a place where it waits, then given several events in one turn."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from seamlb import api
from seamlb.routing.agent import Agent
from seamlb.routing.life import CallSession, Overdue, TimedOut
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Desk, Outcome, Request
from tests.support import settings

PATIENCE_MS = 3000.0
BAR = 0.3  # seconds
MOST_EVENTS = 4


@dataclass
class Seen:
    """One attempt as the servers saw it."""

    attempt: Attempt
    heard: AttemptCallback
    at: float
    answered: bool = False
    ends: list[str] = field(default_factory=list)  # "told", "given up" or "released": one of them, once


class Upstream:
    """Two servers: the test tells what the first attempts come to, later ones stand for a moment."""

    def __init__(self, by_hand: int) -> None:
        self.by_hand = by_hand
        self.attempts: list[Seen] = []

    def set_up(self, attempt: Attempt, heard: AttemptCallback) -> None:
        loop = asyncio.get_running_loop()
        self.attempts.append(Seen(attempt, heard, loop.time()))
        if not attempt.desk:  # gone from the list, and forgotten, since it was chosen
            self.tell(Outcome(api.Status.CONNECT_FAILED))
        elif len(self.attempts) > self.by_hand:
            loop.call_later(0.01, self.tell, Answer(b""))
            loop.call_later(0.02, self.tell, Outcome(api.Status.OK))

    def tell(self, what: Answer | Outcome) -> None:
        """What became of the latest attempt; a server client says nothing of one that was given up."""
        seen = self.attempts[-1]
        if not seen.ends:
            seen.answered |= isinstance(what, Answer)
            seen.ends += ["told"] * isinstance(what, Outcome)
            seen.heard(seen.attempt.leg, what)

    def cancel(self, attempt: Attempt) -> None:
        self._end(attempt, "given up")

    def release(self, attempt: Attempt, cause: int) -> None:
        self._end(attempt, "released")

    def _end(self, attempt: Attempt, how: str) -> None:
        (seen,) = (one for one in self.attempts if one.attempt is attempt)
        if "told" not in seen.ends:  # an attempt that is over already is no server client's concern
            seen.ends.append(how)

    def desk_changed(self, desk: Desk) -> None: ...
    def close_idle(self, desk: str) -> None: ...


class Caller:
    def __init__(self) -> None:
        self.told: list[str] = []
        self.after_leaving: list[str] = []
        self.session: CallSession | None = None

    def _tell(self, how: str) -> None:
        (self.after_leaving if self.session and self.session.left else self.told).append(how)

    def established(self, description: bytes) -> bool:
        self._tell("stands")
        return True

    def refused(self, back_off_ms: float) -> None:
        self._tell("refused")

    def failed(self) -> None:
        self._tell("failed")

    def released(self, cause: int) -> None:
        if self.session and self.session.left:
            self.after_leaving.append("released")


class OneRequest:
    """An agent with two servers and one request."""

    def __init__(self, by_hand: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.upstream, self.caller = Upstream(by_hand), Caller()
        self.results: list[str] = []  # how the request ended, as its log line says
        self.agent = Agent(
            settings(Instances=1),
            1,
            clock=lambda: self.loop.time() * 1000.0,
            observe=lambda request, result, attempts: self.results.append(result),
        )
        self.agent.desks = self.upstream
        self.agent.list_changed(api.Scope.CACHED, [Desk(f"d{n}", "x:1", 0, n, 1, 0.0) for n in (0, 1)])
        for server in self.agent.module.node.fleet.servers.values():
            server.tokens = 2.0  # enough for a second choice, whose budget begins at random
        request = Request("a" * 16, 0, "a", 0, "1234", PATIENCE_MS, 0)
        session = self.agent.accept(request, self.caller)
        assert session is not None
        self.session = self.caller.session = session
        self.ended_at: float | None = None  # when no further attempt may begin

    async def until(self, true: Callable[[], bool]) -> None:
        async with asyncio.timeout(1.0):
            while not true():
                await asyncio.sleep(0.0)

    async def attempt(self, number: int) -> None:
        await self.until(lambda: len(self.upstream.attempts) == number)

    # -- events ---------------------------------------------------------------------------------

    @property
    def leg(self) -> int:
        return len(self.upstream.attempts) - 1

    def play(self, event: str) -> None:
        """Let an event of this name happen now."""
        match event:
            case "answer":
                self.upstream.tell(Answer(b""))
            case "release":
                self.upstream.tell(Outcome(api.Status.OK))
            case "full":
                self.upstream.tell(Outcome(api.Status.FULL))
            case "reset":
                self.upstream.tell(Outcome(api.Status.RESET))
            case "caller left":
                self.agent.caller_hung_up(self.session)
            case "shutdown":
                self.agent.fail_unanswered()
            case "time-out":
                self.session.inbox.put_nowait(TimedOut(self.leg))
            case "old time-out":
                self.session.inbox.put_nowait(TimedOut(self.leg - 1))
            case "withdrawn":
                self.session.inbox.put_nowait(api.Cancel(self.session.number, self.leg))
            case "old withdrawn":
                self.session.inbox.put_nowait(api.Cancel(self.session.number, self.leg - 1))
            case "overdue":
                self.session.inbox.put_nowait(Overdue())
            case "bar over":
                self.agent.notify(api.TimerFired(self.session.number))
            case "no server":
                self.agent.list_changed(api.Scope.CACHED, [])
                self.agent.notify(api.TimerFired(self.session.number))
            case _:
                raise ValueError(event)
        if event in ("caller left", "shutdown", "overdue") and self.ended_at is None:
            self.ended_at = self.loop.time()

    def silence(self) -> None:
        """Give the module no alarms from now on."""
        self.agent._alarm = lambda token, at: None  # type: ignore[method-assign]

    async def finish(self) -> None:
        """Let the request come to its end; a call that stands is released by its server."""
        async with asyncio.timeout(PATIENCE_MS / 1000.0 + 1.0):
            while self.agent.tasks:
                await asyncio.sleep(0.05)
                if self.session.stood:
                    self.play("release")
        self.silence()

    def broken(self) -> list[str]:
        """What did not hold, whatever came in which order."""
        agent, attempts = self.agent, self.upstream.attempts
        found = [f"told after it left: {how}" for how in self.caller.after_leaving]
        found += [f"attempt {one.attempt.leg} ended as {one.ends}" for one in attempts if len(one.ends) != 1]
        found += [
            f"attempt {one.attempt.leg} stood and was given up"
            for one in attempts
            if one.answered and "given up" in one.ends
        ]
        late = [one for one in attempts if self.ended_at is not None and one.at > self.ended_at]
        found += [f"attempt {one.attempt.leg} began after the end" for one in late]
        if agent.unanswered or not agent.idle.is_set() or agent.sessions or agent.open_legs.total():
            found.append(
                f"left behind: {agent.unanswered} unanswered, {len(agent.sessions)} lives, {agent.open_legs}"
            )
        if agent.module.calls or any(one.pending for one in agent.module.node.fleet.servers.values()):
            found.append("the module still knows the call")
        return found


def orders(events: tuple[str, ...], possible: Callable[[tuple[str, ...]], bool]) -> Iterator[tuple[str, ...]]:
    """All orders of one to four of these events that are possible."""
    counts = range(1, MOST_EVENTS + 1)
    return filter(possible, itertools.chain.from_iterable(itertools.permutations(events, count) for count in counts))
