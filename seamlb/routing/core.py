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
from seamlb.routing.life import Life
from seamlb.routing.model import Advisor, Attempt, Desk, DeskClient, Guide, Peers, Request
from seamlb.routing.seam import Seam

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
        guide: Guide | None = None,
        advisor: Advisor | None = None,
    ) -> None:
        self.settings = settings
        self.advisor = advisor
        self.seam = Seam()
        self.instances = 0  # that share fleet-wide limits; 0: as many as the settings name
        self.module = Controller(self._for_module(settings), seed)
        self.clock = clock or Clock().now
        self.guide = guide
        self.desks: DeskClient | None = None
        self.peers: Peers | None = None
        self.lives: dict[int, Life] = {}
        self.counters = Counters()
        self.counters.know(tuple(settings.class_ids))
        # Desk ids and the module's numbers, kept while the desk is listed or has an attempt or a call that
        # stands: desks are replaced all day. A number is never given twice.
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.next_number = 0
        self.held: Counter[str] = Counter()  # attempts and calls that stand, by desk
        self.listed: dict[str, Desk] = {}

    # -- the module ---------------------------------------------------------------------------

    def feed(self, event: api.Event) -> None:
        """Give the module an event and carry out what it decides, in order."""
        self.look()
        for action in self.module.handle(self.clock(), event):
            if self.seam.parts and isinstance(action, api.SendSetUp) and action.call in self.lives:
                self.seam.sent(self.clock() / 1000.0, action.call, self.names.get(action.server, ""))
                self.desks_changed()
            match action:
                case api.SendSetUp() | api.Refuse() | api.Fail() | api.Cancel():
                    if life := self.lives.get(action.call):
                        life.news.put_nowait(action)
                case api.SetTimer(token, at):
                    self._alarm(token, at)
                case api.SendMessage(target, payload):
                    if self.peers:
                        self.peers.send(target, payload)
                case api.CloseIdle(server):
                    if self.desks and server in self.names:
                        self.desks.free(self.names[server])
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
            asyncio.get_running_loop().call_soon(self.tell, api.TimerFired(token))
        else:
            asyncio.get_running_loop().call_later(max(early / 1000.0, LEAST_WAIT), self._due, token, at)

    def _due(self, token: int, at: float) -> None:
        if self.clock() < at:
            self._alarm(token, at)
        else:
            self.tell(api.TimerFired(token))

    def tell(self, event: api.Event) -> None:
        """Feed news that belongs to no life; a fault is logged and must not end whoever brought the news."""
        try:
            self.feed(event)
        except Exception as error:
            log.event("fault", where="module", news=type(event).__name__, error=repr(error), trace=log.trace(error))

    def retune(self, settings: api.Settings) -> None:
        """Serve by these settings from now on, which follow those in force; what is open keeps its class."""
        self.settings = settings
        self.counters.know(tuple(settings.class_ids))
        self.tell(api.NewSettings(self._for_module(settings)))

    def numbers_in_use(self) -> tuple[set[int], set[int]]:
        """Numbers of classes and tenants that calls which are open have."""
        requests = [life.request for life in self.lives.values()]
        return {one.call_class for one in requests}, {one.tenant for one in requests}

    def share_among(self, instances: int) -> None:
        """Fleet-wide limits are divided by so many instances from now on."""
        self.instances = instances
        self.tell(api.NewSettings(self._for_module(self.settings)))

    def look(self) -> None:
        """Before anything is done: act on what the parts say now."""
        if self.seam.look():
            self.tell(api.NewSettings(self._for_module(self.settings)))
            self.desks_changed()

    def _for_module(self, settings: api.Settings) -> api.Settings:
        if self.instances:
            settings = replace(settings, instances=self.instances)
        settings = self.seam.settings(settings)
        return self.advisor.extend(settings) if self.advisor else settings

    def figures(self) -> dict[str, Any]:
        """What staff see; which desks are avoided is the module's word."""
        now = self.clock()
        return self.counters.table() | {
            "open_requests": len(self.lives),
            "registry_entries": len(self.listed),
            "out_of_rotation": sum(
                self.module.node.excludes(now, server) for server in self.module.node.fleet.servers.values()
            ),
        }

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
            self.module.update_inputs(self._for_module(self.guide.inputs(now)))
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
        if self.guide and "idle" in self.settings.fields[: len(report)]:
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
            self.tell(api.ServerReport(self.numbers[desk], api.Status.OK, 0.0, report))

    def peer_said(self, sender: int, payload: bytes) -> None:
        """A message from another call agent."""
        self.tell(api.PeerMessage(sender, payload))
