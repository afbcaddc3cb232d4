"""Process supervisor: holds one agent's listening socket, starts its processes, and executes a controller's orders.

It is the small part that a rollout never replaces: callers' connections wait in its socket's queue while a process is
replaced or restarted. The decisions are in `keeping.py` and `fence.py`.
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
from seamlb.rollout.plan import PlanError, Revision
from seamlb.rollout.processes import DRAIN_TIMEOUT_S, Action, ProcessStateMachine, Start, Terminate
from seamlb.store import record

TICK_S = 0.1  # interval at which the processes are checked
POLL_INTERVAL_S = 0.5  # between two requests for the serving process's metrics
REQUEST_TIMEOUT_S = 1.0
BACKLOG = 512  # callers' connections that may wait while no process accepts


class SupervisorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A supervisor's configuration file."""

    name: str
    listen: str  # address for callers
    at: str  # address for controllers
    state: str  # a folder, relative to the file
    revision: Revision  # runs until a controller orders another one


class SavedState(msgspec.Struct, forbid_unknown_fields=True):
    """What survives a supervisor's restart."""

    revision: Revision
    change: str = ""
    seq: int = 0
    over: bool = True


class ControllerRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a controller's request."""

    holder: str
    change: str
    seq: int
    over: bool = False
    after: str = ""
    revision: Revision | None = None


def load_supervisor(path: Path) -> SupervisorConfig:
    """Read and validate a supervisor's configuration file, and create its state folder."""
    try:
        config = msgspec.convert(tomllib.loads(path.read_text()), SupervisorConfig)
        for address in (config.listen, config.at):
            split_address(address)
        state = path.parent / config.state
        state.mkdir(parents=True, exist_ok=True)
        return msgspec.structs.replace(config, state=str(state), revision=config.revision.load(path.parent))
    except OSError as error:
        raise PlanError(f"{error.filename or path}: {error.strerror}") from None
    except (ValueError, msgspec.ValidationError) as error:
        raise PlanError(f"{path}: {error}".replace("\n", " ")) from None


def _process_start(pid: int) -> int:
    """A process's start time in clock ticks, which tells apart processes that reuse a pid; 0 if there is none."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return 0 if fields[0] == "Z" else int(fields[19])


class Supervisor:
    """One agent's supervisor."""

    def __init__(self, config: SupervisorConfig) -> None:
        self.config = config
        self.folder = Path(config.state)
        self.saved = self._restore()
        self.revisions = {self.saved.revision.ident: self.saved.revision}
        self.machine = ProcessStateMachine(self.saved.revision.ident)
        self.fence = Fence(self.saved.change, self.saved.seq, self.saved.over)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.management: dict[int, str] = {}  # management addresses by process number
        self.metrics: tuple[int, float, dict[str, Any]] | None = None  # process number, request time, response
        self.disk_error = ""
        self.orphans: list[list[int]] = []  # pid and start time of the processes of a supervisor that was killed
        self.tasks: set[asyncio.Task[None]] = set()
        self.server = HttpServer(
            "keeper",
            config.at,
            {
                "/keeper/state": ("GET", self._state),
                "/keeper/lease": ("POST", self._lease),
                "/keeper/order": ("POST", self._order),
            },
        )
        self.stop_requested = asyncio.Event()
        self.draining_orphans = False

    # -- the disk -----------------------------------------------------------------------------

    def _restore(self) -> SavedState:
        """The state that an earlier supervisor saved; a corrupt one is logged and not used."""
        path = self.folder / "keeper"
        try:
            raw = record.read(path)
            state = msgspec.json.decode(raw, type=SavedState) if raw is not None else SavedState(self.config.revision)
            if not state.revision.digest_matches:
                raise record.RecordError(f"{path}: revision {state.revision.ident} doesn't match its digest")
            return state
        except (record.RecordError, msgspec.DecodeError) as error:
            log.event("record_refused", file=str(path), error=str(error))
            return SavedState(self.config.revision)

    def _save(self) -> None:
        """Save the state if it has changed; a disk that fails is logged, and calls go on."""
        fence = self.fence
        state = SavedState(self.revisions[self.machine.revision], fence.change, fence.seq, fence.over)
        if state == self.saved:
            return
        try:
            record.write(self.folder / "keeper", msgspec.json.encode(state))
            self.saved, self.disk_error = state, ""
        except OSError as error:
            if not self.disk_error:
                log.event("record_failed", file=str(self.folder / "keeper"), error=str(error))
            self.disk_error = str(error)

    def _save_processes(self) -> None:
        """Save the running processes: if this supervisor is killed, the next one has to find them."""
        alive = [[one.pid, start] for one in self.processes.values() if (start := _process_start(one.pid))]
        with contextlib.suppress(OSError):  # `_save` logs a disk that fails
            record.write(self.folder / "processes", orjson.dumps(alive + self.orphans))

    def _find_orphans(self) -> None:
        """Find processes of an earlier supervisor that still serve; they drain once one of our own is ready."""
        try:
            saved = orjson.loads(record.read(self.folder / "processes") or b"[]")
        except record.RecordError as error:
            log.event("record_refused", file=str(self.folder / "processes"), error=str(error))
            saved = []
        self.orphans = [[pid, start] for pid, start in saved if _process_start(pid) == start]
        if self.orphans:
            log.event("orphans", pids=[pid for pid, _ in self.orphans])

    async def _drain_orphans(self) -> None:
        """Drain the orphans, then kill those that have not exited."""
        loop = asyncio.get_running_loop()
        deadline, signal_number = loop.time() + DRAIN_TIMEOUT_S, signal.SIGTERM
        while self.orphans:
            for pid, _ in self.orphans:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal_number)
            while loop.time() < deadline and self.orphans:
                await asyncio.sleep(TICK_S)
                self.orphans = [[pid, start] for pid, start in self.orphans if _process_start(pid) == start]
            deadline, signal_number = loop.time() + DRAIN_TIMEOUT_S, signal.SIGKILL
        self._save_processes()

    # -- processes ----------------------------------------------------------------------------

    async def _start(self, number: int, ident: str) -> None:
        """Start a process and wait for its exit."""
        loop = asyncio.get_running_loop()
        try:
            # A copy that nobody edits: on SIGHUP the process reloads the same revision.
            revision, path = self.revisions[ident], self.folder / f"{ident}.json"
            path.write_text(revision.config)
            with socket.socket(self.socket.family) as free:  # finds a free port for the process's management address
                free.bind((split_address(self.config.at)[0], 0))
                self.management[number] = "{}:{}".format(*free.getsockname()[:2])
            # Environment variables, not flags: a version that doesn't know one of them still starts.
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
            return self._execute(self.machine.exited(loop.time(), number, str(error)))
        self.processes[number] = process
        self._save_processes()
        log.event("process_start", process=number, revision=ident, pid=process.pid)
        code = await process.wait()
        del self.processes[number]
        reason = f"exit code {code}" if code >= 0 else f"signal {-code}"
        log.event("process_end", process=number, revision=ident, error=reason)
        self._execute(self.machine.exited(loop.time(), number, reason))

    def _execute(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._spawn(self._start(action.process, action.revision))
            elif process := self.processes.get(action.process):
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM if isinstance(action, Terminate) else signal.SIGKILL)
        self._save()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _monitor(self) -> None:
        """Poll health and metrics of the processes that serve or start, until cancelled."""
        loop, client = asyncio.get_running_loop(), AsyncHTTPClient()

        async def get(number: int, path: str) -> dict[str, Any] | None:
            address = self.management.get(number)
            if address is None:
                return None
            try:
                request = HTTPRequest(f"http://{address}{path}", request_timeout=REQUEST_TIMEOUT_S)
                body = orjson.loads((await client.fetch(request)).body)
                return body if isinstance(body, dict) else None
            except (HTTPError, OSError, orjson.JSONDecodeError):
                return None

        polled_at = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            self._execute(self.machine.tick(loop.time()))
            for process in (self.machine.starting, self.machine.current):
                if process and not process.ready and await get(process.number, "/admin/health"):
                    self._execute(self.machine.mark_ready(loop.time(), process.number))
                    if self.orphans and not self.draining_orphans:
                        self.draining_orphans = True
                        self._spawn(self._drain_orphans())
            if (process := self.machine.current) and loop.time() - polled_at > POLL_INTERVAL_S:
                polled_at = loop.time()
                if metrics := await get(process.number, "/admin/measures"):
                    self.metrics = (process.number, polled_at, metrics)
                elif not await get(process.number, "/admin/health"):
                    self.machine.mark_unready(process.number)

    # -- controllers' requests ----------------------------------------------------------------

    def _state(self, request: Request) -> bytes:
        machine, now = self.machine, asyncio.get_running_loop().time()
        status: dict[str, Any] = {
            "name": self.config.name,
            "running": machine.running,
            "ready": bool(machine.current and machine.current.ready),
            "coming": machine.starting.revision if machine.starting else "",
            "failed": machine.failure,
            "wanted": machine.desired,
            "crashes": machine.crashes,
            "change": self.fence.change,
            "seq": self.fence.seq,
            "over": self.fence.over,
            "holder": self.fence.holder if now < self.fence.expires_at else "",
            "disk": self.disk_error,
            "leaving": len(machine.draining),
        }
        if self.metrics and machine.current and self.metrics[0] == machine.current.number:
            status |= {"figures": self.metrics[2], "figures_age": now - self.metrics[1]}
        return json_response(200, **status)

    def _authorize(self, request: Request) -> ControllerRequest | bytes:
        """The decoded request after acquiring or renewing its lease; else the response that says why not."""
        try:
            body = msgspec.json.decode(request.body, type=ControllerRequest)
        except msgspec.MsgspecError as error:
            return json_response(400, error=str(error))
        now = asyncio.get_running_loop().time()
        if refused := self.fence.acquire(now, body.holder, body.change, body.seq, body.over, body.after):
            return json_response(409, error=refused)
        self._save()
        return body

    def _lease(self, request: Request) -> bytes:
        body = self._authorize(request)
        return body if isinstance(body, bytes) else json_response(200)

    def _order(self, request: Request) -> bytes:
        order = self._authorize(request)
        if isinstance(order, bytes):
            return order
        if order.revision is None or not order.revision.digest_matches:
            return json_response(400, error="the revision is missing or doesn't match its digest")
        self.revisions[order.revision.ident] = order.revision
        log.event("ordered", revision=order.revision.ident, by=order.holder, change=order.change, seq=order.seq)
        self._execute(self.machine.order(asyncio.get_running_loop().time(), order.revision.ident))
        return json_response(200)

    def _bind(self) -> None:
        """Listen on the callers' address; OSError if a foreign process does.

        The address is shared, so that after a kill the next supervisor can bind it while orphans still hold it. If
        there are none, an exclusive bind is tried first, which fails if any other process listens there.
        """
        host, port = split_address(self.config.listen)
        if not self.orphans:
            with socket.socket(address_family(host)) as exclusive:
                exclusive.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                exclusive.bind((host, port))
        self.socket = socket.socket(address_family(host))
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.socket.bind((host, port))
        self.socket.listen(BACKLOG)

    # -- lifecycle ----------------------------------------------------------------------------

    async def run(self) -> None:
        """Supervise the agent until SIGTERM, then drain it."""
        loop = asyncio.get_running_loop()
        if record.lock(self.folder) is None:
            raise OSError(errno.EADDRINUSE, f"another supervisor is active in {self.folder}")
        self._find_orphans()
        self._bind()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)
        self.server.start()
        monitor = loop.create_task(self._monitor())
        log.event("keeping", name=self.config.name, at=self.config.at, revision=self.machine.revision)
        await self.stop_requested.wait()
        self._execute(self.machine.shut_down(loop.time()))
        while self.tasks:
            await asyncio.sleep(TICK_S)
        monitor.cancel()
        self.server.close()
        self.socket.close()
        log.event("kept", name=self.config.name)
