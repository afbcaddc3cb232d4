"""One list of desks out of several sources, by a vector of their versions. Pure.

A desk is there if a source names it, and as free as the strictest that does: whoever drains it, it drains. A source
is heard directly (its own revisions, in any order) or through other agents, who pass on what was drained or taken
out; an agent that is behind a source never brings back what a newer revision took out, whichever way it heard of
that. A revision has to mean the same at all agents: the notice board's event numbers don't (they begin anew with each
agent), its pool's revision does.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum


class DeskStatus(IntEnum):
    """What a source says of a desk; the higher, the stricter."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(slots=True, frozen=True)
class Entry:
    """What one source said of one desk in one of its revisions."""

    source: str
    revision: int
    desk: str
    status: DeskStatus


@dataclass(slots=True)
class Source:
    """`revision`: up to which all is known here; `words`: the newest of each desk, also those passed on to us."""

    revision: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)


class DeskLists:
    """What one agent knows of all sources."""

    def __init__(self, sources: tuple[str, ...]) -> None:
        self.sources = {name: Source() for name in sources}

    @property
    def vector(self) -> dict[str, int]:
        """Up to which revision each source is known here."""
        return {name: one.revision for name, one in self.sources.items()}

    def apply_revision(self, source: str, revision: int, desks: Mapping[str, DeskStatus], whole: bool) -> set[str]:
        """A source's own revision: all its desks, or (`whole` false) those that changed since the one before.

        Returns the desks whose state here may have changed. A change that leaves a gap is taken as words, and what
        lies between is asked for by whoever follows the source: `vector` stays.
        """
        known = self.sources[source]
        entries = [Entry(source, revision, desk, status) for desk, status in desks.items()]
        if whole and revision >= known.revision:
            entries += [
                Entry(source, revision, desk, DeskStatus.GONE) for desk in known.entries.keys() - desks.keys()
            ]
        news = {entry.desk for entry in entries if self.apply_entry(entry)}
        if (whole and revision > known.revision) or revision == known.revision + 1:
            known.revision = revision
        return news

    def apply_entry(self, entry: Entry) -> bool:
        """One word, from the source or passed on; is it news?"""
        known = self.sources.get(entry.source)
        if known is None:
            return False
        old = known.entries.get(entry.desk)
        # Of one revision the stricter word holds: then it doesn't matter who is heard first.
        if old and (old.revision, old.status) >= (entry.revision, entry.status):
            return False
        if old is None and entry.revision <= known.revision:
            return False  # what we have is as new, and does not name it
        known.entries[entry.desk] = entry
        return old is None or old.status != entry.status

    def status(self, desk: str) -> DeskStatus:
        """The strictest word of those sources that name it."""
        said = [one.entries[desk].status for one in self.sources.values() if desk in one.entries]
        return max((one for one in said if one != DeskStatus.GONE), default=DeskStatus.GONE)

    def desks(self) -> dict[str, DeskStatus]:
        """All that are not gone."""
        names = {desk for one in self.sources.values() for desk in one.entries}
        return {desk: status for desk in sorted(names) if (status := self.status(desk)) != DeskStatus.GONE}

    def drained_or_gone(self) -> list[Entry]:
        """What other agents are to hear from us: desks that a source has taken out or drains."""
        return [
            entry
            for one in self.sources.values()
            for entry in one.entries.values()
            if entry.status != DeskStatus.READY
        ]

    def discard_gone(self, vectors: list[Mapping[str, int]]) -> None:
        """Drop words of desks that are gone, once all agents know their source up to there (`vectors`: theirs)."""
        for name, one in self.sources.items():
            least = min([one.revision, *(vector.get(name, 0) for vector in vectors)])
            one.entries = {
                desk: entry
                for desk, entry in one.entries.items()
                if entry.status != DeskStatus.GONE or entry.revision > least
            }
