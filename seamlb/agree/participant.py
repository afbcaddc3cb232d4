"""The process of one agent: its lease and, if it is a voter, its vote and the state that it keeps on disk.

The voter runs in its own thread, as its votes wait for the disk: a slow or hanging disk delays votes, but no call.
Messages to send and log lines are handed to `post`, on whichever thread they arise.
"""

from __future__ import annotations

import contextlib
import os
import queue
import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from seamlb.agree.lease import LeaseHolder
from seamlb.agree.messages import Kind, Message
from seamlb.agree.persisted_state import PersistedState, decode_state
from seamlb.agree.version import ConfigVersion, VersionError
from seamlb.agree.voter import Outgoing, Voter
from seamlb.store import record
from seamlb.store.files import DISK, Files

MAX_QUEUED = 512  # tasks that may wait for a slow disk; further messages are dropped, as a network may drop them
HOLDER_KINDS = (Kind.LEASE_GRANT, Kind.CHOSEN)
LogLines = list[tuple[str, dict[str, object]]]  # event and fields of each


def next_epoch(folder: Path, files: Files, log_lines: LogLines) -> int:
    """Returns and stores a number higher than those of all earlier processes in this folder; raises OSError."""
    path, now = folder / "born", int(time.time() * 1000)
    try:
        previous = int(record.read(path, files) or 0)
    except (record.RecordError, ValueError) as error:
        # Then the number depends on the clock alone: after a step back of the clock, the other voters fence us off.
        log_lines.append(("agree_disk", {"reason": str(error)}))
        previous = 0
    number = max(previous + 1, now)
    record.write(path, b"%d" % number, files)
    return number


class Participant:
    """`clock`: seconds, also counts while the machine sleeps; `post`: sends messages and logs, from any thread."""

    def __init__(
        self,
        name: str,
        first: ConfigVersion,
        lease: float,
        folder: Path,
        clock: Callable[[], float],
        post: Callable[[Outgoing, LogLines], None],
        files: Files = DISK,
    ) -> None:
        self.name, self.lease, self.folder, self.clock, self.post = name, lease, folder, clock, post
        self.files, self.first = files, first
        self.holder = LeaseHolder(name, lease, first, first, clock(), 0)
        self.voter: Voter | None = None
        self.halt_reason = ""  # why this process doesn't vote although it is one of the voters
        self.lock_fd: int | None = None
        self.tasks = queue.Queue[Callable[[float], Outgoing]](MAX_QUEUED)
        self.rejection = ""  # why the last proposal was not put to the vote
        # The voter's reason to halt, number of its newest version, and whether that is in force.
        self.voter_status: tuple[str, int, bool] = ("", 0, False)

    def start(self) -> bool:
        """Locks the folder and loads the state; False while another process has the lock."""
        self.lock_fd = record.lock(self.folder)
        if self.lock_fd is None:
            return False
        log_lines: LogLines = []
        try:
            number = next_epoch(self.folder, self.files, log_lines)
        except OSError as error:
            self._halt(f"the disk failed: {error.strerror or error}")
            number = int(time.time() * 1000)
        # Below a thousand requests per second, the IDs stay lower than those of the next process.
        self.holder.request_id = number * 1000
        self.post([], log_lines)
        if state := self._load_state():
            self._start_voter(Voter(self.name, number, self.lease, state, self.clock(), self._save, random.Random()))
            if state.newest.number > self.holder.newest.number:
                self.holder.restore(state.newest, state.previous)
        return True

    def _start_voter(self, voter: Voter) -> None:
        """Votes from now on."""
        self.voter = voter
        # A daemon thread, so that a hanging disk can't prevent the process from ending.
        threading.Thread(target=self._run, args=(voter,), name="council", daemon=True).start()

    def _load_state(self) -> PersistedState | None:
        """The stored state of the voter; None if this agent is no voter, or if the record is corrupt."""
        if self.halt_reason:
            return None
        try:
            body = record.read(self.folder / "council", self.files)
            if body is not None:
                return decode_state(body)
        except (record.RecordError, ValueError, TypeError) as error:
            self._halt(f"corrupt record: {error}")
            return None
        return PersistedState(self.first, self.first) if self.name in self.first.voters else None

    def _halt(self, reason: str) -> None:
        self.halt_reason = reason
        self.post([], [("council_out", {"reason": reason})])

    def _save(self, body: bytes) -> None:
        record.write(self.folder / "council", body, self.files)

    def tick(self) -> None:
        """Advances time."""
        if self.lock_fd is None:
            return
        self.post(self.holder.tick(self.clock()), [])
        if self.voter:
            self._enqueue(self.voter.tick)
        elif not self.halt_reason and self.name in self.holder.newest.voters:
            # This agent has become a voter: all the state it needs is the version that says so.
            self._start_voter(
                Voter(
                    self.name,
                    self.holder.request_id // 1000,
                    self.lease,
                    PersistedState(self.holder.newest, self.holder.previous),
                    self.clock(),
                    self._save,
                    random.Random(),
                )
            )

    def on_message(self, message: Message) -> None:
        """Processes a message that has been authenticated."""
        if self.lock_fd is None:
            return
        if message.kind in HOLDER_KINDS:
            self.post(self.holder.on_message(self.clock(), message), [])
        if self.voter and message.kind != Kind.LEASE_GRANT:
            voter = self.voter
            self._enqueue(lambda now: voter.on_message(now, message))

    def propose(self, body: bytes) -> str:
        """Proposes a change: JSON with `rules` (values by name), `council` or `agents` (complete lists of names).

        Returns the reason for a refusal, or ""; `status` shows the outcome.
        """
        voter, (halt_reason, newest, in_force) = self.voter, self.voter_status
        if voter is None:
            return f"not a voter: ask one of {', '.join(self.holder.newest.voters)}"
        try:
            request = orjson.loads(body)
            if not isinstance(request, dict) or not request or request.keys() - {"rules", "council", "agents"}:
                return "not an object with rules, council or agents"
            version = self.holder.newest.successor(
                dict(request.get("rules", {})), list(request.get("council", ())), list(request.get("agents", ()))
            )
        except (VersionError, TypeError, ValueError) as error:
            return str(error)
        if reason := version.succession_error(self.holder.newest) or halt_reason:
            return reason
        if version.same_content(self.holder.newest):
            return ""  # a request that was repeated because its response was lost: chosen already
        if not in_force:
            return f"version {newest} is not in force yet"
        self.rejection = ""

        def propose(now: float) -> Outgoing:
            self.rejection, out = voter.propose(now, version)
            return out

        self._enqueue(propose)
        return ""

    def _enqueue(self, step: Callable[[float], Outgoing]) -> None:
        """Runs a task on the voter's thread, in order."""
        with contextlib.suppress(queue.Full):
            self.tasks.put_nowait(step)

    def _run(self, voter: Voter) -> None:
        """The voter's thread, the only one that uses it. Each task gets the time at which it is started."""
        while True:
            step = self.tasks.get()
            try:
                out = step(self.clock())
            except Exception as error:  # must stop neither the votes nor the calls
                out = []
                voter.log_lines.append(("fault", {"where": "council", "error": repr(error)}))
            log_lines, voter.log_lines = voter.log_lines, []
            self.voter_status = voter.halt_reason, voter.newest.number, voter.in_force()
            if out or log_lines:
                self.post(out, log_lines)

    def status(self) -> dict[str, Any]:
        """The rules in use and the state of the voter, as `/admin/agree` shows them."""
        now, holder = self.clock(), self.holder
        halt_reason, newest, in_force = self.voter_status
        return {
            "name": self.name,
            "stance": holder.lease_state(now).value,
            "charter": holder.newest.number,
            "digest": holder.newest.digest,
            "council": holder.newest.voters,
            "agents": len(holder.newest.agents),
            "lease_left": round(max(0.0, holder.expires_at - now), 3),
            "acts_on": holder.values(now),
            "member": None
            if self.voter is None
            else {"newest": newest, "in_force": in_force, "refused": self.rejection},
            "out": self.halt_reason or halt_reason,
            "waits_for_the_folder": self.lock_fd is None,
        }

    def close(self) -> None:
        """Releases the folder."""
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None
