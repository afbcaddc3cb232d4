"""All plug-ins together: order, conflicts, bounds, upgrades. Pure logic: the clock and the cost are passed in.

Rules, in the order in which they hold (docs/operators/plugins.md):

- plug-ins are asked in the settings' order and share one budget of fuel a call
- the first to name a class, an office or a desk has its way; later ones that differ are counted as conflicts
- precedence or sparing by any plug-in outweighs advice against a call by any other
- what a plug-in moves is bounded by its grant, per office and minute; the class of the greatest worth can't be
  advised against
- a caller's redial is advised as its first try was
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from time import perf_counter

from seamlb.plugins.abi import PluginError
from seamlb.plugins.host import Answer, Facts, Plugin
from seamlb.plugins.supervisor import Health, Supervisor
from seamlb.plugins.windows import Window

MINUTE = 60_000.0
REMEMBERED = 4096  # callers whose advice is kept for their redials
QUEUE = 1024  # observations that wait; the oldest are dropped
SHADOW_CALLS = 200  # that a new version sees in shadow before it is switched to
PROBATION_MS = 60_000.0  # after a switch: quarantine rolls back

Log = Callable[[str, dict[str, object]], None]


@dataclass(slots=True, frozen=True)
class Advice:
    """What plug-ins together say of a call: inputs of the decision module, nothing else."""

    class_name: str
    office: str
    standing: int = 0  # 1: precedence, -1: advised against
    desk: str = ""  # first choice, if the list and the class allow it


@dataclass(slots=True)
class Slot:
    """A plug-in by name: the version in use, the one in shadow, the one before."""

    active: Plugin
    shadow: Plugin | None = None
    previous: Plugin | None = None
    seen: int = 0  # calls of the shadow
    differs: int = 0
    shadow_faults: int = 0
    switched: float = -1e18
    seen_calls: Window = field(default_factory=lambda: Window(MINUTE))  # by office
    moved: Window = field(default_factory=lambda: Window(MINUTE))
    conflicts: int = 0
    bounded: int = 0


class Chain:
    """The plug-ins that are loaded, in order."""

    def __init__(
        self,
        fuel: int,
        part: float,
        classes: Collection[str],
        offices: Collection[str],
        top: str,
        hold_ms: float,
        tell: Log,
        timer: Callable[[], float] = perf_counter,
    ) -> None:
        self.fuel, self.top, self.hold_ms, self.tell, self.timer = fuel, top, hold_ms, tell, timer
        self.classes, self.offices = frozenset(classes), frozenset(offices)
        self.supervisor = Supervisor(part, tell)
        self.slots: dict[str, Slot] = {}
        self.states: dict[tuple[str, str], bool] = {}
        self.remembered: OrderedDict[tuple[str, str, str], tuple[float, Advice]] = OrderedDict()
        self.queue: deque[Facts] = deque()
        self.dropped = 0
        self.faults: Counter[str] = Counter()

    # -- life ---------------------------------------------------------------------------------------

    def load(self, now: float, plugin: Plugin) -> str:
        """Take a plug-in: a new name is used at once, a new version is shadowed first; says which."""
        slot = self.slots.get(plugin.name)
        if slot is None:
            self.slots[plugin.name] = Slot(plugin)
            self.tell("plugin_loaded", {"plugin": plugin.name, "version": plugin.program.version})
            return "loaded"
        slot.shadow, slot.seen, slot.differs, slot.shadow_faults = plugin, 0, 0, 0
        lost = plugin.inherit(slot.active)
        self.tell("plugin_shadow", {"plugin": plugin.name, "version": plugin.program.version, "state_lost": lost})
        return "shadow"

    def switch(self, now: float, name: str) -> None:
        """Use the version in shadow from the next call on."""
        slot = self._slot(name)
        if slot.shadow is None:
            raise KeyError(f"{name} has no version in shadow")
        slot.shadow.inherit(slot.active)  # its state has gone on meanwhile
        slot.previous, slot.active, slot.shadow, slot.switched = slot.active, slot.shadow, None, now
        self.remembered.clear()
        self.tell(
            "plugin_switched",
            {
                "plugin": name,
                "version": slot.active.program.version,
                "calls_in_shadow": slot.seen,
                "differed": slot.differs,
            },
        )

    def roll_back(self, now: float, name: str, why: str = "operator") -> None:
        """Use the version before; without one the shadow is dropped."""
        slot = self._slot(name)
        if slot.shadow is not None:
            slot.shadow = None
        elif slot.previous is not None:
            slot.previous.inherit(slot.active)
            slot.active, slot.previous, slot.switched = slot.previous, None, -1e18
            self.supervisor.enable(name, True)
        else:
            raise KeyError(f"{name} has no version to go back to")
        self.remembered.clear()
        self.tell("plugin_rolled_back", {"plugin": name, "version": slot.active.program.version, "why": why})

    def unload(self, name: str) -> None:
        """Take a plug-in off."""
        self._slot(name)
        del self.slots[name]
        self.supervisor.records.pop(name, None)
        self.remembered.clear()
        self.tell("plugin_unloaded", {"plugin": name})

    def order(self, names: list[str]) -> None:
        """Ask in this order; those not named come last."""
        self.slots = {
            name: self.slots[name]
            for name in [*(n for n in names if n in self.slots), *(n for n in self.slots if n not in names)]
        }

    def enable(self, name: str, on: bool) -> None:
        """Ask a plug-in from now on, or no more."""
        self._slot(name)
        self.supervisor.enable(name, on)
        self.remembered.clear()

    def set_state(self, name: str, key: str, on: bool) -> None:
        """An operator's word, like an evacuation declared."""
        if not any(
            one.kind == "state" and one.name == name
            for slot in self.slots.values()
            for one in slot.active.program.declarations.values()
        ):
            raise KeyError(f"no plug-in has a state {name!r}")
        if on:
            self.states[name, key] = True
        else:
            self.states.pop((name, key), None)
        self.remembered.clear()
        self.tell("plugin_state", {"state": name, "of": key, "on": on})

    def _slot(self, name: str) -> Slot:
        if name not in self.slots:
            raise KeyError(f"no plug-in {name!r}")
        return self.slots[name]

    # -- a call -------------------------------------------------------------------------------------

    def advise(self, now: float, facts: Facts) -> Advice:
        """What all plug-ins say of a call; one that faults is as if it weren't there."""
        key = facts.number, facts.class_name, facts.office
        if facts.number and (known := self.remembered.get(key)) and now - known[0] <= self.hold_ms:
            return known[1]
        advice = Advice(facts.class_name, facts.office)
        if self.slots:
            began = self.timer()
            advice = self._ask_all(now, facts)
            self.supervisor.spent(now, (self.timer() - began) * 1000.0)
        if facts.number:
            self.remembered[key] = now, advice
            self.remembered.move_to_end(key)
            if len(self.remembered) > REMEMBERED:
                self.remembered.popitem(last=False)
        return advice

    def _ask_all(self, now: float, facts: Facts) -> Advice:
        left, kind, office, desk = self.fuel, "", "", ""
        spared = against = False
        for name, slot in self.slots.items():
            if not self.supervisor.may_run(now, name):
                continue
            slot.seen_calls.add(now, facts.office)
            told, used = self._ask(now, slot, facts, left)
            left = max(0, left - used)
            moves = False
            for one in told:
                match one.kind:
                    case "to_class" if one.text in self.classes:
                        if kind and kind != one.text:
                            slot.conflicts += 1
                        elif self._within(now, slot, facts):
                            kind, moves = one.text, True
                    case "to_office" if one.text in self.offices:
                        if office and office != one.text:
                            slot.conflicts += 1
                        elif self._within(now, slot, facts):
                            office, moves = one.text, True
                    case "precedence" | "spare":
                        if self._within(now, slot, facts):
                            slot.conflicts += against
                            spared = moves = True
                    case "refuse":
                        if facts.class_name != self.top and kind != self.top and self._within(now, slot, facts):
                            slot.conflicts += spared
                            against = moves = True
                    case "prefer":
                        if desk and desk != one.text:
                            slot.conflicts += 1
                        else:
                            desk = one.text
                    case "alarm":
                        self.tell("plugin_alarm", {"plugin": name, "text": one.text})
                    case _:
                        pass  # a class or office that does not exist
            if moves:
                slot.moved.add(now, facts.office)
        return Advice(kind or facts.class_name, office or facts.office, 1 if spared else -1 if against else 0, desk)

    def _within(self, now: float, slot: Slot, facts: Facts) -> bool:
        """May it move one more of this office's calls?"""
        room = slot.active.grant.max_share * slot.seen_calls.count(now, facts.office)
        inside = slot.moved.count(now, facts.office) + 1 <= room
        slot.bounded += not inside
        return inside

    def _ask(self, now: float, slot: Slot, facts: Facts, fuel: int) -> tuple[list[Answer], int]:
        """One plug-in on the points of a call, and its shadow beside it."""
        out, used, name = [], 0, slot.active.name
        try:
            for point in ("classify", "admit", "prefer"):
                told, cost = slot.active.ask(now, point, facts, self.states, fuel - used)
                used += cost
                out += told
        except PluginError as error:
            self._fault(now, slot, error)
            out, used = [], min(fuel, max(used, fuel // 2))  # it may not eat what others were to have
        else:
            self.supervisor.passed(now, name)
        if slot.shadow is not None:
            self._shadow(now, slot, slot.shadow, facts, out)
        return out, used

    def _shadow(self, now: float, slot: Slot, shadow: Plugin, facts: Facts, out: list[Answer]) -> None:
        told: list[Answer] = []
        try:
            for point in ("classify", "admit", "prefer"):
                told += shadow.ask(now, point, facts, self.states, self.fuel, dry=True)[0]
        except PluginError as error:
            slot.shadow_faults += 1
            if slot.shadow_faults == 1:
                self.tell(
                    "plugin_shadow_fault",
                    {"plugin": shadow.name, "version": shadow.program.version, "fault": str(error)},
                )
        slot.seen += 1
        slot.differs += told != out
        if slot.seen >= SHADOW_CALLS:
            if slot.shadow_faults:
                self.roll_back(now, shadow.name, "faults in shadow")
            else:
                self.switch(now, shadow.name)

    def _fault(self, now: float, slot: Slot, error: PluginError) -> None:
        name = slot.active.name
        self.faults[f"{name}:{error.kind}"] += 1
        if self.supervisor.fault(now, name, error.kind) and slot.previous and now - slot.switched < PROBATION_MS:
            self.roll_back(now, name, f"faults after the switch: {error.kind}")

    # -- beside calls -------------------------------------------------------------------------------

    def observe(self, facts: Facts) -> None:
        """After a call: kept for `drain`; when too many wait the oldest are dropped and counted."""
        if len(self.queue) >= QUEUE:
            self.queue.popleft()
            self.dropped += 1
        if self.slots:
            self.queue.append(facts)

    def drain(self, now: float, most: int = 64) -> int:
        """Bring some observations to the plug-ins; returns how many."""
        done = 0
        while self.queue and done < most and now >= self.supervisor.paused_until:
            self.event(now, "observe", self.queue.popleft())
            done += 1
        return done

    def event(self, now: float, point: str, facts: Facts) -> None:
        """`observe`, `tick` and `list_changed`: only a plug-in's own state and alarms can follow."""
        began = self.timer()
        for name, slot in list(self.slots.items()):
            if self.supervisor.record(name).health is not Health.ON:
                continue
            try:
                for one in slot.active.ask(now, point, facts, self.states, self.fuel)[0]:
                    if one.kind == "alarm":
                        self.tell("plugin_alarm", {"plugin": name, "text": one.text})
            except PluginError as error:
                self._fault(now, slot, error)
        self.supervisor.spent(now, (self.timer() - began) * 1000.0)

    def stats(self) -> list[dict[str, object]]:
        """One row a plug-in."""
        return [
            {
                "plugin": name,
                "version": slot.active.program.version,
                "health": self.supervisor.record(name).health.value,
                "calls": slot.active.calls,
                "fuel_a_call": slot.active.used // max(1, slot.active.calls),
                "most_fuel": slot.active.most_used,
                "faults": self.supervisor.record(name).total,
                "conflicts": slot.conflicts,
                "bounded": slot.bounded,
                "shadow": slot.shadow.program.version if slot.shadow else None,
                "previous": slot.previous.program.version if slot.previous else None,
            }
            for name, slot in self.slots.items()
        ]
