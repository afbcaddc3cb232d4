"""The one helper of the network tests: scripted peers over loopback sockets, and an agent between them."""

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
from seamlb.protocol.sip import Framer, Message
from seamlb.routing.model import Desk
from tests.support import RAW

HANG_TIMEOUT = 20.0  # only ends a test that hangs; no test measures it


SDP = b"v=0 \xff\x00 byte for byte\r\n"


class Peer:
    """One TCP connection of a scripted peer: sends messages, takes what comes in order."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.framer, self.ready = Framer(), list[Message]()

    @classmethod
    async def connect(cls, address: str) -> Peer:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    @classmethod
    async def connect_and_send(cls, address: str, message: Message) -> Peer:
        """Connect and send before this loop, which is also the agent's, can accept the connection."""
        host, _, port = address.rpartition(":")
        connected = socket.create_connection((host, int(port)))
        connected.sendall(message.encode())
        return cls(*await asyncio.open_connection(sock=connected))

    def send(self, message: Message | bytes) -> None:
        self.writer.write(message if isinstance(message, bytes) else message.encode())

    async def next(self) -> Message:
        """The next message; EOFError at the end."""
        while not self.ready:
            data = await asyncio.wait_for(self.reader.read(65536), HANG_TIMEOUT)
            if not data:
                raise EOFError
            self.framer.feed(data)
            self.ready += [one for one in self.framer.messages() if isinstance(one, Message)]
        return self.ready.pop(0)

    async def until(self, what: str | int) -> Message:
        """Pass over messages until one of that method or status."""
        while True:
            message = await self.next()
            if what in (message.method, message.status):
                return message

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        self.writer.transport.abort()


Script = Callable[[Peer, Message], Awaitable[None]]


class ScriptedDesk:
    """A desk of the platform's dialect: tells its group's state, then plays its script for each INVITE."""

    def __init__(self, script: Script | None = None, report: str = "idle:5;circuits:5") -> None:
        self.script, self.report = script or answer, report
        self.mute = False  # takes connections and says nothing on them
        self.parting = b""  # sent once the other side has ended the connection
        self.peers: list[Peer] = []
        self.received: asyncio.Queue[Message] = asyncio.Queue()

    async def start(self, port: int = 0) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        self.peers.append(peer)
        if self.mute:
            return
        state = [("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", self.report)]
        peer.send(Message("NOTIFY", "sip:exchange@net", headers=state))
        try:
            while True:
                message = await peer.next()
                self.received.put_nowait(message)
                if message.method == "INVITE":
                    await self.script(peer, message)
        except (EOFError, OSError, asyncio.CancelledError):
            writer.write(self.parting)
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
    """As the platform's desks write it: the id, and a CSeq number of their own."""
    headers = [("Call-ID", invite.get("call-id")), ("CSeq", "1 INVITE"), *extra]
    return Message(status=status, reason="X", headers=headers, body=body)


async def answer(peer: Peer, invite: Message) -> None:
    peer.send(reply(invite, 200, body=SDP))


def refuse(status: int, *extra: tuple[str, str]) -> Script:
    async def script(peer: Peer, invite: Message) -> None:
        peer.send(reply(invite, status, *extra))

    return script


async def never_answer(peer: Peer, invite: Message) -> None:
    """Say nothing to a set-up."""


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
    """A checked configuration whose settings may be changed by top-level key."""
    settings = dict(RAW) | change.pop("settings", {})
    told = change.pop("told", Overrides())
    return read({"listen": "127.0.0.1:0", "seed": "1", "settings": settings, **change}, told)


class Stops(Protocol):
    async def stop(self) -> None: ...


class DaemonTestCase(unittest.IsolatedAsyncioTestCase):
    """A daemon's parts between scripted desks and callers; logs go to `self.logged`."""

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
        """An agent whose list names these desks, pools 0, 1, 2 in order."""
        daemon = Daemon(config(**change))
        self.addAsyncCleanup(self._stop, daemon, desks)
        daemon.front.start()
        daemon.lifecycle.started(0.0)
        self.address = f"127.0.0.1:{daemon.front.listener.port}"
        daemon.agent.list_changed(api.Scope.CACHED, [self.desk(k, await d.start()) for k, d in enumerate(desks)])
        for place, one in enumerate(desks):
            await self.eventually(lambda one=one: one.peers)
            await self.eventually(lambda place=place: daemon.agent.module.node.fleet.servers[place].reported_at > 0)
            self.fill_budget(daemon, place)
        return daemon

    async def _stop(self, daemon: Daemon, desks: tuple[Stops, ...]) -> None:
        await daemon.close()
        for desk in desks:
            await desk.stop()

    @staticmethod
    def desk(place: int, address: str, phase: int = 1, since: float = 0.0) -> Desk:
        return Desk(f"d{place}", address, 0, place, phase, since)

    @staticmethod
    def fill_budget(daemon: Daemon, place: int) -> None:
        """Give a desk its full budget, which begins at random: the stories are not about rule 4."""
        core = daemon.agent.module.node.fleet.servers[place]
        core.cold_from, core.tokens = float("-inf"), 2.0

    async def caller(self) -> Peer:
        peer = await Peer.connect(self.address)
        self.addCleanup(peer.close)
        return peer

    async def eventually(self, true: Callable[[], Any]) -> None:
        async with asyncio.timeout(HANG_TIMEOUT):
            while not true():
                await asyncio.sleep(0.005)
