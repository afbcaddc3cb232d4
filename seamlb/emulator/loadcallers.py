"""The callers of a load test: Poisson arrivals on one front and the times until their final answers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from seamlb.emulator.audit import Audit
from seamlb.emulator.loadsite import Load
from seamlb.protocol.framing import Framer
from seamlb.protocol.sip import Message, SipError, parameter, parse_datagram, response


class Callers(asyncio.DatagramProtocol):
    """Sends requests on one front as a Poisson process and records the answers."""

    def __init__(self, load: Load, audit: Audit, address: str) -> None:
        self.load, self.audit, self.address = load, audit, address
        self.rng = random.Random(load.seed)
        self.loop = asyncio.get_running_loop()
        self.requests: dict[str, tuple[str, float]] = {}  # by call: class, time of the request
        self.results: Counter[str] = Counter()
        self.on_time_counts: dict[str, list[int]] = {call_class.name: [0, 0] for call_class in load.site.classes}
        self.answer_delay_us = {call_class.name: HdrHistogram(1, 60_000_000, 3) for call_class in load.site.classes}
        self.local_address = ""
        self.count = 0

    async def connect(self) -> None:
        """Open the socket to the agent."""
        host, _, port = self.address.rpartition(":")
        if self.load.front == "udp":
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda: self, local_addr=("127.0.0.1", 0), remote_addr=(host, int(port))
            )
            self.local_address = "{}:{}".format(*transport.get_extra_info("sockname"))
            self.send: Callable[[bytes], None] = transport.sendto
            self.close = transport.close
        else:
            reader, writer = await asyncio.open_connection(host, int(port))
            self.local_address = "{}:{}".format(*writer.get_extra_info("sockname"))
            self.send, self.close = writer.write, writer.close
            self.reading = self.loop.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        framer = Framer()
        while data := await reader.read(65536):
            framer.feed(data)
            for message in framer.messages():
                if isinstance(message, Message):
                    self.receive(message)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Receive one datagram."""
        try:
            self.receive(parse_datagram(data))
        except SipError:
            self.results["unreadable"] += 1

    async def run(self) -> None:
        """Send requests at the load's rate until its duration has passed."""
        end = self.loop.time() + self.load.seconds
        due = self.loop.time()
        while due < end:
            due += self.rng.expovariate(self.load.rate)  # open loop: arrivals that are late are sent, not skipped
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            self.send_request()

    def send_request(self) -> None:
        """Send one request of a random class and office."""
        site = self.load.site
        (class_name,) = self.rng.choices([each.name for each in site.classes], [each.share for each in site.classes])
        (office,) = self.rng.choices([each[0] for each in site.offices], [each[1] for each in site.offices])
        self.count += 1
        call = f"{self.rng.getrandbits(64):016x}"  # both its Call-ID and the number it calls
        now = self.loop.time()
        self.requests[call] = class_name, now
        self.audit.call_requested(now, call, class_name, site.patience_ms / 1000.0)
        custom_headers = [("X-Cos", class_name), ("X-Timer-Ms", str(site.patience_ms)), ("X-Operator", office)]
        if self.load.front == "platform":
            custom_headers.append(("X-Legs", f"dest:{self.rng.randrange(self.load.desks)};width:1;via:-1"))
            headers = [("Via", "SIP/2.0/TCP load"), ("Call-ID", call), ("CSeq", "1 INVITE")]
        else:
            name = self.load.front.upper()
            headers = [
                ("Via", f"SIP/2.0/{name} {self.local_address};branch=z9hG4bK{call};rport"),
                ("Max-Forwards", "70"),
                ("From", f"<sip:load@net>;tag={call}"),
                ("To", "<sip:desk@net>"),
                ("Call-ID", call),
                ("CSeq", "1 INVITE"),
                ("Contact", f"<sip:load@{self.local_address};transport={self.load.front}>"),
            ]
        self.send(Message("INVITE", f"sip:{call}@net", headers=headers + custom_headers, body=b"v=0\r\n").encode())

    def receive(self, message: Message) -> None:
        """Handle a message from the agent."""
        call = message.get("call-id")
        if message.method == "BYE" and self.load.front != "platform":
            self.send(response(message, 200).encode())
        if message.status < 200 or message.cseq()[1] != "INVITE":
            return
        self.acknowledge(message, call)
        class_name, sent_at = self.requests.get(call, ("", 0.0))
        if not class_name:
            return self.audit.call_answered(self.loop.time(), call, message.status)
        now = self.loop.time()
        if self.load.front == "udp" and self.audit.calls[call].final_answers:
            return  # a retransmitted final answer that crossed our ACK (RFC 3261, 13.3.1.4 and 17.2.1)
        self.audit.call_answered(now, call, message.status)
        self.answer_delay_us[class_name].record_value(max(1, int((now - sent_at) * 1e6)))
        self.results["stood" if message.status == 200 else str(message.status)] += 1
        on_time_ms = next(
            call_class.on_time_ms for call_class in self.load.site.classes if call_class.name == class_name
        )
        self.on_time_counts[class_name][0] += message.status == 200 and (now - sent_at) * 1000 <= on_time_ms
        self.on_time_counts[class_name][1] += 1

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
        branch = "a" if message.status == 200 else ""  # the ACK to a 2xx has a branch of its own
        branch = (parameter(message.get("via"), "branch") or f"z9hG4bK{call}") + branch
        self.send(
            Message(
                "ACK",
                target,
                headers=[
                    ("Via", f"SIP/2.0/{self.load.front.upper()} {self.local_address};branch={branch};rport"),
                    ("Max-Forwards", "70"),
                    ("From", f"<sip:load@net>;tag={call}"),
                    ("To", message.get("to")),
                    ("Call-ID", call),
                    ("CSeq", "1 ACK"),
                ],
            ).encode()
        )
