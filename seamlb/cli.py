"""The command line."""

from __future__ import annotations

import asyncio
import sys

import click

from seamlb import __version__, config
from seamlb.daemon import Daemon

CONFIG = click.option(
    "--config", "path", envvar="GW_CONFIG", required=True, metavar="FILE",
    help="The JSON configuration (environment: GW_CONFIG).",
)


def _load(path: str, listen: str = "", name: str = "") -> config.Config:
    try:
        return config.load(path, listen, name)
    except config.ConfigError as error:
        click.echo(f"seamlb: {error}", err=True)
        sys.exit(2)


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A call agent for duty desks; without a command it serves."""
    if context.invoked_subcommand is None:
        serve.main(args=[], prog_name="seamlb serve")


@main.command()
@CONFIG
@click.option("--listen", envvar="GW_LISTEN", default="", metavar="HOST:PORT", help="Where callers connect.")
@click.option("--name", envvar="GW_NAME", default="", help="This agent's name in its logs.")
def serve(path: str, listen: str, name: str) -> None:
    """Serve calls until SIGTERM."""
    loaded = _load(path, listen, name)

    async def run() -> None:
        await Daemon(loaded).run()

    try:
        asyncio.run(run())
    except OSError as error:
        click.echo(f"seamlb: {error}", err=True)
        sys.exit(1)


@main.command("check-config")
@CONFIG
def check_config(path: str) -> None:
    """Check a configuration and say what it holds."""
    loaded = _load(path)
    click.echo(f"{path}: ok, {loaded.name} on {loaded.listen}, {len(loaded.settings.classes)} classes")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"seamlb {__version__}")
