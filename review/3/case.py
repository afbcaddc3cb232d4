"""A duty desk's process crashes and is started again; the roster tells of it seconds later."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.board import Board, member
from standins.callers import Callers
from standins.site import SETTINGS, TENANT, TROUBLE, Site, free_port, run_case

DESKS = 4
PERIOD = 0.25  # seconds between two set-ups
DOWN = 1.0  # seconds until the process is started again
ROSTER_LATE = 4.0  # seconds from the new start to the roster's word of it; site file: 0.76 to 4.4
SLACK = 1.05  # seconds: "within 1 s", and each limit is 50 ms longer
CRASH_AT, END_AT = 4.0, 22.0  # seconds after the first set-up; calls last 9 s


async def play(site: Site) -> list[str]:
    """Play the case; returns the violations."""
    rng = random.Random(1)
    ports = [free_port() for _ in range(DESKS)]
    desks = [site.start_desk(f"desk{k}", port) for k, port in enumerate(ports)]
    await site.until(lambda: sum(one["what"] == "up" for one in site.desk_lines()) == DESKS, "desks up")
    board = Board()
    board.add([member(f"s-{k}", port, k) for k, port in enumerate(ports)], complete=True)
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
    host, _, port = config["listen"].partition(":")
    callers = Callers((host, int(port)), site.log)
    await site.until(lambda: any(one["event"] == "serving" for one in site.agent_lines("n1")), "agent serving")
    await callers.connect()
    if not await callers.passes_test():
        return ["the agent does not pass the test after its start"]

    async def trouble() -> None:
        await asyncio.sleep(CRASH_AT)
        if not TROUBLE:
            return
        site.log("crash", desk="desk0")
        desks[0].kill()
        desks[0].wait()
        await asyncio.sleep(DOWN)
        desks[0] = site.start_desk("desk0", ports[0])
        started = time.time()
        site.log("started_again", desk="desk0")
        await asyncio.sleep(ROSTER_LATE)
        site.log("roster_tells", desk="desk0", phase="Ready", up_since_ms=int(started * 1000))
        await board.tell([member("s-0", ports[0], 0, since_ms=int(started * 1000))])

    troubled = asyncio.create_task(trouble())
    begun = time.time()
    while time.time() < begun + END_AT - 10.0:
        callers.set_up(f"{rng.getrandbits(64):016x}", "alert-confirm", 2000, rng.randrange(DESKS), TENANT)
        await asyncio.sleep(PERIOD)
    await asyncio.sleep(10.0 + SLACK)
    await troubled
    if agent.poll() is not None:
        return ["the agent has ended"]
    return judge(site, callers)


def judge(site: Site, callers: Callers) -> list[str]:
    """A caller is told that its call is over only if it is over at its desk, or is released there too."""
    lines = site.desk_lines()
    broken = []
    stood = 0
    for call in callers.calls.values():
        if not call.answers or call.answers[0][1] != 200:
            continue
        stood += 1
        if not call.releases:
            continue
        told_at, cause = call.releases[0]
        at_desk = [line for line in lines if line.get("call") == call.ident]
        standing = next(line for line in at_desk if line["what"] == "stands")
        later_start = [
            line["at"]
            for line in lines
            if line["who"] == standing["who"] and line["what"] == "up" and line["at"] > standing["at"]
        ]
        if later_start:
            continue  # the process in which it stood has ended, and with it the call
        ends = [line["at"] for line in at_desk if line["what"] in ("release_sent", "released_by_agent")]
        if not ends or min(ends) > told_at + SLACK:
            went_on = f"{min(ends) - told_at:.1f} s more" if ends else "to the end of the run"
            broken.append(
                f"call {call.ident}: its caller was told with cause {cause} that it is over, "
                f"it stood at {standing['who']} {went_on}, and no release was sent there"
            )
    site.log("judged", stood=stood, broken=len(broken))
    return broken


if __name__ == "__main__":
    run_case(__file__, play)
