"""One process's part in agreed versions: its holder, and if it is one a member of the council, with its disk.

The member runs in a thread of its own, as its votes wait for the disk: a disk that is slow or hangs delays votes and
never a call. What it wants sent comes back through `post`, on whichever thread it is made.
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

from seamlb.agree.charter import Charter, CharterError
from seamlb.agree.council import Member, Out
from seamlb.agree.holder import Holder
from seamlb.agree.kept import Kept, read_kept
from seamlb.agree.notes import Kind, Note
from seamlb.store import record
from seamlb.store.files import DISK, Files

WAITING = 512  # things that a slow disk may keep waiting; more notes are dropped, as if they had been lost
FOR_HOLDER = (Kind.GRANT, Kind.CHOSEN)
Said = list[tuple[str, dict[str, object]]]  # log lines that are due: event and facts


def born(folder: Path, files: Files, said: Said) -> int:
    """A number for this process above those of all before it in this folder, on the disk; OSError."""
    path, now = folder / "born", int(time.time() * 1000)
    try:
        before = int(record.read(path, files) or 0)
    except (record.RecordError, ValueError) as error:
        # The clock alone tells then: a clock that was put back shows as a process that all others turn down.
        said.append(("agree_disk", {"reason": str(error)}))
        before = 0
    found = max(before + 1, now)
    record.write(path, b"%d" % found, files)
    return found


class Seat:
    """`clock`: seconds that go on through sleep; `post`: takes what is to be sent and logged, from any thread."""

    def __init__(
        self,
        name: str,
        first: Charter,
        lease: float,
        folder: Path,
        clock: Callable[[], float],
        post: Callable[[Out, Said], None],
        files: Files = DISK,
    ) -> None:
        self.name, self.lease, self.folder, self.clock, self.post = name, lease, folder, clock, post
        self.files, self.first = files, first
        self.holder = Holder(name, lease, first, first, clock(), 0)
        self.member: Member | None = None
        self.out_of_it = ""  # why this process is no member though the council names it
        self.lock: int | None = None
        self.work = queue.Queue[Callable[[float], Out]](WAITING)
        self.refused = ""  # why what was proposed last was not put to the vote
        self.seen: tuple[str, int, bool] = ("", 0, False)  # of the member: why it votes no more, newest, in force?

    def begin(self) -> bool:
        """Take the folder; False if another process has it still."""
        self.lock = record.lock(self.folder)
        if self.lock is None:
            return False
        said: Said = []
        try:
            number = born(self.folder, self.files, said)
        except OSError as error:
            self._out(f"the disk failed: {error.strerror or error}")
            number = int(time.time() * 1000)
        self.holder.ask = number * 1000  # who asks less than a thousand times a second stays below the next process
        self.post([], said)
        if kept := self._kept():
            self._serve(Member(self.name, number, self.lease, kept, self.clock(), self._save, random.Random()))
            if kept.newest.number > self.holder.newest.number:
                self.holder.restore(kept.newest, kept.before)
        return True

    def _serve(self, member: Member) -> None:
        """Be a member from now on."""
        self.member = member
        # A daemon thread: a disk that hangs must not keep the process from its end.
        threading.Thread(target=self._run, args=(member,), name="council", daemon=True).start()

    def _kept(self) -> Kept | None:
        """The member's record; none for who is no member, or has one that can't be trusted."""
        if self.out_of_it:
            return None
        try:
            body = record.read(self.folder / "council", self.files)
            if body is not None:
                return read_kept(body)
        except (record.RecordError, ValueError, TypeError) as error:
            self._out(f"its record can't be trusted: {error}")
            return None
        return Kept(self.first, self.first) if self.name in self.first.council else None

    def _out(self, why: str) -> None:
        self.out_of_it = why
        self.post([], [("council_out", {"reason": why})])

    def _save(self, body: bytes) -> None:
        record.write(self.folder / "council", body, self.files)

    # -- what comes, on the event loop --------------------------------------------------------

    def tick(self) -> None:
        """Time has passed."""
        if self.lock is None:
            return
        self.post(self.holder.tick(self.clock()), [])
        if self.member:
            self._do(self.member.tick)
        elif not self.out_of_it and self.name in self.holder.newest.council:
            # It has become a member: all that it has to know is the charter that says so.
            self._serve(
                Member(
                    self.name,
                    self.holder.ask // 1000,
                    self.lease,
                    Kept(self.holder.newest, self.holder.before),
                    self.clock(),
                    self._save,
                    random.Random(),
                )
            )

    def received(self, note: Note) -> None:
        """A note that may be believed."""
        if self.lock is None:
            return
        if note.kind in FOR_HOLDER:
            self.post(self.holder.received(self.clock(), note), [])
        if self.member and note.kind != Kind.GRANT:
            member = self.member
            self._do(lambda now: member.received(now, note))

    def propose(self, body: bytes) -> str:
        """Put a change to the vote: JSON with `rules` (values by name), `council` or `agents` (all their names).

        Why not, or empty; what becomes of it shows in `table`.
        """
        member, (out_of_it, newest, in_force) = self.member, self.seen
        if member is None:
            return f"not a member of the council: ask one of {', '.join(self.holder.newest.council)}"
        try:
            asked = orjson.loads(body)
            if not isinstance(asked, dict) or not asked or asked.keys() - {"rules", "council", "agents"}:
                return "not an object with rules, council or agents"
            charter = self.holder.newest.altered(
                dict(asked.get("rules", {})), list(asked.get("council", ())), list(asked.get("agents", ()))
            )
        except (CharterError, TypeError, ValueError) as error:
            return str(error)
        if why := charter.follows(self.holder.newest) or out_of_it:
            return why
        if charter.same_content(self.holder.newest):
            return ""  # a call that was repeated because its answer was lost: chosen already
        if not in_force:
            return f"charter {newest} is not in force yet"
        self.refused = ""

        def propose(now: float) -> Out:
            self.refused, out = member.propose(now, charter)
            return out

        self._do(propose)
        return ""

    def _do(self, step: Callable[[float], Out]) -> None:
        """Have the member's thread do something, in order."""
        with contextlib.suppress(queue.Full):
            self.work.put_nowait(step)

    def _run(self, member: Member) -> None:
        """The member's thread: the only one that touches it. The clock is read as each thing is come to."""
        while True:
            step = self.work.get()
            try:
                out = step(self.clock())
            except Exception as error:  # must end neither the votes nor the calls
                out = []
                member.said.append(("fault", {"where": "council", "error": repr(error)}))
            said, member.said = member.said, []
            self.seen = member.out_of_it, member.newest.number, member.in_force()
            if out or said:
                self.post(out, said)

    def table(self) -> dict[str, Any]:
        """What is acted on and what the council does, as `/admin/agree` shows them."""
        now, holder = self.clock(), self.holder
        out_of_it, newest, in_force = self.seen
        return {
            "name": self.name,
            "stance": holder.stance(now).value,
            "charter": holder.newest.number,
            "digest": holder.newest.digest,
            "council": holder.newest.council,
            "agents": len(holder.newest.agents),
            "lease_left": round(max(0.0, holder.until - now), 3),
            "acts_on": holder.values(now),
            "member": None
            if self.member is None
            else {"newest": newest, "in_force": in_force, "refused": self.refused},
            "out": self.out_of_it or out_of_it,
            "waits_for_the_folder": self.lock is None,
        }

    def close(self) -> None:
        """Let go of the folder."""
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None
