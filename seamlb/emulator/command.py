"""`seamlb lab`: run experiments in the emulator, compare their results."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from seamlb.emulator import lab as experiments
from seamlb.emulator import results
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
        results.save(out, rows, f"seamlb lab run {experiment}", told)
    except (PlanningError, OSError) as error:
        click.echo(f"seamlb lab: {error}", err=True)
        sys.exit(2)
    click.echo((out / "results.md").read_text(), nl=False)


@lab.command()
@click.option("--front", type=click.Choice(["platform", "tcp", "udp"]), default="platform", show_default=True)
@click.option("--rate", type=click.FloatRange(0.1, 2000), default=50.0, show_default=True, help="Calls a second.")
@click.option("--seconds", type=click.FloatRange(0.5, 600), default=10.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    metavar="AT:DESK:WHAT",
    help="Like 3:desk-1:reset; what is reset, mute, wake, full, empty or drain. May be repeated.",
)
@click.option(
    "--plugin",
    "plugins",
    multiple=True,
    type=click.Path(path_type=Path, dir_okay=False, exists=True),
    help="A plug-in that the agent loads. May be repeated.",
)
@click.option(
    "--site",
    "site_file",
    type=click.Path(path_type=Path, dir_okay=False, exists=True),
    help="A TOML file of classes and offices; without it two plain classes of one office.",
)
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), help="A folder for report and chart.")
def load(
    front: str,
    rate: float,
    seconds: float,
    seed: int,
    faults: tuple[str, ...],
    plugins: tuple[Path, ...],
    site_file: Path | None,
    out: Path | None,
) -> None:
    """Load on loopback sockets, audited; exit code 1 if a rule did not hold."""
    from seamlb.emulator import load as loads

    events = []
    for one in faults:
        at, _, rest = one.partition(":")
        desk, _, what = rest.partition(":")
        try:
            events.append((float(at), desk, what))
        except ValueError:
            what = ""
        if what not in loads.FAULTS or desk not in {f"desk-{n}" for n in range(loads.DESKS)}:
            click.echo(f"seamlb lab: --fault {one}: not AT:DESK:WHAT with {', '.join(loads.FAULTS)}", err=True)
            sys.exit(2)
    try:
        site = loads.read_site(site_file) if site_file else loads.Site()
    except ValueError as error:
        click.echo(f"seamlb lab: --site {error}", err=True)
        sys.exit(2)
    table = "".join(f'[[plugins.plugin]]\nfile = "{path.resolve()}"\nmost = 1.0\n' for path in plugins)
    asked = loads.Load(rate, seconds, front, seed=seed, faults=tuple(events), plugins=table, site=site)
    report = asyncio.run(loads.play(asked))
    lines = loads.report_lines(asked, report)
    click.echo("\n".join(lines))
    if out:
        loads.save(out, asked, report, lines)
    sys.exit(1 if report.broken or report.exit_code else 0)


@lab.command()
@click.argument("first")
@click.argument("second")
def compare(first: str, second: str) -> None:
    """Paired differences of SECOND from FIRST, each a results.csv, or results.csv:POLICY."""
    try:
        one, other = (_rows(what) for what in (first, second))
        click.echo("\n".join(results.compare(one, other)))
    except PlanningError as error:
        click.echo(f"seamlb lab: {error}", err=True)
        sys.exit(2)


def _rows(what: str) -> list[experiments.Row]:
    path, colon, name = what.rpartition(":")
    rows = results.load(Path(path if colon else what))
    picked = [one for one in rows if not colon or one["policy"] == name]
    if not picked or len({one["policy"] for one in picked}) > 1:
        names = sorted({one["policy"] for one in rows})
        raise PlanningError(f"{what}: name one policy behind a colon: {', '.join(names)}")
    return picked
