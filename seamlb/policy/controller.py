"""The controller: takes events, combines the decisions, returns actions; the types are in seamlb/api.py."""

import math

from seamlb import api
from seamlb.observations import Call, PendingSetUp, Server
from seamlb.policy.caller_history import CallerHistory
from seamlb.policy.gating import Gate
from seamlb.policy.node import RATE_FADE_MS, STALL_MS, Node
from seamlb.policy.ranking import Ranking
from seamlb.policy.routing import Router

PROCESSOR_FULL = 3  # note of an attempt refused because the server's processor is overloaded
LINES_BUSY = 4  # note of an attempt to a number whose lines are all busy
STALL_TIMER = 1 << 63  # token of the timer that detects stalls; call ids are below 2^52
OVERTAKEN_LIMIT = 3  # later set-ups answered before a set-up counts as lost: a server answers in order
OVERTAKING_MARGIN_MS = 50.0  # ms that a set-up must have been sent later to overtake: the network may reorder
FAULTY_ERROR_SHARE = 0.3  # share of errors above which an error is blamed on the server, not on the call


class Controller:
    """Decides for one access node: takes events in order and returns the actions to carry out."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.node = Node(settings, seed)
        self.gate = Gate(self.node)
        self.router = Router(self.node, self.gate)
        self.callers = CallerHistory()
        self.calls: dict[int, Call] = {}
        self.stall_timer_at = -math.inf  # when the stall timer fires next
        self.actions: list[api.Action] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Process one event at clock time `now` (ms); returns the actions in order."""
        self.actions, self.node.first_event_at = [], min(self.node.first_event_at, now)
        self.node.clock.advance(now)
        if now >= self.stall_timer_at:
            self.stall_timer_at = now + STALL_MS / 2
            self.actions.append(api.SetTimer(STALL_TIMER, self.stall_timer_at))
        match event:
            case api.CallRequest():
                self._call_requested(now, event)
            case api.Answered():
                self._answered(now, event)
            case api.Ended():
                self._ended(now, event)
            case api.HungUp():
                if call := self.calls.get(event.call):
                    self.callers.record_refusal(now, call, self.node.settings.longest_deadline)
                self._forget(event.call)
            case api.TimerFired():
                if (call := self.calls.get(event.token)) and call.server is None and now >= call.not_before:
                    self._place(now, call)
            case api.ListChange():
                self._list_changed(now, event)
            case api.ServerReport():
                self.node.record_report(now, event.server, event.report)
            case api.NewSettings():
                self._apply_settings(event.settings)
        return self.actions

    def update_inputs(self, settings: api.Settings) -> None:
        """Use other settings with the same classes and tenants; ranks stay as they are."""
        self.node.settings = settings

    def _apply_settings(self, settings: api.Settings) -> None:
        """Use new settings; the state of calls and servers is kept."""
        self.callers.forget_reassigned(*settings.reassigned_ids(self.node.settings))
        old_traffic = {rank: traffic for traffic, rank in self.node.ranking.ranks.items()}
        self.node.settings, self.node.ranking = settings, Ranking.of(settings)
        lowest = len(self.node.ranking.floor_ratios) - 1
        for call in self.calls.values():
            call.rank = self.node.ranking.ranks.get(old_traffic[call.rank], lowest)
        for server in self.node.fleet.servers.values():
            server.next_admission, server.gapped_ranks = {}, min(server.gapped_ranks, lowest + 1)

    def _list_changed(self, now: float, event: api.ListChange) -> None:
        if self.node.settings.on_request and (event.scope == api.Scope.FAILED or not self.node.fleet.listed):
            self.actions.append(api.Subscribe(True))
        if event.scope != api.Scope.FAILED:
            self.node.update_list(now, event)

    def _call_requested(self, now: float, event: api.CallRequest) -> None:
        settings = self.node.settings
        kind = settings.classes[event.call_class]
        caller = event.number_key, event.call_class, event.tenant
        first_at, over_share = self.callers.first_try(now, caller, settings)
        late = int(kind.late_worth < 1.0 and now - first_at >= kind.on_time)
        rank = self.node.ranking.ranks[event.call_class, over_share, late]
        width, cap = event.slots or kind.width, settings.limits.attempts_cap
        until, target, transit = now + event.time_left, event.destination, event.in_transit
        call = Call(event.call, kind, rank, until, target, transit, width, caller, first_at, over_share, cap)
        self.calls[event.call] = call
        if now < self.callers.busy_until.get(event.number_key, 0.0):
            self._give_up(now, call)
        else:
            self._place(now, call)

    def _place(self, now: float, call: Call) -> None:
        """Send the call to a server that admits it, or give it up at once."""
        time_left = call.gives_up_at - now
        server = self.router.route(now, call) if time_left > 0 and call.attempts < call.max_attempts else None
        if server is None:
            return self._give_up(now, call)
        self.gate.record_admission(now, server, call.rank)
        server.tokens -= 1.0
        call.server, call.attempts, call.overtaken = server, call.attempts + 1, 0
        ranking, awake = self.node.ranking, self.node.clock.awake
        due = now + min(ranking.targets[ranking.target_index[call.rank]], time_left)
        server.pending[call.ident] = PendingSetUp(due, awake, len(server.pending) + 1)
        server.last_sent_at = awake
        self.actions.append(api.SendSetUp(call.ident, server.entry.server, time_left))
        self.gate.update_level(now, server)

    def _give_up(self, now: float, call: Call) -> None:
        """Give the final answer at once: refuse, or fail if an unrepeatable attempt may have run."""
        del self.calls[call.ident]
        settings, call_class = self.node.settings, call.call_class
        self.callers.record_refusal(now, call, settings.longest_deadline)
        if (
            call.first_run is None
            or call_class.effect == "free"
            or (call_class.effect == "guarded" and call_class.group == "all")
        ):
            backoff = settings.limits.max_retry_after * self.node.rng.uniform(0.25, 0.75)
            # The back-off is sent even if the settings don't say that callers respect it.
            self.actions.append(api.Refuse(call.ident, backoff))
        else:
            self.actions.append(api.Fail(call.ident))

    def _forget(self, ident: int) -> None:
        if (call := self.calls.pop(ident, None)) and call.server:
            call.server.pending.pop(ident, None)

    def _answered(self, now: float, event: api.Answered) -> None:
        self.calls.pop(event.call, None)
        if (server := self.node.fleet.servers.get(event.server)) is None:
            return
        self.node.record_answer(now, server)
        if set_up := server.pending.pop(event.call, None):
            awake = self.node.clock.awake
            delay = min(event.delay, awake - set_up.sent_at)
            server.recent_delays.append((awake, delay / set_up.outstanding))
            server.queue_delay.set(now, delay)
            server.record_result(False)
            self._count_overtaken(server, set_up.sent_at)
            self.node.answers_per_line.add(now, 1.0 / RATE_FADE_MS / self.node.fleet.lines)
            self.gate.update_level(now, server)

    def _count_overtaken(self, server: Server, sent_at: float) -> None:
        """A set-up sent at `sent_at` was answered: cancel earlier ones that too many have overtaken."""
        server.newest_answered_sent_at = max(server.newest_answered_sent_at, sent_at)
        for ident, set_up in list(server.pending.items()):
            if set_up.sent_at >= sent_at - OVERTAKING_MARGIN_MS:
                break
            if (call := self.calls.get(ident)) and call.server is server:
                call.overtaken += 1
                if call.overtaken == OVERTAKEN_LIMIT and self.node.settings.limits.cancel:
                    self.actions.append(api.Cancel(ident, call.attempts - 1))

    def _ended(self, now: float, event: api.Ended) -> None:
        self.node.record_report(now, event.server, event.report)
        server = self.node.fleet.servers.get(event.server)
        if server and event.report:
            self.node.record_answer(now, server)
        if server and (set_up := server.pending.pop(event.call, None)):
            self._update_load(now, server, set_up, event)
        if (call := self.calls.get(event.call)) is None or event.final:
            return self._forget(event.call)
        entry, call.server = call.server and call.server.entry, None
        if entry and event.status not in api.NEVER_RAN and not call.first_run:
            call.first_run = (entry, now - event.delay)
        self._exclude_server(call, server, event)
        self._retry(now, call, event)

    def _update_load(self, now: float, server: Server, set_up: PendingSetUp, event: api.Ended) -> None:
        """Update the estimate of a server's load by the end of an unanswered set-up."""
        full, timeout = event.status == api.Status.FULL, event.status == api.Status.TIMEOUT
        missed = timeout and set_up.sent_at >= server.newest_answered_sent_at
        if missed and server.last_answer_at <= set_up.sent_at:
            server.timed_out_at = self.node.clock.awake
        if missed or (full and event.note & 15 == PROCESSOR_FULL):
            return self.gate.close(now, server)
        self.gate.update_level(now, server)
        if full:
            # All nodes send to the few lines reported free; after a refusal none counts as free
            # until the next report.
            server.free_lines, server.reported_at = 0.0, now

    def _exclude_server(self, call: Call, server: Server | None, event: api.Ended) -> None:
        """Exclude the server from further attempts, unless it fails many calls and may yet take this one."""
        error = event.status == api.Status.ERROR and event.note != LINES_BUSY
        if server and error and event.server != call.last_failed_server:  # counted once per call
            call.last_failed_server = event.server
            server.record_result(True)
        # The last attempt goes to another server. On a healthy server the call itself may be the cause of the
        # error: repeating it there would only add load.
        if (
            server is None
            or not error
            or server.error_share < FAULTY_ERROR_SHARE
            or call.attempts >= call.max_attempts - 1
        ):
            call.excluded_servers.append(event.server)

    def _retry(self, now: float, call: Call, event: api.Ended) -> None:
        """Place the call again, at once or after the wait of rule 5, or give it up."""
        contract = self.node.settings.contract
        call.not_before = now + contract.clear_wait * (event.status in api.DELAYS_RETRY)
        if event.note == LINES_BUSY:
            self.callers.mark_busy(now, call.caller[0])
        too_late = call.gives_up_at - call.not_before <= contract.answer_slack
        if event.note == LINES_BUSY or event.status == api.Status.OK or too_late:
            self._give_up(now, call)
        elif call.not_before > now:
            self.actions.append(api.SetTimer(call.ident, call.not_before))
        else:
            self._place(now, call)
