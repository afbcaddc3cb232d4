"""Open-loop load on real loopback sockets: callers on each front, stand-in desks, a timeline of faults, an audit.

The agent is a process of its own, started as operators start it. Callers come by a Poisson process whatever is
answered; the time from asking to the final answer goes into an HDR histogram by class.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram

from seamlb.emulator.audit import Audit
from seamlb.planning.words import table
from seamlb.protocol.sip import Framer, Message, SipError, parameter, parse_datagram, response

CLASSES = (("level-check", 0.74, 1, 5000, 15000), ("subscribe-update", 0.21, 3, 5000, 15000),
           ("alert-confirm", 0.05, 5, 1500, 6000))  # name, part, worth, on time, deadline
OFFICES = (("pest-megye", 0.54), ("csongrad-megye", 0.38), ("szabolcs-megye", 0.08))
PATIENCE = 2000  # milliseconds of each call
FRONTS = ("platform", "tcp", "udp")
FAULTS = ("reset", "mute", "wake", "full", "empty", "drain")
DESKS = 4
WARM_UP = 1.0


@dataclass(slots=True)
class Load:
    """What to play."""

    rate: float = 50.0
    seconds: float = 10.0
    front: str = "platform"
    desks: int = DESKS
    agents: int = 40  # of each desk
    holding: float = 1.0  # mean seconds
    setup: float = 0.002  # seconds a set-up takes a desk
    seed: int = 1
    faults: tuple[tuple[float, str, str], ...] = ()  # at, desk, what: reset, mute, wake, full, empty, drain
    plugins: str = ""  # tables added to the plug-ins' file
    folder: str = ""  # where the files that they name are


@dataclass(slots=True)
class Report:
    """What came of it."""

    calls: int
    results: Counter[str]
    onset_ms: dict[str, dict[str, float]]  # by class: p50, p90, p99, most
    broken: list[str]
    counts: Counter[str]
    faults: list[dict[str, Any]]  # the agent's own `fault` lines
    exit_code: int
    stood_in_time: dict[str, float] = field(default_factory=dict)


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
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def _send(self, writer: asyncio.StreamWriter, message: Message) -> None:
        if not writer.is_closing():
            writer.write(message.encode())

    def _state(self, writer: asyncio.StreamWriter) -> None:
        idle = 0 if self.full else self.free
        self._send(writer, Message("NOTIFY", "sip:exchange@net", headers=[
            ("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", f"idle:{idle};circuits:{self.load.agents}")]))

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
            return self._send(writer, Message(status=503, reason="Full", headers=[
                ("Call-ID", call), cseq, ("X-Diagnosis", "atb")]))
        self.free -= 1
        self._send(writer, Message(status=200, reason="OK", headers=[("Call-ID", call), cseq], body=b"v=0\r\n"))
        self._state(writer)
        await asyncio.sleep(self.rng.expovariate(1.0 / self.load.holding))
        self.free += 1
        self._send(writer, Message("BYE", "sip:caller@net", headers=[
            ("Call-ID", call), ("CSeq", "2 BYE"), ("Reason", "Q.850;cause=16")]))
        self._state(writer)

    def fault(self, what: str) -> None:
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
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def tell(self, member: dict[str, Any]) -> None:
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


class Callers(asyncio.DatagramProtocol):
    """Poisson callers on one front."""

    def __init__(self, load: Load, audit: Audit, address: str) -> None:
        self.load, self.audit, self.address = load, audit, address
        self.rng = random.Random(load.seed)
        self.loop = asyncio.get_running_loop()
        self.kinds: dict[str, tuple[str, float]] = {}
        self.results: Counter[str] = Counter()
        self.in_time: dict[str, list[int]] = {name: [0, 0] for name, *_ in CLASSES}
        self.onset = {name: HdrHistogram(1, 60_000_000, 3) for name, *_ in CLASSES}
        self.own = ""
        self.count = 0

    async def connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        if self.load.front == "udp":
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda: self, local_addr=("127.0.0.1", 0), remote_addr=(host, int(port)))
            self.own = "{}:{}".format(*transport.get_extra_info("sockname"))
            self.send: Callable[[bytes], None] = transport.sendto
            self.close = transport.close
        else:
            reader, writer = await asyncio.open_connection(host, int(port))
            self.own = "{}:{}".format(*writer.get_extra_info("sockname"))
            self.send, self.close = writer.write, writer.close
            self.reading = self.loop.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        framer = Framer()
        while data := await reader.read(65536):
            framer.feed(data)
            for message in framer.messages():
                if isinstance(message, Message):
                    self.got(message)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        try:
            self.got(parse_datagram(data))
        except SipError:
            self.results["unreadable"] += 1

    async def run(self) -> None:
        end = self.loop.time() + self.load.seconds
        due = self.loop.time()
        while due < end:
            due += self.rng.expovariate(self.load.rate)  # open loop: late arrivals are not skipped
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            self.ask()

    def ask(self) -> None:
        (kind,) = self.rng.choices([one[0] for one in CLASSES], [one[1] for one in CLASSES])
        (office,) = self.rng.choices([one[0] for one in OFFICES], [one[1] for one in OFFICES])
        self.count += 1
        call = f"{self.rng.getrandbits(64):016x}"  # its id and the number it calls
        now = self.loop.time()
        self.kinds[call] = kind, now
        self.audit.asked(now, call, kind, PATIENCE / 1000.0)
        facts = [("X-Cos", kind), ("X-Timer-Ms", str(PATIENCE)), ("X-Operator", office)]
        if self.load.front == "platform":
            facts.append(("X-Legs", f"dest:{self.rng.randrange(self.load.desks)};width:1;via:-1"))
            head = [("Via", "SIP/2.0/TCP load"), ("Call-ID", call), ("CSeq", "1 INVITE")]
        else:
            name = self.load.front.upper()
            head = [("Via", f"SIP/2.0/{name} {self.own};branch=z9hG4bK{call};rport"), ("Max-Forwards", "70"),
                    ("From", f"<sip:load@net>;tag={call}"), ("To", "<sip:desk@net>"), ("Call-ID", call),
                    ("CSeq", "1 INVITE"), ("Contact", f"<sip:load@{self.own};transport={self.load.front}>")]
        self.send(Message("INVITE", f"sip:{call}@net", headers=head + facts,
                          body=b"v=0\r\n").encode())

    def got(self, message: Message) -> None:
        call = message.get("call-id")
        if message.method == "BYE" and self.load.front != "platform":
            self.send(response(message, 200).encode())
        if message.status < 200 or message.cseq()[1] != "INVITE":
            return
        self.acknowledge(message, call)
        kind, at = self.kinds.get(call, ("", 0.0))
        if not kind:
            return self.audit.answered(self.loop.time(), call, message.status)
        now = self.loop.time()
        if self.load.front == "udp" and self.audit.calls[call].finals:
            return  # a copy of an answer whose ACK was on its way (RFC 3261, 13.3.1.4 and 17.2.1)
        self.audit.answered(now, call, message.status)
        self.onset[kind].record_value(max(1, int((now - at) * 1e6)))
        self.results["stood" if message.status == 200 else str(message.status)] += 1
        aim = next(one[3] for one in CLASSES if one[0] == kind)
        self.in_time[kind][0] += message.status == 200 and (now - at) * 1000 <= aim
        self.in_time[kind][1] += 1

    def acknowledge(self, message: Message, call: str) -> None:
        if self.load.front == "platform":
            if message.status == 200:
                self.send(Message("ACK", "sip:desk@net", headers=[
                    ("Via", "SIP/2.0/TCP load"), ("Call-ID", call), ("CSeq", "1 ACK")]).encode())
            return
        target = message.get("contact").partition("<")[2].partition(">")[0] or "sip:desk@net"
        branch = "a" if message.status == 200 else ""  # an ACK to a 200 is a transaction of its own
        branch = (parameter(message.get("via"), "branch") or f"z9hG4bK{call}") + branch
        self.send(Message("ACK", target, headers=[
            ("Via", f"SIP/2.0/{self.load.front.upper()} {self.own};branch={branch};rport"), ("Max-Forwards", "70"),
            ("From", f"<sip:load@net>;tag={call}"), ("To", message.get("to")), ("Call-ID", call),
            ("CSeq", "1 ACK")]).encode())


def configuration(load: Load, members: list[dict[str, Any]], board: str) -> dict[str, Any]:
    """The agent's configuration for this load."""
    cells = [list(range(load.desks))] * len(CLASSES)
    room = load.desks * load.agents / load.holding
    return {
        "name": "load", "listen": "127.0.0.1:0", "seed": f"{load.seed:x}", "board": board,
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": members}}]},
        "settings": {
            "Classes": [{"Name": name, "Worth": worth, "OnTime": aim, "Deadline": most, "Effect": "free"}
                        for name, _, worth, aim, most in CLASSES],
            "Contract": {"AnswerSlack": 20, "Cold": 14000, "DrainGrace": 500, "Fall": 1500, "FallMultiple": 3,
                         "StartCapacity": 0.3},
            "Extra": {"ClearWait": 300, "NetworkForm": "skills", "SelfNo": -1, "SkilledPools": cells,
                      "Widths": [1] * len(CLASSES)},
            "Instances": 1, "MembershipMode": "pushed",
            "Limits": {"AttemptsCap": 6, "Cancel": True, "ConnectTimeout": 500, "MaxRetryAfter": 2000,
                       "RetryAfter": True},
            "Report": {"Fields": ["idle", "circuits", "reduce", "avg_ms"], "Source": "answers"},
            "Tenants": [{"Name": name, "Share": share, "AllowancePerS": share * room} for name, share in OFFICES],
        },
    }


async def play(load: Load) -> Report:
    """One run; the agent's process has ended when it returns."""
    audit, loop = Audit(), asyncio.get_running_loop()
    desks = {f"desk-{n}": LoadDesk(f"desk-{n}", load, audit) for n in range(load.desks)}
    board = BoardStandin()
    members = [{"id": name, "host_port": await desk.start(), "locality": "here", "cell": cell, "phase": "Ready",
                "size": 1, "up_since_ms": 0} for cell, (name, desk) in enumerate(desks.items())]

    def told(fresh: list[dict[str, Any]]) -> None:
        for one in fresh:
            if one["phase"] != "Ready":
                audit.drains(loop.time(), one["id"])

    board.on_told = told
    with tempfile.TemporaryDirectory() as folder:
        config, plugins = Path(folder) / "config.json", Path(load.folder or folder) / f"load-{load.seed}.toml"
        config.write_bytes(orjson.dumps(configuration(load, members, await board.start())))
        sip = f'[sip]\n{load.front} = "127.0.0.1:0"\n' if load.front != "platform" else ""
        plugins.write_text(sip + load.plugins)
        extra = ["--plugins", str(plugins)] if sip or load.plugins else []
        agent = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "seamlb", "serve", "--config", str(config), *extra,
            stdout=asyncio.subprocess.PIPE, limit=1 << 22)
        assert agent.stdout is not None
        try:
            callers, faults, reading = await _load(load, audit, agent.stdout, desks, board, members)
        finally:
            if agent.returncode is None:
                agent.terminate()
            code = await agent.wait()  # its lines are read to the end, or a full pipe would hold it up
            plugins.unlink(missing_ok=True)
            for desk in desks.values():
                await desk.stop()
            board.server.close()
    await reading
    audit.finish()
    onset = {name: {f"p{p:g}": one.get_value_at_percentile(p) / 1000.0 for p in (50.0, 90.0, 99.0, 100.0)}
             for name, one in callers.onset.items()}
    return Report(callers.count, callers.results, onset, audit.broken, audit.counts, faults, code,
                  {name: got / max(1, of) for name, (got, of) in callers.in_time.items()})


async def _load(load: Load, audit: Audit, lines: asyncio.StreamReader, desks: dict[str, LoadDesk],
                board: BoardStandin, members: list[dict[str, Any]],
                ) -> tuple[Callers, list[dict[str, Any]], asyncio.Task[None]]:
    loop, faults, addresses = asyncio.get_running_loop(), list[dict[str, Any]](), dict[str, str]()
    serving = asyncio.Event()

    async def read() -> None:
        async for line in lines:
            told = orjson.loads(line)
            if told["event"] == "listening":
                addresses[told["front"]] = told["address"]
            elif told["event"] == "serving":
                serving.set()
            elif told["event"] in ("fault", "plugin_health", "plugins_paused"):
                faults.append(told)
        serving.set()

    reading = asyncio.create_task(read())
    await asyncio.wait_for(serving.wait(), 20.0)
    if load.front not in addresses:
        raise RuntimeError(f"the agent does not listen for {load.front}")
    callers = Callers(load, audit, addresses[load.front])
    await callers.connect()
    await asyncio.sleep(WARM_UP)
    for at, name, what in load.faults:
        if what == "drain":
            member = next(one for one in members if one["id"] == name) | {"phase": "Terminating"}
            loop.call_later(at, board.tell, member)
        else:
            loop.call_later(at, desks[name].fault, what)
    await callers.run()
    await asyncio.sleep(PATIENCE / 1000.0 + 0.3)
    callers.close()
    return callers, faults, reading


def report_lines(load: Load, report: Report) -> list[str]:
    """The report as a table, with what made it."""
    told = ", ".join(f"{what} {count}" for what, count in sorted(report.results.items()))
    lines = [f"{load.front}, {load.rate:g} calls a second for {load.seconds:g} s, seed {load.seed}, "
             f"{len(load.faults)} faults: {report.calls} calls: {told}", ""]
    rows = [[name, f"{100 * report.stood_in_time[name]:.1f}", *(f"{value:.1f}" for value in figures.values())]
            for name, figures in report.onset_ms.items()]
    lines += table(["class", "stood in time %", "p50 ms", "p90 ms", "p99 ms", "most ms"], rows)
    lines += ["", f"rules broken: {len(report.broken)}", *report.broken[:10]]
    lines += [f"{one['event']}: {orjson.dumps(one).decode()}" for one in report.faults[:5]]
    return lines


def save(folder: Path, load: Load, report: Report, lines: list[str]) -> None:
    """report.md and report.svg."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "seamlb"
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.md").write_text("```\n" + "\n".join(lines) + "\n```\n")
    figure, axis = pyplot.subplots(figsize=(7, 4))
    for name, figures in report.onset_ms.items():
        axis.plot(list(figures), list(figures.values()), "o-", label=name)
    axis.set_yscale("log")
    axis.set_ylabel("time to the final answer, ms")
    axis.set_title(f"{load.front}, {load.rate:g} calls/s, seed {load.seed}")
    axis.legend()
    figure.tight_layout()
    figure.savefig(folder / "report.svg", metadata={"Date": None, "Creator": None})
    pyplot.close(figure)
