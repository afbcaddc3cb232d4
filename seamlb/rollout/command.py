"""`seamlb rollout`: validate, start and control a staged rollout; run an agent's supervisor."""

from __future__ import annotations

import asyncio
import sys
import uuid
from pathlib import Path
from typing import NoReturn

import click

from seamlb.rollout.controller import COMMANDS, RolloutController, RolloutRefusedError, StateFolder
from seamlb.rollout.plan import Plan, PlanError, load_plan
from seamlb.rollout.state_machine import FINAL_PHASES, RolloutState
from seamlb.rollout.supervisor import Supervisor, load_supervisor
from seamlb.store import record

STATE = click.option(
    "--state",
    type=click.Path(path_type=Path, file_okay=False),
    required=True,
    help="The folder with the rollout's persisted state.",
)
PLAN = click.argument("plan", type=click.Path(path_type=Path, dir_okay=False))
ROLLED_BACK = 3  # exit code of a rollout that was rolled back


@click.group()
def rollout() -> None:
    """Roll out a revision in stages. Exit code 0: done, 1: refused, 2: invalid usage or file, 3: rolled back."""


def _exit(text: str, code: int) -> NoReturn:
    click.echo(f"seamlb rollout: {text}", err=True)
    sys.exit(code)


def _load_plan(path: Path) -> Plan:
    try:
        return load_plan(path)
    except PlanError as error:
        _exit(str(error), 2)


def _load_state(folder: StateFolder) -> RolloutState:
    try:
        state = folder.load()
    except record.RecordError as error:
        _exit(f'{error}; see docs/operators/rollout.md, "When the file can\'t be trusted"', 2)
    if state is None:
        _exit(f"{folder.path}: contains no rollout", 2)
    return state


def _control(folder: StateFolder, state: RolloutState) -> NoReturn:
    async def run() -> RolloutState:
        return await RolloutController(folder, state).run()

    try:
        final = asyncio.run(run())
    except RolloutRefusedError as error:
        _exit(str(error), 1)
    except KeyboardInterrupt:
        _exit("stopped; the rollout keeps its state, `seamlb rollout resume` continues it", 1)
    click.echo(f"{final.change}: {final.phase}: {final.reason}")
    sys.exit(0 if final.phase == "done" else ROLLED_BACK)


@rollout.command("plan")
@PLAN
def show(plan: Path) -> None:
    """Validate PLAN and print its stages."""
    loaded = _load_plan(plan)
    click.echo(f"{loaded.old.ident} -> {loaded.new.ident}, {len(loaded.agent)} agents, {loaded.surge} at a time")
    for stage, size in zip(loaded.stage, loaded.stage_sizes(), strict=True):
        least = (
            ", ".join(f"{count} {class_name}" for class_name, count in stage.least.items())
            or "no minimum of requests"
        )
        click.echo(f"  {size} agents, bake time {stage.bake:g} s, time limit {stage.most:g} s; {least}")


@rollout.command()
@PLAN
@STATE
@click.option("--after", default="", metavar="CHANGE", help="An abandoned rollout whose state is lost.")
def start(plan: Path, state: Path, after: str) -> None:
    """Start PLAN and control it until it has finished."""
    loaded, folder = _load_plan(plan), StateFolder(state)
    if not folder.lock():
        _exit(f"{state}: another controller is active in this folder", 1)
    try:
        found = folder.load()
    except record.RecordError as error:
        _exit(f"{error}; a rollout may be in progress: see docs/operators/rollout.md", 2)
    if found and found.phase not in FINAL_PHASES:
        _exit(f"{state}: rollout {found.change} has not finished; resume or abort it", 1)
    folder.take_command()  # drops a command for an earlier rollout
    previous = after or (found.change if found else "")
    _control(folder, RolloutState(f"{loaded.new.name}-{uuid.uuid4().hex[:8]}", loaded, after=previous))


def _add_command(name: str, text: str) -> None:
    @rollout.command(name, help=text)
    @STATE
    def call(state: Path) -> None:
        folder = StateFolder(state)
        current = _load_state(folder)
        if current.phase in FINAL_PHASES:
            _exit(f"{state}: rollout {current.change} has finished: {current.phase}", 1)
        folder.submit(name)
        if not folder.lock():
            return click.echo(f"{name}: sent to the active controller")
        if name == "pause":
            current.phase, current.reason, current.seq = "paused", "", current.seq + 1
            folder.take_command()
            folder.save(current)
            return click.echo("paused; no controller is active")
        _control(folder, current)  # it takes the submitted command


for _name, _text in zip(
    COMMANDS,
    (
        "Change no further agents.",
        "Continue with the active controller, or as the controller if there is none.",
        "Roll every agent back to the old revision.",
    ),
    strict=True,
):
    _add_command(_name, _text)


@rollout.command()
@STATE
def status(state: Path) -> None:
    """Print the rollout's state from its file, and the status of every agent from its supervisor."""
    folder = StateFolder(state)
    current = _load_state(folder)

    async def poll() -> RolloutController:
        controller = RolloutController(folder, current)
        await controller.poll()
        return controller

    polled = asyncio.run(poll())
    click.echo(
        f"{current.change}: {current.phase}, stage {current.stage} of {len(current.plan.stage)}"
        + (f": {current.reason}" if current.reason else "")
    )
    for name in polled.supervisors:
        agent = polled.fleet.get(name)
        if agent is None:
            click.echo(f"  {name}: no response")
            continue
        facts = [agent.running or "not running", "ready" if agent.ready else "not ready"]
        facts += [f"starting {agent.starting}"] if agent.starting else []
        facts += [f"failed: {agent.failure}"] if agent.failure else []
        facts += [f"{agent.crashes} crashes"] if agent.crashes else []
        click.echo(f"  {name}: {', '.join(facts)}")


@rollout.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
def keep(file: Path) -> None:
    """Supervise one agent as configured in FILE, until SIGTERM."""
    try:
        config = load_supervisor(file)
    except PlanError as error:
        _exit(str(error), 2)
    try:
        asyncio.run(Supervisor(config).run())
    except OSError as error:
        _exit(f"{file}: {error}", 1)
