"""SIP messages (RFC 3261, section 7), without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_MESSAGE_BYTES = 16 * 1024
MAX_HEADER_FIELDS = 256  # a parsed field takes some 200 bytes of memory, whatever its length
RESPONSE_HEADERS = ("via", "from", "to", "call-id", "cseq")  # copied from a request (RFC 3261, 8.2.6)
COMPACT_HEADERS = {
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
REASON_PHRASES = {
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
    """A malformed message; `message` holds the part that was parsed, `status` is the response code."""

    def __init__(self, reason: str, message: Message | None = None, status: int = 400, fatal: bool = True) -> None:
        super().__init__(reason)
        self.message = message
        self.status = status
        self.fatal = fatal  # the end of the message is unknown, so the rest of the stream can't be parsed

    def request_to_answer(self) -> Message | None:
        """Returns the request if it can be answered: it has the headers that a response must copy."""
        message = self.message
        if message is None or message.method in ("", "ACK"):
            return None
        return message if all(message.get(name) for name in ("via", "call-id", "cseq")) else None


@dataclass(slots=True)
class Message:
    """A request (`method` and `uri` set) or a response (`status` and `reason` set)."""

    method: str = ""
    uri: str = ""
    status: int = 0
    reason: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Returns the first header of that name, which is given in lower case."""
        return next((value for key, value in self.headers if key.lower() == name), default)

    def get_all(self, name: str) -> list[str]:
        """Returns the values of all headers of that name, with comma-separated lists split."""
        return [part for key, value in self.headers if key.lower() == name for part in split_list(value)]

    def cseq(self) -> tuple[int, str]:
        """Returns the number and method of the CSeq header; (-1, "") if it is malformed."""
        number, _, method = self.get("cseq").partition(" ")
        return (int(number), method.strip()) if is_decimal(number) and int(number) < 2**31 else (-1, "")

    def encode(self) -> bytes:
        """Serializes the message; Content-Length is added here and nowhere else."""
        start = f"{self.method} {self.uri} SIP/2.0" if self.method else f"SIP/2.0 {self.status} {self.reason}"
        lines = [start, *(f"{name}: {value}" for name, value in self.headers)]
        lines.append(f"Content-Length: {len(self.body)}\r\n\r\n")
        return "\r\n".join(lines).encode("utf-8", "surrogateescape") + self.body


def is_decimal(text: str) -> bool:
    """Accepts 1 to 10 ASCII digits only; int() also accepts signs, blanks, underscores and other scripts."""
    return text.isascii() and text.isdigit() and len(text) <= 10


def split_list(value: str) -> list[str]:
    """Splits at commas outside quotes and angle brackets."""
    if "," not in value:
        return [value]
    parts, start, quoted, angle = [], 0, False, False
    for position, char in enumerate(value):
        if char == '"' and (position == 0 or value[position - 1] != "\\"):
            quoted = not quoted
        elif not quoted and char in "<>":
            angle = char == "<"
        elif char == "," and not quoted and not angle:
            parts.append(value[start:position].strip())
            start = position + 1
    return [part for part in (*parts, value[start:].strip()) if part]


def parameter(value: str, name: str) -> str:
    """Returns the value of a header parameter after the address; "" if it is missing."""
    for part in value.rpartition(">")[2].split(";")[1:]:
        key, _, argument = part.partition("=")
        if key.strip().lower() == name:
            return argument.strip()
    return ""


def response(request: Message, status: int, *extra: tuple[str, str], body: bytes = b"", tag: str = "") -> Message:
    """Builds a response with the headers copied from the request that RFC 3261, 8.2.6 requires."""
    headers = []
    for name, value in request.headers:
        key = name.lower()
        if key == "to" and tag and not parameter(value, "tag"):
            value = f"{value};tag={tag}"
        if key in RESPONSE_HEADERS:
            headers.append((name, value))
    return Message(status=status, reason=REASON_PHRASES.get(status, "Unknown"), headers=[*headers, *extra], body=body)


def answerable_part(request: Message, *names: str) -> Message:
    """Returns a request without its body and headers, but for those that a response needs and those named."""
    kept = (*RESPONSE_HEADERS, *names)
    headers = [(name, value) for name, value in request.headers if name.lower() in kept]
    return Message(request.method, request.uri, headers=headers)


def parse_head(head: bytes) -> Message:
    """Parses the start line and headers; the caller reads the body."""
    text = head.decode("utf-8", "surrogateescape").replace("\r\n ", " ").replace("\r\n\t", " ")
    first, *lines = text.split("\r\n", MAX_HEADER_FIELDS + 1)
    has_too_many = len(lines) > MAX_HEADER_FIELDS
    del lines[MAX_HEADER_FIELDS:]
    message = Message()
    if first.startswith("SIP/2.0 "):
        code, _, message.reason = first[8:].partition(" ")
        if not (is_decimal(code) and 100 <= int(code) < 700):
            raise SipError("bad status line")
        message.status = int(code)
    else:
        parts = first.split(" ")
        if len(parts) != 3 or not parts[2].upper().startswith("SIP/") or not parts[0].isascii():
            raise SipError("bad start line")
        message.method, message.uri = parts[0], parts[1]
    error = ""
    for line in lines:
        name, colon, value = line.partition(":")
        name = name.strip()
        if not colon or not name or " " in name:
            error = error or "bad header line"
            continue
        message.headers.append((COMPACT_HEADERS.get(name.lower(), name), value.strip()))
    if has_too_many:
        raise SipError("too many header fields", message)
    if message.method and not first.endswith(" SIP/2.0"):
        raise SipError("unknown version", message, 505, fatal=False)
    if error:
        raise SipError(error, message, fatal=False)
    number, method = message.cseq()
    if not message.get("call-id") or number < 0 or (message.method and method != message.method):
        raise SipError("Call-ID or CSeq missing or wrong", message, fatal=False)
    return message


def content_length(message: Message) -> int | None:
    """Returns the Content-Length, None without one; raises SipError if values differ or are malformed."""
    values = {value for key, value in message.headers if key.lower() == "content-length"}
    if not values:
        return None
    text = values.pop()
    if values or not is_decimal(text):
        raise SipError("bad Content-Length", message)
    return int(text)


def parse_datagram(data: bytes) -> Message:
    """Parses a datagram; the body ends after Content-Length bytes, or with the datagram."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise SipError("message too large", None, 513)
    head, separator, body = data.lstrip(b"\r\n").partition(b"\r\n\r\n")
    if not separator:
        raise SipError("headers not terminated")
    message = parse_head(head)
    length = content_length(message)
    if length is not None and length > len(body):
        raise SipError("body shorter than Content-Length", message, fatal=False)
    message.body = body if length is None else body[:length]
    message.headers = [pair for pair in message.headers if pair[0].lower() != "content-length"]
    return message
