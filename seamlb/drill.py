"""Adapter to the simulator: one Controller per instance, over a binary protocol on standard input and output."""

from __future__ import annotations

import json
import struct
import sys
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO

from seamlb import api
from seamlb.policy.controller import Controller

BATCH = struct.Struct("<dIII")
REPLY = struct.Struct("<III")
ENTRY = struct.Struct("<IBHHBfd")
ALL_PEERS = 0xFFFFFFFF


class WireError(Exception):
    """A malformed record."""


class Reader:
    """Reads the records of one batch in order."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Unpack the next fields of a fixed layout."""
        if self.offset + layout.size > len(self.data):
            raise WireError("record is truncated")
        values = layout.unpack_from(self.data, self.offset)
        self.offset += layout.size
        return values

    def blob(self, layout: struct.Struct) -> bytes:
        """Read bytes that are preceded by their count."""
        (size,) = self.take(layout)
        if self.offset + size > len(self.data):
            raise WireError(f"content of {size} bytes is truncated")
        self.offset += size
        return self.data[self.offset - size : self.offset]

    def report(self) -> tuple[float, ...]:
        """Read a load report: a count and its values."""
        (count,) = self.take(U8)
        return self.take(struct.Struct(f"<{count}f"))


U8, U16, U32 = struct.Struct("<B"), struct.Struct("<H"), struct.Struct("<I")
BEGIN, LIST_CHANGE, DEMAND = struct.Struct("<HQ"), struct.Struct("<HQBB"), struct.Struct("<HQdQHBBfdff")
ACK_FIRST, ENDED, CALL, TOKEN = (struct.Struct(f) for f in ("<HQBId", "<HQIBBdIB", "<HQ", "<HQ"))
SAMPLED, PEER, POOL = struct.Struct("<HBdI"), struct.Struct("<HI"), struct.Struct("<BI")


def _call_request(reader: Reader) -> tuple[int, api.Event]:
    instance, call, hint, key, tenant, flags, call_class, via, grace, slots, dest = reader.take(DEMAND)
    event = api.CallRequest(
        call=call,
        call_class=call_class,
        tenant=tenant,
        time_left=grace,
        destination=int(dest),
        slots=slots,
        hint=hint,
        redialled=bool(flags & 2),
        in_transit=bool(flags & 8),
        cut_before=bool(flags & 16),
        via=int(via),
        number_key=key,
    )
    return instance, event


def _answered(reader: Reader) -> tuple[int, api.Event]:
    instance, call, leg, server, delay = reader.take(ACK_FIRST)
    return instance, api.Answered(call, leg, server, delay)


def _ended(reader: Reader) -> tuple[int, api.Event]:
    instance, call, note, leg, final, delay, server, status = reader.take(ENDED)
    return instance, api.Ended(call, leg, server, status, bool(final), delay, note, reader.report())


def _hung_up(reader: Reader) -> tuple[int, api.Event]:
    instance, call = reader.take(CALL)
    return instance, api.HungUp(call)


def _timer_fired(reader: Reader) -> tuple[int, api.Event]:
    instance, token = reader.take(TOKEN)
    return instance, api.TimerFired(token)


def _server_report(reader: Reader) -> tuple[int, api.Event]:
    instance, status, delay, server = reader.take(SAMPLED)
    return instance, api.ServerReport(server, status, delay, reader.report())


def _peer_message(reader: Reader) -> tuple[int, api.Event]:
    instance, sender = reader.take(PEER)
    return instance, api.PeerMessage(sender, reader.blob(U16))


EVENTS: dict[int, tuple[str, Callable[[Reader], tuple[int, api.Event]]]] = {
    3: ("DEMAND", _call_request),
    4: ("ACK_FIRST", _answered),
    5: ("ENDED", _ended),
    6: ("HANGUP", _hung_up),
    7: ("ALARM", _timer_fired),
    8: ("SAMPLED", _server_report),
    9: ("FROM_PEER", _peer_message),
}
OTHER_RECORDS = {1: "BEGIN", 2: "BACKENDS_CHANGED", 10: "CRASH_NOW", 11: "POOL"}
RECORD_NAMES = OTHER_RECORDS | {code: name for code, (name, _) in EVENTS.items()}


def encode(instance: int, action: api.Action) -> bytes:
    """Encode an action as a record."""
    match action:
        case api.SendSetUp(call, server, within):
            return struct.pack("<HHQId", 65, instance, call, server, within)
        case api.Refuse(call, backoff):
            return struct.pack("<HHQd", 66, instance, call, backoff)
        case api.Fail(call):
            return struct.pack("<HHQ", 67, instance, call)
        case api.Cancel(call, leg):
            return struct.pack("<HHQB", 68, instance, call, leg)
        case api.SetTimer(token, at):
            return struct.pack("<HHQd", 69, instance, token, at)
        case api.Probe(server):
            return struct.pack("<HHI", 70, instance, server)
        case api.CloseIdle(server):
            return struct.pack("<HHI", 71, instance, server)
        case api.SendMessage(target, payload):
            to = ALL_PEERS if target is None else target
            return struct.pack("<HHIH", 72, instance, to, len(payload)) + payload
        case api.Log(text):
            return _encode_text(73, instance, text)
        case api.Subscribe(enable):
            return struct.pack("<HHB", 75, instance, enable)
        case api.FetchList():
            return struct.pack("<HH", 76, instance)
    raise TypeError(f"unknown action: {action!r}")


def _encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:0xFFFF]
    return struct.pack("<HHH", code, instance, len(data)) + data


class Host:
    """Processes batches of events for any number of instances."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.pools: dict[int, tuple[api.ListEntry, ...]] = {}

    def serve(self, source: BinaryIO, sink: BinaryIO) -> int:
        """Answer each batch until the input ends; returns the exit code."""
        while True:
            header = source.read(BATCH.size)
            if not header:
                return 0
            if len(header) < BATCH.size:
                return _report_malformed("batch header", 0, f"only {len(header)} bytes")
            now, size, count, number = BATCH.unpack(header)
            if size < BATCH.size:
                return _report_malformed("batch header", 8, f"length {size} is smaller than the header")
            body = source.read(size - BATCH.size)
            if len(body) < size - BATCH.size:
                return _report_malformed("batch", BATCH.size + len(body), "batch is truncated")
            reader = Reader(body)
            replies: list[bytes] = []
            for _ in range(count):
                start, name = reader.offset, "record"
                try:
                    (code,) = reader.take(U16)
                    name = RECORD_NAMES.get(code, f"code {code}")
                    self._process_record(now, code, reader, replies)
                except (WireError, ValueError, KeyError) as error:
                    return _report_malformed(name, BATCH.size + start, str(error))
            if reader.offset != len(body):
                return _report_malformed("batch", BATCH.size + reader.offset, "trailing bytes")
            records = b"".join(replies)
            sink.write(REPLY.pack(len(replies), REPLY.size + len(records), number) + records)
            sink.flush()

    def _process_record(self, now: float, code: int, reader: Reader, replies: list[bytes]) -> None:
        if code in EVENTS:
            instance, event = EVENTS[code][1](reader)
            self._handle(now, instance, event, replies)
        elif code == 2:
            instance, _version, number, scope = reader.take(LIST_CHANGE)
            if scope not in (0, 1, 2, 3):
                raise WireError(f"unknown scope {scope}")
            if scope != api.Scope.FAILED and number not in self.pools:
                raise WireError(f"POOL {number} was not sent before")
            entries = () if scope == api.Scope.FAILED else self.pools[number]
            self._handle(now, instance, api.ListChange(scope, entries), replies)
        elif code == 11:
            number, size = reader.take(POOL)
            self.pools[number] = tuple(
                api.ListEntry(server, zone, cell, state, since)
                for server, zone, _kind, cell, state, _power, since in (reader.take(ENTRY) for _ in range(size))
            )
        elif code == 1:
            instance, seed = reader.take(BEGIN)
            settings = api.Settings.from_mapping(json.loads(reader.blob(U32)))
            self.controllers[instance] = Controller(settings, seed)
        elif code == 10:
            self.controllers.pop(reader.take(U16)[0], None)
        else:
            raise WireError("unknown code")

    def _handle(self, now: float, instance: int, event: api.Event, replies: list[bytes]) -> None:
        controller = self.controllers.get(instance)
        if controller is None:
            raise WireError(f"unknown instance {instance}, no BEGIN received")
        try:
            replies.extend(encode(instance, action) for action in controller.handle(now, event))
        except Exception as error:
            traceback.print_exc()
            replies.append(_encode_text(74, instance, f"{type(error).__name__}: {error}"))


def _report_malformed(name: str, position: int, reason: str) -> int:
    print(f"seamlb: malformed {name} at byte {position}: {reason}", file=sys.stderr)
    return 2


def main() -> int:
    """Process standard input until it ends."""
    return Host().serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
