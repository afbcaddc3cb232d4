"""What an agent's decision module is told of its desks, by what the fleet does about their zones. Pure.

The module stays in charge: a desk of a zone that is out is told to it as one that drains, one of a zone that is
returned to as one that started cold just then, and drains whenever this agent's part of the pace is used up.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from seamlb.routing.model import Availability, Desk, Status
from seamlb.routing.seam import InputFilter
from seamlb.zones.fleet import MIN_OUT_S, RAMP_S, Paces, Vote, Zones, ZoneState
from seamlb.zones.sight import Sight

FAILED = (Status.RESET, Status.TIMEOUT, Status.CONNECT_FAILED)
LIVES = (Status.OK, Status.FULL, Status.ERROR)  # the desk answered


class ZoneFilter(InputFilter):
    """One agent's: fed with its attempts and the others' votes, asked what its module is to believe."""

    def __init__(
        self,
        names: Sequence[str],
        configured: int,
        bears: float,
        stall: float,
        regions: Sequence[frozenset[int]] = (),
        out: float = MIN_OUT_S,
        ramp: float = RAMP_S,
    ) -> None:
        self.names, self.bears, self.stall = names, bears, stall
        self.sight = Sight()
        self.zones = Zones(len(names), configured, regions, out, ramp)
        self.paces = Paces()
        self.divisor = max(1, configured)
        self.desks: dict[str, Desk] = {}  # as the list has them
        self.told: dict[str, Desk] = {}  # as the module has them
        self.since: dict[str, float] = {}  # Unix ms of the latest return, by desk
        self.out: dict[int, tuple[float, str]] = {}  # attempts: since when, where
        self.votes: dict[str, Vote] = {}
        self.place = 0.0  # ours among the living, from 0 to 1

    # -- attempts -----------------------------------------------------------------------------

    def attempt_started(self, now: float, attempt: int, desk: str) -> None:
        """An attempt goes out."""
        self.out[attempt] = now, desk
        self.paces.sent(desk)

    def attempt_ended(self, now: float, attempt: int, status: Status) -> None:
        """It is over; one that stalled is told already. One from before its zone was left tells of that time."""
        at, desk = self.out.pop(attempt, (0.0, ""))
        if desk in self.desks and status in (*FAILED, *LIVES):
            number = self.desks[desk].zone
            if number in self.zones.zones and at >= self.zones.zones[number].since:
                self.sight.ended(now, desk, number, status in FAILED)

    # -- the fleet ----------------------------------------------------------------------------

    def step(self, now: float, others: Mapping[str, Vote], divisor: int, place: float = 0.0) -> None:
        """Take what the living others tell, by how many the fleet's paces are divided, and our place among them."""
        self.place = place
        self.divisor, self.votes = max(1, divisor), dict(others)
        for attempt, (at, _) in list(self.out.items()):
            if now - at > self.stall:  # its end may be long in coming
                self.attempt_ended(now, attempt, Status.TIMEOUT)
        before = {number: zone.state for number, zone in self.zones.zones.items()}
        self.zones.step(now, self.vote(now), others)
        for number, zone in self.zones.zones.items():
            if zone.state is not before[number]:
                self.sight.forget(number)
                for desk in self._in(number):
                    self.paces.forget(desk)

    def vote(self, now: float) -> Vote:
        """What we tell the others."""
        per_zone = Counter(one.zone for one in self.desks.values() if one.availability == Availability.READY)
        sees, fails = self.sight.verdict(now, per_zone)
        out = self.zones.out  # what we saw there is what had us leave: it is no word on how it is now
        return Vote(sees & ~out, fails & ~out, out)

    def _in(self, number: int) -> list[str]:
        return [name for name, desk in self.desks.items() if desk.zone == number]

    # -- what the module is to believe --------------------------------------------------------

    def _as_told(self, now: float, unix_ms: float, desk: Desk) -> Desk:
        zone = self.zones.zones.get(desk.zone)
        if zone is None or desk.availability != Availability.READY:
            return desk
        if zone.state is ZoneState.OUT:
            self.since.pop(desk.ident, None)
            return replace(desk, availability=Availability.DRAINING)
        if zone.state is ZoneState.RETURN and desk.ident not in self.since:
            self.since[desk.ident] = unix_ms
        desk = replace(desk, since_ms=max(desk.since_ms, self.since.get(desk.ident, 0.0)))
        part = self.zones.part(now, desk.zone)
        if part < math.inf and not self.paces.may(now, desk.ident, self.bears * part / self.divisor, self.place):
            return replace(desk, availability=Availability.DRAINING)
        return desk

    def filter_desks(self, now: float, unix_ms: float, desks: Iterable[Desk], whole: bool) -> list[Desk]:
        """News of the list, as the module is to have them."""
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
        found = [self._as_told(now, unix_ms, one) for one in desks]
        self.told |= {one.ident: one for one in found if one.availability != Availability.GONE}
        return found

    def changed_desks(self, now: float, unix_ms: float) -> list[Desk]:
        """Desks of which the module has to be told something else now."""
        found = []
        for name, desk in self.desks.items():
            as_told = self._as_told(now, unix_ms, desk)
            if as_told != self.told.get(name):
                self.told[name] = as_told
                found.append(as_told)
        return found

    def _forget(self, name: str) -> None:
        for where in (self.desks, self.told, self.since):
            where.pop(name, None)
        self.paces.forget(name)

    # -- operators ----------------------------------------------------------------------------

    def force(self, name: str, state: str) -> bool:
        """`out`, `in` or `auto` for a zone by its name; False if there is no such zone or word."""
        if name not in self.names or state not in ("out", "in", "auto"):
            return False
        self.zones.force(self.names.index(name), None if state == "auto" else ZoneState(state))
        return True

    def table(self, now: float) -> dict[str, Any]:
        """What `/admin/zones` shows."""
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
                    "part": None if (part := self.zones.part(now, number)) == math.inf else round(part, 3),
                    "we_see_it_fail": bool(own.fails >> number & 1),
                    "others_see": sum(bool(one.sees >> number & 1) for one in self.votes.values()),
                    "others_see_it_fail": sum(bool(one.fails >> number & 1) for one in self.votes.values()),
                    "others_out": sum(bool(one.out >> number & 1) for one in self.votes.values()),
                }
                for (number, zone), name in zip(self.zones.zones.items(), self.names, strict=True)
            ],
        }
