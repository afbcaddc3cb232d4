"""`seamlb members`: prints the member list as one instance sees it, and decodes datagrams."""

from __future__ import annotations

import sys
import time
from typing import Any

import click

from seamlb.admin import AT_OPTION, request
from seamlb.members.wire import DatagramError, decode


@click.group()
def members() -> None:
    """Members of the fleet. Exit code 0: success, 1: no answer, 2: invalid input."""


def _lines(status: dict[str, Any]) -> list[str]:
    head = f"{status['name']}: " + (
        f"limits divided by {status['divisor']}" if status["joined"] else "not joined yet"
    )
    head += f", local health score {status['health']}" if status.get("health") else ""
    head += f", ANOTHER PROCESS USES THIS NAME: {status['twin']}" if status.get("twin") else ""
    return [
        head,
        *(f"  {one['name']:<24} {one['address']:<21} {one['status']:<8} {one['meta']}" for one in status["members"]),
    ]


@members.command("list")
@AT_OPTION
def show(at: str) -> None:
    """Print the members as the agent at this management address sees them."""
    click.echo("\n".join(_lines(request(at, "GET", "/admin/members")[1])))


@members.command()
@AT_OPTION
@click.option("--seconds", type=click.FloatRange(1, 86400), default=3600.0, show_default=True)
def watch(at: str, seconds: float) -> None:
    """Print the members whenever the list changes."""
    end, last = time.monotonic() + seconds, list[str]()
    while time.monotonic() < end:
        lines = _lines(request(at, "GET", "/admin/members")[1])
        if lines != last:
            click.echo("\n".join([time.strftime("%H:%M:%S"), *lines]))
            last = lines
        time.sleep(1.0)


@members.command("decode")
@click.argument("digits")
def read(digits: str) -> None:
    """Decode a datagram given as hex DIGITS; its signature is not checked."""
    try:
        datagram = decode(bytes.fromhex(digits), None)
    except (ValueError, DatagramError) as error:
        click.echo(f"seamlb members: invalid datagram: {error}", err=True)
        sys.exit(2)
    click.echo(
        f"{datagram.kind.name} of {datagram.sender} (incarnation {datagram.incarnation}, "
        f"count {datagram.counter}, sent {datagram.sent_at}), "
        f"number {datagram.sequence}" + (f", of {datagram.target}" if datagram.target else "")
    )
    for one in datagram.records:
        click.echo(
            f"  {one.name} at {one.address}: {one.status.name.lower()}, incarnation {one.incarnation}, "
            f"meta {one.meta_version} {one.meta!r}"
        )
