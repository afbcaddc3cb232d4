"""Plug-ins from files, and the settings that grant them what they may do."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Any

import msgspec

from seamlb.plugins.abi import MOST_MODULE, ModuleError, custom_section, read_manifest
from seamlb.plugins.checking import FACTS, POINTS, compile_rules
from seamlb.plugins.host import Grant, GrantError, Plugin
from seamlb.plugins.language import MOST_BYTES
from seamlb.plugins.machine import Interpreter
from seamlb.plugins.syntax import RuleError

Part = Annotated[float, msgspec.Meta(ge=0, le=1)]


class LoadError(Exception):
    """A plug-in or its settings can't be used; its text is one line."""


class PluginConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One `[[plugins.plugin]]`; a file is relative to the settings' own."""

    file: str
    points: tuple[str, ...] = POINTS
    facts: tuple[str, ...] | None = None
    most: Part = 0.1
    lasting: bool = True
    enabled: bool = True


class PluginsConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[plugins]`."""

    plugin: tuple[PluginConfig, ...] = ()
    control: str = ""  # path of the control socket
    fuel: Annotated[int, msgspec.Meta(ge=100, le=10_000_000)] = 20_000  # of a call, for all plug-ins together
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.1  # of the core, for all together


def parse_plugins_config(raw: Any, folder: Path) -> PluginsConfig:
    """The checked table, its paths made whole; ValueError names key and reason."""
    table = msgspec.convert(raw, PluginsConfig)
    for place, one in enumerate(table.plugin):
        for key, names, known in (("points", one.points, POINTS), ("facts", one.facts or (), tuple(FACTS))):
            if unknown := sorted(set(names) - set(known)):
                there = ", ".join(known)
                raise ValueError(f"plugins.plugin[{place}].{key}: unknown {unknown[0]!r}; there are {there}")
    plugins = tuple(msgspec.structs.replace(one, file=str(folder / one.file)) for one in table.plugin)
    control = str(folder / table.control) if table.control else ""
    return msgspec.structs.replace(table, plugin=plugins, control=control)


def load_plugin(path: str, grant: Grant, grants: Mapping[str, Grant] = MappingProxyType({})) -> Plugin:
    """A rule file, or a ready-made module (.wasm); LoadError says why it can't be used.

    Its grant is that of its name in `grants`, which only the file tells, else `grant`.
    """
    try:
        size = Path(path).stat().st_size
        if size > max(MOST_BYTES, MOST_MODULE):
            raise LoadError(f"{path}: {size} bytes are too many")
        data = Path(path).read_bytes()
    except OSError as error:
        raise LoadError(f"{path}: {error.strerror}") from None
    try:
        if path.endswith(".wasm"):
            program = read_manifest(custom_section(data))
            from seamlb.plugins.engine import WasmEngine  # the library only where a module needs it

            engine = WasmEngine(data, len(program.inputs))
            return Plugin(program, engine, grants.get(program.name, grant), data)
        program = compile_rules(data.decode(), path)
        return Plugin(program, Interpreter(program), grants.get(program.name, grant), data)
    except RuleError as error:
        raise LoadError(str(error)) from None
    except ModuleNotFoundError as error:
        raise LoadError(f"{path}: {error.name} is missing; install seamlb[plugins]") from None
    except (ModuleError, GrantError, UnicodeDecodeError) as error:
        raise LoadError(f"{path}: {error}") from None


def grant_of(table: PluginConfig) -> Grant:
    """What the settings let a plug-in answer, read and use."""
    return Grant(
        frozenset(table.points), None if table.facts is None else frozenset(table.facts), table.most, table.lasting
    )


def load_all(table: PluginsConfig) -> list[tuple[PluginConfig, Plugin]]:
    """Every plug-in of the settings, or LoadError: one that can't be used leaves all as they were."""
    out, names = [], set[str]()
    for one in table.plugin:
        plugin = load_plugin(one.file, grant_of(one))
        if plugin.name in names:
            raise LoadError(f"{one.file}: plug-in {plugin.name} is there twice")
        names.add(plugin.name)
        out.append((one, plugin))
    return out
