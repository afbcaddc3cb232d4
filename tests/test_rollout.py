"""A rolling change on a virtual clock: the judge, the course, the keeper's machine, the fence, the disk."""

import dataclasses
import itertools
import unittest
import unittest.mock

import msgspec

from seamlb.rollout.change import RolloutState, RolloutStateMachine
from seamlb.rollout.figures import Evidence, Sample
from seamlb.rollout.plan import Stage
from tests.rollout_toy import NEW, OLD, Toy, plan


class Courses(unittest.TestCase):
    def test_a_good_change_goes_through_its_stages_one_agent_at_a_time(self) -> None:
        toy = Toy(plan(6, Stage(1, 10.0), Stage("50 %", 10.0), Stage("all", 10.0)))
        self.assertEqual(toy.until_over(), "done")
        self.assertEqual(set(toy.runs.values()), {NEW.ident})
        self.assertEqual(toy.most, 1)
        self.assertEqual([facts["agents"] for name, facts in toy.events if name == "rollout_stage"], [1, 3, 6])
        self.assertGreater(toy.now, 30.0)  # three bakes

    def test_one_that_refuses_more_of_one_class_is_stopped_and_taken_back(self) -> None:
        toy = Toy(plan(4, Stage(1, 60.0, most=100.0), Stage("all", 60.0, most=100.0)))
        toy.refuses = 0.3
        self.assertEqual(toy.until_over(), "undone")
        self.assertIn("worse: b refused", toy.back)
        self.assertEqual(set(toy.runs.values()), {OLD.ident})
        self.assertEqual(toy.place.stage, 0)  # found while one agent had it

    def test_an_agent_that_does_not_come_up_takes_the_others_back(self) -> None:
        toy = Toy(plan(4, Stage(1, 5.0), Stage("all", 5.0)))
        toy.failing["a2"] = "ended before it served: exit code 2"
        self.assertEqual(toy.until_over(), "undone")
        self.assertEqual(toy.back, "a2: ended before it served: exit code 2")
        self.assertEqual(set(toy.runs.values()), {OLD.ident})

    def test_an_old_failure_is_not_taken_for_this_changes(self) -> None:
        toy = Toy(plan(2))
        toy.wanted["a0"], toy.failing["a0"] = NEW.ident, "from yesterday"
        toy.step()
        toy.failing.clear()
        self.assertEqual(toy.until_over(), "done")

    def test_crashes_beyond_the_bound_stop_it(self) -> None:
        toy = Toy(plan(4, Stage(1, 50.0, most=100.0), Stage("all", 50.0, most=100.0)))
        for count in (1, 2):
            for _ in range(5):
                toy.step()
                self.assertEqual(toy.place.phase, "forward")
            toy.crashes["a0"] = count
        toy.step()
        self.assertEqual(toy.back, "a0: ended by itself 2 times in this stage")

    def test_no_verdict_from_silence(self) -> None:
        """A stage waits for figures of its agents, and for any to compare with, and stops at its bound."""
        for blind, says in (
            ({"a0"}, "a0: no figures for 11 s"),
            ({"a1", "a2", "a3"}, "no fresh figures from any agent to compare with"),
        ):
            toy = Toy(plan(4, Stage(1, 5.0, most=30.0), Stage("all")))
            toy.blind = blind
            toy.until_over(100)
            self.assertEqual((toy.place.phase, toy.place.stage), ("undone", 0))
            self.assertIn(says, toy.back)

    def test_a_changed_agent_that_falls_silent_stops_it_and_is_waited_for_on_the_way_back(self) -> None:
        toy = Toy(plan(4))
        toy.step()
        toy.step()
        toy.silent.add("a0")
        for _ in range(40):
            toy.step()
        self.assertEqual((toy.place.phase, toy.back), ("back", "a0: nothing heard for 11 s"))
        self.assertEqual(toy.runs["a0"], NEW.ident)
        toy.silent.clear()
        self.assertEqual(toy.until_over(), "undone")
        self.assertEqual(set(toy.runs.values()), {OLD.ident})

    def test_nobody_is_begun_while_more_are_down_than_may_be(self) -> None:
        for bound, changed in ((0, 0), (1, 1)):
            toy = Toy(plan(4, unavailable=bound))
            toy.silent.add("a3")
            for _ in range(8):
                toy.step()
            self.assertEqual(sum(one == NEW.ident for one in toy.runs.values()), changed)

    def test_few_requests_are_no_verdict(self) -> None:
        toy = Toy(plan(4, Stage(1, 5.0, {"b": 400}, 30.0), Stage("all")))
        toy.until_over()
        self.assertEqual((toy.place.phase, toy.place.stage), ("undone", 0))
        self.assertRegex(toy.back, r"not over after 30 s: b: \d+ of 400 requests")

    def test_a_pause_holds_it_and_bad_news_still_take_it_back(self) -> None:
        toy = Toy(plan(4, Stage(1, 5.0), Stage("all", 5.0)))
        toy.step()
        self.assertTrue(toy.course.wish("pause", toy.now))
        for _ in range(50):
            toy.step()
        self.assertEqual((toy.place.phase, toy.place.stage), ("paused", 0))
        self.assertTrue(toy.course.wish("pause", toy.now))
        self.assertTrue(toy.course.wish("resume", toy.now))
        self.assertEqual(toy.until_over(), "done")
        self.assertFalse(toy.course.wish("abort", toy.now))

        toy = Toy(plan(4, Stage(1, 5.0), Stage("all", 5.0)))
        toy.step()
        toy.course.wish("pause", toy.now)
        toy.crashes["a0"] = 9
        for _ in range(4):
            toy.step()
        self.assertEqual(toy.place.phase, "undone")

    def test_whoever_goes_on_after_a_kill_at_any_step_ends_well(self) -> None:
        """The place is all that is kept: killed after every step, with the orders given or not."""
        for refuses, over in ((0.02, "done"), (0.6, "undone")):
            for kill, given_ in itertools.product(range(1, 40, 3), (True, False)):
                toy = Toy(plan(4, Stage(1, 12.0), Stage("all", 12.0)))
                toy.refuses = refuses
                for _ in range(kill):
                    toy.step()
                before = dict(toy.runs)
                toy.step()
                if not given_:  # it died after it had put the step down, before any order left
                    toy.runs = before
                kept = msgspec.json.decode(msgspec.json.encode(toy.place), type=RolloutState)
                toy.place, toy.course = kept, RolloutStateMachine(kept, toy.now)
                self.assertEqual(toy.until_over(), over, (kill, given_))
                self.assertEqual(set(toy.runs.values()), {(NEW if over == "done" else OLD).ident})

    def test_what_crashed_keeps_its_side(self) -> None:
        heard = Evidence()
        heard.move(frozenset({"a"}))
        sample = Sample("p1", "new", 1.0, {}, {})
        heard.hear("a", sample, 0, "new")
        heard.hear("a", dataclasses.replace(sample, process="p2", at=2.0, counts={("b", "faulted"): 3}), 1, "new")
        tally = heard.strata[-1].new["a"]
        self.assertEqual((tally.crashes, tally.counts["b", "faulted"]), (1, 3))  # after a crash all of it counts
