"""The sticky draw beside a plain cumulative table and an alias table: time a draw, numbers moved by new weights.

python -m benchmarks.draws       # writes docs/results/draws.md
"""

import bisect
import itertools
import random
import time
from collections.abc import Callable
from pathlib import Path

import xxhash

from seamlb.planning.draw import HASH_RANGE, RendezvousHash

NUMBERS = [b"%d" % n for n in range(50_000)]
Pick = Callable[[bytes], str | None]


def cumulative(weights: dict[str, int]) -> Pick:
    """Plain: the hash as a point on the line of all weights, found by bisection."""
    names = sorted(weights)
    sums = list(itertools.accumulate(weights[name] for name in names))
    return lambda number: names[bisect.bisect_right(sums, xxhash.xxh3_64_intdigest(number) / HASH_RANGE * sums[-1])]


def alias(weights: dict[str, int]) -> Pick:
    """Walker's alias table (Vose 1991): one look-up whatever the number of desks."""
    names, total = sorted(weights), sum(weights.values())
    parts = [weights[name] * len(names) / total for name in names]
    other = list(range(len(names)))
    small = [n for n, part in enumerate(parts) if part < 1.0]
    large = [n for n, part in enumerate(parts) if part >= 1.0]
    while small and large:
        less, more = small.pop(), large.pop()
        other[less] = more
        parts[more] -= 1.0 - parts[less]
        (small if parts[more] < 1.0 else large).append(more)

    def pick(number: bytes) -> str:
        at = xxhash.xxh3_64_intdigest(number) / HASH_RANGE * len(names)
        place = int(at)
        return names[place if at - place < parts[place] or other[place] == place else other[place]]

    return pick


def measure(desks: int) -> list[str]:
    rng = random.Random(desks)
    before = {f"desk-{n:03}": rng.randint(10, 100) for n in range(desks)}
    lost = {name: weight for name, weight in before.items() if name != "desk-002"}
    shifted = before | {"desk-001": before["desk-001"] + 20, "desk-003": max(1, before["desk-003"] - 20)}
    rows = []
    for label, make in (("sticky", lambda w: RendezvousHash(w).pick), ("cumulative", cumulative), ("alias", alias)):
        pick = make(before)
        began = time.perf_counter()
        first = [pick(number) for number in NUMBERS]
        each = (time.perf_counter() - began) / len(NUMBERS) * 1e6
        moved = []
        for after in (lost, shifted):
            again = make(after)
            share = sum(again(n) != old for n, old in zip(NUMBERS, first, strict=True)) / len(NUMBERS)
            whole, left = sum(before.values()), sum(after.values())
            least = sum(abs(after.get(n, 0) / left - w / whole) for n, w in before.items()) / 2
            moved.append(f"{100 * share:.1f} ({100 * least:.1f})")
        wrong = max(abs(first.count(n) / len(NUMBERS) - w / sum(before.values())) for n, w in before.items())
        rows.append(f"| {desks} | {label} | {each:.1f} | {moved[0]} | {moved[1]} | {100 * wrong:.2f} |")
    return rows


if __name__ == "__main__":
    lines = [
        "`python -m benchmarks.draws`: 50,000 numbers; in brackets the least that has to move.",
        "",
        "| desks | draw | us a draw | % moved, desk lost | % moved, weights shifted | worst share error, % |",
        "|" + " --- |" * 6,
    ]
    for count in (7, 100):
        lines += measure(count)
    text = "\n".join(lines) + "\n"
    out = Path(__file__).resolve().parent.parent / "docs" / "results" / "draws.md"
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(text)
    print(text)
