"""Rollout controller: polls every supervisor, takes the state machine's next step, persists it and sends the orders.

The decisions are in `change.py`. The order of actions here matters too: a step is on disk before any of its orders is
sent, so a controller that continues after a kill knows at least as much as the fleet. Only a rollback continues
without a working disk.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from seamlb import log
from seamlb.rollout.plan import Revision
from seamlb.rollout.samples import Sample
from seamlb.rollout.state_machine import FINAL_PHASES, AgentStatus, Order, RolloutState, RolloutStateMachine
from seamlb.store import record

STEP_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 1.0  # for a supervisor's response
END_TIMEOUT_S = 20.0  # for notifying every supervisor of the rollout's end
MAX_CLIENTS = 256  # concurrent requests to supervisors
COMMANDS = ("pause", "resume", "abort")


class RolloutRefusedError(Exception):
    """This controller may not act; its text is one line for the operator."""


def parse_sample(body: dict[str, Any], running: str, as_of: float) -> Sample | None:
    """An agent's metrics as its supervisor relays them; None if they are malformed."""
    try:
        return Sample(
            str(body["process"]),
            running,
            as_of,
            {(kind, how): int(count) for kind, ends in body["counts"].items() for how, count in ends.items()},
            {kind: {int(ms): int(count) for ms, count in times.items()} for kind, times in body["answer_ms"].items()},
            {int(ms): int(count) for ms, count in body["lag_ms"].items()},
            int(body["faults"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def parse_status(body: dict[str, Any], as_of: float) -> AgentStatus:
    """A supervisor's response to a request sent at `as_of`; ValueError, KeyError or TypeError if it is malformed."""
    metrics = body.get("figures")
    sample = parse_sample(metrics, body["running"], as_of - float(body["figures_age"])) if metrics else None
    return AgentStatus(
        as_of,
        body["running"],
        bool(body["ready"]),
        body["coming"],
        body["failed"],
        body["wanted"],
        int(body["crashes"]),
        sample,
    )


class StateFolder:
    """A rollout's files: its state, an operator's pending command, and the lock of the active controller."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.lock_descriptor: int | None = None

    def lock(self) -> bool:
        """Take the lock until `unlock` or the process's end; False if another process has it."""
        self.path.mkdir(parents=True, exist_ok=True)
        self.lock_descriptor = record.lock(self.path)
        return self.lock_descriptor is not None

    def unlock(self) -> None:
        """Release the lock."""
        if self.lock_descriptor is not None:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None

    def load(self) -> RolloutState | None:
        """Read the rollout's state; None if there is none, RecordError if its file is corrupt."""
        body = record.read(self.path / "change")
        if body is None:
            return None
        try:
            state = msgspec.json.decode(body, type=RolloutState)
        except msgspec.DecodeError as error:
            raise record.RecordError(f"{self.path / 'change'}: {error}") from None
        for one in (state.plan.old, state.plan.new):
            if not one.digest_matches:
                raise record.RecordError(f"{self.path / 'change'}: revision {one.ident} doesn't match its digest")
        return state

    def save(self, state: RolloutState) -> None:
        """Persist the rollout's state; OSError if the disk fails."""
        record.write(self.path / "change", msgspec.json.encode(state))

    def submit(self, command: str) -> None:
        """Leave a command for the active controller; OSError if the disk fails."""
        record.write(self.path / "wish", command.encode())

    def take_command(self) -> str:
        """Remove and return the pending command; empty if there is none."""
        path = self.path / "wish"
        try:
            body = record.read(path)
        except record.RecordError as error:
            log.event("record_refused", file=str(path), error=str(error))
            body = b""
        if body is not None:
            with contextlib.suppress(OSError):
                path.unlink()
        command = (body or b"").decode("ascii", "replace")
        return command if command in COMMANDS else ""


class RolloutController:
    """Runs one rollout until it has finished."""

    def __init__(self, folder: StateFolder, state: RolloutState) -> None:
        self.folder = folder
        self.state = state
        # The next process that locks the folder takes over the lease; a copy of the folder has another name.
        self.holder = f"{os.uname().nodename}:{folder.path.resolve()}"
        self.supervisors = {one.name: one.keeper for one in state.plan.agent}
        self.revisions: dict[str, Revision] = {one.ident: one for one in (state.plan.old, state.plan.new)}
        self.client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
        self.fleet: dict[str, AgentStatus] = {}
        self.refusals: dict[str, str] = {}
        self.saved_seq = 0  # sequence number of the state on disk
        self.disk_error = ""

    async def _request(self, agent: str, path: str, body: bytes | None = None) -> tuple[int, dict[str, Any]]:
        """Send a request to a supervisor and return the response's status and body; status 0 without a response."""
        try:
            method = "GET" if body is None else "POST"
            request = HTTPRequest(
                f"http://{self.supervisors[agent]}{path}",
                method,
                body=body,
                connect_timeout=REQUEST_TIMEOUT_S,
                request_timeout=REQUEST_TIMEOUT_S,
            )
            response = await self.client.fetch(request, raise_error=False)
            reply = orjson.loads(response.body) if response.body else {}
            return (response.code if response.code < 599 else 0), reply if isinstance(reply, dict) else {}
        except (HTTPError, OSError, orjson.JSONDecodeError):
            return 0, {}

    def _body(self, **more: Any) -> bytes:
        state = self.state
        return orjson.dumps(
            {"holder": self.holder, "change": state.change, "seq": state.seq, "after": state.after} | more
        )

    async def _lease(self, agent: str) -> bool:
        """Acquire or renew an agent's lease; a refusal is remembered and logged once."""
        status, reply = await self._request(agent, "/keeper/lease", self._body(over=self.state.phase in FINAL_PHASES))
        if status == 409:
            error = str(reply.get("error"))
            if agent not in self.refusals:
                log.event("rollout_refused", agent=agent, error=error)
            self.refusals[agent] = error
        elif status == 200:
            self.refusals.pop(agent, None)
        return status == 200

    async def _poll_agent(self, agent: str) -> None:
        as_of = asyncio.get_running_loop().time()
        status, reply = await self._request(agent, "/keeper/state")
        if status != 200:
            return
        try:
            self.fleet[agent] = parse_status(reply, as_of)
        except (KeyError, TypeError, ValueError) as error:
            log.event("malformed", kind="keeper", peer=agent, error=repr(error))

    async def _send_order(self, order: Order) -> None:
        revision = msgspec.to_builtins(self.revisions[order.revision])
        status, reply = await self._request(order.agent, "/keeper/order", self._body(revision=revision))
        log.event(
            "rollout_order",
            agent=order.agent,
            revision=order.revision,
            status=status,
            **({} if status == 200 else {"error": reply.get("error", "no response")}),
        )

    async def _for_all(self, work: Callable[[str], Any]) -> list[Any]:
        return list(await asyncio.gather(*(work(agent) for agent in self.supervisors)))

    async def poll(self) -> None:
        """Request the status of every agent from its supervisor."""
        await self._for_all(self._poll_agent)

    async def begin(self) -> None:
        """Acquire leases from more than half of the fleet; RolloutRefusedError without them or on any refusal."""
        held = sum(await self._for_all(self._lease))
        if self.refusals:
            agent, error = min(self.refusals.items())
            raise RolloutRefusedError(f"{agent}: {error}")
        if 2 * held <= len(self.supervisors):
            raise RolloutRefusedError(f"only {held} of {len(self.supervisors)} supervisors respond")
        await self.poll()
        for agent, status in sorted(self.fleet.items()):
            if status.running and status.running not in self.revisions:
                raise RolloutRefusedError(f"{agent}: runs {status.running}, which is neither old nor new")

    async def run(self) -> RolloutState:
        """Run until the rollout has finished; RolloutRefusedError if half of the agents or more refuse the lease."""
        loop = asyncio.get_running_loop()
        await self.begin()
        machine = RolloutStateMachine(self.state, loop.time())
        log.event(
            "rollout",
            change=self.state.change,
            phase=self.state.phase,
            stage=self.state.stage,
            old=self.state.plan.old.ident,
            new=self.state.plan.new.ident,
            agents=len(self.supervisors),
        )
        while True:
            if (command := self.folder.take_command()) and not machine.request(command, loop.time()):
                log.event("rollout_wish_refused", wish=command, phase=self.state.phase)
            orders = machine.step(loop.time(), self.fleet)
            for name, fields in machine.pending_events:
                log.event(name, **fields)
            machine.pending_events.clear()
            # The state is saved, and sent to the supervisors with the leases, before any order is sent.
            if not self._save() and self.state.phase != "back":
                orders = []
            held = await self._for_all(self._lease)
            if 2 * len(self.refusals) >= len(self.supervisors):
                raise RolloutRefusedError(f"leases are refused: {min(self.refusals.values())}")
            if self.state.phase in FINAL_PHASES and not self.disk_error:
                if all(held):
                    return self.state
                if loop.time() - machine.start > END_TIMEOUT_S:
                    missed = [agent for agent, one in zip(self.supervisors, held, strict=True) if not one]
                    log.event("rollout_untold", agents=missed)  # the next rollout names this one to them as finished
                    return self.state
            await asyncio.gather(*(self._send_order(one) for one in orders))
            await asyncio.sleep(STEP_INTERVAL_S)
            await self.poll()

    def _save(self) -> bool:
        """Save the state if it has changed; False if the disk fails, which is logged once and retried every step."""
        if self.saved_seq == self.state.seq:
            return True
        try:
            self.folder.save(self.state)
            self.saved_seq = self.state.seq
            self.disk_error = ""
        except OSError as error:
            if not self.disk_error:
                log.event("record_failed", file=str(self.folder.path / "change"), error=str(error))
            self.disk_error = str(error)
        return not self.disk_error
