"""What the process does about its connections while it serves and as it ends, by what its lifecycle says."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from seamlb import log
from seamlb.desks.platform import PlatformDesks
from seamlb.fronts.platform import PlatformFront
from seamlb.lifecycle import Lifecycle, Phase
from seamlb.routing.agent import Agent

if TYPE_CHECKING:
    from seamlb.fronts.sip import SipFront  # loaded only where it is on

UPDATE_INTERVAL_S = 0.05  # seconds between two looks at what the lifecycle wants of listeners and connections


class Drain:
    """Closes listeners and connections in good order; `sip` and `servers` may be off."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        agent: Agent,
        front: PlatformFront,
        sip: SipFront | None,
        servers: PlatformDesks | None,
    ) -> None:
        self.lifecycle, self.agent, self.front, self.sip, self.servers = lifecycle, agent, front, sip, servers
        front.on_disconnect = self._leave_servers

    def update(self) -> None:
        """Have the fronts do what the lifecycle says now."""
        now = asyncio.get_running_loop().time()
        if self.sip:
            self.sip.apply_lifecycle(now)
        if self.lifecycle.phase is not Phase.DRAINING or not self._callers_are_owed():
            self.front.apply_lifecycle(now)
        self._leave_servers()

    def _callers_are_owed(self) -> bool:
        """Has a server sent or said something that callers have to be told before their connections go?"""
        return self.agent.has_unprocessed_updates() or (self.servers is not None and self.servers.has_unread_data())

    def _leave_servers(self) -> None:
        """In a drain, end the connections to servers in one step with the last caller's that reads.

        A release taken after that could be told to nobody, and its server sends it to the next process only if this
        one has not taken it.
        """
        draining = self.lifecycle.phase is Phase.DRAINING and not self.agent.unanswered
        now = asyncio.get_running_loop().time()
        if self.servers and draining and self.lifecycle.may_exit(now, 0, self.front.reachable_connections()):
            self.servers.close()

    async def run(self) -> None:
        """Drain: keep taking, answer all that was taken, until nothing is left or the time is over."""
        loop = asyncio.get_running_loop()
        self.lifecycle.terminate(loop.time())
        self.update()  # from now on a shared socket is the other process's alone
        log.event("draining", open=self.agent.unanswered)
        while not self.lifecycle.may_exit(loop.time(), self.agent.unanswered, len(self.front.clients)):
            await asyncio.sleep(UPDATE_INTERVAL_S)
        if self.agent.unanswered:
            log.event("drain_late", open=self.agent.unanswered)
            self.agent.fail_unanswered()
            await self.agent.idle.wait()
        self._leave_servers()
        self.lifecycle.ended(loop.time())
