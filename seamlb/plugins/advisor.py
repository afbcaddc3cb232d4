"""Brings plug-ins' advice to the agent as the decision module's usual inputs.

A call's standing becomes a class of its own beside the plain one, with the same times and more or less worth: the
module ranks and gaps it by its own rules. An advice holds no desk client, no attempt and no caller; what it names is
looked up in the list and the settings, and does nothing where these don't have it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from seamlb import api
from seamlb.plugins.chain import Chain
from seamlb.plugins.host import Facts
from seamlb.routing.model import Availability, Desk, Request

PRECEDENCE = 2.0  # times the worth of its class


class PluginAdvisor:
    """The agent's Advisor over a chain of plug-ins."""

    def __init__(self, chain: Chain, settings: api.Settings, offices: Sequence[str],
                 clock: Callable[[], float]) -> None:
        self.chain, self.settings, self.clock = chain, settings, clock
        self.classes = {kind.name: place for place, kind in enumerate(settings.classes)}
        self.offices = {name: place for place, name in enumerate(offices)}
        self.desks = 0

    def extend(self, settings: api.Settings) -> api.Settings:
        """Behind the plain classes: the same with precedence, then the same advised against."""
        plain = settings.classes
        more = tuple(replace(kind, worth=kind.worth * PRECEDENCE) for kind in plain)
        less = tuple(replace(kind, worth=kind.worth * settings.over_share_worth) for kind in plain)
        return replace(settings, classes=plain + more + less)

    def advise(self, now: float, request: Request, listed: Mapping[str, Desk]) -> Request:
        facts = Facts(request.class_name, request.tenant_name, request.number, request.patience_ms,
                      desks=len(listed))
        told = self.chain.advise(now, facts)
        place = self.classes.get(told.kind, request.call_class)
        kind = self.settings.classes[place]
        tenant = self.offices.get(told.office, request.tenant)
        destination = request.destination
        if (desk := listed.get(told.desk)) is not None and desk.availability == Availability.READY and (
                kind.pools is None or desk.cell in kind.pools):
            destination = desk.cell
        if told.kind != request.class_name and kind.pools is not None and destination not in kind.pools:
            return request  # a class that its first choice can't take
        step = len(self.settings.classes) * {0: 0, 1: 1, -1: 2}[told.standing]
        name = kind.name if told.kind in self.classes else request.class_name
        return replace(
            request, call_class=place + step, class_name=name, tenant=tenant,
            tenant_name=told.office if told.office in self.offices else request.tenant_name,
            destination=destination, slots=kind.width if told.kind != request.class_name else request.slots)

    def observe(self, request: Request, result: str, attempts: int) -> None:
        self.chain.observe(Facts(request.class_name, request.tenant_name, request.number, request.patience_ms, result,
                                 attempts, self.desks))

    def beat(self, listed: int) -> None:
        """Between calls: what plug-ins are told of besides, in bounded portions."""
        now = self.clock()
        if listed != self.desks:
            self.desks = listed
            self.chain.event(now, "list_changed", Facts(desks=listed))
        self.chain.event(now, "tick", Facts(desks=listed))
        self.chain.drain(now)
