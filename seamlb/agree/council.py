"""A council member: votes on the next charter, gives leases on the newest, says when the one before is out of use.

Pure. A charter of number n is decided as one value by majority (Lamport's single-decree synod, a slot a number); slot
n + 1 opens once n is in force. docs/design/agree.md has the invariants, A1 to A5, that the comments name.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from seamlb.agree.charter import Charter, CharterError, decode
from seamlb.agree.kept import Kept
from seamlb.agree.notes import DRIFT, NONE, Ballot, Kind, Note

Out = list[tuple[str, Note]]
TELL_EVERY = 0.2  # part of a lease between two words to the other members
VOTE = 0.1  # part of a lease after which a vote that came to nothing is begun anew, with a little chance,
LONGER = 8.0  # and twice as long each time, so that four messages get through however slow they are; to so many times


@dataclass(slots=True)
class Vote:
    """One that we have begun."""

    ballot: Ballot
    mine: Charter | None  # what we want; None: only to end what another left open
    again_at: float
    patience: float
    promises: dict[str, tuple[Ballot, bytes]] = field(default_factory=dict)
    putting: Charter | None = None  # what we must put to the vote
    accepted: set[str] = field(default_factory=set)


class Member:
    """One member; `save` puts bytes on the disk and raises OSError if it is not known to be there."""

    def __init__(
        self,
        name: str,
        born: int,
        lease: float,
        kept: Kept,
        now: float,
        save: Callable[[bytes], None],
        rng: random.Random,
    ) -> None:
        self.name, self.born, self.lease, self.kept, self.save, self.rng = name, born, lease, kept, save, rng
        self.out_of_it = ""  # why we vote no more; the process has to be started anew on a disk that holds
        # What we granted before our start is forgotten: it is over only by then. (A3) Until then we vote and lend
        # nothing, and whoever remembers more of us than our disk has can say so. (A5)
        self.quiet_until = now + lease * (1 + DRIFT)
        self.grants: dict[str, tuple[int, float]] = {}  # agent: the charter it may act on, and until when
        self.cleared: dict[str, int] = {}  # member: the charter before whose number all its leases are over
        self.fences: dict[str, tuple[int, int]] = {}  # member: the highest `born` and `saved` heard
        self.vote: Vote | None = None
        self.tell_at = now
        self.said: list[tuple[str, dict[str, object]]] = []
        self.open_since = now  # when something was accepted in the open slot

    # -- what is known ------------------------------------------------------------------------

    @property
    def newest(self) -> Charter:
        """The newest version that is known to be chosen."""
        return self.kept.newest

    def in_force(self) -> bool:
        """Are all leases on what came before over, as majorities of both councils say? (A2)"""
        over = {one for one, number in self.cleared.items() if number >= self.newest.number}
        return all(len(over & set(one.council)) >= one.majority for one in (self.kept.before, self.newest))

    def _keep(self, **change: object) -> bool:
        """Put a change on the disk; False if the disk failed, and then nothing of it may be told. (A1)"""
        if self.out_of_it:
            return False
        new = replace(self.kept, saved=self.kept.saved + 1, **change)  # type: ignore[arg-type]
        try:
            self.save(new.encode())
        except OSError as error:
            self._step_out(f"the disk failed: {error.strerror or error}")
            return False
        self.kept = new
        return True

    def _step_out(self, why: str) -> None:
        if not self.out_of_it:
            self.out_of_it, self.vote = why, None
            self.said.append(("council_out", {"reason": why}))

    def _note(self, kind: Kind, **more: object) -> Note:
        return Note(kind, self.name, self.born, self.kept.saved, **({"slot": self.newest.number} | more))  # type: ignore[arg-type]

    def _others(self) -> list[str]:
        return sorted({*self.newest.council, *self.kept.before.council} - {self.name})

    # -- time ---------------------------------------------------------------------------------

    def tick(self, now: float) -> Out:
        """Time has passed; call it ten times a lease, or oftener."""
        if self.out_of_it:
            return []
        self.grants = {agent: one for agent, one in self.grants.items() if one[1] > now}
        out: Out = []
        number, still = self.newest.number, any(on < self.newest.number for on, _ in self.grants.values())
        if self.cleared.get(self.name, 0) < number and now >= self.quiet_until and not still:
            self.cleared[self.name], self.tell_at = number, now
        if now >= self.tell_at:
            self.tell_at = now + self.lease * TELL_EVERY
            note = self._note(Kind.STATE, cleared=self.cleared.get(self.name, 0))
            out += [(one, note) for one in self._others()]
        if self.vote and now >= self.vote.again_at:
            out += self._begin(now, self.vote.mine)
        elif self.vote is None and self.kept.accepted and now - self.open_since > self.lease * VOTE * 5:
            out += self._begin(now, None)  # whoever began it is gone
        return out

    # -- votes --------------------------------------------------------------------------------

    def propose(self, now: float, charter: Charter) -> tuple[str, Out]:
        """Put a charter to the vote: why not, or empty, and what to send. Whether it is chosen shows in `newest`."""
        if self.out_of_it:
            return self.out_of_it, []
        if self.name not in self.newest.council:
            return "not a member of the council", []
        if why := charter.follows(self.newest):
            return why, []
        if not self.in_force():
            return f"charter {self.newest.number} is not in force yet", []
        return "", self._begin(now, charter)

    def _begin(self, now: float, mine: Charter | None) -> Out:
        if not self.in_force():
            self.vote = None
            return []
        ballot = (max(self.kept.promised[0], self.vote.ballot[0] if self.vote else 0) + 1, self.name)
        patience = min(2.0 * self.vote.patience, LONGER) if self.vote else 1.0
        self.vote = Vote(ballot, mine, now + self.lease * VOTE * patience * (1 + self.rng.random()), patience)
        note = self._note(Kind.PREPARE, slot=self.newest.number + 1, ballot=ballot)
        return [(one, note) for one in self.newest.council]

    def _open(self, slot: int) -> bool:
        return slot == self.newest.number + 1 and self.in_force()

    def _asked(self, now: float, note: Note) -> Out:
        """PREPARE or ACCEPT."""
        if now < self.quiet_until:
            return []
        if not self._open(note.slot) or note.ballot < self.kept.promised:
            return [(note.sender, self._note(Kind.TURNED_DOWN, slot=note.slot, ballot=self.kept.promised))]
        if note.kind == Kind.PREPARE:
            if not self._keep(promised=note.ballot):
                return []
            return [
                (
                    note.sender,
                    self._note(
                        Kind.PROMISE,
                        slot=note.slot,
                        ballot=note.ballot,
                        voted=self.kept.voted,
                        body=self.kept.accepted,
                    ),
                )
            ]
        try:
            wrong = decode(note.body).follows(self.newest)
        except CharterError as error:
            wrong = str(error)
        if wrong:
            self.said.append(("council_refused", {"from": note.sender, "reason": wrong}))
            return []
        if not self._keep(promised=note.ballot, voted=note.ballot, accepted=note.body):
            return []
        self.open_since = now
        return [(note.sender, self._note(Kind.ACCEPTED, slot=note.slot, ballot=note.ballot))]

    def _promised(self, note: Note) -> Out:
        vote = self.vote
        if vote is None or vote.ballot != note.ballot or vote.putting or note.slot != self.newest.number + 1:
            return []
        vote.promises[note.sender] = note.voted, note.body
        if len(vote.promises.keys() & set(self.newest.council)) < self.newest.majority:
            return []
        last = max(vote.promises.values())[1]  # it may have been chosen already: nothing else may be
        vote.putting = decode(last) if last else vote.mine
        if vote.putting is None:
            self.vote = None
            return []
        put = self._note(Kind.ACCEPT, slot=note.slot, ballot=vote.ballot, body=vote.putting.body)
        return [(one, put) for one in self.newest.council]

    def _accepted(self, now: float, note: Note) -> Out:
        vote = self.vote
        if vote is None or vote.ballot != note.ballot or vote.putting is None:
            return []
        vote.accepted.add(note.sender)
        if len(vote.accepted & set(self.newest.council)) < self.newest.majority:
            return []
        # Agents are told by who won, lest all members tell all of them; who misses it learns of it when it asks.
        agents = sorted(self.grants.keys() - set(self._others()))
        out = self._choose(now, vote.putting, self.newest)
        return out + [(one, self._chosen()) for one in agents if out]

    def _choose(self, now: float, charter: Charter, before: Charter) -> Out:
        """It is decided; from now on nobody gets a lease on less from us. (A4)"""
        if charter.number <= self.newest.number or not self._keep(
            newest=charter, before=before, promised=NONE, voted=NONE, accepted=b""
        ):
            return []
        self.vote = None
        self.said.append(("charter_chosen", {"number": charter.number, "digest": charter.digest}))
        self.tell_at = now
        return [(one, self._chosen()) for one in self._others()]

    def _chosen(self) -> Note:
        return self._note(Kind.CHOSEN, body=self.newest.body, before=self.kept.before.body)

    # -- notes --------------------------------------------------------------------------------

    def received(self, now: float, note: Note) -> Out:
        """A note that may be believed."""
        if self.out_of_it:
            return []
        if note.kind == Kind.ASK:
            return self._lend(now, note)
        born, saved = self.fences.get(note.sender, (0, 0))
        if note.born < born or (note.born > born and note.saved < saved):
            # A process before its present one, or one whose disk went back: it may have promised more. (A5)
            self.said.append(("council_fenced", {"from": note.sender, "born": note.born, "saved": note.saved}))
            return [(note.sender, Note(Kind.BACK, self.name, self.born, saved, ask=note.born))]
        self.fences[note.sender] = note.born, max(saved, note.saved)
        match note.kind:
            case Kind.PREPARE | Kind.ACCEPT:
                return self._asked(now, note)
            case Kind.PROMISE:
                return self._promised(note)
            case Kind.ACCEPTED:
                return self._accepted(now, note)
            case Kind.TURNED_DOWN:
                if self.vote and note.ballot > self.vote.ballot:
                    self.vote.ballot = (note.ballot[0], self.name)  # the next round begins above it
            case Kind.STATE:
                self.cleared[note.sender] = max(self.cleared.get(note.sender, 0), note.cleared)
                if note.slot > self.newest.number:
                    return [(note.sender, self._note(Kind.FETCH))]
            case Kind.BACK:
                if note.ask == self.born and note.saved > self.kept.saved:
                    self._step_out(f"the disk has gone back: {self.kept.saved} after {note.saved}")
            case Kind.FETCH:
                return [(note.sender, self._chosen())]
            case Kind.CHOSEN:
                try:
                    return self._choose(now, decode(note.body), decode(note.before))
                except CharterError as error:
                    self.said.append(("council_refused", {"from": note.sender, "reason": str(error)}))
        return []

    def _lend(self, now: float, note: Note) -> Out:
        """A lease on the newest charter, to an agent that knows it; else word of it."""
        number = self.newest.number
        if note.slot < number:
            return [(note.sender, self._chosen())]
        if note.slot > number or now < self.quiet_until:
            return []
        self.grants[note.sender] = number, now + self.lease * (1 + DRIFT)
        cleared = number if self.in_force() else 0
        return [(note.sender, self._note(Kind.GRANT, ask=note.ask, cleared=cleared))]
