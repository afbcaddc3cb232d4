"""The controller: takes events, joins the decisions, returns actions; the types are in seamlb/api.py."""

import math

from seamlb import api
from seamlb.observations import Call, Pending, Server
from seamlb.policy.callers import Callers
from seamlb.policy.gating import Gate
from seamlb.policy.node import FADE_MS, STALL_MS, Node
from seamlb.policy.ranking import Ranking
from seamlb.policy.routing import Router

PROCESSOR_FULL = 3  # note of a processor that turns set-ups away
LINES_BUSY = 4  # note of a number whose lines are all busy
BEAT = 1 << 63  # the token of the alarm that shows stalls; calls are below 2^52
OVERTAKEN = 3  # later set-ups answered after which one is lost: a processor takes them in turn
OVERTAKEN_MS = 50.0  # ms by which they must have been sent later: what travels may change places
FAULTY = 0.3  # share of faults above which a fault is the server's and not the call's


class Controller:
    """Decides for one access node; feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.node = Node(settings, seed)
        self.gate = Gate(self.node)
        self.router = Router(self.node, self.gate)
        self.callers = Callers()
        self.calls: dict[int, Call] = {}
        self.beat = -math.inf  # when the next alarm for stalls is due
        self.out: list[api.Action] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event at clock time `now`; returns the actions in order."""
        self.out, self.node.began = [], min(self.node.began, now)
        self.node.clock.advance(now)
        if now >= self.beat:
            self.beat = now + STALL_MS / 2
            self.out.append(api.SetTimer(BEAT, self.beat))
        match event:
            case api.CallRequest():
                self._demand(now, event)
            case api.Answered():
                self._stands(now, event)
            case api.Ended():
                self._ended(now, event)
            case api.HungUp():
                if call := self.calls.get(event.call):
                    self.callers.turn_away(now, call, self.node.settings.longest_deadline)
                self._forget(event.call)
            case api.TimerFired():
                if (call := self.calls.get(event.token)) and call.server is None and now >= call.not_before:
                    self._place(now, call)
            case api.ListChange():
                self._list(now, event)
            case api.ServerReport():
                self.node.report(now, event.server, event.report)
            case api.NewSettings():
                self._retune(event.settings)
        return self.out

    def update_inputs(self, settings: api.Settings) -> None:
        """Take other inputs of the same classes and tenants; ranks stay."""
        self.node.settings = settings

    def _retune(self, settings: api.Settings) -> None:
        """Take new settings: what is known of calls and servers stays."""
        self.callers.forget(*settings.reassigned_ids(self.node.settings))
        had = {rank: traffic for traffic, rank in self.node.ranking.ranks.items()}
        self.node.settings, self.node.ranking = settings, Ranking.of(settings)
        lowest = len(self.node.ranking.floor_ratios) - 1
        for call in self.calls.values():
            call.rank = self.node.ranking.ranks.get(had[call.rank], lowest)
        for server in self.node.fleet.servers.values():
            server.opens, server.depth = {}, min(server.depth, lowest + 1)

    def _list(self, now: float, event: api.ListChange) -> None:
        if self.node.settings.on_request and (event.scope == api.Scope.FAILED or not self.node.fleet.listed):
            self.out.append(api.Subscribe(True))
        if event.scope != api.Scope.FAILED:
            self.node.update(now, event)

    def _demand(self, now: float, event: api.CallRequest) -> None:
        settings = self.node.settings
        kind = settings.classes[event.call_class]
        caller = event.number_key, event.call_class, event.tenant
        since, over = self.callers.admit(now, caller, settings)
        late = int(kind.late_worth < 1.0 and now - since >= kind.on_time)
        rank = self.node.ranking.ranks[event.call_class, over, late]
        width, cap = event.slots or kind.width, settings.limits.attempts_cap
        over_by, target, transit = now + event.time_left, event.destination, event.in_transit
        call = Call(event.call, kind, rank, over_by, target, transit, width, caller, since, over, cap)
        self.calls[event.call] = call
        if now < self.callers.busy.get(event.number_key, 0.0):
            self._give_up(now, call)
        else:
            self._place(now, call)

    def _place(self, now: float, call: Call) -> None:
        """Send the call to a server whose gate passes, or give it up at once."""
        left = call.over_by - now
        server = self.router.route(now, call) if left > 0 and call.attempts < call.cap else None
        if server is None:
            return self._give_up(now, call)
        self.gate.passed(now, server, call.rank)
        server.tokens -= 1.0
        call.server, call.attempts, call.overtaken = server, call.attempts + 1, 0
        ranking, awake = self.node.ranking, self.node.clock.awake
        due = now + min(ranking.limits[ranking.limit_of[call.rank]], left)
        server.pending[call.ident] = Pending(due, awake, len(server.pending) + 1)
        server.sent = awake
        self.out.append(api.SendSetUp(call.ident, server.entry.server, left))
        self.gate.detect(now, server)

    def _give_up(self, now: float, call: Call) -> None:
        """The final answer, at once; only a set-up that may have run forbids refusing."""
        del self.calls[call.ident]
        settings, kind = self.node.settings, call.kind
        self.callers.turn_away(now, call, settings.longest_deadline)
        if call.ran is None or kind.effect == "free" or (kind.effect == "guarded" and kind.group == "all"):
            backoff = settings.limits.max_retry_after * self.node.rng.uniform(0.25, 0.75)
            self.out.append(api.Refuse(call.ident, backoff))  # whether or not callers are known to heed it
        else:
            self.out.append(api.Fail(call.ident))

    def _forget(self, ident: int) -> None:
        if (call := self.calls.pop(ident, None)) and call.server:
            call.server.pending.pop(ident, None)

    def _stands(self, now: float, event: api.Answered) -> None:
        self.calls.pop(event.call, None)
        if (server := self.node.fleet.servers.get(event.server)) is None:
            return
        self.node.heard(now, server)
        if pending := server.pending.pop(event.call, None):
            awake = self.node.clock.awake
            delay = min(event.delay, awake - pending.sent)
            server.ratios.append((awake, delay / pending.outstanding))
            server.wait.put(now, delay)
            server.answered(False)
            self._overtake(server, pending.sent)
            self.node.answers.add(now, 1.0 / FADE_MS / self.node.fleet.lines)
            self.gate.detect(now, server)

    def _overtake(self, server: Server, sent: float) -> None:
        """A set-up sent at `sent` was answered: one that many overtook is lost, and called off."""
        server.passed = max(server.passed, sent)
        for ident, pending in list(server.pending.items()):
            if pending.sent >= sent - OVERTAKEN_MS:
                break
            if (call := self.calls.get(ident)) and call.server is server:
                call.overtaken += 1
                if call.overtaken == OVERTAKEN and self.node.settings.limits.cancel:
                    self.out.append(api.Cancel(ident, call.attempts - 1))

    def _ended(self, now: float, event: api.Ended) -> None:
        self.node.report(now, event.server, event.report)
        server = self.node.fleet.servers.get(event.server)
        if server and event.report:
            self.node.heard(now, server)
        if server and (pending := server.pending.pop(event.call, None)):
            self._learn(now, server, pending, event)
        if (call := self.calls.get(event.call)) is None or event.final:
            return self._forget(event.call)
        entry, call.server = call.server and call.server.entry, None
        if entry and event.status not in api.NEVER_RAN and not call.ran:
            call.ran = (entry, now - event.delay)
        self._avoid_again(call, server, event)
        self._retry(now, call, event)

    def _learn(self, now: float, server: Server, pending: Pending, event: api.Ended) -> None:
        """What the end of an attempt tells of its server's load."""
        full, timeout = event.status == api.Status.FULL, event.status == api.Status.TIMEOUT
        missed = timeout and pending.sent >= server.passed
        if missed and server.heard <= pending.sent:
            server.lost = self.node.clock.awake
        if missed or (full and event.note & 15 == PROCESSOR_FULL):
            return self.gate.close(now, server)
        self.gate.detect(now, server)
        if full:
            # All nodes rush to the few lines told free; one turned away knows better till next told.
            server.idle, server.reported_at = 0.0, now

    def _avoid_again(self, call: Call, server: Server | None, event: api.Ended) -> None:
        """Does the call never go there again? A server that fails many calls may yet take this one."""
        fault = event.status == api.Status.ERROR and event.note != LINES_BUSY
        if server and fault and event.server != call.faulted:  # once a call: it may fail wherever it goes
            call.faulted = event.server
            server.answered(True)
        # The last try is another's; else a fault may be the call's own doing, and repeats only cost work.
        if server is None or not fault or server.faults < FAULTY or call.attempts >= call.cap - 1:
            call.tried.append(event.server)

    def _retry(self, now: float, call: Call, event: api.Ended) -> None:
        """Place the call again, at once or after the bar of rule 5, or give it up."""
        contract = self.node.settings.contract
        call.not_before = now + contract.clear_wait * (event.status in api.BARRING)
        if event.note == LINES_BUSY:
            self.callers.all_busy(now, call.caller[0])
        too_late = call.over_by - call.not_before <= contract.answer_slack
        if event.note == LINES_BUSY or event.status == api.Status.OK or too_late:
            self._give_up(now, call)
        elif call.not_before > now:
            self.out.append(api.SetTimer(call.ident, call.not_before))
        else:
            self._place(now, call)
