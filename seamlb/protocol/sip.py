"""SIP messages and their framing on a stream (RFC 3261, 7 and 18.3), without input or output."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

MAX_MESSAGE_BYTES = 16 * 1024
STARTS = (b"SIP/2.0 ", b"BYE sip:", b"NOTIFY sip:", b"OPTIONS sip:")  # what a desk's messages begin with
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
START_SEEN = 3  # bytes of a start at a body's end that can't be chance
TAILS = tuple(start[:size] for start in STARTS for size in range(START_SEEN, len(start)))
RELEASE = re.compile(rb"BYE sips?:\S+ SIP/2\.0\r\n((?:[A-Za-z-]+:[^\r\n]*\r\n)+)")
COMPACT = {
    "v": "via",
    "f": "from",
    "t": "to",
    "i": "call-id",
    "m": "contact",
    "l": "content-length",
    "c": "content-type",
    "k": "supported",
    "e": "content-encoding",
    "s": "subject",
}
REASONS = {
    100: "Trying",
    200: "OK",
    400: "Bad Request",
    405: "Method Not Allowed",
    420: "Bad Extension",
    480: "Temporarily Unavailable",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected",
    483: "Too Many Hops",
    487: "Request Terminated",
    500: "Server Internal Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "Version Not Supported",
    513: "Message Too Large",
}


class SipError(Exception):
    """Bytes that are no SIP message; `message` holds what could be read, `status` what to answer."""

    def __init__(self, reason: str, message: Message | None = None, status: int = 400, fatal: bool = True) -> None:
        super().__init__(reason)
        self.message = message
        self.status = status
        self.fatal = fatal  # the end of the message is unknown: nothing after it can be read

    def request_to_answer(self) -> Message | None:
        """The request to answer, if it holds what an answer must copy."""
        message = self.message
        if message is None or message.method in ("", "ACK"):
            return None
        return message if all(message.get(name) for name in ("via", "call-id", "cseq")) else None


@dataclass(slots=True)
class Message:
    """A request (`method`, `uri`) or a response (`status`, `reason`)."""

    method: str = ""
    uri: str = ""
    status: int = 0
    reason: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """The first header of that name, given in lower case."""
        return next((value for key, value in self.headers if key.lower() == name), default)

    def get_all(self, name: str) -> list[str]:
        """All headers of that name, lists at commas taken apart."""
        return [part for key, value in self.headers if key.lower() == name for part in split_list(value)]

    def cseq(self) -> tuple[int, str]:
        """Number and method of CSeq; (-1, "") if it can't be read."""
        number, _, method = self.get("cseq").partition(" ")
        return (int(number), method.strip()) if is_decimal(number) and int(number) < 2**31 else (-1, "")

    def encode(self) -> bytes:
        """The bytes for the wire; Content-Length is written here and only here."""
        start = f"{self.method} {self.uri} SIP/2.0" if self.method else f"SIP/2.0 {self.status} {self.reason}"
        lines = [start, *(f"{name}: {value}" for name, value in self.headers)]
        lines.append(f"Content-Length: {len(self.body)}\r\n\r\n")
        return "\r\n".join(lines).encode("utf-8", "surrogateescape") + self.body


def is_decimal(text: str) -> bool:
    """Plain ASCII digits, as int() also takes signs, blanks, underscores and other scripts."""
    return text.isascii() and text.isdigit() and len(text) <= 10


def split_list(value: str) -> list[str]:
    """Split at commas outside quotes and angle brackets."""
    if "," not in value:
        return [value]
    parts, start, quoted, angle = [], 0, False, False
    for at, char in enumerate(value):
        if char == '"' and (at == 0 or value[at - 1] != "\\"):
            quoted = not quoted
        elif not quoted and char in "<>":
            angle = char == "<"
        elif char == "," and not quoted and not angle:
            parts.append(value[start:at].strip())
            start = at + 1
    return [part for part in (*parts, value[start:].strip()) if part]


def parameter(value: str, name: str) -> str:
    """A ;name=value of a header, looked for behind the address; "" if it is not there."""
    for part in value.rpartition(">")[2].split(";")[1:]:
        key, _, found = part.partition("=")
        if key.strip().lower() == name:
            return found.strip()
    return ""


def response(request: Message, status: int, *extra: tuple[str, str], body: bytes = b"", tag: str = "") -> Message:
    """A response with what RFC 3261 8.2.6 has copied from the request."""
    headers = []
    for name, value in request.headers:
        key = name.lower()
        if key == "to" and tag and not parameter(value, "tag"):
            value = f"{value};tag={tag}"
        if key in ("via", "from", "to", "call-id", "cseq"):
            headers.append((name, value))
    return Message(status=status, reason=REASONS.get(status, "Unknown"), headers=[*headers, *extra], body=body)


def parse_head(head: bytes) -> Message:
    """Read the lines before the empty one; the body is the caller's matter."""
    text = head.decode("utf-8", "surrogateescape").replace("\r\n ", " ").replace("\r\n\t", " ")
    first, *lines = text.split("\r\n")
    message = Message()
    if first.startswith("SIP/2.0 "):
        code, _, message.reason = first[8:].partition(" ")
        if not (is_decimal(code) and 100 <= int(code) < 700):
            raise SipError("bad status line")
        message.status = int(code)
    else:
        words = first.split(" ")
        if len(words) != 3 or not words[2].upper().startswith("SIP/") or not words[0].isascii():
            raise SipError("bad start line")
        message.method, message.uri = words[0], words[1]
    bad = ""
    for line in lines:
        name, colon, value = line.partition(":")
        name = name.strip()
        if not colon or not name or " " in name:
            bad = bad or "bad header line"
            continue
        message.headers.append((COMPACT.get(name.lower(), name), value.strip()))
    if message.method and not first.endswith(" SIP/2.0"):
        raise SipError("unknown version", message, 505, fatal=False)
    if bad:
        raise SipError(bad, message, fatal=False)
    number, method = message.cseq()
    if not message.get("call-id") or number < 0 or (message.method and method != message.method):
        raise SipError("Call-ID or CSeq missing or wrong", message, fatal=False)
    return message


def content_length(message: Message) -> int | None:
    """The one length that is told; None if none is. Raises on what differs or is no number."""
    told = {value for key, value in message.headers if key.lower() == "content-length"}
    if not told:
        return None
    text = told.pop()
    if told or not is_decimal(text):
        raise SipError("bad Content-Length", message)
    return int(text)


def begins(data: bytes) -> bool:
    """May a message begin so, as far as it has come?"""
    word, space, _ = data.partition(b" ")
    if space:
        return word in METHODS or word.startswith(b"SIP/")
    return data.startswith((b"\r", b"SIP/")) or any(one.startswith(data) for one in (*METHODS, b"SIP/"))


def torn(body: bytes, rest: bytes) -> bool:
    """Has a body that stopped short been filled up with what came after it?

    Guards callers against a description that no desk gave: the length fits, but another message begins inside, or
    what is left begins in the middle of one.
    """
    inside = any(start in body for start in STARTS)
    return inside or body.endswith(TAILS) or not begins(rest)


def find_byes(data: bytes) -> list[Message]:
    """The releases in bytes whose framing is lost, also cut off behind their call's name: each names it itself."""
    found = []
    for one in RELEASE.finditer(data):
        lines = (line.partition(":") for line in one[1].decode("ascii", "replace").split("\r\n")[:-1])
        headers = [(COMPACT.get(name.lower(), name), value.strip()) for name, _, value in lines]
        message = Message("BYE", headers=headers)
        if message.get("call-id"):
            found.append(message)
    return found


class Framer:
    """Cuts a stream into messages; SipError with `fatal` set ends it, and the unread bytes are in `unparsed`.

    `check_bodies` has bodies looked at for messages that were swallowed by one that stopped short.
    """

    def __init__(self, limit: int = MAX_MESSAGE_BYTES, check_bodies: bool = False) -> None:
        self.limit = limit
        self.check_bodies = check_bodies
        self.data = bytearray()
        self.unparsed = b""

    def feed(self, data: bytes) -> None:
        """Take bytes of the stream."""
        self.data += data

    def feed_and_dispatch(self, data: bytes, good: Callable[[Message], None], bad: Callable[[SipError], None]) -> int:
        """Feed bytes and hand over what is whole, up to an error that ends the stream; how many there were."""
        self.feed(data)
        count = 0
        for one in self.messages():
            count += 1
            if isinstance(one, SipError):
                if one.fatal:
                    self.unparsed = bytes(self.data)
                    self.data.clear()
                bad(one)
                if one.fatal:
                    break
            else:
                good(one)
        return count

    def messages(self) -> Iterator[Message | SipError]:
        """What is whole by now; a malformed message comes as its error."""
        while True:
            while self.data.startswith(b"\r\n"):  # keep-alive between messages, RFC 5626
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
            if self.check_bodies and message.body and torn(message.body, bytes(self.data[size : size + 16])):
                del self.data[: end + 4]
                yield SipError("a message begins inside another", message)
                return
            del self.data[:size]
            message.headers = [pair for pair in message.headers if pair[0].lower() != "content-length"]
            yield error or message


def parse_datagram(data: bytes) -> Message:
    """One message in one datagram; the body ends with Content-Length, or with the datagram."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise SipError("message too large", None, 513)
    head, blank, body = data.lstrip(b"\r\n").partition(b"\r\n\r\n")
    if not blank:
        raise SipError("no end of headers")
    message = parse_head(head)
    length = content_length(message)
    if length is not None and length > len(body):
        raise SipError("body cut short", message, fatal=False)
    message.body = body if length is None else body[:length]
    message.headers = [pair for pair in message.headers if pair[0].lower() != "content-length"]
    return message
