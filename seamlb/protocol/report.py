"""Load reports and diagnoses in the headers of duty desks."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf, isfinite

DIAGNOSES = {"atb": 1, "rtb": 2, "acc": 3, "sub": 4}  # X-Diagnosis


def parse_load_report(text: str, fields: Sequence[str]) -> tuple[float, ...]:
    """`idle:12;circuits:40` in the order of `fields`, -1 for what is not told; () if nothing is."""
    told = parse_figures(text)
    if not told.keys() & set(fields):
        return ()
    return tuple(told.get(name, -1.0) for name in fields)


def parse_figures_strict(text: str) -> dict[str, float]:
    """As `parse_figures`, but ValueError for whatever is no finite figure; empty text holds none."""
    found = {}
    for part in text.split(";") if text else ():
        name, colon, figure = part.partition(":")
        try:
            value = float(figure) if colon else inf
        except ValueError:
            value = inf
        if not isfinite(value):
            raise ValueError(f"no figure: {part[:20]!r}")
        found[name.strip()] = value
    return found


def parse_figures(text: str) -> dict[str, float]:
    """`dest:2;width:1;via:-1` as figures; what is no figure is passed over."""
    found = {}
    for part in text.split(";"):
        name, _, figure = part.partition(":")
        try:
            value = float(figure)
        except ValueError:
            continue
        if isfinite(value):
            found[name.strip()] = value
    return found
