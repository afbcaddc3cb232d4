"""A keeper: holds one agent's listening socket, starts its processes, and carries out what a conductor orders.

It is the small part that is never changed with the agents: callers' connections wait in its socket's queue while a
process is replaced or starts anew. All that it decides is in `keeping.py` and `fence.py`.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import signal
import socket
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from seamlb import log
from seamlb.fronts.management import HttpServer, json_response
from seamlb.net.address import address_family, split_address
from seamlb.protocol.http import Request
from seamlb.rollout.fence import Fence
from seamlb.rollout.keeping import DRAIN_MOST, Action, Keeping, Start, Terminate
from seamlb.rollout.plan import PlanError, Revision
from seamlb.store import record

TICK = 0.1  # seconds between two looks at the processes
ASK_EVERY = 0.5  # seconds between two questions to the process that serves
ASK_WITHIN = 1.0  # seconds for an answer
QUEUE = 512  # callers' connections that may wait while no process accepts


class KeeperConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A keeper's file."""

    name: str
    listen: str  # where callers come
    at: str  # where conductors call
    state: str  # a folder, relative to the file
    revision: Revision  # what runs until a conductor says otherwise


class Kept(msgspec.Struct, forbid_unknown_fields=True):
    """What outlives a keeper."""

    revision: Revision
    change: str = ""
    seq: int = 0
    over: bool = True


class Asked(msgspec.Struct, forbid_unknown_fields=True):
    """A conductor's call."""

    holder: str
    change: str
    seq: int
    over: bool = False
    after: str = ""
    revision: Revision | None = None


def load_keeper(path: Path) -> KeeperConfig:
    """Read and check a keeper's file."""
    try:
        told = msgspec.convert(tomllib.loads(path.read_text()), KeeperConfig)
        for address in (told.listen, told.at):
            split_address(address)
        state = path.parent / told.state
        state.mkdir(parents=True, exist_ok=True)
        return msgspec.structs.replace(told, state=str(state), revision=told.revision.read(path.parent))
    except OSError as error:
        raise PlanError(f"{error.filename or path}: {error.strerror}") from None
    except (ValueError, msgspec.ValidationError) as error:
        raise PlanError(f"{path}: {error}".replace("\n", " ")) from None


def _birth(pid: int) -> int:
    """When a process began, in the system's ticks: tells it from a later one with its number; 0 if there is none."""
    try:
        words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return 0 if words[0] == "Z" else int(words[19])


class Keeper:
    """One agent's keeper."""

    def __init__(self, config: KeeperConfig) -> None:
        self.config = config
        self.folder = Path(config.state)
        self.kept = self._restore()
        self.revisions = {self.kept.revision.ident: self.kept.revision}
        self.keeping = Keeping(self.kept.revision.ident)
        self.fence = Fence(self.kept.change, self.kept.seq, self.kept.over)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.management: dict[int, str] = {}
        self.figures: tuple[int, float, dict[str, Any]] | None = None  # process, when asked, what it told
        self.disk = ""  # what is wrong with it
        self.orphans: list[list[int]] = []  # pid and birth of processes of a keeper that was killed
        self.tasks: set[asyncio.Task[None]] = set()
        self.calls = HttpServer(
            "keeper",
            config.at,
            {
                "/keeper/state": ("GET", self._state),
                "/keeper/lease": ("POST", self._lease),
                "/keeper/order": ("POST", self._order),
            },
        )
        self.term = asyncio.Event()
        self.sending = False  # are orphans on their way out?

    # -- the disk -----------------------------------------------------------------------------

    def _restore(self) -> Kept:
        """What a keeper before this one kept; what can't be trusted is said and not used."""
        path = self.folder / "keeper"
        try:
            body = record.read(path)
            kept = msgspec.json.decode(body, type=Kept) if body is not None else Kept(self.config.revision)
            if not kept.revision.true:
                raise record.RecordError(f"{path}: revision {kept.revision.ident} is not what its digest says")
            return kept
        except (record.RecordError, msgspec.DecodeError) as error:
            log.event("record_refused", file=str(path), error=str(error))
            return Kept(self.config.revision)

    def _keep(self) -> None:
        """Put down what is in force; a disk that fails is told, and calls go on."""
        fence = self.fence
        kept = Kept(self.revisions[self.keeping.revision], fence.change, fence.seq, fence.over)
        if kept == self.kept:
            return
        try:
            record.write(self.folder / "keeper", msgspec.json.encode(kept))
            self.kept, self.disk = kept, ""
        except OSError as error:
            if not self.disk:
                log.event("record_failed", file=str(self.folder / "keeper"), error=str(error))
            self.disk = str(error)

    def _note(self) -> None:
        """Put down which processes there are: if this keeper is killed, the next one has to know them."""
        alive = [[one.pid, birth] for one in self.processes.values() if (birth := _birth(one.pid))]
        with contextlib.suppress(OSError):  # `_keep` tells of a disk that fails
            record.write(self.folder / "processes", orjson.dumps(alive + self.orphans))

    def _find_orphans(self) -> None:
        """Processes of a keeper before this one that still serve: they go once one of our own does."""
        try:
            told = orjson.loads(record.read(self.folder / "processes") or b"[]")
        except record.RecordError as error:
            log.event("record_refused", file=str(self.folder / "processes"), error=str(error))
            told = []
        self.orphans = [[pid, birth] for pid, birth in told if _birth(pid) == birth]
        if self.orphans:
            log.event("orphans", pids=[pid for pid, _ in self.orphans])

    async def _send_away(self) -> None:
        """Drain the orphans, then end what has not gone by itself."""
        loop = asyncio.get_running_loop()
        by, number = loop.time() + DRAIN_MOST, signal.SIGTERM
        while self.orphans:
            for pid, _ in self.orphans:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, number)
            while loop.time() < by and self.orphans:
                await asyncio.sleep(TICK)
                self.orphans = [[pid, birth] for pid, birth in self.orphans if _birth(pid) == birth]
            by, number = loop.time() + DRAIN_MOST, signal.SIGKILL
        self._note()

    # -- processes ----------------------------------------------------------------------------

    async def _start(self, number: int, ident: str) -> None:
        """Start a process and wait for its end."""
        loop = asyncio.get_running_loop()
        try:
            # A file of its own that nobody edits: SIGHUP reads the same revision again.
            revision, path = self.revisions[ident], self.folder / f"{ident}.json"
            path.write_text(revision.config)
            with socket.socket(self.socket.family) as free:  # each process has a management address of its own
                free.bind((split_address(self.config.at)[0], 0))
                self.management[number] = "{}:{}".format(*free.getsockname()[:2])
            # All by the environment: a version that does not know one of these still starts.
            environment = os.environ | {
                "GW_CONFIG": str(path),
                "GW_NAME": self.config.name,
                "GW_LISTEN": self.config.listen,
                "GW_INHERITED_FD": str(self.socket.fileno()),
                "GW_MANAGEMENT": self.management[number],
                "SEAMLB_MEASURES": "1",
            }
            process = await asyncio.create_subprocess_exec(
                *revision.command, env=environment, pass_fds=(self.socket.fileno(),), start_new_session=True
            )
        except OSError as error:
            log.event("process_end", process=number, revision=ident, error=str(error))
            return self._carry_out(self.keeping.exited(loop.time(), number, str(error)))
        self.processes[number] = process
        self._note()
        log.event("process_start", process=number, revision=ident, pid=process.pid)
        code = await process.wait()
        del self.processes[number]
        how = f"exit code {code}" if code >= 0 else f"signal {-code}"
        log.event("process_end", process=number, revision=ident, error=how)
        self._carry_out(self.keeping.exited(loop.time(), number, how))

    def _carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._task(self._start(action.process, action.revision))
            elif process := self.processes.get(action.process):
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM if isinstance(action, Terminate) else signal.SIGKILL)
        self._keep()

    def _task(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _look(self) -> None:
        """Ask the processes that serve or come up how they are, for ever."""
        loop, client = asyncio.get_running_loop(), AsyncHTTPClient()

        async def ask(number: int, path: str) -> dict[str, Any] | None:
            address = self.management.get(number)
            if address is None:
                return None
            try:
                request = HTTPRequest(f"http://{address}{path}", request_timeout=ASK_WITHIN)
                told = orjson.loads((await client.fetch(request)).body)
                return told if isinstance(told, dict) else None
            except (HTTPError, OSError, orjson.JSONDecodeError):
                return None

        asked = 0.0
        while True:
            await asyncio.sleep(TICK)
            self._carry_out(self.keeping.tick(loop.time()))
            for run in (self.keeping.coming, self.keeping.current):
                if run and not run.ready and await ask(run.number, "/admin/health"):
                    self._carry_out(self.keeping.ready(loop.time(), run.number))
                    if self.orphans and not self.sending:
                        self.sending = True
                        self._task(self._send_away())
            if (run := self.keeping.current) and loop.time() - asked > ASK_EVERY:
                asked = loop.time()
                if told := await ask(run.number, "/admin/measures"):
                    self.figures = (run.number, asked, told)
                elif not await ask(run.number, "/admin/health"):
                    self.keeping.unready(run.number)

    # -- conductors' calls --------------------------------------------------------------------

    def _state(self, request: Request) -> bytes:
        keeping, now = self.keeping, asyncio.get_running_loop().time()
        told: dict[str, Any] = {
            "name": self.config.name,
            "running": keeping.running,
            "ready": bool(keeping.current and keeping.current.ready),
            "coming": keeping.coming.revision if keeping.coming else "",
            "failed": keeping.failed,
            "wanted": keeping.wanted,
            "crashes": keeping.crashes,
            "change": self.fence.change,
            "seq": self.fence.seq,
            "over": self.fence.over,
            "holder": self.fence.holder if now < self.fence.until else "",
            "disk": self.disk,
            "leaving": len(keeping.leaving),
        }
        if self.figures and keeping.current and self.figures[0] == keeping.current.number:
            told |= {"figures": self.figures[2], "figures_age": now - self.figures[1]}
        return json_response(200, **told)

    def _asked(self, request: Request) -> Asked | bytes:
        """The call, its lease taken or renewed; else the answer that says why not."""
        try:
            asked = msgspec.json.decode(request.body, type=Asked)
        except msgspec.MsgspecError as error:
            return json_response(400, error=str(error))
        now = asyncio.get_running_loop().time()
        if refused := self.fence.ask(now, asked.holder, asked.change, asked.seq, asked.over, asked.after):
            return json_response(409, error=refused)
        self._keep()
        return asked

    def _lease(self, request: Request) -> bytes:
        asked = self._asked(request)
        return asked if isinstance(asked, bytes) else json_response(200)

    def _order(self, request: Request) -> bytes:
        asked = self._asked(request)
        if isinstance(asked, bytes):
            return asked
        if asked.revision is None or not asked.revision.true:
            return json_response(400, error="no revision, or not what its digest says")
        self.revisions[asked.revision.ident] = asked.revision
        log.event("ordered", revision=asked.revision.ident, by=asked.holder, change=asked.change, seq=asked.seq)
        self._carry_out(self.keeping.order(asyncio.get_running_loop().time(), asked.revision.ident))
        return json_response(200)

    def _bind(self) -> None:
        """Listen where callers come; OSError if a stranger does.

        The address can be bound twice, so that a keeper that follows a killed one gets it from the orphans that hold
        it still; nobody else is let in, as the first try does not share.
        """
        host, port = split_address(self.config.listen)
        if not self.orphans:
            with socket.socket(address_family(host)) as alone:
                alone.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                alone.bind((host, port))
        self.socket = socket.socket(address_family(host))
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.socket.bind((host, port))
        self.socket.listen(QUEUE)

    # -- its life -----------------------------------------------------------------------------

    async def run(self) -> None:
        """Keep the agent until SIGTERM, then drain it."""
        loop = asyncio.get_running_loop()
        if record.lock(self.folder) is None:
            raise OSError(errno.EADDRINUSE, f"another keeper works in {self.folder}")
        self._find_orphans()
        self._bind()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.term.set)
        self.calls.start()
        looking = loop.create_task(self._look())
        log.event("keeping", name=self.config.name, at=self.config.at, revision=self.keeping.revision)
        await self.term.wait()
        self._carry_out(self.keeping.end(loop.time()))
        while self.tasks:
            await asyncio.sleep(TICK)
        looking.cancel()
        self.calls.close()
        self.socket.close()
        log.event("kept", name=self.config.name)
