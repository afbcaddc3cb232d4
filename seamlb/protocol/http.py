"""HTTP/1.1 (RFC 9112) as a client reads responses and as a server reads requests, without input or output."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

MAX_HEAD = 16 * 1024
MAX_BODY = 8 * 1024 * 1024
MAX_REQUEST_BODY = 64 * 1024


class HttpError(Exception):
    """Bytes that are no message, or a message too large; `status` answers a request."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Response:
    """An HTTP response; header names in lower case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def keep_alive(self) -> bool:
        """May the connection carry another request?"""
        return self.headers.get("connection", "").lower() != "close"


def get_request(path: str, host: str, *extra: tuple[str, str]) -> bytes:
    """A GET request's bytes."""
    lines = [f"GET {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in extra)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@dataclass(slots=True)
class Request:
    """An HTTP request; header names in lower case."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def path(self) -> str:
        """The target's path: without scheme and host, which proxies send, and without the query."""
        rest = self.target.partition("://")[2]
        path = "/" + rest.partition("/")[2] if rest else self.target
        return path.partition("?")[0]


def encode_response(status: int, body: bytes = b"", *extra: tuple[str, str], kind: str = "application/json") -> bytes:
    """A response's bytes; the connection ends with it."""
    lines = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        f"Content-Type: {kind}",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *(f"{name}: {value}" for name, value in extra),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def _head(data: bytearray) -> tuple[str, dict[str, str], int] | None:
    """First line, headers by lower-case name, and where the body starts; None while the head is not whole."""
    end = data.find(b"\r\n\r\n")
    if end > MAX_HEAD or (end < 0 and len(data) > MAX_HEAD):
        raise HttpError("head too large", 431)
    if end < 0:
        return None
    first, *lines = data[:end].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon:
            raise HttpError("bad header line")
        headers[name.strip().lower()] = value.strip()
    return first, headers, end + 4


def _body(data: bytearray, headers: dict[str, str], at: int, usual: str, most: int) -> tuple[bytes, int] | None:
    """The body that starts at `at`, and where it ends; None while it is not whole. `usual`: its length if untold."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return _chunks(data, at, most)
    length = headers.get("content-length", usual)
    if not length.isascii() or not length.isdigit():
        raise HttpError("bad Content-Length")
    if int(length) > most:
        raise HttpError("body too large", 413)
    after = at + int(length)
    return (bytes(data[at:after]), after) if len(data) >= after else None


def _chunks(data: bytearray, at: int, most: int) -> tuple[bytes, int] | None:
    """Put the chunks together."""
    whole = bytearray()
    while True:
        line = data.find(b"\r\n", at)
        if line < 0:
            return None
        try:
            size = int(bytes(data[at:line]).split(b";")[0], 16)
        except ValueError:
            raise HttpError("bad chunk size") from None
        if size < 0 or len(whole) + size > most:
            raise HttpError("body too large", 413)
        at = line + 2
        if size == 0:
            close = data.find(b"\r\n", at)
            while close > at:  # trailers
                at = close + 2
                close = data.find(b"\r\n", at)
            return (bytes(whole), close + 2) if close >= 0 else None
        whole += data[at : at + size]
        at += size + 2
        if at > len(data):
            return None


class ResponseReader:
    """Reads one response after another; give it bytes, take responses."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> Response | None:
        """The next response once it is whole; interim ones are passed over."""
        self.data += data
        while True:
            head = _head(self.data)
            if head is None:
                return None
            first, headers, at = head
            words = first.split(" ", 2)
            if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
                raise HttpError(f"bad status line {first[:40]!r}")
            status = int(words[1])
            if 100 <= status < 200:
                del self.data[:at]
                continue
            body = _body(self.data, headers, at, "0" if status in (204, 304) else "", MAX_BODY)
            if body is None:
                return None
            del self.data[: body[1]]
            return Response(status, headers, body[0])


class RequestReader:
    """Reads one request; what comes behind it is not looked at."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> Request | None:
        """The request once it is whole."""
        self.data += data
        while self.data.startswith(b"\r\n"):  # 2.2: an empty line before a request is passed over
            del self.data[:2]
        head = _head(self.data)
        if head is None:
            return None
        first, headers, at = head
        words = first.split(" ")
        if len(words) != 3 or not words[0].isalpha() or not words[1] or not words[2].startswith("HTTP/"):
            raise HttpError(f"bad request line {first[:40]!r}")
        if not words[2].startswith("HTTP/1."):
            raise HttpError("unknown version", 505)
        if headers.get("transfer-encoding", "chunked").lower() != "chunked":
            raise HttpError("unknown transfer coding", 501)
        body = _body(self.data, headers, at, "0", MAX_REQUEST_BODY)
        return Request(words[0], words[1], headers, body[0]) if body else None
