"""Open-loop load on real loopback sockets: callers on each front, stand-in desks, a timeline of faults, an audit.

The agent is a process of its own, started as operators start it. Callers come by a Poisson process whatever is
answered; the time from asking to the final answer goes into an HDR histogram by class.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Any

import orjson

from seamlb.emulator.audit import Audit
from seamlb.emulator.loadcallers import Callers
from seamlb.emulator.loaddesks import FAULTS, BoardStandin, LoadDesk
from seamlb.emulator.loadsite import DESKS, Load, Report, Site, read_site
from seamlb.planning.words import table

__all__ = ["DESKS", "FAULTS", "FRONTS", "Load", "Report", "Site", "play", "read_site", "report_lines", "save"]

FRONTS = ("platform", "tcp", "udp")
WARM_UP = 1.0


def configuration(load: Load, members: list[dict[str, Any]], board: str) -> dict[str, Any]:
    """The agent's configuration for this load."""
    cells = [list(range(load.desks))] * len(load.site.classes)
    whole = sum(part for _, part in load.site.offices)
    shares = [(name, part / whole) for name, part in load.site.offices]
    room = load.desks * load.agents / load.holding
    return {
        "name": "load",
        "listen": "127.0.0.1:0",
        "seed": f"{load.seed:x}",
        "board": board,
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": members}}]},
        "settings": {
            "Classes": [
                {
                    "Name": one.name,
                    "Worth": one.worth,
                    "OnTime": one.on_time,
                    "Deadline": one.deadline,
                    "Effect": "free",
                }
                for one in load.site.classes
            ],
            "Contract": {
                "AnswerSlack": 20,
                "Cold": 14000,
                "DrainGrace": 500,
                "Fall": 1500,
                "FallMultiple": 3,
                "StartCapacity": 0.3,
            },
            "Extra": {
                "ClearWait": 300,
                "NetworkForm": "skills",
                "SelfNo": -1,
                "SkilledPools": cells,
                "Widths": [1] * len(load.site.classes),
            },
            "Instances": 1,
            "MembershipMode": "pushed",
            "Limits": {
                "AttemptsCap": 6,
                "Cancel": True,
                "ConnectTimeout": 500,
                "MaxRetryAfter": 2000,
                "RetryAfter": True,
            },
            "Report": {"Fields": ["idle", "circuits", "reduce", "avg_ms"], "Source": "answers"},
            "Tenants": [{"Name": name, "Share": share, "AllowancePerS": share * room} for name, share in shares],
        },
    }


async def play(load: Load) -> Report:
    """One run; the agent's process has ended when it returns."""
    audit, loop = Audit(), asyncio.get_running_loop()
    desks = {f"desk-{n}": LoadDesk(f"desk-{n}", load, audit) for n in range(load.desks)}
    board = BoardStandin()
    members = [
        {
            "id": name,
            "host_port": await desk.start(),
            "locality": "here",
            "cell": cell,
            "phase": "Ready",
            "size": 1,
            "up_since_ms": 0,
        }
        for cell, (name, desk) in enumerate(desks.items())
    ]

    def told(fresh: list[dict[str, Any]]) -> None:
        for one in fresh:
            if one["phase"] != "Ready":
                audit.drains(loop.time(), one["id"])

    board.on_told = told
    with tempfile.TemporaryDirectory() as folder:
        config, plugins = Path(folder) / "config.json", Path(load.folder or folder) / f"load-{load.seed}.toml"
        config.write_bytes(orjson.dumps(configuration(load, members, await board.start())))
        sip = f'[sip]\n{load.front} = "127.0.0.1:0"\n' if load.front != "platform" else ""
        plugins.write_text(sip + load.plugins)
        extra = ["--plugins", str(plugins)] if sip or load.plugins else []
        agent = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "seamlb",
            "serve",
            "--config",
            str(config),
            *extra,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 22,
        )
        assert agent.stdout is not None
        try:
            callers, faults, reading = await _load(load, audit, agent.stdout, desks, board, members)
        finally:
            if agent.returncode is None:
                agent.terminate()
            code = await agent.wait()  # its lines are read to the end, or a full pipe would hold it up
            plugins.unlink(missing_ok=True)
            for desk in desks.values():
                await desk.stop()
            board.server.close()
    await reading
    audit.finish()
    onset = {
        name: {f"p{p:g}": one.get_value_at_percentile(p) / 1000.0 for p in (50.0, 90.0, 99.0, 100.0)}
        for name, one in callers.onset.items()
    }
    return Report(
        callers.count,
        callers.results,
        onset,
        audit.broken,
        audit.counts,
        faults,
        code,
        {name: got / max(1, of) for name, (got, of) in callers.in_time.items()},
    )


async def _load(
    load: Load,
    audit: Audit,
    lines: asyncio.StreamReader,
    desks: dict[str, LoadDesk],
    board: BoardStandin,
    members: list[dict[str, Any]],
) -> tuple[Callers, list[dict[str, Any]], asyncio.Task[None]]:
    loop, faults, addresses = asyncio.get_running_loop(), list[dict[str, Any]](), dict[str, str]()
    serving = asyncio.Event()

    async def read() -> None:
        async for line in lines:
            told = orjson.loads(line)
            if told["event"] == "listening":
                addresses[told["front"]] = told["address"]
            elif told["event"] == "serving":
                serving.set()
            elif told["event"] in ("fault", "plugin_health", "plugins_paused"):
                faults.append(told)
        serving.set()

    reading = asyncio.create_task(read())
    await asyncio.wait_for(serving.wait(), 20.0)
    if load.front not in addresses:
        raise RuntimeError(f"the agent does not listen for {load.front}")
    callers = Callers(load, audit, addresses[load.front])
    await callers.connect()
    await asyncio.sleep(WARM_UP)
    for at, name, what in load.faults:
        if what == "drain":
            member = next(one for one in members if one["id"] == name) | {"phase": "Terminating"}
            loop.call_later(at, board.tell, member)
        else:
            loop.call_later(at, desks[name].fault, what)
    await callers.run()
    await asyncio.sleep(load.site.patience / 1000.0 + 0.3)
    callers.close()
    return callers, faults, reading


def report_lines(load: Load, report: Report) -> list[str]:
    """The report as a table, with what made it."""
    told = ", ".join(f"{what} {count}" for what, count in sorted(report.results.items()))
    lines = [
        f"{load.front}, {load.rate:g} calls a second for {load.seconds:g} s, seed {load.seed}, "
        f"{len(load.faults)} faults: {report.calls} calls: {told}",
        "",
    ]
    rows = [
        [name, f"{100 * report.stood_in_time[name]:.1f}", *(f"{value:.1f}" for value in figures.values())]
        for name, figures in report.onset_ms.items()
    ]
    lines += table(["class", "stood in time %", "p50 ms", "p90 ms", "p99 ms", "most ms"], rows)
    lines += ["", f"rules broken: {len(report.broken)}", *report.broken[:10]]
    lines += [f"{one['event']}: {orjson.dumps(one).decode()}" for one in report.faults[:5]]
    return lines


def save(folder: Path, load: Load, report: Report, lines: list[str]) -> None:
    """report.md and report.svg."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "seamlb"
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.md").write_text("```\n" + "\n".join(lines) + "\n```\n")
    figure, axis = pyplot.subplots(figsize=(7, 4))
    for name, figures in report.onset_ms.items():
        axis.plot(list(figures), list(figures.values()), "o-", label=name)
    axis.set_yscale("log")
    axis.set_ylabel("time to the final answer, ms")
    axis.set_title(f"{load.front}, {load.rate:g} calls/s, seed {load.seed}")
    axis.legend()
    figure.tight_layout()
    figure.savefig(folder / "report.svg", metadata={"Date": None, "Creator": None})
    pyplot.close(figure)
