"""`seamlb members`: who is there, as one instance sees it, and datagrams in words."""

from __future__ import annotations

import sys
import time
from typing import Any

import click

from seamlb.admin import AT_OPTION, request
from seamlb.members.wire import DatagramError, decode


@click.group()
def members() -> None:
    """Instances that know each other. Exit code 0: yes, 1: nobody answers, 2: bad use."""


def _lines(told: dict[str, Any]) -> list[str]:
    head = f"{told['name']}: " + (f"limits divided by {told['divisor']}" if told["joined"] else "not joined yet")
    head += f", ails {told['health']}" if told.get("health") else ""
    head += f", ANOTHER PROCESS HAS THIS NAME: {told['twin']}" if told.get("twin") else ""
    return [
        head,
        *(f"  {one['name']:<24} {one['address']:<21} {one['status']:<8} {one['meta']}" for one in told["members"]),
    ]


@members.command("list")
@AT_OPTION
def show(at: str) -> None:
    """The members as the agent at this management address sees them."""
    click.echo("\n".join(_lines(request(at, "GET", "/admin/members")[1])))


@members.command()
@AT_OPTION
@click.option("--seconds", type=click.FloatRange(1, 86400), default=3600.0, show_default=True)
def watch(at: str, seconds: float) -> None:
    """The same, again whenever it changes."""
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
    """A datagram in hex DIGITS, in words; its signature is not checked."""
    try:
        found = decode(bytes.fromhex(digits), None)
    except (ValueError, DatagramError) as error:
        click.echo(f"seamlb members: no datagram: {error}", err=True)
        sys.exit(2)
    click.echo(
        f"{found.kind.name} of {found.sender} (incarnation {found.incarnation}, count {found.count}, sent "
        f"{found.sent}), number {found.number}" + (f", of {found.target}" if found.target else "")
    )
    for one in found.items:
        click.echo(
            f"  {one.name} at {one.address}: {one.status.name.lower()}, incarnation {one.incarnation}, "
            f"meta {one.meta_version} {one.meta!r}"
        )
