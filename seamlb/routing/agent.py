"""The agent: lives each request's life, from its taking to its end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from seamlb import api, log
from seamlb.routing.core import Clock, Core
from seamlb.routing.life import CallerLeft, Heard, Life, Overdue, Shutdown, TimedOut, Verdict, key_of
from seamlb.routing.model import Advisor, Answer, Attempt, Caller, Guide, Outcome, Request

__all__ = ["Agent", "Clock", "Life"]

FULL_MS = 1000.0  # when to come back to an agent that holds all the calls it may


class Agent(Core):
    """One call agent; fronts give it requests, desk clients outcomes, discovery the list."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        max_open: int = 20000,
        clock: Callable[[], float] | None = None,
        observe: Callable[[Request, str, int], None] | None = None,
        guide: Guide | None = None,
        advisor: Advisor | None = None,
    ) -> None:
        super().__init__(settings, seed, clock, guide, advisor)
        self.max_open = max_open
        self.leaving: Callable[[], bool] = lambda: False  # is the process being emptied, with no time left to wait?
        self.observe = observe
        self.measure: Callable[[str, str, float], None] | None = None  # told each end: class, how, after how many ms
        self.tasks: set[asyncio.Task[None]] = set()
        self.taken = 0
        self.unanswered = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def take(self, request: Request, caller: Caller) -> Life | None:
        """Take a request; its final answer comes by `caller`. None: answered already, too many open or leaving."""
        self.look()
        if self.unanswered >= min(self.max_open, self.seam.open) or self.leaving():
            self.counters.throttled[request.class_name] += 1
            if self.measure:
                self.measure(request.class_name, "throttled", 0.0)
            caller.refused(FULL_MS)
            return None
        self.taken += 1
        self.unanswered += 1
        since = self.clock() if self.measure else 0.0
        life = Life(self.taken, request, caller, since=since, kind=request.class_name)
        self.lives[life.number] = life
        self.idle.clear()
        self.tasks.add(task := asyncio.get_running_loop().create_task(self._live(life)))
        task.add_done_callback(self.tasks.discard)
        return life

    def give_up(self) -> None:
        """The process ends: whoever has no answer by now is told that the call failed."""
        for life in list(self.lives.values()):
            if not life.answered:
                life.news.put_nowait(Shutdown())

    def caller_left(self, life: Life, cause: int = 16) -> None:
        """A front tells that the caller gave the request up, or released the call."""
        life.left = True
        life.news.put_nowait(CallerLeft(cause))

    def has_untold(self) -> bool:
        """Has a server said something that a request's coroutine has yet to act on?"""
        return any(life.news.word_from_server() for life in self.lives.values())

    async def _live(self, life: Life) -> None:
        """The life of one request, from top to bottom."""
        result, overdue = "fault", self._overdue(life)
        try:
            request = asked = life.request
            if self.advisor:
                request = life.request = self.advisor.advise(self.clock(), asked, self.listed)
            preferred = request.destination != asked.destination  # a local rule comes before a plan
            grace = request.patience_ms - request.sent_ms_ago
            self.feed(
                api.CallRequest(
                    call=life.number,
                    call_class=request.call_class,
                    tenant=request.tenant,
                    time_left=grace,
                    destination=request.destination if preferred else self._choice(request),
                    slots=request.slots,
                    cut_before=request.cut_before,
                    via=request.via,
                    number_key=key_of(request.number),
                )
            )
            decision = await self._decision(life)
            while isinstance(decision, api.SendSetUp):
                result_of = await self._attempt(life, decision)
                if isinstance(result_of, Answer):
                    result = await self._stand(life, result_of)
                    return
                if isinstance(result_of, Outcome):
                    self._ended(life, result_of, final=False)
                    decision = await self._decision(life)
                else:
                    decision = result_of
            result = self._answer(life, decision)
        except asyncio.CancelledError:
            result = "shutdown"  # it stands on: the desk's release is passed on after the restart
            raise
        except Exception as error:
            # A fault in one life must not take others down, nor leave its caller without an answer.
            log.event("fault", where="life", call=life.request.ident, error=repr(error), trace=log.trace(error))
            self._abandon(life)
        finally:
            overdue.cancel()
            self._close(life, result)

    def _overdue(self, life: Life) -> asyncio.TimerHandle:
        """Whoever waits for a decision is answered in time, whatever becomes of it."""
        patience = life.request.patience_ms - life.request.sent_ms_ago + self.settings.contract.answer_slack / 2.0
        return asyncio.get_running_loop().call_later(max(0.0, patience) / 1000.0, life.news.put_nowait, Overdue())

    async def _decision(self, life: Life) -> Verdict | CallerLeft:
        """What the module decides next for a call with no attempt out, unless something ends the call first."""
        news = await life.news.decision()
        if not isinstance(news, CallerLeft | Shutdown | Overdue):
            return news
        self.feed(api.HungUp(life.number))
        if isinstance(news, Overdue):
            log.event("fault", where="decision", call=life.request.ident, error="none came in time")
        return news if isinstance(news, CallerLeft) else api.Fail(life.number)

    async def _attempt(self, life: Life, out: api.SendSetUp) -> Answer | Outcome | Verdict | CallerLeft:
        """Carry out one attempt to its answer or outcome; an attempt that is left early is called off."""
        assert self.desks is not None and life.attempt is None
        within = out.within or life.request.patience_ms
        # A desk may have gone, and be forgotten, since the module named it: then no connection comes up.
        attempt = Attempt(life.request, life.attempts, self.names.get(out.server, ""), within)
        life.attempt, life.server, life.sent = attempt, out.server, self.clock()
        self.held[attempt.desk] += 1
        life.attempts += 1
        seconds = max(0.0, within) / 1000.0
        timer = asyncio.get_running_loop().call_later(seconds, life.news.put_nowait, TimedOut(attempt.leg))
        self.desks.set_up(attempt, lambda leg, what: life.news.put_nowait(Heard(leg, what)))
        try:
            news = await life.news.attempt(attempt.leg)
        finally:
            timer.cancel()
        match news:
            case Heard(_, what):
                return what
            case TimedOut():
                self.desks.give_up(attempt)
                return Outcome(api.Status.TIMEOUT)
            case api.Cancel():
                self.desks.give_up(attempt)
                return Outcome(api.Status.CANCELLED)
            case CallerLeft() | Shutdown():
                self.desks.give_up(attempt)
                self.feed(api.HungUp(life.number))
                self._ended(life, Outcome(api.Status.CANCELLED), final=True)
                return news if isinstance(news, CallerLeft) else api.Fail(life.number)

    async def _stand(self, life: Life, answer: Answer) -> str:
        """The call stands: pass the answer on, then wait for the release from either side."""
        assert self.desks is not None and life.attempt is not None
        told = self._answer(life, answer)
        self.seam.ended(self.clock() / 1000.0, life.number, api.Status.OK)
        self.feed(api.Answered(life.number, life.attempt.leg, life.server, self._delay(life)))
        if told == "stands":
            match await life.news.release(life.attempt.leg):
                case Heard(_, Outcome() as outcome):
                    if not life.left:  # else it has released the call too
                        life.caller.released(outcome.cause)
                    self._ended(life, outcome, final=True)
                    return "stood" if outcome.status == api.Status.OK else "cut"
                case CallerLeft(cause):
                    self.desks.release(life.attempt, cause)
                    self._ended(life, Outcome(api.Status.CANCELLED), final=True)
                    return "released"
        self.desks.release(life.attempt, 16)
        self._ended(life, Outcome(api.Status.CANCELLED), final=True)
        return told

    def _answer(self, life: Life, final: Answer | Verdict | CallerLeft) -> str:
        """The one place that gives a caller its final answer; called once in a life."""
        life.answered = True
        self.unanswered -= 1
        if not self.unanswered:
            self.idle.set()
        if self.measure:
            how = {CallerLeft: "left", Answer: "fulfilled", api.Refuse: "throttled"}.get(type(final), "faulted")
            self.measure(life.kind, how, self.clock() - life.since)
        match final:
            case CallerLeft():
                return "left"  # it is owed none
            case Answer(description):
                life.stood = True
                if life.left:  # its news is pending still: the call is released at once
                    return "left"
                if not life.caller.stands(description):
                    return "untold"
                self.counters.fulfilled[life.kind] += 1
                return "stands"
            case _ if life.left:
                return "left"
            case api.Refuse(_, backoff):
                self.counters.throttled[life.kind] += 1
                life.caller.refused(backoff)
                return "refused"
            case _:
                self.counters.faulted[life.kind] += 1
                life.caller.failed()
                return "failed"

    def _ended(self, life: Life, outcome: Outcome, final: bool) -> None:
        """Tell the module how the attempt in the slot ended, and empty the slot."""
        attempt = self._vacate(life)
        if attempt is None:
            return
        self.seam.ended(self.clock() / 1000.0, life.number, outcome.status)
        self._reported(attempt.desk, outcome.report)
        delay, note, report = self._delay(life), outcome.note, outcome.report
        self.feed(api.Ended(life.number, attempt.leg, life.server, outcome.status, final, delay, note, report))
        self._forget(attempt.desk)

    def _delay(self, life: Life) -> float:
        return self.clock() - life.sent

    def _abandon(self, life: Life) -> None:
        if life.attempt and self.desks:
            (self.desks.release(life.attempt, 41) if life.stood else self.desks.give_up(life.attempt))
        if not life.answered:
            self._answer(life, api.Fail(life.number))

    def _close(self, life: Life, result: str) -> None:
        del self.lives[life.number]
        self.seam.ended(self.clock() / 1000.0, life.number, api.Status.CANCELLED)  # decided on, and never began
        if left := self._vacate(life):
            self._forget(left.desk)
        life.closed()
        request = life.request
        log.event("call_end", call=request.ident, kind=request.class_name, result=result, attempts=life.attempts)
        if self.advisor:
            self.advisor.observe(request, result, life.attempts)
        if self.observe:
            self.observe(request, result, life.attempts)
