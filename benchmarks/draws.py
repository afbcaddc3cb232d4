"""Rendezvous hashing compared with a cumulative table and an alias table: time per draw, numbers moved.

python -m benchmarks.draws       # writes docs/results/draws.md
"""

import bisect
import itertools
import random
import time
from collections.abc import Callable
from pathlib import Path

import xxhash

from seamlb.planning.rendezvous import HASH_RANGE, RendezvousHash

NUMBERS = [b"%d" % n for n in range(50_000)]
Pick = Callable[[bytes], str | None]


def cumulative(weights: dict[str, int]) -> Pick:
    """Cumulative weights: the hash selects a point on their sum, found by bisection."""
    names = sorted(weights)
    sums = list(itertools.accumulate(weights[name] for name in names))
    return lambda number: names[bisect.bisect_right(sums, xxhash.xxh3_64_intdigest(number) / HASH_RANGE * sums[-1])]


def alias(weights: dict[str, int]) -> Pick:
    """Walker's alias method (Vose 1991): one look-up, independent of the number of desks."""
    names, total = sorted(weights), sum(weights.values())
    parts = [weights[name] * len(names) / total for name in names]
    alias_of = list(range(len(names)))
    below = [n for n, part in enumerate(parts) if part < 1.0]
    above = [n for n, part in enumerate(parts) if part >= 1.0]
    while below and above:
        low, high = below.pop(), above.pop()
        alias_of[low] = high
        parts[high] -= 1.0 - parts[low]
        (below if parts[high] < 1.0 else above).append(high)

    def pick(number: bytes) -> str:
        point = xxhash.xxh3_64_intdigest(number) / HASH_RANGE * len(names)
        index = int(point)
        return names[index if point - index < parts[index] or alias_of[index] == index else alias_of[index]]

    return pick


def measure(desks: int) -> list[str]:
    rng = random.Random(desks)
    before = {f"desk-{n:03}": rng.randint(10, 100) for n in range(desks)}
    desk_lost = {name: weight for name, weight in before.items() if name != "desk-002"}
    shifted = before | {"desk-001": before["desk-001"] + 20, "desk-003": max(1, before["desk-003"] - 20)}
    rows = []
    for label, make in (
        ("rendezvous", lambda w: RendezvousHash(w).pick),
        ("cumulative", cumulative),
        ("alias", alias),
    ):
        pick = make(before)
        started_at = time.perf_counter()
        choices = [pick(number) for number in NUMBERS]
        us_per_draw = (time.perf_counter() - started_at) / len(NUMBERS) * 1e6
        moved = []
        for after in (desk_lost, shifted):
            pick_after = make(after)
            share = sum(pick_after(n) != old for n, old in zip(NUMBERS, choices, strict=True)) / len(NUMBERS)
            total, total_after = sum(before.values()), sum(after.values())
            minimum = sum(abs(after.get(n, 0) / total_after - w / total) for n, w in before.items()) / 2
            moved.append(f"{100 * share:.1f} ({100 * minimum:.1f})")
        worst_error = max(abs(choices.count(n) / len(NUMBERS) - w / sum(before.values())) for n, w in before.items())
        rows.append(f"| {desks} | {label} | {us_per_draw:.1f} | {moved[0]} | {moved[1]} | {100 * worst_error:.2f} |")
    return rows


if __name__ == "__main__":
    lines = [
        "`python -m benchmarks.draws`: 50,000 numbers; in brackets the minimum that has to move.",
        "",
        "| desks | draw | us per draw | % moved, desk lost | % moved, weights shifted | worst share error, % |",
        "|" + " --- |" * 6,
    ]
    for count in (7, 100):
        lines += measure(count)
    text = "\n".join(lines) + "\n"
    out = Path(__file__).resolve().parent.parent / "docs" / "results" / "draws.md"
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(text)
    print(text)
