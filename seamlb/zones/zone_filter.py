"""Adjusts the desks' availability that the decision module sees to the state of their zones. Does no I/O.

All routing decisions stay with the module. It sees desks of a zone that is out as draining, and desks of a zone that
is being returned to as cold-started at the return, or as draining while this agent's share of the rate is used up.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from seamlb.routing.input_filters import InputFilter
from seamlb.routing.model import Availability, Desk, Status
from seamlb.zones.failover import MIN_OUT_S, RAMP_S, ReturnPacer, Vote, ZoneFailover, ZoneState
from seamlb.zones.observations import ZoneObservations

FAILURES = (Status.RESET, Status.TIMEOUT, Status.CONNECT_FAILED)
RESPONSES = (Status.OK, Status.FULL, Status.ERROR)  # they prove that the desk is alive


class ZoneFilter(InputFilter):
    """Zone failover of one agent: takes its attempts and the other agents' votes, and filters the list of desks.

    `desk_capacity` is the calls/s that one desk handles from all agents together; an attempt without an answer for
    `stall` s counts as timed out.
    """

    def __init__(
        self,
        names: Sequence[str],
        configured: int,
        desk_capacity: float,
        stall: float,
        regions: Sequence[frozenset[int]] = (),
        min_out: float = MIN_OUT_S,
        ramp: float = RAMP_S,
    ) -> None:
        self.names, self.desk_capacity, self.stall = names, desk_capacity, stall
        self.observations = ZoneObservations()
        self.zones = ZoneFailover(len(names), configured, regions, min_out, ramp)
        self.pacer = ReturnPacer()
        self.divisor = max(1, configured)
        self.desks: dict[str, Desk] = {}  # as listed by discovery
        self.reported: dict[str, Desk] = {}  # as passed on to the module
        self.returned_at: dict[str, float] = {}  # by desk: Unix ms of the latest return to its zone
        self.open_attempts: dict[int, tuple[float, str]] = {}  # by number: sent at (s), desk
        self.votes: dict[str, Vote] = {}
        self.relative_rank = 0.0  # this agent's index among the alive agents over their number, 0 to 1

    # -- attempts -----------------------------------------------------------------------------

    def attempt_started(self, now: float, attempt: int, desk: str) -> None:
        """An attempt was sent."""
        self.open_attempts[attempt] = now, desk
        self.pacer.sent(desk)

    def attempt_ended(self, now: float, attempt: int, status: Status) -> None:
        """An attempt has ended; ignored if it was already counted as timed out or is older than its zone's state."""
        at, desk = self.open_attempts.pop(attempt, (0.0, ""))
        if desk in self.desks and status in (*FAILURES, *RESPONSES):
            number = self.desks[desk].zone
            if number in self.zones.zones and at >= self.zones.zones[number].since:
                self.observations.record(now, desk, number, status in FAILURES)

    # -- the fleet ----------------------------------------------------------------------------

    def step(self, now: float, others: Mapping[str, Vote], divisor: int, relative_rank: float = 0.0) -> None:
        """Advance all zones; `others` are the other alive agents' votes, `divisor` divides the fleet's call rates."""
        self.relative_rank = relative_rank
        self.divisor, self.votes = max(1, divisor), dict(others)
        for attempt, (at, _) in list(self.open_attempts.items()):
            if now - at > self.stall:  # counted now, as it may end much later
                self.attempt_ended(now, attempt, Status.TIMEOUT)
        before = {number: zone.state for number, zone in self.zones.zones.items()}
        self.zones.step(now, self.vote(now), others)
        for number, zone in self.zones.zones.items():
            if zone.state is not before[number]:
                self.observations.forget(number)
                for desk in self._desks_in(number):
                    self.pacer.forget(desk)

    def vote(self, now: float) -> Vote:
        """The vote that this agent publishes."""
        per_zone = Counter(one.zone for one in self.desks.values() if one.availability == Availability.READY)
        observed, failing = self.observations.evaluate(now, per_zone)
        out = self.zones.out  # what was observed there led to leaving; it says nothing about the present
        return Vote(observed & ~out, failing & ~out, out)

    def _desks_in(self, number: int) -> list[str]:
        return [name for name, desk in self.desks.items() if desk.zone == number]

    # -- the list of desks --------------------------------------------------------------------

    def _filtered(self, now: float, unix_ms: float, desk: Desk) -> Desk:
        zone = self.zones.zones.get(desk.zone)
        if zone is None or desk.availability != Availability.READY:
            return desk
        if zone.state is ZoneState.OUT:
            self.returned_at.pop(desk.ident, None)
            return replace(desk, availability=Availability.DRAINING)
        if zone.state is ZoneState.RETURN and desk.ident not in self.returned_at:
            self.returned_at[desk.ident] = unix_ms
        desk = replace(desk, since_ms=max(desk.since_ms, self.returned_at.get(desk.ident, 0.0)))
        share = self.zones.capacity_share(now, desk.zone)
        if share < math.inf and not self.pacer.allows(
            now, desk.ident, self.desk_capacity * share / self.divisor, self.relative_rank
        ):
            return replace(desk, availability=Availability.DRAINING)
        return desk

    def filter_desks(self, now: float, unix_ms: float, desks: Iterable[Desk], whole: bool) -> list[Desk]:
        """Filter an update of the list of desks; `whole`: it is the complete list."""
        desks = list(desks)
        if whole:
            named = {one.ident for one in desks}
            for name in self.desks.keys() - named:
                self._forget(name)
        for desk in desks:
            if desk.availability == Availability.GONE:
                self._forget(desk.ident)
            else:
                self.desks[desk.ident] = desk
        found = [self._filtered(now, unix_ms, one) for one in desks]
        self.reported |= {one.ident: one for one in found if one.availability != Availability.GONE}
        return found

    def changed_desks(self, now: float, unix_ms: float) -> list[Desk]:
        """Desks that the module must be given again, as their availability has changed since the last report."""
        found = []
        for name, desk in self.desks.items():
            filtered = self._filtered(now, unix_ms, desk)
            if filtered != self.reported.get(name):
                self.reported[name] = filtered
                found.append(filtered)
        return found

    def _forget(self, name: str) -> None:
        for by_name in (self.desks, self.reported, self.returned_at):
            by_name.pop(name, None)
        self.pacer.forget(name)

    # -- operators ----------------------------------------------------------------------------

    def force(self, name: str, state: str) -> bool:
        """Force a zone `out` or `in`, or back to `auto`; False if the zone or the state is unknown."""
        if name not in self.names or state not in ("out", "in", "auto"):
            return False
        self.zones.force(self.names.index(name), None if state == "auto" else ZoneState(state))
        return True

    def table(self, now: float) -> dict[str, Any]:
        """The response body of `/admin/zones`."""
        own = self.vote(now)
        return {
            "divisor": self.divisor,
            "zones": [
                {
                    "name": name,
                    "state": zone.state.value,
                    "forced": zone.forced.value if zone.forced else "",
                    "for_s": round(now - zone.since, 1) if zone.since > -math.inf else None,
                    "flaps": zone.flaps,
                    "part": None
                    if (share := self.zones.capacity_share(now, number)) == math.inf
                    else round(share, 3),
                    "we_see_it_fail": bool(own.failing >> number & 1),
                    "others_see": sum(bool(one.observed >> number & 1) for one in self.votes.values()),
                    "others_see_it_fail": sum(bool(one.failing >> number & 1) for one in self.votes.values()),
                    "others_out": sum(bool(one.out >> number & 1) for one in self.votes.values()),
                }
                for (number, zone), name in zip(self.zones.zones.items(), self.names, strict=True)
            ],
        }
