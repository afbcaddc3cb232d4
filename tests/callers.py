"""Open-loop callers that record the outcome of every call."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

from tests.loopback import Peer, invite, sip_request

FINAL_TIMEOUT = 6.0  # seconds to the final answer


class OpenLoopCallers:
    """Open-loop callers with a connection per call; `outcomes` counts how the calls ended."""

    def __init__(self, addresses: Sequence[str], rate: float, seed: int = 1, dests: int = 1) -> None:
        self.dests = dests  # pools of first choice
        self.addresses, self.rate, self.rng = addresses, rate, random.Random(seed)
        self.outcomes: Counter[str] = Counter()  # fulfilled, refused, failed, lost, doubled
        self.outcomes_by_class: Counter[tuple[str, str]] = Counter()
        self.lost: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            task = asyncio.create_task(self._call(self.rng.choice(self.addresses)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _call(self, address: str) -> None:
        ident, class_name = f"{self.rng.getrandbits(64):016x}", self.rng.choice("ab")
        peer = None
        try:
            async with asyncio.timeout(FINAL_TIMEOUT):
                peer = await Peer.connect(address)
                peer.send(invite(ident, dest=self.rng.randrange(self.dests), timer=3000, call_class=class_name))
                final = await peer.next()
                if final.status == 200:
                    peer.send(sip_request("ACK", ident))
                    await asyncio.sleep(0.02)
                    peer.send(sip_request("BYE", ident))
            outcome = {200: "fulfilled", 503: "refused", 500: "failed"}.get(final.status, str(final.status))
            if any(one.status and one.get("call-id") == ident and one.cseq()[1] == "INVITE" for one in peer.ready):
                outcome = "doubled"
        except (OSError, EOFError, TimeoutError) as error:
            outcome = "lost"
            self.lost.append(f"{ident} {class_name} at {address}: {error!r}")
        finally:
            if peer:
                peer.close()
        self.outcomes[outcome] += 1
        self.outcomes_by_class[class_name, outcome] += 1

    async def stop(self) -> None:
        """Start no more calls and wait for the open ones."""
        self.task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
