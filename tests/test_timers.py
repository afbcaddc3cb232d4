"""Timers and clocks that disagree: no call waits forever, and each is answered in time."""

import asyncio
import time
from collections.abc import Callable

from seamlb import api
from seamlb.emulator import clock as virtual
from seamlb.routing.agent import Agent
from seamlb.routing.model import Answer, Attempt, AttemptCallback, Desk, Outcome, Request
from tests.loopback import DaemonTestCase, ScriptedDesk, invite, never_answer
from tests.support import settings


class ResettingServers:
    """Two servers: the first attempt is reset, the second answered."""

    def __init__(self) -> None:
        self.attempts: list[float] = []

    def set_up(self, attempt: Attempt, on_update: AttemptCallback) -> None:
        loop = asyncio.get_running_loop()
        self.attempts.append(loop.time())
        is_first = len(self.attempts) == 1
        loop.call_later(0.01, on_update, attempt.leg, Outcome(api.Status.RESET) if is_first else Answer(b""))

    def desk_changed(self, desk: Desk) -> None: ...
    def cancel(self, attempt: Attempt) -> None: ...
    def release(self, attempt: Attempt, cause: int) -> None: ...
    def close_idle(self, desk: str) -> None: ...


class RecordingCaller:
    def __init__(self) -> None:
        self.answers: list[tuple[str, float]] = []

    def _record(self, answer: str) -> None:
        self.answers.append((answer, asyncio.get_running_loop().time()))

    def established(self, description: bytes) -> bool:
        self._record("established")
        return True

    def refused(self, back_off_ms: float) -> None:
        self._record("refused")

    def failed(self) -> None:
        self._record("failed")

    def released(self, cause: int) -> None: ...


def run_call(now: Callable[[], float], without_timers: bool = False) -> tuple[list[tuple[str, float]], list[float]]:
    """Run one call with a patience of 2 s; returns the answers with their times (s), and the times of attempts.

    `without_timers` drops the module's timers.
    """

    async def run() -> tuple[list[tuple[str, float]], list[float]]:
        servers, caller = ResettingServers(), RecordingCaller()
        agent = Agent(settings(Instances=1), 1, clock=now)
        agent.desks = servers
        agent.list_changed(api.Scope.CACHED, [Desk(f"d{number}", "x:1", 0, number, 1, 0.0) for number in (0, 1)])
        for server in agent.module.node.fleet.servers.values():
            server.tokens = 2.0  # enough for a second choice; the initial budget is random
        if without_timers:
            agent._schedule_timer = lambda token, at: None  # type: ignore[method-assign]
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
        return caller.answers, servers.attempts

    return virtual.run(run())


def test_a_loop_timer_that_fires_early_by_the_modules_clock_is_set_again() -> None:
    (answers,), attempts = run_call(lambda: asyncio.get_running_loop().time() * 999.0)  # 0.1 % slower than the loop
    assert answers[0] == "established"
    assert len(attempts) == 2 and attempts[1] - attempts[0] >= 0.3


def test_a_call_without_a_decision_fails_before_its_caller_gives_up() -> None:
    (answers,), _ = run_call(lambda: asyncio.get_running_loop().time() * 1000.0, without_timers=True)
    assert answers[0] == "failed" and 2.0 <= answers[1] <= 2.02  # within AnswerSlack


class StalledProcess(DaemonTestCase):
    async def test_a_refusal_does_not_become_a_failure_after_a_stall_of_the_process(self) -> None:
        # Both timers of the call are due in the same loop iteration, and the refusal is queued behind the second one.
        desk = ScriptedDesk(never_answer)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite(timer=50))
        await desk.until("INVITE")
        time.sleep(0.2)
        self.assertEqual((await caller.next()).status, 503)
        self.assertEqual(self.events("fault"), [])
