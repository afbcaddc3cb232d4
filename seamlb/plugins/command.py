"""`seamlb plugin` and `seamlb status`: work on rule files, and on a daemon's plug-ins through its control socket."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any, NoReturn

import click
import orjson

from seamlb.plugins.abi import ModuleError
from seamlb.plugins.control import send_request
from seamlb.plugins.formatter import explain_program, format_file
from seamlb.plugins.host import Grant
from seamlb.plugins.language import parse
from seamlb.plugins.loading import LoadError, load_plugin
from seamlb.plugins.syntax import RuleError
from seamlb.plugins.type_checker import compile_rules
from seamlb.plugins.wasm import compile_program

FILE = click.Path(path_type=Path, dir_okay=False)
SOCKET = click.option(
    "--socket",
    envvar="SEAMLB_CONTROL",
    required=True,
    metavar="PATH",
    help="The daemon's control socket (environment: SEAMLB_CONTROL).",
)


def _exit_with_error(message: str) -> NoReturn:
    click.echo(f"seamlb plugin: {message}", err=True)
    sys.exit(2)


def _read(path: Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        _exit_with_error(f"{path}: {getattr(error, 'strerror', None) or 'not a text file'}")


def _send(socket: str, **request: Any) -> None:
    try:
        reply = send_request(socket, request)
    except OSError as error:
        _exit_with_error(f"{socket}: {error.strerror or error}")
    if not reply.get("ok"):
        _exit_with_error(str(reply.get("error")))
    answer = reply.get("answer")
    click.echo("ok" if answer is None else orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())


@click.group()
def plugin() -> None:
    """Check local rules, and manage the plug-ins of a daemon."""


@plugin.command()
@click.argument("files", type=FILE, nargs=-1, required=True)
def check(files: tuple[Path, ...]) -> None:
    """Check rule files and modules; prints file, line and column of the first error in each."""
    failed = False
    for path in files:
        try:
            loaded = load_plugin(str(path), Grant())
        except LoadError as error:
            failed = True
            click.echo(f"seamlb plugin: {error}", err=True)
        else:
            click.echo(f"{path}: ok: {loaded.name} version {loaded.program.version}")
    if failed:
        sys.exit(2)


@plugin.command()
@click.argument("path", metavar="FILE", type=FILE)
@click.option(
    "--write", is_flag=True, help="Overwrite the file instead of writing to standard output; its comments are lost."
)
def fmt(path: Path, write: bool) -> None:
    """Format a rule file."""
    try:
        text = format_file(parse(_read(path), str(path)))
    except RuleError as error:
        _exit_with_error(str(error))
    if write:
        path.write_text(text)
    else:
        click.echo(text, nl=False)


@plugin.command()
@click.argument("path", metavar="FILE", type=FILE)
def explain(path: Path) -> None:
    """Show the facts that a rule file reads, and its answers rule by rule."""
    try:
        click.echo("\n".join(explain_program(compile_rules(_read(path), str(path)))))
    except RuleError as error:
        _exit_with_error(str(error))


@plugin.command("compile")
@click.argument("path", metavar="FILE", type=FILE)
@click.option("--out", type=FILE, required=True, help="The WebAssembly module to write.")
def compile_file(path: Path, out: Path) -> None:
    """Compile a rule file to a WebAssembly module for the plug-in ABI."""
    try:
        out.write_bytes(compile_program(compile_rules(_read(path), str(path))))
    except (RuleError, ModuleError, OSError) as error:
        _exit_with_error(str(error))


@plugin.command("list")
@SOCKET
def list_plugins(socket: str) -> None:
    """List the daemon's plug-ins with health, fuel, faults and versions."""
    _send(socket, do="list")


@plugin.command()
@SOCKET
@click.argument("path", metavar="FILE", type=FILE)
def load(socket: str, path: Path) -> None:
    """Load FILE: a new plug-in is active at once, a new version runs in shadow first."""
    _send(socket, do="load", file=str(path.resolve()))


@plugin.command()
@SOCKET
@click.argument("what", type=click.Choice(["enable", "disable", "switch", "rollback", "unload"]))
@click.argument("name")
def turn(socket: str, what: str, name: str) -> None:
    """Enable, disable, roll back or unload plug-in NAME, or switch to its version in shadow."""
    _send(socket, do=what, plugin=name)


@plugin.command()
@SOCKET
@click.argument("state")
@click.argument("of")
@click.argument("on", type=click.Choice(["on", "off"]))
def state(socket: str, state: str, of: str, on: str) -> None:
    """Set or clear a state, such as the evacuation of a county office."""
    _send(socket, do="state", state=state, of=of, on=on == "on")


@click.command()
@SOCKET
def status(socket: str) -> None:
    """Show a running daemon's plug-ins, states and queue."""
    _send(socket, do="status")
