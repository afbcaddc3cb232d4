"""What the process supervisor of one agent does, and who may order it."""

import random
import unittest
import unittest.mock
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.rollout.fence import LEASE, Fence
from seamlb.rollout.keeping import BACK_OFF, CALM, DRAIN_MOST, READY_WITHIN, Keeping, Kill, Start, Terminate


class Keepings(unittest.TestCase):
    def serving(self) -> Keeping:
        keeping = Keeping("old")
        self.assertEqual(keeping.tick(0.0), [Start(1, "old")])
        self.assertEqual(keeping.ready(1.0, 1), [])
        return keeping

    def test_the_new_one_serves_before_the_old_one_goes(self) -> None:
        keeping = self.serving()
        self.assertEqual(keeping.order(2.0, "new"), [Start(2, "new")])
        self.assertEqual(keeping.order(2.1, "new"), [])  # said twice, done once
        self.assertEqual((keeping.running, keeping.revision), ("old", "old"))
        self.assertEqual(keeping.ready(3.0, 2), [Terminate(1)])
        self.assertEqual((keeping.running, keeping.revision), ("new", "new"))
        self.assertEqual(keeping.exited(4.0, 1, "exit code 0"), [])
        self.assertEqual((keeping.crashes, keeping.failed), (0, ""))

    def test_one_that_ends_or_hangs_before_it_serves_changes_nothing(self) -> None:
        keeping = self.serving()
        keeping.order(2.0, "new")
        keeping.exited(2.5, 2, "exit code 7")
        self.assertEqual(
            (keeping.failed, keeping.running, keeping.crashes), ("ended before it served: exit code 7", "old", 0)
        )
        self.assertEqual(keeping.order(3.0, "new"), [Start(3, "new")])  # asked again it tries again
        self.assertEqual(keeping.tick(3.1 + READY_WITHIN), [Kill(3)])
        self.assertIn("not ready", keeping.failed)
        self.assertEqual(keeping.exited(14.0, 3, "signal 9"), [])

    def test_an_order_back_while_the_new_one_comes_up(self) -> None:
        keeping = self.serving()
        keeping.order(2.0, "new")
        self.assertEqual(keeping.order(2.5, "old"), [Terminate(2)])
        self.assertEqual(keeping.ready(2.6, 2), [])  # its yes came too late
        self.assertEqual((keeping.running, keeping.coming), ("old", None))

    def test_one_that_does_not_drain_is_killed(self) -> None:
        keeping = self.serving()
        keeping.order(2.0, "new")
        keeping.ready(3.0, 2)
        self.assertEqual(keeping.tick(3.0 + DRAIN_MOST), [Kill(1)])
        self.assertEqual(keeping.exited(11.0, 1, "signal 9"), [])
        self.assertEqual(keeping.crashes, 0)

    def test_a_crash_is_started_anew_later_and_later(self) -> None:
        keeping, now, waits = self.serving(), 1.0, []
        for number in range(1, 7):
            keeping.exited(now, number, "signal 9")
            waits.append(keeping.start_at - now)
            self.assertEqual(keeping.tick(now + waits[-1] - 0.01), [])
            now += waits[-1]
            self.assertEqual(keeping.tick(now), [Start(number + 1, "old")])
        self.assertEqual(waits, [BACK_OFF * 2**n for n in range(5)] + [8.0])
        self.assertEqual(keeping.crashes, 6)
        keeping.exited(now + CALM + 1, 7, "signal 9")
        self.assertEqual(keeping.start_at, now + CALM + 1 + BACK_OFF)

    def test_the_old_one_crashes_while_the_new_one_comes_up(self) -> None:
        keeping = self.serving()
        keeping.order(2.0, "new")
        keeping.exited(2.1, 1, "signal 9")
        self.assertEqual(keeping.ready(2.2, 2), [])
        self.assertEqual(keeping.tick(9.0), [])  # nobody starts the old one again
        self.assertEqual((keeping.running, keeping.crashes), ("new", 1))

    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(st.sampled_from(["order new", "order old", "ready", "exit", "tick", "end"]), max_size=40),
        st.randoms(use_true_random=False),
    )
    def test_any_course_of_events_keeps_the_rules(self, course: list[str], rng: random.Random) -> None:
        """At most two that may serve, one order's process at a time, nobody is told to go twice but to be killed."""
        keeping, now = Keeping("old"), 0.0
        alive: set[int] = set()
        told: Counter[int] = Counter()
        for what in ["tick", *course]:
            now += rng.choice([0.1, 1.0, 12.0])
            number = rng.choice(sorted(alive)) if alive else 0
            match what.split():
                case ["order", revision]:
                    actions = keeping.order(now, revision)
                case ["ready"]:
                    actions = keeping.ready(now, number)
                case ["exit"]:
                    alive.discard(number)
                    actions = keeping.exited(now, number, "x")
                case ["tick"]:
                    actions = keeping.tick(now)
                case _:
                    actions = keeping.end(now)
            for action in actions:
                if isinstance(action, Start):
                    self.assertNotIn(action.process, alive)
                    alive.add(action.process)
                else:
                    told[action.process] += isinstance(action, Terminate)
                    self.assertLessEqual(told[action.process], 1)
            stay = alive - keeping.leaving.keys()
            self.assertLessEqual(len(stay), 2)
            self.assertEqual(stay, {run.number for run in (keeping.current, keeping.coming) if run})
            if keeping.ending:
                self.assertEqual(stay, set())


class Fences(unittest.TestCase):
    def test_one_conductor_at_a_time_and_none_that_knows_less(self) -> None:
        fence = Fence()
        self.assertEqual(fence.ask(0.0, "x", "c1", 1), "")
        self.assertIn("held by x", fence.ask(1.0, "y", "c1", 9))
        self.assertEqual(fence.ask(2.0, "x", "c1", 5), "")
        self.assertEqual(fence.ask(2.0 + LEASE, "y", "c1", 4), "older than what was told here: 4 after 5")
        self.assertEqual(fence.ask(2.0 + LEASE, "y", "c2", 1), "change c1 is not over")
        self.assertEqual(fence.ask(2.0 + LEASE, "y", "c1", 5), "")
        self.assertTrue(fence.holds(3.0 + LEASE, "y"))
        self.assertFalse(fence.holds(3.0 + LEASE, "x"))
        self.assertEqual(fence.ask(3.0 + LEASE, "y", "c1", 6, over=True), "")
        self.assertEqual(fence.ask(3.0 + LEASE, "z", "c2", 1), "")  # over: the lease went back with it

    def test_a_change_whose_end_was_not_heard_of_is_named_by_the_next(self) -> None:
        fence = Fence("c1", 4, over=False)
        self.assertIn("not over", fence.ask(0.0, "x", "c2", 1, after="c0"))
        self.assertEqual(fence.ask(0.0, "x", "c2", 1, after="c1"), "")
