"""What a caller says of its call in headers, checked for both fronts before the core hears of it."""

from __future__ import annotations

from dataclasses import dataclass

from seamlb.api import CallClass
from seamlb.protocol.report import parse_figures_strict
from seamlb.protocol.sip import is_decimal

MOST_CELLS = 1 << 16  # a pool's or exchange's number has 16 bits


class ManagementCallError(Exception):
    """A set-up that can't be taken; its text tells the caller why."""


@dataclass(slots=True, frozen=True)
class Figures:
    """The figures of a set-up."""

    destination: int
    slots: float
    via: int
    cut_before: bool


def figures(text: str, kind: CallClass, usual: int | None = None) -> Figures:
    """Read X-Legs; `usual` stands for a missing first choice, which is an error without it.

    Guards the module and the desks against figures that are none, or that no call of its class has.
    """
    try:
        told = parse_figures_strict(text)
    except ValueError as error:
        raise ManagementCallError(f"X-Legs: {error}") from None
    if usual is None and "dest" not in told:
        raise ManagementCallError("X-Legs names no first choice")
    dest = _place("dest", told.get("dest", usual if usual is not None else -1))
    if kind.pools is not None and dest not in kind.pools:
        raise ManagementCallError("the first choice can't take this class")
    if told.get("width", kind.width) != kind.width:
        raise ManagementCallError("another width than the class has")
    return Figures(dest, kind.width, _place("via", told.get("via", -1)), told.get("again", 0) > 0)


def _place(name: str, value: float) -> int:
    if value != int(value) or not -1 <= value < MOST_CELLS:
        raise ManagementCallError(f"X-Legs: {name} is out of range")
    return int(value)


def patience(text: str, kind: CallClass, name: str) -> float:
    """Milliseconds that a caller waits: no longer than its class may."""
    if not is_decimal(text):
        raise ManagementCallError(f"{name} is no number of milliseconds")
    if float(text) > kind.deadline:
        raise ManagementCallError(f"{name} is longer than the class may wait")
    return float(text)
