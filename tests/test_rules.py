"""The five rules under unusual but valid orders of events."""

import math
from dataclasses import dataclass, field
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb import api
from seamlb.api import Availability, Scope, Status
from seamlb.policy.controller import Controller
from tests.support import call_request, ended, entry
from tests.support import settings as make_settings

UNPROVEN = (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)


@dataclass
class Environment:
    """Simulates callers and servers by the rules of the protocol and checks each action at once."""

    controller: Controller
    settings: api.Settings
    now: float = 1000.0
    next_call: int = 1
    open: dict[int, float] = field(default_factory=dict)  # deadline by call
    classes: dict[int, tuple[api.CallClass, int]] = field(default_factory=dict)  # class and attempts when it came
    closed: set[int] = field(default_factory=set)
    attempts: dict[int, tuple[int, int, float]] = field(default_factory=dict)  # server, leg and time-out by call
    legs: dict[int, int] = field(default_factory=dict)
    barred: dict[int, float] = field(default_factory=dict)
    ran: dict[int, tuple[int, float]] = field(default_factory=dict)
    states: dict[int, int] = field(default_factory=dict)
    timers: list[tuple[float, int]] = field(default_factory=list)
    lists: dict[int, api.ListEntry] = field(default_factory=dict)

    def send(self, event: api.Event) -> None:
        for action in self.controller.handle(self.now, event):
            self.check(action)

    def check(self, action: api.Action) -> None:
        match action:
            case api.SendSetUp(call, server, within):
                assert call in self.open, "rule 1: sent after the final answer"
                assert call not in self.attempts, "rule 2: two attempts at once"
                assert self.states.get(server) == Availability.READY, "rule 3: sent to a server that is not ready"
                assert self.now >= self.barred.get(call, -math.inf), "rule 5: sent before the wait was over"
                call_class, cap = self.classes[call]
                if call in self.ran and call_class.effect != "free":
                    first, sent = self.ran[call]
                    assert call_class.effect == "guarded", "rule 2: single_shot repeated"
                    assert self.now < sent + call_class.window, "rule 2: repeated after the window"
                    if call_class.group == "cell":
                        assert first == server, "rule 2: repeated in another group"
                leg = self.legs.get(call, -1) + 1
                assert leg < cap
                self.legs[call] = leg
                until = min(self.open[call], self.now + within if within > 0 else math.inf)
                self.attempts[call] = (server, leg, until)
            case api.Refuse(call) | api.Fail(call):
                assert call in self.open, "rule 1: a second final answer"
                assert call not in self.attempts, "an attempt was still outstanding"
                assert self.now <= self.open[call] + self.settings.contract.answer_slack
                if isinstance(action, api.Refuse) and call in self.ran:
                    call_class, _ = self.classes[call]
                    assert call_class.effect == "free" or (
                        call_class.effect == "guarded" and call_class.group == "all"
                    )
                self.end(call)
            case api.SetTimer(token, at):
                self.timers.append((at, token))
            case api.Cancel() | api.SendMessage() | api.Probe():
                raise AssertionError(f"unexpected action: {action}")

    def end(self, call: int) -> None:
        del self.open[call]
        self.closed.add(call)

    def finish(self, call: int, status: Status, established: bool = False) -> None:
        server, leg, _ = self.attempts.pop(call)
        if established:
            self.end(call)
            self.send(api.Answered(call, leg, server, 5.0))
            return
        if status in UNPROVEN:
            self.ran.setdefault(call, (server, self.now - 5.0))
        if status in (Status.TIMEOUT, Status.RESET, Status.CANCELLED):
            self.barred[call] = self.now + self.settings.contract.clear_wait
        final = call not in self.open
        note = 3 if status == Status.FULL else 0
        self.send(api.Ended(call, leg, server, status, final, 5.0, note, (9.0, 9.0)))

    def advance(self, step: float) -> None:
        """Advance the clock, with time-outs and timers in order of their time."""
        goal = self.now + step
        while True:
            due = [(until, 0, call) for call, (_, _, until) in self.attempts.items()]
            due += [(at, 1, token) for at, token in self.timers]
            due = [item for item in due if item[0] <= goal]
            if not due:
                break
            at, source, ident = min(due)
            self.now = max(self.now, at)
            if source == 0:
                self.finish(ident, Status.TIMEOUT)
            else:
                self.timers.remove((at, ident))
                self.send(api.TimerFired(ident))
        self.now = goal

    def change_list(self, scope: int, servers: dict[int, tuple[int, float]]) -> None:
        entries = []
        for server, (state, since) in servers.items():
            entries.append(entry(server, state, since))
        if scope == Scope.FULL:
            self.states = {}
        for listed in entries:
            self.states[listed.server] = listed.availability
        self.send(api.ListChange(scope, tuple(entries)))


LISTS = st.dictionaries(
    st.integers(1, 4),
    st.tuples(st.sampled_from([1, 1, 2, 0]), st.sampled_from([0.0, 500.0, 1500.0])),
    max_size=4,
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("demand"), st.integers(0, 2), st.integers(1, 5), st.floats(1.0, 3000.0)),
        st.tuples(st.just("finish"), st.integers(0, 50), st.sampled_from(list(Status)[1:])),
        st.tuples(st.just("established"), st.integers(0, 50)),
        st.tuples(st.just("hangup"), st.integers(0, 50)),
        st.tuples(st.just("list"), st.sampled_from([Scope.FULL, Scope.DELTA]), LISTS),
        st.tuples(st.just("failed")),
        st.tuples(st.just("advance"), st.floats(0.0, 700.0)),
        st.tuples(st.just("stale"), st.integers(0, 60)),
        st.tuples(st.just("restart")),
        st.tuples(st.just("settings"), st.integers(0, 3)),
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
VERSIONS = [  # of the settings: classes removed, changed, added and restored by name; other attempts
    (CLASSES, 3),
    ([CLASSES[2] | {"Effect": "free"}, CLASSES[0]], 1),
    ([CLASSES[0] | {"Effect": "single_shot", "LateWorth": 0.5}, CLASSES[1], {**CLASSES[2], "Name": "d"}], 5),
    ([CLASSES[1] | {"Worth": 9.0, "OnTime": 300.0}], 2),
]


def pick(choices: Any, index: int) -> int | None:
    ordered = sorted(choices)
    return ordered[index % len(ordered)] if ordered else None


@settings(max_examples=250, derandomize=True, deadline=None)
@given(STEPS)
def test_rules_1_2_3_and_5_hold(steps: list[tuple[Any, ...]]) -> None:
    versions = [
        make_settings(Classes=classes, Limits={"Cancel": False, "AttemptsCap": cap}) for classes, cap in VERSIONS
    ]
    first = versions[0]
    environment = Environment(Controller(first, 1), first)
    environment.change_list(Scope.CACHED, {1: (1, 0.0), 2: (1, 0.0), 3: (1, 0.0)})
    for step in steps:
        match step:
            case ("demand", kind, dest, grace):
                call = environment.next_call
                environment.next_call += 1
                environment.open[call] = environment.now + grace
                numbers = sorted(environment.settings.class_ids.values())
                kind = numbers[kind % len(numbers)]
                environment.classes[call] = (
                    environment.settings.classes[kind],
                    environment.settings.limits.attempts_cap,
                )
                environment.send(call_request(call, kind, dest, grace))
            case ("finish", index, status):
                if (call := pick(environment.attempts, index)) is not None:
                    environment.finish(call, status)
            case ("established", index):
                if (call := pick(set(environment.attempts) & set(environment.open), index)) is not None:
                    environment.finish(call, Status.OK, established=True)
            case ("hangup", index):
                if (call := pick(environment.open, index)) is not None:
                    environment.end(call)
                    environment.send(api.HungUp(call))
            case ("list", scope, servers):
                environment.change_list(scope, servers)
            case ("failed",):
                environment.send(api.ListChange(Scope.FAILED, ()))
            case ("advance", step_ms):
                environment.advance(step_ms)
            case ("stale", ident):
                environment.send(api.HungUp(10_000 + ident))
                environment.send(api.TimerFired(10_000 + ident))
                environment.send(ended(10_000 + ident, 1, Status.TIMEOUT))
            case ("settings", version):
                environment.settings = versions[version].following(environment.settings)
                environment.send(api.NewSettings(environment.settings))
            case ("restart",):
                environment.controller = Controller(environment.settings, 2)
                environment.open, environment.attempts, environment.timers, environment.ran, environment.barred = (
                    {},
                    {},
                    [],
                    {},
                    {},
                )
                states = {server: (state, 0.0) for server, state in environment.states.items()}
                environment.change_list(Scope.CACHED, states)
    environment.advance(10_000.0)
    assert not environment.open, "rule 1: calls without a final answer"
    assert not environment.controller.calls, "state is left of calls that have ended"
