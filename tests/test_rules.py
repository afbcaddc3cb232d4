"""The five rules under odd but legal orders of events."""

import math
from dataclasses import dataclass, field
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb import api
from seamlb.api import Availability, Scope, Status
from seamlb.policy.controller import Controller
from tests.support import demand, ended, entry
from tests.support import settings as make_settings

UNPROVEN = (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)


@dataclass
class World:
    """Plays the far side by the wire's rules and checks every action as it comes."""

    controller: Controller
    made: api.Settings
    now: float = 1000.0
    next_call: int = 1
    open: dict[int, float] = field(default_factory=dict)  # call: its deadline
    kinds: dict[int, tuple[api.CallClass, int]] = field(default_factory=dict)  # its class and attempts, as it came
    closed: set[int] = field(default_factory=set)
    out: dict[int, tuple[int, int, float]] = field(default_factory=dict)  # call: server, leg, timed out at
    legs: dict[int, int] = field(default_factory=dict)
    barred: dict[int, float] = field(default_factory=dict)
    ran: dict[int, tuple[int, float]] = field(default_factory=dict)
    states: dict[int, int] = field(default_factory=dict)
    timers: list[tuple[float, int]] = field(default_factory=list)
    lists: dict[int, api.ListEntry] = field(default_factory=dict)

    def give(self, event: api.Event) -> None:
        for action in self.controller.handle(self.now, event):
            self.check(action)

    def check(self, action: api.Action) -> None:
        match action:
            case api.SendSetUp(call, server, within):
                assert call in self.open, "rule 1: sent after the end"
                assert call not in self.out, "rule 2: two attempts out"
                assert self.states.get(server) == Availability.READY, "rule 3: not ready"
                assert self.now >= self.barred.get(call, -math.inf), "rule 5: before the release"
                kind, cap = self.kinds[call]
                if call in self.ran and kind.effect != "free":
                    first, sent = self.ran[call]
                    assert kind.effect == "guarded", "rule 2: single shot sent again"
                    assert self.now < sent + kind.window, "rule 2: beyond the window"
                    if kind.group == "cell":
                        assert first == server, "rule 2: another group"
                leg = self.legs.get(call, -1) + 1
                assert leg < cap
                self.legs[call] = leg
                until = min(self.open[call], self.now + within if within > 0 else math.inf)
                self.out[call] = (server, leg, until)
            case api.Refuse(call) | api.Fail(call):
                assert call in self.open, "rule 1: a second answer"
                assert call not in self.out, "an attempt was still out"
                assert self.now <= self.open[call] + self.made.contract.answer_slack
                if isinstance(action, api.Refuse) and call in self.ran:
                    kind, _ = self.kinds[call]
                    assert kind.effect == "free" or (kind.effect == "guarded" and kind.group == "all")
                self.end(call)
            case api.SetTimer(token, at):
                self.timers.append((at, token))
            case api.Cancel() | api.SendMessage() | api.Probe():
                raise AssertionError(f"not permitted here: {action}")

    def end(self, call: int) -> None:
        del self.open[call]
        self.closed.add(call)

    def finish(self, call: int, status: Status, stands: bool = False) -> None:
        server, leg, _ = self.out.pop(call)
        if stands:
            self.end(call)
            self.give(api.Answered(call, leg, server, 5.0))
            return
        if status in UNPROVEN:
            self.ran.setdefault(call, (server, self.now - 5.0))
        if status in (Status.TIMEOUT, Status.RESET, Status.CANCELLED):
            self.barred[call] = self.now + self.made.contract.clear_wait
        final = call not in self.open
        note = 3 if status == Status.FULL else 0
        self.give(api.Ended(call, leg, server, status, final, 5.0, note, (9.0, 9.0)))

    def advance(self, step: float) -> None:
        """Move the clock, keeping time-outs, timers and deadlines in their order (5 ms ticks)."""
        goal = self.now + step
        while True:
            due = [(until, 0, call) for call, (_, _, until) in self.out.items()]
            due += [(at, 1, token) for at, token in self.timers]
            due = [item for item in due if item[0] <= goal]
            if not due:
                break
            at, what, ident = min(due)
            self.now = max(self.now, at)
            if what == 0:
                self.finish(ident, Status.TIMEOUT)
            else:
                self.timers.remove((at, ident))
                self.give(api.TimerFired(ident))
        self.now = goal

    def relist(self, scope: int, servers: dict[int, tuple[int, float]]) -> None:
        entries = []
        for server, (state, since) in servers.items():
            entries.append(entry(server, state, since))
        if scope == Scope.FULL:
            self.states = {}
        for one in entries:
            self.states[one.server] = one.availability
        self.give(api.ListChange(scope, tuple(entries)))


LISTS = st.dictionaries(
    st.integers(1, 4),
    st.tuples(st.sampled_from([1, 1, 2, 0]), st.sampled_from([0.0, 500.0, 1500.0])),
    max_size=4,
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("demand"), st.integers(0, 2), st.integers(1, 5), st.floats(1.0, 3000.0)),
        st.tuples(st.just("finish"), st.integers(0, 50), st.sampled_from(list(Status)[1:])),
        st.tuples(st.just("stands"), st.integers(0, 50)),
        st.tuples(st.just("hangup"), st.integers(0, 50)),
        st.tuples(st.just("list"), st.sampled_from([Scope.FULL, Scope.DELTA]), LISTS),
        st.tuples(st.just("failed")),
        st.tuples(st.just("advance"), st.floats(0.0, 700.0)),
        st.tuples(st.just("stale"), st.integers(0, 60)),
        st.tuples(st.just("kill")),
        st.tuples(st.just("tune"), st.integers(0, 3)),
    ),
    max_size=60,
)
CLASSES = [
    {"Deadline": 9000.0, "Effect": "free", "Group": "all", "Name": "a", "OnTime": 2000.0, "Worth": 1.0},
    {
        "Deadline": 9000.0,
        "Effect": "guarded",
        "Group": "cell",
        "Name": "b",
        "OnTime": 1000.0,
        "Worth": 3.0,
        "Window": 900.0,
    },
    {"Deadline": 9000.0, "Effect": "single_shot", "Name": "c", "OnTime": 1000.0, "Worth": 2.0},
]
VERSIONS = [  # of the settings: classes dropped, changed, added and back under their names; other attempts
    (CLASSES, 3),
    ([CLASSES[2] | {"Effect": "free"}, CLASSES[0]], 1),
    ([CLASSES[0] | {"Effect": "single_shot", "LateWorth": 0.5}, CLASSES[1], {**CLASSES[2], "Name": "d"}], 5),
    ([CLASSES[1] | {"Worth": 9.0, "OnTime": 300.0}], 2),
]


def pick(choices: Any, place: int) -> int | None:
    known = sorted(choices)
    return known[place % len(known)] if known else None


@settings(max_examples=250, derandomize=True, deadline=None)
@given(STEPS)
def test_rules_1_2_3_and_5_hold(steps: list[tuple[Any, ...]]) -> None:
    versions = [make_settings(Classes=kinds, Limits={"Cancel": False, "AttemptsCap": cap}) for kinds, cap in VERSIONS]
    made = versions[0]
    world = World(Controller(made, 1), made)
    world.relist(Scope.CACHED, {1: (1, 0.0), 2: (1, 0.0), 3: (1, 0.0)})
    for step in steps:
        match step:
            case ("demand", kind, dest, grace):
                call = world.next_call
                world.next_call += 1
                world.open[call] = world.now + grace
                numbers = sorted(world.made.class_ids.values())
                kind = numbers[kind % len(numbers)]
                world.kinds[call] = world.made.classes[kind], world.made.limits.attempts_cap
                world.give(demand(call, kind, dest, grace))
            case ("finish", place, status):
                if (call := pick(world.out, place)) is not None:
                    world.finish(call, status)
            case ("stands", place):
                if (call := pick(set(world.out) & set(world.open), place)) is not None:
                    world.finish(call, Status.OK, stands=True)
            case ("hangup", place):
                if (call := pick(world.open, place)) is not None:
                    world.end(call)
                    world.give(api.HungUp(call))
            case ("list", scope, servers):
                world.relist(scope, servers)
            case ("failed",):
                world.give(api.ListChange(Scope.FAILED, ()))
            case ("advance", step_ms):
                world.advance(step_ms)
            case ("stale", ident):
                world.give(api.HungUp(10_000 + ident))
                world.give(api.TimerFired(10_000 + ident))
                world.give(ended(10_000 + ident, 1, Status.TIMEOUT))
            case ("tune", version):
                world.made = versions[version].following(world.made)
                world.give(api.NewSettings(world.made))
            case ("kill",):
                world.controller = Controller(world.made, 2)
                world.open, world.out, world.timers, world.ran, world.barred = {}, {}, [], {}, {}
                states = {server: (state, 0.0) for server, state in world.states.items()}
                world.relist(Scope.CACHED, states)
    world.advance(10_000.0)
    assert not world.open, "rule 1: calls without a final answer"
    assert not world.controller.calls, "state was kept for calls that are over"
