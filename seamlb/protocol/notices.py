"""The notice board's events: changes to the list of duty desks."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


class NoticeError(ValueError):
    """An object that is no list of notices."""


@dataclass(slots=True, frozen=True)
class Member:
    """A duty desk as the board names it."""

    ident: str
    address: str
    locality: str
    cell: int
    phase: str
    since_ms: float


@dataclass(slots=True, frozen=True)
class Notice:
    """One event: the whole list, or what has changed."""

    event_number: int
    list_revision: int  # of the list itself, whoever tells it; 0: not told
    complete: bool
    members: tuple[Member, ...]


def parse_notices(raw: Any) -> tuple[int, list[Notice]]:
    """The last number and the events, in order."""
    try:
        return int(raw["rev"]), [
            Notice(
                int(one["rev"]),
                int(one["pool"].get("revision") or 0),
                bool(one["pool"]["complete"]),
                tuple(map(_member, one["pool"]["members"])),
            )
            for one in raw["notices"]
        ]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise NoticeError(f"not a list of notices: {type(error).__name__} {error}") from None


def _member(raw: Mapping[str, Any]) -> Member:
    host, _, port = str(raw["host_port"]).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"no address: {raw['host_port']!r}")
    return Member(
        ident=str(raw["id"]),
        address=str(raw["host_port"]),
        locality=str(raw.get("locality", "")),
        cell=int(raw.get("cell", 0)),
        phase=str(raw["phase"]),
        since_ms=float(raw.get("up_since_ms") or 0),
    )
