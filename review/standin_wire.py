"""The platform's SIP dialect: messages, their framing, and one connection that sends and receives them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass
class Message:
    """One message; `first` is its first line."""

    first: str
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""

    @property
    def method(self) -> str:
        """The method of a request, "" for an answer."""
        return "" if self.first.startswith("SIP/2.0 ") else self.first.split(" ")[0]

    @property
    def status(self) -> int:
        """The status of an answer, 0 for a request."""
        return int(self.first.split(" ")[1]) if self.first.startswith("SIP/2.0 ") else 0

    @property
    def ident(self) -> str:
        """The Call-ID."""
        return self.headers.get("call-id", "")

    @property
    def answers(self) -> str:
        """The method that an answer is for."""
        return self.headers.get("cseq", "").partition(" ")[2]

    @property
    def cause(self) -> str:
        """The Q.850 cause of a release."""
        return self.headers.get("reason", "").rpartition("cause=")[2]


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """The bytes of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request(method: str, ident: str, number: str, extra: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """The bytes of a request of a call."""
    headers = {"Via": "SIP/2.0/TCP peer", "Call-ID": ident, "CSeq": f"1 {method}", **(extra or {})}
    return encode(f"{method} sip:{number}@net SIP/2.0", headers, body)


def answer(to: Message, status: int, extra: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """The bytes of an answer to a request."""
    headers = {name: to.headers[key] for name, key in (("Via", "via"), ("Call-ID", "call-id"), ("CSeq", "cseq"))}
    return encode(f"SIP/2.0 {status} X", headers | (extra or {}), body)


class Framer:
    """Cuts a stream into messages."""

    def __init__(self) -> None:
        self.data = b""

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole with these bytes."""
        self.data += data
        found = []
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            first, *lines = self.data[:end].decode().split("\r\n")
            headers = {
                name.strip().lower(): value.strip() for name, _, value in (one.partition(":") for one in lines)
            }
            size = end + 4 + int(headers["content-length"])
            if len(self.data) < size:
                break
            found.append(Message(first, headers, self.data[end + 4 : size]))
            self.data = self.data[size:]
        return found


class Wire(asyncio.Protocol):
    """One connection; `on_message` gets each whole message, `on_end` is called when it has ended."""

    def __init__(
        self,
        on_open: Callable[[Wire], None],
        on_message: Callable[[Wire, Message], None],
        on_end: Callable[[Wire], None],
    ) -> None:
        self.on_open, self.on_message, self.on_end = on_open, on_message, on_end
        self.framer = Framer()
        self.open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio callback)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.open = transport, True
        self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Pass whole messages on (asyncio callback)."""
        for message in self.framer.feed(data):
            self.on_message(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell of the end (asyncio callback)."""
        self.open = False
        self.on_end(self)

    def send(self, data: bytes) -> None:
        """Write a message, unless the connection has ended."""
        if self.open:
            self.transport.write(data)
