"""Notes on a byte stream: length, key, MAC over receiver, founding charter and note. Pure.

    length 4 | key 1 | mac 16 | to 1 + n | founding 16 | note

The length counts what follows it; numbers are big-endian. What is signed by no key of ours, is not for us, or is of a
site with another founding charter is counted and dropped, and the stream goes on; a length that can't be ends it.
Frames may be repeated by whoever holds the wire: notes are made for that (agree/council.py).
"""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Iterator, Mapping
from hashlib import blake2b
from hmac import compare_digest

from seamlb.agree.charter import MOST
from seamlb.agree.notes import Note, decode

MAC = 16
FOUNDING = 16  # bytes of a charter's digest
LONGEST = 8 * MOST  # two charters, whose quotation marks are written as two characters
HEAD = struct.Struct(">IB")


class FrameError(ValueError):
    """A stream that can't be read on."""


class Codec:
    """One process's side: its name, its site's founding charter and its keys, which may be rotated."""

    def __init__(self, name: str, founding: str, taken: Mapping[int, bytes], send: int) -> None:
        self.name, self.founding = name, bytes.fromhex(founding)
        self.dropped: Counter[str] = Counter()
        self.rotate(taken, send)

    def rotate(self, taken: Mapping[int, bytes], send: int) -> None:
        """Other keys from now on: all of them are taken, one signs."""
        self.taken, self.send = dict(taken), send

    def encode(self, to: str, note: Note) -> bytes:
        """One frame."""
        name = to.encode()
        body = bytes([len(name)]) + name + self.founding + note.encode()
        return HEAD.pack(1 + MAC + len(body), self.send) + _mac(self.taken[self.send], body) + body

    def decode(self, key: int, signed: bytes) -> Note | None:
        """The note of a frame; None: it was counted and dropped."""
        mac, body = signed[:MAC], signed[MAC:]
        if key not in self.taken or not compare_digest(_mac(self.taken[key], body), mac):
            return self._drop("wrong signature")
        at = 1 + body[0] if body else 0
        if body[1:at] != self.name.encode():
            return self._drop("not for us")
        if body[at : at + FOUNDING] != self.founding:
            return self._drop("another founding charter")
        try:
            return decode(body[at + FOUNDING :])
        except ValueError:
            return self._drop("unreadable")

    def _drop(self, reason: str) -> Note | None:
        self.dropped[reason] += 1
        return None


class Reader:
    """One stream's bytes into notes."""

    def __init__(self, codec: Codec) -> None:
        self.codec, self.buffer = codec, bytearray()

    def feed(self, data: bytes) -> Iterator[Note]:
        """Notes that are whole now; FrameError."""
        self.buffer += data
        while len(self.buffer) >= HEAD.size:
            length, key = HEAD.unpack_from(self.buffer)
            if not 1 + MAC <= length <= LONGEST:
                raise FrameError(f"a frame of {length} bytes")
            end = 4 + length
            if len(self.buffer) < end:
                return
            signed = bytes(self.buffer[HEAD.size : end])
            del self.buffer[:end]
            if note := self.codec.decode(key, signed):
                yield note

    @property
    def partial(self) -> bool:
        """Has a part of a frame come?"""
        return bool(self.buffer)


def _mac(secret: bytes, body: bytes) -> bytes:
    return blake2b(body, key=secret, digest_size=MAC).digest()
