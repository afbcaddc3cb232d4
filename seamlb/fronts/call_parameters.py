"""Parses and checks the call parameters in a caller's headers, for both SIP fronts, before the core uses them."""

from __future__ import annotations

from dataclasses import dataclass

from seamlb.api import CallClass
from seamlb.protocol.report import parse_figures_strict
from seamlb.protocol.sip import is_decimal

MAX_CELLS = 1 << 16  # the number of a pool or exchange has 16 bits


class InvalidCallError(Exception):
    """A set-up with invalid parameters; its text is sent to the caller in a Warning header."""


@dataclass(slots=True, frozen=True)
class CallParameters:
    """The parameters of a set-up."""

    destination: int
    slots: float
    via: int
    cut_before: bool


def parse_parameters(text: str, call_class: CallClass, default_destination: int | None = None) -> CallParameters:
    """Parse X-Legs; without a `default_destination`, a missing first choice is an error.

    Protects the decision module and the desks from values that are not numbers or that no call of the class has.
    """
    try:
        values = parse_figures_strict(text)
    except ValueError as error:
        raise InvalidCallError(f"X-Legs: {error}") from None
    if default_destination is None and "dest" not in values:
        raise InvalidCallError("X-Legs names no first choice")
    dest = _parse_cell("dest", values.get("dest", default_destination if default_destination is not None else -1))
    if call_class.pools is not None and dest not in call_class.pools:
        raise InvalidCallError("the first choice can't take this class")
    if values.get("width", call_class.width) != call_class.width:
        raise InvalidCallError("another width than the class has")
    return CallParameters(
        dest, call_class.width, _parse_cell("via", values.get("via", -1)), values.get("again", 0) > 0
    )


def _parse_cell(name: str, value: float) -> int:
    if value != int(value) or not -1 <= value < MAX_CELLS:
        raise InvalidCallError(f"X-Legs: {name} is out of range")
    return int(value)


def parse_timeout(text: str, call_class: CallClass, name: str) -> float:
    """Return how many ms the caller waits, which must not exceed the deadline of its class."""
    if not is_decimal(text):
        raise InvalidCallError(f"{name} is no number of milliseconds")
    if float(text) > call_class.deadline:
        raise InvalidCallError(f"{name} is longer than the class may wait")
    return float(text)
