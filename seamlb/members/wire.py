"""Datagrams between instances: at most 256 bytes, signed, each taken once. Pure.

    magic 1 | version 1 | key 1 | kind 1 | sender | incarnation 8 | count 8 | sent 4 | number 4 | target | items | mac
    items: how many 1, each: name | IPv4 4 | port 2 | incarnation 8 | status 1 | version of meta 2 | length 1 | meta

Numbers are big-endian, the MAC has 16 bytes. A name is its length in one byte and up to 24 bytes of UTF-8; `sent` is
in Unix seconds. What can't be read, is signed by a key that is not ours, is too old or too far ahead, or came before
is counted and dropped.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b
from hmac import compare_digest

MOST = 256  # bytes
MAGIC, VERSION = 0xA7, 1
MAC = 16
NAME_MOST = 24
META_MOST = 32
SKEW = 30.0  # seconds that a datagram's time may be off ours
SENDERS = 4096  # that are remembered
WINDOW = 64  # datagrams of a sender that may overtake each other
SAY_EVERY = 10.0  # seconds between two words on datagrams dropped for the same reason
_HEAD, _BODY, _ITEM = struct.Struct(">BBBB"), struct.Struct(">QQII"), struct.Struct(">4sHQBHB")


class Kind(IntEnum):
    """What a datagram is for."""

    PING = 1  # answer me
    ACK = 2  # the answer
    ASK = 3  # ping `target` for me
    SYNC = 4  # items only
    CONFLICT = 5  # another process has your name; it is the item


class Status(IntEnum):
    """What is believed of an instance; of one incarnation the higher word holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it said so itself


@dataclass(slots=True, frozen=True)
class Item:
    """Word of one instance."""

    name: str
    address: str  # IPv4 and port
    incarnation: int
    status: Status
    meta_version: int = 0
    meta: bytes = b""

    def encode(self) -> bytes:
        """The item's bytes in a datagram."""
        host, _, port = self.address.rpartition(":")
        return (
            _name(self.name)
            + _ITEM.pack(
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
    """One message."""

    kind: Kind
    sender: str
    incarnation: int
    number: int = 0  # an answer has its question's
    target: str = ""
    items: tuple[Item, ...] = ()
    count: int = 0  # goes up with each datagram of a sender, also over its restarts
    sent: int = 0  # Unix seconds

    def room(self) -> int:
        """Bytes left for items."""
        return MOST - MAC - len(self._front(0)) - 1 - sum(len(one.encode()) for one in self.items)

    def _front(self, key: int) -> bytes:
        return (
            _HEAD.pack(MAGIC, VERSION, key, self.kind)
            + _name(self.sender)
            + _BODY.pack(self.incarnation, self.count, self.sent, self.number)
            + _name(self.target)
        )

    def encode(self, key: int, secret: bytes) -> bytes:
        """Its bytes, signed; ValueError if they are too many."""
        body = self._front(key) + bytes([len(self.items)]) + b"".join(one.encode() for one in self.items)
        if len(body) + MAC > MOST:
            raise ValueError("more than a datagram holds")
        return body + _mac(secret, body)


class DatagramError(Exception):
    """A datagram that is not taken; its text is the reason it is counted by."""


def _name(name: str) -> bytes:
    data = name.encode()
    if not 0 <= len(data) <= NAME_MOST:
        raise ValueError(f"name too long: {name!r}")
    return bytes([len(data)]) + data


def _mac(secret: bytes, body: bytes) -> bytes:
    return blake2b(body, key=secret, digest_size=MAC).digest()


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise DatagramError("cut off")
        self.at += size
        return self.data[self.at - size : self.at]

    def name(self) -> str:
        size = self.take(1)[0]
        if size > NAME_MOST:
            raise DatagramError("unreadable")
        try:
            return self.take(size).decode()
        except UnicodeDecodeError:
            raise DatagramError("unreadable") from None

    def item(self) -> Item:
        name = self.name()
        host, port, incarnation, status, version, size = _ITEM.unpack(self.take(_ITEM.size))
        if size > META_MOST or status not in iter(Status):
            raise DatagramError("unreadable")
        address = f"{ipaddress.IPv4Address(host)}:{port}"
        return Item(name, address, incarnation, Status(status), version, self.take(size))


def decode(data: bytes, keys: Mapping[int, bytes] | None) -> Datagram:
    """Read a datagram; DatagramError says why not. Without `keys` nothing is said of who sent it."""
    if len(data) > MOST:
        raise DatagramError("too long")
    if len(data) < _HEAD.size + MAC:
        raise DatagramError("cut off")
    magic, version, key, kind = _HEAD.unpack(data[: _HEAD.size])
    if magic != MAGIC:
        raise DatagramError("unreadable")
    if version != VERSION:
        raise DatagramError("other version")
    body = data[:-MAC]
    if keys is not None:
        if key not in keys:
            raise DatagramError("unknown key")
        if not compare_digest(_mac(keys[key], body), data[-MAC:]):
            raise DatagramError("wrong signature")
    if kind not in iter(Kind):
        raise DatagramError("unreadable")
    reader = _Reader(body)
    reader.take(_HEAD.size)
    sender = reader.name()
    incarnation, count, sent, number = _BODY.unpack(reader.take(_BODY.size))
    target = reader.name()
    items = tuple(reader.item() for _ in range(reader.take(1)[0]))
    if reader.at != len(body):
        raise DatagramError("unreadable")
    return Datagram(Kind(kind), sender, incarnation, number, target, items, count, sent)
