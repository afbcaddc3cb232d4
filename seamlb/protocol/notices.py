"""Events of the notice board: changes to the list of duty desks."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


class NoticeError(ValueError):
    """The object is not a valid list of notices."""


@dataclass(slots=True, frozen=True)
class Member:
    """A duty desk as listed by the board."""

    ident: str
    address: str
    locality: str
    cell: int
    phase: str
    since_ms: float


@dataclass(slots=True, frozen=True)
class Notice:
    """One event: the complete list or the changed entries."""

    event_number: int
    list_revision: int  # of the list itself, independent of the board that sends it; 0 if missing
    complete: bool
    members: tuple[Member, ...]


def parse_notices(raw: Any) -> tuple[int, list[Notice]]:
    """Returns the last event number and the events in order."""
    try:
        return int(raw["rev"]), [
            Notice(
                int(notice["rev"]),
                int(notice["pool"].get("revision") or 0),
                bool(notice["pool"]["complete"]),
                tuple(map(_parse_member, notice["pool"]["members"])),
            )
            for notice in raw["notices"]
        ]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise NoticeError(f"not a list of notices: {type(error).__name__} {error}") from None


def _parse_member(raw: Mapping[str, Any]) -> Member:
    host, _, port = str(raw["host_port"]).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"invalid host_port: {raw['host_port']!r}")
    return Member(
        ident=str(raw["id"]),
        address=str(raw["host_port"]),
        locality=str(raw.get("locality", "")),
        cell=int(raw.get("cell", 0)),
        phase=str(raw["phase"]),
        since_ms=float(raw.get("up_since_ms") or 0),
    )
