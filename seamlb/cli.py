"""The command line."""

from __future__ import annotations

import asyncio
import importlib
import logging
import sys
from collections.abc import Callable

import click

from seamlb import __version__, config, extras, log
from seamlb.daemon import Daemon
from seamlb.net.address import listen_socket_error

CONFIG = click.option(
    "--config",
    "path",
    envvar="GW_CONFIG",
    required=True,
    metavar="FILE",
    help="The JSON configuration (environment: GW_CONFIG).",
)

NO_OVERRIDES = config.Overrides()
LAZY_COMMANDS = {  # module, name, extra
    "rollout": ("seamlb.rollout.command", "rollout", "rollout"),
    "zones": ("seamlb.admin", "zones", ""),
    "members": ("seamlb.members.command", "members", ""),
    "admin": ("seamlb.admin", "admin", ""),
    "lab": ("seamlb.emulator.command", "lab", "lab"),
    "plugin": ("seamlb.plugins.command", "plugin", "plugins"),
    "status": ("seamlb.plugins.command", "status", "plugins"),
    "plan": ("seamlb.planning.command", "plan", "plan"),
}
PLUGINS = click.option(
    "--plugins",
    envvar="SEAMLB_PLUGINS",
    default="",
    metavar="FILE",
    help="A TOML file of plug-ins: sip front, sip desks, Consul, hook. Without it all are disabled.",
)


def _load_files(path: str, plugins: str, overrides: config.Overrides) -> tuple[config.Config, extras.Plugins]:
    """Load and check both files; ConfigError if they are unusable."""
    loaded = config.load(path, overrides)
    enabled = extras.load_plugins(plugins, loaded) if plugins else extras.Plugins()
    if not loaded.listen and not enabled.sip:
        raise config.ConfigError(f"{path}: listen: missing, and no sip front is on")
    if enabled.hook:
        from seamlb.hook import Hook, HookError  # imported only if configured, to keep the start fast

        try:
            Hook(enabled.hook)
        except HookError as error:
            raise config.ConfigError(str(error)) from None
    return loaded, enabled


def _daemon_factory(path: str, plugins: str, overrides: config.Overrides = NO_OVERRIDES) -> Callable[[], Daemon]:
    """Build daemons from checked files, read again on SIGHUP; one line and exit code 2 if they are unusable."""
    try:
        loaded, enabled = _load_files(path, plugins, overrides)
    except config.ConfigError as error:
        click.echo(f"seamlb: {error}", err=True)
        sys.exit(2)
    return lambda: Daemon(loaded, enabled, lambda: _load_files(path, plugins, overrides))


class Commands(click.Group):
    """Imports optional commands only when they are called, to keep the start of the daemon fast."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All sub-commands, without importing the lazy ones."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """A sub-command; prints the name of the extra that it needs if that is not installed."""
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        module, name, extra = LAZY_COMMANDS[cmd_name]
        try:
            command = getattr(importlib.import_module(module), name)
        except ModuleNotFoundError as error:
            click.echo(f"seamlb: {error.name} is missing; install seamlb[{extra}]", err=True)
            sys.exit(2)
        assert isinstance(command, click.Command)
        return command


@click.group(invoke_without_command=True, cls=Commands)
@click.pass_context
def main(context: click.Context) -> None:
    """A call agent for duty desks; serves if no command is given."""
    if context.invoked_subcommand is None:
        serve.main(args=[], prog_name="seamlb serve")


@main.command()
@CONFIG
@PLUGINS
@click.option("--listen", envvar="GW_LISTEN", default="", metavar="HOST:PORT", help="The address for callers.")
@click.option("--name", envvar="GW_NAME", default="", help="This agent's name in its logs.")
@click.option("--management", envvar="GW_MANAGEMENT", default="", metavar="HOST:PORT", help="The management address.")
@click.option(
    "--inherited-fd",
    envvar="GW_INHERITED_FD",
    type=click.IntRange(0),
    default=None,
    metavar="NUMBER",
    help="Descriptor of an inherited listening socket, on which callers connect.",
)
@click.option(
    "--measures",
    envvar="SEAMLB_MEASURES",
    is_flag=True,
    help="Also serve /admin/measures, for staged rollouts. Needs the extra `rollout`.",
)
def serve(
    path: str, plugins: str, listen: str, name: str, management: str, inherited_fd: int | None, measures: bool
) -> None:
    """Serve calls until SIGTERM."""
    inherited = inherited_fd
    if inherited is not None and (wrong := listen_socket_error(inherited)):
        log.event("not_inherited", descriptor=inherited, error=wrong)  # the configured address is bound instead
        inherited = None
    build = _daemon_factory(path, plugins, config.Overrides(listen, name, management, inherited, measures))

    logging.basicConfig(handlers=[log.Handler()], level=logging.WARNING)

    async def run() -> None:
        await build().run()

    try:
        asyncio.run(run())
    except OSError as error:  # an address cannot be bound
        click.echo(f"seamlb: {error}", err=True)
        sys.exit(1 if inherited_fd is None else 2)


@main.command("check-config")
@CONFIG
@PLUGINS
def check_config(path: str, plugins: str) -> None:
    """Check the configuration, and the plug-ins' file if one is named."""
    _daemon_factory(path, plugins)
    click.echo(f"{path}: ok")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"seamlb {__version__}")
