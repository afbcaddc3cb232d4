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

from seamlb.agree.charter import MAX_VERSION_BYTES
from seamlb.agree.notes import Message, decode

MAC_BYTES = 16
DIGEST_BYTES = 16  # bytes of a charter's digest
MAX_FRAME_BYTES = 8 * MAX_VERSION_BYTES  # two charters, whose quotation marks are written as two characters
HEADER = struct.Struct(">IB")


class FrameError(ValueError):
    """A stream that can't be read on."""


class Codec:
    """One process's side: its name, its site's founding charter and its keys, which may be rotated."""

    def __init__(self, name: str, founding_digest: str, accepted_keys: Mapping[int, bytes], signing_key: int) -> None:
        self.name, self.founding_digest = name, bytes.fromhex(founding_digest)
        self.dropped: Counter[str] = Counter()
        self.rotate(accepted_keys, signing_key)

    def rotate(self, accepted_keys: Mapping[int, bytes], signing_key: int) -> None:
        """Other keys from now on: all of them are taken, one signs."""
        self.accepted_keys, self.signing_key = dict(accepted_keys), signing_key

    def encode(self, to: str, message: Message) -> bytes:
        """One frame."""
        name = to.encode()
        body = bytes([len(name)]) + name + self.founding_digest + message.encode()
        return (
            HEADER.pack(1 + MAC_BYTES + len(body), self.signing_key)
            + _mac(self.accepted_keys[self.signing_key], body)
            + body
        )

    def decode(self, key: int, signed: bytes) -> Message | None:
        """The note of a frame; None: it was counted and dropped."""
        mac, body = signed[:MAC_BYTES], signed[MAC_BYTES:]
        if key not in self.accepted_keys or not compare_digest(_mac(self.accepted_keys[key], body), mac):
            return self._drop("wrong signature")
        at = 1 + body[0] if body else 0
        if body[1:at] != self.name.encode():
            return self._drop("not for us")
        if body[at : at + DIGEST_BYTES] != self.founding_digest:
            return self._drop("another founding charter")
        try:
            return decode(body[at + DIGEST_BYTES :])
        except ValueError:
            return self._drop("unreadable")

    def _drop(self, reason: str) -> Message | None:
        self.dropped[reason] += 1
        return None


class FrameReader:
    """One stream's bytes into notes."""

    def __init__(self, codec: Codec) -> None:
        self.codec, self.buffer = codec, bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Notes that are whole now; FrameError."""
        self.buffer += data
        while len(self.buffer) >= HEADER.size:
            length, key = HEADER.unpack_from(self.buffer)
            if not 1 + MAC_BYTES <= length <= MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            end = 4 + length
            if len(self.buffer) < end:
                return
            signed = bytes(self.buffer[HEADER.size : end])
            del self.buffer[:end]
            if message := self.codec.decode(key, signed):
                yield message

    @property
    def partial(self) -> bool:
        """Has a part of a frame come?"""
        return bool(self.buffer)


def _mac(secret: bytes, body: bytes) -> bytes:
    return blake2b(body, key=secret, digest_size=MAC_BYTES).digest()
