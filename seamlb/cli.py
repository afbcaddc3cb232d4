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

AS_IN_FILE = config.Overrides()
LAZY = {  # module, name, extra
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
    help="A TOML file of plug-ins: sip front, sip desks, Consul, hook. Without it all are off.",
)


def _read(path: str, plugins: str, told: config.Overrides) -> tuple[config.Config, extras.Plugins]:
    """Both files, checked whole; ConfigError if they can't be used."""
    loaded = config.load(path, told)
    found = extras.load_plugins(plugins, loaded) if plugins else extras.Plugins()
    if not loaded.listen and not found.sip:
        raise config.ConfigError(f"{path}: listen: missing, and no sip front is on")
    if found.hook:
        from seamlb.hook import Hook, HookError  # serving without one must not pay for it

        try:
            Hook(found.hook)
        except HookError as error:
            raise config.ConfigError(str(error)) from None
    return loaded, found


def _daemon(path: str, plugins: str, told: config.Overrides = AS_IN_FILE) -> Callable[[], Daemon]:
    """A daemon from checked files, which it reads anew on SIGHUP; one line and exit code 2 if they can't be used."""
    try:
        loaded, found = _read(path, plugins, told)
    except config.ConfigError as error:
        click.echo(f"seamlb: {error}", err=True)
        sys.exit(2)
    return lambda: Daemon(loaded, found, lambda: _read(path, plugins, told))


class Commands(click.Group):
    """Loads the planner's commands only when they are asked for: serving must not pay for their libraries."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All sub-commands, without loading those that are loaded late."""
        return sorted([*super().list_commands(ctx), *LAZY])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """A sub-command; one that needs an extra says so if that is not installed."""
        if cmd_name not in LAZY:
            return super().get_command(ctx, cmd_name)
        module, name, extra = LAZY[cmd_name]
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
    """A call agent for duty desks; without a command it serves."""
    if context.invoked_subcommand is None:
        serve.main(args=[], prog_name="seamlb serve")


@main.command()
@CONFIG
@PLUGINS
@click.option("--listen", envvar="GW_LISTEN", default="", metavar="HOST:PORT", help="Where callers connect.")
@click.option("--name", envvar="GW_NAME", default="", help="This agent's name in its logs.")
@click.option("--management", envvar="GW_MANAGEMENT", default="", metavar="HOST:PORT", help="Where operators call.")
@click.option(
    "--inherited-fd",
    envvar="GW_INHERITED_FD",
    type=click.IntRange(0),
    default=None,
    metavar="NUMBER",
    help="A listening socket handed down by whoever starts this process: callers' connections come by it.",
)
@click.option(
    "--measures",
    envvar="SEAMLB_MEASURES",
    is_flag=True,
    help="Serve /admin/measures too, which changes in stages are judged by. Needs the extra `rollout`.",
)
def serve(
    path: str, plugins: str, listen: str, name: str, management: str, inherited_fd: int | None, measures: bool
) -> None:
    """Serve calls until SIGTERM."""
    inherited = inherited_fd
    if inherited is not None and (wrong := listen_socket_error(inherited)):
        log.event("not_inherited", descriptor=inherited, error=wrong)  # the address is bound instead
        inherited = None
    build = _daemon(path, plugins, config.Overrides(listen, name, management, inherited, measures))

    logging.basicConfig(handlers=[log.Handler()], level=logging.WARNING)

    async def run() -> None:
        await build().run()

    try:
        asyncio.run(run())
    except OSError as error:  # an address that can't be bound
        click.echo(f"seamlb: {error}", err=True)
        sys.exit(1 if inherited_fd is None else 2)


@main.command("check-config")
@CONFIG
@PLUGINS
def check_config(path: str, plugins: str) -> None:
    """Check the configuration, and the plug-ins' file if one is named."""
    _daemon(path, plugins)
    click.echo(f"{path}: ok")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"seamlb {__version__}")
