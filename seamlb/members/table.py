"""What an operator writes of membership: a table of the plug-ins' file, and the file of keys that it names."""

from __future__ import annotations

import stat
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

LEAST_KEY, MOST_KEY = 16, 64  # bytes


@dataclass(slots=True, frozen=True)
class MembersConfig:
    """The table `[members]`."""

    udp: str  # where instances hear each other: an IPv4 address and port of this instance alone
    keys: str  # a file that only its owner may read
    seeds: tuple[str, ...] = ()  # addresses of a few instances, to begin with
    follow_limits: int = 1  # 1: limits for the whole fleet are divided by the living; 0: as the settings say


@dataclass(slots=True, frozen=True)
class MemberKeys:
    """Keys that are taken, and the one that signs."""

    accepted: Mapping[int, bytes]
    signing_key: int


def load_keys(path: Path, table: str = "members") -> MemberKeys:
    """Read a file of keys: `send = 2` and a table `[keys]` of hex digits by number; ValueError or OSError."""
    if stat.S_IMODE(path.stat().st_mode) & 0o077:
        raise ValueError(f"{table}.keys: {path}: others may read it: make its mode 0600")
    raw = tomllib.loads(path.read_text())
    keys = raw.get("keys")
    if raw.keys() - {"send", "keys"} or not isinstance(keys, dict) or not isinstance(raw.get("send"), int):
        raise ValueError(f"{table}.keys: {path}: not `send` and a table `[keys]`")
    taken = {}
    for number, text in keys.items():
        try:
            taken[int(number)] = bytes.fromhex(text)
        except (ValueError, TypeError):
            raise ValueError(f"{table}.keys: {path}: key {number}: no hex digits by number") from None
        if not 0 <= int(number) <= 255 or not LEAST_KEY <= len(taken[int(number)]) <= MOST_KEY:
            bounds = f"not 0 to 255, or not {LEAST_KEY} to {MOST_KEY} bytes"
            raise ValueError(f"{table}.keys: {path}: key {number}: {bounds}")
    if raw["send"] not in taken:
        raise ValueError(f"{table}.keys: {path}: send: no key {raw['send']}")
    return MemberKeys(taken, raw["send"])
