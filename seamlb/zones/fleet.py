"""What the fleet does about its zones: every agent comes to it by itself, from what all of them tell. Pure.

Rules kept without agreement: nobody leaves a zone on one agent's word (two at least, and half of those who see it),
so one bad link moves nobody; whoever leaves says so, and who sees half of the living gone follows, whether or not it
has calls there. A zone is stayed out of for a while that doubles each time it fails on the way back, so one that
flaps does not flap the fleet. At least one zone stays.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import lru_cache
from zlib import crc32

HOLD = 0.5  # seconds that the votes must stand
MIN_OUT_S = 15.0  # seconds out of a zone at least
OUT_MOST = 240.0
TRICKLE_S, TRICKLE_PART = 3.0, 0.02  # seconds at the start of a return with so much of what the desks bear
RAMP_S = 20.0  # seconds from there to all
RAMP_FROM = 0.1
SLOT = 0.5  # seconds for which a call's place in a returning zone is kept
WINDOW = 1.5  # seconds over which a desk bears what it bears
SAFE = WINDOW / (WINDOW + SLOT)  # of the pace that is given out
CALM = 300.0  # seconds in service after which an earlier failure is forgotten


class ZoneState(StrEnum):
    """Of a zone, for this agent."""

    IN = "in"
    OUT = "out"
    RETURN = "return"


@dataclass(slots=True, frozen=True)
class Vote:
    """What one agent tells: masks of zones that it sees, that fail for it, that it has left."""

    sees: int = 0
    fails: int = 0
    out: int = 0

    def encode(self) -> str:
        """The vote as members spread it."""
        return f"{self.sees:x}.{self.fails:x}.{self.out:x}"

    @staticmethod
    @lru_cache(4096)  # most tell the same, ten times a second
    def decode(text: str) -> Vote:
        """Of what an agent tells; nothing seen if it is not one."""
        try:
            sees, fails, out = (int(one, 16) for one in text.split("."))
        except ValueError:
            return Vote()
        return Vote(sees, fails & sees, out)


@dataclass(slots=True)
class Zone:
    """One zone."""

    state: ZoneState = ZoneState.IN
    since: float = -math.inf
    standing: float | None = None  # since when enough votes stand
    flaps: int = 0
    forced: ZoneState | None = None  # by an operator
    last: bool = False  # it fails and there is no other to go to


class Zones:
    """All zones as one agent has them; numbers are those of the settings' list."""

    def __init__(
        self,
        count: int,
        configured: int,
        regions: Sequence[frozenset[int]] = (),
        out: float = MIN_OUT_S,
        ramp: float = RAMP_S,
    ) -> None:
        self.least, self.ramp = out, ramp
        self.configured = configured  # agents; one that is alone among several takes nobody's word, its own neither
        self.zones = {number: Zone() for number in range(count)}
        self.regions = regions
        self.pending_events: list[tuple[str, dict[str, object]]] = []  # log lines that are due

    @property
    def out(self) -> int:
        """Mask of the zones that get no call now."""
        return sum(1 << number for number, zone in self.zones.items() if zone.state is ZoneState.OUT)

    def force(self, number: int, state: ZoneState | None) -> None:
        """An operator's word: out or in whatever the votes say; None: as they say again."""
        self.zones[number].forced = state

    def part(self, now: float, number: int) -> float:
        """How much of what its desks bear may go to a zone now, of the whole fleet; infinite: no bound of ours."""
        zone = self.zones.get(number)
        if zone is None or zone.state is ZoneState.IN:
            return math.inf
        if zone.state is ZoneState.OUT:
            return 0.0
        age = now - zone.since
        if age < TRICKLE_S:
            return TRICKLE_PART
        return min(1.0, RAMP_FROM + (1.0 - RAMP_FROM) * (age - TRICKLE_S) / self.ramp)

    def step(self, now: float, own: Vote, others: Mapping[str, Vote]) -> None:
        """Take what all living agents tell as of now."""
        theirs = Counter(others.values())  # most of a large fleet tell the same
        votes = theirs + Counter([own])
        for number, zone in self.zones.items():
            bit = 1 << number
            # Who has left sees it no more: to those who are still there its leaving is its vote.
            left = bit if zone.state is ZoneState.IN else 0
            sees = sum(count for one, count in votes.items() if one.sees & bit or one.out & left)
            fails = sum(count for one, count in votes.items() if one.fails & bit or one.out & left)
            gone = sum(count for one, count in theirs.items() if one.out & bit)
            enough = 1 if self.configured <= 1 else max(2, math.ceil(sees / 2))
            voted = fails >= enough
            followed = gone >= 2 and 2 * gone >= len(others)
            zone.standing = None if not voted else now if zone.standing is None else zone.standing
            zone.last = zone.last and voted
            stands = zone.standing is not None and now - zone.standing >= HOLD
            if zone.forced is not None:
                if zone.forced is not zone.state:
                    self._enter(now, number, zone.forced, "an operator")
            elif zone.state is ZoneState.IN:
                if now - zone.since > CALM:
                    zone.flaps = 0
                if stands or followed:
                    self._leave(now, number, f"{fails} of {sees} see it fail" if stands else f"{gone} have left")
            elif zone.state is ZoneState.OUT:
                if now - zone.since >= min(OUT_MOST, self.least * 2**zone.flaps):
                    self._enter(now, number, ZoneState.RETURN, "stayed out long enough")
            elif stands:
                zone.flaps += 1
                self._enter(now, number, ZoneState.OUT, f"{fails} of {sees} see it fail again")
            elif now - zone.since >= TRICKLE_S + self.ramp:
                self._enter(now, number, ZoneState.IN, "all of it again")
        self._regions(now)

    def _regions(self, now: float) -> None:
        """A region of which half the zones are out, two at least, is left whole."""
        for region in self.regions:
            out = [number for number in region if self.zones[number].state is ZoneState.OUT]
            if len(out) >= max(2, math.ceil(len(region) / 2)):
                for number in sorted(region - set(out)):
                    if self.zones[number].forced is None:
                        self._leave(now, number, "its region is out")

    def _leave(self, now: float, number: int, why: str) -> None:
        rest = [one for other, one in self.zones.items() if other != number and one.state is not ZoneState.OUT]
        if rest:
            self._enter(now, number, ZoneState.OUT, why)
        elif not self.zones[number].last:
            self.zones[number].last = True
            self.pending_events.append(("zone_last", {"zone": number, "why": why}))

    def _enter(self, now: float, number: int, state: ZoneState, why: str) -> None:
        zone = self.zones[number]
        zone.state, zone.since, zone.standing = state, now, None
        self.pending_events.append((f"zone_{state.value}", {"zone": number, "why": why, "flaps": zone.flaps}))


class Paces:
    """When this agent may send a call to a desk of a zone that is returned to: in slots of its own.

    At its part of the pace a slot opens now and then, for one call and for SLOT seconds; one not used is lost: saved
    up, the slots of a large fleet would come at once. Agents begin at places that are spread evenly, by their ranks
    among the living, or chance would have many open together. SAFE is what the slots' length leaves of the pace.
    """

    def __init__(self) -> None:
        self.slots: dict[str, tuple[float, float, float]] = {}  # progress to the next, as of when, open until

    def may(self, now: float, desk: str, rate: float, place: float) -> bool:
        """May a call go there now, at a part of so many a second? `place`: ours among the living, from 0 to 1."""
        # Other desks' slots come at other times, or we could not fill them; the same ones for all agents.
        first = (place + crc32(desk.encode()) / 2**32) % 1.0
        progress, at, until = self.slots.get(desk) or (first, now, -math.inf)
        progress += (now - at) * rate * SAFE
        if progress >= 1.0:
            progress, until = progress % 1.0, now + SLOT
        self.slots[desk] = progress, now, until
        return now < until

    def sent(self, desk: str) -> None:
        """One has gone."""
        if desk in self.slots:
            self.slots[desk] = (*self.slots[desk][:2], -math.inf)

    def forget(self, desk: str) -> None:
        """It has no bound any more."""
        self.slots.pop(desk, None)
