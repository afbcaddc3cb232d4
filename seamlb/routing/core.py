"""The core: feeds the decision module with events, settings and the list, and carries out its actions."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from seamlb import api, log
from seamlb.policy.controller import Controller
from seamlb.routing.counters import Counters
from seamlb.routing.life import CallSession
from seamlb.routing.model import Advisor, Attempt, Desk, DeskClient, Peers, Request, Steering
from seamlb.routing.seam import InputFilterChain

LEAST_WAIT = 1e-4  # seconds: a timer for less would only turn the loop until the clock has moved


class Clock:
    """Unix milliseconds that never go back: the wall clock at the start, then the monotonic one."""

    def __init__(self) -> None:
        self.offset = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Milliseconds that never go back, near to Unix time."""
        return self.offset + time.monotonic() * 1000.0


class Core:
    """The decision module and all that it is told: events, settings, the list of desks."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Callable[[], float] | None = None,
        steering: Steering | None = None,
        advisor: Advisor | None = None,
    ) -> None:
        self.settings = settings
        self.advisor = advisor
        self.filter_chain = InputFilterChain()
        self.instances = 0  # that share fleet-wide limits; 0: as many as the settings name
        self.module = Controller(self._for_module(settings), seed)
        self.clock = clock or Clock().now
        self.steering = steering
        self.desks: DeskClient | None = None
        self.peers: Peers | None = None
        self.sessions: dict[int, CallSession] = {}
        self.counters = Counters()
        self.counters.know(tuple(settings.class_ids))
        # Desk ids and the module's numbers, kept while the desk is listed or has an attempt or a call that
        # stands: desks are replaced all day. A number is never given twice.
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.next_number = 0
        self.open_legs: Counter[str] = Counter()  # attempts and calls that stand, by desk
        self.listed: dict[str, Desk] = {}

    # -- the module ---------------------------------------------------------------------------

    def handle(self, event: api.Event) -> None:
        """Give the module an event and carry out what it decides, in order."""
        self.refresh()
        for action in self.module.handle(self.clock(), event):
            if self.filter_chain.filters and isinstance(action, api.SendSetUp) and action.call in self.sessions:
                self.filter_chain.attempt_started(
                    self.clock() / 1000.0, action.call, self.names.get(action.server, "")
                )
                self.push_desk_changes()
            match action:
                case api.SendSetUp() | api.Refuse() | api.Fail() | api.Cancel():
                    if session := self.sessions.get(action.call):
                        session.inbox.put_nowait(action)
                case api.SetTimer(token, at):
                    self._alarm(token, at)
                case api.SendMessage(target, payload):
                    if self.peers:
                        self.peers.send(target, payload)
                case api.CloseIdle(server):
                    if self.desks and server in self.names:
                        self.desks.close_idle(self.names[server])
                case api.Log(text):
                    log.event("module", text=text)
                case api.Subscribe() | api.FetchList() | api.Probe():
                    pass  # the list comes unasked here, and desks may not be probed

    def _alarm(self, token: int, at: float) -> None:
        """Give an alarm once the clock says so: the module passes over one that is early, and it would be the last.

        A timer may end a little before its time by this clock, whose milliseconds since 1970 are rounded.
        """
        early = at - self.clock()
        if early <= 0.0:
            asyncio.get_running_loop().call_soon(self.notify, api.TimerFired(token))
        else:
            asyncio.get_running_loop().call_later(max(early / 1000.0, LEAST_WAIT), self._due, token, at)

    def _due(self, token: int, at: float) -> None:
        if self.clock() < at:
            self._alarm(token, at)
        else:
            self.notify(api.TimerFired(token))

    def notify(self, event: api.Event) -> None:
        """Feed news that belongs to no session; a fault is logged and must not end whoever brought the news."""
        try:
            self.handle(event)
        except Exception as error:
            log.event("fault", where="module", news=type(event).__name__, error=repr(error), trace=log.trace(error))

    def apply_settings(self, settings: api.Settings) -> None:
        """Serve by these settings from now on, which follow those in force; what is open keeps its class."""
        self.settings = settings
        self.counters.know(tuple(settings.class_ids))
        self.notify(api.NewSettings(self._for_module(settings)))

    def numbers_in_use(self) -> tuple[set[int], set[int]]:
        """Numbers of classes and tenants that calls which are open have."""
        requests = [session.request for session in self.sessions.values()]
        return {one.call_class for one in requests}, {one.tenant for one in requests}

    def set_instances(self, instances: int) -> None:
        """Fleet-wide limits are divided by so many instances from now on."""
        self.instances = instances
        self.notify(api.NewSettings(self._for_module(self.settings)))

    def refresh(self) -> None:
        """Before anything is done: act on what the parts say now."""
        if self.filter_chain.refresh():
            self.notify(api.NewSettings(self._for_module(self.settings)))
            self.push_desk_changes()

    def _for_module(self, settings: api.Settings) -> api.Settings:
        if self.instances:
            settings = replace(settings, instances=self.instances)
        settings = self.filter_chain.filter_settings(settings)
        return self.advisor.extend_settings(settings) if self.advisor else settings

    def stats(self) -> dict[str, Any]:
        """What staff see; which desks are avoided is the module's word."""
        now = self.clock()
        return self.counters.table() | {
            "open_requests": len(self.sessions),
            "registry_entries": len(self.listed),
            "out_of_rotation": sum(
                self.module.node.excludes(now, server) for server in self.module.node.fleet.servers.values()
            ),
        }

    # -- the list of desks --------------------------------------------------------------------

    def list_changed(self, scope: api.Scope, desks: Sequence[Desk]) -> None:
        """News of the list; told to the module first, so that nothing new goes to a desk that drains."""
        self.refresh()
        now = self.clock()
        told = self.filter_chain.filter_desks(now / 1000.0, now, desks, scope != api.Scope.DELTA)
        self.notify(api.ListChange(scope, self._entries(told)))
        gone = [] if scope == api.Scope.DELTA else self.listed.keys() - {d.ident for d in desks}
        for name in sorted(gone):
            old = self.listed[name]
            self._listed(Desk(name, old.address, old.zone, old.cell, api.Availability.GONE, old.since_ms))
        for desk in desks:
            self._listed(desk)
        if self.steering:
            self.steering.update_desks(self.clock(), self.listed.values())
            self.apply_steering()

    def _entries(self, desks: Sequence[Desk]) -> tuple[api.ListEntry, ...]:
        return tuple(api.ListEntry(self._number(d.ident), d.zone, d.cell, d.availability, d.since_ms) for d in desks)

    def push_desk_changes(self) -> None:
        """Tell the module what the parts make of the desks now."""
        now = self.clock()
        if changed := self.filter_chain.changed_desks(now / 1000.0, now):
            self.notify(api.ListChange(api.Scope.DELTA, self._entries(changed)))

    def apply_steering(self) -> None:
        """Give the module the guide's inputs as they are now; called on news and every now and then."""
        if self.steering:
            now = self.clock()
            self.steering.step(now)
            self.module.update_inputs(self._for_module(self.steering.decision_settings(now)))
            news, self.steering.pending_events = self.steering.pending_events, []
            for name, facts in news:
                log.event(name, **facts)

    def _choice(self, request: Request) -> int:
        """The pool of first choice: the guide's, if there is one."""
        if self.steering is None:
            return request.destination
        number = request.number.encode("utf-8", "surrogateescape")
        return self.steering.first_choice(self.clock(), request.class_name, number, request.destination)

    def _reported(self, desk: str, report: Sequence[float]) -> None:
        """Bring a desk's report to the guide."""
        if self.steering and "idle" in self.settings.fields[: len(report)]:
            self.steering.report_idle_agents(self.clock(), desk, report[self.settings.fields.index("idle")])

    def _listed(self, desk: Desk) -> None:
        if desk.availability == api.Availability.GONE:
            self.listed.pop(desk.ident, None)
        else:
            self.listed[desk.ident] = desk
        if self.desks:
            self.desks.desk_changed(desk)
        self._forget(desk.ident)

    def _number(self, ident: str) -> int:
        if ident not in self.numbers:
            self.numbers[ident] = self.next_number
            self.names[self.next_number] = ident
            self.next_number += 1
        return self.numbers[ident]

    def _forget(self, ident: str) -> None:
        """Forget a desk of which nothing is left."""
        if ident not in self.listed and not self.open_legs[ident]:
            del self.open_legs[ident]
            if (number := self.numbers.pop(ident, None)) is not None:
                del self.names[number]

    def _vacate(self, session: CallSession) -> Attempt | None:
        """Empty a session's slot."""
        attempt, session.attempt = session.attempt, None
        if attempt:
            self.open_legs[attempt.desk] -= 1
        return attempt

    def report_received(self, desk: str, report: tuple[float, ...]) -> None:
        """Unasked news of a desk's free agents."""
        if desk in self.numbers:
            self._reported(desk, report)
            self.notify(api.ServerReport(self.numbers[desk], api.Status.OK, 0.0, report))

    def peer_message(self, sender: int, payload: bytes) -> None:
        """A message from another call agent."""
        self.notify(api.PeerMessage(sender, payload))
