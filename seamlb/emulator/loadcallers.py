"""Poisson callers of a load on one front, and the times until their final answers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from seamlb.emulator.audit import Audit
from seamlb.emulator.loadsite import Load
from seamlb.protocol.sip import Framer, Message, SipError, parameter, parse_datagram, response


class Callers(asyncio.DatagramProtocol):
    """Poisson callers on one front."""

    def __init__(self, load: Load, audit: Audit, address: str) -> None:
        self.load, self.audit, self.address = load, audit, address
        self.rng = random.Random(load.seed)
        self.loop = asyncio.get_running_loop()
        self.kinds: dict[str, tuple[str, float]] = {}
        self.results: Counter[str] = Counter()
        self.in_time: dict[str, list[int]] = {one.name: [0, 0] for one in load.site.classes}
        self.onset = {one.name: HdrHistogram(1, 60_000_000, 3) for one in load.site.classes}
        self.own = ""
        self.count = 0

    async def connect(self) -> None:
        """Open the socket to the agent."""
        host, _, port = self.address.rpartition(":")
        if self.load.front == "udp":
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda: self, local_addr=("127.0.0.1", 0), remote_addr=(host, int(port))
            )
            self.own = "{}:{}".format(*transport.get_extra_info("sockname"))
            self.send: Callable[[bytes], None] = transport.sendto
            self.close = transport.close
        else:
            reader, writer = await asyncio.open_connection(host, int(port))
            self.own = "{}:{}".format(*writer.get_extra_info("sockname"))
            self.send, self.close = writer.write, writer.close
            self.reading = self.loop.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        framer = Framer()
        while data := await reader.read(65536):
            framer.feed(data)
            for message in framer.messages():
                if isinstance(message, Message):
                    self.got(message)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take one datagram."""
        try:
            self.got(parse_datagram(data))
        except SipError:
            self.results["unreadable"] += 1

    async def run(self) -> None:
        """Ask for calls at the rate of the load until its time is over."""
        end = self.loop.time() + self.load.seconds
        due = self.loop.time()
        while due < end:
            due += self.rng.expovariate(self.load.rate)  # open loop: late arrivals are not skipped
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            self.ask()

    def ask(self) -> None:
        """Ask for one call."""
        site = self.load.site
        (kind,) = self.rng.choices([one.name for one in site.classes], [one.part for one in site.classes])
        (office,) = self.rng.choices([one[0] for one in site.offices], [one[1] for one in site.offices])
        self.count += 1
        call = f"{self.rng.getrandbits(64):016x}"  # its id and the number it calls
        now = self.loop.time()
        self.kinds[call] = kind, now
        self.audit.asked(now, call, kind, site.patience / 1000.0)
        facts = [("X-Cos", kind), ("X-Timer-Ms", str(site.patience)), ("X-Operator", office)]
        if self.load.front == "platform":
            facts.append(("X-Legs", f"dest:{self.rng.randrange(self.load.desks)};width:1;via:-1"))
            head = [("Via", "SIP/2.0/TCP load"), ("Call-ID", call), ("CSeq", "1 INVITE")]
        else:
            name = self.load.front.upper()
            head = [
                ("Via", f"SIP/2.0/{name} {self.own};branch=z9hG4bK{call};rport"),
                ("Max-Forwards", "70"),
                ("From", f"<sip:load@net>;tag={call}"),
                ("To", "<sip:desk@net>"),
                ("Call-ID", call),
                ("CSeq", "1 INVITE"),
                ("Contact", f"<sip:load@{self.own};transport={self.load.front}>"),
            ]
        self.send(Message("INVITE", f"sip:{call}@net", headers=head + facts, body=b"v=0\r\n").encode())

    def got(self, message: Message) -> None:
        """Take a message from the agent."""
        call = message.get("call-id")
        if message.method == "BYE" and self.load.front != "platform":
            self.send(response(message, 200).encode())
        if message.status < 200 or message.cseq()[1] != "INVITE":
            return
        self.acknowledge(message, call)
        kind, at = self.kinds.get(call, ("", 0.0))
        if not kind:
            return self.audit.answered(self.loop.time(), call, message.status)
        now = self.loop.time()
        if self.load.front == "udp" and self.audit.calls[call].finals:
            return  # a copy of an answer whose ACK was on its way (RFC 3261, 13.3.1.4 and 17.2.1)
        self.audit.answered(now, call, message.status)
        self.onset[kind].record_value(max(1, int((now - at) * 1e6)))
        self.results["stood" if message.status == 200 else str(message.status)] += 1
        aim = next(one.on_time for one in self.load.site.classes if one.name == kind)
        self.in_time[kind][0] += message.status == 200 and (now - at) * 1000 <= aim
        self.in_time[kind][1] += 1

    def acknowledge(self, message: Message, call: str) -> None:
        """Acknowledge a final answer."""
        if self.load.front == "platform":
            if message.status == 200:
                self.send(
                    Message(
                        "ACK",
                        "sip:desk@net",
                        headers=[("Via", "SIP/2.0/TCP load"), ("Call-ID", call), ("CSeq", "1 ACK")],
                    ).encode()
                )
            return
        target = message.get("contact").partition("<")[2].partition(">")[0] or "sip:desk@net"
        branch = "a" if message.status == 200 else ""  # an ACK to a 200 is a transaction of its own
        branch = (parameter(message.get("via"), "branch") or f"z9hG4bK{call}") + branch
        self.send(
            Message(
                "ACK",
                target,
                headers=[
                    ("Via", f"SIP/2.0/{self.load.front.upper()} {self.own};branch={branch};rport"),
                    ("Max-Forwards", "70"),
                    ("From", f"<sip:load@net>;tag={call}"),
                    ("To", message.get("to")),
                    ("Call-ID", call),
                    ("CSeq", "1 ACK"),
                ],
            ).encode()
        )
