"""The agent: lives each request's session, from its taking to its end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from seamlb import api, log
from seamlb.routing.core import Clock, Core
from seamlb.routing.life import AttemptUpdate, CallerLeft, CallSession, Overdue, Shutdown, TimedOut, Verdict, key_of
from seamlb.routing.model import Advisor, Answer, Attempt, Caller, Outcome, Request, Steering

__all__ = ["Agent", "CallSession", "Clock"]

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
        steering: Steering | None = None,
        advisor: Advisor | None = None,
    ) -> None:
        super().__init__(settings, seed, clock, steering, advisor)
        self.max_open = max_open
        self.leaving: Callable[[], bool] = lambda: False  # is the process being emptied, with no time left to wait?
        self.observe = observe
        self.measure: Callable[[str, str, float], None] | None = None  # told each end: class, how, after how many ms
        self.tasks: set[asyncio.Task[None]] = set()
        self.accepted = 0
        self.unanswered = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def accept(self, request: Request, caller: Caller) -> CallSession | None:
        """Take a request; its final answer comes by `caller`. None: answered already, too many open or leaving."""
        self.refresh()
        if self.unanswered >= min(self.max_open, self.filter_chain.max_open) or self.leaving():
            self.counters.throttled[request.class_name] += 1
            if self.measure:
                self.measure(request.class_name, "throttled", 0.0)
            caller.refused(FULL_MS)
            return None
        self.accepted += 1
        self.unanswered += 1
        since = self.clock() if self.measure else 0.0
        session = CallSession(self.accepted, request, caller, since=since, kind=request.class_name)
        self.sessions[session.number] = session
        self.idle.clear()
        self.tasks.add(task := asyncio.get_running_loop().create_task(self._live(session)))
        task.add_done_callback(self.tasks.discard)
        return session

    def fail_unanswered(self) -> None:
        """The process ends: whoever has no answer by now is told that the call failed."""
        for session in list(self.sessions.values()):
            if not session.answered:
                session.inbox.put_nowait(Shutdown())

    def caller_hung_up(self, session: CallSession, cause: int = 16) -> None:
        """A front tells that the caller gave the request up, or released the call."""
        session.left = True
        session.inbox.put_nowait(CallerLeft(cause))

    def has_unprocessed_updates(self) -> bool:
        """Has a server said something that a request's coroutine has yet to act on?"""
        return any(session.inbox.word_from_server() for session in self.sessions.values())

    async def _live(self, session: CallSession) -> None:
        """The session of one request, from top to bottom."""
        result, overdue = "fault", self._overdue(session)
        try:
            request = asked = session.request
            if self.advisor:
                request = session.request = self.advisor.advise(self.clock(), asked, self.listed)
            preferred = request.destination != asked.destination  # a local rule comes before a plan
            grace = request.patience_ms - request.sent_ms_ago
            self.handle(
                api.CallRequest(
                    call=session.number,
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
            decision = await self._decision(session)
            while isinstance(decision, api.SendSetUp):
                result_of = await self._attempt(session, decision)
                if isinstance(result_of, Answer):
                    result = await self._stand(session, result_of)
                    return
                if isinstance(result_of, Outcome):
                    self._ended(session, result_of, final=False)
                    decision = await self._decision(session)
                else:
                    decision = result_of
            result = self._answer(session, decision)
        except asyncio.CancelledError:
            result = "shutdown"  # it stands on: the desk's release is passed on after the restart
            raise
        except Exception as error:
            # A fault in one session must not take others down, nor leave its caller without an answer.
            log.event("fault", where="session", call=session.request.ident, error=repr(error), trace=log.trace(error))
            self._abandon(session)
        finally:
            overdue.cancel()
            self._close(session, result)

    def _overdue(self, session: CallSession) -> asyncio.TimerHandle:
        """Whoever waits for a decision is answered in time, whatever becomes of it."""
        delay = session.request.patience_ms - session.request.sent_ms_ago + self.settings.contract.answer_slack / 2.0
        return asyncio.get_running_loop().call_later(max(0.0, delay) / 1000.0, session.inbox.put_nowait, Overdue())

    async def _decision(self, session: CallSession) -> Verdict | CallerLeft:
        """What the module decides next for a call with no attempt out, unless something ends the call first."""
        news = await session.inbox.decision()
        if not isinstance(news, CallerLeft | Shutdown | Overdue):
            return news
        self.handle(api.HungUp(session.number))
        if isinstance(news, Overdue):
            log.event("fault", where="decision", call=session.request.ident, error="none came in time")
        return news if isinstance(news, CallerLeft) else api.Fail(session.number)

    async def _attempt(self, session: CallSession, out: api.SendSetUp) -> Answer | Outcome | Verdict | CallerLeft:
        """Carry out one attempt to its answer or outcome; an attempt that is left early is called off."""
        assert self.desks is not None and session.attempt is None
        within = out.within or session.request.patience_ms
        # A desk may have gone, and be forgotten, since the module named it: then no connection comes up.
        attempt = Attempt(session.request, session.attempts, self.names.get(out.server, ""), within)
        session.attempt, session.server, session.sent = attempt, out.server, self.clock()
        self.open_legs[attempt.desk] += 1
        session.attempts += 1
        seconds = max(0.0, within) / 1000.0
        timer = asyncio.get_running_loop().call_later(seconds, session.inbox.put_nowait, TimedOut(attempt.leg))
        self.desks.set_up(attempt, lambda leg, what: session.inbox.put_nowait(AttemptUpdate(leg, what)))
        try:
            news = await session.inbox.attempt(attempt.leg)
        finally:
            timer.cancel()
        match news:
            case AttemptUpdate(_, what):
                return what
            case TimedOut():
                self.desks.cancel(attempt)
                return Outcome(api.Status.TIMEOUT)
            case api.Cancel():
                self.desks.cancel(attempt)
                return Outcome(api.Status.CANCELLED)
            case CallerLeft() | Shutdown():
                self.desks.cancel(attempt)
                self.handle(api.HungUp(session.number))
                self._ended(session, Outcome(api.Status.CANCELLED), final=True)
                return news if isinstance(news, CallerLeft) else api.Fail(session.number)

    async def _stand(self, session: CallSession, answer: Answer) -> str:
        """The call stands: pass the answer on, then wait for the release from either side."""
        assert self.desks is not None and session.attempt is not None
        told = self._answer(session, answer)
        self.filter_chain.attempt_ended(self.clock() / 1000.0, session.number, api.Status.OK)
        self.handle(api.Answered(session.number, session.attempt.leg, session.server, self._delay(session)))
        if told == "stands":
            match await session.inbox.release(session.attempt.leg):
                case AttemptUpdate(_, Outcome() as outcome):
                    if not session.left:  # else it has released the call too
                        session.caller.released(outcome.cause)
                    self._ended(session, outcome, final=True)
                    return "stood" if outcome.status == api.Status.OK else "cut"
                case CallerLeft(cause):
                    self.desks.release(session.attempt, cause)
                    self._ended(session, Outcome(api.Status.CANCELLED), final=True)
                    return "released"
        self.desks.release(session.attempt, 16)
        self._ended(session, Outcome(api.Status.CANCELLED), final=True)
        return told

    def _answer(self, session: CallSession, final: Answer | Verdict | CallerLeft) -> str:
        """The one place that gives a caller its final answer; called once in a session."""
        session.answered = True
        self.unanswered -= 1
        if not self.unanswered:
            self.idle.set()
        if self.measure:
            how = {CallerLeft: "left", Answer: "fulfilled", api.Refuse: "throttled"}.get(type(final), "faulted")
            self.measure(session.kind, how, self.clock() - session.since)
        match final:
            case CallerLeft():
                return "left"  # it is owed none
            case Answer(description):
                session.stood = True
                if session.left:  # its news is pending still: the call is released at once
                    return "left"
                if not session.caller.established(description):
                    return "untold"
                self.counters.fulfilled[session.kind] += 1
                return "stands"
            case _ if session.left:
                return "left"
            case api.Refuse(_, backoff):
                self.counters.throttled[session.kind] += 1
                session.caller.refused(backoff)
                return "refused"
            case _:
                self.counters.faulted[session.kind] += 1
                session.caller.failed()
                return "failed"

    def _ended(self, session: CallSession, result: Outcome, final: bool) -> None:
        """Tell the module how the attempt in the slot ended, and empty the slot."""
        attempt = self._vacate(session)
        if attempt is None:
            return
        self.filter_chain.attempt_ended(self.clock() / 1000.0, session.number, result.status)
        self._reported(attempt.desk, result.report)
        delay, note, report = self._delay(session), result.note, result.report
        self.handle(api.Ended(session.number, attempt.leg, session.server, result.status, final, delay, note, report))
        self._forget(attempt.desk)

    def _delay(self, session: CallSession) -> float:
        return self.clock() - session.sent

    def _abandon(self, session: CallSession) -> None:
        if session.attempt and self.desks:
            (self.desks.release(session.attempt, 41) if session.stood else self.desks.cancel(session.attempt))
        if not session.answered:
            self._answer(session, api.Fail(session.number))

    def _close(self, session: CallSession, result: str) -> None:
        del self.sessions[session.number]
        self.filter_chain.attempt_ended(self.clock() / 1000.0, session.number, api.Status.CANCELLED)  # never started
        if left := self._vacate(session):
            self._forget(left.desk)
        session.on_closed()
        request = session.request
        log.event("call_end", call=request.ident, kind=request.class_name, result=result, attempts=session.attempts)
        if self.advisor:
            self.advisor.observe(request, result, session.attempts)
        if self.observe:
            self.observe(request, result, session.attempts)
