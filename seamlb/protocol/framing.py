"""Framing of SIP messages on a stream (RFC 3261, section 18.3), and what can be read once it is lost, without I/O."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator

from seamlb.protocol.sip import (
    COMPACT_HEADERS,
    MAX_MESSAGE_BYTES,
    Message,
    SipError,
    content_length,
    parse_head,
)

MESSAGE_STARTS = (b"SIP/2.0 ", b"BYE sip:", b"NOTIFY sip:", b"OPTIONS sip:")  # of the messages that desks send
METHODS = (  # RFC 3261 and its extensions
    b"ACK",
    b"BYE",
    b"CANCEL",
    b"INFO",
    b"INVITE",
    b"MESSAGE",
    b"NOTIFY",
    b"OPTIONS",
    b"PRACK",
    b"PUBLISH",
    b"REFER",
    b"REGISTER",
    b"SUBSCRIBE",
    b"UPDATE",
)
MIN_START_BYTES = 3  # shorter parts of a start may end a body by chance
PARTIAL_STARTS = tuple(start[:size] for start in MESSAGE_STARTS for size in range(MIN_START_BYTES, len(start)))
BYE_PATTERN = re.compile(rb"BYE sips?:\S+ SIP/2\.0\r\n((?:[A-Za-z-]+:[^\r\n]*\r\n)+)")


def may_start_message(data: bytes) -> bool:
    """Reports whether the bytes received so far can be the start of a message."""
    word, space, _ = data.partition(b" ")
    if space:
        return word in METHODS or word.startswith(b"SIP/")
    return data.startswith((b"\r", b"SIP/")) or any(start.startswith(data) for start in (*METHODS, b"SIP/"))


def is_corrupt(body: bytes, rest: bytes) -> bool:
    """Reports whether a body was truncated and then completed with bytes of the next message.

    Its length fits, but another message starts within it, or `rest` starts in the middle of one. Callers must not
    receive such a corrupt session description.
    """
    starts_within = any(start in body for start in MESSAGE_STARTS)
    return starts_within or body.endswith(PARTIAL_STARTS) or not may_start_message(rest)


def find_byes(data: bytes) -> list[Message]:
    """Finds the BYEs in bytes whose framing is lost, also those truncated after the Call-ID header."""
    byes = []
    for match in BYE_PATTERN.finditer(data):
        lines = (line.partition(":") for line in match[1].decode("ascii", "replace").split("\r\n")[:-1])
        headers = [(COMPACT_HEADERS.get(name.lower(), name), value.strip()) for name, _, value in lines]
        message = Message("BYE", headers=headers)
        if message.get("call-id"):
            byes.append(message)
    return byes


class Framer:
    """Splits a stream into messages; a fatal SipError ends it and leaves the remaining bytes in `unparsed`."""

    def __init__(self, limit: int = MAX_MESSAGE_BYTES, check_bodies: bool = False) -> None:
        self.limit = limit
        self.check_bodies = check_bodies  # a body that was completed with the next message is a fatal error
        self.data = bytearray()
        self.unparsed = b""

    def feed(self, data: bytes) -> None:
        """Appends bytes of the stream."""
        self.data += data

    def feed_and_dispatch(
        self, data: bytes, on_message: Callable[[Message], None], on_error: Callable[[SipError], None]
    ) -> int:
        """Appends bytes, passes complete messages and errors up to a fatal one on, and returns their number."""
        self.feed(data)
        count = 0
        for message in self.messages():
            count += 1
            if isinstance(message, SipError):
                if message.fatal:
                    self.unparsed = bytes(self.data)
                    self.data.clear()
                on_error(message)
                if message.fatal:
                    break
            else:
                on_message(message)
        return count

    def messages(self) -> Iterator[Message | SipError]:
        """Yields the messages that are complete, and a SipError for each malformed one."""
        while True:
            while self.data.startswith(b"\r\n"):  # keep-alive (RFC 5626)
                del self.data[:2]
            end = self.data.find(b"\r\n\r\n")
            if end < 0:
                if len(self.data) > self.limit:
                    yield SipError("message too large", None, 513)
                return
            error: SipError | None = None
            try:
                message = parse_head(bytes(self.data[:end]))
            except SipError as broken:
                error = broken
                if broken.message is None:
                    yield broken
                    return
                message = broken.message
            try:
                length = content_length(message)
            except SipError as broken:
                yield broken
                return
            if length is None:
                yield SipError("Content-Length missing", message)
                return
            size = end + 4 + length
            if size > self.limit:
                yield SipError("message too large", message, 513)
                return
            if len(self.data) < size:
                return
            message.body = bytes(self.data[end + 4 : size])
            if self.check_bodies and message.body and is_corrupt(message.body, bytes(self.data[size : size + 16])):
                del self.data[: end + 4]
                yield SipError("message starts within the body of another", message)
                return
            del self.data[:size]
            message.headers = [pair for pair in message.headers if pair[0].lower() != "content-length"]
            yield error or message
