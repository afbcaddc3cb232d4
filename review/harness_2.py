"""Stand-ins and helpers of the second review: callers, duty desks, the notice board, and the agent as a process.

Nothing of the project is imported: the stand-ins follow the protocol page (and RFC 3261 where a case uses the SIP
front or SIP desks), and the agent is started with `run` of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
SLACK_S = 0.05  # every time limit of the rules is 50 ms longer on sockets
T1 = 0.5  # seconds, RFC 3261
Headers = list[tuple[str, str]]


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run; each line begins with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.path, self.started, self.lines = folder / "record.txt", time.monotonic(), list[str]()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started

    def add(self, who: str, what: str) -> float:
        """Add a line and return its time."""
        now = self.now()
        self.lines.append(f"{now:8.3f} {who:<10} {what}")
        return now

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


# -- messages -------------------------------------------------------------------------------------


class Msg:
    """A SIP message."""

    def __init__(self, start: str, headers: Headers, body: bytes = b"") -> None:
        self.start, self.headers, self.body = start, headers, body

    @classmethod
    def parse(cls, data: bytes) -> Msg:
        """Parse a whole message."""
        head, _, body = data.partition(b"\r\n\r\n")
        first, *lines = head.decode("utf-8", "surrogateescape").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        return cls(first, [(name.strip(), value.strip()) for name, _, value in pairs], body)

    def encode(self) -> bytes:
        """Serialize the message with its Content-Length."""
        lines = [self.start, *(f"{name}: {value}" for name, value in self.headers)]
        lines += [f"Content-Length: {len(self.body)}", "", ""]
        return "\r\n".join(lines).encode("utf-8", "surrogateescape") + self.body

    def get(self, name: str) -> str:
        """The first header of that name, or an empty string."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), "")

    @property
    def method(self) -> str:
        """The method of a request; empty for a response."""
        return "" if self.status else self.start.partition(" ")[0]

    @property
    def status(self) -> int:
        """The status of a response; 0 for a request."""
        return int(self.start.split(" ")[1]) if self.start.startswith("SIP/2.0 ") else 0

    @property
    def call(self) -> str:
        """The Call-ID."""
        return self.get("Call-ID")

    @property
    def cseq_method(self) -> str:
        """The method in CSeq."""
        return self.get("CSeq").partition(" ")[2].strip()


def reply(request: Msg, status: int, extra: Headers | None = None, body: bytes = b"", tag: str = "") -> Msg:
    """Build the response to a request."""
    headers = []
    for name, value in request.headers:
        if name.lower() == "to" and tag and ";tag=" not in value:
            value = f"{value};tag={tag}"
        if name.lower() in ("via", "from", "to", "call-id", "cseq"):
            headers.append((name, value))
    return Msg(f"SIP/2.0 {status} Status", headers + (extra or []), body)


async def read_message(reader: asyncio.StreamReader) -> Msg:
    """Read one message of a stream; IncompleteReadError at its end."""
    head = await reader.readuntil(b"\r\n\r\n")
    message = Msg.parse(head)
    length = int(message.get("Content-Length") or 0)
    message.body = await reader.readexactly(length) if length else b""
    return message


def uri_of(value: str) -> str:
    """The URI of a Contact, From or To header."""
    return value.partition("<")[2].partition(">")[0] if "<" in value else value.partition(";")[0]


def address_of(uri: str) -> tuple[str, int]:
    """Host and port of a SIP URI."""
    host, _, port = uri.partition(":")[2].rpartition("@")[2].partition(";")[0].rpartition(":")
    return host, int(port)


# -- addresses and configuration --------------------------------------------------------------------


def free_port() -> int:
    """A port that is free for TCP and for UDP on the loopback address."""
    for _ in range(100):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            tcp.bind(("127.0.0.1", 0))
            port: int = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind(("127.0.0.1", port))
                return port
    raise CaseError("no free port")


def member(ident: str, address: str, cell: int, phase: str = "Ready", since_ms: int = 0) -> dict[str, Any]:
    """One duty desk as the notice board lists it."""
    place = {"locality": "szeged", "flavor": "desk-small", "size": 1}
    return {"id": ident, "host_port": address, "cell": cell, "phase": phase, "up_since_ms": since_ms, **place}


def settings(pools: list[int], **limits: Any) -> dict[str, Any]:
    """Settings of a small deployment: those of the project's example, with these pools for all classes."""
    raw: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())["settings"]
    raw["Extra"]["SkilledPools"] = [pools for _ in raw["Classes"]]
    raw["Limits"] |= limits
    return raw


class Board:
    """The notice board: numbered events over HTTP long polls."""

    def __init__(self, record: Record) -> None:
        self.record, self.notices, self.changed = record, list[dict[str, Any]](), asyncio.Event()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def tell(self, members: list[dict[str, Any]], complete: bool = False) -> None:
        """Add an event."""
        rev = len(self.notices) + 1
        self.notices.append({"rev": rev, "pool": {"revision": rev, "complete": complete, "members": members}})
        self.record.add("board", f"event {rev}: " + ", ".join(f"{one['id']} {one['phase']}" for one in members))
        self.changed.set()
        self.changed = asyncio.Event()

    def content(self, watch: int = 0) -> dict[str, Any]:
        """The events after that number."""
        return {"rev": len(self.notices), "notices": [one for one in self.notices if one["rev"] > watch]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = dict(part.split("=") for part in head.split(" ")[1].partition("?")[2].split("&"))
                watch, linger = int(query["watch"]), min(int(query["linger"]), 5000) / 1000
                if len(self.notices) <= watch:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(linger):
                            await self.changed.wait()
                body = json.dumps(self.content(watch)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Agent:
    """The call agent as a process of its own."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any], plugins: str = "") -> None:
        self.record, self.folder = record, folder
        self.config, self.toml = folder / "config.json", folder / "plugins.toml"
        self.config.write_text(json.dumps(config))
        self.toml.write_text(plugins)
        self.listen = config["listen"]
        self.has_plugins = bool(plugins)
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> Path:
        """The log of the latest start."""
        return self.folder / f"agent-{self.starts}.log"

    async def start(self, within: float = 20.0) -> None:
        """Start it with `run` of the deploy file and wait until it serves."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.starts += 1
        private = self.folder / f"tmp-{self.starts}"
        private.mkdir()
        names = {"GW_NAME": "n1", "GW_LISTEN": self.listen, "GW_CONFIG": str(self.config), "TMPDIR": str(private)}
        if self.has_plugins:
            names["SEAMLB_PLUGINS"] = str(self.toml)
        kept = {name: value for name, value in os.environ.items() if not name.startswith(("GW_", "SEAMLB_"))}
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=kept | names, stdout=log, stderr=subprocess.STDOUT
            )
        self.record.add("agent", f"started, process {self.process.pid}")
        end = time.monotonic() + within
        while not self.events("serving"):
            if self.process.poll() is not None or time.monotonic() > end:
                raise CaseError("the agent does not serve: " + self.log.read_text()[-2000:])
            await asyncio.sleep(0.05)
        self.record.add("agent", "serves")

    def events(self, name: str) -> list[dict[str, Any]]:
        """The lines of one event in its log."""
        lines = self.log.read_bytes().rpartition(b"\n")[0].splitlines() if self.log.exists() else []
        found = [json.loads(line) for line in lines if line.startswith(b"{")]
        return [one for one in found if one.get("event") == name]

    async def end(self, number: int = signal.SIGTERM, within: float = 8.0) -> int:
        """Send a signal, wait for the exit, and return the exit code."""
        assert self.process is not None
        self.record.add("agent", f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)
        end = time.monotonic() + within
        while self.process.poll() is None:
            if time.monotonic() > end:
                raise CaseError("the agent does not end")
            await asyncio.sleep(0.02)
        self.record.add("agent", f"ended with {self.process.returncode}")
        return self.process.returncode

    def kill(self) -> None:
        """End it if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# -- duty desks and callers in the platform's dialect -----------------------------------------------


class PlatformDesk:
    """A duty desk: reports free agents, answers each set-up after `delay` seconds, and ends calls when told to."""

    def __init__(self, record: Record, name: str, delay: float = 0.05, agents: int = 40) -> None:
        self.record, self.name, self.delay, self.agents = record, name, delay, agents
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: dict[str, asyncio.Task[None]] = {}  # set-ups that wait for their answer
        self.standing: dict[str, asyncio.StreamWriter] = {}
        self.arrivals: list[tuple[float, str]] = []  # time and Call-ID of each set-up
        self.address = ""
        self.reporting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        self.reporting = asyncio.create_task(self._report())

    def state(self) -> str:
        """The report of the group."""
        free = self.agents - len(self.standing) - len(self.tasks)
        return f"idle:{free};circuits:{self.agents};reduce:0;avg_ms:5"

    def _notify(self, writer: asyncio.StreamWriter) -> None:
        fixed = [("Via", "SIP/2.0/TCP desk"), ("Call-ID", "state"), ("CSeq", "1 NOTIFY")]
        writer.write(Msg("NOTIFY sip:state@net SIP/2.0", [*fixed, ("X-Occupancy", self.state())]).encode())

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(0.4)
            for writer in self.writers[-4:]:
                self._notify(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        opened: set[str] = set()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            self._notify(writer)
            while True:
                message = await read_message(reader)
                if message.method == "INVITE":
                    opened.add(message.call)
                self._handle(message, writer)
        self.writers.remove(writer)
        for call in opened:  # closing a connection gives up the set-ups that are open on it
            if task := self.tasks.pop(call, None):
                task.cancel()
                self.record.add(self.name, f"{call} given up: the connection has ended")
        writer.close()

    def _handle(self, message: Msg, writer: asyncio.StreamWriter) -> None:
        call = message.call
        match message.method:
            case "INVITE":
                self.arrivals.append((self.record.add(self.name, f"{call} set-up"), call))
                self.tasks[call] = asyncio.create_task(self._answer(message, writer))
            case "CANCEL":
                self.record.add(self.name, f"{call} CANCEL")
                writer.write(reply(message, 200).encode())
                if task := self.tasks.pop(call, None):
                    task.cancel()
            case "BYE":
                self.record.add(self.name, f"{call} released by the agent")
                self.standing.pop(call, None)
                writer.write(reply(message, 200).encode())
            case "OPTIONS":
                writer.write(reply(message, 200).encode())

    async def _answer(self, invite: Msg, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.delay)
        del self.tasks[invite.call]
        self.standing[invite.call] = writer
        self.record.add(self.name, f"{invite.call} answered 200")
        writer.write(reply(invite, 200, body=b"v=0 " + self.name.encode() + b" " + invite.call.encode()).encode())

    def release(self, call: str) -> None:
        """End a call that stands."""
        writer = self.standing.pop(call)
        if writer.is_closing():
            writer = self.writers[-1]
        self.record.add(self.name, f"{call} over: BYE to the agent")
        headers = [("Via", "SIP/2.0/TCP desk"), ("Call-ID", call), ("CSeq", "1 BYE"), ("Reason", "Q.850;cause=16")]
        writer.write(Msg(f"BYE sip:{call}@net SIP/2.0", headers).encode())


def new_id() -> str:
    """A new Call-ID: 16 hex digits."""
    return f"{random.getrandbits(64):016x}"


def platform_invite(call: str, dest: int, kind: str = "level-check", wait_ms: int = 5000) -> Msg:
    """The set-up of a caller on the platform's front."""
    headers = [
        ("Via", "SIP/2.0/TCP peer"),
        ("Call-ID", call),
        ("CSeq", "1 INVITE"),
        ("X-Cos", kind),
        ("X-Timer-Ms", str(wait_ms)),
        ("X-Operator", "pest-megye"),
        ("X-Legs", f"dest:{dest};width:1;via:-1"),
    ]
    return Msg(f"INVITE sip:{call[::-1]}@net SIP/2.0", headers, f"offer {call}\r\n".encode())


class PlatformCallers:
    """Callers on one connection; `answers` and `ends` have what came for each Call-ID and when."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.answers: dict[str, list[tuple[float, int]]] = {}
        self.ends: dict[str, float] = {}
        self.closed_at: float | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.reading: asyncio.Task[None] | None = None

    async def connect(self, address: str) -> None:
        """Connect to the agent, or to a proxy before it."""
        host, _, port = address.rpartition(":")
        reader, self.writer = await asyncio.open_connection(host, int(port))
        self.reading = asyncio.create_task(self._read(reader))

    def send(self, message: Msg) -> None:
        """Send a message."""
        assert self.writer is not None
        if message.method == "INVITE":
            self.record.add(self.name, f"{message.call} set-up sent")
            self.answers[message.call] = []
        self.writer.write(message.encode())

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                self._handle(await read_message(reader))
        self.closed_at = self.record.add(self.name, "the connection has ended")
        if self.writer is not None:
            self.writer.close()

    def _handle(self, message: Msg) -> None:
        assert self.writer is not None
        call = message.call
        if message.method == "BYE":
            self.ends.setdefault(call, self.record.add(self.name, f"{call} released by the agent"))
            self.writer.write(reply(message, 200).encode())
        elif message.status >= 200 and message.cseq_method == "INVITE":
            at = self.record.add(self.name, f"{call} answer {message.status}")
            self.answers.setdefault(call, []).append((at, message.status))
            headers = [("Via", "SIP/2.0/TCP peer"), ("Call-ID", call), ("CSeq", "1 ACK")]
            self.writer.write(Msg(f"ACK sip:{call}@net SIP/2.0", headers).encode())


# -- duty desks and callers that speak SIP over UDP (RFC 3261) ----------------------------------------


class Udp(asyncio.DatagramProtocol):
    """A UDP socket that passes messages on."""

    def __init__(self, on_message: Callable[[Msg, tuple[str, int]], None]) -> None:
        self.on_message = on_message
        self.transport: asyncio.DatagramTransport | None = None

    async def bind(self, port: int = 0) -> str:
        """Bind, and return the address."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", port))
        return "{}:{}".format(*self.transport.get_extra_info("sockname")[:2])

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Pass a message on."""
        self.on_message(Msg.parse(data), (addr[0], addr[1]))

    def send(self, message: Msg, address: tuple[str, int]) -> None:
        """Send a message, unless the socket is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(message.encode(), address)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


class Resender:
    """Repeats a message after 0.5, 1, 2, 4 ... s until it is stopped, for 32 s at most."""

    def __init__(self, send: Callable[[], None], cap: float = 64.0) -> None:
        self.send, self.cap = send, cap
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        interval, waited = T1, 0.0
        self.send()
        while waited + interval <= 64 * T1:
            await asyncio.sleep(interval)
            waited += interval
            interval = min(2 * interval, self.cap)
            self.send()

    def stop(self) -> None:
        """No more repetitions."""
        self.task.cancel()


class SipDesk:
    """A SIP desk over UDP: 200 after `delay` seconds, 100 first if that is 0.2 s or more (RFC 3261, 17.2.1).

    Each call is known by its description, as the agent gives each attempt a Call-ID of its own.

    `die` is the end of its process: the socket closes and everything is forgotten. `start` may then be called again
    for the process that takes its place at the same address.
    """

    def __init__(self, record: Record, name: str, delay: float = 0.05) -> None:
        self.record, self.name, self.delay = record, name, delay
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.work: list[dict[str, Any]] = []  # each set-up that was run here: call, at, ended
        self._forget()

    def _forget(self) -> None:
        self.transactions: dict[str, tuple[Msg, tuple[str, int], Msg]] = {}  # by branch: request, source, response
        self.timers: dict[str, asyncio.Task[None]] = {}
        self.repeated: dict[str, Resender] = {}
        self.standing: dict[str, tuple[Msg, dict[str, Any]]] = {}  # by Call-ID
        self.releases: dict[str, Resender] = {}
        self.release_answers: dict[str, int] = {}  # final answer to our BYE, by the caller's description

    async def start(self) -> None:
        """Bind the address."""
        self.udp = Udp(self._received)
        await self.udp.bind(self.port)
        self.record.add(self.name, "process listens")

    def die(self) -> None:
        """The process ends."""
        self.record.add(self.name, "process dies")
        now = self.record.now()
        self.udp.close()
        for task in self.timers.values():
            task.cancel()
        for resender in (*self.repeated.values(), *self.releases.values()):
            resender.stop()
        for one in self.work:
            one["ended"] = now if one["ended"] is None else one["ended"]
        self._forget()

    def _respond(self, branch: str, message: Msg) -> None:
        request, source, _ = self.transactions[branch]
        self.transactions[branch] = (request, source, message)
        self.udp.send(message, source)

    def _received(self, message: Msg, source: tuple[str, int]) -> None:
        branch = message.get("Via").partition("branch=")[2].partition(";")[0]
        if message.status:
            if message.cseq_method == "BYE" and message.status >= 200 and (old := self.releases.pop(branch, None)):
                old.stop()
                self.record.add(self.name, f"{message.call} answer to our BYE: {message.status}")
            return
        match message.method:
            case "INVITE":
                if known := self.transactions.get(branch):
                    return self.udp.send(known[2], source) if known[2].status else None
                label = message.body.decode().strip()
                run = {
                    "call": label,
                    "at": self.record.add(self.name, f"{label} set-up {message.call}"),
                    "ended": None,
                }
                self.work.append(run)
                self.transactions[branch] = (message, source, message)
                if self.delay >= 0.2:
                    self._respond(branch, reply(message, 100))
                self.timers[branch] = asyncio.create_task(self._answer(branch, message, run))
            case "ACK":
                if resender := self.repeated.pop(message.call, None):
                    resender.stop()
            case "CANCEL":
                self.udp.send(reply(message, 200, tag="d"), source)
                timer = self.timers.pop(branch, None)
                if timer:
                    timer.cancel()
                    invite = self.transactions[branch][0]
                    self._respond(branch, reply(invite, 487, tag="d"))
                    self._ended(invite.body.decode().strip(), "CANCEL")
            case "BYE":
                self.udp.send(reply(message, 200), source)
                if standing := self.standing.pop(message.call, None):
                    self._ended(standing[1]["call"], "BYE of the agent")
            case "OPTIONS":
                self.udp.send(reply(message, 200, tag="d"), source)

    def _ended(self, label: str, how: str) -> None:
        now = self.record.add(self.name, f"{label} ended: {how}")
        for one in self.work:
            if one["call"] == label and one["ended"] is None:
                one["ended"] = now

    async def _answer(self, branch: str, invite: Msg, run: dict[str, Any]) -> None:
        await asyncio.sleep(self.delay)
        del self.timers[branch]
        contact = ("Contact", f"<sip:desk@{self.address};transport=udp>")
        answer = reply(invite, 200, [contact], f"answer of {self.name} to {run['call']}".encode(), tag="d")
        self.standing[invite.call] = (answer, run)
        self.record.add(self.name, f"{run['call']} answered 200")
        self.standing[invite.call] = (invite, run)
        self.repeated[invite.call] = Resender(lambda: self._respond(branch, answer), 4.0)

    def release_all(self) -> dict[str, float]:
        """End all calls that stand; returns when, by description."""
        ended = {}
        for ident, (invite, run) in list(self.standing.items()):
            del self.standing[ident]
            run["ended"] = ended[run["call"]] = self.record.add(self.name, f"{run['call']} over: BYE to the agent")
            branch = f"z9hG4bK{random.getrandbits(64):016x}"
            contact = uri_of(invite.get("Contact"))
            headers = [
                ("Via", f"SIP/2.0/UDP {self.address};branch={branch}"),
                ("Max-Forwards", "70"),
                ("From", invite.get("To") + ";tag=d"),
                ("To", invite.get("From")),
                ("Call-ID", ident),
                ("CSeq", "1 BYE"),
                ("Reason", "Q.850;cause=16"),
            ]
            bye = Msg(f"BYE {contact} SIP/2.0", headers)
            target = address_of(contact)
            self.releases[branch] = Resender(lambda bye=bye, target=target: self.udp.send(bye, target), 4.0)
        return ended


class SipPhone:
    """A caller over UDP with one call; `final` is its answer, `released` the time of the agent's BYE."""

    def __init__(self, record: Record, label: str, agent: str) -> None:
        self.record, self.label = record, label
        host, _, port = agent.rpartition(":")
        self.agent = host, int(port)
        self.udp = Udp(self._received)
        self.final: tuple[float, int] | None = None
        self.released: float | None = None
        self.sending: Resender | None = None

    async def call(self, kind: str = "level-check", wait_ms: int = 5000) -> None:
        """Send the set-up, and repeat it until there is a response."""
        address = await self.udp.bind()
        self.branch = f"z9hG4bK{random.getrandbits(64):016x}"
        self.fixed = [("Max-Forwards", "70"), ("From", f"<sip:me@net>;tag={self.label}"), ("Call-ID", new_id())]
        self.via = ("Via", f"SIP/2.0/UDP {address};branch={self.branch};rport")
        contact = ("Contact", f"<sip:me@{address};transport=udp>")
        own = [("X-Cos", kind), ("X-Timer-Ms", str(wait_ms)), ("X-Operator", "pest-megye"), contact]
        headers = [self.via, *self.fixed, ("To", "<sip:desk@net>"), ("CSeq", "1 INVITE"), *own]
        invite = Msg(f"INVITE sip:{self.label}@net SIP/2.0", headers, self.label.encode())
        self.record.add("phone", f"{self.label} set-up sent")
        self.sending = Resender(lambda: self.udp.send(invite, self.agent))

    def _received(self, message: Msg, source: tuple[str, int]) -> None:
        if message.method == "BYE":
            if self.released is None:
                self.released = self.record.add("phone", f"{self.label} released by the agent")
            return self.udp.send(reply(message, 200), source)
        if message.cseq_method != "INVITE" or not message.status:
            return
        if self.sending:
            self.sending.stop()
        if message.status < 200:
            return
        if self.final is None:
            self.final = self.record.add("phone", f"{self.label} answer {message.status}"), message.status
        headers = [*self.fixed, ("To", message.get("To")), ("CSeq", "1 ACK")]
        if message.status < 300:
            via = ("Via", self.via[1].replace(self.branch, self.branch + "a"))
            uri = uri_of(message.get("Contact"))
            self.udp.send(Msg(f"ACK {uri} SIP/2.0", [via, *headers]), address_of(uri))
        else:
            self.udp.send(Msg(f"ACK sip:{self.label}@net SIP/2.0", [self.via, *headers]), self.agent)


async def until(condition: Callable[[], bool], within: float, what: str) -> None:
    """Wait for a condition; CaseError after that many seconds."""
    end = time.monotonic() + within
    while not condition():
        if time.monotonic() > end:
            raise CaseError(f"not within {within} s: {what}")
        await asyncio.sleep(0.01)


def main(file: str, case: Callable[[Record, Path, list[Any]], Awaitable[int]]) -> None:
    """Run a case and exit with its code; what it has put into its list is killed in any event."""
    record, agents = Record(Path(file).resolve().parent), list[Any]()
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    record.add("case", f"TROUBLE={int(TROUBLE)}")

    async def run() -> int:
        async with asyncio.timeout(110):
            return await case(record, folder, agents)

    code = NOT_RUN
    try:
        code = asyncio.run(run())
    except Exception as error:
        record.add("case", f"could not run: {error!r}")
        traceback.print_exc()
    finally:
        for agent in agents:
            agent.kill()
        if "KEEP_LOGS" in os.environ:
            print(f"logs: {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
        record.add("case", {HELD: "the rule held", BROKEN: "the rule was BROKEN", NOT_RUN: "not run"}[code])
        record.write()
        print("\n".join(record.lines[-12:]))
    sys.exit(code)
