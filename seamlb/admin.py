"""`seamlb admin`: the calls of the management address from a shell."""

from __future__ import annotations

import http.client
import sys
from typing import Any

import click
import orjson

from seamlb.net.address import split_address

CALLS = {  # method, and what it is for
    "health": ("GET", "Is the agent ready?"),
    "stats": ("GET", "The figures."),
    "quiesce": ("POST", "Empty the agent."),
    "resume": ("POST", "Back to work."),
}
WITHIN = 5.0  # seconds


AT_OPTION = click.option(
    "--at",
    envvar="GW_MANAGEMENT",
    required=True,
    metavar="HOST:PORT",
    help="The agent's management address (environment: GW_MANAGEMENT).",
)


def request(at: str, method: str, path: str, body: bytes | None = None) -> tuple[int, Any]:
    """A call's status and its answer's object; ends the program with 1 if nobody answers, 2 if `at` is no address."""
    try:
        host, port = split_address(at)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    connection = http.client.HTTPConnection(host, port, timeout=WITHIN)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        told = orjson.loads(answer.read())
    except (OSError, http.client.HTTPException, orjson.JSONDecodeError) as error:
        click.echo(f"seamlb: {at}: {error}", err=True)
        sys.exit(1)
    finally:
        connection.close()
    if answer.status == 404:
        click.echo(f"seamlb: {at}: {path} is not there: it is not switched on", err=True)
        sys.exit(1)
    return answer.status, told


@click.group()
def admin() -> None:
    """Ask a running agent. Exit code 0: yes, 1: no, or nobody answers, 2: bad use."""


def _command(name: str, method: str, text: str) -> None:
    @admin.command(name, help=text)
    @AT_OPTION
    def call(at: str) -> None:
        status, told = request(at, method, f"/admin/{name}")
        click.echo(orjson.dumps(told, option=orjson.OPT_INDENT_2).decode())
        sys.exit(0 if 200 <= status < 300 else 1)


for _name, (_method, _text) in CALLS.items():
    _command(_name, _method, _text)


@click.group()
def zones() -> None:
    """Zones as a running agent has them. Exit code 0: yes, 1: no, or nobody answers, 2: bad use."""


@zones.command("list")
@AT_OPTION
def show(at: str) -> None:
    """What it does about each zone, and what the others say."""
    told = request(at, "GET", "/admin/zones")[1]
    for one in told["zones"]:
        facts = [one["state"] + (f" (forced {one['forced']})" if one["forced"] else "")]
        facts += [f"at {100 * one['part']:.0f} % of what its desks bear"] if one["part"] is not None else []
        facts += [f"fails for {one['others_see_it_fail']} of {one['others_see']} others"]
        facts += ["and for this one"] if one["we_see_it_fail"] else []
        facts += [f"{one['others_out']} others out", f"{one['flaps']} flaps"]
        click.echo(f"{one['name']:<16} {', '.join(facts)}")


@zones.command()
@AT_OPTION
@click.argument("zone")
@click.argument("state", type=click.Choice(["out", "in", "auto"]))
def force(at: str, zone: str, state: str) -> None:
    """Have this one agent leave ZONE or stay in it, whatever the fleet sees; `auto` ends that."""
    status, _ = request(at, "POST", "/admin/zones/force", f"{zone} {state}".encode())
    click.echo("done" if status == 200 else f"no zone {zone}")
    sys.exit(0 if status == 200 else 1)
