"""A rolling change on a virtual clock: the judge, the course, the keeper's machine, the fence, the disk."""

import dataclasses
import itertools
import os
import random
import tempfile
import unittest
import unittest.mock
from collections import Counter
from pathlib import Path

import msgspec
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.cli import main
from seamlb.rollout.change import Course, Place, View
from seamlb.rollout.conductor import Folder
from seamlb.rollout.fence import LEASE, Fence
from seamlb.rollout.figures import Evidence, Sample
from seamlb.rollout.judge import Count, dispersion, evidence, worse
from seamlb.rollout.keeping import BACK_OFF, CALM, DRAIN_MOST, READY_WITHIN, Keeping, Kill, Start, Terminate
from seamlb.rollout.plan import Agent, Plan, Revision, Stage
from seamlb.store import record

OLD, NEW = (msgspec.structs.replace(Revision(name, ("run", name), "{}"), digest="0") for name in ("old", "new"))


def plan(size: int = 4, *stages: Stage, **keys: object) -> Plan:
    told = stages or (Stage(1, 10.0, most=60.0), Stage("all", 10.0, most=60.0))
    agents = tuple(Agent(f"a{n}", f"127.0.0.1:{n + 1}") for n in range(size))
    return Plan(OLD, NEW, told, agents, **({"settle": 0.0} | keys))  # type: ignore[arg-type]


class Toy:
    """A fleet of agents that do what they are told at once, and their traffic, on a clock of its own."""

    def __init__(self, told: Plan, place: Place | None = None) -> None:
        self.now, self.rng = 0.0, random.Random(1)
        self.place = place or Place("c", told)
        self.course = Course(self.place, 0.0)
        self.runs = {one.name: OLD.ident for one in told.agent}
        self.processes: Counter[str] = Counter()
        self.counts = {name: Counter[tuple[str, str]]() for name in self.runs}
        self.crashes: Counter[str] = Counter()
        self.failing: dict[str, str] = {}  # agents on which the new revision does not come up, and why
        self.silent: set[str] = set()  # keepers that don't answer
        self.blind: set[str] = set()  # keepers that answer without figures
        self.views: dict[str, View] = {}
        self.wanted: dict[str, str] = {}
        self.most = 0  # agents ordered in one step
        self.refuses = 0.02  # share that the new revision refuses of class b
        self.events: list[tuple[str, dict[str, object]]] = []

    def step(self, seconds: float = 1.0) -> None:
        self.now += seconds
        for name, running in self.runs.items():
            if name in self.silent:
                continue
            counts = self.counts[name]
            for _ in range(8):
                share = self.refuses if running == NEW.ident else 0.02
                counts["b", "throttled" if self.rng.random() < share else "fulfilled"] += 1
            sample = Sample(f"{name}{self.processes[name]}", running, self.now, dict(counts), {})
            failed = self.failing.get(name, "") if self.wanted.get(name) == NEW.ident else ""
            self.views[name] = View(
                self.now,
                running,
                True,
                "",
                failed,
                self.wanted.get(name, ""),
                self.crashes[name],
                None if name in self.blind else sample,
            )
        orders = self.course.step(self.now, self.views)
        self.events += self.course.said
        self.course.said.clear()
        self.most = max(self.most, len(orders))
        for one in orders:
            if one.agent in self.silent:
                continue
            self.wanted[one.agent] = one.revision
            if not (one.revision == NEW.ident and one.agent in self.failing):
                self.runs[one.agent] = one.revision
                self.processes[one.agent] += 1
                self.counts[one.agent].clear()

    def until_over(self, most: int = 300) -> str:
        for _ in range(most):
            self.step()
            if self.place.phase in ("done", "undone"):
                break
        return self.place.phase

    @property
    def back(self) -> str:
        return next((str(facts["reason"]) for name, facts in self.events if name == "rollout_back"), "")


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
                kept = msgspec.json.decode(msgspec.json.encode(toy.place), type=Place)
                toy.place, toy.course = kept, Course(kept, toy.now)
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


class Judging(unittest.TestCase):
    def test_equal_revisions_are_told_apart_as_seldom_as_said(self) -> None:
        """Looked at after every request for 400 requests a side: the chance that it ever says worse."""
        wrong = 0
        for seed in range(300):
            rng, new, old = random.Random(seed), 0, 0
            for n in range(1, 400):
                new += rng.random() < 0.1
                old += rng.random() < 0.1
                if evidence([Count(new, n, old, n)]) >= 20.0:
                    wrong += 1
                    break
        self.assertLessEqual(wrong / 300, 0.05)

    def test_it_tells_what_is_worse(self) -> None:
        self.assertGreater(evidence([Count(20, 100, 50, 1000)]), 100.0)
        self.assertLess(evidence([Count(5, 100, 50, 1000)]), 2.0)
        self.assertLess(evidence([Count(0, 100, 50, 1000)]), 1.0)
        self.assertEqual(evidence([]), 1.0)

    def test_agents_that_differ_anyhow_make_it_careful(self) -> None:
        alike = tuple((10.0, 100.0) for _ in range(10))
        unlike = tuple((float(k), 100.0) for k in (1, 25, 2, 30, 0, 22, 1, 8, 9, 2))
        self.assertEqual(dispersion([Count.of((), alike)]), 1.0)
        self.assertGreater(dispersion([Count.of((), unlike)]), 5.0)
        new = ((30.0, 100.0),)
        self.assertGreater(evidence([Count.of(new, alike)]), 1000.0)
        self.assertLess(evidence([Count.of(new, unlike)]), 30.0)

    def test_load_that_changes_in_the_course_of_a_stage_is_no_difference(self) -> None:
        """Most old requests met the calm first half, most new ones the second: pooled it would look like 5 times."""
        calm, flood = Count(1, 50, 20, 1000), Count(200, 1000, 10, 50)
        self.assertLess(evidence([calm, flood]), 2.0)
        self.assertGreater(evidence([Count(201, 1050, 30, 1050)]), 1e6)

    def test_slower_at_the_tail_only(self) -> None:
        def heard(share: float) -> Evidence:
            found, rng = Evidence(), random.Random(5)
            found.move(frozenset({"n"}))
            for name in ("n", "o", "p"):
                times = Counter(
                    200 if name == "n" and rng.random() < share else rng.choice((19, 20, 21, 22)) for _ in range(800)
                )
                empty = Sample(name, name, 0.0, {}, {})
                found.hear(name, empty, 0, name)
                found.hear(
                    name,
                    dataclasses.replace(empty, at=9.0, counts={("b", "fulfilled"): 800}, answer_ms={"b": times}),
                    0,
                    name,
                )
            return found

        self.assertIsNone(worse(heard(0.0), 0.005, 0.05))
        found = worse(heard(0.05), 0.005, 0.05)
        self.assertIsNotNone(found)
        self.assertIn("b slower than the p9", str(found))

    def test_a_share_that_is_borne_does_not_stop(self) -> None:
        found = Evidence()
        found.move(frozenset({"n"}))
        for name, refused in (("n", 400), ("o", 0)):
            empty = Sample(name, name, 0.0, {}, {})
            found.hear(name, empty, 0, name)
            counts = {("b", "fulfilled"): 100_000 - refused, ("b", "throttled"): refused}
            found.hear(name, dataclasses.replace(empty, at=9.0, counts=counts), 0, name)
        self.assertIsNone(worse(found, 0.005, 0.05))
        self.assertIsNotNone(worse(found, 0.003, 0.05))


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


class Disk(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.path = self.folder / "r"

    def test_a_record_cut_at_any_byte_or_changed_anywhere_is_found(self) -> None:
        record.write(self.path, b"what is kept")
        whole = self.path.read_bytes()
        self.assertEqual(record.read(self.path), b"what is kept")
        for at in range(len(whole)):
            for torn in (whole[:at], whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :]):
                self.path.write_bytes(torn)
                with self.assertRaises(record.RecordError, msg=(at, torn)):
                    record.read(self.path)
        self.assertIsNone(record.read(self.folder / "none"))

    def test_a_disk_that_fails_leaves_the_old_record_and_no_litter(self) -> None:
        record.write(self.path, b"old")
        real = os.fsync
        try:
            for failing in ("fsync", "replace"):
                with (
                    self.subTest(failing=failing),
                    unittest.mock.patch(f"os.{failing}", side_effect=OSError(5, "Input/output error")),
                    self.assertRaises(OSError),
                ):
                    record.write(self.path, b"new")
                self.assertEqual(record.read(self.path), b"old")
                self.assertEqual([one.name for one in self.folder.iterdir()], ["r"])
        finally:
            self.assertIs(os.fsync, real)

    def test_a_place_whose_revision_lies_is_not_acted_on(self) -> None:
        folder = Folder(self.folder)
        folder.keep(Place("c", plan()))  # its digests are made up
        with self.assertRaisesRegex(record.RecordError, "not what its digest says"):
            folder.place()

    def test_two_conductors_at_one_folder(self) -> None:
        first, second = Folder(self.folder), Folder(self.folder)
        self.assertTrue(first.lock())
        self.assertFalse(second.lock())
        first.free()
        self.assertTrue(second.lock())

    def test_a_wish_is_taken_once_and_a_torn_one_is_none(self) -> None:
        folder = Folder(self.folder)
        folder.wish("pause")
        self.assertEqual((folder.wished(), folder.wished()), ("pause", ""))
        (self.folder / "wish").write_bytes(b"abort")
        self.assertEqual(folder.wished(), "")


class Plans(unittest.TestCase):
    GOOD = """
[old]
name = "1"
command = ["one"]
config = "c.json"
[new]
name = "2"
command = ["two"]
config = "c.json"
[[agent]]
name = "a"
keeper = "127.0.0.1:1"
[[agent]]
name = "b"
keeper = "127.0.0.1:2"
[[stage]]
agents = 1
[[stage]]
agents = "all"
"""

    def test_plans_are_checked_whole(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "c.json").write_text("{}")
            cases = (
                ("", "", ""),
                ("127.0.0.1:2", "127.0.0.1:1", "agent.keeper: one is there twice"),
                ('name = "2"', 'name = "1"', "new.name: the same as old.name"),
                ('["two"]', '["one"]', "new: the same command and configuration as old"),
                ('"all"', '"10 %"', "stage: not growing"),
                ('"all"', '"most"', "stage[1].agents: no number"),
                ("agents = 1\n", "agents = 0\n", "stage[0].agents: not above 0"),
                ("agents = 1\n", "agents = 1\nbake = 1000\n", "stage[0].most: not above bake"),
                ('agents = "all"', 'agents = "all"\nleats = 3', "unknown field `leats`"),
                ('"c.json"', '"d.json"', "d.json: No such file"),
                ('config = "c.json"\n', "", "`config`"),
            )
            for old, new, says in cases:
                with self.subTest(says=says):
                    path = folder / "p.toml"
                    path.write_text(self.GOOD.replace(old, new, 1) if old else self.GOOD)
                    told = CliRunner().invoke(main, ["rollout", "plan", str(path)])
                    self.assertEqual(told.exit_code, 2 if says else 0, told.output)
                    self.assertIn(says, told.output)
                    if says:
                        self.assertEqual(told.output.count("\n"), 1, told.output)

    def test_shares_round_up_to_whole_agents(self) -> None:
        sizes = [Stage(what).size(24) for what in (1, "1 %", "10 %", "50 %", "all", 99)]  # type: ignore[arg-type]
        self.assertEqual(sizes, [1, 1, 3, 12, 24, 24])
