"""What a load plays and on which site: classes and offices come from a file, none is built in but two plain ones."""

from __future__ import annotations

import tomllib
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

DESKS = 4
FIGURES = {"classes": ("part", "worth", "on_time_ms", "deadline_ms"), "offices": ("part",)}


@dataclass(slots=True, frozen=True)
class Kind:
    """One class of call; `part` of all calls, times in milliseconds."""

    name: str
    part: float
    worth: float
    on_time: float
    deadline: float


@dataclass(slots=True, frozen=True)
class Site:
    """Who calls, and for what; `offices` by their part of the calls, which is their part of the allowance too."""

    classes: tuple[Kind, ...] = (Kind("plain", 0.8, 1.0, 5000.0, 15000.0), Kind("urgent", 0.2, 5.0, 1500.0, 6000.0))
    offices: tuple[tuple[str, float], ...] = (("office", 1.0),)
    patience: int = 2000  # milliseconds of each call


def read_site(path: Path) -> Site:
    """A site from TOML: `patience_ms` and tables `[[classes]]` and `[[offices]]`; ValueError names key and reason."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ValueError(f"{path}: {error}") from None
    if unknown := sorted(raw.keys() - {"patience_ms", *FIGURES}):
        raise ValueError(f"{path}: unknown key {unknown[0]!r}")
    rows: dict[str, list[list[Any]]] = {table: _rows(path, raw, table) for table in FIGURES}
    patience = raw.get("patience_ms", 2000)
    if not isinstance(patience, int) or isinstance(patience, bool) or patience <= 0:
        raise ValueError(f"{path}: patience_ms: not a whole number above 0")
    return Site(
        tuple(Kind(*row) for row in rows["classes"]), tuple((row[0], row[1]) for row in rows["offices"]), patience
    )


def _rows(path: Path, raw: dict[str, Any], table: str) -> list[list[Any]]:
    """A table's entries, each its name and figures."""
    listed = raw.get(table)
    if not isinstance(listed, list) or not listed:
        raise ValueError(f"{path}: {table}: at least one is needed")
    found: list[list[Any]] = []
    for place, one in enumerate(listed):
        for key in ("name", *FIGURES[table]):
            value, where = one.get(key), f"{path}: {table}[{place}].{key}"
            if key == "name":
                if not isinstance(value, str) or not value or value in [row[0] for row in found]:
                    raise ValueError(f"{where}: missing, or there twice")
            elif isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < float("inf"):
                raise ValueError(f"{where}: not a number above 0: {value!r}")
        if unknown := sorted(one.keys() - {"name", *FIGURES[table]}):
            raise ValueError(f"{path}: {table}[{place}].{unknown[0]}: unknown key")
        found.append([one[key] for key in ("name", *FIGURES[table])])
    return found


@dataclass(slots=True)
class Load:
    """What to play."""

    rate: float = 50.0
    seconds: float = 10.0
    front: str = "platform"
    desks: int = DESKS
    agents: int = 40  # of each desk
    holding: float = 1.0  # mean seconds
    setup: float = 0.002  # seconds a set-up takes a desk
    seed: int = 1
    faults: tuple[tuple[float, str, str], ...] = ()  # at, desk, what: reset, mute, wake, full, empty, drain
    plugins: str = ""  # tables added to the plug-ins' file
    folder: str = ""  # where the files that they name are
    site: Site = field(default_factory=Site)


@dataclass(slots=True)
class Report:
    """What came of it."""

    calls: int
    results: Counter[str]
    onset_ms: dict[str, dict[str, float]]  # by class: p50, p90, p99, most
    broken: list[str]
    counts: Counter[str]
    faults: list[dict[str, Any]]  # the agent's own `fault` lines
    exit_code: int
    stood_in_time: dict[str, float] = field(default_factory=dict)
