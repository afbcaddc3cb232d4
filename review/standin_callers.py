"""Callers on one connection to an agent, and the front's test."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import standin_wire as wire


@dataclass
class Call:
    """What one caller saw of its call; Unix times, 0 if it has not happened."""

    ident: str
    sent: float
    answers: list[tuple[float, int, bytes]] = field(default_factory=list)
    releases: list[tuple[float, str]] = field(default_factory=list)  # by the agent, with their causes
    released: float = 0.0  # by the caller


class Callers:
    """The callers that share one connection to an agent."""

    def __init__(self, address: tuple[str, int], log: Callable[..., None]) -> None:
        self.address, self.log = address, log
        self.calls: dict[str, Call] = {}
        self.wire: wire.Wire | None = None
        self.tests: list[int] = []

    async def connect(self) -> None:
        """Open the connection."""
        loop = asyncio.get_running_loop()
        _, made = await loop.create_connection(
            lambda: wire.Wire(lambda one: None, self._received, lambda one: self.log("caller_disconnected")),
            *self.address,
        )
        self.wire = made

    def set_up(self, ident: str, cos: str, patience_ms: int, pool: int, tenant: str = "") -> None:
        """Send a set-up."""
        assert self.wire is not None
        extra = {"X-Cos": cos, "X-Timer-Ms": str(patience_ms), "X-Legs": f"dest:{pool};width:1;via:-1"}
        if tenant:
            extra["X-Operator"] = tenant
        self.calls[ident] = Call(ident, time.time())
        self.log("caller_sets_up", call=ident, pool=pool)
        self.wire.send(wire.request("INVITE", ident, f"36{ident[:8]}", extra, f"{ident}\r\n".encode()))

    def release(self, ident: str) -> None:
        """The caller ends its call."""
        assert self.wire is not None
        self.calls[ident].released = time.time()
        self.log("caller_releases", call=ident)
        self.wire.send(wire.request("BYE", ident, "call", {"Reason": "Q.850;cause=16"}))

    async def passes_test(self) -> bool:
        """Whether the agent passes the front's test."""
        assert self.wire is not None
        before = len(self.tests)
        self.wire.send(wire.request("OPTIONS", "0000000000000000", "ping"))
        for _ in range(50):
            await asyncio.sleep(0.02)
            if len(self.tests) > before:
                return self.tests[-1] == 200
        return False

    def _received(self, one: wire.Wire, message: wire.Message) -> None:
        now = time.time()
        if message.method == "BYE":
            one.send(wire.answer(message, 200))
            self.log("caller_gets_release", call=message.ident, cause=message.cause)
            if call := self.calls.get(message.ident):
                call.releases.append((now, message.cause))
        elif message.answers == "OPTIONS":
            self.tests.append(message.status)
        elif message.answers == "INVITE" and message.status >= 200:
            one.send(wire.request("ACK", message.ident, "call"))
            self.log("caller_gets_answer", call=message.ident, status=message.status)
            if call := self.calls.get(message.ident):
                call.answers.append((now, message.status, message.body))
