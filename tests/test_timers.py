"""Timers and clocks that don't agree: no call waits for ever, and each is answered in time."""

import asyncio
import time
from collections.abc import Callable

from seamlb import api
from seamlb.emulator import clock as virtual
from seamlb.routing.agent import Agent
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Desk, Outcome, Request
from tests.loopback import DaemonTestCase, ScriptedDesk, invite, never_answer
from tests.support import settings


class Servers:
    """One that breaks the first attempt and answers the second."""

    def __init__(self) -> None:
        self.attempts: list[float] = []

    def set_up(self, attempt: Attempt, heard: AttemptCallback) -> None:
        loop = asyncio.get_running_loop()
        self.attempts.append(loop.time())
        first = len(self.attempts) == 1
        loop.call_later(0.01, heard, attempt.leg, Outcome(api.Status.RESET) if first else Answer(b""))

    def desk_changed(self, desk: Desk) -> None: ...
    def cancel(self, attempt: Attempt) -> None: ...
    def release(self, attempt: Attempt, cause: int) -> None: ...
    def close_idle(self, desk: str) -> None: ...


class Caller:
    def __init__(self) -> None:
        self.told: list[tuple[str, float]] = []

    def _tell(self, how: str) -> None:
        self.told.append((how, asyncio.get_running_loop().time()))

    def established(self, description: bytes) -> bool:
        self._tell("stands")
        return True

    def refused(self, back_off_ms: float) -> None:
        self._tell("refused")

    def failed(self) -> None:
        self._tell("failed")

    def released(self, cause: int) -> None: ...


def play(now: Callable[[], float], deaf: bool = False) -> tuple[list[tuple[str, float]], list[float]]:
    """One call with a patience of 2 s from the clock's start on; `deaf`: the module loses its alarms."""

    async def story() -> tuple[list[tuple[str, float]], list[float]]:
        servers, caller = Servers(), Caller()
        agent = Agent(settings(Instances=1), 1, clock=now)
        agent.desks = servers
        agent.list_changed(api.Scope.CACHED, [Desk(f"d{place}", "x:1", 0, place, 1, 0.0) for place in (0, 1)])
        for core in agent.module.node.fleet.servers.values():
            core.tokens = 2.0  # enough for a second choice, whose budget begins at random
        if deaf:
            agent._alarm = lambda token, at: None  # type: ignore[method-assign]
        agent.accept(
            Request(
                ident="a" * 16,
                call_class=0,
                class_name="a",
                tenant=0,
                tenant_name="",
                number="1234",
                patience_ms=2000.0,
                destination=0,
                slots=1.0,
                via=-1,
                cut_before=False,
                description=b"",
            ),
            caller,
        )
        await asyncio.sleep(3.0)
        await asyncio.gather(*(asyncio.wait([task], timeout=0.1) for task in agent.tasks))
        for task in agent.tasks:
            task.cancel()
        return caller.told, servers.attempts

    return virtual.run(story())


def test_an_alarm_that_ends_before_its_time_by_the_modules_clock_is_not_the_last() -> None:
    (told,), attempts = play(lambda: asyncio.get_running_loop().time() * 999.0)  # a thousandth slower than timers
    assert told[0] == "stands"
    assert len(attempts) == 2 and attempts[1] - attempts[0] >= 0.3


def test_a_call_on_which_nothing_is_decided_fails_before_its_caller_gives_up() -> None:
    (told,), _ = play(lambda: asyncio.get_running_loop().time() * 1000.0, deaf=True)
    assert told[0] == "failed" and 2.0 <= told[1] <= 2.02  # AnswerSlack after it


class Stalls(DaemonTestCase):
    async def test_a_refusal_is_not_turned_into_a_failure_where_this_process_stood_still(self) -> None:
        # Both timers of the call are due in one turn of the loop, and the refusal is behind the second of them.
        desk = ScriptedDesk(never_answer)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite(timer=50))
        await desk.until("INVITE")
        time.sleep(0.2)
        self.assertEqual((await caller.next()).status, 503)
        self.assertEqual(self.events("fault"), [])
