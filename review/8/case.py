"""A SIP desk's process dies, is started again 2.2 s later, and the list tells it 0.8 s after that."""

from __future__ import annotations

import asyncio
import sys
import time
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
    Record,
    SipDesk,
    free_port,
    main,
    member,
    new_id,
    platform_invite,
    settings,
)

DOWN_S = 2.2  # until the process of the desk is there again
LIST_LATE_S = 0.8  # notice_s of the site: 0.76 to 4.4


async def case(record: Record, folder: Path, agents: list[Agent]) -> int:
    """Calls come for the desk while its process is down; is one of them run at two desks at once?"""
    first, second = SipDesk(record, "desk-a"), SipDesk(record, "desk-b")
    await first.start()
    await second.start()
    board = Board(record)
    await board.start()
    board.tell([member("desk-a", first.address, 0), member("desk-b", second.address, 1)], complete=True)
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "board": board.address,
        "known": board.content(),
        "settings": settings([0, 1], SecondCopies=False) | {"Instances": 1},
    }
    own = free_port()
    plugins = f'[desks]\ntransport = "udp"\nudp = "127.0.0.1:{own}"\ntcp = "127.0.0.1:{own}"\n'
    agents.append(agent := Agent(record, folder, config, plugins))
    await agent.start()
    callers = PlatformCallers(record, "callers")
    await callers.connect(agent.listen)
    for dest in (0, 1):  # both desks are known to work
        callers.send(platform_invite(new_id(), dest))
    await asyncio.sleep(2.0)
    if len(first.work) != 1 or len(second.work) != 1:
        raise CaseError("the desks do not get one call each")

    if TROUBLE:
        first.die()
    await asyncio.sleep(0.2)
    calls = [new_id() for _ in range(2)]
    for call in calls:
        callers.send(platform_invite(call, 0))
        await asyncio.sleep(0.1)
    await asyncio.sleep(DOWN_S - 0.4)
    if TROUBLE:
        await first.start()
        since = int(time.time() * 1000)
        await asyncio.sleep(LIST_LATE_S)
        board.tell([member("desk-a", first.address, 0, since_ms=since)])
    await asyncio.sleep(5.0)

    broken = 0
    runs = sorted((one for desk in (first, second) for one in desk.work), key=lambda one: one["at"])
    for call in calls:
        mine = [one for one in runs if one["call"].endswith(call)]
        for before, after in zip(mine, mine[1:], strict=False):
            if before["ended"] is None or before["ended"] > after["at"] + SLACK_S:
                broken += 1
                record.add(
                    "check",
                    f"{call}: set up at {before['at']:.3f}, not ended, and set up again at {after['at']:.3f};"
                    f" its caller had the answers {callers.answers[call]}",
                )
    if not broken and not all(len(callers.answers[call]) == 1 for call in calls):
        raise CaseError("a call has no answer")
    await agent.end()
    return BROKEN if broken else HELD


main(__file__, case)
