"""What the daemon is told: the platform's JSON configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from seamlb import api
from seamlb.net.address import split_address
from seamlb.protocol.notices import parse_notices


class ConfigError(Exception):
    """A configuration that can't be used; its text is one line for the operator."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration, checked."""

    name: str
    listen: str
    management: str  # where operators call; none: nowhere
    inherited: int | None  # descriptor of a listening socket that was handed down
    measures: bool  # is `/admin/measures` there, which changes in stages are judged by?
    seed: int
    sockets: int
    peer_listen: str
    peers: tuple[str, ...]
    peers_all: str
    board: str
    known: Mapping[str, Any] | None
    settings: api.Settings
    zones: tuple[str, ...]
    connect_timeout: float  # seconds
    max_open: int
    raw: Mapping[str, Any]  # as read, without the list of desks
    source: str = ""  # the file

    @property
    def tenants(self) -> tuple[str, ...]:
        """Names of the tenants, in the settings' order."""
        return tuple(self.settings.tenant_ids)

    def lacks(self, new: Config) -> str:
        """The first key of this one that a new one has not; empty if it has all."""
        return _lacks(self.raw, new.raw)


def _lacks(old: Any, new: Any, where: str = "") -> str:
    """Guards against files that are cut or half written: a key with a default would be lost without a word.

    An object in a list has to have what all in the old list have.
    """
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        inner = f"{where}." if where else ""
        return next(
            (
                found
                for key, value in old.items()
                if (found := _lacks(value, new[key], inner + key) if key in new else inner + key)
            ),
            "",
        )
    if isinstance(old, list) and isinstance(new, list) and all(isinstance(one, Mapping) for one in (*old, *new)):
        shared = set.intersection(*(set(one) for one in old)) if old else set()
        return next(
            (f"{where}[{place}].{key}" for place, one in enumerate(new) for key in sorted(shared) if key not in one),
            "",
        )
    return ""


@dataclass(slots=True, frozen=True)
class Overrides:
    """What the start says; it comes before what the file says."""

    listen: str = ""
    name: str = ""
    management: str = ""
    inherited: int | None = None
    measures: bool = False


def load(path: str, told: Overrides = Overrides()) -> Config:
    """Read and check a file."""
    try:
        raw = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        return replace(read(raw, told), source=path)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        text = f"{error} missing" if isinstance(error, KeyError) else str(error)
        raise ConfigError(f"{path}: {text}".replace("\n", " ")) from None


def read(raw: Mapping[str, Any], told: Overrides = Overrides()) -> Config:
    """Check a decoded configuration; what is wrong raises ValueError, TypeError or KeyError."""
    settings = raw["settings"]
    if not isinstance(settings, dict):
        raise ValueError("settings: not an object")
    limits = raw.get("limits") or {}
    bounds = settings.get("Limits") or {}
    classes = [str(one.get("Name", "")) for one in settings.get("Classes") or ()]
    tenants = [str(one["Name"]) for one in settings.get("Tenants") or ()]
    for part, names in (("Classes", classes), ("Tenants", tenants)):
        if doubled := [name for name in names if names.count(name) > 1]:
            raise ValueError(f"settings.{part}: {doubled[0]!r} is there twice")
    if raw.get("known"):
        parse_notices(raw["known"])
    named = {key: raw.get(key) for key in ("listen", "management", "board", "peer_listen")}
    named |= {key: value for key in ("listen", "management") if (value := getattr(told, key))}
    addresses = {key: str(address) for key, address in named.items() if address}
    for key, address in addresses.items():
        try:
            split_address(address)
        except ValueError:
            raise ValueError(f"{key}: not host:port: {address!r}") from None
    return Config(
        name=told.name or str(raw.get("name", "seamlb")),
        listen=addresses.get("listen", ""),
        management=addresses.get("management", ""),
        inherited=told.inherited,
        measures=told.measures,
        seed=int(str(raw.get("seed", "0")), 16),
        sockets=int(limits.get("sockets", 1024)),
        peer_listen=addresses.get("peer_listen", ""),
        peers=tuple(map(str, raw.get("peers") or ())),
        peers_all=str(raw.get("peers_all") or ""),
        board=addresses.get("board", ""),
        known=raw.get("known"),
        settings=api.Settings.from_mapping(settings),
        zones=tuple(map(str, settings.get("Azs") or ())),
        connect_timeout=float(bounds.get("ConnectTimeout", 500.0)) / 1000.0,
        max_open=int(bounds.get("MaxOpen", 20000)),
        raw={key: value for key, value in raw.items() if key != "known"},
    )
