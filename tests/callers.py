"""Open-loop callers, and what became of every call."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

from tests.loopback import Peer, invite, sip_request

WITHIN = 6.0  # seconds for a final answer: the longest that a caller here is patient


class OpenLoopCallers:
    """Open-loop callers, a connection each: what became of every call."""

    def __init__(self, listens: Sequence[str], rate: float, seed: int = 1, dests: int = 1) -> None:
        self.dests = dests  # pools of first choice
        self.listens, self.rate, self.rng = listens, rate, random.Random(seed)
        self.outcomes: Counter[str] = Counter()  # fulfilled, refused, failed, lost, doubled
        self.outcomes_by_class: Counter[tuple[str, str]] = Counter()
        self.lost: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            task = asyncio.create_task(self._call(self.rng.choice(self.listens)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _call(self, listen: str) -> None:
        ident, kind = f"{self.rng.getrandbits(64):016x}", self.rng.choice("ab")
        peer = None
        try:
            async with asyncio.timeout(WITHIN):
                peer = await Peer.connect(listen)
                peer.send(invite(ident, dest=self.rng.randrange(self.dests), timer=3000, call_class=kind))
                final = await peer.next()
                if final.status == 200:
                    peer.send(sip_request("ACK", ident))
                    await asyncio.sleep(0.02)
                    peer.send(sip_request("BYE", ident))
            end = {200: "fulfilled", 503: "refused", 500: "failed"}.get(final.status, str(final.status))
            if any(one.status and one.get("call-id") == ident and one.cseq()[1] == "INVITE" for one in peer.ready):
                end = "doubled"
        except (OSError, EOFError, TimeoutError) as error:
            end = "lost"
            self.lost.append(f"{ident} {kind} at {listen}: {error!r}")
        finally:
            if peer:
                peer.close()
        self.outcomes[end] += 1
        self.outcomes_by_class[kind, end] += 1

    async def stop(self) -> None:
        """Ask no more, and wait for what is open."""
        self.task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
