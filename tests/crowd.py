"""A crowd of bad clients as a process: `python -m tests.crowd ADDRESS KIND CLIENTS SECONDS [SIP]`.

Each client sends at full speed what its kind says, and connects again as soon as its connection has ended. `SIP` adds
the headers that RFC 3261 requires. The process ends by itself.
"""

from __future__ import annotations

import itertools
import selectors
import socket
import sys
import time
from collections.abc import Callable, Iterator

LARGE = 15 * 1024  # bytes of a set-up within the 16 KiB of the protocol
CHUNK = 64 * 1024  # bytes
SLOW_PAUSE = 0.05  # seconds between two pieces of a slow writer
SLOW_PIECE = 40  # bytes

_numbers = itertools.count(1)


def head(body: int, call_class: str = "a", fields: bytes = b"", sip: bool = False) -> bytes:
    """A set-up's head under a new id, without its body."""
    ident = f"{next(_numbers):016x}"
    more = f"From: <sip:x@net>;tag={ident}\r\nTo: <sip:1@net>\r\nMax-Forwards: 70\r\n" if sip else ""
    via = f"SIP/2.0/TCP 127.0.0.1:9;branch=z9hG4bK{ident}"
    text = f"INVITE sip:1@net SIP/2.0\r\nVia: {via}\r\n{more}Call-ID: {ident}\r\nCSeq: 1 INVITE\r\n"
    text += f"X-Cos: {call_class}\r\nX-Timer-Ms: 9000\r\nX-Legs: dest:0;width:1;via:-1\r\n"
    return text.encode() + fields + f"Content-Length: {body}\r\n\r\n".encode()


def endless(sip: bool) -> Iterator[bytes]:
    """A head that never ends."""
    yield head(0, sip=sip)[:-4] + b"\r\nX-Noise: "
    while True:
        yield b"x" * CHUNK


def half(sip: bool) -> Iterator[bytes]:
    """Half of a large set-up, then nothing."""
    yield head(LARGE, sip=sip) + b"x" * (LARGE // 2)


def slow(sip: bool) -> Iterator[bytes]:
    """A large set-up in small pieces."""
    whole = head(LARGE, sip=sip) + b"x" * LARGE
    for start in range(0, len(whole), SLOW_PIECE):
        yield whole[start : start + SLOW_PIECE]


def fields(sip: bool) -> Iterator[bytes]:
    """Set-ups whose heads have thousands of short fields."""
    while True:
        yield head(0, fields=b"a:\r\n" * 3600, sip=sip)


def large(sip: bool) -> Iterator[bytes]:
    """Large set-ups that are valid, each under a new id."""
    while True:
        yield head(LARGE, sip=sip) + b"x" * LARGE


def refused(sip: bool) -> Iterator[bytes]:
    """Large set-ups of a class that does not exist."""
    while True:
        yield head(LARGE, "none", sip=sip) + b"x" * LARGE


def small(sip: bool) -> Iterator[bytes]:
    """Small set-ups that are valid, each under a new id."""
    while True:
        yield b"".join(head(0, sip=sip) for _ in range(100))


def unsound(sip: bool) -> Iterator[bytes]:
    """Small set-ups of classes that do not exist, each another one."""
    while True:
        yield b"".join(head(0, f"c{number}", sip=sip) for number in range(100))


def unread(sip: bool) -> Iterator[bytes]:
    """As `unsound`, by clients that never read."""
    return unsound(sip)


def leaving(sip: bool) -> Iterator[bytes]:
    """Half of a set-up each, after which the client closes its connection and comes again."""
    yield head(LARGE, sip=sip) + b"x" * 8000
    raise ConnectionError


KINDS: dict[str, Callable[[bool], Iterator[bytes]]] = {
    kind.__name__: kind for kind in (endless, half, slow, fields, large, refused, small, unsound, unread, leaving)
}


class Client:
    """One client."""

    def __init__(self, address: tuple[str, int], kind: str, sip: bool, selector: selectors.BaseSelector) -> None:
        self.address, self.kind, self.sip, self.selector = address, kind, sip, selector
        self.connect()

    def connect(self) -> None:
        """Open a connection."""
        self.pieces, self.unsent, self.resume_at = KINDS[self.kind](self.sip), b"", 0.0
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if self.kind == "unread":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect_ex(self.address)
        self.selector.register(self.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def ready(self, events: int, now: float) -> None:
        """Read and send what is possible."""
        try:
            if events & selectors.EVENT_READ and self.kind != "unread" and not self.socket.recv(CHUNK):
                raise ConnectionError
            if events & selectors.EVENT_WRITE and now >= self.resume_at:
                self._send(now)
        except BlockingIOError:
            pass
        except OSError:
            self.selector.unregister(self.socket)
            self.socket.close()
            self.connect()

    def _send(self, now: float) -> None:
        if not self.unsent:
            self.unsent = next(self.pieces, b"")
        if not self.unsent:
            self.selector.modify(self.socket, selectors.EVENT_READ, self)
            return
        self.unsent = self.unsent[self.socket.send(self.unsent) :]
        if self.kind == "slow":
            self.resume_at = now + SLOW_PAUSE


def main() -> None:
    """Run the clients."""
    host, _, port = sys.argv[1].rpartition(":")
    end = time.monotonic() + float(sys.argv[4])
    with selectors.DefaultSelector() as selector:
        for _ in range(int(sys.argv[3])):
            Client((host, int(port)), sys.argv[2], "SIP" in sys.argv[5:], selector)
        while (now := time.monotonic()) < end:
            for key, events in selector.select(0.1):
                key.data.ready(events, now)
            if sys.argv[2] == "slow":
                time.sleep(SLOW_PAUSE / 5)


if __name__ == "__main__":
    main()
