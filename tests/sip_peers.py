"""Scripted SIP phones and SIP desks over UDP and TCP."""

from __future__ import annotations

import asyncio
from typing import Any

from seamlb import api
from seamlb.daemon import Daemon
from seamlb.extras import Plugins, SipDesksConfig
from seamlb.protocol.sip import Message, parameter, response
from seamlb.sip.settings import SipFrontConfig
from tests.loopback import SDP, DaemonTestCase, Peer, config
from tests.udp_peer import UdpPeer


class SipCaller:
    """A SIP phone over UDP or TCP with one call at a time, implemented from RFC 3261."""

    count = 0

    def __init__(self, peer: Peer | UdpPeer, transport: str, address: str) -> None:
        self.peer, self.transport, self.address = peer, transport.upper(), address
        self.seq = 0
        self.renew()

    @classmethod
    async def connect(cls, target: str, transport: str) -> SipCaller:
        if transport == "udp":
            udp = await UdpPeer.bind(target)
            return cls(udp, transport, udp.address)
        peer = await Peer.connect(target)
        return cls(peer, transport, "{}:{}".format(*peer.writer.get_extra_info("sockname")))

    def renew(self) -> None:
        """Start a new call: new Call-ID, tags and target."""
        SipCaller.count += 1
        self.call, self.tag, self.to = f"call{self.count}", f"t{self.count}", "<sip:desk@net>"
        self.target = "sip:desk@net"

    def build(self, method: str, *extra: tuple[str, str], number: str = "ok", **change: Any) -> Message:
        if method not in ("ACK", "CANCEL"):
            self.seq += 1
        seq = change.get("seq", self.seq)
        branch = change.get("branch", f"z9hG4bK{self.call}-{seq}{'a' if method == 'ACK' else ''}")
        uri = f"sip:{number}@net" if method in ("INVITE", "CANCEL", "OPTIONS") else self.target
        return Message(
            method,
            uri,
            headers=[
                ("Via", f"SIP/2.0/{self.transport} {self.address};branch={branch};rport"),
                ("Max-Forwards", "70"),
                ("From", f"<sip:me@net>;tag={self.tag}"),
                ("To", self.to),
                ("Call-ID", self.call),
                ("CSeq", f"{seq} {method}"),
                ("Contact", f"<sip:me@{self.address};transport={self.transport.lower()}>"),
                *extra,
            ],
            body=b"offer" if method == "INVITE" else b"",
        )

    async def invite(self, number: str = "ok", *extra: tuple[str, str]) -> Message:
        """Set up a call, acknowledge its final answer and return it."""
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
    """A SIP desk over UDP or TCP; the number called selects how it handles a set-up."""

    def __init__(self) -> None:
        self.received: list[Message] = []
        self.invites: dict[str, Message] = {}
        self.peer: Peer | UdpPeer | None = None

    async def start(self, transport: str) -> str:
        self.transport = transport
        if transport == "udp":
            self.peer = udp = await UdpPeer.bind()
            self.address = udp.address
            self.task = asyncio.create_task(self._loop(udp))
            return self.address
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self.address

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.peer = Peer(reader, writer)
        await self._loop(self.peer)

    async def _loop(self, peer: Peer | UdpPeer) -> None:
        try:
            while True:
                message = await peer.next()
                self.received.append(message)
                if message.method == "INVITE" and self.methods().count("INVITE") > len(self.invites):
                    self._invite(peer, message)
                elif message.method == "CANCEL":
                    peer.send(response(message, 200, tag="desk"))
                    if (invite := self.invites.get(message.get("call-id"))) and invite.uri.startswith("sip:slow"):
                        peer.send(response(invite, 487, tag="desk"))
                elif message.method == "BYE":
                    peer.send(response(message, 200))
        except (EOFError, OSError, asyncio.CancelledError):
            peer.close()

    def _invite(self, peer: Peer | UdpPeer, message: Message) -> None:
        self.invites[message.get("call-id")] = message
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
        invite = self.invites[ident]
        contact = invite.get("contact").partition("<")[2].partition(">")[0]
        self.peer.send(
            Message(
                "BYE",
                contact,
                headers=[
                    ("Via", f"SIP/2.0/{self.transport.upper()} {self.address};branch=z9hG4bKbye{ident}"),
                    ("Max-Forwards", "70"),
                    ("From", invite.get("to") + ";tag=desk"),
                    ("To", invite.get("from")),
                    ("Call-ID", ident),
                    ("CSeq", "1 BYE"),
                    ("Reason", "Q.850;cause=16"),
                ],
            )
        )

    def methods(self) -> list[str]:
        return [one.method for one in self.received if one.method]

    async def stop(self) -> None:
        if self.transport == "tcp":
            self.server.close()
        if self.peer:
            self.peer.close()


class SipTestCase(DaemonTestCase):
    """Base class of tests with SIP callers and a SIP desk."""

    async def start_sip(self, transport: str = "udp", front: dict[str, Any] | None = None, **change: Any) -> Daemon:
        """Start an agent with the SIP front on UDP and TCP and one SIP desk of pool 0."""
        self.sip_desk = SipDesk()
        address = await self.sip_desk.start(transport)
        addresses = {"udp": "127.0.0.1:0", "tcp": "127.0.0.1:0"}
        sip = SipFrontConfig(**addresses, default_class="a", **(front or {}))
        plugins = Plugins(sip=sip, desks=SipDesksConfig(transport, **addresses), hook=change.pop("hook", ""))
        daemon = Daemon(config(**change), plugins)
        self.addAsyncCleanup(self._stop, daemon, (self.sip_desk,))
        await daemon.start()
        daemon.agent.list_changed(api.Scope.CACHED, [self.desk(0, address)])
        self.fill_budget(daemon, 0)
        return daemon

    async def sip_caller(self, daemon: Daemon, transport: str) -> SipCaller:
        caller = await SipCaller.connect(daemon.sip.endpoint.addresses[transport.upper()], transport)
        self.addCleanup(caller.peer.close)
        return caller
