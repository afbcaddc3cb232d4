"""190 calls a second for 40 s through one agent to SIP desks over UDP, and the releases of those calls."""

from __future__ import annotations

import asyncio
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
    Msg,
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

RATE = 190.0 if TROUBLE else 50.0  # calls a second; the busiest agent has about 50, and up to 190 on one day
LOAD_S = 40.0
HOLD_S = 2.0  # holding times are scaled to fit the load
RELEASE_S = 8.0  # the longer of the two limits


class BusyDesk(SipDesk):
    """A desk that ends each call `HOLD_S` after its answer."""

    def __init__(self, record: Record, name: str) -> None:
        super().__init__(record, name)
        self.over: dict[str, float] = {}  # by Call-ID of the caller

    async def _answer(self, branch: str, invite: Msg, run: dict[str, Any]) -> None:
        await super()._answer(branch, invite, run)
        await asyncio.sleep(HOLD_S)
        if standing := self.standing.pop(invite.call, None):
            others, self.standing = self.standing, {invite.call: standing}
            self.over |= {label.split()[-1]: at for label, at in self.release_all().items()}
            self.standing = others


async def case(record: Record, folder: Path, agents: list[Agent]) -> int:
    """Is each call released towards its caller once its desk has ended it?"""
    desks, board = [BusyDesk(record, "desk-a"), BusyDesk(record, "desk-b")], Board(record)
    for desk in desks:
        await desk.start()
    await board.start()
    members = [member(desk.name, desk.address, cell) for cell, desk in enumerate(desks)]
    board.tell(members, complete=True)
    own = free_port()
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "board": board.address,
        "known": board.content(),
        "settings": settings([0, 1]) | {"Instances": 1, "Tenants": []},
    }
    plugins = f'[desks]\ntransport = "udp"\nudp = "127.0.0.1:{own}"\ntcp = "127.0.0.1:{own}"\n'
    agents.append(agent := Agent(record, folder, config, plugins))
    await agent.start()
    callers = PlatformCallers(record, "callers")
    await callers.connect(agent.listen)

    loop = asyncio.get_running_loop()
    due, end, count = loop.time(), loop.time() + LOAD_S, 0
    while due < end:
        callers.send(platform_invite(new_id(), count % 2))
        count, due = count + 1, due + 1.0 / RATE
        await asyncio.sleep(max(0.0, due - loop.time()))
    await asyncio.sleep(HOLD_S + RELEASE_S + 1.5)

    over = {call: at for desk in desks for call, at in desk.over.items()}
    stood = [call for call, answers in callers.answers.items() if answers and answers[0][1] == 200]
    left = [call for call in stood if call in over and callers.ends.get(call, 1e9) > over[call] + RELEASE_S + SLACK_S]
    for call in left[:5]:
        record.add("check", f"{call} over at {over[call]:.3f}, not released to its caller {RELEASE_S} s later")
    record.add("check", f"{count} calls, {len(stood)} stood, {len(over)} were ended by their desks,")
    record.add("check", f"{len(left)} of those were not released to their callers in time")
    if len(stood) < 0.5 * count:
        raise CaseError("too few calls stand")
    await agent.end()
    return BROKEN if left else HELD


main(__file__, case)
