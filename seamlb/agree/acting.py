"""What the rules that are acted on now make of one agent: settings, open calls, desks that get nothing. Pure.

Rules with an effect, by their names:

    open            limit   calls that an agent has open at most
    tenant.NAME     share   calls a second of a tenant that each agent takes as within its allowance
    desks           held    desks that get no new calls
    zones           left    zones whose desks get no new calls

All others are shown and carried out by nobody here.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

from seamlb.agree.charter import ConfigVersion
from seamlb.agree.holder import LeaseHolder, LeaseState
from seamlb.agree.relations import Value
from seamlb.api import Availability, Settings
from seamlb.routing.model import Desk
from seamlb.routing.seam import InputFilter

TENANT_PREFIX = "tenant."
EXPECTED_KINDS = {"open": "limit", "desks": "held", "zones": "left"}


def kind_error(version: ConfigVersion) -> str:
    """A rule whose name has an effect and whose kind can't have it; empty if there is none."""
    for name, one in version.rules.items():
        wanted = "share" if name.startswith(TENANT_PREFIX) else EXPECTED_KINDS.get(name, one.kind)
        if one.kind != wanted:
            return f"{name}: of kind {one.kind!r}, not {wanted!r}"
    return ""


class RuleEnforcer(InputFilter):
    """One agent's rules as its holder has them; `clock` gives seconds that also count while the machine sleeps."""

    def __init__(self, holder: LeaseHolder, zones: Sequence[str], clock: Callable[[], float]) -> None:
        self.holder, self.zones, self.clock = holder, tuple(zones), clock
        self.listed_desks: dict[str, Desk] = {}  # as the list, or who stands before us, has them
        self.sent_availability: dict[str, Availability] = {}  # as the module was told last
        self.applied: tuple[int, LeaseState] | None = None
        self.desks_stale = False  # other values since the module was last told of desks: asked for each attempt
        self.values: Mapping[str, Value] = {}
        self.state_changes: list[tuple[LeaseState, ConfigVersion, float]] = []  # stances taken: since when

    def refresh(self) -> bool:
        """Whoever is about to act asks; has what it may act on changed since the last time?"""
        now = self.clock()
        lease_state = self.holder.lease_state(now)
        if self.applied == (self.holder.newest.number, lease_state):
            return False
        self.applied = self.holder.newest.number, lease_state
        self.values, self.desks_stale = self.holder.values(now), True
        # A lease that has ended did so at its time, and nothing was done since: whoever acts looks first.
        since = min(now, self.holder.expires_at or now) if lease_state is LeaseState.FALLBACK else now
        self.state_changes.append((lease_state, self.holder.newest, since))
        return True

    @property
    def max_open(self) -> float:
        """Calls that may be open."""
        return float(self.values.get("open", math.inf))

    def filter_settings(self, settings: Settings) -> Settings:
        """The settings with this agent's parts of allowances: the module divides them by the instances."""
        allowances = list(settings.allowances)
        for name, value in self.values.items():
            if (
                name.startswith(TENANT_PREFIX)
                and (number := settings.tenant_ids.get(name.removeprefix(TENANT_PREFIX))) is not None
            ):
                allowances[number] = value["parts"].get(self.holder.name, 0.0) * settings.instances
        return replace(settings, allowances=tuple(allowances))

    def filter_desks(self, now: float, unix_ms: float, desks: Iterable[Desk], whole: bool) -> list[Desk]:
        """News of the list, as the module is to have them."""
        if whole:
            self.listed_desks, self.sent_availability = {}, {}
        found = []
        for desk in desks:
            if desk.availability == Availability.GONE:
                self.listed_desks.pop(desk.ident, None)
                self.sent_availability.pop(desk.ident, None)
                found.append(desk)
            else:
                self.listed_desks[desk.ident] = desk
                found.append(self._with_availability(desk))
        return found

    def changed_desks(self, now: float, unix_ms: float) -> list[Desk]:
        """Desks of which the module has to be told something else now."""
        desks_stale, self.desks_stale = self.desks_stale, False
        if not desks_stale:
            return []
        had = dict(self.sent_availability)
        return [
            seen
            for desk in self.listed_desks.values()
            if (seen := self._with_availability(desk)).availability != had[desk.ident]
        ]

    def _with_availability(self, desk: Desk) -> Desk:
        left = self.values.get("zones", {}).get("left", ())
        held = desk.ident in self.values.get("desks", ()) or (
            0 <= desk.zone < len(self.zones) and self.zones[desk.zone] in left
        )
        sent_availability = Availability.DRAINING if held else Availability(desk.availability)
        self.sent_availability[desk.ident] = sent_availability
        return replace(desk, availability=sent_availability)
