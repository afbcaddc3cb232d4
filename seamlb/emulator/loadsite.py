"""Parameters and report of a load test, and its site: the call classes and offices, read from a file."""

from __future__ import annotations

import tomllib
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

DESKS = 4
NUMERIC_KEYS = {"classes": ("part", "worth", "on_time_ms", "deadline_ms"), "offices": ("part",)}


@dataclass(slots=True, frozen=True)
class CallClass:
    """A call class; `share` is its relative frequency, `worth` the value of an established call."""

    name: str
    share: float
    worth: float
    on_time_ms: float
    deadline_ms: float


@dataclass(slots=True, frozen=True)
class Site:
    """Call classes and offices; an office's share applies to the calls and to the allowance."""

    classes: tuple[CallClass, ...] = (
        CallClass("plain", 0.8, 1.0, 5000.0, 15000.0),
        CallClass("urgent", 0.2, 5.0, 1500.0, 6000.0),
    )
    offices: tuple[tuple[str, float], ...] = (("office", 1.0),)
    patience_ms: int = 2000  # that every caller waits for its final answer


def read_site(path: Path) -> Site:
    """Read a site from TOML: `patience_ms`, `[[classes]]` and `[[offices]]`; ValueError names key and reason."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ValueError(f"{path}: {error}") from None
    if unknown := sorted(raw.keys() - {"patience_ms", *NUMERIC_KEYS}):
        raise ValueError(f"{path}: unknown key {unknown[0]!r}")
    rows: dict[str, list[list[Any]]] = {table: _rows(path, raw, table) for table in NUMERIC_KEYS}
    patience_ms = raw.get("patience_ms", 2000)
    if not isinstance(patience_ms, int) or isinstance(patience_ms, bool) or patience_ms <= 0:
        raise ValueError(f"{path}: patience_ms: must be a whole number above 0")
    return Site(
        tuple(CallClass(*row) for row in rows["classes"]),
        tuple((row[0], row[1]) for row in rows["offices"]),
        patience_ms,
    )


def _rows(path: Path, raw: dict[str, Any], table: str) -> list[list[Any]]:
    """The entries of a table, each as a list of its name and its numbers."""
    entries = raw.get(table)
    if not isinstance(entries, list) or not entries:
        raise ValueError(f"{path}: {table}: at least one entry is required")
    rows: list[list[Any]] = []
    for index, entry in enumerate(entries):
        for key in ("name", *NUMERIC_KEYS[table]):
            value, location = entry.get(key), f"{path}: {table}[{index}].{key}"
            if key == "name":
                if not isinstance(value, str) or not value or value in [row[0] for row in rows]:
                    raise ValueError(f"{location}: missing or duplicate")
            elif isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < float("inf"):
                raise ValueError(f"{location}: must be a number above 0: {value!r}")
        if unknown := sorted(entry.keys() - {"name", *NUMERIC_KEYS[table]}):
            raise ValueError(f"{path}: {table}[{index}].{unknown[0]}: unknown key")
        rows.append([entry[key] for key in ("name", *NUMERIC_KEYS[table])])
    return rows


@dataclass(slots=True)
class Load:
    """The parameters of a load test."""

    rate: float = 50.0  # calls/s
    seconds: float = 10.0
    front: str = "platform"
    desks: int = DESKS
    agents: int = 40  # of each desk
    holding_s: float = 1.0  # mean
    setup_s: float = 0.002  # of a desk's processor for one set-up
    seed: int = 1
    faults: tuple[tuple[float, str, str], ...] = ()  # seconds, desk, kind: reset, mute, wake, full, empty, drain
    plugins: str = ""  # TOML tables to add to the plug-ins file
    folder: str = ""  # in which the plug-ins file is written; empty: a temporary one
    site: Site = field(default_factory=Site)


@dataclass(slots=True)
class Report:
    """The results of a load test."""

    calls: int
    results: Counter[str]
    answer_delay_ms: dict[str, dict[str, float]]  # by class: percentiles p50, p90, p99, p100
    violations: list[str]
    counts: Counter[str]
    faults: list[dict[str, Any]]  # the agent's log lines of faults
    exit_code: int
    established_in_time: dict[str, float] = field(default_factory=dict)  # by class: share of the calls
