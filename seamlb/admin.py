"""`seamlb admin`: the operations of the management address from a shell."""

from __future__ import annotations

import http.client
import sys
from typing import Any

import click
import orjson

from seamlb.net.address import split_address

OPERATIONS = {  # HTTP method, description
    "health": ("GET", "Show whether the agent is ready."),
    "stats": ("GET", "Show the statistics."),
    "quiesce": ("POST", "Empty the agent."),
    "resume": ("POST", "Return to service."),
}
TIMEOUT_S = 5.0


AT_OPTION = click.option(
    "--at",
    envvar="GW_MANAGEMENT",
    required=True,
    metavar="HOST:PORT",
    help="The agent's management address (environment: GW_MANAGEMENT).",
)


def request(at: str, method: str, path: str, body: bytes | None = None) -> tuple[int, Any]:
    """Send a request; returns status and decoded body. Exits with 1 on no answer, with 2 on an invalid address."""
    try:
        host, port = split_address(at)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        result = orjson.loads(answer.read())
    except (OSError, http.client.HTTPException, orjson.JSONDecodeError) as error:
        click.echo(f"seamlb: {at}: {error}", err=True)
        sys.exit(1)
    finally:
        connection.close()
    if answer.status == 404:
        click.echo(f"seamlb: {at}: {path} not found: it is not enabled", err=True)
        sys.exit(1)
    return answer.status, result


@click.group()
def admin() -> None:
    """Query or control a running agent. Exit code 0: success, 1: failure or no answer, 2: wrong usage."""


def _command(name: str, method: str, text: str) -> None:
    @admin.command(name, help=text)
    @AT_OPTION
    def operation(at: str) -> None:
        status, result = request(at, method, f"/admin/{name}")
        click.echo(orjson.dumps(result, option=orjson.OPT_INDENT_2).decode())
        sys.exit(0 if 200 <= status < 300 else 1)


for _name, (_method, _text) in OPERATIONS.items():
    _command(_name, _method, _text)


@click.group()
def zones() -> None:
    """The zones of a running agent. Exit code 0: success, 1: failure or no answer, 2: wrong usage."""


@zones.command("list")
@AT_OPTION
def show(at: str) -> None:
    """Show the state of each zone and the votes of the other agents."""
    result = request(at, "GET", "/admin/zones")[1]
    for zone in result["zones"]:
        items = [zone["state"] + (f" (forced {zone['forced']})" if zone["forced"] else "")]
        items += [f"at {100 * zone['part']:.0f} % of what its desks bear"] if zone["part"] is not None else []
        items += [f"fails for {zone['others_see_it_fail']} of {zone['others_see']} others"]
        items += ["and for this one"] if zone["we_see_it_fail"] else []
        items += [f"{zone['others_out']} others out", f"{zone['flaps']} flaps"]
        click.echo(f"{zone['name']:<16} {', '.join(items)}")


@zones.command()
@AT_OPTION
@click.argument("zone")
@click.argument("state", type=click.Choice(["out", "in", "auto"]))
def force(at: str, zone: str, state: str) -> None:
    """Force this agent out of ZONE or into it, whatever the fleet votes; `auto` ends that."""
    status, _ = request(at, "POST", "/admin/zones/force", f"{zone} {state}".encode())
    click.echo("done" if status == 200 else f"no zone {zone}")
    sys.exit(0 if status == 200 else 1)
