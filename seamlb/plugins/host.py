"""One plug-in and its state: what it is told of a call, and what its answers may mean.

The host gathers the inputs that the manifest names and reads back answers that the manifest lists; anything else is a
fault. An answer is an `Answer` value: no method of an agent, no attempt and no caller is within reach of the code.
"""

from __future__ import annotations

import datetime
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from seamlb.plugins.abi import Engine, PluginError
from seamlb.plugins.checking import POINTS, UNITS, Program
from seamlb.plugins.windows import Kept, Window


@dataclass(slots=True, frozen=True)
class Facts:
    """What a plug-in may learn of a call, and of the world when there is none."""

    class_name: str = ""
    office: str = ""
    number: str = ""
    patience: float = 0.0
    result: str = ""
    attempts: int = 0
    desks: int = 0

    def text(self, name: str) -> str:
        """A fact that is a text, by name."""
        return {"class": self.class_name, "office": self.office, "number": self.number, "result": self.result}[name]


@dataclass(slots=True, frozen=True)
class Grant:
    """What the settings allow a plug-in."""

    points: frozenset[str] = frozenset(POINTS)
    facts: frozenset[str] | None = None  # None: all
    max_share: float = 0.1  # the most it may move: the part of an office's calls in a minute
    keep_state: bool = True  # its state outlives a reload


@dataclass(slots=True, frozen=True)
class Answer:
    """One thing a plug-in said."""

    kind: str
    text: str = ""
    value: float = 0.0


class GrantError(Exception):
    """The manifest asks for more than is granted; its text is one line."""


@dataclass(slots=True)
class State:
    """A plug-in's own counters and kept values."""

    counters: dict[str, Window] = field(default_factory=dict)
    kept: dict[str, Kept] = field(default_factory=dict)


class Plugin:
    """A loaded version of a plug-in."""

    def __init__(self, program: Program, engine: Engine, grant: Grant, source: bytes = b"") -> None:
        self.program, self.engine, self.grant = program, engine, grant
        self.digest = blake2b(source, digest_size=12).hexdigest()  # tells whether a file has changed
        if extra := sorted(program.points.keys() - grant.points):
            raise GrantError(f"{program.name} answers on {extra[0]}, which is not granted")
        if grant.facts is not None and (extra := sorted(program.uses() - grant.facts)):
            raise GrantError(f"{program.name} reads {extra[0]}, which is not granted")
        self.tables = {
            one.name: (
                {key: value * UNITS[unit][1] for key, value, unit in one.rows},
                one.number * UNITS[one.unit][1],
            )
            for one in program.declarations.values()
            if one.kind == "table"
        }
        self.state = State()
        for one in program.declarations.values():
            if one.kind == "counter":
                self.state.counters[one.name] = Window(one.number * UNITS[one.unit][1])
            elif one.kind == "keep":
                self.state.kept[one.name] = Kept(one.number * UNITS[one.unit][1])
        self.calls = self.used = self.most_used = 0

    @property
    def name(self) -> str:
        """The program's name."""
        return self.program.name

    def inherit(self, old: Plugin) -> list[str]:
        """Take over the state that both versions hold alike; the names of what could not be."""
        if not (self.grant.keep_state and old.grant.keep_state):
            return sorted(old.state.counters.keys() | old.state.kept.keys())
        lost = []
        for name, one in old.program.declarations.items():
            mine = self.program.declarations.get(name)
            same = mine is not None and (mine.kind, mine.of) == (one.kind, one.of)
            if one.kind == "counter":
                if same and self.state.counters[name].span == old.state.counters[name].span:
                    self.state.counters[name] = old.state.counters[name]
                else:
                    lost.append(name)
            elif one.kind == "keep":
                if same and mine is not None and UNITS[mine.unit][0] == UNITS[one.unit][0]:
                    self.state.kept[name].values = old.state.kept[name].values.copy()
                else:
                    lost.append(name)
        return sorted(lost)

    # -- a run --------------------------------------------------------------------------------------

    def ask(
        self,
        now: float,
        point: str,
        facts: Facts,
        states: Mapping[tuple[str, str], bool],
        fuel: int,
        dry: bool = False,
    ) -> tuple[list[Answer], int]:
        """Its answers on a point, and the fuel it used; a PluginError if it did not answer as it must.

        Its own counters and kept values change only when the whole answer is good, and never when `dry` (in shadow).
        """
        if point not in self.program.points:
            return [], 0
        raw, used = self.engine.run(POINTS.index(point), self._inputs(now, facts, states), fuel)
        answers: list[Answer] = []
        changes: list[Answer] = []
        for number, value in raw:
            if number >= len(self.program.answers):
                raise PluginError("answers", f"it has no answer {number}")
            if not math.isfinite(value):
                raise PluginError("value", f"{value}")
            kind, text = self.program.answers[number]
            (changes if kind in ("count", "set") else answers).append(Answer(kind, text, value))
        if not dry:
            for one in changes:
                self._change(now, one, facts)
        self.calls += 1
        self.used += used
        self.most_used = max(self.most_used, used)
        return answers, used

    def _change(self, now: float, answer: Answer, facts: Facts) -> None:
        key = self._key(answer.text, facts)
        if answer.kind == "count":
            self.state.counters[answer.text].add(now, key)
        elif answer.text in self.state.kept:
            self.state.kept[answer.text].put(key, answer.value)

    def _key(self, name: str, facts: Facts) -> str:
        of = self.program.declarations[name].of
        return facts.text(of) if of else ""

    def _inputs(self, now: float, facts: Facts, states: Mapping[tuple[str, str], bool]) -> list[float]:
        out: list[float] = []
        for one in self.program.inputs:
            match one.kind:
                case "is":
                    out.append(float(facts.text(one.name) == one.text))
                case "starts":
                    out.append(float(facts.text(one.name).startswith(one.text)))
                case "fact":
                    out.append(self._fact(now, one.name, facts))
                case "table":
                    rows, default = self.tables[one.name]
                    out.append(rows.get(self._key(one.name, facts), default))
                case "state":
                    out.append(float(states.get((one.name, self._key(one.name, facts)), False)))
                case "count":
                    out.append(float(self.state.counters[one.name].count(now, self._key(one.name, facts))))
                case "rate":
                    out.append(self.state.counters[one.name].rate(now, self._key(one.name, facts)))
                case _:
                    out.append(self.state.kept[one.name].get(self._key(one.name, facts)))
        return out

    @staticmethod
    def _fact(now: float, name: str, facts: Facts) -> float:
        if name in ("hour", "minute", "weekday"):
            time = datetime.datetime.fromtimestamp(now / 1000.0)
            return float({"hour": time.hour, "minute": time.minute, "weekday": time.isoweekday()}[name])
        return float({"patience": facts.patience, "attempts": facts.attempts, "desks": facts.desks}[name])
