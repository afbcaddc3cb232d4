"""What an operator writes of agreed versions: the table `[agree]` of the plug-ins' file, and the founding charter."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from seamlb.agree.acting import kind_error
from seamlb.agree.charter import ConfigVersion, Rule

LEASE_SHARE = 0.5  # part of `within` that a lease lasts: the other half is for votes and words that are lost
MIN_WITHIN, MAX_WITHIN = 1.0, 60.0  # seconds of `within`


@dataclass(slots=True, frozen=True)
class AgreeConfig:
    """The table; files are relative to the file that has it."""

    listen: str  # where a member of the council is reached: address and port; others need none and may leave it empty
    founding: str  # the file of the first charter, the same at all agents
    state: str  # a folder of this agent alone
    keys: str  # a file of keys as [members] has it
    council: tuple[str, ...]  # NAME=HOST:PORT of all that are or may become members
    within: float = 5.0  # seconds that two agents may act on rules that contradict, at most


@dataclass(slots=True, frozen=True)
class AgreeSettings:
    """The table, read and checked; `first` is the founding charter."""

    listen: str
    state: Path
    first: ConfigVersion
    accepted_keys: Mapping[int, bytes]
    signing_key: int
    voter_addresses: Mapping[str, str]  # address by name
    lease: float


def load_founding_version(path: Path) -> ConfigVersion:
    """The first charter of a TOML file: `council`, `agents` and a table `[rules.NAME]` each; ValueError, OSError."""
    raw = tomllib.loads(path.read_text())
    if unknown := sorted(raw.keys() - {"council", "agents", "rules"}):
        raise ValueError(f"agree.founding: {path}: unknown key {unknown[0]!r}")
    rules = {}
    for name, one in raw.get("rules", {}).items():
        if not isinstance(one, dict) or set(one) != {"kind", "value", "alone"}:
            raise ValueError(f"agree.founding: {path}: rules.{name}: not kind, value and alone")
        rules[name] = Rule(one["kind"], one["value"], one["alone"])
    try:
        found = ConfigVersion(1, "", tuple(raw.get("council", ())), tuple(raw.get("agents", ())), rules)
    except ValueError as error:
        raise ValueError(f"agree.founding: {path}: {error}") from None
    if why := kind_error(found):
        raise ValueError(f"agree.founding: {path}: rules.{why}")
    return found


def resolve(
    table: AgreeConfig, folder: Path, name: str, accepted_keys: Mapping[int, bytes], signing_key: int
) -> AgreeSettings:
    """Check a table; ValueError with the key and the reason."""
    first = load_founding_version(folder / table.founding)
    addresses = {one.partition("=")[0]: one.partition("=")[2] for one in table.council}
    if lost := sorted(set(first.voters) - addresses.keys()):
        raise ValueError(f"agree.council: no address of {lost[0]!r}, a member of the founding council")
    if name in addresses and not table.listen:
        raise ValueError("agree.listen: missing, and this agent is or may become a member of the council")
    if not MIN_WITHIN <= table.within <= MAX_WITHIN:
        raise ValueError(f"agree.within: not {MIN_WITHIN:g} to {MAX_WITHIN:g} seconds: {table.within!r}")
    if len(name.encode()) > 255:
        raise ValueError("agree: this agent's name is over 255 bytes")
    if not (folder / table.state).is_dir():
        raise ValueError(f"agree.state: no folder {str(folder / table.state)!r}")
    return AgreeSettings(
        table.listen, folder / table.state, first, accepted_keys, signing_key, addresses, LEASE_SHARE * table.within
    )
