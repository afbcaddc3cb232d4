"""One request on the virtual clock: brought to a place where it waits, then given several events in one turn."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from seamlb import api
from seamlb.routing.agent import Agent
from seamlb.routing.life import Life, Overdue, TimedOut
from seamlb.routing.model import Answer, Attempt, Desk, Heard, Outcome, Request
from tests.support import settings

PATIENCE_MS = 3000.0
BAR = 0.3  # seconds
MOST_EVENTS = 4


@dataclass
class Seen:
    """One attempt as the servers saw it."""

    attempt: Attempt
    heard: Heard
    at: float
    answered: bool = False
    ends: list[str] = field(default_factory=list)  # "told", "given up" or "released": one of them, once


class Upstream:
    """Two servers: the test tells what the first attempts come to, later ones stand for a moment."""

    def __init__(self, by_hand: int) -> None:
        self.by_hand = by_hand
        self.attempts: list[Seen] = []

    def set_up(self, attempt: Attempt, heard: Heard) -> None:
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

    def give_up(self, attempt: Attempt) -> None:
        self._end(attempt, "given up")

    def release(self, attempt: Attempt, cause: int) -> None:
        self._end(attempt, "released")

    def _end(self, attempt: Attempt, how: str) -> None:
        (seen,) = (one for one in self.attempts if one.attempt is attempt)
        if "told" not in seen.ends:  # an attempt that is over already is no server client's concern
            seen.ends.append(how)

    def listed(self, desk: Desk) -> None: ...
    def free(self, desk: str) -> None: ...


class Caller:
    def __init__(self) -> None:
        self.told: list[str] = []
        self.after_leaving: list[str] = []
        self.life: Life | None = None

    def _tell(self, how: str) -> None:
        (self.after_leaving if self.life and self.life.left else self.told).append(how)

    def stands(self, description: bytes) -> bool:
        self._tell("stands")
        return True

    def refused(self, back_off_ms: float) -> None:
        self._tell("refused")

    def failed(self) -> None:
        self._tell("failed")

    def released(self, cause: int) -> None:
        if self.life and self.life.left:
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
        life = self.agent.take(request, self.caller)
        assert life is not None
        self.life = self.caller.life = life
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
                self.agent.caller_left(self.life)
            case "shutdown":
                self.agent.give_up()
            case "time-out":
                self.life.news.put_nowait(TimedOut(self.leg))
            case "old time-out":
                self.life.news.put_nowait(TimedOut(self.leg - 1))
            case "withdrawn":
                self.life.news.put_nowait(api.Cancel(self.life.number, self.leg))
            case "old withdrawn":
                self.life.news.put_nowait(api.Cancel(self.life.number, self.leg - 1))
            case "overdue":
                self.life.news.put_nowait(Overdue())
            case "bar over":
                self.agent.tell(api.TimerFired(self.life.number))
            case "no server":
                self.agent.list_changed(api.Scope.CACHED, [])
                self.agent.tell(api.TimerFired(self.life.number))
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
                if self.life.stood:
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
        if agent.unanswered or not agent.idle.is_set() or agent.lives or agent.held.total():
            found.append(f"left behind: {agent.unanswered} unanswered, {len(agent.lives)} lives, {agent.held}")
        if agent.module.calls or any(one.pending for one in agent.module.node.fleet.servers.values()):
            found.append("the module still knows the call")
        return found


def orders(events: tuple[str, ...], possible: Callable[[tuple[str, ...]], bool]) -> Iterator[tuple[str, ...]]:
    """All orders of one to four of these events that are possible."""
    counts = range(1, MOST_EVENTS + 1)
    return filter(possible, itertools.chain.from_iterable(itertools.permutations(events, count) for count in counts))
