"""Settings of version agreement: the table `[agree]` of the plug-ins file, and the file of the founding version."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from seamlb.agree.enforcer import kind_error
from seamlb.agree.version import ConfigVersion, Rule

LEASE_SHARE = 0.5  # of `within`, for the lease; the rest is for votes and lost messages
MIN_WITHIN, MAX_WITHIN = 1.0, 60.0  # s


@dataclass(slots=True, frozen=True)
class AgreeConfig:
    """The table as written; paths are relative to its file."""

    listen: str  # HOST:PORT at which a voter is reached; may be empty for other agents
    founding: str  # the file of the first version, the same for all agents
    state: str  # a folder that only this agent uses
    keys: str  # a file of keys, as for [members]
    council: tuple[str, ...]  # NAME=HOST:PORT of all agents that are or may become voters
    within: float = 5.0  # s for which two agents may apply conflicting rules at most


@dataclass(slots=True, frozen=True)
class AgreeSettings:
    """The validated table; `first` is the founding version."""

    listen: str
    state: Path
    first: ConfigVersion
    accepted_keys: Mapping[int, bytes]
    signing_key: int
    voter_addresses: Mapping[str, str]  # HOST:PORT by name
    lease: float  # s


def load_founding_version(path: Path) -> ConfigVersion:
    """Reads the first version from TOML: `council`, `agents`, tables `[rules.NAME]`; raises ValueError, OSError."""
    raw = tomllib.loads(path.read_text())
    if unknown := sorted(raw.keys() - {"council", "agents", "rules"}):
        raise ValueError(f"agree.founding: {path}: unknown key {unknown[0]!r}")
    rules = {}
    for name, rule in raw.get("rules", {}).items():
        if not isinstance(rule, dict) or set(rule) != {"kind", "value", "alone"}:
            raise ValueError(f"agree.founding: {path}: rules.{name}: must have kind, value and alone")
        rules[name] = Rule(rule["kind"], rule["value"], rule["alone"])
    try:
        version = ConfigVersion(1, "", tuple(raw.get("council", ())), tuple(raw.get("agents", ())), rules)
    except ValueError as error:
        raise ValueError(f"agree.founding: {path}: {error}") from None
    if reason := kind_error(version):
        raise ValueError(f"agree.founding: {path}: rules.{reason}")
    return version


def resolve(
    table: AgreeConfig, folder: Path, name: str, accepted_keys: Mapping[int, bytes], signing_key: int
) -> AgreeSettings:
    """Validates the table; raises ValueError with the key and the reason."""
    first = load_founding_version(folder / table.founding)
    addresses = {entry.partition("=")[0]: entry.partition("=")[2] for entry in table.council}
    if missing := sorted(set(first.voters) - addresses.keys()):
        raise ValueError(
            f"agree.council: no address for {missing[0]!r}, which is in the council of the founding version"
        )
    if name in addresses and not table.listen:
        raise ValueError("agree.listen: missing, but this agent is in agree.council")
    if not MIN_WITHIN <= table.within <= MAX_WITHIN:
        raise ValueError(f"agree.within: must be {MIN_WITHIN:g} to {MAX_WITHIN:g} seconds, is {table.within!r}")
    if len(name.encode()) > 255:
        raise ValueError("agree: this agent's name has more than 255 bytes")
    if not (folder / table.state).is_dir():
        raise ValueError(f"agree.state: folder {str(folder / table.state)!r} does not exist")
    return AgreeSettings(
        table.listen, folder / table.state, first, accepted_keys, signing_key, addresses, LEASE_SHARE * table.within
    )
