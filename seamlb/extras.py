"""What is on beside the platform's front: the plug-ins' TOML file, checked against the configuration."""

from __future__ import annotations

import ipaddress
import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, fields
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

from seamlb.config import Config, ConfigError
from seamlb.discovery.consul import ConsulConfig
from seamlb.members.table import MemberKeys, MembersConfig, load_keys
from seamlb.net.address import split_address
from seamlb.sip.settings import SipFrontConfig

if TYPE_CHECKING:
    from seamlb.agree.table import AgreeSettings
    from seamlb.planning.follow import Followed
    from seamlb.plugins.loading import PluginsTable

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class SipDesksConfig:
    """Where the desk side of the sip front listens, and how desks are reached."""

    transport: str = "udp"
    udp: str = ""
    tcp: str = ""


@dataclass(slots=True, frozen=True)
class PlanConfig:
    """A plan to follow and its problem, relative to the file that names them."""

    file: str
    problem: str
    district: str = ""  # where this agent stands; without it the configuration's own
    until: str = ""  # ISO 8601 with a time zone: from then on the plan steers nothing


@dataclass(slots=True, frozen=True)
class Plugins:
    """What is on beside the platform's front; each part is off unless its table is there."""

    sip: SipFrontConfig | None = None
    desks: SipDesksConfig | None = None
    consul: ConsulConfig | None = None
    hook: str = ""
    plan: Followed | None = None
    plugins: PluginsTable | None = None
    members: MembersConfig | None = None
    member_keys: MemberKeys | None = None
    zones: ZonesConfig | None = None
    agree: AgreeSettings | None = None


@dataclass(slots=True, frozen=True)
class ZonesConfig:
    """Leaving and returning to zones as a fleet; `[members]` brings the others' word."""

    bears: float  # calls a second that one duty desk bears from all agents together
    regions: tuple[str, ...] = ()  # each the names of its zones, with a + between them
    out: float = 15.0  # seconds out of a zone at least, doubled each time it fails on the way back
    ramp: float = 20.0  # seconds from a tenth of what its desks bear to all


def load_plugins(path: str, config: Config) -> Plugins:
    """Read and check a TOML file of plug-ins against the classes and tenants of the configuration."""
    try:
        raw = tomllib.loads(Path(path).read_text())
        unknown = raw.keys() - {"sip", "desks", "consul", "hook", "plan", "plugins", "members", "zones", "agree"}
        if unknown:
            raise ValueError(f"unknown table {min(unknown)}")
        sip, desks = _table(raw, "sip", SipFrontConfig), _table(raw, "desks", SipDesksConfig)
        consul = _table(raw, "consul", ConsulConfig)
        hook = str((raw.get("hook") or {}).get("file", ""))
        _check_plugins(config, sip, desks, consul)
        plan = _table(raw, "plan", PlanConfig)
        followed = _followed(plan, Path(path).parent, config) if plan else None
        local = _local(raw["plugins"], Path(path).parent) if "plugins" in raw else None
        members = _table(raw, "members", MembersConfig)
        keys = _members(members, Path(path).parent) if members else None
        zones = _table(raw, "zones", ZonesConfig)
        _check_zones(config, zones, members)
        agreed = _agreed(raw, Path(path).parent, config) if "agree" in raw else None
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (ValueError, TypeError, AttributeError) as error:  # TOML errors are ValueErrors
        raise ConfigError(f"{path}: {error}".replace("\n", " ")) from None
    file = str(Path(path).parent / hook) if hook else ""
    return Plugins(sip, desks, consul, file, followed, local, members, keys, zones, agreed)


def _check_zones(config: Config, table: ZonesConfig | None, members: MembersConfig | None) -> None:
    if table is None:
        return
    if not 0 < table.bears < math.inf:
        raise ValueError(f"zones.bears: not above 0: {table.bears!r}")
    if not (1.0 <= table.out <= 3600.0 and 1.0 <= table.ramp <= 3600.0):
        raise ValueError("zones.out, zones.ramp: not 1 to 3600 seconds")
    if len(config.zones) < 2:
        raise ValueError("zones: the settings name fewer than two (Azs)")
    if members is None and config.settings.instances > 1:
        raise ValueError("zones: no table [members], and the settings name several instances")
    for region in table.regions:
        if unknown := sorted(set(region.split("+")) - set(config.zones)):
            raise ValueError(f"zones.regions: unknown zone {unknown[0]!r}")


def _members(table: MembersConfig, folder: Path) -> MemberKeys:
    """The keys that the table names, and its addresses checked; ValueError."""
    for key, address in (("udp", table.udp), *(("seeds", one) for one in table.seeds)):
        try:
            ipaddress.IPv4Address(split_address(address)[0])
        except ValueError as error:
            raise ValueError(f"members.{key}: {error}") from None
    return load_keys(folder / table.keys)


def _agreed(raw: Mapping[str, Any], folder: Path, config: Config) -> AgreeSettings | None:
    """The table with the keys and the founding charter that it names, checked; ValueError."""
    from seamlb.agree.table import AgreeConfig, resolve

    if (table := _table(raw, "agree", AgreeConfig)) is None:
        return None
    for key, address in (("listen", table.listen), *(("council", one.partition("=")[2]) for one in table.council)):
        if address:
            try:
                split_address(address)
            except ValueError as error:
                raise ValueError(f"agree.{key}: {error}") from None
    keys = load_keys(folder / table.keys, "agree")
    return resolve(table, folder, config.name, keys.accepted, keys.signing_key)


def _local(raw: Any, folder: Path) -> PluginsTable:
    """The plug-ins' table, its plug-ins loaded once to see that they can be used; else ValueError."""
    from seamlb.plugins.loading import LoadError, load_all, settings_of

    table = settings_of(raw, folder)
    try:
        load_all(table)
    except LoadError as error:
        raise ValueError(f"plugins: {error}") from None
    return table


def _followed(plan: PlanConfig, folder: Path, config: Config) -> Followed:
    """The plan that a file names, checked whole against its problem and this configuration; else ValueError."""
    # Imported where it is switched on: the platform's path has none of these libraries.
    from seamlb.planning.check import check
    from seamlb.planning.files import load_problem
    from seamlb.planning.follow import Followed
    from seamlb.planning.model import PlanningError
    from seamlb.planning.plan_files import digest, plan_of

    try:
        problem = load_problem(folder / plan.problem)
        found, table = plan_of(folder / plan.file)
    except PlanningError as error:
        raise ValueError(f"plan: {error}") from None
    if table.problem != digest(problem):
        raise ValueError(f"plan.file: {plan.file} was made for another problem than {plan.problem}")
    # Moves were counted from a plan in force that is not known here; all else must hold.
    if wrong := [line for line in check(problem, found) if not line.startswith("moves:")]:
        raise ValueError(f"plan.file: {plan.file}: {wrong[0]}")
    classes = {kind.name for kind in config.settings.classes}
    if unknown := sorted(problem.kind.keys() - classes):
        raise ValueError(f"plan.problem: {plan.problem}: unknown class {unknown[0]!r}")
    if config.tenants and (strange := sorted({o.name for o in problem.offices} - set(config.tenants))):
        raise ValueError(f"plan.problem: {plan.problem}: unknown office {strange[0]!r}")
    if plan.district and plan.district not in problem.districts:
        raise ValueError(f"plan.district: unknown district {plan.district!r}")
    home = config.zones[config.settings.zone] if config.settings.zone < len(config.zones) else ""
    until = math.inf
    if plan.until:
        told = datetime.fromisoformat(plan.until)
        if told.tzinfo is None:
            raise ValueError(f"plan.until: {plan.until!r} has no time zone")
        until = told.timestamp() * 1000.0
    return Followed(problem, found, plan.district or home, until)


def _table(raw: Mapping[str, Any], name: str, form: type[T]) -> T | None:
    """One table as its dataclass: unknown keys and wrong types are named."""
    table = raw.get(name)
    if table is None:
        return None
    known = {one.name: one.type for one in fields(form)}  # type: ignore[arg-type]
    for key, value in table.items():
        if key not in known:
            raise ValueError(f"{name}.{key}: unknown key")
        kinds: dict[str, tuple[type, ...]] = {
            "str": (str,),
            "float": (int, float),
            "int": (int,),
            "tuple[str, ...]": (list,),
        }
        if isinstance(value, bool) or not isinstance(value, kinds.get(str(known[key]), (dict,))):
            raise ValueError(f"{name}.{key}: wrong type: {value!r}")
        if isinstance(value, list) and not all(isinstance(one, str) for one in value):
            raise ValueError(f"{name}.{key}: wrong type: {value!r}")
    return form(**{key: tuple(value) if isinstance(value, list) else value for key, value in table.items()})


def _check_plugins(
    config: Config, sip: SipFrontConfig | None, desks: SipDesksConfig | None, consul: ConsulConfig | None
) -> None:
    addresses = {"consul.address": consul.address} if consul else {}
    for name, table in (("sip", sip), ("desks", desks)):
        if table:
            addresses |= {f"{name}.udp": table.udp, f"{name}.tcp": table.tcp}
            if not table.udp and not table.tcp:
                raise ValueError(f"{name}: neither udp nor tcp is given")
    for key, address in addresses.items():
        if address:
            try:
                split_address(address)
            except ValueError as error:
                raise ValueError(f"{key}: {error}") from None
    classes = {kind.name for kind in config.settings.classes}
    if sip:
        wrong = ({sip.default_class} - {""} | sip.destinations.keys()) - classes
        if wrong:
            raise ValueError(f"sip: unknown class {min(wrong)!r}")
        if sip.default_tenant and sip.default_tenant not in config.tenants:
            raise ValueError(f"sip.default_tenant: unknown tenant {sip.default_tenant!r}")
    if desks and (desks.transport not in ("udp", "tcp") or not getattr(desks, desks.transport)):
        raise ValueError(f"desks.transport: no address to send from: {desks.transport!r}")
