"""Bad clients send messages that never end, and again as soon as they are turned away; nothing is switched on."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (  # noqa: E402
    BROKEN,
    HELD,
    SLACK_S,
    TROUBLE,
    Agent,
    Board,
    CaseError,
    PlatformCallers,
    PlatformDesk,
    Record,
    free_port,
    main,
    member,
    new_id,
    platform_invite,
    settings,
)

MEMORY_MB = 96  # the pages: 32 to 192
KILL_ABOVE = MEMORY_MB * 1024 * 1024  # bytes; the larger meaning of MB
BAD_CLIENTS = 20  # in two processes
WAIT_MS = 5000
LIMIT_S = WAIT_MS / 1000 + 0.5 + SLACK_S  # half a second after its time an answer only earns nothing
BAD_FOR_S = 20.0  # at most


def resident(pid: int) -> int:
    """The memory of a process in bytes, as the platform sees it."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def case(record: Record, folder: Path, agents: list[Any]) -> int:
    """Does the agent stay within its memory, so that the usual callers' calls are answered?"""
    desk, board = PlatformDesk(record, "desk-a", delay=2.0, agents=400), Board(record)
    await desk.start()
    await board.start()
    board.tell([member("desk-a", desk.address, 0)], complete=True)
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 640},
        "board": board.address,
        "known": board.content(),
        "settings": settings([0]) | {"Instances": 1},
    }
    agents.append(agent := Agent(record, folder, config))
    await agent.start()
    assert agent.process is not None
    callers = PlatformCallers(record, "callers")
    await callers.connect(agent.listen)
    await asyncio.sleep(0.5)

    command = [sys.executable, str(Path(__file__).resolve().parent.parent / "bad_clients_2.py"), agent.listen]
    command += [str(BAD_CLIENTS // 2), str(BAD_FOR_S)]
    clients = [subprocess.Popen(command) for _ in range(2 if TROUBLE else 0)]
    agents += clients  # ended with the others in any event
    sent: dict[str, float] = {}
    peak, killed, steps, began = 0, False, 0, record.now()
    while True:
        await asyncio.sleep(0.05)
        steps += 1
        if steps % 10 == 1 and callers.closed_at is None:  # two calls a second
            sent[call := new_id()] = record.now()
            callers.send(platform_invite(call, 0, wait_ms=WAIT_MS))
        peak = max(peak, resident(agent.process.pid))
        if peak > KILL_ABOVE and "NOKILL" not in os.environ:
            record.add("platform", f"the agent has {peak >> 20} MiB, over its {MEMORY_MB}: it is killed")
            agent.process.send_signal(signal.SIGKILL)
            agent.process.wait()
            killed = True
            break
        if record.now() - began > BAD_FOR_S:
            break
    for one in clients:
        one.kill()
        one.wait()
    record.add("platform", f"the most memory that was seen: {peak >> 20} MiB")
    await asyncio.sleep(WAIT_MS / 1000 + 1.0)

    broken = 0
    for call, at in sent.items():
        answers = callers.answers[call]
        if len(answers) != 1 or answers[0][0] > at + LIMIT_S:
            broken += 1
            record.add("check", f"{call}, taken at {at:.3f}, got {len(answers)} answers in its time")
    if killed:
        record.add("check", "the agent has crashed: it was killed for memory")
    elif not broken and not any(answers for answers in callers.answers.values()):
        raise CaseError("no call was answered")
    if not killed:
        await agent.end()
    return BROKEN if killed or broken else HELD


main(__file__, case)
