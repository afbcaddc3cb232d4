"""Runs the membership protocol on a UDP socket and derives the divisor of fleet-wide limits from it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from seamlb import log
from seamlb.members.authentication import DatagramAuthenticator
from seamlb.members.limit_divisor import LimitDivisor
from seamlb.members.settings import MemberKeys, MembersConfig
from seamlb.members.swim import Outgoing, Swim
from seamlb.members.wire import MAX_NAME_BYTES, Status
from seamlb.net.address import split_address
from seamlb.net.datagram import DatagramEndpoint

TICK_S = 0.1  # between two runs of the protocol's timers
BIND_RETRY_S = 0.5  # between two attempts to bind an address that the previous process still holds


class MembershipService:
    """This instance's membership of the fleet.

    `on_divisor` is called with each new divisor of fleet-wide limits, unless `follow_limits` is 0. `address_shared`:
    a previous process may still hold the address.
    """

    def __init__(
        self,
        config: MembersConfig,
        keys: MemberKeys,
        name: str,
        configured: int,
        address_shared: bool,
        on_divisor: Callable[[int], None],
    ) -> None:
        self.config, self.name, self.address_shared, self.on_divisor = (
            config,
            name[:MAX_NAME_BYTES],
            address_shared,
            on_divisor,
        )
        self.authenticator = DatagramAuthenticator(keys.accepted, keys.signing_key, time.time())
        self.limit_divisor = LimitDivisor(configured)
        self.divisor = configured
        self.endpoint: DatagramEndpoint | None = None
        self.swim: Swim | None = None
        self.meta = b""

    async def start(self) -> bool:
        """Bind the socket; False if the previous process still holds the address, and the name with it."""
        try:
            self.endpoint = await DatagramEndpoint.bind(self.config.udp, "members", self._received)
        except OSError:
            if not self.address_shared:
                raise
            return False
        return True

    async def run(self) -> None:
        """Bind the socket if `start` could not, join, and run until cancelled."""
        loop = asyncio.get_running_loop()
        while self.endpoint is None and not await self.start():
            await asyncio.sleep(BIND_RETRY_S)
        self.swim = Swim(
            self.name, self.config.udp, self.config.seeds, int(time.time() * 1000), random.Random(), loop.time()
        )
        self.swim.set_metadata(self.meta)
        log.event("members", name=self.name, udp=self.config.udp, seeds=len(self.config.seeds))
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self._flush(self.swim.tick(loop.time()))
                self._update_divisor(loop.time())
            except Exception as error:  # a fault here must end neither calls nor membership
                log.event("fault", where="members", error=repr(error), trace=log.trace(error))

    def _update_divisor(self, now: float) -> None:
        if self.swim is None:
            return
        divisor = self.limit_divisor.update(now, len(self.swim.alive_names()))
        if divisor != self.divisor:
            log.event("members_divide", living=len(self.swim.alive_names()), divisor=divisor)
            self.divisor = divisor
            if self.config.follow_limits:
                self.on_divisor(divisor)

    def _received(self, data: bytes, address: tuple[str, int]) -> None:
        if self.swim is None:
            return
        peer = f"{address[0]}:{address[1]}"
        message = self.authenticator.open(data, peer, time.time())
        for reason in self.authenticator.unlogged_reasons:
            log.event("member_dropped", reason=reason, peer=peer, dropped=self.authenticator.dropped[reason])
        self.authenticator.unlogged_reasons.clear()
        if message:
            self._flush(self.swim.received(asyncio.get_running_loop().time(), peer, message))

    def _flush(self, out: Outgoing) -> None:
        assert self.swim is not None
        for event, fields in self.swim.pending_events:
            log.event(event, **fields)
        self.swim.pending_events.clear()
        for address, message in out:
            if self.endpoint:
                self.endpoint.send(self.authenticator.seal(message, time.time()), split_address(address))

    def relative_rank(self) -> float:
        """This instance's index among the sorted alive instances over their number, from 0 to below 1."""
        alive = self.swim.alive_names() if self.swim else []
        return alive.index(self.name) / len(alive) if self.name in alive else 0.0

    def peer_metadata(self) -> dict[str, str]:
        """Published metadata of the other alive instances, by name."""
        members = self.swim.members.values() if self.swim else ()
        return {
            one.record.name: one.record.meta.decode("utf-8", "replace")
            for one in members
            if one.record.status <= Status.SUSPECT
        }

    def set_metadata(self, meta: bytes) -> None:
        """Publish metadata of this instance to the others."""
        self.meta = meta
        if self.swim:
            self.swim.set_metadata(meta)

    def rotate_keys(self, keys: MemberKeys) -> None:
        """Replace the keys."""
        self.authenticator.rotate_keys(keys.accepted, keys.signing_key)

    def leave(self) -> None:
        """Announce that this process leaves."""
        if self.swim and not self.swim.left:
            self._flush(self.swim.leave(asyncio.get_running_loop().time()))

    def close(self) -> None:
        """Close the socket."""
        if self.endpoint:
            self.endpoint.close()

    def table(self) -> dict[str, Any]:
        """The response body of `/admin/members`."""
        if self.swim is None:
            return {"name": self.name, "joined": False, "members": []}
        rows = [self.swim.own, *(one.record for one in self.swim.members.values())]
        return {
            "name": self.name,
            "joined": True,
            "divisor": self.divisor,
            "health": self.swim.health,
            "twin": self.swim.duplicate[0] if self.swim.has_duplicate else "",
            "dropped": self.authenticator.dropped,
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
