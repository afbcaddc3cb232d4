"""Brings plug-ins' advice to the agent as the decision module's usual inputs.

A call's standing becomes an office of its own: one whose allowance is never used up, or one that has none. So the
module counts it within a share, or beyond one, and ranks it among the classes that it has. (Classes of more and less
worth beside the plain ones were tried first: they moved the worth from which lines are kept, doubled the ranks that
the gate lifts one by one, and cost alert-confirm 0.30 of its worth in `examples/lab/evacuation.toml`.) An advice
holds no desk client, no attempt and no caller; what it names is looked up in the list and the settings, and does
nothing where these don't have it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from seamlb import api
from seamlb.plugins.chain import Chain
from seamlb.plugins.host import Facts
from seamlb.routing.model import Availability, Desk, Request

ENDLESS = 1e9  # calls a second


class PluginAdvisor:
    """The agent's Advisor over a chain of plug-ins."""

    def __init__(
        self, chain: Chain, settings: api.Settings, offices: Sequence[str], clock: Callable[[], float]
    ) -> None:
        self.chain, self.settings, self.clock = chain, settings, clock
        self.classes = {kind.name: place for place, kind in enumerate(settings.classes)}
        self.offices = {name: place for place, name in enumerate(offices)}
        self.desks = 0

    def extend_settings(self, settings: api.Settings) -> api.Settings:
        """Behind the offices: one that is always within its share, one that never is."""
        if not settings.allowances:
            return settings  # without shares a call has no standing that could differ
        return replace(settings, allowances=(*settings.allowances, ENDLESS, 0.0))

    def advise(self, now: float, request: Request, listed: Mapping[str, Desk]) -> Request:
        """What the plug-ins make of a request before the module decides."""
        facts = Facts(request.class_name, request.tenant_name, request.number, request.patience_ms, desks=len(listed))
        told = self.chain.advise(now, facts)
        place = self.classes.get(told.class_name, request.call_class)
        kind = self.settings.classes[place]
        tenant = self.offices.get(told.office, request.tenant)
        destination = request.destination
        if (
            (desk := listed.get(told.desk)) is not None
            and desk.availability == Availability.READY
            and (kind.pools is None or desk.cell in kind.pools)
        ):
            destination = desk.cell
        if told.class_name != request.class_name and kind.pools is not None and destination not in kind.pools:
            return request  # a class that its first choice can't take
        name = kind.name if told.class_name in self.classes else request.class_name
        if told.standing and self.settings.allowances:
            tenant = len(self.settings.allowances) + (told.standing < 0)
        return replace(
            request,
            call_class=place,
            class_name=name,
            tenant=tenant,
            tenant_name=told.office if told.office in self.offices else request.tenant_name,
            destination=destination,
            slots=kind.width if told.class_name != request.class_name else request.slots,
        )

    def observe(self, request: Request, result: str, attempts: int) -> None:
        """Tell the plug-ins what became of a request."""
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
        """Between calls: what plug-ins are told of besides, in bounded portions."""
        now = self.clock()
        if listed != self.desks:
            self.desks = listed
            self.chain.event(now, "list_changed", Facts(desks=listed))
        self.chain.event(now, "tick", Facts(desks=listed))
        self.chain.drain(now)
