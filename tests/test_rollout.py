"""The state machine of a rollout on a virtual clock: stages, pauses, rollbacks and restarts of the controller."""

import dataclasses
import itertools
import unittest
import unittest.mock

import msgspec

from seamlb.rollout.plan import Stage
from seamlb.rollout.samples import Evidence, Sample
from seamlb.rollout.state_machine import RolloutState, RolloutStateMachine
from tests.simulated_rollout import NEW, OLD, SimulatedFleet, make_plan


class RolloutStateMachineTests(unittest.TestCase):
    def test_an_equal_revision_passes_all_stages_one_agent_at_a_time(self) -> None:
        fleet = SimulatedFleet(make_plan(6, Stage(1, 10.0), Stage("50 %", 10.0), Stage("all", 10.0)))
        self.assertEqual(fleet.run_until_over(), "done")
        self.assertEqual(set(fleet.running.values()), {NEW.ident})
        self.assertEqual(fleet.max_orders, 1)
        self.assertEqual([facts["agents"] for name, facts in fleet.events if name == "rollout_stage"], [1, 3, 6])
        self.assertGreater(fleet.now, 30.0)  # three bake times of 10 s

    def test_a_revision_that_refuses_more_of_one_class_is_rolled_back(self) -> None:
        fleet = SimulatedFleet(make_plan(4, Stage(1, 60.0, most=100.0), Stage("all", 60.0, most=100.0)))
        fleet.refused_share = 0.3
        self.assertEqual(fleet.run_until_over(), "undone")
        self.assertIn("worse: b refused", fleet.rollback_reason)
        self.assertEqual(set(fleet.running.values()), {OLD.ident})
        self.assertEqual(fleet.state.stage, 0)  # found while only one agent ran it

    def test_an_agent_that_does_not_start_rolls_back_the_others(self) -> None:
        fleet = SimulatedFleet(make_plan(4, Stage(1, 5.0), Stage("all", 5.0)))
        fleet.failures["a2"] = "exited before it was ready: exit code 2"
        self.assertEqual(fleet.run_until_over(), "undone")
        self.assertEqual(fleet.rollback_reason, "a2: exited before it was ready: exit code 2")
        self.assertEqual(set(fleet.running.values()), {OLD.ident})

    def test_a_failure_from_before_the_rollout_is_ignored(self) -> None:
        fleet = SimulatedFleet(make_plan(2))
        fleet.desired["a0"], fleet.failures["a0"] = NEW.ident, "from yesterday"
        fleet.step()
        fleet.failures.clear()
        self.assertEqual(fleet.run_until_over(), "done")

    def test_too_many_crashes_stop_the_rollout(self) -> None:
        fleet = SimulatedFleet(make_plan(4, Stage(1, 50.0, most=100.0), Stage("all", 50.0, most=100.0)))
        for count in (1, 2):
            for _ in range(5):
                fleet.step()
                self.assertEqual(fleet.state.phase, "forward")
            fleet.crashes["a0"] = count
        fleet.step()
        self.assertEqual(fleet.rollback_reason, "a0: crashed 2 times in this stage")

    def test_no_stage_passes_without_metrics(self) -> None:
        """A stage needs metrics of its agents and of at least one other agent; without them it ends at its limit."""
        for without_metrics, reason in (
            ({"a0"}, "a0: no metrics for 11 s"),
            ({"a1", "a2", "a3"}, "no recent metrics from any unchanged agent"),
        ):
            fleet = SimulatedFleet(make_plan(4, Stage(1, 5.0, most=30.0), Stage("all")))
            fleet.without_metrics = without_metrics
            fleet.run_until_over(100)
            self.assertEqual((fleet.state.phase, fleet.state.stage), ("undone", 0))
            self.assertIn(reason, fleet.rollback_reason)

    def test_an_unresponsive_changed_agent_stops_the_rollout_and_the_rollback_waits_for_it(self) -> None:
        fleet = SimulatedFleet(make_plan(4))
        fleet.step()
        fleet.step()
        fleet.silent.add("a0")
        for _ in range(40):
            fleet.step()
        self.assertEqual((fleet.state.phase, fleet.rollback_reason), ("back", "a0: no answer for 11 s"))
        self.assertEqual(fleet.running["a0"], NEW.ident)
        fleet.silent.clear()
        self.assertEqual(fleet.run_until_over(), "undone")
        self.assertEqual(set(fleet.running.values()), {OLD.ident})

    def test_no_agent_is_changed_while_too_many_are_unavailable(self) -> None:
        for limit, changed in ((0, 0), (1, 1)):
            fleet = SimulatedFleet(make_plan(4, unavailable=limit))
            fleet.silent.add("a3")
            for _ in range(8):
                fleet.step()
            self.assertEqual(sum(one == NEW.ident for one in fleet.running.values()), changed)

    def test_a_stage_with_too_few_requests_does_not_pass(self) -> None:
        fleet = SimulatedFleet(make_plan(4, Stage(1, 5.0, {"b": 400}, 30.0), Stage("all")))
        fleet.run_until_over()
        self.assertEqual((fleet.state.phase, fleet.state.stage), ("undone", 0))
        self.assertRegex(fleet.rollback_reason, r"not over after 30 s: b: \d+ of 400 requests")

    def test_a_paused_rollout_does_not_advance_but_can_be_rolled_back(self) -> None:
        fleet = SimulatedFleet(make_plan(4, Stage(1, 5.0), Stage("all", 5.0)))
        fleet.step()
        self.assertTrue(fleet.machine.request("pause", fleet.now))
        for _ in range(50):
            fleet.step()
        self.assertEqual((fleet.state.phase, fleet.state.stage), ("paused", 0))
        self.assertTrue(fleet.machine.request("pause", fleet.now))
        self.assertTrue(fleet.machine.request("resume", fleet.now))
        self.assertEqual(fleet.run_until_over(), "done")
        self.assertFalse(fleet.machine.request("abort", fleet.now))

        fleet = SimulatedFleet(make_plan(4, Stage(1, 5.0), Stage("all", 5.0)))
        fleet.step()
        fleet.machine.request("pause", fleet.now)
        fleet.crashes["a0"] = 9
        for _ in range(4):
            fleet.step()
        self.assertEqual(fleet.state.phase, "undone")

    def test_a_controller_killed_at_any_step_is_replaced_by_one_that_finishes(self) -> None:
        """Only the saved state survives: the controller is killed after each step, before or after its orders."""
        for refused_share, phase in ((0.02, "done"), (0.6, "undone")):
            for step, sent in itertools.product(range(1, 40, 3), (True, False)):
                fleet = SimulatedFleet(make_plan(4, Stage(1, 12.0), Stage("all", 12.0)))
                fleet.refused_share = refused_share
                for _ in range(step):
                    fleet.step()
                before = dict(fleet.running)
                fleet.step()
                if not sent:  # killed after the state was saved, before any order was sent
                    fleet.running = before
                restored = msgspec.json.decode(msgspec.json.encode(fleet.state), type=RolloutState)
                fleet.state, fleet.machine = restored, RolloutStateMachine(restored, fleet.now)
                self.assertEqual(fleet.run_until_over(), phase, (step, sent))
                self.assertEqual(set(fleet.running.values()), {(NEW if phase == "done" else OLD).ident})

    def test_counts_after_a_crash_stay_with_the_agents_revision(self) -> None:
        evidence = Evidence()
        evidence.set_changed(frozenset({"a"}))
        sample = Sample("p1", "new", 1.0, {}, {})
        evidence.add_sample("a", sample, 0, "new")
        evidence.add_sample(
            "a", dataclasses.replace(sample, process_id="p2", as_of=2.0, counts={("b", "faulted"): 3}), 1, "new"
        )
        tally = evidence.strata[-1].new["a"]
        self.assertEqual((tally.crashes, tally.counts["b", "faulted"]), (1, 3))  # after a crash all of it counts
