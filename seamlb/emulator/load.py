"""Open-loop load test over loopback sockets: callers on one front, desk stubs, a timeline of faults and an audit.

The agent runs as a separate process, started as operators start it. Calls arrive as a Poisson process that does not
depend on the answers; the time from the request to its final answer goes into an HDR histogram per call class.
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
from seamlb.emulator.loaddesks import FAULTS, BoardStub, DeskStub
from seamlb.emulator.loadsite import DESKS, Load, Report, Site, read_site
from seamlb.planning.reports import table

__all__ = ["DESKS", "FAULTS", "FRONTS", "Load", "Report", "Site", "play", "read_site", "report_lines", "save"]

FRONTS = ("platform", "tcp", "udp")
WARM_UP_S = 1.0  # between connecting and the first call


def configuration(load: Load, members: list[dict[str, Any]], board: str) -> dict[str, Any]:
    """Build the agent's configuration for this load."""
    cells = [list(range(load.desks))] * len(load.site.classes)
    total = sum(part for _, part in load.site.offices)
    shares = [(name, part / total) for name, part in load.site.offices]
    capacity = load.desks * load.agents / load.holding_s
    return {
        "name": "load",
        "listen": "127.0.0.1:0",
        "seed": f"{load.seed:x}",
        "board": board,
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": members}}]},
        "settings": {
            "Classes": [
                {
                    "Name": call_class.name,
                    "Worth": call_class.worth,
                    "OnTime": call_class.on_time_ms,
                    "Deadline": call_class.deadline_ms,
                    "Effect": "free",
                }
                for call_class in load.site.classes
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
            "Tenants": [{"Name": name, "Share": share, "AllowancePerS": share * capacity} for name, share in shares],
        },
    }


async def play(load: Load) -> Report:
    """Run one load test; the agent's process has exited when it returns."""
    audit, loop = Audit(), asyncio.get_running_loop()
    desks = {f"desk-{n}": DeskStub(f"desk-{n}", load, audit) for n in range(load.desks)}
    board = BoardStub()
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

    def list_delivered(changes: list[dict[str, Any]]) -> None:
        for member in changes:
            if member["phase"] != "Ready":
                audit.drain_announced(loop.time(), member["id"])

    board.on_delivered = list_delivered
    with tempfile.TemporaryDirectory() as folder:
        config, plugins = Path(folder) / "config.json", Path(load.folder or folder) / f"load-{load.seed}.toml"
        config.write_bytes(orjson.dumps(configuration(load, members, await board.start())))
        sip = f'[sip]\n{load.front} = "127.0.0.1:0"\n' if load.front != "platform" else ""
        plugins.write_text(sip + load.plugins)
        arguments = ["--plugins", str(plugins)] if sip or load.plugins else []
        agent = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "seamlb",
            "serve",
            "--config",
            str(config),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 22,
        )
        assert agent.stdout is not None
        try:
            callers, faults, reading = await _load(load, audit, agent.stdout, desks, board, members)
        finally:
            if agent.returncode is None:
                agent.terminate()
            code = await agent.wait()  # the reading task goes on until end of file: a full pipe would block the agent
            plugins.unlink(missing_ok=True)
            for desk in desks.values():
                await desk.stop()
            board.server.close()
    await reading
    audit.finish()
    answer_delay_ms = {
        name: {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000.0 for p in (50.0, 90.0, 99.0, 100.0)}
        for name, histogram in callers.answer_delay_us.items()
    }
    return Report(
        callers.count,
        callers.results,
        answer_delay_ms,
        audit.violation_lines,
        audit.counts,
        faults,
        code,
        {name: on_time / max(1, total) for name, (on_time, total) in callers.on_time_counts.items()},
    )


async def _load(
    load: Load,
    audit: Audit,
    lines: asyncio.StreamReader,
    desks: dict[str, DeskStub],
    board: BoardStub,
    members: list[dict[str, Any]],
) -> tuple[Callers, list[dict[str, Any]], asyncio.Task[None]]:
    loop, faults, addresses = asyncio.get_running_loop(), list[dict[str, Any]](), dict[str, str]()
    serving = asyncio.Event()

    async def read() -> None:
        async for line in lines:
            entry = orjson.loads(line)
            if entry["event"] == "listening":
                addresses[entry["front"]] = entry["address"]
            elif entry["event"] == "serving":
                serving.set()
            elif entry["event"] in ("fault", "plugin_health", "plugins_paused"):
                faults.append(entry)
        serving.set()

    reading = asyncio.create_task(read())
    async with asyncio.timeout(20.0):
        await serving.wait()
    if load.front not in addresses:
        raise RuntimeError(f"the agent does not listen on front {load.front}")
    callers = Callers(load, audit, addresses[load.front])
    await callers.connect()
    await asyncio.sleep(WARM_UP_S)
    for at, name, kind in load.faults:
        if kind == "drain":
            member = next(each for each in members if each["id"] == name) | {"phase": "Terminating"}
            loop.call_later(at, board.publish, member)
        else:
            loop.call_later(at, desks[name].inject_fault, kind)
    await callers.run()
    await asyncio.sleep(load.site.patience_ms / 1000.0 + 0.3)
    callers.close()
    return callers, faults, reading


def report_lines(load: Load, report: Report) -> list[str]:
    """Format the report: the parameters of the run, a table by class, violations and fault events."""
    outcomes = ", ".join(f"{outcome} {count}" for outcome, count in sorted(report.results.items()))
    lines = [
        f"{load.front}, {load.rate:g} calls/s for {load.seconds:g} s, seed {load.seed}, "
        f"{len(load.faults)} faults: {report.calls} calls: {outcomes}",
        "",
    ]
    rows = [
        [name, f"{100 * report.established_in_time[name]:.1f}", *(f"{value:.1f}" for value in percentiles.values())]
        for name, percentiles in report.answer_delay_ms.items()
    ]
    lines += table(["class", "stood in time %", "p50 ms", "p90 ms", "p99 ms", "max ms"], rows)
    lines += ["", f"violations: {len(report.violations)}", *report.violations[:10]]
    lines += [f"{fault['event']}: {orjson.dumps(fault).decode()}" for fault in report.faults[:5]]
    return lines


def save(folder: Path, load: Load, report: Report, lines: list[str]) -> None:
    """Write report.md and report.svg."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "seamlb"
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.md").write_text("```\n" + "\n".join(lines) + "\n```\n")
    figure, axis = pyplot.subplots(figsize=(7, 4))
    for name, percentiles in report.answer_delay_ms.items():
        axis.plot(list(percentiles), list(percentiles.values()), "o-", label=name)
    axis.set_yscale("log")
    axis.set_ylabel("time to the final answer, ms")
    axis.set_title(f"{load.front}, {load.rate:g} calls/s, seed {load.seed}")
    axis.legend()
    figure.tight_layout()
    figure.savefig(folder / "report.svg", metadata={"Date": None, "Creator": None})
    pyplot.close(figure)
