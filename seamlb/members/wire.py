"""Format of the datagrams between instances: at most 256 bytes, signed. Does no I/O.

    magic 1 | version 1 | key 1 | kind 1 | sender | incarnation 8 | counter 8 | sent_at 4 | sequence 4 | target |
    number of records 1 | records | mac
    record: name | IPv4 4 | port 2 | incarnation 8 | status 1 | meta_version 2 | length of meta 1 | meta

Field widths are in bytes, integers are big-endian, the MAC has 16 bytes. A name is its length in one byte and up to
24 bytes of UTF-8; `sent_at` is in Unix seconds. Datagrams that are malformed, signed with an unknown key, too far off
the local clock or replayed are counted and dropped.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b
from hmac import compare_digest

MAX_DATAGRAM_BYTES = 256
MAGIC, VERSION = 0xA7, 1
MAC_BYTES = 16
MAX_NAME_BYTES = 24
MAX_META_BYTES = 32
MAX_CLOCK_SKEW_S = 30.0  # between a datagram's time and the local clock
MAX_TRACKED_SENDERS = 4096  # with a replay window
REPLAY_WINDOW = 64  # datagrams of one sender within which they may arrive out of order
LOG_INTERVAL_S = 10.0  # between two log lines on datagrams dropped for the same reason
_HEADER, _BODY, _RECORD = struct.Struct(">BBBB"), struct.Struct(">QQII"), struct.Struct(">4sHQBHB")


class Kind(IntEnum):
    """Type of a datagram."""

    PING = 1  # to be answered with ACK
    ACK = 2
    ASK = 3  # request to ping `target` on behalf of the sender
    SYNC = 4  # records only
    CONFLICT = 5  # another process uses the receiver's name; its record is included


class Status(IntEnum):
    """State of an instance; within one incarnation the higher value overrides the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # announced by the instance itself


@dataclass(slots=True, frozen=True)
class Record:
    """One instance's state, as spread by gossip."""

    name: str
    address: str  # IPv4 and port
    incarnation: int
    status: Status
    meta_version: int = 0
    meta: bytes = b""

    def encode(self) -> bytes:
        """The record's bytes in a datagram."""
        host, _, port = self.address.rpartition(":")
        return (
            _encode_name(self.name)
            + _RECORD.pack(
                ipaddress.IPv4Address(host).packed,
                int(port),
                self.incarnation,
                self.status,
                self.meta_version,
                len(self.meta),
            )
            + self.meta
        )


@dataclass(slots=True, frozen=True)
class Datagram:
    """A message."""

    kind: Kind
    sender: str
    incarnation: int
    sequence: int = 0  # an ACK repeats that of its PING
    target: str = ""
    records: tuple[Record, ...] = ()
    counter: int = 0  # rises with each datagram of a sender, over restarts too
    sent_at: int = 0  # Unix seconds

    def room(self) -> int:
        """Bytes left for further records."""
        return (
            MAX_DATAGRAM_BYTES
            - MAC_BYTES
            - len(self._encode_header(0))
            - 1
            - sum(len(one.encode()) for one in self.records)
        )

    def _encode_header(self, key: int) -> bytes:
        return (
            _HEADER.pack(MAGIC, VERSION, key, self.kind)
            + _encode_name(self.sender)
            + _BODY.pack(self.incarnation, self.counter, self.sent_at, self.sequence)
            + _encode_name(self.target)
        )

    def encode(self, key: int, secret: bytes) -> bytes:
        """The signed bytes; ValueError if there are more than MAX_DATAGRAM_BYTES."""
        body = self._encode_header(key) + bytes([len(self.records)]) + b"".join(one.encode() for one in self.records)
        if len(body) + MAC_BYTES > MAX_DATAGRAM_BYTES:
            raise ValueError("datagram exceeds the maximum size")
        return body + _mac(secret, body)


class DatagramError(Exception):
    """A datagram that is dropped; its text is the reason under which it is counted."""


def _encode_name(name: str) -> bytes:
    data = name.encode()
    if not 0 <= len(data) <= MAX_NAME_BYTES:
        raise ValueError(f"member name too long: {name!r}")
    return bytes([len(data)]) + data


def _mac(secret: bytes, body: bytes) -> bytes:
    return blake2b(body, key=secret, digest_size=MAC_BYTES).digest()


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.offset = data, 0

    def take(self, size: int) -> bytes:
        if self.offset + size > len(self.data):
            raise DatagramError("cut off")
        self.offset += size
        return self.data[self.offset - size : self.offset]

    def name(self) -> str:
        size = self.take(1)[0]
        if size > MAX_NAME_BYTES:
            raise DatagramError("unreadable")
        try:
            return self.take(size).decode()
        except UnicodeDecodeError:
            raise DatagramError("unreadable") from None

    def record(self) -> Record:
        name = self.name()
        host, port, incarnation, status, version, size = _RECORD.unpack(self.take(_RECORD.size))
        if size > MAX_META_BYTES or status not in iter(Status):
            raise DatagramError("unreadable")
        address = f"{ipaddress.IPv4Address(host)}:{port}"
        return Record(name, address, incarnation, Status(status), version, self.take(size))


def decode(data: bytes, keys: Mapping[int, bytes] | None) -> Datagram:
    """Parse a datagram or raise DatagramError; with `keys` None the signature is not verified."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError("too long")
    if len(data) < _HEADER.size + MAC_BYTES:
        raise DatagramError("cut off")
    magic, version, key, kind = _HEADER.unpack(data[: _HEADER.size])
    if magic != MAGIC:
        raise DatagramError("unreadable")
    if version != VERSION:
        raise DatagramError("other version")
    body = data[:-MAC_BYTES]
    if keys is not None:
        if key not in keys:
            raise DatagramError("unknown key")
        if not compare_digest(_mac(keys[key], body), data[-MAC_BYTES:]):
            raise DatagramError("wrong signature")
    if kind not in iter(Kind):
        raise DatagramError("unreadable")
    reader = _Reader(body)
    reader.take(_HEADER.size)
    sender = reader.name()
    incarnation, counter, sent_at, sequence = _BODY.unpack(reader.take(_BODY.size))
    target = reader.name()
    records = tuple(reader.record() for _ in range(reader.take(1)[0]))
    if reader.offset != len(body):
        raise DatagramError("unreadable")
    return Datagram(Kind(kind), sender, incarnation, sequence, target, records, counter, sent_at)
