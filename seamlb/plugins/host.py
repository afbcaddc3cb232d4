"""One plug-in with its state: the inputs that it receives for a call, and the meaning of its answers.

The host computes the inputs listed in the manifest and accepts the answers listed there; any other answer is a fault.
An answer reaches the chain as an `Answer` value: plug-in code has no access to an agent, an attempt or a caller.
"""

from __future__ import annotations

import datetime
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from seamlb.plugins.abi import Engine, PluginError
from seamlb.plugins.type_checker import POINTS, UNITS, Program
from seamlb.plugins.windows import VariableStore, Window


@dataclass(slots=True, frozen=True)
class Facts:
    """What a plug-in may read: facts of a call, and those that hold at any time, like the number of desks."""

    class_name: str = ""
    office: str = ""
    number: str = ""
    patience_ms: float = 0.0
    result: str = ""
    attempts: int = 0
    desks: int = 0

    def text(self, name: str) -> str:
        """A fact of type text, by its name in the language."""
        return {"class": self.class_name, "office": self.office, "number": self.number, "result": self.result}[name]


@dataclass(slots=True, frozen=True)
class Grant:
    """What the settings allow a plug-in."""

    points: frozenset[str] = frozenset(POINTS)
    facts: frozenset[str] | None = None  # None: all
    max_share: float = 0.1  # share of an office's calls in a minute that it may affect
    keep_state: bool = True  # whether a new version takes over its state


@dataclass(slots=True, frozen=True)
class Answer:
    """One answer of a plug-in: the kind of action, its text and its value."""

    kind: str
    text: str = ""
    value: float = 0.0


class GrantError(Exception):
    """The manifest asks for more than is granted; the message is one line."""


@dataclass(slots=True)
class PluginState:
    """A plug-in's own counters and variables, by name."""

    counters: dict[str, Window] = field(default_factory=dict)
    variables: dict[str, VariableStore] = field(default_factory=dict)


class Plugin:
    """A loaded version of a plug-in."""

    def __init__(self, program: Program, engine: Engine, grant: Grant, source: bytes = b"") -> None:
        self.program, self.engine, self.grant = program, engine, grant
        self.digest = blake2b(source, digest_size=12).hexdigest()  # for detecting a changed file
        if extra := sorted(program.points.keys() - grant.points):
            raise GrantError(f"{program.name} answers on {extra[0]}, which is not granted")
        if grant.facts is not None and (extra := sorted(program.facts_read() - grant.facts)):
            raise GrantError(f"{program.name} reads {extra[0]}, which is not granted")
        self.tables = {
            item.name: (
                {key: value * UNITS[unit][1] for key, value, unit in item.rows},
                item.number * UNITS[item.unit][1],
            )
            for item in program.declarations.values()
            if item.kind == "table"
        }
        self.state = PluginState()
        for item in program.declarations.values():
            if item.kind == "counter":
                self.state.counters[item.name] = Window(item.number * UNITS[item.unit][1])
            elif item.kind == "keep":
                self.state.variables[item.name] = VariableStore(item.number * UNITS[item.unit][1])
        self.runs = self.total_fuel = self.max_fuel = 0

    @property
    def name(self) -> str:
        """The program's name."""
        return self.program.name

    def take_over_state(self, old: Plugin) -> list[str]:
        """Take over the state that both versions declare alike; returns the names of what is lost."""
        if not (self.grant.keep_state and old.grant.keep_state):
            return sorted(old.state.counters.keys() | old.state.variables.keys())
        lost = []
        for name, item in old.program.declarations.items():
            mine = self.program.declarations.get(name)
            same = mine is not None and (mine.kind, mine.key_fact) == (item.kind, item.key_fact)
            if item.kind == "counter":
                if same and self.state.counters[name].span_ms == old.state.counters[name].span_ms:
                    self.state.counters[name] = old.state.counters[name]
                else:
                    lost.append(name)
            elif item.kind == "keep":
                if same and mine is not None and UNITS[mine.unit][0] == UNITS[item.unit][0]:
                    self.state.variables[name].values = old.state.variables[name].values.copy()
                else:
                    lost.append(name)
        return sorted(lost)

    # -- running -------------------------------------------------------------------------------------

    def run(
        self,
        now: float,
        point: str,
        facts: Facts,
        states: Mapping[tuple[str, str], bool],
        fuel: int,
        dry_run: bool = False,
    ) -> tuple[list[Answer], int]:
        """Run a point; returns the answers and the fuel used. Raises PluginError.

        The plug-in's counters and variables change only if all answers are valid, and never on a dry run (in shadow).
        """
        if point not in self.program.points:
            return [], 0
        raw, used = self.engine.run(POINTS.index(point), self._inputs(now, facts, states), fuel)
        answers: list[Answer] = []
        changes: list[Answer] = []
        for number, value in raw:
            if number >= len(self.program.answers):
                raise PluginError("answers", f"there is no answer {number}")
            if not math.isfinite(value):
                raise PluginError("value", f"{value}")
            kind, text = self.program.answers[number]
            (changes if kind in ("count", "set") else answers).append(Answer(kind, text, value))
        if not dry_run:
            for change in changes:
                self._apply(now, change, facts)
        self.runs += 1
        self.total_fuel += used
        self.max_fuel = max(self.max_fuel, used)
        return answers, used

    def _apply(self, now: float, change: Answer, facts: Facts) -> None:
        key = self._key(change.text, facts)
        if change.kind == "count":
            self.state.counters[change.text].add(now, key)
        elif change.text in self.state.variables:
            self.state.variables[change.text].put(key, change.value)

    def _key(self, name: str, facts: Facts) -> str:
        key_fact = self.program.declarations[name].key_fact
        return facts.text(key_fact) if key_fact else ""

    def _inputs(self, now: float, facts: Facts, states: Mapping[tuple[str, str], bool]) -> list[float]:
        values: list[float] = []
        for item in self.program.inputs:
            match item.kind:
                case "is":
                    values.append(float(facts.text(item.name) == item.text))
                case "starts":
                    values.append(float(facts.text(item.name).startswith(item.text)))
                case "fact":
                    values.append(self._number(now, item.name, facts))
                case "table":
                    rows, default = self.tables[item.name]
                    values.append(rows.get(self._key(item.name, facts), default))
                case "state":
                    values.append(float(states.get((item.name, self._key(item.name, facts)), False)))
                case "count":
                    values.append(float(self.state.counters[item.name].count(now, self._key(item.name, facts))))
                case "rate":
                    values.append(self.state.counters[item.name].rate(now, self._key(item.name, facts)))
                case _:
                    values.append(self.state.variables[item.name].get(self._key(item.name, facts)))
        return values

    @staticmethod
    def _number(now: float, name: str, facts: Facts) -> float:
        if name in ("hour", "minute", "weekday"):
            time = datetime.datetime.fromtimestamp(now / 1000.0)
            return float({"hour": time.hour, "minute": time.minute, "weekday": time.isoweekday()}[name])
        return float({"patience": facts.patience_ms, "attempts": facts.attempts, "desks": facts.desks}[name])
