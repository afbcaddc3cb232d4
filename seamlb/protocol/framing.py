"""Framing of SIP messages on a stream (RFC 3261, section 18.3), and what can be read once it is lost, without I/O."""

from __future__ import annotations

import math
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
HEAD_END = b"\r\n\r\n"
MIN_START_BYTES = 3  # shorter parts of a start may end a body by chance
PARTIAL_STARTS = tuple(start[:size] for start in MESSAGE_STARTS for size in range(MIN_START_BYTES, len(start)))
STATUS_LINE_START = b"SIP/2.0 "
LONGEST_START = 16  # bytes that tell whether a message starts there
START_LINE = re.compile(  # a start line wherever it begins: the line before it may have been truncated
    rb"SIP/2\.0 [1-6][0-9]{2}(?![^ \r])|(?P<method>%s) sips?:\S+ SIP/2\.0(?=\r\n|\Z)" % b"|".join(METHODS)
)


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


def has_merged_messages(head: bytes) -> bool:
    """Reports whether a start line and headers were truncated and then completed with those of the next message.

    The result may parse without an error, with the status of the first message and the Call-ID of the second.
    """
    first_end = len(STATUS_LINE_START) if head.startswith(STATUS_LINE_START) else head.find(b"\r\n")
    if first_end < 0 or head.count(b"SIP/2.0", first_end) == head.count(b"SIP/2.0/", first_end):
        return False  # the version stands in Via headers only; the search below takes longer
    return START_LINE.search(head, first_end) is not None


def find_byes(data: bytes) -> list[Message]:
    """Finds the BYEs in bytes whose framing is lost, also those truncated after the Call-ID header."""
    byes = []
    starts = list(START_LINE.finditer(data))
    boundaries = [*(start.start() for start in starts), len(data)]
    for start, end in zip(starts, boundaries[1:], strict=True):
        if start["method"] != b"BYE":
            continue
        head, terminated, _ = data[start.end() + 2 : end].partition(b"\r\n\r\n")
        lines = head.decode("ascii", "replace").split("\r\n")
        if not terminated:
            del lines[-1]  # it may be truncated
        fields = (line.partition(":") for line in lines)
        headers = [(COMPACT_HEADERS.get(name.lower(), name), value.strip()) for name, _, value in fields]
        message = Message("BYE", headers=headers)
        if message.get("call-id"):
            byes.append(message)
    return byes


class Framer:
    """Splits a stream into messages; a fatal SipError ends it and leaves the remaining bytes in `unparsed`."""

    def __init__(self, limit: int = MAX_MESSAGE_BYTES, strict: bool = False) -> None:
        self.limit = limit
        self.strict = strict  # each malformed message is a fatal error, and the bodies of requests are checked too
        self.data = bytearray()
        self.unparsed = b""
        self.has_more = False  # `feed_and_dispatch` has stopped at its limit
        self._searched = 0  # bytes of `data` in which no head ends
        self._needed = 0  # bytes of the message whose head is complete; 0 if it is not

    def clear(self) -> None:
        """Drops what is buffered."""
        self.data.clear()
        self._searched = self._needed = 0

    def feed(self, data: bytes) -> None:
        """Appends bytes of the stream."""
        self.data += data

    def feed_and_dispatch(
        self,
        data: bytes,
        on_message: Callable[[Message], None],
        on_error: Callable[[SipError], None],
        limit: float = math.inf,
    ) -> int:
        """Appends bytes, passes complete messages and errors up to a fatal one on, and returns their number.

        At `limit` messages it sets `has_more` and leaves the rest to the next call.
        """
        self.feed(data)
        count, self.has_more = 0, False
        for message in self.messages():
            count += 1
            if isinstance(message, SipError):
                if message.fatal:
                    self.unparsed = bytes(self.data) if self.strict else b""
                    self.clear()
                on_error(message)
                if message.fatal:
                    break
            else:
                on_message(message)
            if count >= limit:
                self.has_more = bool(self.data)
                break
        return count

    def messages(self) -> Iterator[Message | SipError]:
        """Yields the messages that are complete, and a SipError for each malformed one; a fatal one is the last."""
        while True:
            try:
                message = self._take_message()
            except SipError as error:
                yield error
                if error.fatal:
                    return
                continue
            if message is None:
                return
            yield message

    def _take_message(self) -> Message | None:
        """Removes the next message from the data, which a fatal error leaves there; None if it is incomplete."""
        while self.data.startswith(b"\r\n"):  # keep-alive (RFC 5626)
            del self.data[:2]
            self._searched = 0
        if len(self.data) < self._needed:
            return None  # a slow body is not parsed again with each of its pieces
        end = self.data.find(HEAD_END, max(0, self._searched - len(HEAD_END) + 1))
        if end < 0:
            if len(self.data) > self.limit:
                raise SipError("message too large", None, 513)
            self._searched = len(self.data)
            return None
        self._searched = end
        message, error = self._parse_head(bytes(self.data[:end]))
        length = content_length(message)
        if length is None:
            raise SipError("Content-Length missing", message)
        start, size = end + 4, end + 4 + length
        if size > self.limit:
            raise SipError("message too large", message, 513)
        if len(self.data) < size:
            self._needed = size
            return None
        message.body = bytes(self.data[start:size])
        is_checked = message.body and (self.strict or message.status)
        if is_checked and is_corrupt(message.body, bytes(self.data[size : size + LONGEST_START])):
            raise SipError("message starts within the body of another", message)
        del self.data[:size]
        self._searched = self._needed = 0
        message.headers = [pair for pair in message.headers if pair[0].lower() != "content-length"]
        if error:
            raise error
        return message

    def _parse_head(self, head: bytes) -> tuple[Message, SipError | None]:
        """Parses a head; returns a non-fatal error as well, as the message still has to be removed."""
        if has_merged_messages(head):
            raise SipError("message starts within the head of another")
        try:
            return parse_head(head), None
        except SipError as error:
            if self.strict or error.fatal or error.message is None:
                error.fatal = True
                raise
            return error.message, error
