"""The agent: runs the session of each request, from acceptance to its end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from seamlb import api, log
from seamlb.memory import MemoryBudget
from seamlb.routing.call import (
    Action,
    AttemptUpdate,
    CallerGone,
    CallSession,
    Overdue,
    Shutdown,
    TimedOut,
    call_bytes,
    hash_key,
)
from seamlb.routing.core import Clock, Core
from seamlb.routing.model import Advisor, Answer, Attempt, Caller, Outcome, Request, Steering

__all__ = ["Agent", "CallSession", "Clock"]

FULL_BACKOFF_MS = 1000.0  # advised to callers while the number of open calls is at its limit


class Agent(Core):
    """One call agent: receives requests from fronts, outcomes from desk clients and the list from discovery."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        max_open: int = 20000,
        clock: Callable[[], float] | None = None,
        observe: Callable[[Request, str, int], None] | None = None,
        steering: Steering | None = None,
        advisor: Advisor | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        super().__init__(settings, seed, clock, steering, advisor)
        self.memory = memory or MemoryBudget()
        self.max_open = max_open
        self.rejects_requests: Callable[[], bool] = lambda: False  # refuses new requests late in a quiesce
        self.observe = observe
        self.measure: Callable[[str, str, float], None] | None = None  # called at each end: class, outcome, ms
        self.tasks: set[asyncio.Task[None]] = set()
        self.accepted = self.unanswered = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def accept(self, request: Request, caller: Caller) -> CallSession | None:
        """Accept a request and answer it through `caller`; None if refused: too many, no memory, or quiescing."""
        self.refresh()
        is_full = self.unanswered >= min(self.max_open, self.filter_chain.max_open)
        if is_full or self.rejects_requests() or not self.memory.admits(call_bytes(request)):
            self.counters.throttled[request.class_name] += 1
            if self.measure:
                self.measure(request.class_name, "throttled", 0.0)
            caller.refused(FULL_BACKOFF_MS)
            return None
        self.accepted += 1
        self.unanswered += 1
        session = CallSession(self.accepted, request, caller, class_name=request.class_name)
        session.accepted_at = self.clock() if self.measure else 0.0
        self.sessions[session.number] = session
        self.memory.charge(session.held_bytes)
        self.idle.clear()
        self.tasks.add(task := asyncio.get_running_loop().create_task(self._run_session(session)))
        task.add_done_callback(self.tasks.discard)
        return session

    def fail_unanswered(self) -> None:
        """The process ends: fail all requests that have no final answer."""
        for session in list(self.sessions.values()):
            if not session.answered:
                session.inbox.put_nowait(Shutdown())

    def caller_hung_up(self, session: CallSession, cause: int = 16) -> None:
        """The caller cancelled the request or released the call; called by a front."""
        session.caller_gone = True
        session.inbox.put_nowait(CallerGone(cause))

    async def _run_session(self, session: CallSession) -> None:
        """Run the session of one request from its first decision to its end."""
        result, answer_timer = "fault", session.start_answer_timer(self.settings.contract.answer_slack)
        try:
            request = original = session.request
            if self.advisor:
                request = session.request = self.advisor.advise(self.clock(), original, self.listed)
            overridden = request.destination != original.destination  # local rules take precedence over a plan
            self.handle(
                api.CallRequest(
                    call=session.number,
                    call_class=request.call_class,
                    tenant=request.tenant,
                    time_left=request.patience_ms - request.sent_ms_ago,
                    destination=request.destination if overridden else self._first_choice(request),
                    slots=request.slots,
                    cut_before=request.cut_before,
                    via=request.via,
                    number_key=hash_key(request.number),
                )
            )
            action = await self._next_action(session)
            while isinstance(action, api.SendSetUp):
                outcome = await self._run_attempt(session, action)
                if isinstance(outcome, Answer):
                    result = await self._run_established_call(session, outcome)
                    return
                if isinstance(outcome, Outcome):
                    self._end_attempt(session, outcome, final=False)
                    action = await self._next_action(session)
                else:
                    action = outcome
            result = self._send_final_answer(session, action)
        except asyncio.CancelledError:
            result = "shutdown"  # an established call continues; its release is relayed after the restart
            raise
        except Exception as error:
            # An error in one session must neither affect others nor leave its caller without an answer.
            log.event("fault", where="session", call=session.request.ident, error=repr(error), trace=log.trace(error))
            self._clean_up_after_fault(session)
        finally:
            answer_timer.cancel()
            self._close_session(session, result)

    async def _next_action(self, session: CallSession) -> Action | CallerGone:
        """The module's next decision on a call without a current attempt, unless the call ends first."""
        message = await session.inbox.decision()
        if isinstance(message, api.SendSetUp) and session.has_left():
            message = CallerGone()
        if not isinstance(message, CallerGone | Shutdown | Overdue):
            return message
        self.handle(api.HungUp(session.number))
        if isinstance(message, Overdue):
            log.event("fault", where="decision", call=session.request.ident, error="no decision in time")
        return message if isinstance(message, CallerGone) else api.Fail(session.number)

    async def _run_attempt(self, session: CallSession, out: api.SendSetUp) -> Answer | Outcome | Action | CallerGone:
        """Run one attempt until its answer or outcome; cancels it if the call ends earlier."""
        assert self.desks is not None and session.attempt is None
        timeout_ms = out.within or session.request.patience_ms
        # The desk may have been removed since the module chose it: connecting to the empty name then fails.
        number, desk = session.attempts, self.desk_ids.get(out.server, "")
        attempt = Attempt(session.request, number, desk, timeout_ms, session.start_leg(desk))
        session.attempt, session.server, session.sent_at = attempt, out.server, self.clock()
        self.open_legs[attempt.desk] += 1
        timer = session.start_timer(timeout_ms, TimedOut(attempt.leg))
        self.desks.set_up(attempt, lambda leg, result: session.inbox.put_nowait(AttemptUpdate(leg, result)))
        try:
            message = await session.inbox.attempt(attempt.leg)
        finally:
            timer.cancel()
        match message:
            case AttemptUpdate(_, result):
                return result
            case TimedOut() | api.Cancel():
                self.desks.cancel(attempt)
                return Outcome(api.Status.TIMEOUT if isinstance(message, TimedOut) else api.Status.CANCELLED)
            case CallerGone() | Shutdown():
                self.desks.cancel(attempt)
                self.handle(api.HungUp(session.number))
                self._end_attempt(session, Outcome(api.Status.CANCELLED), final=True)
                return message if isinstance(message, CallerGone) else api.Fail(session.number)

    async def _run_established_call(self, session: CallSession, answer: Answer) -> str:
        """Pass on the answer that establishes the call, then wait for its release by either side."""
        assert self.desks is not None and session.attempt is not None
        result = self._send_final_answer(session, answer)
        self.filter_chain.attempt_ended(self.clock() / 1000.0, session.number, api.Status.OK)
        self.handle(api.Answered(session.number, session.attempt.leg, session.server, self.clock() - session.sent_at))
        if result == "stands":
            match await session.inbox.release(session.attempt.leg):
                case AttemptUpdate(_, Outcome() as outcome):
                    if not session.caller_gone:  # otherwise both sides have released the call
                        session.caller.released(outcome.cause)
                    self._end_attempt(session, outcome, final=True)
                    return "stood" if outcome.status == api.Status.OK else "cut"
                case CallerGone(cause):
                    self.desks.release(session.attempt, cause)
                    self._end_attempt(session, Outcome(api.Status.CANCELLED), final=True)
                    return "released"
        self.desks.release(session.attempt, 16)
        self._end_attempt(session, Outcome(api.Status.CANCELLED), final=True)
        return result

    def _send_final_answer(self, session: CallSession, final: Answer | Action | CallerGone) -> str:
        """Send the final answer to the caller: the only place that does, called once per session."""
        session.answered = True
        self.unanswered -= 1
        if not self.unanswered:
            self.idle.set()
        if self.measure:
            outcome = {CallerGone: "left", Answer: "fulfilled", api.Refuse: "throttled"}.get(type(final), "faulted")
            self.measure(session.class_name, outcome, self.clock() - session.accepted_at)
        match final:
            case CallerGone():
                return "left"  # needs no answer
            case Answer(description):
                session.established = True
                if session.caller_gone:  # the CallerGone message is still pending: the call is released at once
                    return "left"
                if not session.caller.established(description):
                    return "untold"
                self.counters.fulfilled[session.class_name] += 1
                return "stands"
            case _ if session.caller_gone:
                return "left"
            case api.Refuse(_, backoff):
                self.counters.throttled[session.class_name] += 1
                session.caller.refused(backoff)
                return "refused"
            case _:
                self.counters.faulted[session.class_name] += 1
                session.caller.failed()
                return "failed"

    def _end_attempt(self, session: CallSession, result: Outcome, final: bool) -> None:
        """Report the outcome of the current attempt to the module, and clear the attempt."""
        attempt = self._clear_attempt(session)
        if attempt is None:
            return
        self.filter_chain.attempt_ended(self.clock() / 1000.0, session.number, result.status)
        self._forward_idle_agents(attempt.desk, result.report)
        attempt.record.result = result.status.name.lower()
        delay, note, report = self.clock() - session.sent_at, result.note, result.report
        self.handle(api.Ended(session.number, attempt.leg, session.server, result.status, final, delay, note, report))
        self._forget_if_unused(attempt.desk)

    def _clean_up_after_fault(self, session: CallSession) -> None:
        if session.attempt and self.desks:
            (self.desks.release(session.attempt, 41) if session.established else self.desks.cancel(session.attempt))
        if not session.answered:
            self._send_final_answer(session, api.Fail(session.number))

    def _close_session(self, session: CallSession, result: str) -> None:
        del self.sessions[session.number]
        self.memory.charge(-session.held_bytes)
        self.filter_chain.attempt_ended(self.clock() / 1000.0, session.number, api.Status.CANCELLED)  # if not begun
        if attempt := self._clear_attempt(session):
            self._forget_if_unused(attempt.desk)
        session.on_closed()
        log.event("call_end", result=result, **session.log_fields())
        if self.advisor:
            self.advisor.observe(session.request, result, session.attempts)
        if self.observe:
            self.observe(session.request, result, session.attempts)
