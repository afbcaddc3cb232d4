"""The platform's JSON configuration."""

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
    """An unusable configuration; the text is one line for the operator."""


@dataclass(slots=True, frozen=True)
class Config:
    """A checked configuration."""

    name: str
    listen: str
    management: str  # the management address; empty: none
    inherited: int | None  # descriptor of an inherited listening socket
    measures: bool  # whether `/admin/measures` is served, for staged rollouts
    seed: int
    sockets: int
    memory_mb: float  # `limits.memory_mb`; 0: no limit
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

    def missing_key(self, new: Config) -> str:
        """The first key of this configuration that a new one lacks; empty if there is none."""
        return _missing_key(self.raw, new.raw)


def _missing_key(old: Any, new: Any, parent: str = "") -> str:
    """Find a missing key, the sign of a truncated file: a key with a default would otherwise be lost silently.

    An object in a list must have the keys that all objects in the old list have.
    """
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        prefix = f"{parent}." if parent else ""
        return next(
            (
                missing
                for key, value in old.items()
                if (missing := _missing_key(value, new[key], prefix + key) if key in new else prefix + key)
            ),
            "",
        )
    if isinstance(old, list) and isinstance(new, list) and all(isinstance(one, Mapping) for one in (*old, *new)):
        common = set.intersection(*(set(one) for one in old)) if old else set()
        return next(
            (f"{parent}[{index}].{key}" for index, one in enumerate(new) for key in sorted(common) if key not in one),
            "",
        )
    return ""


@dataclass(slots=True, frozen=True)
class Overrides:
    """Options given at the start, which take precedence over the file."""

    listen: str = ""
    name: str = ""
    management: str = ""
    inherited: int | None = None
    measures: bool = False


def load(path: str, overrides: Overrides = Overrides()) -> Config:
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
        return replace(read(raw, overrides), source=path)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        text = f"{error} missing" if isinstance(error, KeyError) else str(error)
        raise ConfigError(f"{path}: {text}".replace("\n", " ")) from None


def read(raw: Mapping[str, Any], overrides: Overrides = Overrides()) -> Config:
    """Check a decoded configuration; errors raise ValueError, TypeError or KeyError."""
    settings = raw["settings"]
    if not isinstance(settings, dict):
        raise ValueError("settings: not an object")
    limits = raw.get("limits") or {}
    call_limits = settings.get("Limits") or {}
    classes = [str(one.get("Name", "")) for one in settings.get("Classes") or ()]
    tenants = [str(one["Name"]) for one in settings.get("Tenants") or ()]
    for list_name, names in (("Classes", classes), ("Tenants", tenants)):
        if duplicates := [name for name in names if names.count(name) > 1]:
            raise ValueError(f"settings.{list_name}: {duplicates[0]!r} is there twice")
    if raw.get("known"):
        parse_notices(raw["known"])
    configured = {key: raw.get(key) for key in ("listen", "management", "board", "peer_listen")}
    configured |= {key: value for key in ("listen", "management") if (value := getattr(overrides, key))}
    addresses = {key: str(address) for key, address in configured.items() if address}
    for key, address in addresses.items():
        try:
            split_address(address)
        except ValueError:
            raise ValueError(f"{key}: not host:port: {address!r}") from None
    return Config(
        name=overrides.name or str(raw.get("name", "seamlb")),
        listen=addresses.get("listen", ""),
        management=addresses.get("management", ""),
        inherited=overrides.inherited,
        measures=overrides.measures,
        seed=int(str(raw.get("seed", "0")), 16),
        sockets=int(limits.get("sockets", 1024)),
        memory_mb=float(limits.get("memory_mb", 0.0)),
        peer_listen=addresses.get("peer_listen", ""),
        peers=tuple(map(str, raw.get("peers") or ())),
        peers_all=str(raw.get("peers_all") or ""),
        board=addresses.get("board", ""),
        known=raw.get("known"),
        settings=api.Settings.from_mapping(settings),
        zones=tuple(map(str, settings.get("Azs") or ())),
        connect_timeout=float(call_limits.get("ConnectTimeout", 500.0)) / 1000.0,
        max_open=int(call_limits.get("MaxOpen", 20000)),
        raw={key: value for key, value in raw.items() if key != "known"},
    )
