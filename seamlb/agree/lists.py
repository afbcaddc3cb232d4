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


class Listed(IntEnum):
    """What a source says of a desk; the higher, the stricter."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(slots=True, frozen=True)
class Word:
    """What one source said of one desk in one of its revisions."""

    source: str
    revision: int
    desk: str
    listed: Listed


@dataclass(slots=True)
class Source:
    """`revision`: up to which all is known here; `words`: the newest of each desk, also those passed on to us."""

    revision: int = 0
    words: dict[str, Word] = field(default_factory=dict)


class Lists:
    """What one agent knows of all sources."""

    def __init__(self, sources: tuple[str, ...]) -> None:
        self.sources = {name: Source() for name in sources}

    @property
    def vector(self) -> dict[str, int]:
        """Up to which revision each source is known here."""
        return {name: one.revision for name, one in self.sources.items()}

    def heard(self, source: str, revision: int, desks: Mapping[str, Listed], whole: bool) -> set[str]:
        """A source's own revision: all its desks, or (`whole` false) those that changed since the one before.

        Returns the desks whose state here may have changed. A change that leaves a gap is taken as words, and what
        lies between is asked for by whoever follows the source: `vector` stays.
        """
        known = self.sources[source]
        words = [Word(source, revision, desk, listed) for desk, listed in desks.items()]
        if whole and revision >= known.revision:
            words += [Word(source, revision, desk, Listed.GONE) for desk in known.words.keys() - desks.keys()]
        news = {word.desk for word in words if self.told(word)}
        if (whole and revision > known.revision) or revision == known.revision + 1:
            known.revision = revision
        return news

    def told(self, word: Word) -> bool:
        """One word, from the source or passed on; is it news?"""
        known = self.sources.get(word.source)
        if known is None:
            return False
        had = known.words.get(word.desk)
        # Of one revision the stricter word holds: then it doesn't matter who is heard first.
        if had and (had.revision, had.listed) >= (word.revision, word.listed):
            return False
        if had is None and word.revision <= known.revision:
            return False  # what we have is as new, and does not name it
        known.words[word.desk] = word
        return had is None or had.listed != word.listed

    def state(self, desk: str) -> Listed:
        """The strictest word of those sources that name it."""
        said = [one.words[desk].listed for one in self.sources.values() if desk in one.words]
        return max((one for one in said if one != Listed.GONE), default=Listed.GONE)

    def desks(self) -> dict[str, Listed]:
        """All that are not gone."""
        names = {desk for one in self.sources.values() for desk in one.words}
        return {desk: state for desk in sorted(names) if (state := self.state(desk)) != Listed.GONE}

    def out(self) -> list[Word]:
        """What other agents are to hear from us: desks that a source has taken out or drains."""
        return [word for one in self.sources.values() for word in one.words.values() if word.listed != Listed.READY]

    def forget(self, vectors: list[Mapping[str, int]]) -> None:
        """Drop words of desks that are gone, once all agents know their source up to there (`vectors`: theirs)."""
        for name, one in self.sources.items():
            least = min([one.revision, *(vector.get(name, 0) for vector in vectors)])
            one.words = {
                desk: word for desk, word in one.words.items() if word.listed != Listed.GONE or word.revision > least
            }
