"""HTTP/1.1 responses as a client reads them (RFC 9112), without input or output."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_HEAD = 16 * 1024
MAX_BODY = 8 * 1024 * 1024


class HttpError(Exception):
    """Bytes that are no response, or a response too large."""


@dataclass(slots=True)
class Response:
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def keeps(self) -> bool:
        """May the connection carry another request?"""
        return self.headers.get("connection", "").lower() != "close"


def get(path: str, host: str, *extra: tuple[str, str]) -> bytes:
    """A GET request's bytes."""
    lines = [f"GET {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in extra)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class ResponseReader:
    """Reads one response after another; give it bytes, take responses."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> Response | None:
        """The next response once it is whole; interim ones are passed over."""
        self.data += data
        while True:
            end = self.data.find(b"\r\n\r\n")
            if end < 0:
                if len(self.data) > MAX_HEAD:
                    raise HttpError("head too large")
                return None
            first, *lines = self.data[:end].decode("latin-1").split("\r\n")
            words = first.split(" ", 2)
            if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
                raise HttpError(f"bad status line {first[:40]!r}")
            headers = {}
            for line in lines:
                name, colon, value = line.partition(":")
                if not colon:
                    raise HttpError("bad header line")
                headers[name.strip().lower()] = value.strip()
            reply = Response(int(words[1]), headers)
            if 100 <= reply.status < 200:
                del self.data[: end + 4]
                continue
            if headers.get("transfer-encoding", "").lower() == "chunked":
                after = self._chunks(reply, end + 4)
            else:
                length = headers.get("content-length", "0" if reply.status in (204, 304) else "")
                if not length.isascii() or not length.isdigit() or int(length) > MAX_BODY:
                    raise HttpError("bad Content-Length")
                after = end + 4 + int(length)
                reply.body = bytes(self.data[end + 4 : after])
            if after is None or len(self.data) < after:
                return None
            del self.data[:after]
            return reply

    def _chunks(self, reply: Response, at: int) -> int | None:
        """Put the chunks together; the position after the last one, None while some are missing."""
        whole = bytearray()
        while True:
            line = self.data.find(b"\r\n", at)
            if line < 0:
                return None
            try:
                size = int(bytes(self.data[at:line]).split(b";")[0], 16)
            except ValueError:
                raise HttpError("bad chunk size") from None
            if size < 0 or len(whole) + size > MAX_BODY:
                raise HttpError("body too large")
            at = line + 2
            if size == 0:
                close = self.data.find(b"\r\n", at)
                while close > at:  # trailers
                    at = close + 2
                    close = self.data.find(b"\r\n", at)
                if close < 0:
                    return None
                reply.body = bytes(whole)
                return close + 2
            whole += self.data[at : at + size]
            at += size + 2
            if at > len(self.data):
                return None
