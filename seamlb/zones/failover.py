"""State machine of zone failover: each agent derives its zones' states from the votes of all agents. Does no I/O.

The rules need no consensus protocol. Leaving a zone takes votes of at least two agents and of half of those that
observe it, so one agent's bad link has no effect. Agents publish which zones they have left; an agent that sees half
of the other alive agents out of a zone leaves it too, with or without calls there. The time out of a zone doubles
each time it fails during the return, so a flapping zone does not make the fleet flap. At least one zone stays in
service.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import lru_cache
from zlib import crc32

VOTE_HOLD_S = 0.5  # for which the quorum must last
MIN_OUT_S = 15.0  # time out of a zone, before it doubles
MAX_OUT_S = 240.0
TRICKLE_S, TRICKLE_SHARE = 3.0, 0.02  # first phase of a return, with this share of the desks' capacity
RAMP_S = 20.0  # from RAMP_START_SHARE to the whole capacity
RAMP_START_SHARE = 0.1
SLOT_S = 0.5  # for which a slot stays open for one call
CAPACITY_WINDOW_S = 1.5  # over which a desk's call rate is averaged
SLOT_RATE_FACTOR = CAPACITY_WINDOW_S / (CAPACITY_WINDOW_S + SLOT_S)  # of the rate: a slot may be used late
FLAP_MEMORY_S = 300.0  # in service, after which the count of flaps is reset


class ZoneState(StrEnum):
    """State of a zone at this agent."""

    IN = "in"
    OUT = "out"
    RETURN = "return"


@dataclass(slots=True, frozen=True)
class Vote:
    """One agent's vote: bit masks of the zones that it observes, that fail for it, and that it has left."""

    observed: int = 0
    failing: int = 0
    out: int = 0

    def encode(self) -> str:
        """The vote as published in the member's metadata."""
        return f"{self.observed:x}.{self.failing:x}.{self.out:x}"

    @staticmethod
    @lru_cache(4096)  # decoded ten times a second per agent, and most votes are equal
    def decode(text: str) -> Vote:
        """Parse a vote; an empty one if the text is invalid."""
        try:
            observed, failing, out = (int(one, 16) for one in text.split("."))
        except ValueError:
            return Vote()
        return Vote(observed, failing & observed, out)


@dataclass(slots=True)
class Zone:
    """State of one zone; times in seconds."""

    state: ZoneState = ZoneState.IN
    since: float = -math.inf
    quorum_since: float | None = None  # since when there has been a quorum of failure votes
    flaps: int = 0
    forced: ZoneState | None = None  # set by an operator
    kept_as_last: bool = False  # it fails, but no other zone is in service


class ZoneFailover:
    """States of all zones at one agent, by index in the settings' list.

    `min_out` and `ramp` are in seconds. `configured` is the number of agents in the settings: with several of them,
    an isolated agent never leaves a zone on its own vote.
    """

    def __init__(
        self,
        count: int,
        configured: int,
        regions: Sequence[frozenset[int]] = (),
        min_out: float = MIN_OUT_S,
        ramp: float = RAMP_S,
    ) -> None:
        self.min_out, self.ramp = min_out, ramp
        self.configured = configured
        self.zones = {number: Zone() for number in range(count)}
        self.regions = regions
        self.pending_events: list[tuple[str, dict[str, object]]] = []  # to be logged

    @property
    def out(self) -> int:
        """Bit mask of the zones that get no calls."""
        return sum(1 << number for number, zone in self.zones.items() if zone.state is ZoneState.OUT)

    def force(self, number: int, state: ZoneState | None) -> None:
        """Force a zone's state whatever the votes are; None returns it to the votes."""
        self.zones[number].forced = state

    def capacity_share(self, now: float, number: int) -> float:
        """Share of its desks' capacity that the whole fleet may send to a zone now; infinite if not limited here."""
        zone = self.zones.get(number)
        if zone is None or zone.state is ZoneState.IN:
            return math.inf
        if zone.state is ZoneState.OUT:
            return 0.0
        age = now - zone.since
        if age < TRICKLE_S:
            return TRICKLE_SHARE
        return min(1.0, RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * (age - TRICKLE_S) / self.ramp)

    def step(self, now: float, own: Vote, others: Mapping[str, Vote]) -> None:
        """Advance all zones by the current votes of all alive agents."""
        peer_votes = Counter(others.values())  # in a large fleet most votes are equal
        votes = peer_votes + Counter([own])
        for number, zone in self.zones.items():
            bit = 1 << number
            # An agent that has left observes the zone no more; for agents still in it, that counts as a failure vote.
            left_bit = bit if zone.state is ZoneState.IN else 0
            observers = sum(count for one, count in votes.items() if one.observed & bit or one.out & left_bit)
            failures = sum(count for one, count in votes.items() if one.failing & bit or one.out & left_bit)
            departed = sum(count for one, count in peer_votes.items() if one.out & bit)
            quorum = 1 if self.configured <= 1 else max(2, math.ceil(observers / 2))
            quorum_reached = failures >= quorum
            peers_left = departed >= 2 and 2 * departed >= len(others)
            zone.quorum_since = (
                None if not quorum_reached else now if zone.quorum_since is None else zone.quorum_since
            )
            zone.kept_as_last = zone.kept_as_last and quorum_reached
            confirmed = zone.quorum_since is not None and now - zone.quorum_since >= VOTE_HOLD_S
            if zone.forced is not None:
                if zone.forced is not zone.state:
                    self._set_state(now, number, zone.forced, "forced by an operator")
            elif zone.state is ZoneState.IN:
                if now - zone.since > FLAP_MEMORY_S:
                    zone.flaps = 0
                if confirmed or peers_left:
                    self._leave(
                        now,
                        number,
                        f"{failures} of {observers} report failures" if confirmed else f"{departed} have left",
                    )
            elif zone.state is ZoneState.OUT:
                if now - zone.since >= min(MAX_OUT_S, self.min_out * 2**zone.flaps):
                    self._set_state(now, number, ZoneState.RETURN, "minimum time out has passed")
            elif confirmed:
                zone.flaps += 1
                self._set_state(
                    now, number, ZoneState.OUT, f"{failures} of {observers} report failures during the return"
                )
            elif now - zone.since >= TRICKLE_S + self.ramp:
                self._set_state(now, number, ZoneState.IN, "ramp completed")
        self._leave_failed_regions(now)

    def _leave_failed_regions(self, now: float) -> None:
        """Leave all zones of a region of which at least half, and at least two, are out."""
        for region in self.regions:
            out = [number for number in region if self.zones[number].state is ZoneState.OUT]
            if len(out) >= max(2, math.ceil(len(region) / 2)):
                for number in sorted(region - set(out)):
                    if self.zones[number].forced is None:
                        self._leave(now, number, "half of its region is out")

    def _leave(self, now: float, number: int, reason: str) -> None:
        remaining = [one for other, one in self.zones.items() if other != number and one.state is not ZoneState.OUT]
        if remaining:
            self._set_state(now, number, ZoneState.OUT, reason)
        elif not self.zones[number].kept_as_last:
            self.zones[number].kept_as_last = True
            self.pending_events.append(("zone_last", {"zone": number, "why": reason}))

    def _set_state(self, now: float, number: int, state: ZoneState, reason: str) -> None:
        zone = self.zones[number]
        zone.state, zone.since, zone.quorum_since = state, now, None
        self.pending_events.append((f"zone_{state.value}", {"zone": number, "why": reason, "flaps": zone.flaps}))


class ReturnPacer:
    """Limits this agent's calls to the desks of a zone during a return, with time slots for single calls.

    Slots open at this agent's share of the rate, each for one call and for SLOT_S. An unused slot expires: if slots
    accumulated, those of a large fleet could be used at once. The agents' slots are staggered evenly by their rank
    among the alive agents, as with random offsets many could be open at once. SLOT_RATE_FACTOR lowers the rate so
    that a call late in its slot does not exceed the desk's capacity in any CAPACITY_WINDOW_S.
    """

    def __init__(self) -> None:
        # By desk: progress to the next slot (0 to 1), time of that progress (s), end of the open slot (s).
        self.slots: dict[str, tuple[float, float, float]] = {}

    def allows(self, now: float, desk: str, rate: float, relative_rank: float) -> bool:
        """Whether a call may go to a desk now; `rate` is this agent's share in calls/s."""
        # Slots of different desks are staggered too, the same at all agents, or this agent could not use all of them.
        offset = (relative_rank + crc32(desk.encode()) / 2**32) % 1.0
        progress, updated_at, open_until = self.slots.get(desk) or (offset, now, -math.inf)
        progress += (now - updated_at) * rate * SLOT_RATE_FACTOR
        if progress >= 1.0:
            progress, open_until = progress % 1.0, now + SLOT_S
        self.slots[desk] = progress, now, open_until
        return now < open_until

    def sent(self, desk: str) -> None:
        """A call was sent to a desk: its slot is used up."""
        if desk in self.slots:
            self.slots[desk] = (*self.slots[desk][:2], -math.inf)

    def forget(self, desk: str) -> None:
        """Drop a desk's state, as it is no longer limited."""
        self.slots.pop(desk, None)
