"""Translates the plug-ins' advice on a call into changed inputs of the decision module.

A call with raised or lowered priority is assigned to one of two additional offices: one whose allowance is never used
up, and one that has no allowance. The module then counts the call within or beyond its share, and ranks it among the
existing classes. Additional classes, worth more or less than the configured ones, are no alternative: they shift the
worth from which lines are kept, double the ranks that the gate lifts one by one, and cost alert-confirm 0.30 of its
worth in `examples/lab/evacuation.toml`. Advice holds no desk client, attempt or caller, only names; these are looked
up in the list and the settings, and have no effect if they are unknown there.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from seamlb import api
from seamlb.plugins.chain import Chain
from seamlb.plugins.host import Facts
from seamlb.routing.model import Availability, Desk, Request

UNLIMITED_CALLS_PER_S = 1e9


class PluginAdvisor:
    """The agent's Advisor, backed by a chain of plug-ins."""

    def __init__(
        self, chain: Chain, settings: api.Settings, offices: Sequence[str], clock: Callable[[], float]
    ) -> None:
        self.chain, self.settings, self.clock = chain, settings, clock
        self.classes = {kind.name: index for index, kind in enumerate(settings.classes)}
        self.offices = {name: index for index, name in enumerate(offices)}
        self.desks = 0

    def extend_settings(self, settings: api.Settings) -> api.Settings:
        """Append two offices to the configured ones: one always within its share, one always beyond."""
        if not settings.allowances:
            return settings  # without shares there is no priority to change
        return replace(settings, allowances=(*settings.allowances, UNLIMITED_CALLS_PER_S, 0.0))

    def advise(self, now: float, request: Request, listed: Mapping[str, Desk]) -> Request:
        """The request as changed by the plug-ins, before the decision module handles it."""
        facts = Facts(request.class_name, request.tenant_name, request.number, request.patience_ms, desks=len(listed))
        advice = self.chain.advise(now, facts)
        class_index = self.classes.get(advice.class_name, request.call_class)
        call_class = self.settings.classes[class_index]
        tenant = self.offices.get(advice.office, request.tenant)
        destination = request.destination
        if (
            (desk := listed.get(advice.desk)) is not None
            and desk.availability == Availability.READY
            and (call_class.pools is None or desk.cell in call_class.pools)
        ):
            destination = desk.cell
        if (
            advice.class_name != request.class_name
            and call_class.pools is not None
            and destination not in call_class.pools
        ):
            return request  # the first choice does not take the new class
        name = call_class.name if advice.class_name in self.classes else request.class_name
        if advice.priority and self.settings.allowances:
            tenant = len(self.settings.allowances) + (advice.priority < 0)
        return replace(
            request,
            call_class=class_index,
            class_name=name,
            tenant=tenant,
            tenant_name=advice.office if advice.office in self.offices else request.tenant_name,
            destination=destination,
            slots=call_class.width if advice.class_name != request.class_name else request.slots,
        )

    def observe(self, request: Request, result: str, attempts: int) -> None:
        """Pass the result of a request to the plug-ins."""
        self.chain.observe(
            Facts(
                request.class_name,
                request.tenant_name,
                request.number,
                request.patience_ms,
                result,
                attempts,
                self.desks,
            )
        )

    def tick(self, listed: int) -> None:
        """Deliver events other than calls, and a bounded batch of queued observations; `listed`: number of desks."""
        now = self.clock()
        if listed != self.desks:
            self.desks = listed
            self.chain.deliver_event(now, "list_changed", Facts(desks=listed))
        self.chain.deliver_event(now, "tick", Facts(desks=listed))
        self.chain.drain(now)
