"""Membership on a socket: carries the protocol's messages, and tells how many are alive."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from seamlb import log
from seamlb.members.guard import Guard
from seamlb.members.shares import Shares
from seamlb.members.swim import Out, Swim
from seamlb.members.table import MemberKeys, MembersConfig
from seamlb.members.wire import NAME_MOST, Status
from seamlb.net.address import split_address
from seamlb.net.datagram import DatagramEndpoint

TICK = 0.1  # seconds
BIND_EVERY = 0.5  # seconds between two tries to take the address over from the process before


class MembershipService:
    """One instance among the others; `divide` is told by how many fleet-wide limits are divided."""

    def __init__(
        self,
        config: MembersConfig,
        keys: MemberKeys,
        name: str,
        configured: int,
        shared: bool,
        divide: Callable[[int], None],
    ) -> None:
        self.config, self.name, self.shared, self.divide = config, name[:NAME_MOST], shared, divide
        self.guard = Guard(keys.accepted, keys.signing_key, time.time())
        self.shares = Shares(configured)
        self.divisor = configured
        self.endpoint: DatagramEndpoint | None = None
        self.swim: Swim | None = None
        self.meta = b""

    async def start(self) -> bool:
        """Bind; False if the process before this one has the address, and the name, until it ends."""
        try:
            self.endpoint = await DatagramEndpoint.bind(self.config.udp, "members", self._received)
        except OSError:
            if not self.shared:
                raise
            return False
        return True

    async def run(self) -> None:
        """Take the address if it is not ours yet, join, and go on until cancelled."""
        loop = asyncio.get_running_loop()
        while self.endpoint is None and not await self.start():
            await asyncio.sleep(BIND_EVERY)
        self.swim = Swim(
            self.name, self.config.udp, self.config.seeds, int(time.time() * 1000), random.Random(), loop.time()
        )
        self.swim.set_metadata(self.meta)
        log.event("members", name=self.name, udp=self.config.udp, seeds=len(self.config.seeds))
        while True:
            await asyncio.sleep(TICK)
            try:
                self._done(self.swim.tick(loop.time()))
                self._divide(loop.time())
            except Exception as error:  # must not end the calls, nor the membership
                log.event("fault", where="members", error=repr(error), trace=log.trace(error))

    def _divide(self, now: float) -> None:
        if self.swim is None:
            return
        divisor = self.shares.told(now, len(self.swim.living()))
        if divisor != self.divisor:
            log.event("members_divide", living=len(self.swim.living()), divisor=divisor)
            self.divisor = divisor
            if self.config.follow_limits:
                self.divide(divisor)

    def _received(self, data: bytes, address: tuple[str, int]) -> None:
        if self.swim is None:
            return
        at = f"{address[0]}:{address[1]}"
        message = self.guard.open(data, at, time.time())
        for reason in self.guard.news:
            log.event("member_dropped", reason=reason, peer=at, dropped=self.guard.dropped[reason])
        self.guard.news.clear()
        if message:
            self._done(self.swim.received(asyncio.get_running_loop().time(), at, message))

    def _done(self, out: Out) -> None:
        assert self.swim is not None
        for name, facts in self.swim.pending_events:
            log.event(name, **facts)
        self.swim.pending_events.clear()
        for address, message in out:
            if self.endpoint:
                self.endpoint.send(self.guard.seal(message, time.time()), split_address(address))

    def relative_rank(self) -> float:
        """Ours among the living, from 0 to 1."""
        living = self.swim.living() if self.swim else []
        return living.index(self.name) / len(living) if self.name in living else 0.0

    def peer_metadata(self) -> dict[str, str]:
        """What the living others tell, by name."""
        members = self.swim.members.values() if self.swim else ()
        return {
            one.item.name: one.item.meta.decode("utf-8", "replace")
            for one in members
            if one.item.status <= Status.SUSPECT
        }

    def set_metadata(self, meta: bytes) -> None:
        """What the others are to know of this instance."""
        self.meta = meta
        if self.swim:
            self.swim.set_metadata(meta)

    def rotate_keys(self, keys: MemberKeys) -> None:
        """Other keys from now on."""
        self.guard.rotate_keys(keys.accepted, keys.signing_key)

    def leave(self) -> None:
        """Say that this process goes."""
        if self.swim and not self.swim.left:
            self._done(self.swim.leave(asyncio.get_running_loop().time()))

    def close(self) -> None:
        """Close the socket."""
        if self.endpoint:
            self.endpoint.close()

    def table(self) -> dict[str, Any]:
        """What `/admin/members` shows."""
        if self.swim is None:
            return {"name": self.name, "joined": False, "members": []}
        rows = [self.swim.own, *(one.item for one in self.swim.members.values())]
        return {
            "name": self.name,
            "joined": True,
            "divisor": self.divisor,
            "health": self.swim.health,
            "twin": self.swim.twin[0] if self.swim.twinned else "",
            "dropped": self.guard.dropped,
            "members": [
                {
                    "name": one.name,
                    "address": one.address,
                    "status": one.status.name.lower(),
                    "incarnation": one.incarnation,
                    "meta": one.meta.decode("utf-8", "replace"),
                }
                for one in sorted(rows, key=lambda one: one.name)
            ],
        }
