"""Merges the desk lists of several sources, using a vector of their revisions. Pure.

A desk is listed if any source lists it, with the strictest status of those: a source that drains a desk drains it for
all. An agent gets a source's revisions directly, in any order, or entries from other agents, which pass on what was
drained or removed. Neither way can an agent that lags behind bring back what a newer revision has removed. A revision
has to mean the same at all agents: the notice board's event numbers don't (they start anew with each agent), the
revision of its pool does.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum


class DeskStatus(IntEnum):
    """Status of a desk at one source; higher values are stricter."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(slots=True, frozen=True)
class Entry:
    """The status of one desk in one revision of one source."""

    source: str
    revision: int
    desk: str
    status: DeskStatus


@dataclass(slots=True)
class Source:
    """`revision`: complete up to there; `entries`: the newest of each desk, including those from other agents."""

    revision: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)


class DeskLists:
    """What one agent knows of all sources."""

    def __init__(self, sources: tuple[str, ...]) -> None:
        self.sources = {name: Source() for name in sources}

    @property
    def vector(self) -> dict[str, int]:
        """By source, the revision up to which its list is complete here."""
        return {name: source.revision for name, source in self.sources.items()}

    def apply_revision(self, source: str, revision: int, desks: Mapping[str, DeskStatus], whole: bool) -> set[str]:
        """Applies a source's revision: all its desks or, if `whole` is false, the changes since the one before.

        Returns the desks whose status may have changed. After a gap in the revisions the entries are applied, but
        `vector` stays, and the source's client has to fetch the missing ones.
        """
        known = self.sources[source]
        entries = [Entry(source, revision, desk, status) for desk, status in desks.items()]
        if whole and revision >= known.revision:
            entries += [
                Entry(source, revision, desk, DeskStatus.GONE) for desk in known.entries.keys() - desks.keys()
            ]
        changed = {entry.desk for entry in entries if self.apply_entry(entry)}
        if (whole and revision > known.revision) or revision == known.revision + 1:
            known.revision = revision
        return changed

    def apply_entry(self, entry: Entry) -> bool:
        """Applies an entry of the source or of another agent; returns whether it changes anything."""
        known = self.sources.get(entry.source)
        if known is None:
            return False
        old = known.entries.get(entry.desk)
        # Of one revision the stricter entry wins, so that the order of arrival doesn't matter.
        if old and (old.revision, old.status) >= (entry.revision, entry.status):
            return False
        if old is None and entry.revision <= known.revision:
            return False  # a list that is at least as new doesn't have the desk
        known.entries[entry.desk] = entry
        return old is None or old.status != entry.status

    def status(self, desk: str) -> DeskStatus:
        """The strictest status at the sources that list the desk."""
        statuses = [source.entries[desk].status for source in self.sources.values() if desk in source.entries]
        return max((status for status in statuses if status != DeskStatus.GONE), default=DeskStatus.GONE)

    def desks(self) -> dict[str, DeskStatus]:
        """Status of all desks that are not gone."""
        names = {desk for source in self.sources.values() for desk in source.entries}
        return {desk: status for desk in sorted(names) if (status := self.status(desk)) != DeskStatus.GONE}

    def drained_or_gone(self) -> list[Entry]:
        """Entries to pass on to other agents."""
        return [
            entry
            for source in self.sources.values()
            for entry in source.entries.values()
            if entry.status != DeskStatus.READY
        ]

    def discard_gone(self, vectors: list[Mapping[str, int]]) -> None:
        """Drops entries of desks that are gone, once the lists of all agents (`vectors`) are complete up to there."""
        for name, source in self.sources.items():
            oldest = min([source.revision, *(vector.get(name, 0) for vector in vectors)])
            source.entries = {
                desk: entry
                for desk, entry in source.entries.items()
                if entry.status != DeskStatus.GONE or entry.revision > oldest
            }
