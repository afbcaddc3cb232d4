"""What follows from the settings alone: deadlines, ranks by worth, floors and lines kept for the dear."""

import math
from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass

from seamlb import api

FLOORS = (10.0, 5.0, 0.5)  # the paper's guaranteed rates of priorities 1, 2 and 3, here a ratio
RESERVE = 0.35  # roots of its lines kept, times the logarithm of how much less a call is worth

Traffic = tuple[int, int, int]  # class; 1 if over its tenant's share; 1 if a late retry


def floor_ratios(in_full: Sequence[bool]) -> list[float]:
    """Floors of ranks, dearest first: the paper's, interpolated; others than `in_full` get the lowest."""
    step = (len(FLOORS) - 1) / max(sum(in_full) - 1, len(FLOORS) - 1)
    ratios: list[float] = []
    for rank, full in enumerate(in_full):
        place = step * sum(in_full[:rank])
        low = min(int(place), len(FLOORS) - 2)
        ratios.append(FLOORS[low] * (FLOORS[low + 1] / FLOORS[low]) ** (place - low) if full else FLOORS[-1])
    return ratios


@dataclass(slots=True, frozen=True)
class Ranking:
    """Ranks by the paper's U, dearest first; calls over a share and late retries are classes of their own."""

    longest: float  # aim of the most patient class
    limits: list[float]  # distinct deadlines T_k, rising
    ranks: dict[Traffic, int]
    limit_of: list[int]  # by rank, place in `limits`
    floor_ratios: list[float]  # by rank
    reserve: list[float]  # by rank, lines kept from it, in roots of a server's lines
    usual: float  # calls per millisecond that the allowances let one node expect

    @classmethod
    def of(cls, settings: api.Settings) -> "Ranking":
        """Rank the traffic that the settings allow."""
        live = sorted(settings.class_ids.values())
        longest = max(settings.classes[place].on_time for place in live)
        # All aims scaled down so that the longest ends where a waiting set-up is repeated.
        scale = min(1.0, settings.repeat / longest) if settings.repeat else 1.0
        aims = [kind.on_time * scale for kind in settings.classes]
        limits = sorted({aims[place] for place in live})
        shares = (1.0, settings.over_share_worth) if settings.allowances else (1.0,)
        known = sorted(
            (-kind.worth * share * part / kind.width, late, over, place)
            for place, kind in enumerate(settings.classes)
            for over, share in enumerate(shares)
            for late, part in enumerate((1.0, kind.late_worth) if kind.late_worth < 1.0 else (1.0,))
        )
        order = [one for one in known if one[3] in live]
        ranks = {(one[3], one[2], one[1]): min(bisect_left(order, one), len(order) - 1) for one in known}
        least = min(settings.classes[place].worth / settings.classes[place].width for place in live)
        reserve = [RESERVE * max(0.0, math.log(least / -u)) if u and least else 0.0 for u, *_ in order]
        floors = floor_ratios([over + late == 0 for _, late, over, _ in order])
        limit_of = [limits.index(aims[place]) for *_, place in order]
        usual = sum(settings.allowances) / settings.instances / 1000.0
        return cls(longest, limits, ranks, limit_of, floors, reserve, usual)
