"""`seamlb plugin` and `seamlb status`: rule files without a daemon, and a daemon's plug-ins by its control socket."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any, NoReturn

import click
import orjson

from seamlb.plugins.abi import ModuleError
from seamlb.plugins.checking import compile_rules
from seamlb.plugins.control import ask
from seamlb.plugins.host import Grant
from seamlb.plugins.language import parse
from seamlb.plugins.loading import LoadError, load_plugin
from seamlb.plugins.printing import explained, formatted
from seamlb.plugins.syntax import RuleError
from seamlb.plugins.wasm import compile_program

FILE = click.Path(path_type=Path, dir_okay=False)
SOCKET = click.option(
    "--socket",
    envvar="SEAMLB_CONTROL",
    required=True,
    metavar="PATH",
    help="The daemon's control socket (environment: SEAMLB_CONTROL).",
)


def _end(text: str) -> NoReturn:
    click.echo(f"seamlb plugin: {text}", err=True)
    sys.exit(2)


def _read(path: Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        _end(f"{path}: {getattr(error, 'strerror', None) or 'not a text'}")


def _tell(socket: str, **question: Any) -> None:
    try:
        told = ask(socket, question)
    except OSError as error:
        _end(f"{socket}: {error.strerror or error}")
    if not told.get("ok"):
        _end(str(told.get("error")))
    answer = told.get("answer")
    click.echo("ok" if answer is None else orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())


@click.group()
def plugin() -> None:
    """Local rules: check them, and manage those of a daemon."""


@plugin.command()
@click.argument("files", type=FILE, nargs=-1, required=True)
def check(files: tuple[Path, ...]) -> None:
    """Check rule files and modules; a line with file, line and column for the first fault of each."""
    bad = False
    for path in files:
        try:
            loaded = load_plugin(str(path), Grant())
        except LoadError as error:
            bad = True
            click.echo(f"seamlb plugin: {error}", err=True)
        else:
            click.echo(f"{path}: ok: {loaded.name} version {loaded.program.version}")
    if bad:
        sys.exit(2)


@plugin.command()
@click.argument("path", metavar="FILE", type=FILE)
@click.option("--write", is_flag=True, help="Into the file, in place of standard output; its comments are lost.")
def fmt(path: Path, write: bool) -> None:
    """A rule file in one form."""
    try:
        text = formatted(parse(_read(path), str(path)))
    except RuleError as error:
        _end(str(error))
    if write:
        path.write_text(text)
    else:
        click.echo(text, nl=False)


@plugin.command()
@click.argument("path", metavar="FILE", type=FILE)
def explain(path: Path) -> None:
    """What a rule file reads and answers, rule by rule."""
    try:
        click.echo("\n".join(explained(compile_rules(_read(path), str(path)))))
    except RuleError as error:
        _end(str(error))


@plugin.command("compile")
@click.argument("path", metavar="FILE", type=FILE)
@click.option("--out", type=FILE, required=True, help="The WebAssembly module.")
def compile_file(path: Path, out: Path) -> None:
    """A rule file as a WebAssembly module against the same ABI."""
    try:
        out.write_bytes(compile_program(compile_rules(_read(path), str(path))))
    except (RuleError, ModuleError, OSError) as error:
        _end(str(error))


@plugin.command("list")
@SOCKET
def list_plugins(socket: str) -> None:
    """The daemon's plug-ins with health, fuel, faults and versions."""
    _tell(socket, do="list")


@plugin.command()
@SOCKET
@click.argument("path", metavar="FILE", type=FILE)
def load(socket: str, path: Path) -> None:
    """Load FILE: a new plug-in is used at once, a new version is shadowed first."""
    _tell(socket, do="load", file=str(path.resolve()))


@plugin.command()
@SOCKET
@click.argument("what", type=click.Choice(["enable", "disable", "switch", "rollback", "unload"]))
@click.argument("name")
def turn(socket: str, what: str, name: str) -> None:
    """Enable, disable, switch to the version in shadow, roll back, or unload plug-in NAME."""
    _tell(socket, do=what, plugin=name)


@plugin.command()
@SOCKET
@click.argument("state")
@click.argument("of")
@click.argument("on", type=click.Choice(["on", "off"]))
def state(socket: str, state: str, of: str, on: str) -> None:
    """Declare a state, like an evacuation of a county office, or end it."""
    _tell(socket, do="state", state=state, of=of, on=on == "on")


@click.command()
@SOCKET
def status(socket: str) -> None:
    """A running daemon's plug-ins, states and queue."""
    _tell(socket, do="status")
