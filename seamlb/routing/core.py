"""The core: passes events, settings and the list of desks to the decision module, and executes its actions."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from seamlb import api, log
from seamlb.policy.controller import Controller
from seamlb.routing.call import CallSession
from seamlb.routing.counters import Counters
from seamlb.routing.input_filters import InputFilterChain
from seamlb.routing.model import Advisor, Attempt, Desk, DeskClient, Peers, Request, Steering

MIN_TIMER_S = 1e-4  # a shorter timer would only spin the event loop until the clock advances


class Clock:
    """Monotonic milliseconds close to Unix time: the wall clock at creation, advanced by the monotonic clock."""

    def __init__(self) -> None:
        self.offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Monotonic milliseconds, close to Unix time."""
        return self.offset_ms + time.monotonic() * 1000.0


class Core:
    """The decision module with its inputs: events, settings and the list of desks."""

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
        self.instances = 0  # agents that share fleet-wide limits; 0: as many as the settings state
        self.module = Controller(self._module_settings(settings), seed)
        self.clock = clock or Clock().now
        self.steering = steering
        self.desks: DeskClient | None = None
        self.peers: Peers | None = None
        self.sessions: dict[int, CallSession] = {}
        self.counters = Counters()
        self.counters.add_classes(tuple(settings.class_ids))
        # The module's numbers by desk id, and the reverse. An entry is removed once the desk is neither listed nor
        # has an attempt or an established call, as desks are replaced all day. A number is never reused.
        self.desk_numbers: dict[str, int] = {}
        self.desk_ids: dict[int, str] = {}
        self.next_number = 0
        self.open_legs: Counter[str] = Counter()  # attempts and established calls, by desk id
        self.listed: dict[str, Desk] = {}

    # -- the module ---------------------------------------------------------------------------

    def handle(self, event: api.Event) -> None:
        """Pass an event to the module and execute its actions in order."""
        self.refresh()
        for action in self.module.handle(self.clock(), event):
            if self.filter_chain.filters and isinstance(action, api.SendSetUp) and action.call in self.sessions:
                self.filter_chain.attempt_started(
                    self.clock() / 1000.0, action.call, self.desk_ids.get(action.server, "")
                )
                self.push_desk_changes()
            match action:
                case api.SendSetUp() | api.Refuse() | api.Fail() | api.Cancel():
                    if session := self.sessions.get(action.call):
                        session.inbox.put_nowait(action)
                case api.SetTimer(token, at):
                    self._schedule_timer(token, at)
                case api.SendMessage(target, payload):
                    if self.peers:
                        self.peers.send(target, payload)
                case api.CloseIdle(server):
                    if self.desks and server in self.desk_ids:
                        self.desks.close_idle(self.desk_ids[server])
                case api.Log(text):
                    log.event("module", text=text)
                case api.Subscribe() | api.FetchList() | api.Probe():
                    pass  # the list is pushed by discovery, and probing desks is not allowed

    def _schedule_timer(self, token: int, at: float) -> None:
        """Deliver TimerFired at `at` (ms by this clock), never earlier: the module would ignore it and wait on.

        A loop timer may fire slightly early by this clock, whose milliseconds since 1970 are rounded.
        """
        remaining_ms = at - self.clock()
        if remaining_ms <= 0.0:
            asyncio.get_running_loop().call_soon(self.notify, api.TimerFired(token))
        else:
            asyncio.get_running_loop().call_later(
                max(remaining_ms / 1000.0, MIN_TIMER_S), self._fire_timer, token, at
            )

    def _fire_timer(self, token: int, at: float) -> None:
        if self.clock() < at:
            self._schedule_timer(token, at)
        else:
            self.notify(api.TimerFired(token))

    def notify(self, event: api.Event) -> None:
        """Handle an event that belongs to no session; an error is logged and does not reach the event's source."""
        try:
            self.handle(event)
        except Exception as error:
            log.event("fault", where="module", news=type(event).__name__, error=repr(error), trace=log.trace(error))

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings, derived from those in force; open calls keep their class."""
        self.settings = settings
        self.counters.add_classes(tuple(settings.class_ids))
        self.notify(api.NewSettings(self._module_settings(settings)))

    def numbers_in_use(self) -> tuple[set[int], set[int]]:
        """Numbers of the classes and of the tenants of open calls."""
        requests = [session.request for session in self.sessions.values()]
        return {request.call_class for request in requests}, {request.tenant for request in requests}

    def set_instances(self, instances: int) -> None:
        """Divide fleet-wide limits by this number of instances."""
        self.instances = instances
        self.notify(api.NewSettings(self._module_settings(self.settings)))

    def refresh(self) -> None:
        """Apply changes of the input filters; called before every event and request."""
        if self.filter_chain.refresh():
            self.notify(api.NewSettings(self._module_settings(self.settings)))
            self.push_desk_changes()

    def _module_settings(self, settings: api.Settings) -> api.Settings:
        if self.instances:
            settings = replace(settings, instances=self.instances)
        settings = self.filter_chain.filter_settings(settings)
        return self.advisor.extend_settings(settings) if self.advisor else settings

    def stats(self) -> dict[str, Any]:
        """Statistics for operators; the module decides which desks are out of rotation."""
        now = self.clock()
        return self.counters.snapshot() | {
            "open_requests": len(self.sessions),
            "registry_entries": len(self.listed),
            "out_of_rotation": sum(
                self.module.node.excludes(now, server) for server in self.module.node.fleet.servers.values()
            ),
        }

    # -- the list of desks --------------------------------------------------------------------

    def list_changed(self, scope: api.Scope, desks: Sequence[Desk]) -> None:
        """Apply an update of the list; the module comes first, so that no new call goes to a draining desk."""
        self.refresh()
        now = self.clock()
        filtered = self.filter_chain.filter_desks(now / 1000.0, now, desks, scope != api.Scope.DELTA)
        self.notify(api.ListChange(scope, self._list_entries(filtered)))
        removed = [] if scope == api.Scope.DELTA else self.listed.keys() - {d.ident for d in desks}
        for name in sorted(removed):
            old = self.listed[name]
            self._update_desk(Desk(name, old.address, old.zone, old.cell, api.Availability.GONE, old.since_ms))
        for desk in desks:
            self._update_desk(desk)
        if self.steering:
            self.steering.update_desks(self.clock(), self.listed.values())
            self.apply_steering()

    def _list_entries(self, desks: Sequence[Desk]) -> tuple[api.ListEntry, ...]:
        return tuple(
            api.ListEntry(self._desk_number(d.ident), d.zone, d.cell, d.availability, d.since_ms) for d in desks
        )

    def push_desk_changes(self) -> None:
        """Pass the desks whose state the input filters have changed to the module."""
        now = self.clock()
        if changed := self.filter_chain.changed_desks(now / 1000.0, now):
            self.notify(api.ListChange(api.Scope.DELTA, self._list_entries(changed)))

    def apply_steering(self) -> None:
        """Pass the current settings of the steering to the module; called periodically and when the list changes."""
        if self.steering:
            now = self.clock()
            self.steering.step(now)
            self.module.update_inputs(self._module_settings(self.steering.decision_settings(now)))
            events, self.steering.pending_events = self.steering.pending_events, []
            for name, facts in events:
                log.event(name, **facts)

    def _first_choice(self, request: Request) -> int:
        """The pool of first choice: by the steering if there is one, else the one in the request."""
        if self.steering is None:
            return request.destination
        number = request.number.encode("utf-8", "surrogateescape")
        return self.steering.first_choice(self.clock(), request.class_name, number, request.destination)

    def _forward_idle_agents(self, desk: str, report: Sequence[float]) -> None:
        """Pass the number of idle agents in a desk's report to the steering."""
        if self.steering and "idle" in self.settings.fields[: len(report)]:
            self.steering.report_idle_agents(self.clock(), desk, report[self.settings.fields.index("idle")])

    def _update_desk(self, desk: Desk) -> None:
        if desk.availability == api.Availability.GONE:
            self.listed.pop(desk.ident, None)
        else:
            self.listed[desk.ident] = desk
        if self.desks:
            self.desks.desk_changed(desk)
        self._forget_if_unused(desk.ident)

    def _desk_number(self, ident: str) -> int:
        if ident not in self.desk_numbers:
            self.desk_numbers[ident] = self.next_number
            self.desk_ids[self.next_number] = ident
            self.next_number += 1
        return self.desk_numbers[ident]

    def _forget_if_unused(self, ident: str) -> None:
        """Remove a desk that is neither listed nor has an attempt or call."""
        if ident not in self.listed and not self.open_legs[ident]:
            del self.open_legs[ident]
            if (number := self.desk_numbers.pop(ident, None)) is not None:
                del self.desk_ids[number]

    def _clear_attempt(self, session: CallSession) -> Attempt | None:
        """Clear a session's current attempt."""
        attempt, session.attempt = session.attempt, None
        if attempt:
            self.open_legs[attempt.desk] -= 1
        return attempt

    def report_received(self, desk: str, report: tuple[float, ...]) -> None:
        """Handle a report that a desk sent unasked."""
        if desk in self.desk_numbers:
            self._forward_idle_agents(desk, report)
            self.notify(api.ServerReport(self.desk_numbers[desk], api.Status.OK, 0.0, report))

    def peer_message(self, sender: int, payload: bytes) -> None:
        """Handle a message from another call agent."""
        self.notify(api.PeerMessage(sender, payload))
