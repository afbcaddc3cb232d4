"""Membership settings: the table `[members]` of the plug-ins' file, and the key file that it names."""

from __future__ import annotations

import stat
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64


@dataclass(slots=True, frozen=True)
class MembersConfig:
    """The table `[members]`."""

    udp: str  # IPv4 address and port for gossip, unique to this instance
    keys: str  # key file, readable by its owner only
    seeds: tuple[str, ...] = ()  # addresses of a few instances to join through
    follow_limits: int = 1  # 1: fleet-wide limits are divided by the alive instances; 0: by the configured number


@dataclass(slots=True, frozen=True)
class MemberKeys:
    """Keys accepted in received datagrams, by number, and the number of the one that signs."""

    accepted: Mapping[int, bytes]
    signing_key: int


def load_keys(path: Path, table: str = "members") -> MemberKeys:
    """Read a key file: `send = 2` and a table `[keys]` of hex digits by number; raises ValueError or OSError."""
    if stat.S_IMODE(path.stat().st_mode) & 0o077:
        raise ValueError(f"{table}.keys: {path}: accessible to other users: make its mode 0600")
    raw = tomllib.loads(path.read_text())
    keys = raw.get("keys")
    if raw.keys() - {"send", "keys"} or not isinstance(keys, dict) or not isinstance(raw.get("send"), int):
        raise ValueError(f"{table}.keys: {path}: must have exactly `send` (an integer) and a table `[keys]`")
    accepted = {}
    for number, text in keys.items():
        try:
            accepted[int(number)] = bytes.fromhex(text)
        except (ValueError, TypeError):
            raise ValueError(f"{table}.keys: {path}: key {number}: must be hex digits under a number") from None
        if not 0 <= int(number) <= 255 or not MIN_KEY_BYTES <= len(accepted[int(number)]) <= MAX_KEY_BYTES:
            bounds = f"number not 0 to 255, or key not {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes"
            raise ValueError(f"{table}.keys: {path}: key {number}: {bounds}")
    if raw["send"] not in accepted:
        raise ValueError(f"{table}.keys: {path}: send: no key {raw['send']}")
    return MemberKeys(accepted, raw["send"])
