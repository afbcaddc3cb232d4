"""A duty desk's machine vanishes for 5 s and comes back cold; the roster tells of its new start seconds later."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin_board import Board, member
from standin_callers import Callers
from standin_host import Host
from standin_site import SETTINGS, TENANT, TROUBLE, Site, free_port, run_case

DESKS = 4
PERIOD = 0.2  # seconds between two set-ups
GONE = 5.0  # seconds for which the machine is gone
BOOT = 0.5  # seconds from the new process's start to the machine's network
ROSTER_LATE = 4.4  # seconds from the new start to the roster's word of it; site file: 0.76 to 4.4
VANISH_AT, LAST_AT = 5.0, 17.0  # seconds after the first set-up; calls last 9 s
WITHIN_CUT = 8.05  # seconds from a call's end to its caller's release where no release could be sent
WITHIN = 1.05  # seconds from a release; each limit is 50 ms longer


async def play(site: Site) -> list[str]:
    """Play the case; returns the violations."""
    rng = random.Random(1)
    inner, outer = [free_port() for _ in range(DESKS)], [free_port() for _ in range(DESKS)]
    desks = [site.start_desk(f"desk{k}", port) for k, port in enumerate(inner)]
    await site.until(lambda: sum(one["what"] == "up" for one in site.desk_lines()) == DESKS, "desks up")
    hosts = [Host(port, site.log) for port in inner]
    for host, port in zip(hosts, outer, strict=True):
        host.listen(port)
    board = Board()
    board.add([member(f"s-{k}", port, k) for k, port in enumerate(outer)], complete=True)
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "board": f"127.0.0.1:{await board.serve()}",
        "known": board.after(0),
        "settings": SETTINGS,
    }
    agent = site.start_agent("n1", config)
    address, _, port = config["listen"].partition(":")
    callers = Callers((address, int(port)), site.log)
    await site.until(lambda: any(one["event"] == "serving" for one in site.agent_lines("n1")), "agent serving")
    await callers.connect()
    if not await callers.passes_test():
        return ["the agent does not pass the test after its start"]
    vanished = 0.0

    async def trouble() -> None:
        nonlocal vanished
        await asyncio.sleep(VANISH_AT)
        if not TROUBLE:
            return
        vanished = time.time()
        site.log("vanishes", desk="desk0")
        hosts[0].vanish()
        desks[0].kill()
        desks[0].wait()
        await asyncio.sleep(GONE - BOOT)
        started = time.time()
        desks[0] = site.start_desk("desk0", inner[0])
        await asyncio.sleep(BOOT)
        hosts[0].come_back()
        site.log("back", desk="desk0")
        await asyncio.sleep(ROSTER_LATE - BOOT)
        site.log("roster_tells", desk="desk0", phase="Ready", up_since_ms=int(started * 1000))
        await board.tell([member("s-0", outer[0], 0, since_ms=int(started * 1000))])

    troubled = asyncio.create_task(trouble())
    begun = time.time()
    while time.time() < begun + LAST_AT:
        callers.set_up(f"{rng.getrandbits(64):016x}", "alert-confirm", 2000, rng.randrange(DESKS), TENANT)
        await asyncio.sleep(PERIOD)
    await asyncio.sleep(9.0 + WITHIN + 2.0)
    await troubled
    if agent.poll() is not None:
        return ["the agent has ended"]
    return judge(site, callers, vanished)


def judge(site: Site, callers: Callers, vanished: float) -> list[str]:
    """What has ended is released towards its caller in time, and what stands is not."""
    lines: dict[str, list[dict[str, object]]] = {}
    for line in site.desk_lines():
        lines.setdefault(str(line.get("call")), []).append(line)
    late, cut, stood = [], [], 0
    for call in callers.calls.values():
        if not call.answers or call.answers[0][1] != 200:
            continue
        stood += 1
        told = call.releases[0][0] if call.releases else float("inf")
        at_desk = lines[call.ident]
        standing = [line for line in at_desk if line["what"] == "stands"][-1]
        ends = [float(str(line["at"])) for line in at_desk if line["what"] in ("release_sent", "released_by_agent")]
        if (
            standing["who"] == "desk0"
            and float(str(standing["at"])) < vanished
            and (not ends or min(ends) > vanished)
        ):
            if told > vanished + WITHIN_CUT:
                when = f"{told - vanished:.2f} s after it" if call.releases else "never"
                late.append(f"call {call.ident}: ended with its machine, its caller was told {when}")
        elif call.releases and (not ends or min(ends) > told + WITHIN):
            went_on = f"{min(ends) - told:.1f} s more" if ends else "to the end of the run"
            cut.append(
                f"call {call.ident}: its caller was told with cause {call.releases[0][1]} that it is over, "
                f"it stood at {standing['who']} {went_on}, and no release was sent there"
            )
    site.log("judged", stood=stood, late=len(late), cut=len(cut))
    return late + cut


if __name__ == "__main__":
    run_case(__file__, play)
