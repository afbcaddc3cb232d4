"""A SIP telephone over UDP (RFC 3261): sets calls up, repeats what is lost, acknowledges, and takes releases."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import standin_wire as wire
from standin_callers import Call

T1, T2 = 0.5, 4.0  # seconds


class Phone(asyncio.DatagramProtocol):
    """One telephone with any number of calls."""

    def __init__(self, agent: tuple[str, int], log: Callable[..., None]) -> None:
        self.agent, self.log = agent, log
        self.calls: dict[str, Call] = {}
        self.repeating: dict[str, asyncio.Task[None]] = {}

    @classmethod
    async def start(cls, agent: tuple[str, int], log: Callable[..., None]) -> Phone:
        """Bind a port of its own."""
        loop = asyncio.get_running_loop()
        _, phone = await loop.create_datagram_endpoint(lambda: cls(agent, log), local_addr=("127.0.0.1", 0))
        return phone

    def connection_made(self, transport: Any) -> None:
        """Keep the transport (asyncio callback)."""
        self.transport = transport
        self.host = "{}:{}".format(*transport.get_extra_info("sockname"))

    def _headers(self, ident: str, method: str, number: int, to: str) -> dict[str, str]:
        return {
            "Via": f"SIP/2.0/UDP {self.host};branch=z9hG4bK{ident}{number}{method}",
            "Max-Forwards": "70",
            "From": f"<sip:officer@{self.host}>;tag={ident}",
            "To": to,
            "Call-ID": ident,
            "CSeq": f"{number} {method}",
            "Contact": f"<sip:officer@{self.host}>",
        }

    def set_up(self, ident: str, cos: str, patience_ms: int, pool: int, tenant: str) -> None:
        """Send a set-up, and repeat it until there is a response."""
        headers = self._headers(ident, "INVITE", 1, f"<sip:36{ident[:8]}@127.0.0.1>")
        headers |= {"X-Cos": cos, "X-Operator": tenant, "X-Timer-Ms": str(patience_ms)}
        headers |= {"X-Legs": f"dest:{pool};width:1;via:-1", "Content-Type": "application/sdp"}
        data = wire.encode(f"INVITE sip:36{ident[:8]}@127.0.0.1 SIP/2.0", headers, f"{ident}\r\n".encode())
        self.calls[ident] = Call(ident, time.time())
        self.log("phone_sets_up", call=ident, pool=pool)
        self.repeating[ident] = asyncio.get_running_loop().create_task(self._repeat(data))

    async def _repeat(self, data: bytes) -> None:
        pause = T1
        while True:
            self.transport.sendto(data, self.agent)
            await asyncio.sleep(pause)
            pause = min(2 * pause, T2)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle a message (asyncio callback)."""
        for message in wire.Framer().feed(data):
            self._received(message, addr)

    def _received(self, message: wire.Message, addr: Any) -> None:
        ident, now = message.ident, time.time()
        if message.method == "BYE":
            copied = {name: message.headers[name.lower()] for name in ("Via", "From", "To", "Call-ID", "CSeq")}
            self.transport.sendto(wire.encode("SIP/2.0 200 OK", copied), addr)
            self.log("phone_gets_release", call=ident, cause=message.cause)
            if call := self.calls.get(ident):
                call.releases.append((now, message.cause))
        elif message.answers == "INVITE" and ident in self.calls:
            self.repeating[ident].cancel()
            if message.status >= 200:
                headers = self._headers(ident, "ACK", 1, message.headers["to"])
                if message.status >= 300:
                    headers["Via"] = message.headers["via"]
                self.transport.sendto(wire.encode("ACK sip:seamlb@127.0.0.1 SIP/2.0", headers), self.agent)
                self.log("phone_gets_answer", call=ident, status=message.status)
                self.calls[ident].answers.append((now, message.status, message.body))
