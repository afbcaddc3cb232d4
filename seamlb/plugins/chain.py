"""Runs all plug-ins together: order, conflicts, limits and upgrades. Pure logic: clock and timer are passed in.

Rules, in order of precedence (docs/operators/plugins.md):

- plug-ins run in the order of the settings and share one fuel budget per call
- the first plug-in to set a class, an office or a desk wins; different answers of later ones count as conflicts
- precedence or sparing by any plug-in outweighs refusal by any other
- each plug-in's grant limits the calls that it may affect, per office and minute; calls of the class of the greatest
  worth cannot be refused
- a caller's redial gets the same advice as its first attempt
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

MINUTE_MS = 60_000.0
MAX_REMEMBERED = 4096  # callers whose advice is kept for their redials
MAX_QUEUED = 1024  # queued observations; beyond this the oldest are dropped
SHADOW_CALLS = 200  # calls that a new version handles in shadow before the switch
PROBATION_MS = 60_000.0  # after a switch: a quarantine in this time rolls back

Log = Callable[[str, dict[str, object]], None]


@dataclass(slots=True, frozen=True)
class Advice:
    """Combined advice of all plug-ins on a call, which only changes inputs of the decision module."""

    class_name: str
    office: str
    priority: int = 0  # 1: precedence or sparing, -1: refusal
    desk: str = ""  # first choice, if the list and the class allow it


@dataclass(slots=True)
class Slot:
    """Versions of one plug-in: active, in shadow, and the previous one."""

    active: Plugin
    shadow: Plugin | None = None
    previous: Plugin | None = None
    shadow_calls: int = 0
    shadow_differences: int = 0
    shadow_faults: int = 0
    switched: float = -1e18  # time of the last switch, ms
    calls: Window = field(default_factory=lambda: Window(MINUTE_MS))  # by office
    affected: Window = field(default_factory=lambda: Window(MINUTE_MS))
    conflicts: int = 0
    bounded: int = 0  # answers that the grant's limit has suppressed


class Chain:
    """The loaded plug-ins, in order."""

    def __init__(
        self,
        fuel: int,
        cpu_share: float,
        classes: Collection[str],
        offices: Collection[str],
        top_class: str,
        remember_ms: float,
        log: Log,
        timer: Callable[[], float] = perf_counter,
    ) -> None:
        self.fuel, self.top_class, self.remember_ms, self.log, self.timer = fuel, top_class, remember_ms, log, timer
        self.classes, self.offices = frozenset(classes), frozenset(offices)
        self.supervisor = Supervisor(cpu_share, log)
        self.slots: dict[str, Slot] = {}
        self.states: dict[tuple[str, str], bool] = {}
        self.remembered: OrderedDict[tuple[str, str, str], tuple[float, Advice]] = OrderedDict()
        self.queue: deque[Facts] = deque()
        self.dropped = 0
        self.faults: Counter[str] = Counter()

    def load(self, now: float, plugin: Plugin) -> str:
        """Activate a new plug-in, or run a new version in shadow first; returns "loaded" or "shadow"."""
        slot = self.slots.get(plugin.name)
        if slot is None:
            self.slots[plugin.name] = Slot(plugin)
            self.log("plugin_loaded", {"plugin": plugin.name, "version": plugin.program.version})
            return "loaded"
        slot.shadow, slot.shadow_calls, slot.shadow_differences, slot.shadow_faults = plugin, 0, 0, 0
        lost = plugin.take_over_state(slot.active)
        self.log("plugin_shadow", {"plugin": plugin.name, "version": plugin.program.version, "state_lost": lost})
        return "shadow"

    def switch(self, now: float, name: str) -> None:
        """Activate the version in shadow."""
        slot = self._slot(name)
        if slot.shadow is None:
            raise KeyError(f"{name} has no version in shadow")
        slot.shadow.take_over_state(slot.active)  # which has changed since the shadow was loaded
        slot.previous, slot.active, slot.shadow, slot.switched = slot.active, slot.shadow, None, now
        self.remembered.clear()
        self.log(
            "plugin_switched",
            {
                "plugin": name,
                "version": slot.active.program.version,
                "calls_in_shadow": slot.shadow_calls,
                "differed": slot.shadow_differences,
            },
        )

    def roll_back(self, now: float, name: str, reason: str = "operator") -> None:
        """Drop the version in shadow, or else activate the previous version."""
        slot = self._slot(name)
        if slot.shadow is not None:
            slot.shadow = None
        elif slot.previous is not None:
            slot.previous.take_over_state(slot.active)
            slot.active, slot.previous, slot.switched = slot.previous, None, -1e18
            self.supervisor.enable(name, True)
        else:
            raise KeyError(f"{name} has no version to go back to")
        self.remembered.clear()
        self.log("plugin_rolled_back", {"plugin": name, "version": slot.active.program.version, "why": reason})

    def unload(self, name: str) -> None:
        """Remove a plug-in with all its versions."""
        self._slot(name)
        del self.slots[name]
        self.supervisor.records.pop(name, None)
        self.remembered.clear()
        self.log("plugin_unloaded", {"plugin": name})

    def reorder(self, names: list[str]) -> None:
        """Run plug-ins in this order; those not named run last."""
        self.slots = {
            name: self.slots[name]
            for name in [*(n for n in names if n in self.slots), *(n for n in self.slots if n not in names)]
        }

    def enable(self, name: str, on: bool) -> None:
        """Enable or disable a plug-in."""
        self._slot(name)
        self.supervisor.enable(name, on)
        self.remembered.clear()

    def set_state(self, name: str, key: str, on: bool) -> None:
        """Set or clear a state for a key, such as an evacuation of an office, on behalf of the operator."""
        if not any(
            item.kind == "state" and item.name == name
            for slot in self.slots.values()
            for item in slot.active.program.declarations.values()
        ):
            raise KeyError(f"no plug-in has a state {name!r}")
        if on:
            self.states[name, key] = True
        else:
            self.states.pop((name, key), None)
        self.remembered.clear()
        self.log("plugin_state", {"state": name, "of": key, "on": on})

    def _slot(self, name: str) -> Slot:
        if name not in self.slots:
            raise KeyError(f"no plug-in {name!r}")
        return self.slots[name]

    def advise(self, now: float, facts: Facts) -> Advice:
        """Combined advice of all plug-ins on a call; a plug-in that fails has no effect on it."""
        key = facts.number, facts.class_name, facts.office
        if facts.number and (known := self.remembered.get(key)) and now - known[0] <= self.remember_ms:
            return known[1]
        advice = Advice(facts.class_name, facts.office)
        if self.slots:
            started = self.timer()
            advice = self._run_all(now, facts)
            self.supervisor.add_cost(now, (self.timer() - started) * 1000.0)
        if facts.number:
            self.remembered[key] = now, advice
            self.remembered.move_to_end(key)
            if len(self.remembered) > MAX_REMEMBERED:
                self.remembered.popitem(last=False)
        return advice

    def _run_all(self, now: float, facts: Facts) -> Advice:
        fuel_left, class_name, office, desk = self.fuel, "", "", ""
        raised = lowered = False
        for name, slot in self.slots.items():
            if not self.supervisor.may_run(now, name):
                continue
            slot.calls.add(now, facts.office)
            answers, used = self._run(now, slot, facts, fuel_left)
            fuel_left = max(0, fuel_left - used)
            affects = False
            for answer in answers:
                match answer.kind:
                    case "to_class" if answer.text in self.classes:
                        if class_name and class_name != answer.text:
                            slot.conflicts += 1
                        elif self._within_limit(now, slot, facts):
                            class_name, affects = answer.text, True
                    case "to_office" if answer.text in self.offices:
                        if office and office != answer.text:
                            slot.conflicts += 1
                        elif self._within_limit(now, slot, facts):
                            office, affects = answer.text, True
                    case "precedence" | "spare":
                        if self._within_limit(now, slot, facts):
                            slot.conflicts += lowered
                            raised = affects = True
                    case "refuse":
                        if (
                            facts.class_name != self.top_class
                            and class_name != self.top_class
                            and self._within_limit(now, slot, facts)
                        ):
                            slot.conflicts += raised
                            lowered = affects = True
                    case "prefer":
                        if desk and desk != answer.text:
                            slot.conflicts += 1
                        else:
                            desk = answer.text
                    case "alarm":
                        self.log("plugin_alarm", {"plugin": name, "text": answer.text})
                    case _:
                        pass  # unknown class or office
            if affects:
                slot.affected.add(now, facts.office)
        return Advice(
            class_name or facts.class_name, office or facts.office, 1 if raised else -1 if lowered else 0, desk
        )

    def _within_limit(self, now: float, slot: Slot, facts: Facts) -> bool:
        """Whether the plug-in's grant lets it affect one more call of this office; counts when it does not."""
        limit = slot.active.grant.max_share * slot.calls.count(now, facts.office)
        within = slot.affected.count(now, facts.office) + 1 <= limit
        slot.bounded += not within
        return within

    def _run(self, now: float, slot: Slot, facts: Facts, fuel: int) -> tuple[list[Answer], int]:
        """Run one plug-in, and its version in shadow, on the points of a call."""
        answers, used, name = [], 0, slot.active.name
        try:
            for point in ("classify", "admit", "prefer"):
                point_answers, point_fuel = slot.active.run(now, point, facts, self.states, fuel - used)
                used += point_fuel
                answers += point_answers
        except PluginError as error:
            self._record_fault(now, slot, error)
            answers, used = [], min(fuel, max(used, fuel // 2))  # leaves fuel for the plug-ins after it
        else:
            self.supervisor.add_success(now, name)
        if slot.shadow is not None:
            self._run_shadow(now, slot, slot.shadow, facts, answers)
        return answers, used

    def _run_shadow(self, now: float, slot: Slot, shadow: Plugin, facts: Facts, active_answers: list[Answer]) -> None:
        answers: list[Answer] = []
        try:
            for point in ("classify", "admit", "prefer"):
                answers += shadow.run(now, point, facts, self.states, self.fuel, dry_run=True)[0]
        except PluginError as error:
            slot.shadow_faults += 1
            if slot.shadow_faults == 1:
                self.log(
                    "plugin_shadow_fault",
                    {"plugin": shadow.name, "version": shadow.program.version, "fault": str(error)},
                )
        slot.shadow_calls += 1
        slot.shadow_differences += answers != active_answers
        if slot.shadow_calls >= SHADOW_CALLS:
            if slot.shadow_faults:
                self.roll_back(now, shadow.name, "faults in shadow")
            else:
                self.switch(now, shadow.name)

    def _record_fault(self, now: float, slot: Slot, error: PluginError) -> None:
        name = slot.active.name
        self.faults[f"{name}:{error.kind}"] += 1
        if self.supervisor.add_fault(now, name, error.kind) and slot.previous and now - slot.switched < PROBATION_MS:
            self.roll_back(now, name, f"faults after the switch: {error.kind}")

    def observe(self, facts: Facts) -> None:
        """Queue the result of a call for `drain`; a full queue drops the oldest, which is counted."""
        if len(self.queue) >= MAX_QUEUED:
            self.queue.popleft()
            self.dropped += 1
        if self.slots:
            self.queue.append(facts)

    def drain(self, now: float, limit: int = 64) -> int:
        """Deliver up to `limit` queued observations; returns their number."""
        delivered = 0
        while self.queue and delivered < limit and now >= self.supervisor.paused_until:
            self.deliver_event(now, "observe", self.queue.popleft())
            delivered += 1
        return delivered

    def deliver_event(self, now: float, point: str, facts: Facts) -> None:
        """Run `observe`, `tick` or `list_changed`, which can only change plug-ins' own state and raise alarms."""
        started = self.timer()
        for name, slot in list(self.slots.items()):
            if self.supervisor.record(name).health is not Health.ON:
                continue
            try:
                for answer in slot.active.run(now, point, facts, self.states, self.fuel)[0]:
                    if answer.kind == "alarm":
                        self.log("plugin_alarm", {"plugin": name, "text": answer.text})
            except PluginError as error:
                self._record_fault(now, slot, error)
        self.supervisor.add_cost(now, (self.timer() - started) * 1000.0)

    def stats(self) -> list[dict[str, object]]:
        """One row per plug-in."""
        return [
            {
                "plugin": name,
                "version": slot.active.program.version,
                "health": self.supervisor.record(name).health.value,
                "calls": slot.active.runs,
                "fuel_a_call": slot.active.total_fuel // max(1, slot.active.runs),
                "most_fuel": slot.active.max_fuel,
                "faults": self.supervisor.record(name).total_faults,
                "conflicts": slot.conflicts,
                "bounded": slot.bounded,
                "shadow": slot.shadow.program.version if slot.shadow else None,
                "previous": slot.previous.program.version if slot.previous else None,
            }
            for name, slot in self.slots.items()
        ]
