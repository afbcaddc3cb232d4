"""What the daemon is told: the platform's JSON configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from seamlb import api
from seamlb.net.connection import split_address
from seamlb.protocol.notices import parse_notices


class ConfigError(Exception):
    """A configuration that can't be used; its text is one line for the operator."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration, checked."""

    name: str
    listen: str
    seed: int
    sockets: int
    peer_listen: str
    peers: tuple[str, ...]
    peers_all: str
    board: str
    known: Mapping[str, Any] | None
    settings: api.Settings
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    connect_timeout: float  # seconds
    idle_close: float  # seconds
    max_open: int


def load(path: str, listen: str = "", name: str = "") -> Config:
    """Read and check a file; `listen` and `name` come before what the file says."""
    try:
        raw = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        return read(raw, listen, name)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        text = f"{error} missing" if isinstance(error, KeyError) else str(error)
        raise ConfigError(f"{path}: {text}".replace("\n", " ")) from None


def read(raw: Mapping[str, Any], listen: str = "", name: str = "") -> Config:
    """Check a decoded configuration; what is wrong raises ValueError, TypeError or KeyError."""
    settings = raw["settings"]
    if not isinstance(settings, dict):
        raise ValueError("settings: not an object")
    limits = raw.get("limits") or {}
    bounds = settings.get("Limits") or {}
    if raw.get("known"):
        parse_notices(raw["known"])
    addresses = {"listen": listen or raw["listen"], **{k: raw[k] for k in ("board", "peer_listen") if raw.get(k)}}
    for key, address in addresses.items():
        try:
            split_address(address)
        except (ValueError, AttributeError):
            raise ValueError(f"{key}: not host:port: {address!r}") from None
    return Config(
        name=name or str(raw.get("name", "seamlb")),
        listen=addresses["listen"],
        seed=int(str(raw.get("seed", "0")), 16),
        sockets=int(limits.get("sockets", 1024)),
        peer_listen=addresses.get("peer_listen", ""),
        peers=tuple(map(str, raw.get("peers") or ())),
        peers_all=str(raw.get("peers_all") or ""),
        board=addresses.get("board", ""),
        known=raw.get("known"),
        settings=api.Settings.from_mapping(settings),
        tenants=tuple(str(one["Name"]) for one in settings.get("Tenants") or ()),
        zones=tuple(map(str, settings.get("Azs") or ())),
        connect_timeout=float(bounds.get("ConnectTimeout", 500.0)) / 1000.0,
        idle_close=float(bounds.get("IdleClose", 600000.0)) / 1000.0,
        max_open=int(bounds.get("MaxOpen", 20000)),
    )
