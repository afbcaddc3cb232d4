"""Load reports and diagnoses in the headers of duty desks."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf, isfinite

DIAGNOSES = {"atb": 1, "rtb": 2, "acc": 3, "sub": 4}  # codes by X-Diagnosis value


def parse_load_report(text: str, fields: Sequence[str]) -> tuple[float, ...]:
    """Returns the values of `idle:12;circuits:40` in the order of `fields`, -1 for a missing one; () if all are."""
    values = parse_figures(text)
    if not values.keys() & set(fields):
        return ()
    return tuple(values.get(name, -1.0) for name in fields)


def parse_figures_strict(text: str) -> dict[str, float]:
    """Like `parse_figures`, but raises ValueError for a value that is not a finite number; "" gives {}."""
    values = {}
    for part in text.split(";") if text else ():
        name, colon, number = part.partition(":")
        try:
            value = float(number) if colon else inf
        except ValueError:
            value = inf
        if not isfinite(value):
            raise ValueError(f"no figure: {part[:20]!r}")
        values[name.strip()] = value
    return values


def parse_figures(text: str) -> dict[str, float]:
    """Parses `dest:2;width:1;via:-1` into numbers by name; skips values that are not finite numbers."""
    values = {}
    for part in text.split(";"):
        name, _, number = part.partition(":")
        try:
            value = float(number)
        except ValueError:
            continue
        if isfinite(value):
            values[name.strip()] = value
    return values
