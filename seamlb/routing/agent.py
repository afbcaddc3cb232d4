"""The agent: feeds the decision module, carries out its actions, lives each request's life."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from typing import Any

from seamlb import api, log
from seamlb.control import Controller
from seamlb.routing.counters import Counters
from seamlb.routing.model import (
    Advisor,
    Answer,
    Attempt,
    Caller,
    Desk,
    DeskClient,
    Guide,
    Outcome,
    Peers,
    Request,
)
from seamlb.routing.seam import Seam

FULL_MS = 1000.0  # when to come back to an agent that holds all the calls it may


def key_of(number: str) -> int:
    """The number called as the module sees it; any text a caller may send has one."""
    return int.from_bytes(blake2b(number.encode("utf-8", "surrogateescape"), digest_size=8).digest())


class Clock:
    """Unix milliseconds that never go back: the wall clock at the start, then the monotonic one."""

    def __init__(self) -> None:
        self.offset = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        return self.offset + time.monotonic() * 1000.0


@dataclass(slots=True, frozen=True)
class CallerLeft:
    """The caller gave the request up, or released the call; told by a front."""

    cause: int = 16


@dataclass(slots=True, frozen=True)
class TimedOut:
    """An attempt's time is over."""

    leg: int


@dataclass(slots=True, frozen=True)
class Heard:
    """What a desk client told of an attempt."""

    leg: int
    what: Answer | Outcome


Verdict = api.CallOut | api.Deny | api.ReportFailure | api.Withdraw
News = Verdict | CallerLeft | TimedOut | Heard


@dataclass(slots=True)
class Life:
    """One request from its taking to its end; owned by its coroutine, told news by the others."""

    number: int  # the module's name for it
    request: Request
    caller: Caller
    news: asyncio.Queue[News] = field(default_factory=asyncio.Queue)
    attempt: Attempt | None = None  # the one slot: never two attempts at once (rule 1)
    attempts: int = 0
    server: int = -1  # the module's number for the attempt's desk
    sent: float = 0.0  # clock time of the attempt
    answered: bool = False
    stood: bool = False
    since: float = 0.0  # clock time of its taking; kept only where somebody asks how long answers take
    kind: str = ""  # the class that the caller named; local rules may give the request another one
    closed: Callable[[], object] = lambda: None  # tells the front that the life is over


class Agent:
    """One call agent; fronts give it requests, desk clients outcomes, membership the list."""

    def __init__(
        self, settings: api.Settings, seed: int, max_open: int = 20000, clock: Callable[[], float] | None = None,
        observe: Callable[[Request, str, int], None] | None = None, guide: Guide | None = None,
        advisor: Advisor | None = None,
    ) -> None:
        self.settings = settings
        self.advisor = advisor
        self.seam = Seam()
        self.instances = 0  # that share fleet-wide limits; 0: as many as the settings name
        self.module = Controller(self._for_module(settings), seed)
        self.clock = clock or Clock().now
        self.max_open = max_open
        self.leaving: Callable[[], bool] = lambda: False  # is the process being emptied, with no time left to wait?
        self.observe = observe
        self.measure: Callable[[str, str, float], None] | None = None  # told each end: class, how, after how many ms
        self.guide = guide
        self.desks: DeskClient | None = None
        self.peers: Peers | None = None
        self.lives: dict[int, Life] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.taken = 0
        self.unanswered = 0
        self.counters = Counters()
        self.counters.know(tuple(settings.kinds))
        # Desk ids and the module's numbers, kept while the desk is listed or has an attempt or a call that
        # stands: desks are replaced all day. A number is never given twice.
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.next_number = 0
        self.held: Counter[str] = Counter()  # attempts and calls that stand, by desk
        self.listed: dict[str, Desk] = {}
        self.idle = asyncio.Event()
        self.idle.set()

    # -- the module ---------------------------------------------------------------------------

    def feed(self, event: api.Event) -> None:
        """Give the module an event and carry out what it decides, in order."""
        self.look()
        for action in self.module.handle(self.clock(), event):
            if self.seam.parts and isinstance(action, api.CallOut) and action.call in self.lives:
                self.seam.sent(self.clock() / 1000.0, action.call, self.names.get(action.server, ""))
                self.desks_changed()
            match action:
                case api.CallOut() | api.Deny() | api.ReportFailure() | api.Withdraw():
                    if life := self.lives.get(action.call):
                        life.news.put_nowait(action)
                case api.WakeAt(token, at):
                    delay = max(0.0, at - self.clock()) / 1000.0
                    asyncio.get_running_loop().call_later(delay, self.tell, api.Alarm(token))
                case api.Signal(target, payload):
                    if self.peers:
                        self.peers.send(target, payload)
                case api.FreeLinks(server):
                    if self.desks and server in self.names:
                        self.desks.free(self.names[server])
                case api.Log(text):
                    log.event("module", text=text)
                case api.Follow() | api.Pull() | api.Poll():
                    pass  # the list comes unasked here, and desks may not be probed

    def tell(self, event: api.Event) -> None:
        """Feed news that belongs to no life; a fault is logged and must not end whoever brought the news."""
        try:
            self.feed(event)
        except Exception as error:
            log.event("fault", where="module", news=type(event).__name__, error=repr(error), trace=log.trace(error))

    def retune(self, settings: api.Settings) -> None:
        """Serve by these settings from now on, which follow those in force; what is open keeps its class."""
        self.settings = settings
        self.counters.know(tuple(settings.kinds))
        self.tell(api.Retuned(self._for_module(settings)))

    def share_among(self, instances: int) -> None:
        """Fleet-wide limits are divided by so many instances from now on."""
        self.instances = instances
        self.tell(api.Retuned(self._for_module(self.settings)))

    def look(self) -> None:
        """Before anything is done: act on what the parts say now."""
        if self.seam.look():
            self.tell(api.Retuned(self._for_module(self.settings)))
            self.desks_changed()

    def _for_module(self, settings: api.Settings) -> api.Settings:
        if self.instances:
            settings = replace(settings, instances=self.instances)
        settings = self.seam.settings(settings)
        return self.advisor.extend(settings) if self.advisor else settings

    # -- the list of desks --------------------------------------------------------------------

    def list_changed(self, scope: api.Scope, desks: Sequence[Desk]) -> None:
        """News of the list; told to the module first, so that nothing new goes to a desk that drains."""
        self.look()
        now = self.clock()
        told = self.seam.listed(now / 1000.0, now, desks, scope != api.Scope.DELTA)
        self.tell(api.ListChange(scope, self._entries(told)))
        gone = [] if scope == api.Scope.DELTA else self.listed.keys() - {d.ident for d in desks}
        for name in sorted(gone):
            old = self.listed[name]
            self._listed(Desk(name, old.address, old.zone, old.cell, api.Availability.GONE, old.since_ms))
        for desk in desks:
            self._listed(desk)
        if self.guide:
            self.guide.listed(self.clock(), self.listed.values())
            self.steer()

    def _entries(self, desks: Sequence[Desk]) -> tuple[api.ListEntry, ...]:
        return tuple(api.ListEntry(self._number(d.ident), d.zone, d.cell, d.availability, d.since_ms) for d in desks)

    def desks_changed(self) -> None:
        """Tell the module what the parts make of the desks now."""
        now = self.clock()
        if changed := self.seam.changed(now / 1000.0, now):
            self.tell(api.ListChange(api.Scope.DELTA, self._entries(changed)))

    def steer(self) -> None:
        """Give the module the guide's inputs as they are now; called on news and every now and then."""
        if self.guide:
            now = self.clock()
            self.guide.step(now)
            self.module.set = self._for_module(self.guide.inputs(now))
            news, self.guide.news = self.guide.news, []
            for name, facts in news:
                log.event(name, **facts)

    def _choice(self, request: Request) -> int:
        """The pool of first choice: the guide's, if there is one."""
        if self.guide is None:
            return request.destination
        number = request.number.encode("utf-8", "surrogateescape")
        return self.guide.first_choice(self.clock(), request.class_name, number, request.destination)

    def _reported(self, desk: str, report: Sequence[float]) -> None:
        """Bring a desk's report to the guide."""
        if self.guide and "idle" in self.settings.fields[:len(report)]:
            self.guide.reported(self.clock(), desk, report[self.settings.fields.index("idle")])

    def _listed(self, desk: Desk) -> None:
        if desk.availability == api.Availability.GONE:
            self.listed.pop(desk.ident, None)
        else:
            self.listed[desk.ident] = desk
        if self.desks:
            self.desks.listed(desk)
        self._forget(desk.ident)

    def _number(self, ident: str) -> int:
        if ident not in self.numbers:
            self.numbers[ident] = self.next_number
            self.names[self.next_number] = ident
            self.next_number += 1
        return self.numbers[ident]

    def _forget(self, ident: str) -> None:
        """Forget a desk of which nothing is left."""
        if ident not in self.listed and not self.held[ident]:
            del self.held[ident]
            if (number := self.numbers.pop(ident, None)) is not None:
                del self.names[number]

    def _vacate(self, life: Life) -> Attempt | None:
        """Empty a life's slot."""
        attempt, life.attempt = life.attempt, None
        if attempt:
            self.held[attempt.desk] -= 1
        return attempt

    def sampled(self, desk: str, report: tuple[float, ...]) -> None:
        """Unasked news of a desk's free agents."""
        if desk in self.numbers:
            self._reported(desk, report)
            self.tell(api.Sampled(self.numbers[desk], api.Status.OK, 0.0, report))

    def peer_said(self, sender: int, payload: bytes) -> None:
        """A message from another call agent."""
        self.tell(api.PeerNote(sender, payload))

    # -- the life of a request ----------------------------------------------------------------

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
        task = asyncio.get_running_loop().create_task(self._live(life))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return life

    def give_up(self) -> None:
        """The process ends: whoever has no answer by now is told that the call failed."""
        for life in list(self.lives.values()):
            if not life.answered:
                life.news.put_nowait(api.ReportFailure(life.number))

    def caller_left(self, life: Life, cause: int = 16) -> None:
        """A front tells that the caller gave the request up, or released the call."""
        life.news.put_nowait(CallerLeft(cause))

    async def _live(self, life: Life) -> None:
        """The life of one request, from top to bottom."""
        result = "fault"
        try:
            request = asked = life.request
            if self.advisor:
                request = life.request = self.advisor.advise(self.clock(), asked, self.listed)
            preferred = request.destination != asked.destination  # a local rule comes before a plan
            grace = request.patience_ms - request.sent_ms_ago
            self.feed(api.Demand(
                call=life.number, call_class=request.call_class, tenant=request.tenant, grace=grace,
                destination=request.destination if preferred else self._choice(request), slots=request.slots,
                cut_before=request.cut_before, via=request.via, key=key_of(request.number),
            ))
            decision = await self._decision(life)
            while isinstance(decision, api.CallOut):
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
            self._close(life, result)

    async def _decision(self, life: Life) -> Verdict | CallerLeft:
        """What the module decides next for a call with no attempt out, unless the caller leaves first."""
        while True:
            news = await life.news.get()
            if isinstance(news, CallerLeft):
                self.feed(api.HungUp(life.number))
                return news
            if isinstance(news, (api.CallOut, api.Deny, api.ReportFailure)):
                return news

    async def _attempt(self, life: Life, out: api.CallOut) -> Answer | Outcome | Verdict | CallerLeft:
        """Carry out one attempt to its answer or outcome; an attempt that is left early is called off."""
        assert self.desks is not None and life.attempt is None
        within = out.within or life.request.patience_ms
        # A desk may have gone, and be forgotten, since the module named it: then no connection comes up.
        attempt = Attempt(life.request, life.attempts, self.names.get(out.server, ""), within)
        life.attempt, life.server, life.sent = attempt, out.server, self.clock()
        self.held[attempt.desk] += 1
        life.attempts += 1
        timer = asyncio.get_running_loop().call_later(
            max(0.0, within) / 1000.0, life.news.put_nowait, TimedOut(attempt.leg)
        )
        self.desks.set_up(attempt, lambda leg, what: life.news.put_nowait(Heard(leg, what)))
        try:
            while True:
                match await life.news.get():
                    case Heard(leg, what) if leg == attempt.leg:
                        return what
                    case TimedOut(leg) if leg == attempt.leg:
                        self.desks.give_up(attempt)
                        return Outcome(api.Status.TIMEOUT)
                    case api.Withdraw(_, leg) if leg == attempt.leg:
                        self.desks.give_up(attempt)
                        return Outcome(api.Status.CANCELLED)
                    case CallerLeft() as left:
                        self.desks.give_up(attempt)
                        self.feed(api.HungUp(life.number))
                        self._ended(life, Outcome(api.Status.CANCELLED), final=True)
                        return left
                    case (api.Deny() | api.ReportFailure()) as final:
                        self.desks.give_up(attempt)
                        self._ended(life, Outcome(api.Status.CANCELLED), final=True)
                        return final
                    case _:
                        pass  # news of an attempt that is over
        finally:
            timer.cancel()

    async def _stand(self, life: Life, answer: Answer) -> str:
        """The call stands: pass the answer on, then wait for the release from either side."""
        assert self.desks is not None and life.attempt is not None
        told = self._answer(life, answer)
        self.seam.ended(self.clock() / 1000.0, life.number, api.Status.OK)
        self.feed(api.Stands(life.number, life.attempt.leg, life.server, self._delay(life)))
        while told == "stands":
            match await life.news.get():
                case Heard(leg, Outcome() as outcome) if leg == life.attempt.leg:
                    life.caller.released(outcome.cause)
                    self._ended(life, outcome, final=True)
                    return "stood" if outcome.status == api.Status.OK else "cut"
                case CallerLeft(cause):
                    self.desks.release(life.attempt, cause)
                    self._ended(life, Outcome(api.Status.CANCELLED), final=True)
                    return "released"
                case _:
                    pass
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
            how = {CallerLeft: "left", Answer: "fulfilled", api.Deny: "throttled"}.get(type(final), "faulted")
            self.measure(life.kind, how, self.clock() - life.since)
        match final:
            case CallerLeft():
                return "left"  # it is owed none
            case Answer(description):
                life.stood = True
                if not life.caller.stands(description):
                    return "untold"
                self.counters.fulfilled[life.kind] += 1
                return "stands"
            case api.Deny(_, backoff):
                self.counters.throttled[life.kind] += 1
                life.caller.refused(backoff)
                return "refused"
            case _:
                self.counters.faulted[life.kind] += 1
                life.caller.failed()
                return "failed"

    def figures(self) -> dict[str, Any]:
        """What staff see; which desks are avoided is the module's word."""
        now = self.clock()
        return self.counters.table() | {
            "open_requests": len(self.lives), "registry_entries": len(self.listed),
            "out_of_rotation": sum(self.module.avoids(now, core) for core in self.module.cores.values()),
        }

    def _ended(self, life: Life, outcome: Outcome, final: bool) -> None:
        """Tell the module how the attempt in the slot ended, and empty the slot."""
        attempt = self._vacate(life)
        if attempt is None:
            return
        self.seam.ended(self.clock() / 1000.0, life.number, outcome.status)
        self._reported(attempt.desk, outcome.report)
        self.feed(api.Ended(
            life.number, attempt.leg, life.server, outcome.status, final, self._delay(life),
            outcome.note, outcome.report,
        ))
        self._forget(attempt.desk)

    def _delay(self, life: Life) -> float:
        return self.clock() - life.sent

    def _abandon(self, life: Life) -> None:
        if life.attempt and self.desks:
            (self.desks.release(life.attempt, 41) if life.stood else self.desks.give_up(life.attempt))
        if not life.answered:
            self._answer(life, api.ReportFailure(life.number))

    def _close(self, life: Life, result: str) -> None:
        del self.lives[life.number]
        self.seam.ended(self.clock() / 1000.0, life.number, api.Status.CANCELLED)  # decided on, and never began
        if left := self._vacate(life):
            self._forget(left.desk)
        life.closed()
        log.event(
            "call_end", call=life.request.ident, kind=life.request.class_name,
            result=result, attempts=life.attempts,
        )
        if self.advisor:
            self.advisor.observe(life.request, result, life.attempts)
        if self.observe:
            self.observe(life.request, result, life.attempts)
