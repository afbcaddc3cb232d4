"""`seamlb lab`: runs experiments and load tests, and compares the results of experiments."""

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
@click.option(
    "--out", type=click.Path(path_type=Path, file_okay=False), required=True, help="Folder for the results."
)
@click.option("--seeds", type=click.IntRange(1, 10_000), help="Number of seeds; overrides the experiment's.")
@click.option("--processes", type=click.IntRange(1, 64), help="Parallel processes; default one per core.")
def run(experiment: Path, out: Path, seeds: int | None, processes: int | None) -> None:
    """Run EXPERIMENT: every combination of its scenarios, policies and seeds."""
    try:
        definition, problem, plan = experiments.read(experiment)
        definition.seeds = seeds or definition.seeds
        rules_text = experiments.read_rules(experiment, definition)

        def progress(done: int, total: int) -> None:
            click.echo(f"\r  {done} of {total} runs", err=True, nl=done == total)

        rows = experiments.play(definition, problem, plan, progress, processes, rules_text)
        results.save(out, rows, f"seamlb lab run {experiment}", definition)
    except (PlanningError, OSError) as error:
        click.echo(f"seamlb lab: {error}", err=True)
        sys.exit(2)
    click.echo((out / "results.md").read_text(), nl=False)


@lab.command()
@click.option("--front", type=click.Choice(["platform", "tcp", "udp"]), default="platform", show_default=True)
@click.option("--rate", type=click.FloatRange(0.1, 2000), default=50.0, show_default=True, help="Calls per second.")
@click.option("--seconds", type=click.FloatRange(0.5, 600), default=10.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    metavar="AT:DESK:WHAT",
    help="Like 3:desk-1:reset; WHAT is reset, mute, wake, full, empty or drain. May be repeated.",
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
    help="A TOML file of classes and offices; default two classes and one office.",
)
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), help="Folder for the report and its chart.")
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
    """Run an audited load test on loopback sockets; exit code 1 if a rule is violated."""
    from seamlb.emulator import load as load_tool

    timeline = []
    for fault in faults:
        at, _, rest = fault.partition(":")
        desk, _, kind = rest.partition(":")
        try:
            timeline.append((float(at), desk, kind))
        except ValueError:
            kind = ""
        if kind not in load_tool.FAULTS or desk not in {f"desk-{n}" for n in range(load_tool.DESKS)}:
            click.echo(
                f"seamlb lab: --fault {fault}: expected AT:DESK:WHAT, WHAT one of {', '.join(load_tool.FAULTS)}",
                err=True,
            )
            sys.exit(2)
    try:
        site = load_tool.read_site(site_file) if site_file else load_tool.Site()
    except ValueError as error:
        click.echo(f"seamlb lab: --site {error}", err=True)
        sys.exit(2)
    plugin_tables = "".join(f'[[plugins.plugin]]\nfile = "{path.resolve()}"\nmost = 1.0\n' for path in plugins)
    spec = load_tool.Load(rate, seconds, front, seed=seed, faults=tuple(timeline), plugins=plugin_tables, site=site)
    report = asyncio.run(load_tool.play(spec))
    lines = load_tool.report_lines(spec, report)
    click.echo("\n".join(lines))
    if out:
        load_tool.save(out, spec, report, lines)
    sys.exit(1 if report.violations or report.exit_code else 0)


@lab.command()
@click.argument("first")
@click.argument("second")
def compare(first: str, second: str) -> None:
    """Print the paired differences SECOND minus FIRST; each is a results.csv or results.csv:POLICY."""
    try:
        first_rows, second_rows = (_rows_of_policy(selection) for selection in (first, second))
        click.echo("\n".join(results.compare(first_rows, second_rows)))
    except PlanningError as error:
        click.echo(f"seamlb lab: {error}", err=True)
        sys.exit(2)


def _rows_of_policy(selection: str) -> list[experiments.Row]:
    path, colon, name = selection.rpartition(":")
    rows = results.load(Path(path if colon else selection))
    chosen = [row for row in rows if not colon or row["policy"] == name]
    if not chosen or len({row["policy"] for row in chosen}) > 1:
        names = sorted({row["policy"] for row in rows})
        raise PlanningError(f"{selection}: append :POLICY to select one of: {', '.join(names)}")
    return chosen
