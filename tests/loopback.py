"""The one helper of the network tests: scripted peers over loopback sockets, and an agent between them."""

from __future__ import annotations

import asyncio
import json
import os
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from seamlb import api
from seamlb.config import Config, Told, read
from seamlb.daemon import Daemon
from seamlb.extras import Plugins, SipDesksConfig
from seamlb.protocol.sip import Framer, Message, parameter, parse_datagram, response
from seamlb.routing.model import Desk
from seamlb.sip.settings import SipFrontConfig
from tests.support import RAW

PATIENCE = 20.0  # only ends a test that hangs; no test measures it
SDP = b"v=0 \xff\x00 byte for byte\r\n"


class Peer:
    """One TCP connection of a scripted peer: sends messages, takes what comes in order."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.framer, self.ready = Framer(), list[Message]()

    @classmethod
    async def dial(cls, address: str) -> Peer:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, message: Message | bytes) -> None:
        self.writer.write(message if isinstance(message, bytes) else message.encode())

    async def next(self) -> Message:
        """The next message; EOFError at the end."""
        while not self.ready:
            data = await asyncio.wait_for(self.reader.read(65536), PATIENCE)
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


class Udp(asyncio.DatagramProtocol):
    """A scripted peer's UDP socket, with the calls of `Peer`."""

    def __init__(self) -> None:
        self.got: asyncio.Queue[tuple[Message, Any]] = asyncio.Queue()
        self.address, self.source = "", ("", 0)

    @classmethod
    async def bind(cls, target: str = "127.0.0.1:9") -> Udp:
        loop = asyncio.get_running_loop()
        transport, peer = await loop.create_datagram_endpoint(cls, local_addr=("127.0.0.1", 0))
        peer.transport, peer.address = transport, "{}:{}".format(*transport.get_extra_info("sockname"))
        host, _, port = target.rpartition(":")
        peer.source = (host, int(port))
        return peer

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.got.put_nowait((parse_datagram(data), addr))

    def send(self, message: Message | bytes) -> None:
        self.transport.sendto(message if isinstance(message, bytes) else message.encode(), self.source)

    async def next(self) -> Message:
        message, self.source = await asyncio.wait_for(self.got.get(), PATIENCE)
        return message

    until = Peer.until

    def close(self) -> None:
        self.transport.close()


Script = Callable[[Peer, Message], Awaitable[None]]


class ScriptedDesk:
    """A desk of the platform's dialect: tells its group's state, then plays its script for each INVITE."""

    def __init__(self, script: Script | None = None, report: str = "idle:5;circuits:5") -> None:
        self.script, self.report = script or answer, report
        self.mute = False  # takes connections and says nothing on them
        self.parting = b""  # sent once the other side has ended the connection
        self.peers: list[Peer] = []
        self.seen: asyncio.Queue[Message] = asyncio.Queue()

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
                self.seen.put_nowait(message)
                if message.method == "INVITE":
                    await self.script(peer, message)
        except (EOFError, OSError, asyncio.CancelledError):
            writer.write(self.parting)
            writer.close()

    async def until(self, method: str) -> Message:
        while True:
            message = await asyncio.wait_for(self.seen.get(), PATIENCE)
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


async def silent(peer: Peer, invite: Message) -> None:
    """Say nothing to a set-up."""


def bye(ident: str, cause: int) -> Message:
    return Message("BYE", "sip:x@net", headers=[
        ("Call-ID", ident), ("CSeq", "2 BYE"), ("Reason", f"Q.850;cause={cause}")])


def invite(ident: str = "00000000000000a1", dest: int = 0, timer: int = 3000, kind: str = "a") -> Message:
    return Message("INVITE", "sip:1234@net", headers=[
        ("Via", "SIP/2.0/TCP peer"), ("Call-ID", ident), ("CSeq", "1 INVITE"), ("X-Cos", kind),
        ("X-Timer-Ms", str(timer)), ("X-Legs", f"dest:{dest};width:1;via:-1")], body=b"offer")


def plain(method: str, ident: str = "00000000000000a1", *extra: tuple[str, str]) -> Message:
    return Message(method, "sip:1234@net", headers=[
        ("Via", "SIP/2.0/TCP peer"), ("Call-ID", ident), ("CSeq", f"1 {method}"), *extra])


class SipCaller:
    """A SIP telephone over UDP or TCP, one call at a time, from the public specification."""

    count = 0

    def __init__(self, peer: Peer | Udp, transport: str, address: str) -> None:
        self.peer, self.transport, self.address = peer, transport.upper(), address
        self.seq = 0
        self.renew()

    @classmethod
    async def dial(cls, target: str, transport: str) -> SipCaller:
        if transport == "udp":
            udp = await Udp.bind(target)
            return cls(udp, transport, udp.address)
        peer = await Peer.dial(target)
        return cls(peer, transport, "{}:{}".format(*peer.writer.get_extra_info("sockname")))

    def renew(self) -> None:
        """Forget the last call."""
        SipCaller.count += 1
        self.call, self.tag, self.to = f"call{self.count}", f"t{self.count}", "<sip:desk@net>"
        self.target = "sip:desk@net"

    def build(self, method: str, *extra: tuple[str, str], number: str = "ok", **change: Any) -> Message:
        if method not in ("ACK", "CANCEL"):
            self.seq += 1
        seq = change.get("seq", self.seq)
        branch = change.get("branch", f"z9hG4bK{self.call}-{seq}{'a' if method == 'ACK' else ''}")
        uri = f"sip:{number}@net" if method in ("INVITE", "CANCEL", "OPTIONS") else self.target
        return Message(method, uri, headers=[
            ("Via", f"SIP/2.0/{self.transport} {self.address};branch={branch};rport"),
            ("Max-Forwards", "70"), ("From", f"<sip:me@net>;tag={self.tag}"), ("To", self.to),
            ("Call-ID", self.call), ("CSeq", f"{seq} {method}"),
            ("Contact", f"<sip:me@{self.address};transport={self.transport.lower()}>"), *extra,
        ], body=b"offer" if method == "INVITE" else b"")

    async def invite(self, number: str = "ok", *extra: tuple[str, str]) -> Message:
        """Set a call up; its final answer, acknowledged."""
        self.renew()
        self.sent = self.build("INVITE", *extra, number=number)
        self.peer.send(self.sent)
        return await self.final()

    async def final(self) -> Message:
        while True:
            answer = await self.peer.next()
            if answer.status >= 200 and answer.cseq()[1] == "INVITE":
                break
        self.ack(answer)
        return answer

    def ack(self, answer: Message) -> None:
        if answer.status < 300:
            self.to = answer.get("to")
            self.target = answer.get("contact").partition("<")[2].partition(">")[0]
            self.peer.send(self.build("ACK"))
        else:
            branch = parameter(self.sent.get("via"), "branch")
            ack = self.build("ACK", branch=branch)
            ack.headers = [(n, answer.get("to") if n == "To" else v) for n, v in ack.headers]
            self.peer.send(ack)


class SipDesk:
    """A SIP desk over UDP or TCP: what it does with a set-up is told by the number called."""

    def __init__(self) -> None:
        self.seen: list[Message] = []
        self.hold: dict[str, Message] = {}
        self.peer: Peer | Udp | None = None

    async def start(self, transport: str) -> str:
        self.transport = transport
        if transport == "udp":
            self.peer = udp = await Udp.bind()
            self.address = udp.address
            self.task = asyncio.create_task(self._loop(udp))
            return self.address
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self.address

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.peer = Peer(reader, writer)
        await self._loop(self.peer)

    async def _loop(self, peer: Peer | Udp) -> None:
        try:
            while True:
                message = await peer.next()
                self.seen.append(message)
                if message.method == "INVITE" and self.methods().count("INVITE") > len(self.hold):
                    self._invite(peer, message)
                elif message.method == "CANCEL":
                    peer.send(response(message, 200, tag="desk"))
                    if (held := self.hold.get(message.get("call-id"))) and held.uri.startswith("sip:slow"):
                        peer.send(response(held, 487, tag="desk"))
                elif message.method == "BYE":
                    peer.send(response(message, 200))
        except (EOFError, OSError, asyncio.CancelledError):
            peer.close()

    def _invite(self, peer: Peer | Udp, message: Message) -> None:
        self.hold[message.get("call-id")] = message
        number = message.uri[4:].partition("@")[0]
        peer.send(response(message, 100))
        if number.startswith("ok"):
            self.accept(message)
        elif number.isdigit():
            peer.send(response(message, int(number), ("X-Diagnosis", "acc"), tag="desk"))
        elif number == "drop":
            assert isinstance(peer, Peer)
            peer.reset()

    def accept(self, message: Message) -> None:
        contact = ("Contact", f"<sip:desk@{self.address};transport={self.transport}>")
        self.peer.send(response(message, 200, contact, body=SDP, tag="desk"))

    def bye(self, ident: str) -> None:
        held = self.hold[ident]
        contact = held.get("contact").partition("<")[2].partition(">")[0]
        self.peer.send(Message("BYE", contact, headers=[
            ("Via", f"SIP/2.0/{self.transport.upper()} {self.address};branch=z9hG4bKbye{ident}"),
            ("Max-Forwards", "70"), ("From", held.get("to") + ";tag=desk"), ("To", held.get("from")),
            ("Call-ID", ident), ("CSeq", "1 BYE"), ("Reason", "Q.850;cause=16")]))

    def methods(self) -> list[str]:
        return [one.method for one in self.seen if one.method]

    async def stop(self) -> None:
        if self.transport == "tcp":
            self.server.close()
        if self.peer:
            self.peer.close()


Handler = Callable[["Stand", str], Awaitable[bytes | None]]


class Stand:
    """An HTTP server whose handler gives each answer's bytes; None closes the connection."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.paths: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self, port: int = 0) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.decode().split(" ")[1]
                self.paths.append(path)
                answer = await self.handler(self, path)
                if answer is None:
                    return writer.close()
                writer.write(answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()


def http(body: Any, index: int | None = None, status: int = 200) -> bytes:
    data = json.dumps(body).encode()
    extra = "" if index is None else f"X-Consul-Index: {index}\r\n"
    return f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(data)}\r\n\r\n".encode() + data


def notices(rev: int, *members: tuple[str, str], complete: bool = False) -> dict[str, Any]:
    listed = [{"id": name, "host_port": "127.0.0.1:9", "locality": "z", "cell": 1, "phase": phase}
              for name, phase in members]
    return {"rev": rev, "notices": [{"rev": rev, "pool": {"complete": complete, "members": listed}}]}


def config(**change: Any) -> Config:
    """A checked configuration whose settings may be changed by top-level key."""
    settings = dict(RAW) | change.pop("settings", {})
    told = change.pop("told", Told())
    return read({"listen": "127.0.0.1:0", "seed": "1", "settings": settings, **change}, told)


class Story(unittest.IsolatedAsyncioTestCase):
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
            await self.eventually(lambda place=place: daemon.agent.module.cores[place].told > 0)
            self.warm(daemon, place)
        return daemon

    async def _stop(self, daemon: Daemon, desks: tuple[ScriptedDesk | SipDesk, ...]) -> None:
        await daemon.close()
        for desk in desks:
            await desk.stop()

    async def start_sip(self, transport: str = "udp", front: dict[str, Any] | None = None, **change: Any) -> Daemon:
        """An agent with the sip front on UDP and TCP, before one sip desk of pool 0."""
        self.standin = SipDesk()
        address = await self.standin.start(transport)
        own = {"udp": "127.0.0.1:0", "tcp": "127.0.0.1:0"}
        sip = SipFrontConfig(**own, default_class="a", **(front or {}))
        plugins = Plugins(sip=sip, desks=SipDesksConfig(transport, **own), hook=change.pop("hook", ""))
        daemon = Daemon(config(**change), plugins)
        self.addAsyncCleanup(self._stop, daemon, (self.standin,))
        await daemon.start()
        daemon.agent.list_changed(api.Scope.CACHED, [self.desk(0, address)])
        self.warm(daemon, 0)
        return daemon

    async def sip_caller(self, daemon: Daemon, transport: str) -> SipCaller:
        caller = await SipCaller.dial(daemon.sip.endpoint.addresses[transport.upper()], transport)
        self.addCleanup(caller.peer.close)
        return caller

    @staticmethod
    def desk(place: int, address: str, phase: int = 1, since: float = 0.0) -> Desk:
        return Desk(f"d{place}", address, 0, place, phase, since)

    @staticmethod
    def warm(daemon: Daemon, place: int) -> None:
        """Give a desk its full budget, which begins at random: the stories are not about rule 4."""
        core = daemon.agent.module.cores[place]
        core.cold_from, core.tokens = float("-inf"), 2.0

    async def caller(self) -> Peer:
        peer = await Peer.dial(self.address)
        self.addCleanup(peer.close)
        return peer

    async def eventually(self, true: Callable[[], Any]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not true():
                await asyncio.sleep(0.005)
