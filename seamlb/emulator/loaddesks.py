"""Stubs of a load test: desks with injected faults, and the notice board that serves the list of desks."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any

import orjson

from seamlb.emulator.audit import Audit
from seamlb.emulator.loadsite import Load
from seamlb.protocol.framing import Framer
from seamlb.protocol.sip import Message

FAULTS = ("reset", "mute", "wake", "full", "empty", "drain")


class DeskStub:
    """A desk that speaks the platform's SIP dialect and takes injected faults."""

    def __init__(self, name: str, load: Load, audit: Audit) -> None:
        self.name, self.load, self.audit = name, load, audit
        self.rng = random.Random(f"{load.seed} {name}")
        self.free, self.mute, self.full = load.agents, False, False
        self.writers: set[asyncio.StreamWriter] = set()
        self.open_attempts: dict[str, asyncio.StreamWriter] = {}  # by Call-ID, until answered
        self.called_numbers: dict[str, str] = {}
        self.processor = asyncio.Lock()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Start to listen; returns the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def _send(self, writer: asyncio.StreamWriter, message: Message) -> None:
        if not writer.is_closing():
            writer.write(message.encode())

    def _send_state(self, writer: asyncio.StreamWriter) -> None:
        idle = 0 if self.full else self.free
        self._send(
            writer,
            Message(
                "NOTIFY",
                "sip:exchange@net",
                headers=[
                    ("Call-ID", "0"),
                    ("CSeq", "1 NOTIFY"),
                    ("X-Occupancy", f"idle:{idle};circuits:{self.load.agents}"),
                ],
            ),
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        framer = Framer()
        if not self.mute:
            self._send_state(writer)
        try:
            while data := await reader.read(65536):
                framer.feed(data)
                for message in framer.messages():
                    if isinstance(message, Message):
                        self._receive(writer, message)
        except (OSError, asyncio.CancelledError):
            pass  # the agent has exited or the run is over
        finally:
            self.writers.discard(writer)
            for call in [call for call, owner in self.open_attempts.items() if owner is writer]:
                self._end_attempt(call, "reset")
            writer.close()

    def _end_attempt(self, call: str, outcome: str) -> None:
        if self.open_attempts.pop(call, None):
            self.audit.attempt_ended(asyncio.get_running_loop().time(), self.called_numbers[call], self.name, outcome)

    def _receive(self, writer: asyncio.StreamWriter, message: Message) -> None:
        call = message.get("call-id")
        if message.method == "INVITE":
            # The sip front is a B2BUA with Call-IDs of its own: the called number, unique per call, identifies it.
            self.called_numbers[call] = message.uri.removeprefix("sip:").partition("@")[0]
            self.audit.attempt_started(asyncio.get_running_loop().time(), self.called_numbers[call], self.name)
            self.open_attempts[call] = writer
            task = asyncio.get_running_loop().create_task(self._set_up(writer, message))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif message.method == "CANCEL":
            self._end_attempt(call, "cancelled")

    async def _set_up(self, writer: asyncio.StreamWriter, message: Message) -> None:
        call = message.get("call-id")
        async with self.processor:
            await asyncio.sleep(self.load.setup_s)
        if self.mute or self.open_attempts.get(call) is not writer:
            return
        self._end_attempt(call, "answered")
        cseq = ("CSeq", message.get("cseq"))
        if self.full or self.free <= 0:
            return self._send(
                writer, Message(status=503, reason="Full", headers=[("Call-ID", call), cseq, ("X-Diagnosis", "atb")])
            )
        self.free -= 1
        self._send(writer, Message(status=200, reason="OK", headers=[("Call-ID", call), cseq], body=b"v=0\r\n"))
        self._send_state(writer)
        await asyncio.sleep(self.rng.expovariate(1.0 / self.load.holding_s))
        self.free += 1
        self._send(
            writer,
            Message(
                "BYE", "sip:caller@net", headers=[("Call-ID", call), ("CSeq", "2 BYE"), ("Reason", "Q.850;cause=16")]
            ),
        )
        self._send_state(writer)

    def inject_fault(self, kind: str) -> None:
        """Start a fault of the load's timeline."""
        if kind == "reset":
            for writer in list(self.writers):
                writer.transport.abort()
        elif kind in ("mute", "wake"):
            self.mute = kind == "mute"
        else:
            self.full = kind == "full"
            for writer in list(self.writers):
                self._send_state(writer)

    async def stop(self) -> None:
        """Stop listening, cancel all tasks and close all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.close()


class BoardStub:
    """A notice board with long polls that holds only its latest event."""

    def __init__(self) -> None:
        self.rev, self.members, self.update = 1, list[dict[str, Any]](), asyncio.Event()
        self.changed: list[dict[str, Any]] = []
        self.on_delivered: Callable[[list[dict[str, Any]]], None] = lambda members: None

    async def start(self) -> str:
        """Start to listen; returns the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def publish(self, member: dict[str, Any]) -> None:
        """Publish a change of one desk to all pollers."""
        self.rev += 1
        self.changed = [member]
        self.update.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                known_rev = int(head.split("watch=")[1].split("&")[0])
                if known_rev >= self.rev:
                    self.update.clear()
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(1.9):
                            await self.update.wait()
                changes = self.changed if known_rev < self.rev else []
                pool = {"complete": False, "members": changes}
                notices = [{"rev": self.rev, "pool": pool}] if changes else []
                body = orjson.dumps({"rev": self.rev, "notices": notices})
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                self.on_delivered(changes)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, IndexError, ValueError):
            writer.close()
