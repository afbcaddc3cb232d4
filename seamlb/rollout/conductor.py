"""A conductor: asks every keeper how its agent is, takes the course's next step, puts it down, gives the orders.

What is decided is in `change.py`. The order here is a rule of its own: a step is on the disk before anything of it
is ordered, so whoever goes on after a kill knows at least as much as the fleet. Only the way back goes on without a
disk.
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
from seamlb.rollout.change import OVER, AgentStatus, Order, RolloutState, RolloutStateMachine
from seamlb.rollout.figures import Sample
from seamlb.rollout.plan import Revision
from seamlb.store import record

STEP = 0.5  # seconds between two steps
ASK_WITHIN = 1.0  # seconds for a keeper's answer
TELL = 20.0  # seconds in which every keeper is told that the change is over
CLIENTS = 256  # keepers asked at a time
WISHES = ("pause", "resume", "abort")


class ChangeRefusedError(Exception):
    """This conductor may not act; its text is one line for the operator."""


def sample_of(told: dict[str, Any], running: str, at: float) -> Sample | None:
    """A keeper's word on its agent's figures; None if they are not what they should be."""
    try:
        return Sample(
            str(told["process"]),
            running,
            at,
            {(kind, how): int(count) for kind, ends in told["counts"].items() for how, count in ends.items()},
            {kind: {int(ms): int(count) for ms, count in times.items()} for kind, times in told["answer_ms"].items()},
            {int(ms): int(count) for ms, count in told["lag_ms"].items()},
            int(told["faults"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def view_of(told: dict[str, Any], at: float) -> AgentStatus:
    """A keeper's answer to a question that was sent at a time; ValueError, KeyError or TypeError if it is none."""
    figures = told.get("figures")
    sample = sample_of(figures, told["running"], at - float(told["figures_age"])) if figures else None
    return AgentStatus(
        at,
        told["running"],
        bool(told["ready"]),
        told["coming"],
        told["failed"],
        told["wanted"],
        int(told["crashes"]),
        sample,
    )


class Folder:
    """A change's files: its place, an operator's wish, and the lock of whoever conducts it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.locked: int | None = None

    def lock(self) -> bool:
        """Be the only one here until `free` or the process's end; False if another is."""
        self.path.mkdir(parents=True, exist_ok=True)
        self.locked = record.lock(self.path)
        return self.locked is not None

    def free(self) -> None:
        """Let others conduct."""
        if self.locked is not None:
            os.close(self.locked)
            self.locked = None

    def place(self) -> RolloutState | None:
        """Where the change stands; None if there is none, RecordError if its file can't be trusted."""
        body = record.read(self.path / "change")
        if body is None:
            return None
        try:
            place = msgspec.json.decode(body, type=RolloutState)
        except msgspec.DecodeError as error:
            raise record.RecordError(f"{self.path / 'change'}: {error}") from None
        for one in (place.plan.old, place.plan.new):
            if not one.true:
                raise record.RecordError(f"{self.path / 'change'}: {one.ident} is not what its digest says")
        return place

    def keep(self, place: RolloutState) -> None:
        """Put down where it stands; OSError."""
        record.write(self.path / "change", msgspec.json.encode(place))

    def wish(self, what: str) -> None:
        """Leave a wish to whoever conducts; OSError."""
        record.write(self.path / "wish", what.encode())

    def wished(self) -> str:
        """Take the wish; empty if there is none."""
        path = self.path / "wish"
        try:
            body = record.read(path)
        except record.RecordError as error:
            log.event("record_refused", file=str(path), error=str(error))
            body = b""
        if body is not None:
            with contextlib.suppress(OSError):
                path.unlink()
        what = (body or b"").decode("ascii", "replace")
        return what if what in WISHES else ""


class Conductor:
    """Conducts one change until it is over."""

    def __init__(self, folder: Folder, place: RolloutState) -> None:
        self.folder = folder
        self.place = place
        # Whoever has the folder's lock goes on with the lease of the one before; a copy elsewhere has another name.
        self.holder = f"{os.uname().nodename}:{folder.path.resolve()}"
        self.keepers = {one.name: one.keeper for one in place.plan.agent}
        self.revisions: dict[str, Revision] = {one.ident: one for one in (place.plan.old, place.plan.new)}
        self.client = AsyncHTTPClient(force_instance=True, max_clients=CLIENTS)
        self.views: dict[str, AgentStatus] = {}
        self.refusals: dict[str, str] = {}
        self.kept = 0  # the `seq` that is on the disk
        self.disk = ""

    async def _ask(self, agent: str, path: str, body: bytes | None = None) -> tuple[int, dict[str, Any]]:
        """A call to a keeper: its status (0: none) and what it told."""
        try:
            method = "GET" if body is None else "POST"
            request = HTTPRequest(
                f"http://{self.keepers[agent]}{path}",
                method,
                body=body,
                connect_timeout=ASK_WITHIN,
                request_timeout=ASK_WITHIN,
            )
            answer = await self.client.fetch(request, raise_error=False)
            told = orjson.loads(answer.body) if answer.body else {}
            return (answer.code if answer.code < 599 else 0), told if isinstance(told, dict) else {}
        except (HTTPError, OSError, orjson.JSONDecodeError):
            return 0, {}

    def _call(self, **more: Any) -> bytes:
        place = self.place
        return orjson.dumps(
            {"holder": self.holder, "change": place.change, "seq": place.seq, "after": place.after} | more
        )

    async def _lease(self, agent: str) -> bool:
        """Take or renew; a refusal is kept and said once."""
        status, told = await self._ask(agent, "/keeper/lease", self._call(over=self.place.phase in OVER))
        if status == 409:
            error = str(told.get("error"))
            if agent not in self.refusals:
                log.event("rollout_refused", agent=agent, error=error)
            self.refusals[agent] = error
        elif status == 200:
            self.refusals.pop(agent, None)
        return status == 200

    async def _look(self, agent: str) -> None:
        at = asyncio.get_running_loop().time()
        status, told = await self._ask(agent, "/keeper/state")
        if status != 200:
            return
        try:
            self.views[agent] = view_of(told, at)
        except (KeyError, TypeError, ValueError) as error:
            log.event("malformed", kind="keeper", peer=agent, error=repr(error))

    async def _order(self, order: Order) -> None:
        revision = msgspec.to_builtins(self.revisions[order.revision])
        status, told = await self._ask(order.agent, "/keeper/order", self._call(revision=revision))
        log.event(
            "rollout_order",
            agent=order.agent,
            revision=order.revision,
            status=status,
            **({} if status == 200 else {"error": told.get("error", "no answer")}),
        )

    async def _all(self, work: Callable[[str], Any]) -> list[Any]:
        return list(await asyncio.gather(*(work(agent) for agent in self.keepers)))

    async def look(self) -> None:
        """Ask every keeper how its agent is."""
        await self._all(self._look)

    async def begin(self) -> None:
        """Get the word of more than half of the fleet, and of nobody a no; ChangeRefusedError otherwise."""
        held = sum(await self._all(self._lease))
        if self.refusals:
            agent, error = min(self.refusals.items())
            raise ChangeRefusedError(f"{agent}: {error}")
        if 2 * held <= len(self.keepers):
            raise ChangeRefusedError(f"only {held} of {len(self.keepers)} keepers answer")
        await self.look()
        for agent, view in sorted(self.views.items()):
            if view.running and view.running not in self.revisions:
                raise ChangeRefusedError(f"{agent}: runs {view.running}, which is neither old nor new")

    async def run(self) -> RolloutState:
        """Conduct until the change is over; ChangeRefusedError once another one does, or more is known than here."""
        loop = asyncio.get_running_loop()
        await self.begin()
        course = RolloutStateMachine(self.place, loop.time())
        log.event(
            "rollout",
            change=self.place.change,
            phase=self.place.phase,
            stage=self.place.stage,
            old=self.place.plan.old.ident,
            new=self.place.plan.new.ident,
            agents=len(self.keepers),
        )
        while True:
            if (wish := self.folder.wished()) and not course.wish(wish, loop.time()):
                log.event("rollout_wish_refused", wish=wish, phase=self.place.phase)
            orders = course.step(loop.time(), self.views)
            for name, facts in course.said:
                log.event(name, **facts)
            course.said.clear()
            # Put down before it is ordered, and told to the keepers before that too.
            if not self._keep() and self.place.phase != "back":
                orders = []
            held = await self._all(self._lease)
            if 2 * len(self.refusals) >= len(self.keepers):
                raise ChangeRefusedError(f"orders are refused: {min(self.refusals.values())}")
            if self.place.phase in OVER and not self.disk:
                if all(held):
                    return self.place
                if loop.time() - course.began > TELL:
                    untold = [agent for agent, one in zip(self.keepers, held, strict=True) if not one]
                    log.event("rollout_untold", agents=untold)  # the next change names this one to them
                    return self.place
            await asyncio.gather(*(self._order(one) for one in orders))
            await asyncio.sleep(STEP)
            await self.look()

    def _keep(self) -> bool:
        """Is the place on the disk? A disk that fails is said once and tried again with the next step."""
        if self.kept == self.place.seq:
            return True
        try:
            self.folder.keep(self.place)
            self.kept = self.place.seq
            self.disk = ""
        except OSError as error:
            if not self.disk:
                log.event("record_failed", file=str(self.folder.path / "change"), error=str(error))
            self.disk = str(error)
        return not self.disk
