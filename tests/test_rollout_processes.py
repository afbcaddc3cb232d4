"""The state machine of one agent's processes, and the leases of rollout controllers."""

import random
import unittest
import unittest.mock
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.rollout.fence import LEASE_S, Fence
from seamlb.rollout.processes import (
    BACKOFF_RESET_S,
    DRAIN_TIMEOUT_S,
    INITIAL_BACKOFF_S,
    READY_TIMEOUT_S,
    Kill,
    ProcessStateMachine,
    Start,
    Terminate,
)


class ProcessStateMachineTests(unittest.TestCase):
    def start_serving(self) -> ProcessStateMachine:
        machine = ProcessStateMachine("old")
        self.assertEqual(machine.tick(0.0), [Start(1, "old")])
        self.assertEqual(machine.mark_ready(1.0, 1), [])
        return machine

    def test_the_old_process_drains_once_the_new_one_is_ready(self) -> None:
        machine = self.start_serving()
        self.assertEqual(machine.order(2.0, "new"), [Start(2, "new")])
        self.assertEqual(machine.order(2.1, "new"), [])  # repeating an order has no effect
        self.assertEqual((machine.running, machine.revision), ("old", "old"))
        self.assertEqual(machine.mark_ready(3.0, 2), [Terminate(1)])
        self.assertEqual((machine.running, machine.revision), ("new", "new"))
        self.assertEqual(machine.exited(4.0, 1, "exit code 0"), [])
        self.assertEqual((machine.crashes, machine.failure), (0, ""))

    def test_a_process_that_exits_or_hangs_before_it_is_ready_leaves_the_old_one_serving(self) -> None:
        machine = self.start_serving()
        machine.order(2.0, "new")
        machine.exited(2.5, 2, "exit code 7")
        self.assertEqual(
            (machine.failure, machine.running, machine.crashes), ("exited before it was ready: exit code 7", "old", 0)
        )
        self.assertEqual(machine.order(3.0, "new"), [Start(3, "new")])  # a failed order can be repeated
        self.assertEqual(machine.tick(3.1 + READY_TIMEOUT_S), [Kill(3)])
        self.assertIn("not ready", machine.failure)
        self.assertEqual(machine.exited(14.0, 3, "signal 9"), [])

    def test_an_order_to_roll_back_terminates_the_process_that_starts(self) -> None:
        machine = self.start_serving()
        machine.order(2.0, "new")
        self.assertEqual(machine.order(2.5, "old"), [Terminate(2)])
        self.assertEqual(machine.mark_ready(2.6, 2), [])  # too late
        self.assertEqual((machine.running, machine.starting), ("old", None))

    def test_a_process_that_does_not_drain_in_time_is_killed(self) -> None:
        machine = self.start_serving()
        machine.order(2.0, "new")
        machine.mark_ready(3.0, 2)
        self.assertEqual(machine.tick(3.0 + DRAIN_TIMEOUT_S), [Kill(1)])
        self.assertEqual(machine.exited(11.0, 1, "signal 9"), [])
        self.assertEqual(machine.crashes, 0)

    def test_a_crashed_process_is_restarted_with_exponential_backoff(self) -> None:
        machine, now, delays = self.start_serving(), 1.0, []
        for number in range(1, 7):
            machine.exited(now, number, "signal 9")
            delays.append(machine.start_at - now)
            self.assertEqual(machine.tick(now + delays[-1] - 0.01), [])
            now += delays[-1]
            self.assertEqual(machine.tick(now), [Start(number + 1, "old")])
        self.assertEqual(delays, [INITIAL_BACKOFF_S * 2**n for n in range(5)] + [8.0])
        self.assertEqual(machine.crashes, 6)
        machine.exited(now + BACKOFF_RESET_S + 1, 7, "signal 9")
        self.assertEqual(machine.start_at, now + BACKOFF_RESET_S + 1 + INITIAL_BACKOFF_S)

    def test_the_old_process_crashes_while_the_new_one_starts(self) -> None:
        machine = self.start_serving()
        machine.order(2.0, "new")
        machine.exited(2.1, 1, "signal 9")
        self.assertEqual(machine.mark_ready(2.2, 2), [])
        self.assertEqual(machine.tick(9.0), [])  # the old one is not restarted
        self.assertEqual((machine.running, machine.crashes), ("new", 1))

    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(st.sampled_from(["order new", "order old", "ready", "exit", "tick", "end"]), max_size=40),
        st.randoms(use_true_random=False),
    )
    def test_invariants_hold_for_any_sequence_of_events(self, events: list[str], rng: random.Random) -> None:
        """At most two processes may serve, one of them starting; SIGTERM is sent to a process at most once."""
        machine, now = ProcessStateMachine("old"), 0.0
        alive: set[int] = set()
        terminations: Counter[int] = Counter()
        for event in ["tick", *events]:
            now += rng.choice([0.1, 1.0, 12.0])
            number = rng.choice(sorted(alive)) if alive else 0
            match event.split():
                case ["order", revision]:
                    actions = machine.order(now, revision)
                case ["ready"]:
                    actions = machine.mark_ready(now, number)
                case ["exit"]:
                    alive.discard(number)
                    actions = machine.exited(now, number, "x")
                case ["tick"]:
                    actions = machine.tick(now)
                case _:
                    actions = machine.shut_down(now)
            for action in actions:
                if isinstance(action, Start):
                    self.assertNotIn(action.process, alive)
                    alive.add(action.process)
                else:
                    terminations[action.process] += isinstance(action, Terminate)
                    self.assertLessEqual(terminations[action.process], 1)
            serving = alive - machine.draining.keys()
            self.assertLessEqual(len(serving), 2)
            self.assertEqual(serving, {one.number for one in (machine.current, machine.starting) if one})
            if machine.shutting_down:
                self.assertEqual(serving, set())


class FenceTests(unittest.TestCase):
    def test_one_controller_holds_the_lease_and_stale_state_is_refused(self) -> None:
        fence = Fence()
        self.assertEqual(fence.acquire(0.0, "x", "c1", 1), "")
        self.assertIn("lease held by x", fence.acquire(1.0, "y", "c1", 9))
        self.assertEqual(fence.acquire(2.0, "x", "c1", 5), "")
        self.assertEqual(fence.acquire(2.0 + LEASE_S, "y", "c1", 4), "stale rollout state: sequence number 4 after 5")
        self.assertEqual(fence.acquire(2.0 + LEASE_S, "y", "c2", 1), "rollout c1 has not finished")
        self.assertEqual(fence.acquire(2.0 + LEASE_S, "y", "c1", 5), "")
        self.assertTrue(fence.holds(3.0 + LEASE_S, "y"))
        self.assertFalse(fence.holds(3.0 + LEASE_S, "x"))
        self.assertEqual(fence.acquire(3.0 + LEASE_S, "y", "c1", 6, over=True), "")
        self.assertEqual(fence.acquire(3.0 + LEASE_S, "z", "c2", 1), "")  # the lease was released when c1 finished

    def test_the_next_rollout_names_one_whose_end_was_missed(self) -> None:
        fence = Fence("c1", 4, over=False)
        self.assertIn("has not finished", fence.acquire(0.0, "x", "c2", 1, after="c0"))
        self.assertEqual(fence.acquire(0.0, "x", "c2", 1, after="c1"), "")
