"""Tables, charts and comparisons of experiments."""

from __future__ import annotations

import csv
import math
import statistics
from collections import defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path

from seamlb import __version__
from seamlb.emulator.lab import FIGURES, Experiment, Row
from seamlb.planning.model import PlanningError
from seamlb.planning.words import table


def save(folder: Path, rows: Sequence[Row], command: str, told: Experiment) -> None:
    """results.csv, results.md and results.svg, each with what made it."""
    folder.mkdir(parents=True, exist_ok=True)
    made = (
        f"seamlb {__version__}: `{command}`, seeds {told.first_seed} to {told.first_seed + told.seeds - 1}, "
        f"{told.seconds:g} s a run"
    )
    with (folder / "results.csv").open("w", newline="") as file:
        file.write(f"# {made}\n")
        writer = csv.DictWriter(file, rows[0].keys(), lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)
    lines = [made + ". Means over the seeds.", ""]
    head = ["scenario", "policy", *FIGURES]
    lines += ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    for (day, name), means in summary(rows).items():
        lines.append("| " + " | ".join([day, name, *(f"{means[key]:.4g}" for key in FIGURES)]) + " |")
    (folder / "results.md").write_text("\n".join(lines) + "\n")
    chart(folder / "results.svg", rows, made)


def summary(rows: Iterable[Row]) -> dict[tuple[str, str], dict[str, float]]:
    """Means by scenario and policy."""
    groups: dict[tuple[str, str], list[Row]] = defaultdict(list)
    for one in rows:
        groups[one["scenario"], one["policy"]].append(one)
    return {
        pair: {key: statistics.fmean(float(one[key]) for one in group) for key in FIGURES}
        for pair, group in groups.items()
    }


def chart(path: Path, rows: Sequence[Row], made: str) -> None:
    """Mean worth, worst class and worst office by scenario and policy, with 95% intervals of the mean."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "seamlb"  # the same rows give the same bytes
    from matplotlib import pyplot

    days, names = (list(dict.fromkeys(one[key] for one in rows)) for key in ("scenario", "policy"))
    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4), sharey=True)
    for axis, key in zip(axes, ("worth", "worst_class", "worst_office"), strict=True):
        for place, name in enumerate(names):
            groups = [[float(r[key]) for r in rows if (r["scenario"], r["policy"]) == (day, name)] for day in days]
            at = [x + (place - (len(names) - 1) / 2) * 0.8 / len(names) for x in range(len(days))]
            axis.bar(
                at,
                [statistics.fmean(g) for g in groups],
                0.8 / len(names),
                label=name,
                yerr=[half_width(g) for g in groups],
                error_kw={"linewidth": 0.8},
            )
        axis.set_xticks(range(len(days)), days, rotation=20, ha="right")
        axis.set_title(key.replace("_", " "))
    low = min(float(r[key]) for r in rows for key in ("worth", "worst_class", "worst_office"))
    axes[0].set_ylim(max(0.0, low - 0.05), 1.0)
    axes[0].legend(fontsize=8)
    figure.text(0.01, 0.005, made, fontsize=6)
    figure.tight_layout(rect=(0, 0.03, 1, 1))
    figure.savefig(path, metadata={"Date": None, "Creator": None})
    pyplot.close(figure)


def load(path: Path) -> list[Row]:
    """Read a table of results; PlanningError says what is wrong with it."""
    try:
        lines = [line for line in path.read_text().splitlines() if not line.startswith("#")]
    except OSError as error:
        raise PlanningError(f"{path}: {error.strerror}") from None
    rows = list(csv.DictReader(lines))
    if not rows or not {"scenario", "policy", "seed", *FIGURES} <= rows[0].keys():
        raise PlanningError(f"{path}: not a table of results")
    return rows


def half_width(values: Sequence[float]) -> float:
    """Half of the 95% confidence interval of the mean, by Student's t."""
    if len(values) < 2:
        return math.nan
    return _t975(len(values) - 1) * statistics.stdev(values) / math.sqrt(len(values))


def _t975(freedom: int) -> float:
    """The 97.5% quantile of Student's t: exact for 1 and 2, else Cornish and Fisher's expansion (1937).

    Within 0.1% from 4 degrees of freedom on, 0.5% at 3.
    """
    if freedom == 1:
        return 12.7062
    if freedom == 2:
        return 4.30265
    z = statistics.NormalDist().inv_cdf(0.975)
    terms = (
        (z**3 + z) / 4,
        (5 * z**5 + 16 * z**3 + 3 * z) / 96,
        (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384,
        (79 * z**9 + 776 * z**7 + 1482 * z**5 - 1920 * z**3 - 945 * z) / 92160,
    )
    return z + math.fsum(term / freedom ** (place + 1.0) for place, term in enumerate(terms))


def compare(one: Sequence[Row], other: Sequence[Row]) -> list[str]:
    """Paired differences, second less first, over the seeds that both have."""
    first = {(r["scenario"], r["seed"]): r for r in one}
    pairs: dict[str, list[tuple[Row, Row]]] = defaultdict(list)
    for r in other:
        if match := first.get((r["scenario"], r["seed"])):
            pairs[r["scenario"]].append((match, r))
    if not pairs:
        raise PlanningError("the two have no scenario and seed in common")
    rows = []
    for day, both in pairs.items():
        more = [key for key in both[0][0] if key.startswith("worth ") and key in both[0][1]]
        for key in ("worth", "worst_class", "worst_office", "cost", *more):
            apart = [float(b[key]) - float(a[key]) for a, b in both]
            mean, half = statistics.fmean(apart), half_width(apart)
            sure = "differs" if abs(mean) > half else ""
            rows.append([day, key, len(apart), f"{mean:+.4f}", f"{half:.4f}", sure])
    return table(["scenario", "figure", "pairs", "difference", "95% +-", ""], rows)
