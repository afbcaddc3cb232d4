"""A duty desk that speaks the platform's dialect, as a process of its own.

It tells its state first on each connection and every 0.4 s, at most on four; answers a set-up after 20 ms with a
description that names the call, or with 503 while no agent is free; releases a call with cause 16 at the end of its
time, on the connection of the set-up, else on any open one, and on the next one that is opened as well. It writes
what came and what it sent to its log, one JSON line each with the Unix time. With `--short` a share of its good
answers stops short at any byte: the request has run, the connection stays open, and the desk goes on as ever.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import struct
import time

import standin_wire as wire

ANSWER_AFTER = 0.02  # seconds
STATE_EVERY = 0.4  # seconds
STATE_CONNECTIONS = 4


class Desk:
    """The desk of one process."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.log_file = os.open(options.log, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.wires: list[wire.Wire] = []
        self.open: dict[str, wire.Wire] = {}  # set-ups without an answer
        self.calls: dict[str, wire.Wire] = {}  # calls that stand, with the connection of their set-up
        self.ended: list[bytes] = []  # releases to repeat on the next connection
        self.rng = random.Random(options.seed)

    def log(self, what: str, **facts: object) -> None:
        """Write one line."""
        line = {"at": round(time.time(), 4), "who": self.options.name, "pid": os.getpid(), "what": what, **facts}
        os.write(self.log_file, (json.dumps(line) + "\n").encode())

    def state(self) -> bytes:
        """The state of the group."""
        free = self.options.lines - len(self.calls) - len(self.open)
        report = f"idle:{max(0, free)};circuits:{self.options.lines};reduce:0;avg_ms:5"
        headers = {"Via": "SIP/2.0/TCP desk", "Call-ID": "state", "CSeq": "1 NOTIFY", "X-Occupancy": report}
        return wire.encode("NOTIFY sip:state@net SIP/2.0", headers)

    def connected(self, one: wire.Wire) -> None:
        """A new connection: the state goes first, then releases that may have been lost."""
        # The process resets its connections when it dies.
        sock = one.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.wires.append(one)
        one.send(self.state())
        for release in self.ended:
            one.send(release)
        self.ended.clear()

    def disconnected(self, one: wire.Wire) -> None:
        """A connection has ended: its open set-ups are given up, its calls stand."""
        if one in self.wires:
            self.wires.remove(one)
        for ident in [ident for ident, its in self.open.items() if its is one]:
            del self.open[ident]
            self.log("given_up", call=ident)

    def received(self, one: wire.Wire, message: wire.Message) -> None:
        """Handle one message."""
        ident = message.ident
        if message.method == "INVITE":
            self.log("set_up", call=ident, cos=message.headers.get("x-cos"))
            if len(self.calls) + len(self.open) >= self.options.lines:
                one.send(wire.answer(message, 503, {"X-Diagnosis": "atb"}))
                return self.log("refused", call=ident)
            self.open[ident] = one
            asyncio.get_running_loop().call_later(ANSWER_AFTER, self.stand, one, message)
        elif message.method == "CANCEL":
            if self.open.pop(ident, None):
                self.log("given_up", call=ident)
        elif message.method == "BYE":
            one.send(wire.answer(message, 200))
            if self.calls.pop(ident, None):
                self.log("released_by_agent", call=ident, cause=message.cause)
        elif message.method == "OPTIONS":
            one.send(wire.answer(message, 200))

    def stand(self, one: wire.Wire, message: wire.Message) -> None:
        """Answer a set-up that is still open."""
        ident = message.ident
        if self.open.pop(ident, None) is None:
            return
        self.calls[ident] = one
        data = wire.answer(message, 200, body=f"{ident} at {self.options.name}\r\n".encode())
        if self.rng.random() < self.options.short:
            data = data[: self.rng.randrange(1, len(data))]
            self.log("stops_short", call=ident, sent=len(data), last=data[-12:].decode())
        else:
            self.log("stands", call=ident)
        one.send(data)
        asyncio.get_running_loop().call_later(self.options.hold, self.end, ident)

    def end(self, ident: str) -> None:
        """The call has come to its end."""
        its = self.calls.pop(ident, None)
        if its is None:
            return
        release = wire.request("BYE", ident, "call", {"Reason": "Q.850;cause=16"})
        on = its if its.open else next((one for one in self.wires if one.open), None)
        self.log("release_sent", call=ident, written=on is not None)
        if on:
            on.send(release)
        self.ended.append(release)

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop, stop = asyncio.get_running_loop(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        server = await loop.create_server(
            lambda: wire.Wire(self.connected, self.received, self.disconnected), "127.0.0.1", self.options.port
        )
        self.log("up")
        while not stop.is_set():
            for one in self.wires[-STATE_CONNECTIONS:]:
                one.send(self.state())
            try:
                async with asyncio.timeout(STATE_EVERY):
                    await stop.wait()
            except TimeoutError:
                continue
        self.log("down", calls=sorted(self.calls))
        server.close()


def main() -> None:
    """Run one desk."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--lines", type=int, default=20)
    parser.add_argument("--hold", type=float, default=9.0, help="seconds that a call lasts")
    parser.add_argument("--short", type=float, default=0.0, help="share of good answers that stop short")
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(Desk(parser.parse_args()).run())


if __name__ == "__main__":
    main()
