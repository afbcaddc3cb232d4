"""Rollouts on fleets of real processes with injected faults; lost, duplicated and refused calls are counted."""

import asyncio
import os
import shutil
import signal
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any

from tests.callers import OpenLoopCallers
from tests.fleet import Fleet, faulty_command

RATE = 80.0  # calls/s over the whole fleet
NO_FALSE_STOP = {"false_stop": 1e-6}  # for equal versions, whose times may differ on a loaded machine


class RolloutTests(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, size: int = 5, injected: bool = False, **environment: str) -> Fleet:
        fleet = Fleet(Path(self.enterContext(tempfile.TemporaryDirectory())), size, injected=injected)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(**environment)
        self.callers = OpenLoopCallers(list(fleet.listens.values()), RATE)
        self.addAsyncCleanup(self.callers.stop)
        return fleet

    def write_plan(
        self,
        fleet: Fleet,
        *command: str,
        bake: float = 1.5,
        sizes: tuple[Any, ...] = (1, "all"),
        name: str = "plan.toml",
        **keys: Any,
    ) -> str:
        stages = [{"agents": size, "bake": bake, "most": 40.0} for size in sizes]
        return str(
            fleet.plan(
                fleet.revision("new", faulty_command(*command)),
                stages,
                name=name,
                **({"settle": 0.5, "silence": 5.0, "surge": 2} | keys),
            )
        )

    def rollback_reason(self, fleet: Fleet, state: str = "state") -> str:
        return str(next((one["reason"] for one in fleet.events(state, "rollout_back")), ""))

    async def assert_all_run(self, fleet: Fleet, revision: str) -> None:
        """Every agent runs only that revision; every call was fulfilled or refused, none was lost or duplicated."""
        await self.callers.stop()
        self.assertEqual(set(fleet.serving()), {revision})
        self.assertEqual([fleet.revision_of(name) for name in fleet.at], [revision] * fleet.size)
        self.assertEqual((self.callers.lost, fleet.duplicated_calls), ([], []))
        self.assertGreater(self.callers.outcomes["fulfilled"], 100)
        self.assertLessEqual(self.callers.outcomes.keys(), {"fulfilled", "refused"})

    async def test_a_rollout_and_its_rollback_lose_no_call_and_a_second_controller_is_refused(self) -> None:
        fleet = await self.start_fleet(6)
        plan = self.write_plan(fleet, "equal", bake=4.0, sizes=(1, "50 %", "all"), **NO_FALSE_STOP)
        first = await fleet.start_controller("start", plan)
        await fleet.until(lambda: fleet.events("state", "rollout_stage"))
        second = await fleet.start_controller("start", plan, state="other")
        self.assertEqual(await second.wait(), 1)
        self.assertRegex((fleet.folder / "other.log").read_text(), r"a\d: lease held by|has not finished")
        third = await fleet.start_controller("start", plan)
        self.assertEqual(await third.wait(), 1)
        self.assertIn("another controller is active in this folder", (fleet.folder / "state.log").read_text())
        for name in fleet.at:  # SIGHUP during the rollout: each process reloads its own revision
            os.kill(fleet.agent_pid(name), signal.SIGHUP)
        self.assertEqual(await first.wait(), 0)
        self.assertEqual(set(fleet.serving()), {"new"})
        self.assertFalse(any(fleet.events(name, "reload_failed") for name in fleet.at))

        # A second rollout in the opposite direction, aborted after two stages, is rolled back to "new".
        text = (fleet.folder / "plan.toml").read_text().replace('name = "old"', 'name = "x"')
        text = text.replace("[old]", "[swap]").replace("[new]", "[old]").replace("[swap]", "[new]")
        (fleet.folder / "next.toml").write_text(text)
        reverse = await fleet.start_controller("start", str(fleet.folder / "next.toml"))
        await fleet.until(lambda: any(one["agents"] == 3 for one in fleet.events("state", "rollout_stage")[3:]))
        abort = await fleet.start_controller("abort")
        self.assertEqual(await abort.wait(), 0)
        self.assertEqual(await reverse.wait(), 3)
        await self.assert_all_run(fleet, "new")

    async def test_a_version_that_refuses_more_of_one_class_or_has_a_slower_tail_is_rolled_back(self) -> None:
        fleet = await self.start_fleet()
        for fault, expected in (
            ("refuse", r"worse: b (refused|not fulfilled)"),
            ("slow", r"worse: [ab] slower than"),
        ):
            with self.subTest(fault=fault):
                plan = self.write_plan(fleet, fault, bake=30.0, sizes=(2, "all"), name=f"{fault}.toml")
                controller = await fleet.start_controller("start", plan, state=fault)
                self.assertEqual(await controller.wait(), 3)
                self.assertRegex(self.rollback_reason(fleet, fault), expected)
                self.assertEqual(set(fleet.serving()), {"old"})
        await self.assert_all_run(fleet, "old")

    async def test_a_version_that_does_not_start_or_crashes_later_is_rolled_back(self) -> None:
        fleet = await self.start_fleet(CRASH_AFTER="3.5")
        cases = (
            (("crash",), "a0: exited before it was ready: exit code 7"),
            (("unreadable", "a2"), "a2: exited before it was ready: exit code 2"),
            (("crash-later",), "a0: crashed 1 times"),
        )
        for fault, expected in cases:
            with self.subTest(fault=fault):
                plan = self.write_plan(
                    fleet, *fault, bake=2.0, name=f"{fault[0]}.toml", settle=2.0, crashes=0, **NO_FALSE_STOP
                )
                controller = await fleet.start_controller("start", plan, state=fault[0])
                self.assertEqual(await controller.wait(), 3)
                self.assertIn(expected, self.rollback_reason(fleet, fault[0]))
                self.assertEqual(set(fleet.serving()), {"old"})
        await self.callers.stop()
        self.assertEqual(fleet.duplicated_calls, [])
        # A crash loses only the process's own calls: queued connections wait in the supervisor's socket.
        self.assertLess(len(self.callers.lost), 0.05 * self.callers.outcomes.total())

    async def test_a_rollout_survives_kills_of_its_controller_and_of_an_agent(self) -> None:
        fleet = await self.start_fleet()
        controller = await fleet.start_controller(
            "start", self.write_plan(fleet, "equal", sizes=(1, 3, "all"), **NO_FALSE_STOP)
        )
        for event in ("rollout_order", "rollout_stage", "rollout_stage"):
            seen = len(fleet.events("state", event))
            await fleet.until(lambda event=event, seen=seen: len(fleet.events("state", event)) > seen)
            controller.kill()
            await controller.wait()
            controller = await fleet.start_controller("resume")
        os.kill(fleet.agent_pid("a0"), signal.SIGKILL)  # one crash, which the plan tolerates
        self.assertEqual(await controller.wait(), 0)
        await fleet.until(lambda: len(fleet.events("a0", "process_start")) == 3)
        await self.callers.stop()
        self.assertEqual(set(fleet.serving()), {"new"})
        self.assertEqual(fleet.duplicated_calls, [])
        self.assertEqual([one for one in self.callers.lost if fleet.listens["a0"] not in one], [])

    async def test_a_stalled_link_stops_the_rollout_and_duplicated_orders_are_executed_once(self) -> None:
        fleet = await self.start_fleet(injected=True)
        fleet.injectors["a1"].twice = True
        fleet.injectors["a2"].delay = 0.2
        controller = await fleet.start_controller("start", self.write_plan(fleet, "equal", bake=3.0, **NO_FALSE_STOP))
        await fleet.until(lambda: fleet.events("a0", "ordered"))
        await fleet.until(lambda: len(fleet.events("a0", "process_start")) == 2)
        fleet.injectors["a0"].mode = "drop"
        for writer in list(fleet.injectors["a0"].open):
            writer.transport.abort()
        await fleet.until(lambda: self.rollback_reason(fleet))
        self.assertRegex(self.rollback_reason(fleet), r"a0: (no answer|no metrics) for \d+ s")
        self.assertFalse(fleet.events("state", "rollout_stage"))
        fleet.injectors["a0"].mode = "pass"  # it can be rolled back only once it is reachable again
        self.assertEqual(await controller.wait(), 3)

        controller = await fleet.start_controller("start", self.write_plan(fleet, "equal", **NO_FALSE_STOP))
        self.assertEqual(await controller.wait(), 0)
        self.assertEqual(len(fleet.events("a1", "process_start")), 2)  # each order arrived twice
        await self.assert_all_run(fleet, "new")

    async def test_corrupt_and_stale_state_files_are_refused(self) -> None:
        fleet = await self.start_fleet(3)
        state = fleet.folder / "state"
        controller = await fleet.start_controller("start", self.write_plan(fleet, "equal", bake=3.0, **NO_FALSE_STOP))
        await fleet.until(lambda: fleet.events("state", "rollout_order"))
        shutil.copy(state / "change", fleet.folder / "earlier")
        await fleet.until(lambda: fleet.events("a1", "ordered"))  # so the fleet knows the state of the next stage
        controller.kill()
        await controller.wait()
        valid = (state / "change").read_bytes()
        for corrupt, expected in ((valid[:-7], "cut off"), (valid.replace(b"forward", b"forwarD"), "checksum wrong")):
            (state / "change").write_bytes(corrupt)
            controller = await fleet.start_controller("resume")
            self.assertEqual(await controller.wait(), 2)
            self.assertIn(expected, (fleet.folder / "state.log").read_text())
        shutil.copy(fleet.folder / "earlier", state / "change")
        controller = await fleet.start_controller("resume")
        self.assertEqual(await controller.wait(), 1)
        self.assertIn("stale rollout state: sequence number 1 after 2", (fleet.folder / "state.log").read_text())
        (state / "change").write_bytes(valid)
        controller = await fleet.start_controller("resume")
        self.assertEqual(await controller.wait(), 0)
        await self.assert_all_run(fleet, "new")

    async def test_a_restarted_supervisor_replaces_the_orphans_of_the_killed_one(self) -> None:
        fleet = await self.start_fleet(2)
        controller = await fleet.start_controller("start", self.write_plan(fleet, "equal", **NO_FALSE_STOP))
        self.assertEqual(await controller.wait(), 0)
        orphan = fleet.agent_pid("a0")
        fleet.supervisors["a0"].kill()
        await fleet.supervisors["a0"].wait()
        await asyncio.sleep(0.5)  # the orphan still serves
        await fleet.start_supervisor("a0")
        await fleet.until(lambda: len(fleet.events("a0", "process_start")) == 3)
        await fleet.until(lambda: len(fleet.events("a0", "ended")) == 2)
        self.assertEqual(fleet.events("a0", "orphans")[0]["pids"], [orphan])
        self.assertEqual(fleet.revision_of("a0"), "new")
        self.assertNotEqual(fleet.agent_pid("a0"), orphan)
        served = self.callers.outcomes["fulfilled"]
        await fleet.until(lambda: self.callers.outcomes["fulfilled"] > served + 40)
        await self.callers.stop()
        self.assertEqual(fleet.duplicated_calls, [])

        second = await fleet.run("second", "keep", str(fleet.folder / "a0.toml"))
        self.assertEqual(await second.wait(), 1)
        self.assertIn("another supervisor is active in", (fleet.folder / "second.log").read_text())
        with socket.create_server(("127.0.0.1", 0)) as taken:
            text = (fleet.folder / "a1.toml").read_text()
            text = text.replace(fleet.listens["a1"], "{}:{}".format(*taken.getsockname())).replace('"a1"', '"s"')
            (fleet.folder / "s.toml").write_text(text)
            conflicting = await fleet.run("conflicting", "keep", str(fleet.folder / "s.toml"))
            self.assertEqual(await conflicting.wait(), 1)
            self.assertIn("Address already in use", (fleet.folder / "conflicting.log").read_text())
