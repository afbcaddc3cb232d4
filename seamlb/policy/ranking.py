"""What follows from the settings alone: set-up time targets, ranks by worth, floors and reserved lines."""

import math
from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass

from seamlb import api

PAPER_FLOORS = (10.0, 5.0, 0.5)  # the paper's guaranteed rates of priorities 1, 2 and 3; used as a ratio
RESERVE_FACTOR = 0.35  # lines reserved = factor * sqrt(lines) * ln(worth ratio to the cheapest class)

TrafficKey = tuple[int, int, int]  # class; 1 if over its tenant's share; 1 if a late redial


def floor_ratios(in_full: Sequence[bool]) -> list[float]:
    """Return the floors of ranks by falling worth: the paper's, interpolated.

    `in_full` is false for ranks over their tenant's share or late, which get the lowest floor.
    """
    step = (len(PAPER_FLOORS) - 1) / max(sum(in_full) - 1, len(PAPER_FLOORS) - 1)
    ratios: list[float] = []
    for rank, full in enumerate(in_full):
        position = step * sum(in_full[:rank])
        low = min(int(position), len(PAPER_FLOORS) - 2)
        ratios.append(
            PAPER_FLOORS[low] * (PAPER_FLOORS[low + 1] / PAPER_FLOORS[low]) ** (position - low)
            if full
            else PAPER_FLOORS[-1]
        )
    return ratios


@dataclass(slots=True, frozen=True)
class Ranking:
    """Ranks by the paper's U, highest first; calls over a share and late redials have ranks of their own."""

    longest_target: float  # ms, of the class with the longest set-up time target
    targets: list[float]  # distinct targets T_k in ms, ascending
    ranks: dict[TrafficKey, int]
    target_index: list[int]  # by rank, index into `targets`
    floor_ratios: list[float]  # by rank
    reserved_lines: list[float]  # by rank, lines it may not use, in units of sqrt(lines of the server)
    expected_rate: float  # calls per ms that the tenants' allowances let one node expect

    @classmethod
    def of(cls, settings: api.Settings) -> "Ranking":
        """Rank the traffic that the settings allow."""
        live = sorted(settings.class_ids.values())
        longest_target = max(settings.classes[index].on_time for index in live)
        # All targets are scaled so that the longest ends when an unanswered set-up is retransmitted.
        scale = min(1.0, settings.retransmit_after / longest_target) if settings.retransmit_after else 1.0
        scaled_targets = [kind.on_time * scale for kind in settings.classes]
        targets = sorted({scaled_targets[index] for index in live})
        shares = (1.0, settings.over_share_worth) if settings.allowances else (1.0,)
        known = sorted(
            (-kind.worth * share * part / kind.width, late, over_share, index)
            for index, kind in enumerate(settings.classes)
            for over_share, share in enumerate(shares)
            for late, part in enumerate((1.0, kind.late_worth) if kind.late_worth < 1.0 else (1.0,))
        )
        order = [key for key in known if key[3] in live]
        ranks = {(key[3], key[2], key[1]): min(bisect_left(order, key), len(order) - 1) for key in known}
        least = min(settings.classes[index].worth / settings.classes[index].width for index in live)
        reserve = [RESERVE_FACTOR * max(0.0, math.log(least / -u)) if u and least else 0.0 for u, *_ in order]
        floors = floor_ratios([over_share + late == 0 for _, late, over_share, _ in order])
        target_index = [targets.index(scaled_targets[index]) for *_, index in order]
        expected_rate = sum(settings.allowances) / settings.instances / 1000.0
        return cls(longest_target, targets, ranks, target_index, floors, reserve, expected_rate)
