"""Faulty plug-ins under load on sockets, paired with runs without them; rules audited, answer onset compared.

python -m benchmarks.faulty [RATE] [PAIRS]     # writes docs/results/faulty.md
"""

import asyncio
import statistics
import sys
import tempfile
from pathlib import Path

from seamlb.emulator.load import Load, Report, play, read_site
from tests.test_plugins import FAULTY_MODULES, build_module

OUT = Path(__file__).resolve().parent.parent / "docs" / "results" / "faulty.md"
SITE = read_site(Path(__file__).resolve().parent.parent / "examples" / "lab" / "site.toml")
HUNGRY = build_module(
    "(local i32) (loop $l (local.set 1 (i32.add (local.get 1) (i32.const 1)))"
    "(br_if $l (i32.lt_u (local.get 1) (i32.const 1100)))) (i32.const 0)",
    name="hungry",
)
REFUSES = "plugin refuses version 1\nrule r on admit then refuse\n"
FLIPS = (
    'plugin flips version 1\nkeep n = 0\nrule a on classify when n == 0 then class "alert-confirm", set n to 1\n'
    "rule b on classify when n == 1 then set n to 0\n"
)


def tables(folder: Path) -> str:
    """Every faulty module under a name of its own, one that eats nearly all fuel, and two bad rule files."""
    files = {
        f"{name.replace(' ', '_')}.wasm": data.replace(b'"bad"', f'"{chr(97 + n) * 3}"'.encode())
        for n, (name, data) in enumerate(FAULTY_MODULES.items())
    }
    files |= {"hungry.wasm": HUNGRY, "refuses.rules": REFUSES.encode(), "flips.rules": FLIPS.encode()}
    for name, data in files.items():
        (folder / name).write_bytes(data)
    return "[plugins]\n" + "".join(f'[[plugins.plugin]]\nfile = "{folder / name}"\n' for name in files)


def one(rate: float, seed: int, plugins: str) -> Report:
    return asyncio.run(play(Load(rate, 8.0, agents=1000, setup=0.0003, seed=seed, plugins=plugins, site=SITE)))


def main(rate: float, pairs: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        table = tables(Path(folder))
        runs = [(one(rate, seed, ""), one(rate, seed, table)) for seed in range(1, pairs + 1)]
    lines = [
        f"`python -m benchmarks.faulty {rate:g} {pairs}`: {rate:g} calls a second for 8 s, platform's front, "
        f"{len(FAULTY_MODULES)} faulty modules, one that eats its fuel, one that refuses all, one that flips; "
        "pairs with the same callers, one after the other.",
        "",
        "| pair | plug-ins | calls | stood % | p50 ms | p99 ms | alert-confirm, in time % | broken | exit |",
        "|" + " --- |" * 9,
    ]
    ratios = []
    for number, pair in enumerate(runs):
        p99 = []
        for label, report in zip(("none", "faulty"), pair, strict=True):
            figures = report.onset_ms["level-check"]
            p99.append(figures["p99"])
            stood = 100 * report.results["stood"] / report.calls
            lines.append(
                f"| {number + 1} | {label} | {report.calls} | {stood:.1f} "
                f"| {figures['p50']:.1f} | {figures['p99']:.1f} "
                f"| {100 * report.stood_in_time['alert-confirm']:.1f} | {len(report.broken)} "
                f"| {report.exit_code} |"
            )
        ratios.append(p99[1] / p99[0])
    lines += [
        "",
        f"p99 with faulty plug-ins over p99 without: median {statistics.median(ratios):.2f} "
        f"({', '.join(f'{r:.2f}' for r in ratios)}).",
    ]
    OUT.write_text("\n".join(lines) + "\n")
    print(OUT.read_text())


if __name__ == "__main__":
    main(float(sys.argv[1]) if len(sys.argv) > 1 else 200.0, int(sys.argv[2]) if len(sys.argv) > 2 else 3)
