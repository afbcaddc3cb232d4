"""Bad clients at the SIP front send set-ups that are refused, the next as soon as one is turned away."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

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
    read_message,
    settings,
)

MEMORY_MB = 192  # the most that scored days have
KILL_ABOVE = MEMORY_MB * 1024 * 1024  # bytes; the larger meaning of MB
BAD_CLIENTS = 4
REQUESTS = 1400  # of each; no message holds more than 16 KiB
NOISE_BYTES = 15500
WAIT_MS = 5000
LIMIT_S = WAIT_MS / 1000 + 0.5 + SLACK_S  # half a second after its time an answer only earns nothing
BAD_FOR_S = 60.0  # at most


def resident(pid: int) -> int:
    """The memory of a process in bytes, as the platform sees it."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def bad_client(front: str, name: str, seed: int) -> None:
    """Send set-ups with noise and a class that doesn't exist; each one after the answer to the one before."""
    rng = random.Random(seed)
    table = bytes(128 + number % 128 for number in range(256))
    noises = [rng.randbytes(NOISE_BYTES).translate(table) for _ in range(8)]
    host, _, port = front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for number in range(REQUESTS):
            ident = f"{name}x{number}"
            head = (
                f"INVITE sip:1@net SIP/2.0\r\nVia: SIP/2.0/TCP 127.0.0.1:9;branch=z9hG4bK{ident}\r\n"
                f"From: <sip:x@net>;tag=1\r\nTo: <sip:y@net>\r\nCall-ID: {ident}\r\nCSeq: 1 INVITE\r\nX-Cos: none\r\n"
            )
            writer.write(head.encode() + b"X-Noise: " + noises[number % 8] + b"\r\nContent-Length: 0\r\n\r\n")
            while (await read_message(reader)).status < 200:
                pass
    except (OSError, asyncio.IncompleteReadError):
        pass  # a close is an answer as well
    finally:
        writer.close()


async def case(record: Record, folder: Path, agents: list[Agent]) -> int:
    """Does the agent stay within its memory, so that the usual callers' calls are answered?"""
    desk, board = PlatformDesk(record, "desk-a", delay=2.0, agents=400), Board(record)
    await desk.start()
    await board.start()
    board.tell([member("desk-a", desk.address, 0)], complete=True)
    front = f"127.0.0.1:{free_port()}"
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
        "board": board.address,
        "known": board.content(),
        "settings": settings([0]) | {"Instances": 1},
    }
    plugins = f'[sip]\nudp = "{front}"\ntcp = "{front}"\ndefault_class = "level-check"\n'
    agents.append(agent := Agent(record, folder, config, plugins))
    await agent.start()
    assert agent.process is not None
    callers = PlatformCallers(record, "callers")
    await callers.connect(agent.listen)
    await asyncio.sleep(0.5)

    names = [f"bad{number}" for number in range(BAD_CLIENTS)] if TROUBLE else []
    clients = [asyncio.create_task(bad_client(front, name, seed)) for seed, name in enumerate(names)]
    sent: dict[str, float] = {}
    peak, killed, steps, began = 0, False, 0, record.now()
    while True:
        await asyncio.sleep(0.05)
        steps += 1
        if steps % 10 == 1 and callers.closed_at is None:  # two calls a second
            sent[call := new_id()] = record.now()
            callers.send(platform_invite(call, 0, wait_ms=WAIT_MS))
        peak = max(peak, resident(agent.process.pid))
        if peak > KILL_ABOVE:
            record.add("platform", f"the agent has {peak >> 20} MiB, over its {MEMORY_MB}: it is killed")
            agent.process.send_signal(signal.SIGKILL)
            agent.process.wait()
            killed = True
            break
        if record.now() - began > (BAD_FOR_S if clients else 10.0) or (
            clients and all(one.done() for one in clients)
        ):
            break
    for one in clients:
        one.cancel()
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
