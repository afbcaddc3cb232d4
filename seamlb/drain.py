"""Applies the state of the lifecycle to listeners and connections, and runs the drain at the end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from seamlb import log
from seamlb.desks.platform import PlatformDesks
from seamlb.fronts.platform import PlatformFront
from seamlb.lifecycle import Lifecycle, Phase
from seamlb.routing.agent import Agent

if TYPE_CHECKING:
    from seamlb.fronts.sip import SipFront  # imported only if enabled

UPDATE_INTERVAL_S = 0.05  # between two applications of the lifecycle to listeners and connections


class Drain:
    """Closes listeners and connections in order; `sip` and `servers` are None if not enabled."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        agent: Agent,
        front: PlatformFront,
        sip: SipFront | None,
        servers: PlatformDesks | None,
    ) -> None:
        self.lifecycle, self.agent, self.front, self.sip, self.servers = lifecycle, agent, front, sip, servers
        front.on_disconnect = self._close_server_connections

    def update(self) -> None:
        """Apply the current state of the lifecycle to the fronts and to connections to servers."""
        now = asyncio.get_running_loop().time()
        if self.sip:
            self.sip.apply_lifecycle(now)
        if self.lifecycle.phase is not Phase.DRAINING or not self._updates_pending():
            self.front.apply_lifecycle(now)
        self._close_server_connections()

    def _updates_pending(self) -> bool:
        """Is there an update from a server, read or unread, to relay to callers before their connections close?"""
        is_unprocessed = any(session.inbox.has_desk_update() for session in self.agent.sessions.values())
        return is_unprocessed or (self.servers is not None and self.servers.has_unread_data())

    def _close_server_connections(self) -> None:
        """In a drain, close the connections to servers together with the last connection of a caller that reads.

        A release read after that could not be relayed to any caller, and its server sends it to the next process only
        if this one has not accepted it.
        """
        draining = self.lifecycle.phase is Phase.DRAINING and not self.agent.unanswered
        now = asyncio.get_running_loop().time()
        if self.servers and draining and self.lifecycle.may_exit(now, 0, self.front.reachable_connections()):
            self.servers.close()

    async def run(self) -> None:
        """Drain: accept for a while and answer all accepted calls, until none is left or the time is over."""
        loop = asyncio.get_running_loop()
        self.lifecycle.terminate(loop.time())
        self.update()  # leaves a shared socket to the other process alone
        log.event("draining", open=self.agent.unanswered)
        while not self.lifecycle.may_exit(loop.time(), self.agent.unanswered, len(self.front.clients)):
            await asyncio.sleep(UPDATE_INTERVAL_S)
        if self.agent.unanswered:
            log.event("drain_late", open=self.agent.unanswered)
            self.agent.fail_unanswered()
            await self.agent.idle.wait()
        self._close_server_connections()
        self.lifecycle.ended(loop.time())
