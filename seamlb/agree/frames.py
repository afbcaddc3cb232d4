"""Messages on a byte stream: length, key number, MAC over receiver, digest of the founding version, message. Pure.

        length 4 | key 1 | mac 16 | to 1 + n | founding 16 | message

The length counts what follows it; numbers are big-endian. A frame that has no valid signature, is for another
receiver or of a site with another founding version is counted and dropped, and reading continues; an invalid length
ends the stream. An attacker may replay frames: messages tolerate that (agree/voter.py).
"""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Iterator, Mapping
from hashlib import blake2b
from hmac import compare_digest

from seamlb.agree.messages import Message, decode
from seamlb.agree.version import MAX_VERSION_BYTES

MAC_BYTES = 16
DIGEST_BYTES = 16  # of a version's digest
MAX_FRAME_BYTES = 8 * MAX_VERSION_BYTES  # two versions, in which each quotation mark is escaped to two characters
HEADER = struct.Struct(">IB")


class FrameError(ValueError):
    """A stream that can't be read any further."""


class Codec:
    """One process's encoder and decoder: its name, the founding version of its site, and its keys."""

    def __init__(self, name: str, founding_digest: str, accepted_keys: Mapping[int, bytes], signing_key: int) -> None:
        self.name, self.founding_digest = name, bytes.fromhex(founding_digest)
        self.dropped: Counter[str] = Counter()
        self.rotate(accepted_keys, signing_key)

    def rotate(self, accepted_keys: Mapping[int, bytes], signing_key: int) -> None:
        """Replaces the keys: signatures with any of them are accepted, one signs."""
        self.accepted_keys, self.signing_key = dict(accepted_keys), signing_key

    def encode(self, to: str, message: Message) -> bytes:
        """Encodes one frame."""
        name = to.encode()
        body = bytes([len(name)]) + name + self.founding_digest + message.encode()
        return (
            HEADER.pack(1 + MAC_BYTES + len(body), self.signing_key)
            + _mac(self.accepted_keys[self.signing_key], body)
            + body
        )

    def decode(self, key: int, signed: bytes) -> Message | None:
        """Decodes and verifies a frame; None if it was counted and dropped."""
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
    """Splits a byte stream into messages."""

    def __init__(self, codec: Codec) -> None:
        self.codec, self.buffer = codec, bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yields the messages that are complete; raises FrameError."""
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
        """Has part of a frame arrived?"""
        return bool(self.buffer)


def _mac(secret: bytes, body: bytes) -> bytes:
    return blake2b(body, key=secret, digest_size=MAC_BYTES).digest()
