"""`seamlb rollout`: plan, start and steer a change in stages; keep an agent."""

from __future__ import annotations

import asyncio
import sys
import uuid
from pathlib import Path
from typing import NoReturn

import click

from seamlb.rollout.change import OVER, RolloutState
from seamlb.rollout.conductor import WISHES, ChangeRefusedError, Conductor, Folder
from seamlb.rollout.keeper import Keeper, load_keeper
from seamlb.rollout.plan import Plan, PlanError, load_plan
from seamlb.store import record

STATE = click.option(
    "--state",
    type=click.Path(path_type=Path, file_okay=False),
    required=True,
    help="The folder where the change's state is kept.",
)
PLAN = click.argument("plan", type=click.Path(path_type=Path, dir_okay=False))
UNDONE = 3  # exit code of a change that went back


@click.group()
def rollout() -> None:
    """Change a fleet in stages. Exit code 0: done, 1: refused, 2: bad use, 3: it went back."""


def _end(text: str, code: int) -> NoReturn:
    click.echo(f"seamlb rollout: {text}", err=True)
    sys.exit(code)


def _plan(path: Path) -> Plan:
    try:
        return load_plan(path)
    except PlanError as error:
        _end(str(error), 2)


def _place(folder: Folder) -> RolloutState:
    try:
        place = folder.place()
    except record.RecordError as error:
        _end(f'{error}; see docs/operators/rollout.md, "When the file can\'t be trusted"', 2)
    if place is None:
        _end(f"{folder.path}: no change", 2)
    return place


def _conduct(folder: Folder, place: RolloutState) -> NoReturn:
    async def go() -> RolloutState:
        return await Conductor(folder, place).run()

    try:
        over = asyncio.run(go())
    except ChangeRefusedError as error:
        _end(str(error), 1)
    except KeyboardInterrupt:
        _end("stopped; the change stands where it is, `seamlb rollout resume` goes on with it", 1)
    click.echo(f"{over.change}: {over.phase}: {over.reason}")
    sys.exit(0 if over.phase == "done" else UNDONE)


@rollout.command("plan")
@PLAN
def show(plan: Path) -> None:
    """Check PLAN and say what it would do."""
    told = _plan(plan)
    click.echo(f"{told.old.ident} -> {told.new.ident}, {len(told.agent)} agents, {told.surge} at a time")
    for stage, size in zip(told.stage, told.sizes(), strict=True):
        least = ", ".join(f"{count} {kind}" for kind, count in stage.least.items()) or "no least number of requests"
        click.echo(f"  {size} agents, bakes {stage.bake:g} s, over within {stage.most:g} s; {least}")


@rollout.command()
@PLAN
@STATE
@click.option("--after", default="", metavar="CHANGE", help="A change that is given up, whose state is lost.")
def start(plan: Path, state: Path, after: str) -> None:
    """Begin PLAN and conduct it until it is over."""
    told, folder = _plan(plan), Folder(state)
    if not folder.lock():
        _end(f"{state}: another conductor is at work here", 1)
    try:
        found = folder.place()
    except record.RecordError as error:
        _end(f"{error}; a change may be under way: see docs/operators/rollout.md", 2)
    if found and found.phase not in OVER:
        _end(f"{state}: change {found.change} is not over; resume or abort it", 1)
    folder.wished()  # one that was left to an earlier change
    before = after or (found.change if found else "")
    _conduct(folder, RolloutState(f"{told.new.name}-{uuid.uuid4().hex[:8]}", told, after=before))


def _steer(what: str, text: str) -> None:
    @rollout.command(what, help=text)
    @STATE
    def call(state: Path) -> None:
        folder = Folder(state)
        place = _place(folder)
        if place.phase in OVER:
            _end(f"{state}: change {place.change} is over: {place.phase}", 1)
        folder.wish(what)
        if not folder.lock():
            return click.echo(f"{what}: told to the conductor at work")
        if what == "pause":
            place.phase, place.reason, place.seq = "paused", "", place.seq + 1
            folder.wished()
            folder.keep(place)
            return click.echo("paused; no conductor is at work")
        _conduct(folder, place)  # it finds the wish


for _what, _text in zip(
    WISHES,
    (
        "Change no further agents.",
        "Go on, with a conductor that works already or as one.",
        "Bring every agent back to the old revision.",
    ),
    strict=True,
):
    _steer(_what, _text)


@rollout.command()
@STATE
def status(state: Path) -> None:
    """Where the change stands, by its file and by what keepers say."""
    folder = Folder(state)
    place = _place(folder)

    async def ask() -> Conductor:
        conductor = Conductor(folder, place)
        await conductor.look()
        return conductor

    seen = asyncio.run(ask())
    click.echo(
        f"{place.change}: {place.phase}, stage {place.stage} of {len(place.plan.stage)}"
        + (f": {place.reason}" if place.reason else "")
    )
    for name in seen.keepers:
        view = seen.views.get(name)
        if view is None:
            click.echo(f"  {name}: no answer")
            continue
        facts = [view.running or "not running", "ready" if view.ready else "not ready"]
        facts += [f"bringing up {view.coming}"] if view.coming else []
        facts += [f"failed: {view.failed}"] if view.failed else []
        facts += [f"{view.crashes} crashes"] if view.crashes else []
        click.echo(f"  {name}: {', '.join(facts)}")


@rollout.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
def keep(file: Path) -> None:
    """Keep one agent as FILE says, until SIGTERM."""
    try:
        told = load_keeper(file)
    except PlanError as error:
        _end(str(error), 2)
    try:
        asyncio.run(Keeper(told).run())
    except OSError as error:
        _end(f"{file}: {error}", 1)
