"""Helpers of the network tests: scripted peers over loopback sockets, with an agent between them."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from seamlb import api
from seamlb.config import Config, Overrides, read
from seamlb.daemon import Daemon
from seamlb.protocol.framing import Framer
from seamlb.protocol.sip import Message, response
from seamlb.routing.model import Desk
from tests.support import RAW

HANG_TIMEOUT = 20.0  # seconds; only ends a test that hangs


SDP = b"v=0 \xff\x00 byte for byte\r\n"


class Peer:
    """One TCP connection of a scripted peer, which sends messages and returns received ones in order."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.framer, self.ready = Framer(), list[Message]()

    @classmethod
    async def connect(cls, address: str) -> Peer:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    @classmethod
    async def connect_and_send(cls, address: str, message: Message) -> Peer:
        """Connect and send before the agent, which runs in the same event loop, can accept the connection."""
        host, _, port = address.rpartition(":")
        connected = socket.create_connection((host, int(port)))
        connected.sendall(message.encode())
        return cls(*await asyncio.open_connection(sock=connected))

    def send(self, message: Message | bytes) -> None:
        self.writer.write(message if isinstance(message, bytes) else message.encode())

    async def next(self) -> Message:
        """Return the next message; raises EOFError at the end of the stream."""
        while not self.ready:
            data = await asyncio.wait_for(self.reader.read(65536), HANG_TIMEOUT)
            if not data:
                raise EOFError
            self.framer.feed(data)
            self.ready += [one for one in self.framer.messages() if isinstance(one, Message)]
        return self.ready.pop(0)

    async def until(self, expected: str | int) -> Message:
        """Return the next message with this method or status, and skip those before it."""
        while True:
            message = await self.next()
            if expected in (message.method, message.status):
                return message

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        self.writer.transport.abort()


Script = Callable[[Peer, Message], Awaitable[None]]


class ScriptedDesk:
    """A desk with the platform's dialect: it reports its state on each connection and runs a script per INVITE."""

    def __init__(self, script: Script | None = None, report: str = "idle:5;circuits:5") -> None:
        self.script, self.report = script or answer, report
        self.answers_tests = False  # answers OPTIONS
        self.hangs = False  # accepts connections and sends nothing on them
        self.farewell = b""  # sent once the peer has ended the connection
        self.peers: list[Peer] = []
        self.received: asyncio.Queue[Message] = asyncio.Queue()

    async def start(self, port: int = 0) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        self.peers.append(peer)
        if self.hangs:
            return
        state = [("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", self.report)]
        peer.send(Message("NOTIFY", "sip:exchange@net", headers=state))
        try:
            while True:
                message = await peer.next()
                self.received.put_nowait(message)
                if message.method == "INVITE":
                    await self.script(peer, message)
                elif message.method == "OPTIONS" and self.answers_tests:
                    peer.send(response(message, 200))
        except (EOFError, OSError, asyncio.CancelledError):
            writer.write(self.farewell)
            writer.close()

    async def until(self, method: str) -> Message:
        while True:
            message = await asyncio.wait_for(self.received.get(), HANG_TIMEOUT)
            if message.method == method:
                return message

    async def stop(self) -> None:
        self.server.close()
        for peer in self.peers:
            peer.reset()


def reply(invite: Message, status: int, *extra: tuple[str, str], body: bytes = b"") -> Message:
    """Build a response like the platform's desks: with the Call-ID, and with a CSeq number of their own."""
    headers = [("Call-ID", invite.get("call-id")), ("CSeq", "1 INVITE"), *extra]
    return Message(status=status, reason="X", headers=headers, body=body)


async def answer(peer: Peer, invite: Message) -> None:
    peer.send(reply(invite, 200, body=SDP))


def refuse(status: int, *extra: tuple[str, str]) -> Script:
    async def script(peer: Peer, invite: Message) -> None:
        peer.send(reply(invite, status, *extra))

    return script


async def never_answer(peer: Peer, invite: Message) -> None:
    """Do not respond to a set-up."""


def bye(ident: str, cause: int) -> Message:
    return Message(
        "BYE", "sip:x@net", headers=[("Call-ID", ident), ("CSeq", "2 BYE"), ("Reason", f"Q.850;cause={cause}")]
    )


def invite(ident: str = "00000000000000a1", dest: int = 0, timer: int = 3000, call_class: str = "a") -> Message:
    return Message(
        "INVITE",
        "sip:1234@net",
        headers=[
            ("Via", "SIP/2.0/TCP peer"),
            ("Call-ID", ident),
            ("CSeq", "1 INVITE"),
            ("X-Cos", call_class),
            ("X-Timer-Ms", str(timer)),
            ("X-Legs", f"dest:{dest};width:1;via:-1"),
        ],
        body=b"offer",
    )


def sip_request(method: str, ident: str = "00000000000000a1", *extra: tuple[str, str]) -> Message:
    return Message(
        method,
        "sip:1234@net",
        headers=[("Via", "SIP/2.0/TCP peer"), ("Call-ID", ident), ("CSeq", f"1 {method}"), *extra],
    )


def config(**change: Any) -> Config:
    """Build a validated configuration; `settings` overrides top-level keys of the default settings."""
    settings = dict(RAW) | change.pop("settings", {})
    told = change.pop("told", Overrides())
    return read({"listen": "127.0.0.1:0", "seed": "1", "settings": settings, **change}, told)


class Stoppable(Protocol):
    async def stop(self) -> None: ...


class DaemonTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with a daemon between scripted desks and callers; `self.logged` has its log events."""

    def setUp(self) -> None:
        super().setUp()
        self.logged: list[dict[str, Any]] = []
        real, write = os.write, self._write
        os.write = lambda fd, data: write(data) if fd == 1 else real(fd, data)
        self.addCleanup(setattr, os, "write", real)

    def _write(self, data: bytes) -> int:
        self.logged.append(json.loads(data))
        return len(data)

    def events(self, name: str) -> list[dict[str, Any]]:
        return [one for one in self.logged if one["event"] == name]

    async def start(self, *desks: ScriptedDesk, **change: Any) -> Daemon:
        """Start an agent with these desks, which belong to pools 0, 1, 2 in this order."""
        daemon = Daemon(config(**change))
        self.addAsyncCleanup(self._stop, daemon, desks)
        daemon.front.start()
        daemon.lifecycle.started(0.0)
        self.address = f"127.0.0.1:{daemon.front.listener.port}"
        daemon.agent.list_changed(api.Scope.CACHED, [self.desk(k, await d.start()) for k, d in enumerate(desks)])
        for pool, desk in enumerate(desks):
            await self.eventually(lambda desk=desk: desk.peers)
            await self.eventually(lambda pool=pool: daemon.agent.module.node.fleet.servers[pool].reported_at > 0)
            self.fill_budget(daemon, pool)
        return daemon

    async def _stop(self, daemon: Daemon, desks: tuple[Stoppable, ...]) -> None:
        await daemon.close()
        for desk in desks:
            await desk.stop()

    @staticmethod
    def desk(pool: int, address: str, phase: int = 1, since: float = 0.0) -> Desk:
        return Desk(f"d{pool}", address, 0, pool, phase, since)

    @staticmethod
    def fill_budget(daemon: Daemon, pool: int) -> None:
        """Fill the token budget of a desk, which starts at a random level: these tests are not about rule 4."""
        core = daemon.agent.module.node.fleet.servers[pool]
        core.cold_from, core.tokens = float("-inf"), 2.0

    async def caller(self) -> Peer:
        peer = await Peer.connect(self.address)
        self.addCleanup(peer.close)
        return peer

    async def eventually(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(HANG_TIMEOUT):
            while not condition():
                await asyncio.sleep(0.005)
