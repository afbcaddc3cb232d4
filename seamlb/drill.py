"""Adapter: hosts one Controller per instance on the binary wire of standard input and output."""

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
    """A frame that does not follow the wire."""


class Reader:
    """Reads the records of one frame in order."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def take(self, form: struct.Struct) -> tuple[Any, ...]:
        """Unpack the next fields."""
        if self.at + form.size > len(self.data):
            raise WireError("record is cut short")
        values = form.unpack_from(self.data, self.at)
        self.at += form.size
        return values

    def blob(self, form: struct.Struct) -> bytes:
        """Read a counted run of bytes."""
        (size,) = self.take(form)
        if self.at + size > len(self.data):
            raise WireError(f"content of {size} bytes is cut short")
        self.at += size
        return self.data[self.at - size : self.at]

    def report(self) -> tuple[float, ...]:
        """Read a load report."""
        (count,) = self.take(U8)
        return self.take(struct.Struct(f"<{count}f"))


U8, U16, U32 = struct.Struct("<B"), struct.Struct("<H"), struct.Struct("<I")
BEGIN, LIST_CHANGE, DEMAND = struct.Struct("<HQ"), struct.Struct("<HQBB"), struct.Struct("<HQdQHBBfdff")
STANDS, ENDED, CALL, REF = (struct.Struct(f) for f in ("<HQBId", "<HQIBBdIB", "<HQ", "<HQ"))
SAMPLED, PEER, POOL = struct.Struct("<HBdI"), struct.Struct("<HI"), struct.Struct("<BI")


def _demand(read: Reader) -> tuple[int, api.Event]:
    inst, call, hint, key, tenant, flags, kind, via, grace, slots, dest = read.take(DEMAND)
    event = api.CallRequest(
        call=call,
        call_class=kind,
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
    return inst, event


def _stands(read: Reader) -> tuple[int, api.Event]:
    inst, call, leg, server, delay = read.take(STANDS)
    return inst, api.Answered(call, leg, server, delay)


def _ended(read: Reader) -> tuple[int, api.Event]:
    inst, call, note, leg, final, delay, server, status = read.take(ENDED)
    return inst, api.Ended(call, leg, server, status, bool(final), delay, note, read.report())


def _hung_up(read: Reader) -> tuple[int, api.Event]:
    inst, call = read.take(CALL)
    return inst, api.HungUp(call)


def _alarm(read: Reader) -> tuple[int, api.Event]:
    inst, token = read.take(REF)
    return inst, api.TimerFired(token)


def _sampled(read: Reader) -> tuple[int, api.Event]:
    inst, status, delay, server = read.take(SAMPLED)
    return inst, api.ServerReport(server, status, delay, read.report())


def _peer(read: Reader) -> tuple[int, api.Event]:
    inst, sender = read.take(PEER)
    return inst, api.PeerMessage(sender, read.blob(U16))


EVENTS: dict[int, tuple[str, Callable[[Reader], tuple[int, api.Event]]]] = {
    3: ("DEMAND", _demand),
    4: ("ACK_FIRST", _stands),
    5: ("ENDED", _ended),
    6: ("HANGUP", _hung_up),
    7: ("ALARM", _alarm),
    8: ("SAMPLED", _sampled),
    9: ("FROM_PEER", _peer),
}
OTHERS = {1: "BEGIN", 2: "BACKENDS_CHANGED", 10: "CRASH_NOW", 11: "POOL"}
NAMES = OTHERS | {code: name for code, (name, _) in EVENTS.items()}


def encode(inst: int, action: api.Action) -> bytes:
    """Turn an action into its record."""
    match action:
        case api.SendSetUp(call, server, within):
            return struct.pack("<HHQId", 65, inst, call, server, within)
        case api.Refuse(call, backoff):
            return struct.pack("<HHQd", 66, inst, call, backoff)
        case api.Fail(call):
            return struct.pack("<HHQ", 67, inst, call)
        case api.Cancel(call, leg):
            return struct.pack("<HHQB", 68, inst, call, leg)
        case api.SetTimer(token, at):
            return struct.pack("<HHQd", 69, inst, token, at)
        case api.Probe(server):
            return struct.pack("<HHI", 70, inst, server)
        case api.CloseIdle(server):
            return struct.pack("<HHI", 71, inst, server)
        case api.SendMessage(target, payload):
            to = ALL_PEERS if target is None else target
            return struct.pack("<HHIH", 72, inst, to, len(payload)) + payload
        case api.Log(text):
            return _text(73, inst, text)
        case api.Subscribe(enable):
            return struct.pack("<HHB", 75, inst, enable)
        case api.FetchList():
            return struct.pack("<HH", 76, inst)
    raise TypeError(f"not an action: {action!r}")


def _text(code: int, inst: int, text: str) -> bytes:
    data = text.encode()[:0xFFFF]
    return struct.pack("<HHH", code, inst, len(data)) + data


class Host:
    """Serves batches for any number of instances."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.lists: dict[int, tuple[api.ListEntry, ...]] = {}

    def serve(self, source: BinaryIO, sink: BinaryIO) -> int:
        """Answer batches until the input ends; returns the exit code."""
        while True:
            head = source.read(BATCH.size)
            if not head:
                return 0
            if len(head) < BATCH.size:
                return _malformed("batch header", 0, f"only {len(head)} bytes")
            now, size, count, number = BATCH.unpack(head)
            if size < BATCH.size:
                return _malformed("batch header", 8, f"length {size} is below the header's")
            body = source.read(size - BATCH.size)
            if len(body) < size - BATCH.size:
                return _malformed("batch", BATCH.size + len(body), "frame is cut short")
            read = Reader(body)
            out: list[bytes] = []
            for _ in range(count):
                start, name = read.at, "record"
                try:
                    (code,) = read.take(U16)
                    name = NAMES.get(code, f"code {code}")
                    self._record(now, code, read, out)
                except (WireError, ValueError, KeyError) as error:
                    return _malformed(name, BATCH.size + start, str(error))
            if read.at != len(body):
                return _malformed("batch", BATCH.size + read.at, "bytes are left over")
            records = b"".join(out)
            sink.write(REPLY.pack(len(out), REPLY.size + len(records), number) + records)
            sink.flush()

    def _record(self, now: float, code: int, read: Reader, out: list[bytes]) -> None:
        if code in EVENTS:
            inst, event = EVENTS[code][1](read)
            self._handle(now, inst, event, out)
        elif code == 2:
            inst, _version, number, scope = read.take(LIST_CHANGE)
            if scope not in (0, 1, 2, 3):
                raise WireError(f"unknown scope {scope}")
            if scope != api.Scope.FAILED and number not in self.lists:
                raise WireError(f"no POOL {number} was sent")
            entries = () if scope == api.Scope.FAILED else self.lists[number]
            self._handle(now, inst, api.ListChange(scope, entries), out)
        elif code == 11:
            number, size = read.take(POOL)
            self.lists[number] = tuple(
                api.ListEntry(server, zone, cell, state, since)
                for server, zone, _kind, cell, state, _power, since in (read.take(ENTRY) for _ in range(size))
            )
        elif code == 1:
            inst, seed = read.take(BEGIN)
            settings = api.Settings.from_mapping(json.loads(read.blob(U32)))
            self.controllers[inst] = Controller(settings, seed)
        elif code == 10:
            self.controllers.pop(read.take(U16)[0], None)
        else:
            raise WireError("unknown code")

    def _handle(self, now: float, inst: int, event: api.Event, out: list[bytes]) -> None:
        controller = self.controllers.get(inst)
        if controller is None:
            raise WireError(f"instance {inst} has not begun")
        try:
            out.extend(encode(inst, action) for action in controller.handle(now, event))
        except Exception as error:
            traceback.print_exc()
            out.append(_text(74, inst, f"{type(error).__name__}: {error}"))


def _malformed(name: str, position: int, reason: str) -> int:
    print(f"seamlb: malformed {name} at byte {position}: {reason}", file=sys.stderr)
    return 2


def main() -> int:
    """Serve standard input until it ends."""
    return Host().serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
