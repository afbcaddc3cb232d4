"""Applies the rules in use to one agent: its settings, its limit on open calls, desks that get no calls. Pure.

Rules that are enforced here, with their kinds:

        open            limit   maximum of calls that an agent has open
        tenant.NAME     share   calls per second of a tenant that each agent admits as within its allowance
    desks           held    desks that get no new calls
    zones           left    zones whose desks get no new calls

All other rules are only shown.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

from seamlb.agree.lease import LeaseHolder, LeaseState
from seamlb.agree.relations import Value
from seamlb.agree.version import ConfigVersion
from seamlb.api import Availability, Settings
from seamlb.routing.input_filters import InputFilter
from seamlb.routing.model import Desk

TENANT_PREFIX = "tenant."
EXPECTED_KINDS = {"open": "limit", "desks": "held", "zones": "left"}


def kind_error(version: ConfigVersion) -> str:
    """Names a rule that is enforced here but has another kind than that needs; empty if there is none."""
    for name, rule in version.rules.items():
        expected = "share" if name.startswith(TENANT_PREFIX) else EXPECTED_KINDS.get(name, rule.kind)
        if rule.kind != expected:
            return f"{name}: of kind {rule.kind!r}, not {expected!r}"
    return ""


class RuleEnforcer(InputFilter):
    """Enforces the rules in use by one agent; `clock` is in seconds and also counts while the machine sleeps."""

    def __init__(self, holder: LeaseHolder, zones: Sequence[str], clock: Callable[[], float]) -> None:
        self.holder, self.zones, self.clock = holder, tuple(zones), clock
        self.listed_desks: dict[str, Desk] = {}  # as the list, or the filter before this one, has them
        self.sent_availability: dict[str, Availability] = {}  # as last sent to the decision module
        self.applied: tuple[int, LeaseState] | None = None
        self.desks_stale = False  # have the values changed since desks were last sent? Checked for each attempt
        self.values: Mapping[str, Value] = {}
        self.state_changes: list[tuple[LeaseState, ConfigVersion, float]] = []  # to be logged; start in s

    def refresh(self) -> bool:
        """Updates the values if the version or the lease state has changed; returns whether it has."""
        now = self.clock()
        lease_state = self.holder.lease_state(now)
        if self.applied == (self.holder.newest.number, lease_state):
            return False
        self.applied = self.holder.newest.number, lease_state
        self.values, self.desks_stale = self.holder.values(now), True
        # The lease ended when it expired: nothing was done since, as this is called before every action.
        since = min(now, self.holder.expires_at or now) if lease_state is LeaseState.FALLBACK else now
        self.state_changes.append((lease_state, self.holder.newest, since))
        return True

    @property
    def max_open(self) -> float:
        """Calls that may be open at most."""
        return float(self.values.get("open", math.inf))

    def filter_settings(self, settings: Settings) -> Settings:
        """Sets allowances to this agent's shares, times the instances, as the module divides by those."""
        allowances = list(settings.allowances)
        for name, value in self.values.items():
            if (
                name.startswith(TENANT_PREFIX)
                and (number := settings.tenant_ids.get(name.removeprefix(TENANT_PREFIX))) is not None
            ):
                allowances[number] = value["parts"].get(self.holder.name, 0.0) * settings.instances
        return replace(settings, allowances=tuple(allowances))

    def filter_desks(self, now: float, unix_ms: float, desks: Iterable[Desk], whole: bool) -> list[Desk]:
        """Desks that were added or changed, with the availability that the rules leave them."""
        if whole:
            self.listed_desks, self.sent_availability = {}, {}
        filtered = []
        for desk in desks:
            if desk.availability == Availability.GONE:
                self.listed_desks.pop(desk.ident, None)
                self.sent_availability.pop(desk.ident, None)
                filtered.append(desk)
            else:
                self.listed_desks[desk.ident] = desk
                filtered.append(self._with_availability(desk))
        return filtered

    def changed_desks(self, now: float, unix_ms: float) -> list[Desk]:
        """Desks whose availability has changed with the rules."""
        desks_stale, self.desks_stale = self.desks_stale, False
        if not desks_stale:
            return []
        previous = dict(self.sent_availability)
        return [
            filtered
            for desk in self.listed_desks.values()
            if (filtered := self._with_availability(desk)).availability != previous[desk.ident]
        ]

    def _with_availability(self, desk: Desk) -> Desk:
        left = self.values.get("zones", {}).get("left", ())
        held = desk.ident in self.values.get("desks", ()) or (
            0 <= desk.zone < len(self.zones) and self.zones[desk.zone] in left
        )
        availability = Availability.DRAINING if held else Availability(desk.availability)
        self.sent_availability[desk.ident] = availability
        return replace(desk, availability=availability)
