"""Stand-ins of a load: duty desks that can be told to misbehave, and a notice board."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any

import orjson

from seamlb.emulator.audit import Audit
from seamlb.emulator.loadsite import Load
from seamlb.protocol.sip import Framer, Message

FAULTS = ("reset", "mute", "wake", "full", "empty", "drain")


class LoadDesk:
    """A duty desk of the platform's dialect that can be told to misbehave."""

    def __init__(self, name: str, load: Load, audit: Audit) -> None:
        self.name, self.load, self.audit = name, load, audit
        self.rng = random.Random(f"{load.seed} {name}")
        self.free, self.mute, self.full = load.agents, False, False
        self.writers: set[asyncio.StreamWriter] = set()
        self.open: dict[str, asyncio.StreamWriter] = {}  # attempts that wait for an answer
        self.numbers: dict[str, str] = {}
        self.processor = asyncio.Lock()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen; returns the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def _send(self, writer: asyncio.StreamWriter, message: Message) -> None:
        if not writer.is_closing():
            writer.write(message.encode())

    def _state(self, writer: asyncio.StreamWriter) -> None:
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
            self._state(writer)
        try:
            while data := await reader.read(65536):
                framer.feed(data)
                for message in framer.messages():
                    if isinstance(message, Message):
                        self._take(writer, message)
        except (OSError, asyncio.CancelledError):
            pass  # the agent or this run has ended
        finally:
            self.writers.discard(writer)
            for call in [call for call, its in self.open.items() if its is writer]:
                self._over(call, "reset")
            writer.close()

    def _over(self, call: str, how: str) -> None:
        if self.open.pop(call, None):
            self.audit.ended(asyncio.get_running_loop().time(), self.numbers[call], self.name, how)

    def _take(self, writer: asyncio.StreamWriter, message: Message) -> None:
        call = message.get("call-id")
        if message.method == "INVITE":
            # The sip front is a B2BUA with ids of its own: a call is known by the number called, one of its own each.
            self.numbers[call] = message.uri.removeprefix("sip:").partition("@")[0]
            self.audit.attempt(asyncio.get_running_loop().time(), self.numbers[call], self.name)
            self.open[call] = writer
            task = asyncio.get_running_loop().create_task(self._set_up(writer, message))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif message.method == "CANCEL":
            self._over(call, "cancelled")

    async def _set_up(self, writer: asyncio.StreamWriter, message: Message) -> None:
        call = message.get("call-id")
        async with self.processor:
            await asyncio.sleep(self.load.setup)
        if self.mute or self.open.get(call) is not writer:
            return
        self._over(call, "answered")
        cseq = ("CSeq", message.get("cseq"))
        if self.full or self.free <= 0:
            return self._send(
                writer, Message(status=503, reason="Full", headers=[("Call-ID", call), cseq, ("X-Diagnosis", "atb")])
            )
        self.free -= 1
        self._send(writer, Message(status=200, reason="OK", headers=[("Call-ID", call), cseq], body=b"v=0\r\n"))
        self._state(writer)
        await asyncio.sleep(self.rng.expovariate(1.0 / self.load.holding))
        self.free += 1
        self._send(
            writer,
            Message(
                "BYE", "sip:caller@net", headers=[("Call-ID", call), ("CSeq", "2 BYE"), ("Reason", "Q.850;cause=16")]
            ),
        )
        self._state(writer)

    def fault(self, what: str) -> None:
        """Begin a fault of the load's timeline."""
        if what == "reset":
            for writer in list(self.writers):
                writer.transport.abort()
        elif what in ("mute", "wake"):
            self.mute = what == "mute"
        else:
            self.full = what == "full"
            for writer in list(self.writers):
                self._state(writer)

    async def stop(self) -> None:
        """Stop listening and end what is open."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.close()


class BoardStandin:
    """The notice board: long polls, one event at a time."""

    def __init__(self) -> None:
        self.rev, self.members, self.news = 1, list[dict[str, Any]](), asyncio.Event()
        self.changed: list[dict[str, Any]] = []
        self.on_told: Callable[[list[dict[str, Any]]], None] = lambda members: None

    async def start(self) -> str:
        """Listen; returns the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def tell(self, member: dict[str, Any]) -> None:
        """Send news of one server to all who poll."""
        self.rev += 1
        self.changed = [member]
        self.news.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                known = int(head.split("watch=")[1].split("&")[0])
                if known >= self.rev:
                    self.news.clear()
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.news.wait(), 1.9)
                fresh = self.changed if known < self.rev else []
                pool = {"complete": False, "members": fresh}
                notices = [{"rev": self.rev, "pool": pool}] if fresh else []
                body = orjson.dumps({"rev": self.rev, "notices": notices})
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                self.on_told(fresh)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, IndexError, ValueError):
            writer.close()
