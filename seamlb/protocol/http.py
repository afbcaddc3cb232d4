"""HTTP/1.1 (RFC 9112) without I/O: a client's parser of responses and a server's parser of requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

MAX_HEAD_BYTES = 16 * 1024
MAX_RESPONSE_BODY_BYTES = 8 * 1024 * 1024
MAX_REQUEST_BODY_BYTES = 64 * 1024


class HttpError(Exception):
    """A malformed or oversized message; a server answers such a request with `status`."""

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
        """Whether the connection can be used for another request."""
        return self.headers.get("connection", "").lower() != "close"


def get_request(path: str, host: str, *extra: tuple[str, str]) -> bytes:
    """Encodes a GET request with additional headers."""
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
        """The path of the target, without the query and without the scheme and host that proxies send."""
        rest = self.target.partition("://")[2]
        path = "/" + rest.partition("/")[2] if rest else self.target
        return path.partition("?")[0]


def encode_response(
    status: int, body: bytes = b"", *extra: tuple[str, str], content_type: str = "application/json"
) -> bytes:
    """Encodes a response with `Connection: close`."""
    lines = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        f"Content-Type: {content_type}",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *(f"{name}: {value}" for name, value in extra),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def _parse_head(data: bytearray) -> tuple[str, dict[str, str], int] | None:
    """Returns the first line, the headers by lower-case name and the body's offset; None while incomplete."""
    end = data.find(b"\r\n\r\n")
    if end > MAX_HEAD_BYTES or (end < 0 and len(data) > MAX_HEAD_BYTES):
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


def _parse_body(
    data: bytearray, headers: dict[str, str], start: int, default_length: str, max_size: int
) -> tuple[bytes, int] | None:
    """Returns the body and the offset of its end; None while incomplete.

    `default_length` is the value assumed without a Content-Length header; "" makes the header mandatory.
    """
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return _parse_chunked_body(data, start, max_size)
    length = headers.get("content-length", default_length)
    if not length.isascii() or not length.isdigit():
        raise HttpError("bad Content-Length")
    if int(length) > max_size:
        raise HttpError("body too large", 413)
    end = start + int(length)
    return (bytes(data[start:end]), end) if len(data) >= end else None


def _parse_chunked_body(data: bytearray, position: int, max_size: int) -> tuple[bytes, int] | None:
    """Returns the joined chunks and the offset of the body's end; None while incomplete."""
    body = bytearray()
    while True:
        line_end = data.find(b"\r\n", position)
        if line_end < 0:
            return None
        try:
            size = int(bytes(data[position:line_end]).split(b";")[0], 16)
        except ValueError:
            raise HttpError("bad chunk size") from None
        if size < 0 or len(body) + size > max_size:
            raise HttpError("body too large", 413)
        position = line_end + 2
        if size == 0:
            trailer_end = data.find(b"\r\n", position)
            while trailer_end > position:  # skips trailer fields
                position = trailer_end + 2
                trailer_end = data.find(b"\r\n", position)
            return (bytes(body), trailer_end + 2) if trailer_end >= 0 else None
        body += data[position : position + size]
        position += size + 2
        if position > len(data):
            return None


class ResponseReader:
    """Incremental parser of the responses on one connection."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> Response | None:
        """Adds bytes and returns the next complete response, if any; interim (1xx) responses are skipped."""
        self.data += data
        while True:
            head = _parse_head(self.data)
            if head is None:
                return None
            first, headers, body_start = head
            parts = first.split(" ", 2)
            if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not parts[1].isdigit():
                raise HttpError(f"bad status line {first[:40]!r}")
            status = int(parts[1])
            if 100 <= status < 200:
                del self.data[:body_start]
                continue
            body = _parse_body(
                self.data, headers, body_start, "0" if status in (204, 304) else "", MAX_RESPONSE_BODY_BYTES
            )
            if body is None:
                return None
            del self.data[: body[1]]
            return Response(status, headers, body[0])


class RequestReader:
    """Incremental parser of a single request; bytes after it are ignored."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> Request | None:
        """Adds bytes and returns the request once it is complete."""
        self.data += data
        while self.data.startswith(b"\r\n"):  # RFC 9112, 2.2: empty lines before a request are ignored
            del self.data[:2]
        head = _parse_head(self.data)
        if head is None:
            return None
        first, headers, body_start = head
        parts = first.split(" ")
        if len(parts) != 3 or not parts[0].isalpha() or not parts[1] or not parts[2].startswith("HTTP/"):
            raise HttpError(f"bad request line {first[:40]!r}")
        if not parts[2].startswith("HTTP/1."):
            raise HttpError("unknown version", 505)
        if headers.get("transfer-encoding", "chunked").lower() != "chunked":
            raise HttpError("unknown transfer coding", 501)
        body = _parse_body(self.data, headers, body_start, "0", MAX_REQUEST_BODY_BYTES)
        return Request(parts[0], parts[1], headers, body[0]) if body else None
