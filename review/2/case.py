"""Some good answers of duty desks stop short; what the desks send next on those connections follows at once."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin_board import Board, member
from standin_callers import Callers
from standin_site import SETTINGS, TENANT, TROUBLE, Site, free_port, run_case

DESKS = 4
LINES, HOLD = 13, 3.0  # agents of each desk, and seconds that a call lasts: 17 calls a second in all
RATE = 20.0  # calls a second: 115 % of what the desks can take
SHORT = 0.05  # share of the good answers that stop short
LAST_AT = 55.0  # seconds after the first set-up
WITHIN = 1.05  # seconds from a desk's release to the caller's, each limit being 50 ms longer


async def play(site: Site) -> list[str]:
    """Play the case; returns the violations."""
    rng = random.Random(1)
    ports = [free_port() for _ in range(DESKS)]
    for k, port in enumerate(ports):
        options = ["--hold", str(HOLD), "--lines", str(LINES), "--seed", str(k)]
        site.start_desk(f"desk{k}", port, *options, "--short", str(SHORT if TROUBLE else 0.0))
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
    begun, number = time.time(), 0
    while (now := time.time()) < begun + LAST_AT:
        while number < (now - begun) * RATE:
            number += 1
            callers.set_up(f"{rng.getrandbits(64):016x}", "level-check", 5000, rng.randrange(DESKS), TENANT)
        await asyncio.sleep(0.01)
    await asyncio.sleep(5.0 + HOLD + 9.0)
    if agent.poll() is not None:
        return ["the agent has ended"]
    return judge(site, callers)


def judge(site: Site, callers: Callers) -> list[str]:
    """A 200 brings what a desk made for the call, and what a desk releases is released towards its caller in time."""
    lines: dict[str, list[dict[str, object]]] = {}
    for line in site.desk_lines():
        lines.setdefault(str(line.get("call")), []).append(line)
    false, late, stood = [], [], 0
    for call in callers.calls.values():
        if not call.answers or call.answers[0][1] != 200:
            continue
        stood += 1
        at_desk = lines.get(call.ident, [])
        made = {f"{call.ident} at {one['who']}\r\n".encode() for one in at_desk if one["what"] == "stands"}
        if call.answers[0][2] not in made:
            seen = ", ".join(f"{one['what']} at {one['who']}" for one in at_desk)
            false.append(f"call {call.ident}: told 200 with {call.answers[0][2]!r}; at the desks: {seen}")
            continue
        own = call.answers[0][2].decode().split(" ")[2].strip()
        for release in at_desk:
            if release["what"] != "release_sent" or release["who"] != own:
                continue
            if not call.releases:
                late.append(f"call {call.ident}: released by {own}, its caller heard nothing to the end of the run")
            elif call.releases[0][0] > float(str(release["at"])) + WITHIN:
                waited = call.releases[0][0] - float(str(release["at"]))
                late.append(f"call {call.ident}: released by {own}, its caller heard of it {waited:.2f} s later")
    site.log("judged", stood=stood, false=len(false), late=len(late))
    return false + late


if __name__ == "__main__":
    run_case(__file__, play)
