"""`seamlb lab`: run experiments in the emulator, compare their results."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from seamlb.emulator import lab as experiments
from seamlb.planning.model import PlanningError


@click.group()
def lab() -> None:
    """Experiments on a virtual clock."""


@lab.command()
@click.argument("experiment", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="Where results go.")
@click.option("--seeds", type=click.IntRange(1, 10_000), help="Instead of the experiment's own number.")
@click.option("--processes", type=click.IntRange(1, 64), help="At the same time; one a core without it.")
def run(experiment: Path, out: Path, seeds: int | None, processes: int | None) -> None:
    """Play EXPERIMENT: its seeds by its policies by its scenarios."""
    try:
        told, problem, plan = experiments.read(experiment)
        told.seeds = seeds or told.seeds
        rules = experiments.read_rules(experiment, told)

        def progress(done: int, of: int) -> None:
            click.echo(f"\r  {done} of {of} runs", err=True, nl=done == of)

        rows = experiments.play(told, problem, plan, progress, processes, rules)
        experiments.save(out, rows, f"seamlb lab run {experiment}", told)
    except (PlanningError, OSError) as error:
        click.echo(f"seamlb lab: {error}", err=True)
        sys.exit(2)
    click.echo((out / "results.md").read_text(), nl=False)


@lab.command()
@click.argument("first")
@click.argument("second")
def compare(first: str, second: str) -> None:
    """Paired differences of SECOND from FIRST, each a results.csv, or results.csv:POLICY."""
    try:
        one, other = (_rows(what) for what in (first, second))
        click.echo("\n".join(experiments.compare(one, other)))
    except PlanningError as error:
        click.echo(f"seamlb lab: {error}", err=True)
        sys.exit(2)


def _rows(what: str) -> list[experiments.Row]:
    path, colon, name = what.rpartition(":")
    rows = experiments.load(Path(path if colon else what))
    picked = [one for one in rows if not colon or one["policy"] == name]
    if not picked or len({one["policy"] for one in picked}) > 1:
        names = sorted({one["policy"] for one in rows})
        raise PlanningError(f"{what}: name one policy behind a colon: {', '.join(names)}")
    return picked
