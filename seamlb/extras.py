"""Optional components beside the platform's front: the plug-ins' TOML file, checked against the configuration."""

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
from seamlb.discovery.consul_config import ConsulConfig
from seamlb.members.settings import MemberKeys, MembersConfig, load_keys
from seamlb.net.address import split_address
from seamlb.sip.settings import SipFrontConfig

if TYPE_CHECKING:
    from seamlb.agree.settings import AgreeSettings
    from seamlb.planning.follow import FollowedPlan
    from seamlb.plugins.loading import PluginsConfig

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class SipDesksConfig:
    """Where the client for SIP desks listens, and the transport by which it reaches desks."""

    transport: str = "udp"
    udp: str = ""
    tcp: str = ""


@dataclass(slots=True, frozen=True)
class PlanConfig:
    """The files of a plan and its problem, relative to the file that names them."""

    file: str
    problem: str
    district: str = ""  # the district of this agent; defaults to its zone in the configuration
    until: str = ""  # ISO 8601 with a time zone; the plan has no effect from then on


@dataclass(slots=True, frozen=True)
class Plugins:
    """Optional components beside the platform's front; each is enabled by its table."""

    sip: SipFrontConfig | None = None
    desks: SipDesksConfig | None = None
    consul: ConsulConfig | None = None
    hook: str = ""
    plan: FollowedPlan | None = None
    plugins: PluginsConfig | None = None
    members: MembersConfig | None = None
    member_keys: MemberKeys | None = None
    zones: ZonesConfig | None = None
    agree: AgreeSettings | None = None


@dataclass(slots=True, frozen=True)
class ZonesConfig:
    """Zone failover as a fleet; the other agents' votes arrive through `[members]`."""

    bears: float  # calls per second that one duty desk can take from all agents together
    regions: tuple[str, ...] = ()  # each is the names of its zones, joined by +
    out: float = 15.0  # minimum seconds out of a zone, doubled each time it fails again during its return
    ramp: float = 20.0  # seconds from a tenth of the load that its desks can take to all of it


def load_plugins(path: str, config: Config) -> Plugins:
    """Read and check a TOML file of plug-ins against the classes and tenants of the configuration."""
    try:
        raw = tomllib.loads(Path(path).read_text())
        unknown = raw.keys() - {"sip", "desks", "consul", "hook", "plan", "plugins", "members", "zones", "agree"}
        if unknown:
            raise ValueError(f"unknown table {min(unknown)}")
        sip, desks = _parse_table(raw, "sip", SipFrontConfig), _parse_table(raw, "desks", SipDesksConfig)
        consul = _parse_table(raw, "consul", ConsulConfig)
        hook = str((raw.get("hook") or {}).get("file", ""))
        _check_sip_and_consul(config, sip, desks, consul)
        plan = _parse_table(raw, "plan", PlanConfig)
        followed = _load_plan(plan, Path(path).parent, config) if plan else None
        local_rules = _load_local_rules(raw["plugins"], Path(path).parent) if "plugins" in raw else None
        members = _parse_table(raw, "members", MembersConfig)
        keys = _load_member_keys(members, Path(path).parent) if members else None
        zones = _parse_table(raw, "zones", ZonesConfig)
        _check_zones(config, zones, members)
        agreed = _load_agreed(raw, Path(path).parent, config) if "agree" in raw else None
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (ValueError, TypeError, AttributeError) as error:  # TOML errors are ValueErrors
        raise ConfigError(f"{path}: {error}".replace("\n", " ")) from None
    file = str(Path(path).parent / hook) if hook else ""
    return Plugins(sip, desks, consul, file, followed, local_rules, members, keys, zones, agreed)


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


def _load_member_keys(table: MembersConfig, folder: Path) -> MemberKeys:
    """Check the addresses in the table and load its keys; ValueError if that fails."""
    for key, address in (("udp", table.udp), *(("seeds", seed) for seed in table.seeds)):
        try:
            ipaddress.IPv4Address(split_address(address)[0])
        except ValueError as error:
            raise ValueError(f"members.{key}: {error}") from None
    return load_keys(folder / table.keys)


def _load_agreed(raw: Mapping[str, Any], folder: Path, config: Config) -> AgreeSettings | None:
    """Check the table and load its keys and its initial configuration version; ValueError if that fails."""
    from seamlb.agree.settings import AgreeConfig, resolve

    if (table := _parse_table(raw, "agree", AgreeConfig)) is None:
        return None
    for key, address in (("listen", table.listen), *(("council", item.partition("=")[2]) for item in table.council)):
        if address:
            try:
                split_address(address)
            except ValueError as error:
                raise ValueError(f"agree.{key}: {error}") from None
    keys = load_keys(folder / table.keys, "agree")
    return resolve(table, folder, config.name, keys.accepted, keys.signing_key)


def _load_local_rules(raw: Any, folder: Path) -> PluginsConfig:
    """Read the table of plug-ins and load each once as a check; ValueError if that fails."""
    from seamlb.plugins.loading import LoadError, load_all, parse_plugins_config

    table = parse_plugins_config(raw, folder)
    try:
        load_all(table)
    except LoadError as error:
        raise ValueError(f"plugins: {error}") from None
    return table


def _load_plan(plan: PlanConfig, folder: Path, config: Config) -> FollowedPlan:
    """Load a plan and check it against its problem and this configuration; ValueError if that fails."""
    # Imported only when enabled: a daemon without plug-ins has none of these libraries.
    from seamlb.planning.check import check
    from seamlb.planning.files import load_problem
    from seamlb.planning.follow import FollowedPlan
    from seamlb.planning.model import PlanningError
    from seamlb.planning.plan_files import problem_digest, read_plan_file

    try:
        problem = load_problem(folder / plan.problem)
        found, table = read_plan_file(folder / plan.file)
    except PlanningError as error:
        raise ValueError(f"plan: {error}") from None
    if table.problem != problem_digest(problem):
        raise ValueError(f"plan.file: {plan.file} was made for another problem than {plan.problem}")
    # Moves are counted from the plan in force, which is not known here; everything else must hold.
    if violations := [line for line in check(problem, found) if not line.startswith("moves:")]:
        raise ValueError(f"plan.file: {plan.file}: {violations[0]}")
    classes = {kind.name for kind in config.settings.classes}
    if unknown := sorted(problem.kind.keys() - classes):
        raise ValueError(f"plan.problem: {plan.problem}: unknown class {unknown[0]!r}")
    if config.tenants and (unknown_offices := sorted({o.name for o in problem.offices} - set(config.tenants))):
        raise ValueError(f"plan.problem: {plan.problem}: unknown office {unknown_offices[0]!r}")
    if plan.district and plan.district not in problem.districts:
        raise ValueError(f"plan.district: unknown district {plan.district!r}")
    own_district = config.zones[config.settings.zone] if config.settings.zone < len(config.zones) else ""
    until = math.inf
    if plan.until:
        expiry = datetime.fromisoformat(plan.until)
        if expiry.tzinfo is None:
            raise ValueError(f"plan.until: {plan.until!r} has no time zone")
        until = expiry.timestamp() * 1000.0
    return FollowedPlan(problem, found, plan.district or own_district, until)


def _parse_table(raw: Mapping[str, Any], name: str, table_type: type[T]) -> T | None:
    """Convert a table to its dataclass; ValueError names an unknown key or a wrong type."""
    table = raw.get(name)
    if table is None:
        return None
    known_fields = {field.name: field.type for field in fields(table_type)}  # type: ignore[arg-type]
    for key, value in table.items():
        if key not in known_fields:
            raise ValueError(f"{name}.{key}: unknown key")
        accepted_types: dict[str, tuple[type, ...]] = {
            "str": (str,),
            "float": (int, float),
            "int": (int,),
            "tuple[str, ...]": (list,),
        }
        if isinstance(value, bool) or not isinstance(value, accepted_types.get(str(known_fields[key]), (dict,))):
            raise ValueError(f"{name}.{key}: wrong type: {value!r}")
        if isinstance(value, list) and not all(isinstance(item, str) for item in value):
            raise ValueError(f"{name}.{key}: wrong type: {value!r}")
    return table_type(**{key: tuple(value) if isinstance(value, list) else value for key, value in table.items()})


def _check_sip_and_consul(
    config: Config, sip: SipFrontConfig | None, desks: SipDesksConfig | None, consul: ConsulConfig | None
) -> None:
    if consul and not consul.wait >= 0:  # not a number compares as false
        raise ValueError(f"consul.wait: under 0 or not a number: {consul.wait!r}")
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
        unknown = ({sip.default_class} - {""} | sip.destinations.keys()) - classes
        if unknown:
            raise ValueError(f"sip: unknown class {min(unknown)!r}")
        if sip.default_tenant and sip.default_tenant not in config.tenants:
            raise ValueError(f"sip.default_tenant: unknown tenant {sip.default_tenant!r}")
    if desks and (desks.transport not in ("udp", "tcp") or not getattr(desks, desks.transport)):
        raise ValueError(f"desks.transport: no address to send from: {desks.transport!r}")
