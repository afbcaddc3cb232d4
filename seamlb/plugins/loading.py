"""Loads plug-ins from files, and reads the settings with their grants."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Any

import msgspec

from seamlb.plugins.abi import MAX_MODULE_BYTES, ModuleError, custom_section, decode_manifest
from seamlb.plugins.host import Grant, GrantError, Plugin
from seamlb.plugins.interpreter import Interpreter
from seamlb.plugins.language import MAX_FILE_SIZE
from seamlb.plugins.syntax import RuleError
from seamlb.plugins.type_checker import FACTS, POINTS, compile_rules

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class LoadError(Exception):
    """A plug-in or its settings cannot be used; the message is one line."""


class PluginConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One `[[plugins.plugin]]`; `file` is relative to the folder of the settings file."""

    file: str
    points: tuple[str, ...] = POINTS
    facts: tuple[str, ...] | None = None
    most: Share = 0.1  # share of an office's calls in a minute that it may affect
    lasting: bool = True  # whether a new version takes over its state
    enabled: bool = True


class PluginsConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[plugins]`."""

    plugin: tuple[PluginConfig, ...] = ()
    control: str = ""  # path of the control socket
    fuel: Annotated[int, msgspec.Meta(ge=100, le=10_000_000)] = 20_000  # per call, for all plug-ins together
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.1  # share of the core, for all plug-ins together


def parse_plugins_config(raw: Any, folder: Path) -> PluginsConfig:
    """Check the table and resolve its paths; ValueError names the key and the reason."""
    config = msgspec.convert(raw, PluginsConfig)
    for index, plugin in enumerate(config.plugin):
        for key, names, known in (("points", plugin.points, POINTS), ("facts", plugin.facts or (), tuple(FACTS))):
            if unknown := sorted(set(names) - set(known)):
                available = ", ".join(known)
                raise ValueError(f"plugins.plugin[{index}].{key}: unknown {unknown[0]!r}; available: {available}")
    plugins = tuple(msgspec.structs.replace(plugin, file=str(folder / plugin.file)) for plugin in config.plugin)
    control = str(folder / config.control) if config.control else ""
    return msgspec.structs.replace(config, plugin=plugins, control=control)


def load_plugin(path: str, grant: Grant, grants: Mapping[str, Grant] = MappingProxyType({})) -> Plugin:
    """Load a rule file or a module (.wasm); LoadError if it cannot be used.

    `grants` holds grants by plug-in name, which is known only once the file has been read; `grant` is the default.
    """
    try:
        size = Path(path).stat().st_size
        if size > max(MAX_FILE_SIZE, MAX_MODULE_BYTES):
            raise LoadError(f"{path}: {size} bytes are too many")
        data = Path(path).read_bytes()
    except OSError as error:
        raise LoadError(f"{path}: {error.strerror}") from None
    try:
        if path.endswith(".wasm"):
            program = decode_manifest(custom_section(data))
            from seamlb.plugins.engine import WasmEngine  # requires wasmtime, which only modules need

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


def create_grant(config: PluginConfig) -> Grant:
    """The grant that the settings give a plug-in."""
    return Grant(
        frozenset(config.points),
        None if config.facts is None else frozenset(config.facts),
        config.most,
        config.lasting,
    )


def load_all(config: PluginsConfig) -> list[tuple[PluginConfig, Plugin]]:
    """Load every plug-in of the settings; LoadError, with no effect, if one cannot be used."""
    loaded, names = [], set[str]()
    for item in config.plugin:
        plugin = load_plugin(item.file, create_grant(item))
        if plugin.name in names:
            raise LoadError(f"{item.file}: plug-in {plugin.name} is defined twice")
        names.add(plugin.name)
        loaded.append((item, plugin))
    return loaded
